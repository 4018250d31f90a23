"""The admin API's logic: request routes, manual exclusions of executors, and sealed state documents.

This package does no I/O, reads no clock, and imports no other package of the program.
"""
