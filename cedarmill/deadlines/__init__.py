"""Deadlines end to end: the time that a request may still spend, who has left, what is worth starting.

No I/O and no clock: `DeadlineTracker.step(now, event)` returns actions, all times are whole microseconds.
"""
