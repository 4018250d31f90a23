"""The decisions of a balancer: which executor, retry, refusal, preemption. No input or output, no clock.

One module for each kind of decision, plain functions over the state that they share (`state.py`);
`balancer.py` routes events to them. Nothing of the packages above may be imported here.
"""
