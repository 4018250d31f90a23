"""The laboratory: emulated executors, discovery, clients and faults on loopback sockets, of one seed."""
