"""What nodes observe of zones and their executors, and the leader's assessment made of it.

Pure functions and counters: no I/O, no clock. Nothing here decides where traffic goes.
"""
