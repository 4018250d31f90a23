"""News of executors between nodes: who is told what, and what is too old to be followed."""

import unittest
from types import SimpleNamespace

from cedarmill.decisions import interface as api
from cedarmill.net.cluster.gossip import IDLE_SEND_US, MAX_AGE_US, Gossip, Link

MS = 1_000


class Clock:
    """A turn whose time the test passes."""

    def __init__(self) -> None:
        self.at, self.calls = 1_000_000, []
        self.timers = SimpleNamespace(add=lambda when, call: self.calls.append((when, call)))

    def now(self) -> int:
        return self.at

    def pass_on(self, us: int) -> None:
        """Time passes, and what is due is called."""
        until = self.at + us
        while due := [one for one in self.calls if one[0] <= until]:
            first = min(due, key=lambda one: one[0])
            self.calls.remove(first)
            self.at = first[0]
            first[1](self.at)
        self.at = until


class Side:
    """One node with its gossip; what it says is kept."""

    def __init__(self, clock: Clock, name: str, peer: str) -> None:
        workers = {n: SimpleNamespace(consecutive_failures=0, last_response_at=0) for n in range(4)}
        self.heard: list[tuple[int, int]] = []
        dispatch = SimpleNamespace(balancer=SimpleNamespace(executors=workers), on_peer_report=self._told)
        entries = {n: api.EndpointEntry(n, api.ExecutorState.READY) for n in workers}
        names = {n: f"e{n}" for n in workers}
        reader = SimpleNamespace(
            names_by_number=names, numbers_by_name={name: n for n, name in names.items()}
        )
        discovery = SimpleNamespace(dispatch=dispatch, entries=entries, reader=reader)
        self.gossip, self.executors, self.said = Gossip(clock, name, "c", discovery), workers, []
        link = self.gossip.links[peer] = Link(peer)
        self.connection = link.connection = SimpleNamespace(
            name=peer, send=lambda number, word: self.said.append(word)
        )
        self.link = link

    def _told(self, now: int, worker: int, report: tuple, age: int) -> None:
        self.heard.append((worker, age))
        self.executors[worker].last_response_at = now - age

    def take(self, word) -> None:
        """A frame comes from the other side."""
        self.gossip._on_message(self.connection, 0, word)


class Links(unittest.TestCase):
    """Two nodes on one clock; their frames are carried by hand, so late or not at all."""

    def setUp(self):
        self.clock = Clock()
        self.a, self.b = Side(self.clock, "a", "b"), Side(self.clock, "b", "a")
        self.a.gossip.set_peers({"a": "nowhere", "b": "nowhere"})
        self.b.gossip.set_peers({"a": "nowhere", "b": "nowhere"})
        for side, other in ((self.a, self.b), (self.b, self.a)):
            side.gossip._send_subscription(side.link)
            other.take(side.said.pop())

    def carry(self, times: int = 4, late: int = 0, back: bool = True) -> None:
        """Let frames go both ways: those of `a` so much later, those of `b` at once or not at all."""
        for _ in range(times):
            self.clock.pass_on(IDLE_SEND_US)
            words, self.a.said = self.a.said, []
            answers, self.b.said = self.b.said, []
            for word in answers if back else []:
                self.a.take(word)
            self.clock.pass_on(late)
            for word in words:
                self.b.take(word)

    def hears(self, worker: int = 1) -> None:
        self.a.gossip.on_report(self.clock.at, worker, (3.0, 1.0))

    def test_what_is_heard_is_told_once_and_never_passed_on(self):
        self.carry()
        self.hears()
        self.carry()
        self.assertEqual([worker for worker, _ in self.b.heard], [1])
        self.assertEqual(self.a.heard, [], "b was told it, and tells nobody")

    def test_nothing_is_followed_before_a_stamp_has_come_back(self):
        self.hears()
        self.carry(1)
        self.assertEqual(self.b.heard, [])

    def test_a_link_that_delays_by_two_seconds_is_not_followed(self):
        self.carry(late=2_000 * MS)
        for _ in range(3):
            self.hears()
            self.carry(1, late=2_000 * MS)
        self.assertEqual(self.b.heard, [])
        self.assertGreaterEqual(self.b.gossip.passed_over, 3)

    def test_a_link_that_is_lost_one_way_is_given_up_and_till_then_tells_its_age(self):
        self.carry()
        self.carry(2, back=False)
        self.hears()
        self.carry(1, back=False)
        self.assertEqual([worker for worker, _ in self.b.heard], [1])
        self.assertLess(self.b.heard[0][1], MAX_AGE_US, "by the last stamp that came through")
        ended = []
        self.a.connection.end = ended.append
        self.carry(12, back=False)
        self.assertEqual(ended, ["nothing comes"])

    def test_own_news_and_an_executor_that_this_node_cannot_reach_go_before_what_is_told(self):
        self.carry()
        self.b.executors[1].consecutive_failures = 1
        self.hears()
        self.carry()
        self.assertEqual(self.b.heard, [])
        self.b.executors[2].last_response_at = self.clock.at + MAX_AGE_US
        self.hears(2)
        self.carry()
        self.assertEqual(self.b.heard, [])

    def test_only_peers_that_use_the_same_executors_are_linked(self):
        gossip, self.a.connection.end = self.a.gossip, lambda reason: None
        names = {n: f"e{n}" for n in range(600)}
        gossip.discovery.reader.names_by_number = names
        gossip.discovery.entries = {n: api.EndpointEntry(n, api.ExecutorState.READY) for n in names}
        gossip.set_peers({f"n{n}": "nowhere" for n in range(120)})
        self.clock.pass_on(IDLE_SEND_US)
        shares = {name for name in gossip.peers if gossip.used_here & set(gossip.plan.executors_of(name))}
        self.assertEqual(gossip.links.keys(), shares)
        self.assertLess(len(shares), 100, "of 120")

    def test_frames_do_not_grow_with_what_is_heard(self):
        self.carry()
        before = len(self.a.said)
        for _ in range(1000):
            self.hears()
        self.clock.pass_on(1_000 * MS)
        self.assertLessEqual(len(self.a.said) - before, 6)


if __name__ == "__main__":
    unittest.main()
