"""The laboratory of many processes: nodes, replicas, supervisors, executors, and faults between them."""
