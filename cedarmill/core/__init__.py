"""The node's core: requests, attempts and timers, independent of sockets, HTTP and the system clock."""
