"""A node's part in the fleet: what it tells of itself and of executors, and what it follows. Off on the
platform.

Orders reach the module as what it knows already: executors that drain. Whether anything may be sent at all is
asked when an attempt is written (`DispatchObserver.may_send`): before the first orders nothing may, and with
`cut-off="stop"` nothing once the lease has run out.
"""

import dataclasses
import os
import secrets
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.cluster.budget_lease import BudgetLeases, RetryBudget
from cedarmill.cluster.messages import (
    ExecutorObservation,
    Orders,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
    Unavailable,
)
from cedarmill.cluster.session import MemberIdentity, MemberReport
from cedarmill.cluster.state_machine.commands import RequestPermits, ReturnPermit
from cedarmill.core.requests import Failed, FinalAnswer, Refused, Request
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.admin.handlers import AdminHandlers, Answer
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.cluster.gossip import Gossip
from cedarmill.net.cluster.member import LEAVE_US, Membership
from cedarmill.net.cluster.observer import ClusterObserver
from cedarmill.net.cluster.routing import ClusterRouting
from cedarmill.net.config import Address, Config
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

STRIKES = 1  # signs that an executor is dead or unreachable, and none since that it serves
FRESH_US = 3_000_000  # since an executor last answered here: older, this node says nothing of its health
PEERS_US = 1_000_000  # after an answer, till the peers are asked for again if they have changed
DOOR_US = 900_000  # for a keeper's answer to a call at the door: the page owes one within 1 s
STATES = {
    api.ExecutorState.READY: "ready",
    api.ExecutorState.DRAINING: "draining",
    api.ExecutorState.GONE: "gone",
}


