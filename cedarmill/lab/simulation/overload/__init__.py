"""Simulation of overload in virtual time, with nodes, executors, tenants, retrying clients and mutants.

Each request is simulated individually. Tests with real processes and sockets are in `lab/cluster/`.
"""
