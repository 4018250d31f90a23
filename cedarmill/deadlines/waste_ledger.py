"""Accounts for slot-time spent on attempts whose answer nobody waits for, by request class and cause."""

from enum import StrEnum
from typing import NamedTuple


class Cause(StrEnum):
    """Why an attempt's answer is no longer wanted; the values appear in the log."""

    CLIENT_LEFT = "left"
    DEADLINE_PASSED = "overdue"
    ABANDONED = "cut"  # The balancer cancelled the attempt, for example to preempt it.
    LOST_RACE = "lost race"  # Another attempt of the same request answered first.


class WasteRow(NamedTuple):
    """Wasted slot-time (slot-microseconds) of one class and cause; the field names appear in the log."""

    job_class: int
    cause: Cause
    attempts: int
    before: int  # slot-time spent while the answer was still wanted
    after: int  # slot-time spent afterwards, until the observed end of the attempt
    guessed: int  # slot-time after an unobserved end, estimated from the class's mean running time


class WasteLedger:
    """Accumulates wasted slot-time until the totals are taken."""

    def __init__(self) -> None:
        self._sums: dict[tuple[int, Cause], list[int]] = {}

    def charge(self, job_class: int, cause: Cause, before: float, after: float, guessed: float) -> None:
        """Add the slot-time (slot-microseconds) of one attempt in O(1)."""
        sums = self._sums.setdefault((job_class, cause), [0, 0, 0, 0])
        sums[0] += 1
        sums[1] += int(before)
        sums[2] += int(after)
        sums[3] += int(guessed)

    def drain_rows(self) -> list[WasteRow]:
        """Return the totals since the last call, sorted by class and cause, and reset them."""
        rows = [WasteRow(*key, *sums) for key, sums in sorted(self._sums.items())]
        self._sums.clear()
        return rows
