"""A replica's durable state: an append-only log with checksums, snapshots, and recovery after a crash.

Imports nothing of `net`: what is stored comes from `fleet.agree`, and system calls are made by `files` only.
"""
