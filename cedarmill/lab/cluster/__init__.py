"""The laboratory of many processes: nodes, keepers, stewards, executors, and faults between them."""
