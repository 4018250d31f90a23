"""News of executors between nodes, on sockets: one connection a pair, where the fleet shares news.

A node tells what it heard itself to those that use the same executor (`fleet/gossip_plan.py`), at most five
times a second a link, and never what it was told: so a fact makes one message to each user and no more. How
old a fact can be is bounded by stamps that come back, not by clocks: on a link that is late, or lost one
way, the bound grows, and what is too old is not followed. Each link carries two small frames a second at
the least.
"""

from typing import NamedTuple

from cedarmill.cluster import gossip_plan
from cedarmill.cluster.messages import GossipSubscription, GossipUpdate
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.framing import FramedConnection
from cedarmill.net.loop import EventLoopDriver

TELL_US = 200_000  # between two frames with facts on a link
STILL_US = 500_000  # between two frames without any: the other side needs a stamp
AGAIN_US = 1_000_000  # till a link that broke is dialled again
OLD_US = 1_000_000  # the age beyond which a fact is not followed
LOST_US = 5_000_000  # without a frame: the link is given up


class Report(NamedTuple):
    """What this node heard itself."""

    at: int
    report: api.LoadReport


class Link:
    """One peer: its connection, what it uses, and how old what comes from it can be."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.wire: FramedConnection | None = None
        self.uses: frozenset[str] = frozenset()
        self.told: dict[str, int] = {}  # by executor: when the fact was heard that was told last
        self.said = 0  # when a frame went out last
        self.stamp, self.stamped = -1, 0  # the newest of the other side, and when it came
        self.dial_at = 0

    def age(self, now: int, word: GossipUpdate) -> int:
        """At most so long ago was it written: since the stamp that it answers (us)."""
        return (
            OLD_US + 1
            if word.echoed_timestamp < 0
            else max(0, now - word.echoed_timestamp - word.echo_age_us)
        )


class Gossip:
    """A node's links to those that use the same executors; made where a fleet is set, idle without peers."""

    def __init__(self, driver: EventLoopDriver, name: str, cluster: str, discovery: DiscoveryClient) -> None:
        self.driver, self.name, self.cluster, self.discovery = driver, name, cluster, discovery
        self.dispatch = discovery.dispatch
        self.peers: dict[str, str] = {}
        self.links: dict[str, Link] = {}
        self.mine: frozenset[str] = frozenset()  # executors that this node uses
        self.near: frozenset[str] = frozenset()  # peers that use one of these as well
        self.draw = gossip_plan.GossipPlan()
        self.facts: dict[str, Report] = {}
        self.followed = self.passed_over = 0
        self._due = None

    # Who is there, and who uses what.

    def follow(self, peers: dict[str, str]) -> None:
        """Orders have come: the nodes that are there; none: nothing is shared."""
        self.peers = {name: address for name, address in peers.items() if name != self.name}
        for name in [name for name in self.links if name not in self.peers]:
            self._drop(self.links.pop(name), "not a peer any longer")
        if self.peers and self._due is None:
            self._again(self.driver.now())

    def _again(self, now: int) -> None:
        """Every so often, while there are peers."""
        if not self.peers:
            self._due = None
            return
        self._due = self.driver.timers.add(now + TELL_US, self._again)
        self._choose()
        for name in sorted(self.near | self.links.keys()):
            link = self.links.get(name)
            if link is None or link.wire is None:
                self._dial(now, name)
            elif now - link.stamped > LOST_US:
                self._drop(link, "nothing comes")
            else:
                self._tell(now, link)

    def _choose(self) -> None:
        """Executors that this node uses, over all zones: drawn by zone, nearly all nodes would share one."""
        names, entries = self.discovery.reader.names, self.discovery.entries.items()
        listed = [names[number] for number, entry in entries if entry.state == api.ExecutorState.READY]
        if not self.draw.update([self.name, *self.peers], listed):
            return
        mine = frozenset(self.draw.executors_of(self.name))
        self.near = frozenset(
            name for name in self.peers if not mine.isdisjoint(self.draw.executors_of(name))
        )
        for name in self.links.keys() - self.near:
            self._drop(self.links.pop(name), "uses nothing in common any longer")
        if mine != self.mine:
            self.mine = mine
            for link in self.links.values():
                self._say_uses(link)

    def _say_uses(self, link: Link) -> None:
        if link.wire is not None:
            link.wire.send(0, GossipSubscription(self.cluster, self.name, sorted(self.mine)))

    # Links: of a pair the one whose name comes first dials.

    def _dial(self, now: int, name: str) -> None:
        link = self.links.setdefault(name, Link(name))
        if self.name > name or now < link.dial_at or name not in self.near:
            return
        link.dial_at = now + AGAIN_US
        wire = FramedConnection(self.driver, self._heard, self._ended, lambda wire: self._up(link, wire))
        wire.name = name
        try:
            address = Address.parse(self.peers[name])
        except ValueError:
            return
        link.wire = wire
        wire.dial(address)

    def _up(self, link: Link, wire: FramedConnection) -> None:
        link.stamp, link.stamped, link.told = -1, self.driver.now(), {}
        self._say_uses(link)

    def take(self, wire: FramedConnection, word: GossipSubscription) -> bool:
        """A peer has dialled, and tells what it uses; False: it is nobody to share with."""
        if word.cluster != self.cluster or word.name not in self.peers:
            return False
        link = self.links.setdefault(word.name, Link(word.name))
        before, link.wire = link.wire, wire
        if before is not None and before is not wire:
            before.end("the peer dialled anew")
        wire.name, wire.heard, wire.ended = word.name, self._heard, self._ended
        self._up(link, wire)
        self._heard(wire, 0, word)
        return True

    def _drop(self, link: Link, reason: str) -> None:
        wire, link.wire = link.wire, None
        if wire is not None:
            wire.end(reason)

    def _ended(self, wire: FramedConnection, reason: str) -> None:
        link = self.links.get(wire.name)
        if link is not None and link.wire is wire:
            link.wire, link.uses = None, frozenset()

    # What is heard and told.

    def on_report(self, now: int, worker: int, report: api.LoadReport) -> None:
        """A report has come here, with an answer or a probe."""
        if self.peers and worker in self.discovery.reader.names:
            self.facts[self.discovery.reader.names[worker]] = Report(now, report)

    def _tell(self, now: int, link: Link) -> None:
        facts = []
        for name in sorted(link.uses & self.facts.keys()):
            fact = self.facts[name]
            if now - fact.at > OLD_US:
                continue
            if fact.at > link.told.get(name, -1):
                link.told[name] = fact.at
                facts.append((name, now - fact.at, fact.report))
        if facts or now - link.said >= STILL_US:
            link.said = now
            since = now - link.stamped if link.stamp >= 0 else 0
            link.wire.send(0, GossipUpdate(facts, now, link.stamp, since))

    def _heard(self, wire: FramedConnection, number: int, word: object) -> None:
        link = self.links.get(wire.name)
        if link is None or link.wire is not wire:
            return
        now = self.driver.now()
        if isinstance(word, GossipSubscription):
            link.uses = frozenset(word.executors)
        elif isinstance(word, GossipUpdate):
            age = link.age(now, word)
            link.stamp, link.stamped = word.timestamp, now
            for name, old, report in word.reports:
                self._take(now, name, old + age, report)

    def _take(self, now: int, name: str, age: int, report: api.LoadReport) -> None:
        """A fact of another's: followed where it is newer than what is known here, and not too old."""
        number = self.discovery.reader.numbers.get(name)
        worker = self.dispatch.balancer.executors.get(number) if number is not None else None
        if worker is None or age > OLD_US or worker.consecutive_failures or now - age <= worker.heard_at:
            self.passed_over += 1
            return
        self.followed += 1
        self.dispatch.on_peer_report(now, number, report, age)

    def end(self) -> None:
        """This process ends."""
        if self.followed or self.passed_over:
            log_event(
                "gossip-summary", followed=self.followed, passed_over=self.passed_over, peers=len(self.links)
            )
        self.follow({})
