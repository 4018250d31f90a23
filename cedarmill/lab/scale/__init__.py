"""What one node needs as the number of executors grows: a real process, equal traffic, stated bounds.

The node is the real program, as it is; executors, discovery and clients are emulated here.
"""
