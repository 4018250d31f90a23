"""The discovery client's log and its calls, without sockets."""

import unittest
from random import Random
from unittest import mock

from helpers import settings

from cedarmill.core.deadlines import Deadlines
from cedarmill.core.list_watch import Event, State
from cedarmill.decisions import interface as api
from cedarmill.net.config import Address, Endpoint, Listing
from cedarmill.net.discovery import QUIET_US, DiscoveryClient


class Flapping(unittest.TestCase):
    """A discovery that sends a good line and breaks, again and again."""

    def setUp(self) -> None:
        self.turn, self.lines = mock.Mock(), []
        self.turn.deadlines = Deadlines()
        self.discovery = DiscoveryClient(
            self.turn, settings(on_request_discovery=True), Address("127.0.0.1", 1), mock.Mock(), Random(1)
        )
        self.discovery.dispatch = mock.Mock()
        patches = (
            mock.patch("cedarmill.net.discovery.say", lambda name, *_, **__: self.lines.append(name)),
            mock.patch("cedarmill.net.discovery.WatchConnection"),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.connections = 0

    def lose(self, at: int) -> None:
        """The watch that is up, or that opens, breaks; then it is asked for anew, at its deadline."""
        self.turn.now.return_value = at
        self.discovery.happened(Event.BROKEN, "silence")
        due = self.turn.deadlines.next
        self.turn.now.return_value = due
        for call in self.turn.deadlines.sweep(due):
            call(due)
        self.connections += self.discovery.connection is not None

    def flap(self, at: int) -> None:
        self.turn.now.return_value = at
        self.discovery.watch()
        self.discovery.happened(Event.CONNECTED)
        self.discovery.happened(Event.HEARD)
        self.discovery.news(Listing(1, False, []))
        self.lose(at)

    def test_the_log_has_one_line_and_not_two_a_second(self) -> None:
        for n in range(20):
            self.flap(1 + n * 300_000)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching"])
        self.assertEqual(self.connections, 20)  # each loss is followed by a call, whoever else asks

    def test_a_loss_that_lasts_is_told_in_the_end(self) -> None:
        self.flap(1)
        self.flap(2)
        self.lose(QUIET_US + 2)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching", "watch-lost"])

    def test_a_call_that_the_fleet_has_no_budget_for_waits_as_a_failed_one(self) -> None:
        self.discovery.dispatch.may_list.return_value = False
        self.flap(1)
        self.assertIsNone(self.discovery.connection)
        self.assertIs(self.discovery.watching.state, State.WAITING)


class Marks(unittest.TestCase):
    """What the module hears of an executor that operators took out and put back."""

    def setUp(self) -> None:
        self.turn = mock.Mock()
        self.turn.now.side_effect = lambda: self.now
        self.now = 50_000_000
        self.discovery = DiscoveryClient(self.turn, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.discovery.dispatch = mock.Mock()
        self.discovery.reader._unix_us = 0
        self.discovery.told = True
        self.list(since_ms=1_000)

    def list(self, **fields) -> None:
        entry = Endpoint("s-1", "SERVING", "127.0.0.1:1", **fields)
        self.discovery.news(Listing(1, True, [entry]))

    def heard(self) -> api.WorkerEntry:
        return self.discovery.dispatch.listed.call_args.args[1].entries[-1]

    def test_out_it_drains_whatever_the_list_says(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.assertEqual(self.heard().state, api.WorkerState.DRAINING)
        self.list(since_ms=52_000)
        self.assertEqual(self.heard().state, api.WorkerState.DRAINING)

    def test_back_in_it_counts_from_the_restart_that_the_list_told(self) -> None:
        """Counted from the call, it stayed cold to the module for seconds after it was warm."""
        self.discovery.mark({"s-1": 50_000_000})
        self.list(since_ms=52_000)
        self.now = 60_000_000
        self.discovery.mark({})
        told = self.heard()
        self.assertEqual((told.state, told.started_at), (api.WorkerState.READY, 52_000_000))
        self.assertTrue(told.by_hand)

    def test_back_in_before_the_list_tells_its_restart_it_counts_from_the_call(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.now = 60_000_000
        self.discovery.mark({})
        self.assertEqual(self.heard().started_at, 60_000_000)

    def test_back_in_after_the_list_dropped_it_nothing_is_told(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.discovery.news(Listing(2, True, []))
        before = self.discovery.dispatch.listed.call_count
        self.discovery.mark({})
        self.assertEqual(self.discovery.dispatch.listed.call_count, before)


if __name__ == "__main__":
    unittest.main()
