"""Discovery client: watches or polls the endpoint list and parses its stream.

When to call and what a failure means is decided without I/O in `core/discovery_watch.py`.
"""
