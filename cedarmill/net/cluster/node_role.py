"""A node's role in the cluster: sends reports, follows orders and obeys the lease. Unused on the platform.

The balancer sees executors that are excluded by the cluster as draining. Permission to send is checked when
an attempt is written (`DispatchObserver.may_send`): nothing is sent before the first orders, unless
configured otherwise, and with `cut-off="stop"` nothing is sent after the lease has expired.
"""

import os
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec

from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.cluster.budget_lease import BudgetLeases, RetryBudget
from cedarmill.cluster.messages import Orders, ReadReply, ReadRequest
from cedarmill.cluster.session import MemberIdentity, MemberReport
from cedarmill.core.requests import Failed, FinalAnswer, Refused, Request
from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.admin.handlers import AdminHandlers
from cedarmill.net.admin.server import Answer
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.cluster.admin_requests import AdminRequests
from cedarmill.net.cluster.gossip import Gossip
from cedarmill.net.cluster.member import LEAVE_DELAY_US, Membership
from cedarmill.net.cluster.node_reports import NodeReports
from cedarmill.net.cluster.observer import ClusterObserver
from cedarmill.net.cluster.routing import ClusterRouting
from cedarmill.net.config import Address, Config
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

# Limits the wait for a replica's list of peers.
PEERS_TIMEOUT_US = 900_000
# The membership is checked for changes this long after each reply.
PEERS_REFRESH_DELAY_US = 1_000_000
# Name of the cluster budget for retries.
RETRIES_BUDGET = "retries"
# Size of a randomly generated incarnation.
INCARNATION_BYTES = 6


@dataclass(slots=True)
class RequestCounts:
    """Numbers of requests with a final answer, by result."""

    answered: int = 0
    failed: int = 0
    late: int = 0  # after the latency objective of their class
    refused: int = 0

    def as_tuple(self) -> tuple[int, int, int, int]:
        """Return the counts in the order of the heartbeat field."""
        return self.answered, self.failed, self.late, self.refused


