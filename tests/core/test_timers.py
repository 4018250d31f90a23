"""The sorted queue of timers, and timers of one owner and purpose."""

import unittest

from cedarmill.core.timers import SingleTimer, Timers


class SingleTimerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = Timers()
        self.timer = SingleTimer(self.timers)
        self.fired: list[str] = []

    def start(self, due: int, name: str) -> None:
        self.timer.start(due, lambda now: self.fired.append(name))

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)

    def test_a_second_start_replaces_the_first_whichever_is_due_first(self):
        """Guards against a timer that is overwritten and still fires."""
        for second_due in (5, 20):
            with self.subTest(second_due):
                self.fired.clear()
                self.start(10, "first")
                self.start(second_due, "second")
                self.sweep(30)
                self.assertEqual(self.fired, ["second"])
                self.assertIsNone(self.timers.next_due)

    def test_cancel_removes_the_callback_and_may_be_repeated(self):
        self.start(10, "first")
        self.timer.cancel()
        self.timer.cancel()
        self.assertIsNone(self.timers.next_due)
        self.start(20, "second")
        self.sweep(20)
        self.assertEqual(self.fired, ["second"])

    def test_a_callback_may_start_its_own_timer_again(self):
        self.timer.start(10, lambda now: self.start(now + 5, "again"))
        self.sweep(10)
        self.assertEqual((self.fired, self.timers.next_due), ([], 15))
        self.sweep(15)
        self.assertEqual(self.fired, ["again"])

    def test_cancel_after_the_callback_has_run_leaves_other_timers_alone(self):
        self.start(10, "first")
        self.sweep(10)
        self.timers.add(10, lambda now: self.fired.append("other"))
        self.timer.cancel()
        self.sweep(10)
        self.assertEqual(self.fired, ["first", "other"])


if __name__ == "__main__":
    unittest.main()
