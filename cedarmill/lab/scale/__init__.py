"""Measures the resource usage of one node as the number of executors grows, and checks it against bounds.

The node is the unmodified program in its own process. Executors, discovery and clients are emulated here, and
every run has the same traffic.
"""
