"""Codecs of the health protocols used by load balancers; no I/O."""
