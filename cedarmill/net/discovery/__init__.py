"""The discovery client: the endpoint list, by a watch or by polls, and the body that it comes in.

When to call, and what a failure means, is decided without I/O in `core/discovery_watch.py`.
"""
