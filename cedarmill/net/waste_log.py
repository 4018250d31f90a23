"""The log's lines on what was spent for nobody: now and then, and when a signal asks."""

from typing import Any

from cedarmill.deadlines.propagation import DeadlineTracker
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver

SPENT = (
    "{job_class} {cause}: {attempts} attempts, {before:.2f} s before, {after:.2f} s after, "
    "{guessed:.2f} s guessed"
)  # slot-seconds, before and after nobody wanted them


class WasteLog:
    """Tells what the ledger holds, each time what happened since the last."""

    def __init__(
        self, driver: EventLoopDriver, tracker: DeadlineTracker, class_names: list[str], every_us: int
    ) -> None:
        self.driver, self.tracker, self.class_names, self.every_us = driver, tracker, class_names, every_us

    def start(self) -> None:
        """Tell it every `every_us` from now on."""
        self.driver.timers.add(self.driver.now() + self.every_us, self._tell_again)

    def _tell_again(self, now: int) -> None:
        self.driver.timers.add(now + self.every_us, self._tell_again)
        self.tell(quiet=True)

    def tell(self, quiet: bool = False) -> None:
        """Tell what was spent; unless `quiet`, also that it was nothing."""
        rows = [
            {**row._asdict(), "job_class": self.class_names[row.job_class]}
            for row in self.tracker.ledger.take()
        ]
        summary = "; ".join(SPENT.format(**_in_seconds(row)) for row in rows)
        if rows or not quiet:
            log_event("wasted-work", summary=summary or "nothing", rows=rows)


def _in_seconds(row: dict[str, Any]) -> dict[str, Any]:
    """A row whose slot-microseconds are slot-seconds."""
    return {**row, **{name: row[name] / 1e6 for name in ("before", "after", "guessed")}}
