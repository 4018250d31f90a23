"""A replicated log after Raft (Ongaro, 2014), as a core without I/O or clock: `step(now, event) -> actions`.

Nothing here opens a file or a socket, reads a clock, or knows what the commands in the log mean.
"""