class NodeRole:
    """Connects a node's dispatch, discovery and admin API to the cluster."""

    def __init__(
        self,
        driver: EventLoopDriver,
        config: Config,
        options: ClusterOptions,
        clients: ClientServer,
        discovery: DiscoveryClient,
        handlers: AdminHandlers,
    ) -> None:
        self.driver, self.options, self.name = driver, options, config.name
        self.discovery, self.handlers = discovery, handlers
        self.dispatch = discovery.dispatch
        self.counts = RequestCounts()
        self.orders: Orders | None = None
        identity = _create_identity(config, options)
        self.membership = self._create_membership(identity)
        self.reports = NodeReports(self.name, clients, discovery)
        self.admin_requests = AdminRequests(self.membership, self.name, identity.incarnation)
        self.budgets, self.retry_budget = BudgetLeases(known=options.start == "alone"), RetryBudget()
        self.routing: ClusterRouting | None = None
        if identity.zone:
            holds = self.membership.session.is_lease_valid
            self.routing = ClusterRouting(
                driver, self.name, identity.zone, discovery, options, holds, self.may_spend
            )
        self._peers_epoch, self._is_requesting_peers = 0, False  # membership epoch of the known peers
        self._peers_timer = SingleTimer(driver.timers)
        self.gossip = Gossip(driver, self.name, options.cluster, discovery)
        self.membership.probes.accept_peer = self.gossip.accept_peer
        handlers.submit_to_cluster = self.submit
        self.dispatch.observer = ClusterObserver(self)
        if options.start == "wait":
            discovery.suspend_sending(True)

    def _create_membership(self, identity: MemberIdentity) -> Membership:
        replicas = {name: Address.parse(address) for name, address in self.options.replicas.items()}
        return Membership(
            self.driver,
            self.options.cluster,
            identity,
            replicas,
            self.report,
            self.on_orders,
            self._on_lease_expired,
            self._on_lease_holds,
        )

    def start(self) -> None:
        """Start the session; raise OSError if the address for probes cannot be bound."""
        if self.options.listen:
            address = Address.parse(self.options.listen)
            port = self.membership.listen(address)
            if not address.port:
                self.membership.set_address(f"{address.host}:{port}")
        self.membership.start()

    def leave(self, on_left: Callable[[], None]) -> None:
        """Leave the cluster once no request is in flight; call `on_left` after LEAVE_DELAY_US."""
        self.gossip.end()
        self.membership.leave()
        self.driver.timers.add(self.driver.now() + LEAVE_DELAY_US, lambda now: on_left())

    # Permission checks and events of the dispatch.

    def may_send(self, now: int) -> bool:
        """Return whether an attempt may be sent now.

        Checked at each write, so that a suspended process does not act on an expired lease when it resumes.
        """
        if self.orders is None:
            return self.options.start == "alone"
        return self.options.cut_off == "serve" or self.membership.session.is_lease_valid(now)

    def may_spend(self, now: int, budget: str) -> bool:
        """Spend one unit of a cluster budget, at a rate set by the lease; return False if none is left."""
        return self.budgets.spend(now, self.membership.session.is_lease_valid(now), budget)

    def may_retry(self, now: int) -> bool:
        """Spend one retry if the budgets permit; return whether it was spent.

        Retries are limited to a share of this node's first attempts and by the cluster's retry budget.
        """
        if RETRIES_BUDGET not in self.budgets.by_name:
            return self.budgets.known
        first_attempts = self.counts.answered + self.dispatch.unanswered
        return self.retry_budget.spend(first_attempts) and self.may_spend(now, RETRIES_BUDGET)

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """Count the final answer of a request."""
        self.counts.answered += 1
        if isinstance(answer, Failed):
            self.counts.failed += 1
        elif isinstance(answer, Refused):
            self.counts.refused += 1
            if self.routing is not None:
                self.routing.on_rejected()
        elif now > request.objective_due:
            self.counts.late += 1

    # Orders and lease.

    def on_orders(self, orders: Orders) -> None:
        """Apply newer orders: exclusions, budget rates, peers, routing and client drains."""
        previous, self.orders = self.orders, orders
        now = self.driver.now()
        must_drain_clients = bool(orders.drain_clients_epoch)
        log_event(
            "cluster-orders",
            epoch=orders.epoch,
            excluded=", ".join(sorted(orders.excluded_executors)) or "nothing",
            draining_clients="yes" if must_drain_clients else "no",
        )
        if previous is None or previous.excluded_executors.keys() != orders.excluded_executors.keys():
            self.handlers.set_cluster_exclusions(dict.fromkeys(orders.excluded_executors, now))
        if self.may_send(now) or self.options.cut_off == "serve":
            self.discovery.suspend_sending(False)
        self.budgets.set_rates(now, self.membership.session.is_lease_valid(now), orders.budget_leases)
        self._refresh_peers()
        if self.routing is not None:
            self.routing.set_admission(orders.admission_threshold, orders.scoped_thresholds)
            self.routing.set_plan(orders.routes)
        if must_drain_clients != bool(previous is not None and previous.drain_clients_epoch):
            self.handlers.drain_clients(must_drain_clients)

    def _refresh_peers(self, now: int = 0) -> None:
        """Request the peers from a replica, once for each membership epoch.

        Each reply, including a failure, starts a timer that calls this again.
        """
        epoch = self.orders.membership_epoch if self.orders is not None else 0
        if not epoch:
            self._peers_epoch = 0
            self.gossip.set_peers({})
        elif epoch != self._peers_epoch and not self._is_requesting_peers:
            self._is_requesting_peers = True
            self.membership.ask(
                ReadRequest("peers"), PEERS_TIMEOUT_US, lambda reply: self._on_peers(reply, epoch)
            )

    def _on_peers(self, reply: Any, epoch: int) -> None:
        self._is_requesting_peers = False
        if isinstance(reply, ReadReply):
            self._peers_epoch = epoch
            self.gossip.set_peers(msgspec.json.decode(reply.body, type=dict[str, str]))
        self._peers_timer.start(self.driver.now() + PEERS_REFRESH_DELAY_US, self._refresh_peers)

    def _on_lease_expired(self) -> None:
        if self.options.cut_off == "stop":
            self.discovery.suspend_sending(True)

    def _on_lease_holds(self) -> None:
        self.discovery.suspend_sending(False)

    # Reports and admin requests.

    def report(self) -> MemberReport:
        """Return the contents of the next heartbeat."""
        now = self.driver.now()
        was_suspended = now < self.membership.session.suspected_suspension_until
        return MemberReport(
            self.reports.drained_targets(self.orders, self.routing),
            self.reports.observed_executors(now),
            request_counts=self.counts.as_tuple(),
            digest=self.routing.digest(was_suspended) if self.routing is not None else None,
            budget_demand=self.budgets.demands(now),
        )

    def submit(self, request: AdminRequest, answer: Answer) -> None:
        """Forward an exclusion, a drain or its reversal from the admin API to the cluster."""
        if request.action == AdminAction.EXCLUDE and not self.discovery.has_executor(request.executor):
            answer(AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n"))
            return
        self.admin_requests.submit(request, answer)


def _create_identity(config: Config, options: ClusterOptions) -> MemberIdentity:
    """Return the identity of this process; a supervisor sets incarnation and version in the environment."""
    zones, zone = config.settings.zones, config.settings.zone
    return MemberIdentity(
        "node",
        config.name,
        os.environ.get("CEDARMILL_LIFE") or secrets.token_hex(INCARNATION_BYTES),
        zones[zone] if zone < len(zones) else "",
        options.listen,
        os.environ.get("CEDARMILL_VERSION", ""),
        stops_at_lease_expiry=options.cut_off == "stop",
    )