class NodeRole:
    """What ties a node to the fleet."""

    def __init__(
        self,
        driver: EventLoopDriver,
        config: Config,
        options: ClusterOptions,
        clients: ClientServer,
        discovery: DiscoveryClient,
        hands: AdminHandlers,
    ) -> None:
        self.driver, self.options, self.name = driver, options, config.name
        self.clients, self.discovery, self.hands = clients, discovery, hands
        self.dispatch = discovery.dispatch
        self.tally = [0, 0, 0, 0]  # jobs, failed, late, refused
        self.orders: Orders | None = None
        self.pending: dict[tuple[str, str], str] = {}  # of calls at the door without an answer: their ids
        self._calls = 0
        zones = config.settings.zones
        zone = zones[config.settings.zone] if config.settings.zone < len(zones) else ""
        self.life = os.environ.get("CEDARMILL_LIFE") or secrets.token_hex(6)
        listen = Address.parse(options.listen) if options.listen else None
        who = MemberIdentity(
            "node",
            config.name,
            self.life,
            zone,
            options.listen,
            os.environ.get("CEDARMILL_VERSION", ""),
            stops_at_lease_expiry=options.cut_off == "stop",
        )
        keepers = {name: Address.parse(address) for name, address in options.replicas.items()}
        self.membership = Membership(
            driver, options.cluster, who, keepers, self.facts, self.follow, self._lapsed, self._resumed
        )
        self.listen = listen
        self.purses, self.tries = BudgetLeases(known=options.start == "alone"), RetryBudget()
        hands.ask_cluster = self.obey
        holds = self.membership.agent.holds
        self.lanes = None
        if zone:
            self.lanes = ClusterRouting(driver, self.name, zone, discovery, options, holds, self.may_spend)
        self.peopled, self._asks_peers = 0, False  # the epoch of the peers that are known
        self.gossip = Gossip(driver, self.name, options.cluster, discovery)
        self.membership.taken = self.gossip.take
        self.dispatch.observer = ClusterObserver(self)
        if options.start == "wait":
            discovery.hold(True)

    def start(self) -> None:
        """Begin the session; raises OSError where the address for looks cannot be had."""
        if self.listen is not None:
            self.membership.listen(self.listen)
            if not self.listen.port:
                address = f"{self.listen.host}:{self.membership.port}"
                self.membership.agent.identity = self.membership.who = _at(self.membership.who, address)
        self.membership.start()

    # Orders.

    def may_send(self, now: int) -> bool:
        """Asked at each write: a process that stood still acts on nothing it knew before."""
        if self.orders is None:
            return self.options.start == "alone"
        return self.options.cut_off == "serve" or self.membership.agent.holds(now)

    def may_spend(self, now: int, budget: str) -> bool:
        """Asked at each spending, by whether the lease holds at this moment."""
        return self.purses.spend(now, self.membership.agent.holds(now), budget)

    def may_retry(self, now: int) -> bool:
        """A try beyond the first: a share of first tries here, within what the fleet may spend in all."""
        if "retries" not in self.purses.by_name:
            return self.purses.known
        return self.tries.spend(self.tally[0] + self.dispatch.unanswered) and self.may_spend(now, "retries")

    def follow(self, orders: Orders) -> None:
        """Newer orders: the module hears of what is out as draining."""
        before, self.orders = self.orders, orders
        log_event(
            "cluster-orders",
            epoch=orders.epoch,
            excluded=", ".join(sorted(orders.excluded_executors)) or "nothing",
            draining_clients="yes" if orders.drain_clients_epoch else "no",
        )
        if before is None or before.excluded_executors.keys() != orders.excluded_executors.keys():
            self.hands.set_cluster_exclusions(dict.fromkeys(orders.excluded_executors, self.driver.now()))
        if self.may_send(self.driver.now()) or self.options.cut_off == "serve":
            self.discovery.hold(False)
        self.purses.set_rates(
            self.driver.now(), self.membership.agent.holds(self.driver.now()), orders.budget_leases
        )
        self._learn_peers()
        if self.lanes is not None:
            self._cut(orders)
            self.lanes.follow(orders.routes)
        if bool(orders.drain_clients_epoch) != bool(before is not None and before.drain_clients_epoch):
            self.hands.drain_clients(bool(orders.drain_clients_epoch))

    def _cut(self, orders: Orders) -> None:
        gate = self.lanes.gate
        if (gate.threshold, gate.scoped_thresholds) != (orders.admission_cut, orders.scoped_cuts):
            rank, part = orders.admission_cut.weight, orders.admission_cut.share
            tight = ", ".join(
                f"{bound} {cut.weight / 1000:g}" for bound, cut in sorted(orders.scoped_cuts.items())
            )
            log_event(
                "admission-level-followed",
                rejected_share=f"{part / 10:g}%",
                priority_weight=f"{rank / 1000:g}" if rank >= 0 else "nothing",
                scoped=tight or "nothing",
            )
        gate.set_thresholds(orders.admission_cut, orders.scoped_cuts)

    def _learn_peers(self, now: int = 0) -> None:
        """Ask who is there, once for each change; again after a while where nobody answers."""
        epoch = self.orders.membership_epoch
        if not epoch:
            self.gossip.follow({})
        elif epoch != self.peopled and not self._asks_peers:
            self._asks_peers = True
            self.membership.ask(ReadRequest("peers"), DOOR_US, lambda word: self._peers(word, epoch))
        self.peopled = self.peopled if epoch else 0

    def _peers(self, word: object, epoch: int) -> None:
        self._asks_peers = False
        if isinstance(word, ReadReply):
            self.peopled = epoch
            self.gossip.follow(msgspec.json.decode(word.body, type=dict[str, str]))
        self.driver.timers.add(self.driver.now() + PEERS_US, self._learn_peers)

    def _lapsed(self) -> None:
        if self.options.cut_off == "stop":
            self.discovery.hold(True)

    def _resumed(self) -> None:
        self.discovery.hold(False)

    # What is told.

    def facts(self) -> MemberReport:
        """As it stands at a beat."""
        agent = self.membership.agent
        doubts = self.driver.now() < agent.doubts_until
        digest = self.lanes.digest(doubts) if self.lanes is not None else None
        return MemberReport(
            self._done(),
            self._seen(),
            request_counts=tuple(self.tally),
            digest=digest,
            budget_demand=self.purses.demands(self.driver.now()),
        )

    def _done(self) -> dict[str, int]:
        """Executors that get nothing from here and have nothing of ours; this node, if its clients are
        gone.
        """
        if self.orders is None:
            return {}
        done = {}
        shut = self.orders.routes is not None and self.orders.routes.closed_zones
        busy = self.dispatch.busy_executors() if self.orders.excluded_executors or shut else set()
        if shut and self.lanes is not None:
            done |= self.lanes.done(busy)
        if self.orders.excluded_executors:
            numbers = self.discovery.reader.numbers
            done |= {
                name: epoch
                for name, epoch in self.orders.excluded_executors.items()
                if numbers.get(name) not in busy
            }
        if self.orders.drain_clients_epoch and not self.clients.sessions and not self.dispatch.unanswered:
            done[self.name] = self.orders.drain_clients_epoch
        return done

    def _seen(self) -> dict[str, ExecutorObservation]:
        now = self.driver.now()
        reader, workers, found = self.discovery.reader, self.dispatch.balancer.executors, {}
        zones = {number: name for name, number in reader.zones.items()}
        kinds = {number: name for name, number in reader.kinds.items()}
        for number, entry in self.discovery.entries.items():
            worker = workers.get(number)
            ill = worker is not None and worker.consecutive_failures >= STRIKES
            sure = ill or (worker is not None and now - worker.heard_at < FRESH_US)
            started = self.discovery.listed_start.get(number, 0)
            found[reader.names[number]] = ExecutorObservation(
                STATES[entry.state],
                ill,
                sure,
                zones.get(entry.zone, ""),
                kinds.get(entry.kind, ""),
                str(entry.cell),
                max(1, round(entry.size)),
                started,
            )
        return found

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """A request has its final answer."""
        self.tally[0] += 1
        if isinstance(answer, Failed):
            self.tally[1] += 1
        elif isinstance(answer, Refused):
            self.tally[3] += 1
            if self.lanes is not None:
                self.lanes.refused()
        elif now > request.objective_due:
            self.tally[2] += 1

    # The door.

    def obey(self, request: AdminRequest, answer: Answer) -> None:
        """A call that takes something out or puts it back is a request to the fleet."""
        kind, name = ("executor", request.executor) if request.executor else ("node", self.name)
        if request.action == AdminAction.EXCLUDE and not self.discovery.knows(name):
            answer(AdminResponse(HTTPStatus.NOT_FOUND, b"no executor of that id\n"))
            return
        takes = request.action in (AdminAction.EXCLUDE, AdminAction.DRAIN_CLIENTS)
        who, key = f"door:{self.name}", (request.action.value, name)
        number = self.pending.setdefault(
            key, self._new_id()
        )  # asked again without an answer: the same request
        command = (
            RequestPermits(0, who, number, kind, (name,), "at the door")
            if takes
            else ReturnPermit(0, who, number, kind, name)
        )
        self.membership.ask(
            SubmitRequest(command), DOOR_US, lambda word: self._told(word, key, takes, answer)
        )

    def _new_id(self) -> str:
        self._calls += 1
        return f"{self.life}-{self._calls}"

    def _told(self, word: object, key: tuple[str, str], takes: bool, answer: Answer) -> None:
        if not isinstance(word, SubmitReply):
            reason = word.reason if isinstance(word, Unavailable) else "not understood"
            text = f"not known: {reason}; call again\n"
            answer(AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, text.encode()))
            return
        self.pending.pop(key, None)
        if not takes:
            done = word.ok or "is not out" in word.text
            status = HTTPStatus.OK if done else HTTPStatus.CONFLICT
            answer(AdminResponse(status, f"{word.text}\n".encode()))
            return
        state, notes = (word.permits[0][2], word.permits[0][3]) if word.permits else ("refused", [word.text])
        out_already = any("is out already" in note or "waits already" in note for note in notes)
        if state == "granted" or out_already:  # two calls out are one
            text = "granted" if state == "granted" else "; ".join(notes)
            answer(AdminResponse(HTTPStatus.OK, f"{text}\n".encode()))
        elif state == "waiting":
            answer(AdminResponse(HTTPStatus.ACCEPTED, f"waiting: {'; '.join(notes)}\n".encode()))
        else:
            answer(AdminResponse(HTTPStatus.CONFLICT, f"{state}: {'; '.join(notes)}\n".encode()))

    def leave(self, then: Callable[[], None]) -> None:
        """This process ends and has nothing out."""
        self.gossip.end()
        self.membership.leave()
        self.driver.timers.add(self.driver.now() + LEAVE_US, lambda now: then())


def _at(who: MemberIdentity, address: str) -> MemberIdentity:
    return dataclasses.replace(who, address=address)
