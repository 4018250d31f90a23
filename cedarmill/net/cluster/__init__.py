"""The network side of the cluster: replicas, members, process supervisors and gossip.

The package is not imported by a node without a cluster. The decisions are made without I/O in `cluster/`.
"""
