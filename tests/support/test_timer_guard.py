"""The timer guard reports planted violations, and nothing else."""

import unittest
from unittest import mock

from cedarmill.core.timers import SingleTimer, Timers
from tests.support import timer_guard


class UpstreamConnection:
    """An owner with the purposes of a connection to an executor."""

    closed = False

    def open(self, now: int = 0) -> None:
        """Serve as a callback."""


class Unknown:
    """An owner that the table of purposes does not name."""

    def fire(self, now: int) -> None:
        """Serve as a callback."""


class TimerGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        class WatchedTimers(Timers):
            """A queue of its own, so that no other test is watched."""

        self.reports: list[str] = []
        patch = mock.patch.object(timer_guard, "report", self.reports.append)
        patch.start()
        self.addCleanup(patch.stop)
        self.guard, self.timers, self.owner = timer_guard.TimerGuard(), WatchedTimers(), UpstreamConnection()
        self.guard.watch(WatchedTimers)

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)

    def test_an_overwritten_timer_is_reported(self):
        self.timers.add(10, self.owner.open)
        self.timers.add(20, self.owner.open)
        self.assertEqual(self.reports, ["a second timer of UpstreamConnection.open"])

    def test_a_timer_that_fires_for_an_ended_owner_is_reported(self):
        self.timers.add(10, self.owner.open)
        self.owner.closed = True
        self.sweep(10)
        message = "a timer of UpstreamConnection.open fires for an owner that has ended"
        self.assertEqual(self.reports, [message])

    def test_a_timer_that_is_left_for_an_ended_owner_is_reported(self):
        self.timers.add(10, self.owner.open)
        self.owner.closed = True
        self.guard.check_all()
        message = "a timer of UpstreamConnection.open is left for an owner that has ended"
        self.assertEqual(self.reports, [message])

    def test_an_unknown_purpose_is_reported(self):
        self.timers.add(10, Unknown().fire)
        self.assertEqual(self.reports, ["unknown purpose Unknown.fire"])

    def test_timers_that_are_cancelled_or_replaced_or_have_fired_are_not_reported(self):
        timer = SingleTimer(self.timers)
        for due in (10, 20, 30):
            timer.start(due, self.owner.open)
        self.sweep(30)
        self.timers.cancel(self.timers.add(40, self.owner.open))
        self.timers.add(50, UpstreamConnection().open)
        self.timers.add(50, UpstreamConnection().open)
        self.owner.closed = True
        self.guard.check_all()
        self.assertEqual(self.reports, [])


if __name__ == "__main__":
    unittest.main()
