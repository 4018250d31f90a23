"""The node's network side: client sessions, upstream connections, discovery, and the wiring of a node."""
