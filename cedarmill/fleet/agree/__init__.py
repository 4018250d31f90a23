"""One agreed log among keepers, after Raft (Ongaro, 2014), without I/O: `step(now, event) -> actions`."""
