"""The laboratory: lookup boxes, a director, clients and faults on loopback sockets, seeded by one number."""
