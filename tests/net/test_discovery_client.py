"""The discovery client's log and its calls, without sockets."""

import unittest
from random import Random
from unittest import mock

from cedarmill.core.discovery_watch import WatchEvent, WatchState
from cedarmill.core.timers import Timers
from cedarmill.decisions import interface as api
from cedarmill.net.config import Address
from cedarmill.net.discovery.client import WATCH_LOST_QUIET_US, DiscoveryClient
from cedarmill.net.discovery.endpoints import Endpoint, Listing
from tests.support.builders import settings


class Flapping(unittest.TestCase):
    """A discovery that sends a good line and breaks, again and again."""

    def setUp(self) -> None:
        self.driver, self.lines = mock.Mock(), []
        self.driver.timers = Timers()
        self.discovery = DiscoveryClient(
            self.driver, settings(on_request_discovery=True), Address("127.0.0.1", 1), mock.Mock(), Random(1)
        )
        self.discovery.dispatch = mock.Mock()
        patches = (
            mock.patch(
                "cedarmill.net.discovery.client.log_event", lambda name, *_, **__: self.lines.append(name)
            ),
            mock.patch("cedarmill.net.discovery.client.WatchConnection"),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.connections = 0

    def lose(self, at: int) -> None:
        """The watch that is up, or that opens, breaks; then it is asked for anew, at its deadline."""
        self.driver.now.return_value = at
        self.discovery.on_watch_event(WatchEvent.CALL_FAILED, "silence")
        due = self.driver.timers.next_due
        self.driver.now.return_value = due
        for call in self.driver.timers.sweep(due):
            call(due)
        self.connections += self.discovery.connection is not None

    def flap(self, at: int) -> None:
        self.driver.now.return_value = at
        self.discovery.watch()
        self.discovery.on_watch_event(WatchEvent.CONNECTED)
        self.discovery.on_watch_event(WatchEvent.DATA_RECEIVED)
        self.discovery.on_listing(Listing(1, False, []))
        self.lose(at)

    def test_the_log_has_one_line_and_not_two_a_second(self) -> None:
        for n in range(20):
            self.flap(1 + n * 300_000)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching"])
        self.assertEqual(self.connections, 20)  # each loss is followed by a call, whoever else asks

    def test_a_loss_that_lasts_is_told_in_the_end(self) -> None:
        self.flap(1)
        self.flap(2)
        self.lose(WATCH_LOST_QUIET_US + 2)
        self.assertEqual(self.lines, ["watching", "watch-lost", "watching", "watch-lost"])

    def test_a_call_that_the_fleet_has_no_budget_for_waits_as_a_failed_one(self) -> None:
        self.discovery.dispatch.may_call_discovery.return_value = False
        self.flap(1)
        self.assertIsNone(self.discovery.connection)
        self.assertIs(self.discovery.watch_machine.state, WatchState.WAITING)


S = 1_000_000
STEPS_S = (-3600, -5, 5, 3600)


class Starts(unittest.TestCase):
    """When an executor started, by discovery's stamp and a wall clock of ours that may be stepped."""

    TRUE_OFFSET = 1_700_000_000 * S  # of Unix time, as all other machines read it, against our clock

    def setUp(self) -> None:
        self.driver, self.now, self.step_s = mock.Mock(), 10_000 * S, 0
        self.driver.now.side_effect = lambda: self.now
        for name, value in (("unix_us", self.unix_us), ("EventLoopDriver", self.driver)):
            patch = mock.patch(f"cedarmill.net.discovery.endpoints.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)

    def unix_us(self) -> int:
        return self.now + self.TRUE_OFFSET + self.step_s * S

    def begin(self, step_s: int = 0) -> None:
        """A node that starts while its wall clock is so far off."""
        self.step_s = step_s
        self.discovery = DiscoveryClient(self.driver, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.discovery.dispatch = mock.Mock()
        self.discovery.logged_watching = True
        self.discovery.start(self.listing({"s-1": 0}))

    def listing(self, starts: dict[str, int], snapshot: bool = True) -> Listing:
        """By name, how long ago in truth each has started (us); 0: long ago."""
        stamps = {n: (self.now - ago + self.TRUE_OFFSET) // 1000 if ago else 0 for n, ago in starts.items()}
        return Listing(
            1, snapshot, [Endpoint(n, "SERVING", "127.0.0.1:1", since_ms=s) for n, s in stamps.items()]
        )

    def ages(self, starts: dict[str, int], snapshot: bool = True) -> dict[str, int]:
        """Discovery tells this list; how old (us) the module then takes each for."""
        self.discovery.on_listing(self.listing(starts, snapshot))
        entries, names = (
            self.discovery.dispatch.on_endpoint_list.call_args.args[1].entries,
            self.discovery.reader.names,
        )
        return {names[e.executor]: self.now - e.started_at for e in entries if e.started_at}

    def test_who_is_new_on_a_watch_that_holds_is_as_young_as_its_list(self) -> None:
        """Whenever the clock was stepped; by the stamp alone, one an hour ahead made it warm."""
        for at_start, later in (
            [(s, s) for s in STEPS_S] + [(0, s) for s in STEPS_S] + [(s, 0) for s in STEPS_S]
        ):
            with self.subTest(at_start=at_start, later=later):
                self.begin(at_start)
                self.ages({"s-1": 0, "s-2": 20 * S})
                self.now += 2 * S
                self.step_s = later
                for starts in ({"s-3": S // 2}, {"s-1": S // 2}):  # a new one, and one that was restarted
                    (age,) = self.ages(starts, snapshot=False).values()
                    self.assertTrue(0 <= age <= 2 * S, age)

    def test_with_the_clock_right_the_stamp_holds_also_where_it_was_listed_late(self) -> None:
        self.begin()
        self.ages({"s-1": 0})
        self.now += S
        self.assertEqual(self.ages({"s-2": 3 * S // 2}, snapshot=False), {"s-2": 3 * S // 2})

    def test_the_same_stamp_is_the_same_start_whatever_the_clock_does(self) -> None:
        self.begin()
        self.ages({"s-1": 3 * S})
        for step in STEPS_S:
            self.step_s = step
            self.now += S
            ago = self.now - (10_000 - 3) * S
            self.assertEqual(self.ages({"s-1": ago}), {"s-1": ago})

    def test_a_whole_list_after_an_outage_makes_cold_only_who_came_meanwhile(self) -> None:
        for step in (0, *STEPS_S):
            with self.subTest(step=step):
                self.begin(step)
                before = self.ages({"s-1": 0, "s-2": 600 * S})
                self.now += 60 * S
                ages = self.ages({"s-1": 0, "s-2": 660 * S, "s-3": 30 * S})
                self.assertEqual(ages["s-2"], before["s-2"] + 60 * S)
                self.assertTrue(0 <= ages["s-3"] <= 60 * S, ages)
                self.assertEqual("s-1" in ages, False)  # long ago needs no clock

    def test_the_first_whole_list_and_one_from_elsewhere_make_nobody_cold(self) -> None:
        """The list of the configuration may be old: who is new against it may have run for long."""
        self.begin()
        self.now += S
        self.assertEqual(self.ages({"s-1": 0, "s-2": 600 * S}), {"s-2": 600 * S})
        self.discovery.move(Address("127.0.0.1", 2))
        self.now += S
        self.assertEqual(self.ages({"s-3": 500 * S}), {"s-3": 500 * S})

    def test_a_stamp_from_the_future_is_a_start_right_now(self) -> None:
        self.begin(-3600)
        self.assertEqual(self.ages({"s-2": 600 * S}), {"s-2": 0})
        self.now += S
        self.assertEqual(self.ages({"s-2": 601 * S}), {"s-2": S})

    def test_an_older_stamp_is_of_an_older_process(self) -> None:
        """A discovery that was set back tells of the past: nothing has started."""
        self.begin()
        self.ages({"s-2": 5 * S})
        self.assertEqual(self.ages({"s-2": 700 * S}), {"s-2": 700 * S})

    def test_the_next_process_goes_by_what_the_one_before_knew(self) -> None:
        """Its own reading of the same stamps, by a clock stepped meanwhile, does not count."""
        for step in STEPS_S:
            with self.subTest(step=step):
                self.begin()
                self.ages({"s-2": 3 * S})
                starts, current_at = dict(self.discovery.reader.starts), self.discovery.current_at
                self.now += S
                self.begin(step)
                self.discovery.inherit(starts, current_at)
                ages = self.ages({"s-1": 0, "s-2": 4 * S, "s-3": S // 2})
                self.assertEqual(ages["s-2"], 4 * S)
                self.assertTrue(0 <= ages["s-3"] <= S, ages)


class Marks(unittest.TestCase):
    """What the module hears of an executor that operators took out and put back."""

    def setUp(self) -> None:
        self.driver = mock.Mock()
        self.driver.now.side_effect = lambda: self.now
        self.now = 50_000_000
        self.discovery = DiscoveryClient(self.driver, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.discovery.dispatch = mock.Mock()
        self.discovery.reader._initial_unix_offset_us = 0  # Unix time counts from the clock's start
        self.discovery.logged_watching = True
        self.list(since_ms=1_000)

    def list(self, **fields) -> None:
        entry = Endpoint("s-1", "SERVING", "127.0.0.1:1", **fields)
        self.discovery.on_listing(Listing(1, True, [entry]))

    def heard(self) -> api.EndpointEntry:
        return self.discovery.dispatch.on_endpoint_list.call_args.args[1].entries[-1]

    def test_out_it_drains_whatever_the_list_says(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.assertEqual(self.heard().state, api.ExecutorState.DRAINING)
        self.list(since_ms=52_000)
        self.assertEqual(self.heard().state, api.ExecutorState.DRAINING)

    def test_back_in_it_counts_from_the_restart_that_the_list_told(self) -> None:
        """Counted from the call, it stayed cold to the module for seconds after it was warm."""
        self.discovery.mark({"s-1": 50_000_000})
        self.now = 53_000_000  # a start that is still to come would count as one right now
        self.list(since_ms=52_000)
        self.now = 60_000_000
        self.discovery.mark({})
        told = self.heard()
        self.assertEqual((told.state, told.started_at), (api.ExecutorState.READY, 52_000_000))
        self.assertTrue(told.by_hand)

    def test_back_in_before_the_list_tells_its_restart_it_counts_from_the_call(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.now = 60_000_000
        self.discovery.mark({})
        self.assertEqual(self.heard().started_at, 60_000_000)

    def test_back_in_after_the_list_dropped_it_nothing_is_told(self) -> None:
        self.discovery.mark({"s-1": 50_000_000})
        self.discovery.on_listing(Listing(2, True, []))
        before = self.discovery.dispatch.on_endpoint_list.call_count
        self.discovery.mark({})
        self.assertEqual(self.discovery.dispatch.on_endpoint_list.call_count, before)


if __name__ == "__main__":
    unittest.main()
