"""Executor health without I/O: verdicts from checks, agents and attempts; probe rate limits; codecs."""
