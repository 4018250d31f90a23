"""Gossip of load reports between nodes, over one connection for each pair of nodes that share executors.

A node sends only the reports that it received directly, and only to peers that use the same executor
(`cluster/gossip_plan.py`), at most five times a second for each link. Peers never forward reports. The age
of a report is bounded by echoed timestamps, so node clocks need not agree: if a link is slow or fails in one
direction, the bound grows and reports above the limit are ignored. Even an idle link carries two small
frames a second.
"""

from typing import Any, NamedTuple

from cedarmill.cluster import gossip_plan
from cedarmill.cluster.messages import GossipSubscription, GossipUpdate
from cedarmill.core.timers import SingleTimer
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.framing import FramedConnection
from cedarmill.net.loop import EventLoopDriver

SEND_INTERVAL_US = 200_000
# Frames without reports are sent because the peer needs timestamps.
IDLE_SEND_INTERVAL_US = 500_000
REDIAL_DELAY_US = 1_000_000
# Older reports are ignored.
MAX_REPORT_AGE_US = 1_000_000
# A link that receives no frame for this long is closed.
LINK_TIMEOUT_US = 5_000_000


class ReceivedReport(NamedTuple):
    """A load report that this node received from an executor, and its arrival time (us)."""

    arrival: int
    report: api.LoadReport


