"""The discovery client's log lines, calls, executor starts and exclusions, without sockets."""

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


class UnstableDiscovery(unittest.TestCase):
    """A discovery whose watch repeatedly opens, delivers a list and fails."""

    def setUp(self) -> None:
        self.driver, self.logged_events = mock.Mock(), []
        self.driver.timers = Timers()
        self.discovery = DiscoveryClient(
            self.driver, settings(on_request_discovery=True), Address("127.0.0.1", 1), mock.Mock(), Random(1)
        )
        self.discovery.dispatch = mock.Mock()
        patches = (
            mock.patch(
                "cedarmill.net.discovery.client.log_event",
                lambda name, *_, **__: self.logged_events.append(name),
            ),
            mock.patch("cedarmill.net.discovery.client.WatchConnection"),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.calls = 0

    def fail_watch(self, at: int) -> None:
        """Fail the watch, then advance the time to its deadline, when it is renewed."""
        self.driver.now.return_value = at
        self.discovery.on_watch_event(WatchEvent.CALL_FAILED, "silence")
        due = self.driver.timers.next_due
        self.driver.now.return_value = due
        for call in self.driver.timers.sweep(due):
            call(due)
        self.calls += self.discovery.connection is not None

    def connect_and_fail(self, at: int) -> None:
        self.driver.now.return_value = at
        self.discovery.watch()
        self.discovery.on_watch_event(WatchEvent.CONNECTED)
        self.discovery.on_watch_event(WatchEvent.DATA_RECEIVED)
        self.discovery.on_listing(Listing(1, False, []))
        self.fail_watch(at)

    def test_repeated_losses_log_one_line(self) -> None:
        for attempt in range(20):
            self.connect_and_fail(1 + attempt * 300_000)
        self.assertEqual(self.logged_events, ["watching", "watch-lost", "watching"])
        self.assertEqual(self.calls, 20)  # every loss is followed by a call

    def test_lasting_loss_is_logged_again(self) -> None:
        self.connect_and_fail(1)
        self.connect_and_fail(2)
        self.fail_watch(WATCH_LOST_QUIET_US + 2)
        self.assertEqual(self.logged_events, ["watching", "watch-lost", "watching", "watch-lost"])

    def test_call_without_budget_waits_like_a_failed_call(self) -> None:
        self.discovery.dispatch.may_call_discovery.return_value = False
        self.connect_and_fail(1)
        self.assertIsNone(self.discovery.connection)
        self.assertIs(self.discovery.watch_machine.state, WatchState.WAITING)


SECOND_US = 1_000_000
CLOCK_STEPS_S = (-3600, -5, 5, 3600)


class ExecutorStarts(unittest.TestCase):
    """Executor starts derived from discovery's stamps while this machine's wall clock is stepped."""

    UNIX_OFFSET_US = 1_700_000_000 * SECOND_US  # correct Unix time minus the node's clock

    def setUp(self) -> None:
        self.driver, self.now, self.step_s = mock.Mock(), 10_000 * SECOND_US, 0
        self.driver.now.side_effect = lambda: self.now
        for name, value in (("unix_us", self.unix_us), ("EventLoopDriver", self.driver)):
            patch = mock.patch(f"cedarmill.net.discovery.endpoints.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)

    def unix_us(self) -> int:
        return self.now + self.UNIX_OFFSET_US + self.step_s * SECOND_US

    def start_client(self, step_s: int = 0) -> None:
        """Create and start a client while the wall clock is off by `step_s` seconds."""
        self.step_s = step_s
        self.discovery = DiscoveryClient(self.driver, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.discovery.dispatch = mock.Mock()
        self.discovery.logged_watching = True
        self.discovery.start(self.listing({"s-1": 0}))

    def listing(self, true_ages: dict[str, int], snapshot: bool = True) -> Listing:
        """Return a list from the executors' true ages by name (us); 0: no stamp."""
        stamps = {
            name: (self.now - age_us + self.UNIX_OFFSET_US) // 1000 if age_us else 0
            for name, age_us in true_ages.items()
        }
        return Listing(
            1,
            snapshot,
            [Endpoint(name, "SERVING", "127.0.0.1:1", since_ms=stamp) for name, stamp in stamps.items()],
        )

    def ages_after_listing(self, true_ages: dict[str, int], snapshot: bool = True) -> dict[str, int]:
        """Receive a list with these true ages; return the ages by name (us) that the balancer is given."""
        self.discovery.on_listing(self.listing(true_ages, snapshot))
        entries, names = (
            self.discovery.dispatch.on_endpoint_list.call_args.args[1].entries,
            self.discovery.reader.names_by_number,
        )
        return {names[entry.executor]: self.now - entry.started_at for entry in entries if entry.started_at}

    def test_new_executor_on_live_watch_starts_after_previous_list(self) -> None:
        """Guards against a wall clock that is ahead making a new executor appear warmed up."""
        for initial_step_s, later_step_s in (
            [(step_s, step_s) for step_s in CLOCK_STEPS_S]
            + [(0, step_s) for step_s in CLOCK_STEPS_S]
            + [(step_s, 0) for step_s in CLOCK_STEPS_S]
        ):
            with self.subTest(initial_step_s=initial_step_s, later_step_s=later_step_s):
                self.start_client(initial_step_s)
                self.ages_after_listing({"s-1": 0, "s-2": 20 * SECOND_US})
                self.now += 2 * SECOND_US
                self.step_s = later_step_s
                # A new executor, and a restarted one.
                for starts in ({"s-3": SECOND_US // 2}, {"s-1": SECOND_US // 2}):
                    (age,) = self.ages_after_listing(starts, snapshot=False).values()
                    self.assertTrue(0 <= age <= 2 * SECOND_US, age)

    def test_stamp_holds_for_late_listing_with_correct_clock(self) -> None:
        self.start_client()
        self.ages_after_listing({"s-1": 0})
        self.now += SECOND_US
        self.assertEqual(
            self.ages_after_listing({"s-2": 3 * SECOND_US // 2}, snapshot=False), {"s-2": 3 * SECOND_US // 2}
        )

    def test_unchanged_stamp_keeps_start_through_clock_steps(self) -> None:
        self.start_client()
        self.ages_after_listing({"s-1": 3 * SECOND_US})
        for clock_step_s in CLOCK_STEPS_S:
            self.step_s = clock_step_s
            self.now += SECOND_US
            age_us = self.now - (10_000 - 3) * SECOND_US
            self.assertEqual(self.ages_after_listing({"s-1": age_us}), {"s-1": age_us})

    def test_list_after_outage_makes_only_new_executors_cold(self) -> None:
        for clock_step_s in (0, *CLOCK_STEPS_S):
            with self.subTest(clock_step_s=clock_step_s):
                self.start_client(clock_step_s)
                previous_ages = self.ages_after_listing({"s-1": 0, "s-2": 600 * SECOND_US})
                self.now += 60 * SECOND_US
                ages = self.ages_after_listing({"s-1": 0, "s-2": 660 * SECOND_US, "s-3": 30 * SECOND_US})
                self.assertEqual(ages["s-2"], previous_ages["s-2"] + 60 * SECOND_US)
                self.assertTrue(0 <= ages["s-3"] <= 60 * SECOND_US, ages)
                self.assertEqual("s-1" in ages, False)  # without a stamp there is no start

    def test_first_list_and_list_from_new_address_make_no_executor_cold(self) -> None:
        """Executors missing in an old configured list may have been running for long."""
        self.start_client()
        self.now += SECOND_US
        self.assertEqual(
            self.ages_after_listing({"s-1": 0, "s-2": 600 * SECOND_US}), {"s-2": 600 * SECOND_US}
        )
        self.discovery.change_address(Address("127.0.0.1", 2))
        self.now += SECOND_US
        self.assertEqual(self.ages_after_listing({"s-3": 500 * SECOND_US}), {"s-3": 500 * SECOND_US})

    def test_future_stamp_counts_as_start_now(self) -> None:
        self.start_client(-3600)
        self.assertEqual(self.ages_after_listing({"s-2": 600 * SECOND_US}), {"s-2": 0})
        self.now += SECOND_US
        self.assertEqual(self.ages_after_listing({"s-2": 601 * SECOND_US}), {"s-2": SECOND_US})

    def test_older_stamp_restores_older_start(self) -> None:
        """A discovery that was reset to an older state reports no new start."""
        self.start_client()
        self.ages_after_listing({"s-2": 5 * SECOND_US})
        self.assertEqual(self.ages_after_listing({"s-2": 700 * SECOND_US}), {"s-2": 700 * SECOND_US})

    def test_successor_uses_starts_of_predecessor(self) -> None:
        """The successor must not convert the same stamps again by a clock that was stepped."""
        for clock_step_s in CLOCK_STEPS_S:
            with self.subTest(clock_step_s=clock_step_s):
                self.start_client()
                self.ages_after_listing({"s-2": 3 * SECOND_US})
                starts, current_at = dict(self.discovery.reader.starts), self.discovery.list_current_at
                self.now += SECOND_US
                self.start_client(clock_step_s)
                self.discovery.restore_starts(starts, current_at)
                ages = self.ages_after_listing({"s-1": 0, "s-2": 4 * SECOND_US, "s-3": SECOND_US // 2})
                self.assertEqual(ages["s-2"], 4 * SECOND_US)
                self.assertTrue(0 <= ages["s-3"] <= SECOND_US, ages)


class Exclusions(unittest.TestCase):
    """Entries that the balancer gets for an executor that operators exclude and include again."""

    def setUp(self) -> None:
        self.driver = mock.Mock()
        self.driver.now.side_effect = lambda: self.now
        self.now = 50_000_000
        self.discovery = DiscoveryClient(self.driver, settings(), Address("127.0.0.1", 1), mock.Mock())
        self.discovery.dispatch = mock.Mock()
        self.discovery.reader._initial_unix_offset_us = 0  # Unix time equals the node's clock
        self.discovery.logged_watching = True
        self.receive_list(since_ms=1_000)

    def receive_list(self, **fields) -> None:
        entry = Endpoint("s-1", "SERVING", "127.0.0.1:1", **fields)
        self.discovery.on_listing(Listing(1, True, [entry]))

    def last_published_entry(self) -> api.EndpointEntry:
        return self.discovery.dispatch.on_endpoint_list.call_args.args[1].entries[-1]

    def test_excluded_executor_drains_despite_list(self) -> None:
        self.discovery.set_exclusions({"s-1": 50_000_000})
        self.assertEqual(self.last_published_entry().state, api.ExecutorState.DRAINING)
        self.receive_list(since_ms=52_000)
        self.assertEqual(self.last_published_entry().state, api.ExecutorState.DRAINING)

    def test_included_executor_starts_at_listed_restart(self) -> None:
        """Guards against counting the start from the operator's call, which prolongs the warm-up."""
        self.discovery.set_exclusions({"s-1": 50_000_000})
        self.now = 53_000_000  # after the listed start, since a future stamp counts as now
        self.receive_list(since_ms=52_000)
        self.now = 60_000_000
        self.discovery.set_exclusions({})
        entry = self.last_published_entry()
        self.assertEqual((entry.state, entry.started_at), (api.ExecutorState.READY, 52_000_000))
        self.assertTrue(entry.is_reinstated)

    def test_included_executor_without_listed_restart_starts_now(self) -> None:
        self.discovery.set_exclusions({"s-1": 50_000_000})
        self.now = 60_000_000
        self.discovery.set_exclusions({})
        self.assertEqual(self.last_published_entry().started_at, 60_000_000)

    def test_including_unlisted_executor_publishes_nothing(self) -> None:
        self.discovery.set_exclusions({"s-1": 50_000_000})
        self.discovery.on_listing(Listing(2, True, []))
        previous_call_count = self.discovery.dispatch.on_endpoint_list.call_count
        self.discovery.set_exclusions({})
        self.assertEqual(self.discovery.dispatch.on_endpoint_list.call_count, previous_call_count)


if __name__ == "__main__":
    unittest.main()
