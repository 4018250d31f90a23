"""Tests of the discovery watch's time limits and retries, and of the parser of its list stream."""

import itertools
import json
import unittest
from random import Random

from cedarmill.core import discovery_watch
from cedarmill.core.discovery_watch import (
    CloseConnection,
    Connect,
    DiscoveryWatch,
    ReportLoss,
    SendCall,
    WatchEvent,
    WatchState,
)
from cedarmill.net.discovery.list_stream import UNREADABLE, ListStream

PROCESS_COUNT = 200
MAX_CHANGE_DELAY_US = discovery_watch.MAX_CHANGE_DELAY_US


def entry(name: str, **fields) -> dict:
    return {"name": name, "status": "SERVING", "address": "127.0.0.1:1", **fields}


class WatchTestCase(unittest.TestCase):
    """Helpers that drive a watch through its states."""

    def create_watch(
        self, seed: int = 1, processes: int = PROCESS_COUNT, pushed: bool = False
    ) -> DiscoveryWatch:
        return DiscoveryWatch(processes, pushed, Random(seed))

    def open_call(self, watch: DiscoveryWatch, now: int) -> int:
        """Bring an idle or waiting watch to a written call, and return the time."""
        if watch.state is WatchState.IDLE:
            watch.step(now, WatchEvent.LIST_WANTED)
        else:
            now = watch.deadline
            self.assertEqual(watch.step(now, WatchEvent.TIMER_FIRED), [Connect()])
        self.assertEqual(watch.step(now, WatchEvent.CONNECTED), [SendCall()])
        return now

    def open_watch(self, watch: DiscoveryWatch, now: int) -> int:
        now = self.open_call(watch, now)
        watch.step(now, WatchEvent.DATA_RECEIVED)
        watch.list_received()
        self.assertIs(watch.state, WatchState.WATCHING)
        return now


class TimeLimitsTest(WatchTestCase):
    """A change must arrive within six seconds of the time when discovery had it and was reachable."""

    def test_longest_wait_and_call_stay_below_the_limit(self):
        longest = (
            discovery_watch.MAX_RETRY_US
            + discovery_watch.CONNECT_TIMEOUT_US
            + discovery_watch.CALL_TIMEOUT_US
        )
        self.assertLess(longest, MAX_CHANGE_DELAY_US)

    def test_next_call_after_any_loss_starts_in_time(self):
        """In the worst case, discovery becomes reachable just after the failed call started."""
        losses = {
            "refused": lambda w, now: (w.step(now, WatchEvent.CALL_FAILED), now)[1],
            "connect time-out": lambda w, now: (w.step(w.deadline, WatchEvent.TIMER_FIRED), now)[1],
            "no answer": lambda w, now: self._silent_call(w, now),
            "status": lambda w, now: (
                w.step(now, WatchEvent.CONNECTED),
                w.step(now, WatchEvent.CALL_FAILED),
                now,
            )[2],
            "silent": lambda w, now: self._silent_watch(w, now, WatchEvent.DATA_RECEIVED),
            "partial list": lambda w, now: self._silent_watch(w, now, WatchEvent.PARTIAL_LIST_RECEIVED),
        }
        for name, simulate_loss in losses.items():
            for seed, pushed in itertools.product(range(50), (False, True)):
                watch, now = self.create_watch(seed, pushed=pushed), 0
                watch.step(now, WatchEvent.LIST_WANTED)
                for _ in range(6):
                    reachable_at = simulate_loss(watch, now)
                    self.assertIs(watch.state, WatchState.WAITING, name)
                    self.assertLessEqual(
                        watch.deadline - reachable_at,
                        MAX_CHANGE_DELAY_US - discovery_watch.NEXT_CALL_RESERVE_US,
                        name,
                    )
                    now = watch.deadline
                    self.assertIn(Connect(), watch.step(now, WatchEvent.TIMER_FIRED), name)

    def _silent_call(self, watch: DiscoveryWatch, now: int) -> int:
        watch.step(now + discovery_watch.CONNECT_TIMEOUT_US - 1, WatchEvent.CONNECTED)
        watch.step(watch.deadline, WatchEvent.TIMER_FIRED)
        return now

    def _silent_watch(self, watch: DiscoveryWatch, now: int, last: WatchEvent) -> int:
        watch.step(now, WatchEvent.CONNECTED)
        watch.step(now, last)
        self.assertEqual(
            watch.step(watch.deadline, WatchEvent.TIMER_FIRED), [CloseConnection(), ReportLoss("silence")]
        )
        return now

    def test_list_that_never_ends_times_out(self):
        """Bytes alone must not keep the watch alive, because a list may never be completed."""
        watch = self.create_watch()
        now = started_at = self.open_call(watch, 0)
        while watch.state is not WatchState.WAITING and now < 2 * MAX_CHANGE_DELAY_US:
            now += 100_000
            watch.step(
                now, WatchEvent.TIMER_FIRED if now >= watch.deadline else WatchEvent.PARTIAL_LIST_RECEIVED
            )
        self.assertLess(watch.deadline - started_at, MAX_CHANGE_DELAY_US)

    def test_new_address_is_called_in_time_from_every_state(self):
        """Changes apply within 4 s of SIGHUP, also after two in a row or while the watch reconnects."""
        for state in WatchState:
            for seed in range(50):
                watch = self.create_watch(seed)
                watch.state, watch.failures = state, 9
                is_connected = state not in (WatchState.IDLE, WatchState.WAITING)
                self.assertEqual(
                    watch.step(7, WatchEvent.ADDRESS_CHANGED), [CloseConnection()] if is_connected else []
                )
                self.assertLessEqual(watch.deadline - 7, discovery_watch.NEW_ADDRESS_JITTER_US)
                watch.step(8, WatchEvent.ADDRESS_CHANGED)
                self.assertLessEqual(watch.deadline - 8, discovery_watch.NEW_ADDRESS_JITTER_US)
                self.assertEqual(watch.step(watch.deadline, WatchEvent.TIMER_FIRED), [Connect()])


