"""The node's sockets: client sessions, backends, discovery, and the node that wires them."""
