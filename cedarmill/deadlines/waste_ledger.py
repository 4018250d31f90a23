"""Counts what was spent for nobody: attempts and slot-time by class and cause, in O(1) for each attempt."""

from enum import StrEnum
from typing import NamedTuple


class Cause(StrEnum):
    """Why nobody wants an attempt's answer any longer; the values stand in the log."""

    CLIENT_LEFT = "left"
    DEADLINE_PASSED = "overdue"
    ABANDONED = "cut"  # the balancer gave its place to another request
    LOST_RACE = "lost race"  # another attempt of the request answered


class WasteRow(NamedTuple):
    """One class and cause: slot-time in slot-microseconds; the field names stand in the log."""

    job_class: int
    cause: Cause
    attempts: int
    before: int  # spent till nobody wanted it: what the client or the balancer could not know
    after: int  # spent since then, as far as the executor's end was seen
    guessed: int  # spent since then where no end is seen, by the class's usual running time


class WasteLedger:
    """Sums since they were taken last."""

    def __init__(self) -> None:
        self._sums: dict[tuple[int, Cause], list[int]] = {}

    def charge(self, job_class: int, cause: Cause, before: float, after: float, guessed: float) -> None:
        """Add one attempt's end, in slot-microseconds."""
        sums = self._sums.setdefault((job_class, cause), [0, 0, 0, 0])
        sums[0] += 1
        sums[1] += int(before)
        sums[2] += int(after)
        sums[3] += int(guessed)

    def take(self) -> list[WasteRow]:
        """Return the rows since the last call, by class and cause; the sums begin anew."""
        rows = [WasteRow(*key, *sums) for key, sums in sorted(self._sums.items())]
        self._sums.clear()
        return rows
