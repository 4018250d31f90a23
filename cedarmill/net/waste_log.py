"""Logs wasted work: attempts whose answer was no longer wanted; periodically and on a signal."""

from typing import Any

from cedarmill.deadlines.propagation import DeadlineTracker
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver

ROW_FORMAT = (
    "{job_class} {cause}: {attempts} attempts, {before:.2f} s before, {after:.2f} s after, "
    "{guessed:.2f} s guessed"
)  # before and after: slot-seconds spent before and after the answer stopped being wanted


class WasteLog:
    """Logs the waste ledger's rows since the previous log line."""

    def __init__(
        self, driver: EventLoopDriver, tracker: DeadlineTracker, class_names: list[str], period_us: int
    ) -> None:
        self.driver, self.tracker, self.class_names, self.period_us = driver, tracker, class_names, period_us

    def start(self) -> None:
        """Log every `period_us` from now on."""
        self.driver.timers.add(self.driver.now() + self.period_us, self._log_periodically)

    def _log_periodically(self, now: int) -> None:
        self.driver.timers.add(now + self.period_us, self._log_periodically)
        self.log_summary(quiet=True)

    def log_summary(self, quiet: bool = False) -> None:
        """Log the wasted work; without `quiet`, also if there was none."""
        rows = [
            {**row._asdict(), "job_class": self.class_names[row.job_class]}
            for row in self.tracker.ledger.drain_rows()
        ]
        summary = "; ".join(ROW_FORMAT.format(**_in_seconds(row)) for row in rows)
        if rows or not quiet:
            log_event("wasted-work", summary=summary or "nothing", rows=rows)


def _in_seconds(row: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of the row with slot-microseconds converted to slot-seconds."""
    return {**row, **{name: row[name] / 1e6 for name in ("before", "after", "guessed")}}
