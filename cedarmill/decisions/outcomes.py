"""Outcomes of attempts, and what they prove."""

from enum import IntEnum


class Outcome(IntEnum):
    """Result of an attempt; the members of NEVER_RAN prove that the attempt did not run."""

    OK = 10
    ERROR = 20  # the executor ran the attempt, which failed
    FULL = 30  # the executor rejected the attempt
    AMBIGUOUS_FULL = 35  # it rejected this attempt or, more seldom, the one before on the connection
    TIMEOUT = 40
    CONNECT_FAILED = 50
    DROPPED = 55  # an established connection broke before the whole request was sent
    RESET = 60  # the connection broke after the request was sent
    CANCELLED = 70
    RECALLED = 75  # cancelled before the whole request was sent
    MOOT = 80  # abandoned before it was sent
    UNUSABLE = 90  # the request is at fault, so every other executor would refuse it too


REJECTIONS = frozenset((Outcome.FULL, Outcome.AMBIGUOUS_FULL))
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DROPPED, Outcome.RECALLED, Outcome.MOOT))
