"""Membership from health: verdicts on backends by checks, agents and traffic, and what probes may cost."""
