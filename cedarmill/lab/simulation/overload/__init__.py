"""Overload in virtual time: nodes, executors, tenants and clients that retry, and planted mutants.

Requests are simulated one by one; processes and sockets are `lab/cluster/`.
"""
