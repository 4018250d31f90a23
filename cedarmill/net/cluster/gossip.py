"""Gossip of load reports between nodes, on sockets: one connection a pair, where the cluster shares them.

A node sends the reports that it received itself to those that use the same executor
(`cluster/gossip_plan.py`), at most five times a second a link, and never those of others: so a report makes
one message to each user and no more. How old a report can be is bounded by timestamps that come back, not by
clocks: on a link that is late, or lost one way, the bound grows, and what is too old is not followed. Each
link carries two small frames a second at the least.
"""

from typing import Any, NamedTuple

from cedarmill.cluster import gossip_plan
from cedarmill.cluster.messages import GossipSubscription, GossipUpdate
from cedarmill.core.timers import Timer
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.framing import FramedConnection
from cedarmill.net.loop import EventLoopDriver

SEND_US = 200_000  # between two frames with reports on a link
IDLE_SEND_US = 500_000  # between two frames without any: the other side needs a timestamp
REDIAL_US = 1_000_000  # until a link that broke is dialled again
MAX_AGE_US = 1_000_000  # beyond it a report is not followed
LINK_SILENT_US = 5_000_000  # without a frame: the link is given up


class ReceivedReport(NamedTuple):
    """A report that this node received from an executor, and when."""

    at: int
    report: api.LoadReport


