"""The node's core: it owns requests, attempts and timers, and knows no socket, no HTTP and no clock."""