class Link:
    """State of the gossip with one peer: the connection, the peer's executors and the timestamps."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.connection: FramedConnection | None = None
        self.peer_executors: frozenset[str] = frozenset()
        self.newest_sent: dict[str, int] = {}  # arrival time of the last report sent, by executor
        self.last_sent_at = 0
        # The newest timestamp of the peer (-1: none) and its arrival time.
        self.peer_timestamp, self.last_received_at = -1, 0
        self.next_dial_at = 0

    @staticmethod
    def max_age(now: int, update: GossipUpdate) -> int:
        """Return the maximum age of an update (us), derived from the timestamp that it echoes."""
        if update.echoed_timestamp < 0:
            return MAX_REPORT_AGE_US + 1
        return max(0, now - update.echoed_timestamp - update.echo_age_us)


class Gossip:
    """Exchanges load reports with the peers that use the same executors; idle without peers."""

    def __init__(self, driver: EventLoopDriver, name: str, cluster: str, discovery: DiscoveryClient) -> None:
        self.driver, self.name, self.cluster, self.discovery = driver, name, cluster, discovery
        self.dispatch = discovery.dispatch
        self.peers: dict[str, str] = {}  # address by node name
        self.links: dict[str, Link] = {}
        self.used_executors: frozenset[str] = frozenset()
        self.sharing_peers: frozenset[str] = frozenset()  # peers that use at least one of them
        self.plan = gossip_plan.GossipPlan()
        self.reports: dict[str, ReceivedReport] = {}  # by executor
        self.followed_reports = self.ignored_reports = 0  # of peers
        self._timer = SingleTimer(driver.timers)
        self._is_running = False

    # Peers and their executors.

    def set_peers(self, peers: dict[str, str]) -> None:
        """Set the addresses of the cluster's nodes, by name; an empty dictionary stops the gossip."""
        self.peers = {name: address for name, address in peers.items() if name != self.name}
        for name in [name for name in self.links if name not in self.peers]:
            self._close_connection(self.links.pop(name), "no longer a peer")
        if self.peers and not self._is_running:
            self._on_timer(self.driver.now())

    def _on_timer(self, now: int) -> None:
        """Maintain all links; runs at each send interval while there are peers."""
        self._is_running = bool(self.peers)
        if not self._is_running:
            return
        self._timer.start(now + SEND_INTERVAL_US, self._on_timer)
        self._update_sharing()
        for name in sorted(self.sharing_peers | self.links.keys()):
            link = self.links.get(name)
            if link is None or link.connection is None:
                self._dial(now, name)
            elif now - link.last_received_at > LINK_TIMEOUT_US:
                self._close_connection(link, "no frame received in time")
            else:
                self._send_reports(now, link)

    def _update_sharing(self) -> None:
        """Update the executors and peers that this node shares reports with.

        The plan covers the executors of all zones: with one plan for each zone, nearly every pair of nodes
        would share an executor.
        """
        names, entries = self.discovery.reader.names_by_number, self.discovery.entries.items()
        listed = [names[number] for number, entry in entries if entry.state == api.ExecutorState.READY]
        if not self.plan.update([self.name, *self.peers], listed):
            return
        used = frozenset(self.plan.executors_of(self.name))
        self.sharing_peers = frozenset(
            name for name in self.peers if not used.isdisjoint(self.plan.executors_of(name))
        )
        for name in self.links.keys() - self.sharing_peers:
            self._close_connection(self.links.pop(name), "no executors in common")
        if used != self.used_executors:
            self.used_executors = used
            for link in self.links.values():
                self._send_subscription(link)

    def _send_subscription(self, link: Link) -> None:
        if link.connection is not None:
            link.connection.send(0, GossipSubscription(self.cluster, self.name, sorted(self.used_executors)))

    # Links. In each pair, the node whose name sorts first dials.

    def _dial(self, now: int, name: str) -> None:
        link = self.links.setdefault(name, Link(name))
        if self.name > name or now < link.next_dial_at or name not in self.sharing_peers:
            return
        link.next_dial_at = now + REDIAL_DELAY_US
        connection = FramedConnection(
            self.driver, self._on_message, self._on_end, lambda opened: self._start_link(link)
        )
        connection.name = name
        try:
            address = Address.parse(self.peers[name])
        except ValueError:
            return
        link.connection = connection
        connection.dial(address)

    def _start_link(self, link: Link) -> None:
        """Reset a link whose connection has opened, and send the subscription."""
        link.peer_timestamp, link.last_received_at, link.newest_sent = -1, self.driver.now(), {}
        self._send_subscription(link)

    def accept_peer(self, connection: FramedConnection, subscription: GossipSubscription) -> bool:
        """Adopt the connection of a peer that has dialled; return False if the sender is not a peer."""
        name = subscription.name
        if subscription.cluster != self.cluster or name not in self.peers:
            return False
        link = self.links.setdefault(name, Link(name))
        previous, link.connection = link.connection, connection
        if previous is not None and previous is not connection:
            previous.end("replaced by a newer connection")
        connection.name = name
        connection.on_message, connection.on_end = self._on_message, self._on_end
        self._start_link(link)
        self._on_message(connection, 0, subscription)
        return True

    def _close_connection(self, link: Link, reason: str) -> None:
        connection, link.connection = link.connection, None
        if connection is not None:
            connection.end(reason)

    def _on_end(self, connection: FramedConnection, reason: str) -> None:
        link = self.links.get(connection.name)
        if link is not None and link.connection is connection:
            link.connection, link.peer_executors = None, frozenset()

    # Reports.

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """Store a load report that came with a response or a probe, to share it with peers."""
        if self.peers and executor in self.discovery.reader.names_by_number:
            self.reports[self.discovery.reader.names_by_number[executor]] = ReceivedReport(now, report)

    def _send_reports(self, now: int, link: Link) -> None:
        reports = []
        for name in sorted(link.peer_executors & self.reports.keys()):
            received = self.reports[name]
            if now - received.arrival <= MAX_REPORT_AGE_US and received.arrival > link.newest_sent.get(
                name, -1
            ):
                link.newest_sent[name] = received.arrival
                reports.append((name, now - received.arrival, received.report))
        if link.connection is not None and (reports or now - link.last_sent_at >= IDLE_SEND_INTERVAL_US):
            link.last_sent_at = now
            echo_age = now - link.last_received_at if link.peer_timestamp >= 0 else 0
            link.connection.send(0, GossipUpdate(reports, now, link.peer_timestamp, echo_age))

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        link = self.links.get(connection.name)
        if link is None or link.connection is not connection:
            return
        now = self.driver.now()
        if isinstance(message, GossipSubscription):
            link.peer_executors = frozenset(message.executors)
        elif isinstance(message, GossipUpdate):
            age = link.max_age(now, message)
            link.peer_timestamp, link.last_received_at = message.timestamp, now
            for name, age_at_peer, report in message.reports:
                self._apply_report(now, name, age_at_peer + age, report)

    def _apply_report(self, now: int, name: str, age: int, report: api.LoadReport) -> None:
        """Pass a peer's report to the dispatch, or ignore it.

        Ignored are reports that are too old or older than this node's own information, and those of executors
        that are unknown or fail here.
        """
        number = self.discovery.reader.numbers_by_name.get(name)
        executor = self.dispatch.balancer.executors.get(number) if number is not None else None
        if (
            number is None
            or executor is None
            or age > MAX_REPORT_AGE_US
            or executor.consecutive_failures
            or now - age <= executor.last_response_at
        ):
            self.ignored_reports += 1
            return
        self.followed_reports += 1
        self.dispatch.on_peer_report(now, number, report, age)

    def end(self) -> None:
        """Log a summary and close all links, as the process ends."""
        if self.followed_reports or self.ignored_reports:
            log_event(
                "gossip-summary",
                followed=self.followed_reports,
                passed_over=self.ignored_reports,
                peers=len(self.links),
            )
        self.set_peers({})
