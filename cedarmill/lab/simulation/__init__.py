"""The cores of the cluster in virtual time: one seeded clock, simulated network, disks, nodes and executors.

No sockets, no processes, no sleeps: those are `lab/cluster/`.
"""
