"""The event loop driver reports that the process was held up."""

import logging
import unittest

from cedarmill.net.loop import MAX_EXPECTED_DELAY_US
from tests.support.clocked_driver import ClockedDriver


class HeldUp(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = ClockedDriver()
        self.driver.timers.add(1_000_000, lambda now: None)
        self.driver.run_due_timers()

    def wake(self, at: int) -> None:
        """Let the loop's timer fire at this time (us)."""
        self.driver.time = at
        _, callback = self.driver.loop.call_later.call_args.args
        callback()

    def test_late_wake_up_is_logged_with_its_delay(self):
        with self.assertLogs("cedarmill", logging.WARNING) as logs:
            self.wake(1_000_000 + 418_000)
        self.assertEqual(
            [record.getMessage() for record in logs.records],
            ["the process was held up: its timers ran 418 ms late"],
        )

    def test_delay_that_the_platform_allows_is_not_logged(self):
        with self.assertNoLogs("cedarmill", logging.WARNING):
            self.wake(1_000_000 + MAX_EXPECTED_DELAY_US)

    def test_timer_that_was_due_before_it_was_set_is_not_late(self):
        with self.assertNoLogs("cedarmill", logging.WARNING):
            self.wake(1_000_000)
            self.driver.timers.add(1, lambda now: None)
            self.driver.run_due_timers()
            self.wake(1_000_000)


if __name__ == "__main__":
    unittest.main()
