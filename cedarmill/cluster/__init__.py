"""The replicated cluster state, without I/O: membership, permits for draining targets, and releases."""
