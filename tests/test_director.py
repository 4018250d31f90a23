"""The director's log and its calls, without sockets."""

import unittest
from unittest import mock

from helpers import settings

from cedarmill.decisions import interface as api
from cedarmill.net.config import Address, Listing
from cedarmill.net.director import QUIET_US, Director


class Flapping(unittest.TestCase):
    """A director that sends a good line and breaks, again and again."""

    def setUp(self) -> None:
        self.turn, self.lines = mock.Mock(), []
        self.director = Director(self.turn, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.director.dispatch = mock.Mock()
        patch = mock.patch("cedarmill.net.director.say", lambda name, *_, **__: self.lines.append(name))
        patch.start()
        self.addCleanup(patch.stop)

    def lose(self, at: int) -> None:
        self.turn.now.return_value = at
        self.director.current = watch = mock.Mock()
        self.director.lost(watch, "silence")

    def flap(self, at: int) -> None:
        self.turn.now.return_value = at
        self.director.news(Listing(1, False, []))
        self.lose(at)

    def test_the_log_has_one_line_and_not_two_a_second(self) -> None:
        for n in range(20):
            self.flap(1 + n * 300_000)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching"])
        kinds = [call.args[1].kind for call in self.director.dispatch.listed.call_args_list]
        self.assertEqual(kinds.count(api.ListKind.FAILED), 20)  # the module hears of each

    def test_a_loss_that_lasts_is_told_in_the_end(self) -> None:
        self.flap(1)
        self.flap(2)
        self.lose(QUIET_US + 2)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching", "watch-lost"])


if __name__ == "__main__":
    unittest.main()
