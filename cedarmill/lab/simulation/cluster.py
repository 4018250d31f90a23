"""The same cores on one seeded clock: keepers, nodes, stewards, executors and operators, with faults; no
sockets.

One seed is one timeline: all chance comes from one tree of seeds, all events of one instant are taken in the
order in which they were entered, and nothing hangs on hashing. Each process has a clock of its own rate. A
message may be late, lost or never leave; a disk loses what was not synced; a process may be killed or stand
still at any moment. The histories are judged by the laws that also judge real processes.
"""

import hashlib
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.budget_lease import BudgetLeases
from cedarmill.cluster.hosting import Host
from cedarmill.cluster.messages import (
    ClientRequest,
    ExecutorObservation,
    HeartbeatReply,
    Orders,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
)
from cedarmill.cluster.observations.digest import ObservationDigest
from cedarmill.cluster.observations.log import LocationEstimate, ObservationLog
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote, RaiseAlarm, RoleChanged
from cedarmill.cluster.raft.messages import Config, Entry, Peer, Snapshot
from cedarmill.cluster.raft.state import PersistentState, Timing
from cedarmill.cluster.replica import Replica
from cedarmill.cluster.session import (
    Connect,
    FollowOrders,
    MemberIdentity,
    MemberReport,
    MemberSession,
    ProbeMember,
    SendRequest,
)
from cedarmill.cluster.state import EPOCH_INDEX_BITS, ClusterState, Limit, ReleasePlan, encode_snapshot
from cedarmill.cluster.state_machine import commands
from cedarmill.cluster.supervision import (
    OrderApplied,
    ProcessSupervisor,
    StartProcess,
    StopProcess,
    StoreUnits,
)
from cedarmill.cluster.traffic_control import intake
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.cluster.invariants import Record
from cedarmill.lab.history import Visit
from cedarmill.values import LimitOptions

RATE_MOST = 0.005  # that a clock runs fast or slow: half of the bound that leases are made for
MS = 1000
S = 1_000_000
REST = 15  # seconds at the most after a run, for keepers that were down at its end
BUDGET = Budget("probes", 120_000, 10)  # 120 a second, floors for ten nodes
COLD = 2 * S  # that an executor is cold: shorter than in service, so that a run sees its end


@dataclass(frozen=True, slots=True)
class Shape:
    """Who is there, and what happens to them."""

    keepers: int = 3
    nodes: int = 4
    executors: int = 8
    zones: int = 2
    length: int = 30 * S
    faults: int = 12  # drawn over the length
    drains: int = 8
    works: bool = True  # whether nodes send jobs
    release: str = ""  # the new version's kind: good, late, failing or exiting
    stops: bool = False  # nodes stop sending when their lease has run out
    spends: bool = False  # nodes spend of a budget of the fleet, as much as they may
    plans: bool = False  # traffic between zones is planned; some reqs may not leave their region
    limits: tuple[Limit, ...] = (
        Limit("executor", "fleet", share=300),
        Limit("executor", "zone", most=1),
        Limit("node", "fleet", most=1),
    )
    kinds: tuple[str, ...] = ("kill", "pause", "cut", "one-way", "isolate", "all-keepers", "node-kill",
                              "node-pause", "steward-kill", "executor", "old-lease", "snap", "crash",
                              "mid-change", "trap", "flicker", "cut-node", "sleeper", "zone",
                              "cut-spender")  # fmt: skip


class Clock:
    """A process's own: it only moves forward, at its own rate."""

    def __init__(self, world: "ClusterSimulation", dice: random.Random) -> None:
        self.world = world
        self.rate = 1 + dice.uniform(-RATE_MOST, RATE_MOST)
        self.offset = dice.randrange(10**9)

    def now(self) -> int:
        return self.offset + int(self.world.time * self.rate)

    def true_wait(self, local: int) -> int:
        """How long till this clock shows that."""
        return max(0, int((local - self.now()) / self.rate) + 1)


