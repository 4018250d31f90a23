"""Client side of the node: the listening socket, HTTP/1.1 client connections and their final responses.

Selecting executors, retrying and rejecting requests is up to `decisions/`, through `core/dispatch.py`.
"""