class Link:
    """One peer: its connection, what it uses, and how old what comes from it can be."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.connection: FramedConnection | None = None
        self.uses: frozenset[str] = frozenset()
        self.sent_reports: dict[str, int] = {}  # by executor: when the newest that was sent had been received
        self.sent_at = 0  # when a frame was sent last
        self.timestamp, self.received_at = -1, 0  # the newest of the other side, and when it came
        self.dial_at = 0

    @staticmethod
    def age(now: int, update: GossipUpdate) -> int:
        """At most so long ago was it written: since the timestamp that it answers (us)."""
        if update.echoed_timestamp < 0:
            return MAX_AGE_US + 1
        return max(0, now - update.echoed_timestamp - update.echo_age_us)


class Gossip:
    """A node's links to those that use the same executors; idle without peers."""

    def __init__(self, driver: EventLoopDriver, name: str, cluster: str, discovery: DiscoveryClient) -> None:
        self.driver, self.name, self.cluster, self.discovery = driver, name, cluster, discovery
        self.dispatch = discovery.dispatch
        self.peers: dict[str, str] = {}  # addresses by name
        self.links: dict[str, Link] = {}
        self.used_here: frozenset[str] = frozenset()  # executors that this node uses
        self.sharing_peers: frozenset[str] = frozenset()  # those that use one of these as well
        self.plan = gossip_plan.GossipPlan()
        self.reports: dict[str, ReceivedReport] = {}  # by executor
        self.followed = self.passed_over = 0  # reports of peers
        self._timer: Timer | None = None

    # Who is there, and who uses what.

    def set_peers(self, peers: dict[str, str]) -> None:
        """Orders have come: the addresses of the nodes that are there; none: nothing is shared."""
        self.peers = {name: address for name, address in peers.items() if name != self.name}
        for name in [name for name in self.links if name not in self.peers]:
            self._drop(self.links.pop(name), "not a peer any longer")
        if self.peers and self._timer is None:
            self._on_time(self.driver.now())

    def _on_time(self, now: int) -> None:
        """Every so often, while there are peers."""
        if not self.peers:
            self._timer = None
            return
        self._timer = self.driver.timers.add(now + SEND_US, self._on_time)
        self._choose_executors()
        for name in sorted(self.sharing_peers | self.links.keys()):
            link = self.links.get(name)
            if link is None or link.connection is None:
                self._dial(now, name)
            elif now - link.received_at > LINK_SILENT_US:
                self._drop(link, "nothing comes")
            else:
                self._send_reports(now, link)

    def _choose_executors(self) -> None:
        """Executors that this node uses, over all zones: chosen by zone, nearly all nodes would share one."""
        names, entries = self.discovery.reader.names_by_number, self.discovery.entries.items()
        listed = [names[number] for number, entry in entries if entry.state == api.ExecutorState.READY]
        if not self.plan.update([self.name, *self.peers], listed):
            return
        used = frozenset(self.plan.executors_of(self.name))
        self.sharing_peers = frozenset(
            name for name in self.peers if not used.isdisjoint(self.plan.executors_of(name))
        )
        for name in self.links.keys() - self.sharing_peers:
            self._drop(self.links.pop(name), "uses nothing in common any longer")
        if used != self.used_here:
            self.used_here = used
            for link in self.links.values():
                self._send_subscription(link)

    def _send_subscription(self, link: Link) -> None:
        if link.connection is not None:
            link.connection.send(0, GossipSubscription(self.cluster, self.name, sorted(self.used_here)))

    # Links: of a pair the one whose name comes first dials.

    def _dial(self, now: int, name: str) -> None:
        link = self.links.setdefault(name, Link(name))
        if self.name > name or now < link.dial_at or name not in self.sharing_peers:
            return
        link.dial_at = now + REDIAL_US
        connection = FramedConnection(
            self.driver, self._on_message, self._on_end, lambda opened: self._begin(link)
        )
        connection.name = name
        try:
            address = Address.parse(self.peers[name])
        except ValueError:
            return
        link.connection = connection
        connection.dial(address)

    def _begin(self, link: Link) -> None:
        """A link's connection is open."""
        link.timestamp, link.received_at, link.sent_reports = -1, self.driver.now(), {}
        self._send_subscription(link)

    def accept_peer(self, connection: FramedConnection, subscription: GossipSubscription) -> bool:
        """A peer has dialled, and says what it uses; False: it is nobody to share with."""
        name = subscription.name
        if subscription.cluster != self.cluster or name not in self.peers:
            return False
        link = self.links.setdefault(name, Link(name))
        before, link.connection = link.connection, connection
        if before is not None and before is not connection:
            before.end("the peer dialled anew")
        connection.name = name
        connection.on_message, connection.on_end = self._on_message, self._on_end
        self._begin(link)
        self._on_message(connection, 0, subscription)
        return True

    def _drop(self, link: Link, reason: str) -> None:
        connection, link.connection = link.connection, None
        if connection is not None:
            connection.end(reason)

    def _on_end(self, connection: FramedConnection, reason: str) -> None:
        link = self.links.get(connection.name)
        if link is not None and link.connection is connection:
            link.connection, link.uses = None, frozenset()

    # Reports.

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """A report has come here, with an answer or a probe."""
        if self.peers and executor in self.discovery.reader.names_by_number:
            self.reports[self.discovery.reader.names_by_number[executor]] = ReceivedReport(now, report)

    def _send_reports(self, now: int, link: Link) -> None:
        reports = []
        for name in sorted(link.uses & self.reports.keys()):
            received = self.reports[name]
            if now - received.at <= MAX_AGE_US and received.at > link.sent_reports.get(name, -1):
                link.sent_reports[name] = received.at
                reports.append((name, now - received.at, received.report))
        if link.connection is not None and (reports or now - link.sent_at >= IDLE_SEND_US):
            link.sent_at = now
            echo_age = now - link.received_at if link.timestamp >= 0 else 0
            link.connection.send(0, GossipUpdate(reports, now, link.timestamp, echo_age))

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        link = self.links.get(connection.name)
        if link is None or link.connection is not connection:
            return
        now = self.driver.now()
        if isinstance(message, GossipSubscription):
            link.uses = frozenset(message.executors)
        elif isinstance(message, GossipUpdate):
            age = link.age(now, message)
            link.timestamp, link.received_at = message.timestamp, now
            for name, age_at_peer, report in message.reports:
                self._follow(now, name, age_at_peer + age, report)

    def _follow(self, now: int, name: str, age: int, report: api.LoadReport) -> None:
        """A peer's report: followed where it is newer than what is known here, and not too old."""
        number = self.discovery.reader.numbers_by_name.get(name)
        executor = self.dispatch.balancer.executors.get(number) if number is not None else None
        if (
            number is None
            or executor is None
            or age > MAX_AGE_US
            or executor.consecutive_failures
            or now - age <= executor.last_response_at
        ):
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
        self.set_peers({})