class Process:
    """What all processes have: a clock, and being dead or standing still."""

    def __init__(self, world: "ClusterSimulation", name: str, seed: str) -> None:
        self.world, self.name = world, name
        self.clock = Clock(world, random.Random(f"{world.seed}/{seed}/clock"))
        self.alive, self.paused = True, False
        self.held: list[tuple[Callable, tuple]] = []  # what came while it stood still
        self.life = 0

    def run(self, call: Callable, *args) -> None:
        """Let it do something, now or when it goes on."""
        if not self.alive:
            return
        if self.paused:
            self.held.append((call, args))
        else:
            call(*args)

    def pause(self, length: int) -> None:
        if self.alive and not self.paused:
            self.paused = True
            self.world.after(length, self.go_on)

    def go_on(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for call, args in held:
            self.run(call, *args)

    def kill(self) -> None:
        self.alive, self.paused, self.held = False, False, []
        self.life += 1


class VKeeper(Process):
    """A keeper with its disk."""

    def __init__(self, world: "ClusterSimulation", name: str, config: Config, fresh: ClusterState) -> None:
        super().__init__(world, name, name)
        self.disk = Disk(PersistentState(1, "", Snapshot(1, 1, config, encode_snapshot(fresh))))
        self.copies: list[PersistentState] = []
        self.token = itertools.count(1)
        self.waits: dict[int, Callable] = {}
        self.start()

    def start(self) -> None:
        self.alive, self.life = True, self.life + 1
        self.replica = Replica(self.name, self.disk.load(), self.clock.now(),
                             hash_of(self.world.seed, self.name, self.life), self.world.timing)  # fmt: skip
        self.host = Host(self.replica, self)
        self.replica.on_applied = self._agreed
        self.waits.clear()
        self.crash = False
        self._again(self.life)

    def _again(self, life: int) -> None:
        if life == self.life and self.alive:
            self.run(self._passed)
            wait = max(5 * MS, self.clock.true_wait(self.replica.due)) if not self.paused else 20 * MS
            self.world.after(min(wait, 100 * MS), self._again, life)

    def _passed(self) -> None:
        self._do(self.replica.on_time(self.clock.now()))

    def _agreed(self, entry: Entry) -> None:
        """No other keeper may have applied anything else at that index."""
        known = self.world.agreed.setdefault(entry.index, (entry.term, entry.data))
        epoch = self.replica.state.generation << EPOCH_INDEX_BITS | entry.index
        self.world.granted.setdefault(epoch, self.world.time)
        if known != (entry.term, entry.data):
            when = f"{self.world.time / S:.3f} s"
            self.world.found.append(f"{when}: {self.name} applies another entry {entry.index}")

    def _do(self, actions: list) -> None:
        self.host.take(actions)
        try:
            self.host.flush(self.clock.now())
        except OSError:  # killed while it wrote: what was not synced is gone
            self.kill()
            self.host.pending = []
            self.world.after(self.world.dice.randrange(S), self.start)

    def hear(self, source: str, message: object) -> None:
        self._do(self.replica.on_message(self.clock.now(), source, message))

    def ask(self, ask: ClientRequest, back: Callable[[object], None]) -> None:
        token = next(self.token)
        self.waits[token] = back
        self._do(self.replica.on_request(self.clock.now(), token, ask))

    # The port.

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        self.disk.save(action)

    def sync(self) -> bool:
        if self.crash and self.disk.waiting:
            raise OSError("killed before the sync")
        return self.disk.sync()

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.disk.put_snapshot(snapshot, entries)

    def send(self, target: str, message: object) -> None:
        if target in self.world.keepers:
            self.world.send(self.name, target, lambda: self.world.keepers[target].hear(self.name, message))

    def reply(self, token: int, answer: object) -> None:
        back = self.waits.pop(token, None)
        if back is not None:
            back(answer)

    def tell(self, action: RoleChanged | RaiseAlarm) -> None:
        if isinstance(action, RoleChanged) and action.leads:
            self.world.history.tell(self.name, "leads", epoch=action.term)


class Disk:
    """What is synced outlives a kill; what is not, may be lost whole or in part."""

    def __init__(self, saved: PersistentState) -> None:
        self.saved = saved
        self.waiting: list[PersistTermAndVote | PersistEntries] = []
        self.syncs = 0

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        self.waiting.append(action)

    def sync(self) -> bool:
        if not self.waiting:
            return False
        self.syncs += 1
        for action in self.waiting:
            self._lay(action)
        self.waiting = []
        return True

    def _lay(self, action: PersistTermAndVote | PersistEntries) -> None:
        s = self.saved
        if isinstance(action, PersistTermAndVote):
            self.saved = PersistentState(action.term, action.vote, s.snapshot, s.entries)
        else:
            first = action.entries[0].index
            kept = tuple(entry for entry in s.entries if entry.index < first)
            self.saved = PersistentState(s.term, s.vote, s.snapshot, kept + action.entries)

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.sync()
        self.saved = PersistentState(self.saved.term, self.saved.vote, snapshot, tuple(entries))

    def load(self) -> PersistentState:
        self.waiting = []
        s = self.saved
        rest = tuple(entry for entry in s.entries if entry.index > s.snapshot.index)
        return PersistentState(s.term, s.vote, s.snapshot, rest, s.needs_catch_up)


class VMember(Process):
    """A process with a session."""

    def __init__(self, world: "ClusterSimulation", name: str, identity: MemberIdentity) -> None:
        super().__init__(world, name, f"{name}/{identity.incarnation}")
        self.dice = random.Random(f"{world.seed}/{name}/{identity.incarnation}")
        self.identity = identity
        self.agent = MemberSession(
            identity, list(world.keepers), self.facts, self.clock.now(), self.dice.randrange(99)
        )
        self.keeper = ""
        self.calls = 0
        self._again()

    def facts(self) -> MemberReport:
        raise NotImplementedError

    def follow(self, orders: Orders) -> None:
        """Do as ordered."""

    def _again(self) -> None:
        if self.alive:
            self.run(self._passed)
            self.world.after(50 * MS, self._again)

    def _passed(self) -> None:
        self._do(self.agent.on_time(self.clock.now()))

    def _do(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self.keeper, self.calls = action.replica, self.calls + 1
            elif isinstance(action, SendRequest):
                self._say(action.request)
            elif isinstance(action, FollowOrders):
                self.follow(action.orders)
            elif isinstance(action, ProbeMember):
                self._glance(action)

    def _say(self, ask: ClientRequest) -> None:
        keeper, call = self.keeper, self.calls

        def back(answer: object) -> None:
            orders = isinstance(answer, HeartbeatReply) and answer.orders is not None
            if orders and self.name in self.world.trapped:
                self.world.trapped.discard(self.name)
                self.pause(4 * S)  # it stands still with orders on their way to it
            self.world.send(keeper, self.name, lambda: self.run(self._heard, call, answer))

        self.world.ask(self.name, keeper, ask, back)

    def _heard(self, call: int, answer: object) -> None:
        if call == self.calls:
            self._do(self.agent.on_reply(self.clock.now(), answer))

    def _glance(self, glance: ProbeMember) -> None:
        def found() -> None:
            there = glance.key in self.world.members and self.world.members[glance.key].alive
            there = there and not self.world.members[glance.key].paused
            self.run(self.agent.on_probed, glance.key, there)

        self.world.after(5 * MS, found)


class SimulatedNode(VMember):
    """A node: it sends work to executors that are not out, as long as it knows what is out."""

    def __init__(self, world: "ClusterSimulation", name: str, life: str, version: str) -> None:
        zone = f"z{int(name.partition('-')[2]) % world.shape.zones}"
        self.out: dict[str, int] = {}
        self.jobs: dict[str, int] = {}
        self.tally = [0, 0, 0, 0]
        self.version = version
        self.zone = zone
        self.follower = PlanFollower()
        self.sights = ObservationLog(0)
        self.digest_at = 0
        self.purses = BudgetLeases()
        address, stops = f"v:{name}:{life}", world.shape.stops
        super().__init__(
            world,
            name,
            MemberIdentity("node", name, life, zone, address, version, stops_at_lease_expiry=stops),
        )
        if world.shape.works:
            self._work()
        if world.shape.spends:
            self._ask_often()

    def facts(self) -> MemberReport:
        done = {}
        if self.agent.orders is not None:
            done = {name: epoch for name, epoch in self.out.items() if not self.jobs.get(name)}
            if self.agent.orders.drain_clients_epoch:
                done[self.name] = self.agent.orders.drain_clients_epoch
        seen = {name: ExecutorObservation("ready", not box.up, zone=f"z{n % self.world.shape.zones}", slots=2)
                for n, (name, box) in enumerate(self.world.executors.items())}  # fmt: skip
        way = self.follower.plan
        if way is not None:
            held = {self.world.zone_of(name) for name, jobs in self.jobs.items() if jobs}
            done |= {zone: epoch for zone, epoch in way.closed_zones.items() if zone not in held}
        wants = self.purses.demands(self.clock.now())
        return MemberReport(
            done, seen, request_counts=tuple(self.tally), digest=self._digest(), budget_demand=wants
        )

    def _digest(self) -> ObservationDigest | None:
        now = self.clock.now()
        if not self.world.shape.plans or now < self.digest_at:
            return None
        self.digest_at = now + S
        epoch = self.follower.plan.epoch if self.follower.plan is not None else 0
        return self.sights.make_digest(
            now, self.zone, self.sights.observations(now, self._places()), epoch, (), False
        )

    def _places(self) -> dict[str, LocationEstimate]:
        zones = self.world.by_zone
        return {zone: LocationEstimate(len(names), 2000 * len(names), 0) for zone, names in zones.items()}

    def follow(self, orders: Orders) -> None:
        self.out = dict(orders.excluded_executors)
        self.purses.set_rates(self.clock.now(), self.agent.holds(self.clock.now()), orders.budget_leases)
        if self.follower.accept_plan(orders.routes):
            who, epoch = f"{self.name}/{self.identity.incarnation}", self.follower.plan.epoch
            self.world.history.tell(who, "follows", self.zone, epoch=epoch)

    def _ask_often(self) -> None:
        """Ask for leave to spend, at times far oftener than the budget allows."""
        if not self.alive:
            return
        self.run(self._spend)
        turn = (self.world.time // (6 * S) + int(self.name.partition("-")[2])) % self.world.shape.nodes
        busy = turn == 0 or self.world.cut.get((self.name, "*"), 0) > self.world.time
        least, most = (2, 8) if busy else (100, 400)  # each in turn wants nearly all that there is
        self.world.after(self.dice.randrange(least, most) * MS, self._ask_often)

    def _spend(self) -> None:
        if self.purses.spend(self.clock.now(), self.agent.holds(self.clock.now()), BUDGET.name):
            purse = self.purses.by_name.get(BUDGET.name)
            self.world.spent.append((self.world.time, purse is None or purse.lease_held))

    def _work(self) -> None:
        if not self.alive:
            return
        self.run(self._send)
        self.world.after(self.dice.randrange(10, 60) * MS, self._work)

    def _send(self) -> None:
        """One job to an executor that may be sent to."""
        if not self.may_send():
            return
        stays = self.world.shape.plans and self.dice.random() < 0.3
        free = [name for name in self._within(stays) if name not in self.out]
        if not free:
            return
        name = self.dice.choice(free)
        self.jobs[name] = self.jobs.get(name, 0) + 1
        self.world.jobs[self.version] = self.world.jobs.get(self.version, 0) + 1
        if stays and self.world.region_of(self.world.zone_of(name)) != self.world.region_of(self.zone):
            self.world.found.append(f"{self.name} sends what may not leave its region to {name}")
        self.world.visit(self, name)

    def _within(self, stays: bool) -> list[str]:
        """Executors among which it chooses: by the plan those of one zone; before one, of its own for what
        may not leave.
        """
        if not self.world.shape.plans:
            return list(self.world.executors)
        way, now = self.follower.plan, self.clock.now()
        if way is None:
            return self.world.by_zone[self.zone] if stays else list(self.world.executors)
        self.follower.decide(now, self.sights.observations(now, self._places()))
        row = self.follower.weights(now)["region" if stays else "any"]
        zone = self.dice.choices([*row], [*row.values()])[0] if row else ""
        self.sights.record_demand(now, "region" if stays else "any", 200 * MS)
        return self.world.by_zone.get(zone, [])

    def may_send(self) -> bool:
        """Not before it has heard what is out; one that stops by its lease asks it at this moment."""
        return self.agent.orders is not None and (
            not self.identity.stops_at_lease_expiry or self.agent.holds(self.clock.now())
        )

    def ended(self, name: str, lost: bool = False) -> None:
        """A job has come back, or never arrived."""
        self.jobs[name] -= 1
        self.sights.record_attempt(self.clock.now(), (self.world.zone_of(name),), False, False, lost)
        self.tally[0] += 1
        bad = 0.2 if self.version == "failing" else 0.01
        self.tally[1] += self.dice.random() < bad


class VSteward(VMember):
    """A steward with its machine: it outlives its processes, they outlive it."""

    def __init__(self, world: "ClusterSimulation", number: int, life: int) -> None:
        self.unit = f"node-{number}"
        self.number = number
        self.machine = world.machines[number]
        self.taking = 0  # the epoch of the order that is being acted on
        self.core = ProcessSupervisor({self.unit: "v1"}, self._new_life, self.machine.kept)
        super().__init__(
            world, f"steward-{number}", MemberIdentity("steward", f"steward-{number}", str(life))
        )
        self._act(self.core.begin(self.clock.now(), self._is_alive))
        self._tick()

    def _new_life(self) -> str:
        self.machine.lives += 1
        return f"{self.number}.{self.machine.lives}"

    def _is_alive(self, process) -> bool:
        node = self.machine.nodes.get(process.incarnation)
        return node is not None and node.alive

    def facts(self) -> MemberReport:
        return MemberReport(units=self.core.reports(), ended_members=self.core.ended_members)

    def follow(self, orders: Orders) -> None:
        self.orders = orders
        self._act(self.core.order(self.clock.now(), orders.units, self.agent.lease_until))

    def _tick(self) -> None:
        if not self.alive:
            return
        self.run(self._look)
        self.world.after(100 * MS, self._tick)

    def _look(self) -> None:
        now = self.clock.now()
        self._act(self.core.on_time(now))
        if self.agent.orders is not None:
            self._act(self.core.order(now, self.agent.orders.units, self.agent.lease_until))
        for life, node in list(self.machine.nodes.items()):
            if not node.alive:
                del self.machine.nodes[life]
                self._act(self.core.on_exited(now, self.unit, life))
        for process in self.core.to_kill(now):
            node = self.machine.nodes.get(process.incarnation)
            if node is not None:
                node.kill()

    def _act(self, actions: list) -> None:
        """Carry out what the core says; a fault may come right after a start."""
        self._carry_out(actions)
        if self.number in self.world.mid_change and any(
            isinstance(action, StartProcess) for action in actions
        ):
            self.world.mid_change.discard(self.number)
            if self.world.dice.random() < 0.5:
                self.world.kill_steward(self.number, self.world.dice.randrange(4 * S))
            else:
                self.pause(4 * S)

    def _carry_out(self, actions: list) -> None:
        self.taking = 0
        for action in actions:
            if isinstance(action, StoreUnits):
                self.machine.kept = action.document
            elif isinstance(action, StartProcess):
                self._start(action)
            elif isinstance(action, StopProcess):
                node = self.machine.nodes.get(action.incarnation)
                if node is not None:
                    self.world.after(300 * MS, self.world.end_node, node)
            elif isinstance(action, OrderApplied):
                left = (self.agent.lease_until - self.clock.now()) / S
                self.world.history.tell(self.name, "acts", action.unit, epoch=action.epoch, number=left)
                self.taking = action.epoch

    def _start(self, action: StartProcess) -> None:
        if self.taking:
            self.world.history.tell(self.name, "taken", action.unit, epoch=self.taking)
            self.taking = 0
        node = SimulatedNode(self.world, action.unit, action.incarnation, action.version)
        self.machine.nodes[action.incarnation] = node
        self.world.members[f"node:{action.unit}:{action.incarnation}"] = node
        self.world.history.tell(self.name, "starts", action.unit, note=action.version)
        self.core.on_started(action.unit, action.incarnation, 1)
        if action.version == "exiting":
            self.world.after(500 * MS, node.kill)
        elif action.version != "late":
            self.world.after(300 * MS, self._ready, action.unit, action.incarnation, node)

    def _ready(self, unit: str, life: str, node: SimulatedNode) -> None:
        if node.alive and self.alive:
            self.run(self._ready_now, unit, life)
        elif node.alive:  # its steward died meanwhile: the next one asks again
            self.world.after(300 * MS, self.world.ready_at, self.number, unit, life, node)

    def _ready_now(self, unit: str, life: str) -> None:
        found = self.core.units[unit]
        if found.current == life and not found.ready:
            self.world.history.tell(self.name, "back", unit)
        self._act(self.core.on_ready(self.clock.now(), unit, life))


@dataclass(slots=True)
class Machine:
    """What a steward's death leaves."""

    kept: bytes = b""
    lives: int = 0
    nodes: dict[str, SimulatedNode] = field(default_factory=dict)


@dataclass(slots=True)
class Box:
    """An executor: jobs, and whether it is up."""

    up: bool = True
    jobs: int = 0


class Operator:
    """Drains one executor, restarts it, puts it back; asks again, with the same id, till it has an answer."""

    def __init__(self, world: "ClusterSimulation", number: int, target: str) -> None:
        self.world, self.name, self.target = world, f"operator-{number}", target
        self.dice = random.Random(f"{world.seed}/{self.name}")
        self.permit = 0
        self.step = "ask"
        self.epoch = 0
        self.tries = 0
        world.history.tell(self.name, "asked", target)
        self._go()

    def _go(self) -> None:
        """Ask what the step needs, at a keeper drawn by chance; again later if no answer comes."""
        if self.step in ("restart", "end"):
            return
        keeper = self.dice.choice(list(self.world.keepers))
        self.tries += 1

        step = self.step

        def back(answer: object) -> None:
            self.world.send(keeper, self.name, lambda: self._heard(answer, step))

        asks = {
            "ask": lambda: SubmitRequest(
                commands.RequestPermits(0, self.name, "1", "executor", (self.target,))
            ),
            "wait": lambda: ReadRequest("permits", names=[str(self.permit)]),
            "give": lambda: SubmitRequest(commands.ReturnPermit(0, self.name, "2", "executor", self.target)),
        }
        self.world.ask(self.name, keeper, asks[self.step](), back)
        if self.step == "ask" and self.tries == 1 and self.dice.random() < 0.3:  # pressed twice
            other = self.dice.choice(list(self.world.keepers))
            self.world.ask(self.name, other, asks["ask"](), back)
        self.world.after(self.dice.randrange(200, 700) * MS, self._go)

    def _heard(self, answer: object, step: str) -> None:
        if step == "ask" and isinstance(answer, SubmitReply):
            self.world.history.tell(self.name, "answer", self.target, number=answer.permits[0][0])
        if self.step == "ask" and isinstance(answer, SubmitReply):
            self.permit = answer.permits[0][0]
            self._saw(answer.permits[0][2], answer.permits[0][4], answer.permits[0][5])
        elif self.step == "wait" and isinstance(answer, ReadReply):
            rows = msgspec.json.decode(answer.body)
            if rows:
                self._saw(rows[0]["state"], rows[0]["epoch"], rows[0]["drained"])
        elif self.step == "give" and isinstance(answer, SubmitReply):
            self.step = "end"
            self.world.history.tell(self.name, "given", self.target)

    def _saw(self, state: str, epoch: int, drained: int) -> None:
        history = self.world.history
        if state in ("refused", "expired", "withdrawn", "returned"):
            history.tell(self.name, state, self.target)
            self.step = "end"
            return
        if self.step == "ask":
            self.step = "wait"
        if state in ("granted", "lost") and not self.epoch:
            self.epoch = epoch
            history.tell(self.name, "taken", self.target, epoch=epoch)
        if drained and self.step == "wait":
            self.step = "restart"
            history.tell(self.name, "drained", self.target, epoch=epoch)
            self.world.wake()
            self.world.after(self.dice.randrange(200 * MS, 3 * S), self._restart)

    def _restart(self) -> None:
        box = self.world.executors[self.target]
        self.world.history.tell(self.target, "down", self.target, note="planned", number=box.jobs)
        box.up = False
        self.world.after(400 * MS, self._up)

    def _up(self) -> None:
        self.world.executors[self.target].up = True
        self.world.history.tell(self.target, "up", self.target, note="planned")
        self.world.history.tell(self.name, "returning", self.target)
        self.world.history.tell(self.name, "back", self.target)
        self.world.history.tell(self.name, "giving", self.target)
        self.step = "give"
        self._go()


def hash_of(*parts: object) -> int:
    """A number of the parts that does not hang on Python's hashing."""
    return int.from_bytes(hashlib.blake2b(repr(parts).encode(), digest_size=6).digest(), "big")


class ClusterSimulation:
    """One run."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.seed = shape, seed
        self.time = 0
        self.timing = Timing()
        self.dice = random.Random(f"{seed}/world")
        self.net = random.Random(f"{seed}/net")
        self.history = EventHistory(lambda: self.time)
        self.visits: list[Visit] = []
        self._queue: list[tuple[int, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._last: dict[tuple[str, str], int] = {}
        self.cut: dict[tuple[str, str], int] = {}  # till when nothing passes
        self.messages = 0
        self.counted = self.between = 0  # messages since the start was over, and those between keepers
        self.jobs: dict[str, int] = {}  # by version of the node that sent them
        self.sleepers: list[SimulatedNode] = []  # nodes that stand still till something is drained
        self.mid_change: set[int] = set()  # stewards that meet a fault right after their next start
        self.trapped: set[str] = set()  # members that stand still when orders are on their way
        self.agreed: dict[int, tuple[int, bytes]] = {}  # what was applied first at each index
        self.found: list[str] = []
        self.spent: list[tuple[int, bool]] = []  # when, and whether by a lease, of the budget
        self.granted: dict[int, int] = {}  # when each epoch was first applied
        self.executors = {f"box-{n}": Box() for n in range(shape.executors)}
        self.members: dict[str, VMember] = {}
        self.machines = [Machine() for _ in range(shape.nodes)]
        self.by_zone: dict[str, list[str]] = {}
        for name in self.executors:
            self.by_zone.setdefault(self.zone_of(name), []).append(name)
        names = [f"keeper-{n}" for n in range(shape.keepers)]
        config = {name: Peer("", True, "") for name in names}
        fresh = ClusterState("lab", limits=list(shape.limits), slow_start_us=COLD)
        if shape.spends:
            budget_grants.set_budgets(fresh, [BUDGET])
        if shape.plans:
            laid = {f"r{n}": [f"z{z}" for z in range(shape.zones) if self.region_of(f"z{z}") == f"r{n}"]
                    for n in range(2)}  # fmt: skip
            intake.set_layout(fresh, ZoneLayout({region: zones for region, zones in laid.items() if zones}))
        self.keepers: dict[str, VKeeper] = dict.fromkeys(names)
        for name in names:
            self.keepers[name] = VKeeper(self, name, config, fresh)
        self.stewards = [VSteward(self, n, 0) for n in range(shape.nodes)]
        self.operators: list[Operator] = []
        self.release = Driver(self, shape.release) if shape.release else None

    def zone_of(self, name: str) -> str:
        """Of an executor or a node: they are dealt out in turn."""
        return f"z{int(name.rpartition('-')[2]) % self.shape.zones}"

    def region_of(self, zone: str) -> str:
        """Two of them: the last zone is one by itself."""
        return "r1" if zone == f"z{self.shape.zones - 1}" else "r0"

    # Time and network.

    def after(self, wait: int, call: Callable, *args) -> None:
        """Call that after a true time."""
        heapq.heappush(self._queue, (self.time + max(0, wait), next(self._order), call, args))

    def passes(self, source: str, target: str) -> bool:
        return all(
            self.cut.get(pair, 0) <= self.time for pair in ((source, target), (source, "*"), ("*", target))
        )

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """One message: late, in order on its link, or lost."""
        self.messages += 1
        if self.time > 4 * S:  # past the start: what is there at rest
            self.counted += 1
            self.between += source in self.keepers and target in self.keepers
        if not self.passes(source, target) or self.net.random() < 0.002:
            return
        wait = int(self.net.expovariate(1 / 1500)) + 200
        at = max(self.time + wait, self._last.get((source, target), 0) + 1)
        self._last[source, target] = at
        process = self.keepers.get(target)

        def arrive() -> None:
            if self.passes(source, target):
                (process.run if process is not None else _call)(deliver)

        self.after(at - self.time, arrive)

    def ask(self, source: str, keeper: str, ask: ClientRequest, back: Callable[[object], None]) -> None:
        """A member or an operator asks a keeper."""
        life = self.keepers[keeper].life

        def answer(found: object) -> None:
            if self.keepers[keeper].life == life:
                back(found)

        self.send(source, keeper, lambda: self.keepers[keeper].ask(ask, answer))

    # Executors and nodes.

    def visit(self, node: SimulatedNode, name: str) -> None:
        """A job goes to an executor; it takes its time, or is lost with it."""
        wait = int(self.net.expovariate(1 / 800)) + 100
        self.after(wait, self._arrive, node, name)

    def _arrive(self, node: SimulatedNode, name: str) -> None:
        box = self.executors[name]
        self.visits.append(Visit(name, self.zone_of(name), f"{node.identity.incarnation}", "job", self.time))
        if not box.up:
            node.run(node.ended, name, True)
            return
        box.jobs += 1
        self.after(self.net.randrange(50, 400) * MS, self._leave, node, name)

    def _leave(self, node: SimulatedNode, name: str) -> None:
        box = self.executors[name]
        box.jobs = max(0, box.jobs - 1)
        node.run(node.ended, name)

    def end_node(self, node: SimulatedNode) -> None:
        """SIGTERM: it answers what it holds, says that it leaves, and ends."""
        if node.alive and (node.paused or any(node.jobs.values())):
            self.after(200 * MS, self.end_node, node)
        elif node.alive:
            node.kill()

    def ready_at(self, number: int, unit: str, life: str, node: SimulatedNode) -> None:
        self.stewards[number]._ready(unit, life, node)

    # The run.

    def run(self) -> Record:
        """Play it to its end; what it left."""
        self._plan()
        self._compare()
        self._till(self.shape.length)
        for _ in range(REST):  # where all keepers were down at the end, they get the time to come back
            if any(keeper.replica.is_leader for keeper in self.keepers.values()):
                break
            self._till(self.time + S)
        self._name_open()
        places = {name: {"kind": "executor", "zone": f"z{n % self.shape.zones}"}
                  for n, name in enumerate(self.executors)}  # fmt: skip
        places |= {f"node-{n}": {"kind": "node", "zone": f"z{n % self.shape.zones}"}
                   for n in range(self.shape.nodes)}  # fmt: skip
        limits = tuple(LimitOptions(one.kind, one.per, one.most, one.share, one.capacity_left)
                       for one in self.shape.limits)  # fmt: skip
        slots = dict.fromkeys(places, 2)
        return Record(self.history.events, self.visits, limits, places, slots, None, COLD,
                      disagreements=self.found, granted_at=self.granted, spent=self.spent,
                      budget=(BUDGET.grantable, BUDGET.rate - BUDGET.grantable,
                              self.shape.nodes))  # fmt: skip

    def _till(self, end: int) -> None:
        while self._queue and self._queue[0][0] <= end:
            self.time, _, call, args = heapq.heappop(self._queue)
            call(*args)

    def _compare(self) -> None:
        """Keepers that have applied as much hold the same, to the last byte."""
        held: dict[int, tuple[str, bytes]] = {}
        for keeper in self.keepers.values():
            world = keeper.replica.state
            text = encode_snapshot(world)
            name, other = held.setdefault(world.index, (keeper.name, text))
            if other != text:
                self.found.append(f"{self.time / S:.3f} s: {name} and {keeper.name} differ at {world.index}")
        self.after(S, self._compare)

    def _name_open(self) -> None:
        """At the end the keepers name what is still out."""
        worlds = [keeper.replica.state for keeper in self.keepers.values()]
        newest = max(worlds, key=lambda world: (world.generation, world.index))
        for permit in newest.permits.values():
            if permit.out:
                self.history.tell("keepers", "named", permit.target, epoch=permit.epoch)

    def _plan(self) -> None:
        shape, dice = self.shape, self.dice
        names = list(self.executors)
        at = 4 * S
        for number in range(shape.drains):
            at += 0 if number % 3 == 1 else dice.randrange(2 * S)
            self.after(at, self._drain, number, dice.choice(names))
        for _ in range(shape.faults):
            self.after(dice.randrange(3 * S, shape.length - 6 * S), self._fault, dice.choice(shape.kinds))

    def _drain(self, number: int, target: str) -> None:
        self.operators.append(Operator(self, number, target))

    def leader(self) -> VKeeper:
        """Who leads, or any."""
        leading = [k for k in self.keepers.values() if k.alive and k.replica.is_leader]
        return leading[0] if leading else next(iter(self.keepers.values()))

    def _some_keeper(self) -> VKeeper:
        return self.leader() if self.dice.random() < 0.5 else self.dice.choice(list(self.keepers.values()))

    def _fault(self, kind: str) -> None:
        lasts = self.dice.randrange(300 * MS, 6 * S)
        self.history.tell("lab", kind, number=lasts / S)
        getattr(self, f"_{kind.replace('-', '_')}")(lasts)

    def _kill(self, lasts: int) -> None:
        keeper = self._some_keeper()
        if keeper.alive:
            keeper.kill()
            self.after(lasts, keeper.start)

    def _all_keepers(self, lasts: int) -> None:
        for keeper in self.keepers.values():
            if keeper.alive:
                keeper.kill()
                self.after(lasts + self.dice.randrange(S), keeper.start)

    def _pause(self, lasts: int) -> None:
        self._some_keeper().pause(lasts)

    def _cut(self, lasts: int) -> None:
        one, other = self._some_keeper().name, self.dice.choice(list(self.keepers))
        self.cut[one, other] = self.cut[other, one] = self.time + lasts

    def _one_way(self, lasts: int) -> None:
        self.cut[self.dice.choice(list(self.keepers)), self._some_keeper().name] = self.time + lasts

    def _isolate(self, lasts: int) -> None:
        """One process reaches nobody, or hears nobody: a keeper, a node or a steward."""
        names = [*self.keepers, *(s.name for s in self.stewards), *(s.unit for s in self.stewards)]
        name, way = self.dice.choice(names), self.dice.randrange(3)
        if way < 2:
            self.cut[name, "*"] = self.time + lasts
        if way > 0:
            self.cut["*", name] = self.time + lasts

    def _some_node(self) -> SimulatedNode | None:
        nodes = [node for machine in self.machines for node in machine.nodes.values() if node.alive]
        return self.dice.choice(nodes) if nodes else None

    def _node_kill(self, lasts: int) -> None:
        if (node := self._some_node()) is not None:
            node.kill()

    def _node_pause(self, lasts: int) -> None:
        if (node := self._some_node()) is not None:
            node.pause(lasts + (4 * S if self.dice.random() < 0.5 else 0))  # half of them beyond the lease

    def _old_lease(self, lasts: int) -> None:
        """A steward stands still beyond its lease."""
        self.dice.choice(self.stewards).pause(4 * S + lasts)

    def _mid_change(self, lasts: int) -> None:
        self.mid_change.add(self.dice.randrange(len(self.stewards)))

    def _trap(self, lasts: int) -> None:
        self.trapped.add(self.dice.choice(self.stewards).name)

    def _flicker(self, lasts: int) -> None:
        """The leader dies, and the others are killed and at once started while they elect another."""
        self._kill(lasts)
        for keeper in self.keepers.values():
            if keeper.alive:
                self.after(self.dice.randrange(500 * MS, 1500 * MS), self._blink, keeper)

    def _blink(self, keeper: VKeeper) -> None:
        if keeper.alive:
            keeper.kill()
            keeper.start()

    def _cut_node(self, lasts: int) -> None:
        """A node reaches no keeper for long, and goes on to reach the executors."""
        name = self.dice.choice(self.stewards).unit
        self.cut[name, "*"] = self.cut["*", name] = self.time + lasts + 5 * S

    def _sleeper(self, lasts: int) -> None:
        """A node stands still till an executor is said to be drained without it."""
        if (node := self._some_node()) is not None:
            self.sleepers.append(node)
            node.pause(20 * S)

    def wake(self) -> None:
        """Something was drained."""
        for node in self.sleepers:
            self.after(MS, node.go_on)
        self.sleepers = []

    def _steward_kill(self, lasts: int) -> None:
        self.kill_steward(self.dice.randrange(len(self.stewards)), lasts)

    def kill_steward(self, number: int, lasts: int) -> None:
        """It dies and comes back; what it runs outlives it."""
        steward = self.stewards[number]
        if steward.alive:
            steward.kill()
            self.after(lasts, self._steward_start, number, steward.life)

    def _steward_start(self, number: int, life: int) -> None:
        self.stewards[number] = VSteward(self, number, hash_of(self.time, life) % 10**6)

    def _executor(self, lasts: int) -> None:
        name = self.dice.choice(list(self.executors))
        box = self.executors[name]
        if box.up:
            box.up, box.jobs = False, 0
            self.history.tell(name, "down", name, note="fault")
            self.after(lasts, self._executor_up, name)

    def _cut_spender(self, lasts: int) -> None:
        """The node that spends most of the budget now reaches no keeper, and goes on to spend."""
        number = -(self.time // (6 * S)) % self.shape.nodes
        name = f"node-{number}"
        self.cut[name, "*"] = self.cut["*", name] = self.time + lasts + 6 * S

    def _zone(self, lasts: int) -> None:
        """All executors of a zone go at once; without a plan, one."""
        zone = self.dice.choice(sorted(self.by_zone)) if self.shape.plans else ""
        for name in self.by_zone.get(zone, [self.dice.choice(list(self.executors))]):
            if self.executors[name].up:
                self.executors[name].up, self.executors[name].jobs = False, 0
                self.history.tell(name, "down", name, note="fault")
                self.after(lasts + 3 * S, self._executor_up, name)

    def _executor_up(self, name: str) -> None:
        self.executors[name].up = True
        self.history.tell(name, "up", name, note="fault")

    def _crash(self, lasts: int) -> None:
        """A keeper is killed the next time that it has something to sync."""
        self._some_keeper().crash = True

    def _snap(self, lasts: int) -> None:
        """A keeper makes a snapshot, so that others may need it."""
        keeper = self._some_keeper()
        if keeper.alive and not keeper.paused and keeper.replica.raft.commit_index > 1:
            keeper.replica.store_snapshot()
            keeper._do(keeper.replica.take_actions(keeper.clock.now()))

    def jobs_of(self, version: str) -> int:
        """Jobs that nodes of a version got, in ten thousandths of all."""
        return 10_000 * self.jobs.get(version, 0) // max(1, sum(self.jobs.values()))

    def digest(self) -> str:
        """Of the whole timeline: equal for equal seeds, whatever the machine's hashing."""
        text = b"".join(msgspec.json.encode(event) for event in self.history.events)
        text += repr([(visit.executor, visit.id, visit.at) for visit in self.visits]).encode()
        return hashlib.blake2b(text + str(self.messages).encode(), digest_size=16).hexdigest()


def _call(call: Callable[[], None]) -> None:
    call()


class Driver:
    """Plans and starts a release, and watches it."""

    def __init__(self, world: ClusterSimulation, version: str) -> None:
        self.world, self.version = world, version
        self.dice = random.Random(f"{world.seed}/release")
        self.number = 0
        self.step = "plan"
        self.state = ""
        world.after(5 * S, self._go)

    def _go(self) -> None:
        keeper = self.dice.choice(list(self.world.keepers))
        units = [f"node-{n}" for n in range(self.world.shape.nodes)]
        plan = ReleasePlan(self.version, ((units[0],), tuple(units[1:])), 2, 0, 3 * S, 4 * S, 20)
        asks = {
            "plan": lambda: SubmitRequest(commands.PlanRelease(0, "driver", "1", plan)),
            "start": lambda: SubmitRequest(commands.ControlRelease(0, "driver", "2", self.number, "start")),
            "watch": lambda: ReadRequest("releases"),
            "back": lambda: SubmitRequest(commands.ControlRelease(0, "driver", "3", self.number, "back")),
        }  # fmt: skip
        step = self.step

        def back(answer: object) -> None:
            self.world.send(keeper, "driver", lambda: self._heard(step, answer))

        self.world.ask("driver", keeper, asks[step](), back)
        self.world.after(500 * MS, self._go)

    def _heard(self, step: str, answer: object) -> None:
        if step != self.step:
            return
        if step == "plan" and isinstance(answer, SubmitReply) and answer.ok:
            self.number, self.step = answer.release_id, "start"
        elif step == "start" and isinstance(answer, SubmitReply):
            self.step = "watch"
        elif step == "watch" and isinstance(answer, ReadReply):
            self._saw(msgspec.json.decode(answer.body))
        elif step == "back" and isinstance(answer, SubmitReply):
            self.step = "watch"

    def _saw(self, rows: list[dict]) -> None:
        row = next((row for row in rows if row["id"] == self.number), None)
        if row is None:
            return
        if row["state"] != self.state:
            self.state = row["state"]
            self.world.history.tell("driver", f"release {self.state}", note="; ".join(row["why"][-1:]))
        if self.state == "halted" or (self.state == "done" and self.world.seed % 2):
            self.step = "back"
