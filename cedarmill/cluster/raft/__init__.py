"""A replicated log that follows Raft (Ongaro, 2014), without I/O or a clock: `step(now, event) -> actions`.

This package opens no file or socket, reads no clock, and treats the commands in the log as opaque bytes.
"""
