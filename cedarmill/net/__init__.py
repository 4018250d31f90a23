"""Network I/O of a node: client sessions, executor connections, discovery and the assembly of the node."""
