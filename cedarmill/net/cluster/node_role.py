"""A node's part in the cluster: what it reports, and the orders that it follows. Off on the platform.

Orders reach the balancer as what it knows already: executors that drain. Whether anything may be sent at all
is asked when an attempt is written (`DispatchObserver.may_send`): before the first orders nothing may, and
with `cut-off="stop"` nothing once the lease has run out.
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
from cedarmill.log import log_event
from cedarmill.net.admin.handlers import AdminHandlers
from cedarmill.net.admin.server import Answer
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.cluster.admin_requests import AdminRequests
from cedarmill.net.cluster.gossip import Gossip
from cedarmill.net.cluster.member import LEAVE_US, Membership
from cedarmill.net.cluster.node_reports import NodeReports
from cedarmill.net.cluster.observer import ClusterObserver
from cedarmill.net.cluster.routing import ClusterRouting
from cedarmill.net.config import Address, Config
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

PEERS_ANSWER_US = 900_000  # for a replica to say which peers there are
PEERS_US = 1_000_000  # after an answer, until the peers are asked for again if they have changed
RETRIES = "retries"  # the budget of attempts beyond the first
INCARNATION_BYTES = 6  # of a random name


@dataclass(slots=True)
class RequestCounts:
    """Requests with a final answer, by what it was."""

    answered: int = 0
    failed: int = 0
    late: int = 0  # beyond the class's objective
    refused: int = 0

    def as_reported(self) -> tuple[int, int, int, int]:
        """In the order of a heartbeat."""
        return self.answered, self.failed, self.late, self.refused


class NodeRole:
    """What ties a node to the cluster."""

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
        identity = _identity(config, options)
        self.membership = self._membership(identity)
        self.reports = NodeReports(self.name, clients, discovery)
        self.admin_requests = AdminRequests(self.membership, self.name, identity.incarnation)
        self.budgets, self.retry_budget = BudgetLeases(known=options.start == "alone"), RetryBudget()
        self.routing: ClusterRouting | None = None
        if identity.zone:
            holds = self.membership.session.holds
            self.routing = ClusterRouting(
                driver, self.name, identity.zone, discovery, options, holds, self.may_spend
            )
        self._peers_epoch, self._asking_for_peers = 0, False  # the epoch of the peers that are known
        self.gossip = Gossip(driver, self.name, options.cluster, discovery)
        self.membership.probes.accept_peer = self.gossip.accept_peer
        handlers.ask_cluster = self.submit
        self.dispatch.observer = ClusterObserver(self)
        if options.start == "wait":
            discovery.suspend_sending(True)

    def _membership(self, identity: MemberIdentity) -> Membership:
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
        """Begin the session; raises OSError where the address for probes cannot be had."""
        if self.options.listen:
            address = Address.parse(self.options.listen)
            port = self.membership.listen(address)
            if not address.port:
                self.membership.set_address(f"{address.host}:{port}")
        self.membership.start()

    def leave(self, on_left: Callable[[], None]) -> None:
        """This process ends and has nothing out."""
        self.gossip.end()
        self.membership.leave()
        self.driver.timers.add(self.driver.now() + LEAVE_US, lambda now: on_left())

    # Questions of the dispatch.

    def may_send(self, now: int) -> bool:
        """Asked at each write: a process that stood still acts on nothing it knew before."""
        if self.orders is None:
            return self.options.start == "alone"
        return self.options.cut_off == "serve" or self.membership.session.holds(now)

    def may_spend(self, now: int, budget: str) -> bool:
        """Asked at each spending, by whether the lease holds at this moment."""
        return self.budgets.spend(now, self.membership.session.holds(now), budget)

    def may_retry(self, now: int) -> bool:
        """A retry: a share of first attempts here, within what the cluster may spend in all."""
        if RETRIES not in self.budgets.by_name:
            return self.budgets.known
        first_attempts = self.counts.answered + self.dispatch.unanswered
        return self.retry_budget.spend(first_attempts) and self.may_spend(now, RETRIES)

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """A request has its final answer."""
        self.counts.answered += 1
        if isinstance(answer, Failed):
            self.counts.failed += 1
        elif isinstance(answer, Refused):
            self.counts.refused += 1
            if self.routing is not None:
                self.routing.on_refused()
        elif now > request.objective_due:
            self.counts.late += 1

    # Orders.

    def on_orders(self, orders: Orders) -> None:
        """Newer orders: the balancer hears of what is out as draining."""
        before, self.orders = self.orders, orders
        now = self.driver.now()
        drains_clients = bool(orders.drain_clients_epoch)
        log_event(
            "cluster-orders",
            epoch=orders.epoch,
            excluded=", ".join(sorted(orders.excluded_executors)) or "nothing",
            draining_clients="yes" if drains_clients else "no",
        )
        if before is None or before.excluded_executors.keys() != orders.excluded_executors.keys():
            self.handlers.set_cluster_exclusions(dict.fromkeys(orders.excluded_executors, now))
        if self.may_send(now) or self.options.cut_off == "serve":
            self.discovery.suspend_sending(False)
        self.budgets.set_rates(now, self.membership.session.holds(now), orders.budget_leases)
        self._learn_peers()
        if self.routing is not None:
            self.routing.set_admission(orders.admission_cut, orders.scoped_cuts)
            self.routing.follow(orders.routes)
        if drains_clients != bool(before is not None and before.drain_clients_epoch):
            self.handlers.drain_clients(drains_clients)

    def _learn_peers(self, now: int = 0) -> None:
        """Ask who is there, once for each change; again after a while where nobody answers."""
        epoch = self.orders.membership_epoch if self.orders is not None else 0
        if not epoch:
            self._peers_epoch = 0
            self.gossip.set_peers({})
        elif epoch != self._peers_epoch and not self._asking_for_peers:
            self._asking_for_peers = True
            self.membership.ask(
                ReadRequest("peers"), PEERS_ANSWER_US, lambda reply: self._on_peers(reply, epoch)
            )

    def _on_peers(self, reply: Any, epoch: int) -> None:
        self._asking_for_peers = False
        if isinstance(reply, ReadReply):
            self._peers_epoch = epoch
            self.gossip.set_peers(msgspec.json.decode(reply.body, type=dict[str, str]))
        self.driver.timers.add(self.driver.now() + PEERS_US, self._learn_peers)

    def _on_lease_expired(self) -> None:
        if self.options.cut_off == "stop":
            self.discovery.suspend_sending(True)

    def _on_lease_holds(self) -> None:
        self.discovery.suspend_sending(False)

    # Reports and requests.

    def report(self) -> MemberReport:
        """As it stands at a heartbeat."""
        now = self.driver.now()
        doubts = now < self.membership.session.doubts_until
        return MemberReport(
            self.reports.drained(self.orders, self.routing),
            self.reports.executors(now),
            request_counts=self.counts.as_reported(),
            digest=self.routing.digest(doubts) if self.routing is not None else None,
            budget_demand=self.budgets.demands(now),
        )

    def submit(self, request: AdminRequest, answer: Answer) -> None:
        """A call at the admin API that takes something out or puts it back is a request to the cluster."""
        if request.action == AdminAction.EXCLUDE and not self.discovery.has_executor(request.executor):
            answer(AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n"))
            return
        self.admin_requests.submit(request, answer)


def _identity(config: Config, options: ClusterOptions) -> MemberIdentity:
    """Of this process; a supervisor names its incarnation and version in the environment."""
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
