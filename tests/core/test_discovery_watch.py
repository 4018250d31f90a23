"""The discovery watch without sockets: its bounds on every path, its pacing, and the lists in its body."""

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

MANY = 200  # processes
MAX_CHANGE_DELAY_US = discovery_watch.MAX_CHANGE_DELAY_US


def entry(name: str, **fields) -> dict:
    return {"name": name, "status": "SERVING", "address": "127.0.0.1:1", **fields}


class Played(unittest.TestCase):
    """A watch that is driven by hand."""

    def watch(self, seed: int = 1, processes: int = MANY, pushed: bool = False) -> DiscoveryWatch:
        return DiscoveryWatch(processes, pushed, Random(seed))

    def up(self, watch: DiscoveryWatch, now: int) -> int:
        """Bring it from a wait or from nothing to a call that is written; the time."""
        if watch.state is WatchState.IDLE:
            watch.step(now, WatchEvent.LIST_WANTED)
        else:
            now = watch.deadline
            self.assertEqual(watch.step(now, WatchEvent.TIMER_FIRED), [Connect()])
        self.assertEqual(watch.step(now, WatchEvent.CONNECTED), [SendCall()])
        return now

    def listed(self, watch: DiscoveryWatch, now: int) -> int:
        now = self.up(watch, now)
        watch.step(now, WatchEvent.DATA_RECEIVED)
        watch.list_received()
        self.assertIs(watch.state, WatchState.WATCHING)
        return now


