"""Load-balancing decisions: executor selection, retries, admission, preemption and slow start.

Each module makes one kind of decision as plain functions over the shared `BalancerState` of `state.py`, and
`balancer.py` dispatches events to them. The package does no I/O, reads no clock, and imports nothing from the
packages that use it.
"""
