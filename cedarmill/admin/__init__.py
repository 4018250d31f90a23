"""The operators' side of a node, without I/O: the door's calls and the executors taken out by hand."""
