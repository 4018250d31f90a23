"""Observations of zones and executors by nodes, and the leader's assessment of the zones.

This package holds pure functions and counters. It performs no I/O, reads no clock and makes no routing
decisions.
"""