class Bounds(Played):
    """A change counts as told six seconds after discovery had it and could be reached."""

    def test_the_longest_good_call_after_the_longest_wait_stays_under_the_bound(self):
        longest = (
            discovery_watch.MAX_RETRY_US
            + discovery_watch.CONNECT_TIMEOUT_US
            + discovery_watch.CALL_TIMEOUT_US
        )
        self.assertLess(longest, MAX_CHANGE_DELAY_US)

    def test_after_any_loss_the_next_call_is_written_in_time(self):
        """Reachable from the moment at which the call began that failed: the worst one."""
        losses = {
            "refused": lambda w, now: (w.step(now, WatchEvent.CALL_FAILED), now)[1],
            "never up": lambda w, now: (w.step(w.deadline, WatchEvent.TIMER_FIRED), now)[1],
            "no answer": lambda w, now: self._silent_call(w, now),
            "status": lambda w, now: (
                w.step(now, WatchEvent.CONNECTED),
                w.step(now, WatchEvent.CALL_FAILED),
                now,
            )[2],
            "silent": lambda w, now: self._silent_watch(w, now, WatchEvent.DATA_RECEIVED),
            "half a line": lambda w, now: self._silent_watch(w, now, WatchEvent.PARTIAL_LIST_RECEIVED),
        }
        for name, lose in losses.items():
            for seed, pushed in itertools.product(range(50), (False, True)):
                watch, now = self.watch(seed, pushed=pushed), 0
                watch.step(now, WatchEvent.LIST_WANTED)
                for _ in range(6):
                    reachable = lose(watch, now)
                    self.assertIs(watch.state, WatchState.WAITING, name)
                    self.assertLessEqual(
                        watch.deadline - reachable,
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

    def test_a_list_that_trickles_and_never_ends_is_given_up(self):
        """Bytes alone are no sign of life: half a line may come one byte at a time for ever."""
        watch = self.watch()
        now = began = self.up(watch, 0)
        while watch.state is not WatchState.WAITING and now < 2 * MAX_CHANGE_DELAY_US:
            now += 100_000
            watch.step(
                now, WatchEvent.TIMER_FIRED if now >= watch.deadline else WatchEvent.PARTIAL_LIST_RECEIVED
            )
        self.assertLess(watch.deadline - began, MAX_CHANGE_DELAY_US)

    def test_a_new_address_is_asked_within_its_time_from_every_state(self):
        """What it tells counts 4 s after SIGHUP, also where two come in a row or the watch is reopening."""
        for state in WatchState:
            for seed in range(50):
                watch = self.watch(seed)
                watch.state, watch.failures = state, 9
                closing = state not in (WatchState.IDLE, WatchState.WAITING)
                self.assertEqual(
                    watch.step(7, WatchEvent.ADDRESS_CHANGED), [CloseConnection()] if closing else []
                )
                self.assertLessEqual(watch.deadline - 7, discovery_watch.NEW_ADDRESS_JITTER_US)
                watch.step(8, WatchEvent.ADDRESS_CHANGED)
                self.assertLessEqual(watch.deadline - 8, discovery_watch.NEW_ADDRESS_JITTER_US)
                self.assertEqual(watch.step(watch.deadline, WatchEvent.TIMER_FIRED), [Connect()])


class Pacing(Played):
    def test_all_processes_do_not_ask_at_once_when_discovery_returns(self):
        """Two hundred watches are lost in one moment; a tenth of a second must not bring them all back."""
        for failures in (1, 2, 5):
            waits = []
            for seed in range(MANY):
                watch, now = self.watch(seed), 0
                self.listed(watch, now)
                watch.step(now, WatchEvent.CALL_FAILED)
                for _ in range(failures - 1):
                    now = watch.deadline
                    watch.step(now, WatchEvent.TIMER_FIRED)
                    watch.step(now, WatchEvent.CALL_FAILED)
                waits.append(watch.deadline - now)
            tenths = [wait // 100_000 for wait in waits]
            self.assertLess(max(map(tenths.count, tenths)), MANY / 8)

    def test_few_processes_ask_sooner_and_back_off(self):
        watch, waits = self.watch(processes=3), []
        self.listed(watch, 0)
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

    def test_an_agent_that_pushes_is_asked_again_at_once(self):
        """Nobody else calls it, and what it has counts as told whether or not a watch is open."""
        watch, now = self.watch(pushed=True), 0
        self.listed(watch, now)
        for _ in range(5):
            watch.step(now, WatchEvent.CALL_FAILED)
            self.assertLessEqual(watch.deadline - now, discovery_watch.AGENT_MAX_RETRY_US)
            now = watch.deadline
            watch.step(now, WatchEvent.TIMER_FIRED)

    def test_who_asks_while_it_waits_or_watches_changes_nothing(self):
        watch = self.watch()
        self.listed(watch, 0)
        self.assertEqual(watch.step(1, WatchEvent.LIST_WANTED), [])
        watch.step(1, WatchEvent.CALL_FAILED)
        before = watch.deadline
        self.assertEqual((watch.step(2, WatchEvent.LIST_WANTED), watch.deadline), ([], before))


class Streams(unittest.TestCase):
    """Lists come one a line, or indented over many, cut anywhere."""

    lists = [
        {"index": 1, "snapshot": True, "endpoints": [entry("s-1"), entry("s-{2}", zone='a"}')]},
        {"index": 2, "snapshot": False, "endpoints": []},
        {"index": 3, "snapshot": False, "endpoints": [entry("s-1", status="DRAINING")]},
    ]

    def text(self, indent: int | None) -> bytes:
        return "\n\n".join(json.dumps(one, indent=indent) for one in self.lists).encode() + b"\n"

    def test_every_form_gives_the_same_lists_wherever_it_is_cut(self):
        for indent in (None, 1, 2):
            text = self.text(indent)
            for size in (1, 2, 7, 64, len(text)):
                stream, found = ListStream(), []
                for at in range(0, len(text), size):
                    found += stream.feed(text[at : at + size])
                self.assertEqual([listing.index for listing in found], [1, 2, 3])
                self.assertEqual(found[0].endpoints[1].name, "s-{2}")
                self.assertFalse(stream.partial)

    def test_a_list_is_partial_until_its_last_byte(self):
        text = self.text(2)
        first = text.index(b"\n}\n") + 2
        for at in (1, 20, first - 1):
            stream = ListStream()
            self.assertEqual((stream.feed(text[:at]), stream.partial), ([], True))
        stream = ListStream()
        stream.feed(b"\n\n")
        self.assertFalse(stream.partial)

    def test_an_answer_that_ends_without_a_newline_is_whole(self):
        stream = ListStream()
        self.assertEqual(stream.feed(json.dumps(self.lists[0], indent=1).encode()), [])
        self.assertEqual([listing.index for listing in stream.finish()], [1])

    def test_what_is_no_list_is_said_at_once(self):
        for text in (b"rubbish\n", b"[]\n", b'{"index": 1}\n', b'{"index": 1,}\n', b'{"index": "x"}\n'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                ListStream().feed(text)
        with self.assertRaises(ValueError):
            ListStream().feed(b"{" + b" " * (5 << 20))

    def test_a_bad_entry_spoils_itself_only(self):
        """The whole list was refused for one entry, again and again: no drain was ever told."""
        entries = [entry("s-1", weight="heavy"), entry("s-2", status="DRAINING"), {"status": "SERVING"}, 7]
        text = json.dumps({"index": 4, "snapshot": True, "endpoints": entries}).encode() + b"\n"
        (listing,) = ListStream().feed(text)
        told = [(endpoint.name, endpoint.status) for endpoint in listing.endpoints]
        self.assertEqual(told, [("s-1", UNREADABLE), ("s-2", "DRAINING")])


if __name__ == "__main__":
    unittest.main()
