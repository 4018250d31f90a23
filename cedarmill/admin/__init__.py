"""The operators' side of a node: requests of the admin API, executors taken out by hand, sealed documents.

No I/O and no clock, and no import of another package of the program.
"""
