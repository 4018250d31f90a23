"""What a keeper keeps: an append-only log with checksums, and snapshots; recovery from whatever a crash
left.
"""
