"""The event loop driver in a process that was held up."""

import logging
import socket
import time
import unittest

import uvloop

from cedarmill.core.timers import Timers
from cedarmill.net.loop import CATCH_UP_TURNS, MAX_EXPECTED_DELAY_US, EventLoopDriver
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


class WaitingInput(unittest.TestCase):
    """A loop that is held up while input arrives and a timer becomes due."""

    HELD_UP_S = 0.05

    def test_waiting_input_is_read_before_overdue_timers_run(self):
        """Guards against a time-out of a peer that answered in time, while the node was held up."""
        loop = uvloop.new_event_loop()
        self.addCleanup(loop.close)
        driver, order = EventLoopDriver(loop, Timers()), []
        reading, writing = socket.socketpair()
        self.addCleanup(reading.close)
        self.addCleanup(writing.close)

        def read() -> None:
            loop.remove_reader(reading)
            loop.call_soon(order.append, "handled")  # as for a new connection, some turns later
            driver.run_due_timers()

        def hold_up() -> None:
            writing.send(b"x")
            time.sleep(self.HELD_UP_S)

        def time_out(now: int) -> None:
            order.append("timed out")
            loop.stop()

        loop.add_reader(reading, read)
        driver.timers.add(driver.now() + 10_000, time_out)
        driver.run_due_timers()
        loop.call_soon(hold_up)
        loop.run_forever()
        self.assertEqual(order, ["handled", "timed out"])

    def test_loop_that_is_always_late_delays_its_timers_once_a_second_at_most(self):
        driver, ran_at = ClockedDriver(), []
        driver.time = 1_000_000
        for due in (100_000, 200_000):
            driver.timers.add(due, ran_at.append)
        driver.run_due_timers()
        self.assertEqual(ran_at, [])
        for _ in range(CATCH_UP_TURNS):
            driver.loop.call_later.call_args.args[1]()
        self.assertEqual(len(ran_at), 2)
        driver.timers.add(300_000, ran_at.append)
        driver.run_due_timers()
        self.assertEqual(len(ran_at), 3)


if __name__ == "__main__":
    unittest.main()
