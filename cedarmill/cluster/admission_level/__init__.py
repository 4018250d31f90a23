"""The admission level, which sheds requests across the whole cluster when demand exceeds capacity.

This package holds the replicated state, the controller that adjusts it while a log entry is applied, and the
gate of a node. It performs no I/O and reads no clock.
"""
