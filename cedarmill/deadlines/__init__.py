"""End-to-end request deadlines: remaining budgets, abandoned requests and attempts worth starting.

The package does no I/O and reads no clock: `DeadlineTracker.step(now, event)` returns actions. All times are
whole microseconds.
"""
