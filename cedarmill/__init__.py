"""Dispatcher decisions by a preemptive connection pool."""

from cedarmill.decisions.brain import Brain
from cedarmill.decisions.interface import Settings

__all__ = ["Brain", "Settings"]
