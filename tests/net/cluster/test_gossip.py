"""Gossip of load reports between nodes: which peers receive a report, and when a report is ignored."""

import unittest
from types import SimpleNamespace

from cedarmill.core.timers import Timers
from cedarmill.decisions import interface as api
from cedarmill.net.cluster.gossip import IDLE_SEND_INTERVAL_US, MAX_REPORT_AGE_US, Gossip, Link

MS = 1_000


class ManualClock:
    """An event loop driver whose time and timers the test advances."""

    def __init__(self) -> None:
        self.current_time, self.timers = 1_000_000, Timers()

    def now(self) -> int:
        return self.current_time

    def advance(self, us: int) -> None:
        """Advance the time, and run the timers that become due."""
        end_time = self.current_time + us
        while self.timers.next_due is not None and self.timers.next_due <= end_time:
            self.current_time = max(self.current_time, self.timers.next_due)
            for call in self.timers.sweep(self.current_time):
                call(self.current_time)
        self.current_time = end_time


class GossipNode:
    """A node's gossip with one peer; records the frames sent and the reports accepted from the peer."""

    def __init__(self, clock: ManualClock, name: str, peer: str) -> None:
        executors = {n: SimpleNamespace(consecutive_failures=0, last_response_at=0) for n in range(4)}
        self.received_reports: list[tuple[int, int]] = []
        dispatch = SimpleNamespace(
            balancer=SimpleNamespace(executors=executors), on_peer_report=self._on_peer_report
        )
        entries = {n: api.EndpointEntry(n, api.ExecutorState.READY) for n in executors}
        names = {n: f"e{n}" for n in executors}
        reader = SimpleNamespace(
            names_by_number=names, numbers_by_name={name: n for n, name in names.items()}
        )
        discovery = SimpleNamespace(dispatch=dispatch, entries=entries, reader=reader)
        self.gossip, self.executors, self.sent_messages = Gossip(clock, name, "c", discovery), executors, []
        link = self.gossip.links[peer] = Link(peer)
        self.connection = link.connection = SimpleNamespace(
            name=peer, send=lambda number, message: self.sent_messages.append(message)
        )
        self.link = link

    def _on_peer_report(self, now: int, executor: int, report: tuple, age: int) -> None:
        self.received_reports.append((executor, age))
        self.executors[executor].last_response_at = now - age

    def receive(self, message) -> None:
        """Deliver a message from the peer."""
        self.gossip._on_message(self.connection, 0, message)


class GossipLinks(unittest.TestCase):
    """Two nodes on one clock; the test delivers their frames, delayed or not at all."""

    def setUp(self):
        self.clock = ManualClock()
        self.a, self.b = GossipNode(self.clock, "a", "b"), GossipNode(self.clock, "b", "a")
        self.a.gossip.set_peers({"a": "nowhere", "b": "nowhere"})
        self.b.gossip.set_peers({"a": "nowhere", "b": "nowhere"})
        for node, other in ((self.a, self.b), (self.b, self.a)):
            node.gossip._send_subscription(node.link)
            other.receive(node.sent_messages.pop())

    def exchange_frames(self, rounds: int = 4, delay_us: int = 0, delivers_replies: bool = True) -> None:
        """Deliver the frames of `a` after a delay, and those of `b` at once or not at all."""
        for _ in range(rounds):
            self.clock.advance(IDLE_SEND_INTERVAL_US)
            messages, self.a.sent_messages = self.a.sent_messages, []
            replies, self.b.sent_messages = self.b.sent_messages, []
            for message in replies if delivers_replies else []:
                self.a.receive(message)
            self.clock.advance(delay_us)
            for message in messages:
                self.b.receive(message)

    def receive_report(self, executor: int = 1) -> None:
        self.a.gossip.on_report(self.clock.current_time, executor, (3.0, 1.0))

    def test_a_report_is_sent_once_to_a_peer_and_not_forwarded(self):
        self.exchange_frames()
        self.receive_report()
        self.exchange_frames()
        self.assertEqual([executor for executor, _ in self.b.received_reports], [1])
        self.assertEqual(self.a.received_reports, [], "b does not forward the report")

    def test_reports_are_ignored_until_a_timestamp_is_echoed(self):
        self.receive_report()
        self.exchange_frames(1)
        self.assertEqual(self.b.received_reports, [])

    def test_reports_over_a_link_with_two_seconds_of_delay_are_ignored(self):
        self.exchange_frames(delay_us=2_000 * MS)
        for _ in range(3):
            self.receive_report()
            self.exchange_frames(1, delay_us=2_000 * MS)
        self.assertEqual(self.b.received_reports, [])
        self.assertGreaterEqual(self.b.gossip.ignored_reports, 3)

    def test_a_link_lost_in_one_direction_is_closed_and_ages_its_reports_until_then(self):
        self.exchange_frames()
        self.exchange_frames(2, delivers_replies=False)
        self.receive_report()
        self.exchange_frames(1, delivers_replies=False)
        self.assertEqual([executor for executor, _ in self.b.received_reports], [1])
        self.assertLess(
            self.b.received_reports[0][1], MAX_REPORT_AGE_US, "the age counts from the last echoed timestamp"
        )
        end_reasons = []
        self.a.connection.end = end_reasons.append
        self.exchange_frames(12, delivers_replies=False)
        self.assertEqual(end_reasons, ["no frame received in time"])

    def test_newer_own_reports_and_own_failures_take_precedence_over_a_peers_report(self):
        self.exchange_frames()
        self.b.executors[1].consecutive_failures = 1
        self.receive_report()
        self.exchange_frames()
        self.assertEqual(self.b.received_reports, [])
        self.b.executors[2].last_response_at = self.clock.current_time + MAX_REPORT_AGE_US
        self.receive_report(2)
        self.exchange_frames()
        self.assertEqual(self.b.received_reports, [])

    def test_links_exist_only_to_peers_that_use_the_same_executors(self):
        gossip, self.a.connection.end = self.a.gossip, lambda reason: None
        names = {n: f"e{n}" for n in range(600)}
        gossip.discovery.reader.names_by_number = names
        gossip.discovery.entries = {n: api.EndpointEntry(n, api.ExecutorState.READY) for n in names}
        gossip.set_peers({f"n{n}": "nowhere" for n in range(120)})
        self.clock.advance(IDLE_SEND_INTERVAL_US)
        sharing_peers = {
            name for name in gossip.peers if gossip.used_executors & set(gossip.plan.executors_of(name))
        }
        self.assertEqual(gossip.links.keys(), sharing_peers)
        self.assertLess(len(sharing_peers), 100, "of 120")

    def test_the_number_of_frames_does_not_grow_with_the_number_of_reports(self):
        self.exchange_frames()
        before = len(self.a.sent_messages)
        for _ in range(1000):
            self.receive_report()
        self.clock.advance(1_000 * MS)
        self.assertLessEqual(len(self.a.sent_messages) - before, 6)


if __name__ == "__main__":
    unittest.main()
