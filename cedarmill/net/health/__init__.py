"""Listeners on which a node tells load balancers of its own health. Off unless the settings name them.

Their wire forms are in `health/codecs/`; nothing here judges an executor.
"""
