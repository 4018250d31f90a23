"""A replica's durable state: an append-only log with checksums, snapshots, and recovery after a crash.

The package imports nothing from `net`. The stored messages are defined in `cluster`, and only `files` makes
system calls.
"""
