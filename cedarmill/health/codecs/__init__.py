"""Codecs of the balancers' health protocols: bytes in, values out, no I/O."""
