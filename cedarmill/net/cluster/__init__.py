"""The cluster on sockets: replicas, members, process supervisors, gossip. Not loaded without a cluster.

What is agreed, and who may do what, is decided without I/O in `cluster/`.
"""
