"""Soak test: seeded schedules of trouble against real processes of the program, judged from outside."""