class RetryPacingTest(WatchTestCase):
    def test_retries_of_all_processes_are_spread(self):
        """Retries after a simultaneous loss of 200 watches are spread over time."""
        for failures in (1, 2, 5):
            waits = []
            for seed in range(PROCESS_COUNT):
                watch, now = self.create_watch(seed), 0
                self.open_watch(watch, now)
                watch.step(now, WatchEvent.CALL_FAILED)
                for _ in range(failures - 1):
                    now = watch.deadline
                    watch.step(now, WatchEvent.TIMER_FIRED)
                    watch.step(now, WatchEvent.CALL_FAILED)
                waits.append(watch.deadline - now)
            tenths = [wait // 100_000 for wait in waits]
            self.assertLess(max(map(tenths.count, tenths)), PROCESS_COUNT / 8)

    def test_few_processes_retry_sooner_and_back_off(self):
        watch, waits = self.create_watch(processes=3), []
        self.open_watch(watch, 0)
        now = 0
        for _ in range(8):
            watch.step(now, WatchEvent.CALL_FAILED)
            waits.append(watch.deadline - now)
            now = watch.deadline
            watch.step(now, WatchEvent.TIMER_FIRED)
        self.assertLess(waits[0], 600_000)
        self.assertGreaterEqual(min(waits), discovery_watch.MIN_RETRY_US)
        self.assertGreater(max(waits[4:]), 2 * waits[0])
        watch.list_received()
        watch.step(now, WatchEvent.CALL_FAILED)
        self.assertLess(watch.deadline - now, 600_000)

    def test_pushing_agent_is_retried_after_a_short_wait(self):
        """A local agent has no other callers, so its retry waits stay short."""
        watch, now = self.create_watch(pushed=True), 0
        self.open_watch(watch, now)
        for _ in range(5):
            watch.step(now, WatchEvent.CALL_FAILED)
            self.assertLessEqual(watch.deadline - now, discovery_watch.AGENT_MAX_RETRY_US)
            now = watch.deadline
            watch.step(now, WatchEvent.TIMER_FIRED)

    def test_list_request_while_watching_or_waiting_is_ignored(self):
        watch = self.create_watch()
        self.open_watch(watch, 0)
        self.assertEqual(watch.step(1, WatchEvent.LIST_WANTED), [])
        watch.step(1, WatchEvent.CALL_FAILED)
        before = watch.deadline
        self.assertEqual((watch.step(2, WatchEvent.LIST_WANTED), watch.deadline), ([], before))


class ListStreamTest(unittest.TestCase):
    """A stream contains a list per line or indented lists, and is split anywhere."""

    lists = [
        {"index": 1, "snapshot": True, "endpoints": [entry("s-1"), entry("s-{2}", zone='a"}')]},
        {"index": 2, "snapshot": False, "endpoints": []},
        {"index": 3, "snapshot": False, "endpoints": [entry("s-1", status="DRAINING")]},
    ]

    def text(self, indent: int | None) -> bytes:
        return "\n\n".join(json.dumps(one, indent=indent) for one in self.lists).encode() + b"\n"

    def test_every_format_and_split_gives_the_same_lists(self):
        for indent in (None, 1, 2):
            text = self.text(indent)
            for size in (1, 2, 7, 64, len(text)):
                stream, found = ListStream(), []
                for at in range(0, len(text), size):
                    found += stream.feed(text[at : at + size])
                self.assertEqual([listing.index for listing in found], [1, 2, 3])
                self.assertEqual(found[0].endpoints[1].name, "s-{2}")
                self.assertFalse(stream.has_partial_list)

    def test_list_is_partial_until_its_last_byte(self):
        text = self.text(2)
        first = text.index(b"\n}\n") + 2
        for at in (1, 20, first - 1):
            stream = ListStream()
            self.assertEqual((stream.feed(text[:at]), stream.has_partial_list), ([], True))
        stream = ListStream()
        stream.feed(b"\n\n")
        self.assertFalse(stream.has_partial_list)

    def test_answer_without_a_final_newline_is_complete(self):
        stream = ListStream()
        self.assertEqual(stream.feed(json.dumps(self.lists[0], indent=1).encode()), [])
        self.assertEqual([listing.index for listing in stream.finish()], [1])

    def test_malformed_list_raises_an_error_at_once(self):
        for text in (b"rubbish\n", b"[]\n", b'{"index": 1}\n', b'{"index": 1,}\n', b'{"index": "x"}\n'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                ListStream().feed(text)
        with self.assertRaises(ValueError):
            ListStream().feed(b"{" + b" " * (5 << 20))

    def test_bad_entry_is_marked_unreadable_and_others_are_kept(self):
        """Rejecting the whole list for one entry would hide all further drains."""
        entries = [entry("s-1", weight="heavy"), entry("s-2", status="DRAINING"), {"status": "SERVING"}, 7]
        text = json.dumps({"index": 4, "snapshot": True, "endpoints": entries}).encode() + b"\n"
        (listing,) = ListStream().feed(text)
        statuses = [(endpoint.name, endpoint.status) for endpoint in listing.endpoints]
        self.assertEqual(statuses, [("s-1", UNREADABLE), ("s-2", "DRAINING")])


if __name__ == "__main__":
    unittest.main()
