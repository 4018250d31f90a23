"""Deadlines end to end: what a req may still spend, who has left, what is still worth starting.

No I/O and no clock: `Budget.step(now, event)` gives actions, all times are whole microseconds.
"""
