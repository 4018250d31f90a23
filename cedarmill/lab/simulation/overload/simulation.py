"""Storms in virtual time: nodes, executors, tenants and clients that try again; three ways side by side.

Every job is one of its own. An executor works in order on its slots and does not know whose client has left,
so an overload can outlive its trigger. A node knows of an executor what an answer or a probe told it, and
what it sent itself since. `alone` is a model of what nodes do today, each by its own sight (without the
cutting of jobs that run); `fixed` gives each node an even part of all slots, retries and probes; `fleet` runs
the real level of admission, the real leased slices and purses, and news that nodes share. The all-knowing
admission that worth is held against sees first tries only. One seed is one timeline.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

import numpy

from cedarmill.cluster import budget_grants
from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.gate import OVER_QUOTA_SHARE, AdmissionGate
from cedarmill.cluster.admission_level.state import UNKNOWN, LoadReport, SheddingThreshold
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.budget_lease import BudgetLeases, RetryBudget
from cedarmill.cluster.gossip_plan import MAX_SENT_FACTOR, ExecutorReport, GossipPlan, ReportBoard
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.state_machine import commands, dispatch

US = 1_000_000
DT = 0.05  # s, between two turns of clients, news and agreement
WORK, AIM, PATIENCE = 0.2, 0.4, 1.0  # s: mean of a job, time till it is late, till its client leaves
TRIES = 3  # of a client in all
BACK = (0.3, 1.2)  # s after which a client that was told nothing comes back
ADVICE = (0.8, 2.0)  # s, evenly: the advice of a node that cuts, so that returns do not coincide
SENDS = 3  # attempts of a node for one req
PLACES = 12.0  # times its slots that an executor takes before it says that it is full
LOW = 0.5  # share of its places to wait that a node gives to what is worth nothing
PLACES_FIRST, PLACES_UP, PLACES_DOWN = 1.0, 0.1, 0.5  # slots; a prompt end; a late one
REJECT = 0.01  # slot-seconds that a refusal costs an executor
PROBE = 0.002  # slot-seconds of a probe
STALE = 0.4  # s, the age of news beyond which a node probes
NEWS_LATE = 1.0  # s that digests take to the leader, and orders 0.3 s back
LEASE = 3.6  # s till a dead node's lease has passed at its giver
SHARED = 0.3  # s that news of one node take to the others
COLD, COLD_SHARE = 8.9, 0.3  # s, and the share of its speed with which an executor starts
CONNECT = 0.005  # slot-seconds of a new connection's handshake
KINDS = ((5000, 0.3, 0.4), (3000, 0.3, 0.4), (1000, 0.4, 0.4))  # worth in thousandths, part of all, aim in s
CALM_RANK = 2 * KINDS[0][0]  # where nothing is cut: half a place more than what is worth most has
TENANTS = (("large", 0.6), ("middle", 0.3), ("small", 0.1))  # and their quotas, of all slots
WAYS = ("alone", "fixed", "fleet")


@dataclass(frozen=True, slots=True)
class Place:
    """Who is there, and what comes: loads are times the slots."""

    nodes: int = 12
    executors: int = 24
    slots: int = 4
    normal: float = 0.7
    peak: float = 2.0
    begins: float = 10.0  # s
    lasts: float = 5.0
    length: float = 40.0
    floods: tuple[str, int] = ("", 0)  # a tenant that brings the peak alone, at so many nodes (0: at all)
    killed: float = 0.0  # share of the nodes that die as it begins; their clients go to the others at once
    cold: float = 0.0  # share of the executors that start anew as it begins
    liar: float = 0.0  # times by which one node tells more than its clients want
    keepers: tuple[float, float] = (0.0, 0.0)  # s between which no keeper is there
    one_way: float = 0.0  # share of shared news that is lost
    news: float = SHARED  # s that shared news take
    half: tuple[float, float] = (0.0, 0.0)  # s between which a newer cut reaches every second node only
    forgets: bool = False  # all nodes lose news and connections as it begins: the director was restarted
    hops: int = 1  # clients, and nodes in front that try again as well
    places: float = 0.0  # to wait at an executor, by a node that does not learn them; 0: it learns


@dataclass(slots=True)
class Result:
    """Shares of 1; times in s."""

    worth: float = 0.0  # served in time during and after the storm, of an all-knowing admission's
    attempts: float = 0.0  # at executors, for each first try of a client
    offered: float = 0.0  # reqs at nodes, for each first try
    refused_calm: float = 0.0  # of what came before the storm, by nodes' own sight
    cut_calm: float = 0.0  # the same, by the fleet's level
    back: float = -1.0  # after the storm's end, till 95 % of first tries are served for 3 s; -1: never
    wasted: float = 0.0  # share of the executors' work that was for nobody
    late: dict[int, tuple[float, float]] = field(default_factory=dict)  # s: p50 and p99 of served, by worth
    probes: float = 0.0  # a second at one executor, in the storm
    connects: float = 0.0
    jain: float = 0.0  # of what tenants had served against what they were entitled to, in the storm
    top: float = 1.0  # of what is worth most and came in the storm, served in time
    most_probes: float = 0.0  # at one executor in any second
    spread: float = 0.0  # the fullest executor's queue against the mean's, in the storm (s of work)
    by_second: list[float] = field(default_factory=list)  # share of first tries served in time


class Job:
    """One req of a client, over all its tries."""

    __slots__ = ("rank", "tenant", "first", "tries", "size", "node", "done", "sends")

    def __init__(self, rank: int, tenant: int, first: float, size: float, node: int) -> None:
        self.rank, self.tenant, self.first, self.size, self.node = rank, tenant, first, size, node
        self.tries, self.sends, self.done = 1, 0, False


class Executor:
    """Slots that work in order; each end is known as soon as a job is sent."""

    __slots__ = ("free", "slots", "since", "queued")

    def __init__(self, slots: int) -> None:
        self.free, self.slots, self.since, self.queued = [0.0] * slots, slots, -1e9, deque()

    def held(self, now: float) -> int:
        """Jobs that run or wait."""
        while self.queued and self.queued[0] <= now:
            self.queued.popleft()
        return len(self.queued)

    def speed(self, now: float) -> float:
        age = min(1.0, max(0.0, (now - self.since) / COLD))
        return COLD_SHARE + (1 - COLD_SHARE) * age

    def work(self, now: float, size: float) -> float:
        """Take so much; when it ends."""
        begin = max(now, self.free[0])
        end = begin + size / self.speed(begin)
        heapq.heapreplace(self.free, end)
        return end

    def take(self, now: float, size: float) -> float:
        """A job; when it ends. They end in about the order in which they came."""
        end = self.work(now, size)
        self.queued.append(max(end, self.queued[-1] if self.queued else 0.0))
        return end

    def restart(self, now: float) -> None:
        self.since, self.free = now, [now] * self.slots
        self.queued.clear()


class Node:
    """What one node knows and may spend."""

    def __init__(self, storm: "Storm", number: int) -> None:
        self.number, self.alive, self.fixed = number, True, storm.place.places
        self.lease = 0.0  # of one that is dead, till when the fleet takes it for there
        self.board = ReportBoard()
        self.subset: list[int] = []
        self.gate, self.purses, self.tries = AdmissionGate(), BudgetLeases(), RetryBudget()
        self.first = 0
        self.wanted: deque[tuple[int, int, float]] = deque()  # step, worth, slot-seconds
        self.ends: deque[tuple[int, int, int]] = deque()  # step, served, of these late
        self.connected: set[int] = set()
        self.used, self.at = 0.0, 0.0  # of its even part, where that is fixed, and when
        self.waiting: dict[int, float] = {}  # places to wait at an executor, as today's module learns them
        self.lowered: dict[int, float] = {}
        self.passed: deque[int] = deque()  # steps at which reqs came that no cut refused
        self.turned: deque[int] = deque()  # and at which its own sight refused one

    def places(self, number: int, rank: int) -> float:
        """Places to wait for a job of that worth."""
        if self.fixed:
            return self.fixed
        return self.waiting.get(number, PLACES_FIRST) * (LOW + (1 - LOW) * rank / KINDS[0][0])

    def adapt(self, now: float, number: int, late: bool, slots: int) -> None:
        """As today's module: more places while jobs start promptly, fewer once for each congestion."""
        places = self.waiting.get(number, PLACES_FIRST)
        if not late:
            self.waiting[number] = min(slots, places + PLACES_UP)
        elif now - self.lowered.get(number, -1.0) > 0.25:
            self.waiting[number], self.lowered[number] = places * PLACES_DOWN, now


class Storm:
    """One run."""

    def __init__(self, way: str, place: Place, seed: int) -> None:
        self.way, self.place = way, place
        self.dice = numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, 27])))
        self.executors = [Executor(place.slots) for _ in range(place.executors)]
        self.slots = place.executors * place.slots
        self.nodes = [Node(self, n) for n in range(place.nodes)]
        weights = self.dice.uniform(0.5, 1.5, place.nodes)
        self.weights = weights / weights.sum()
        self.due: list[tuple[float, int, str, tuple]] = []
        self.count, self.t, self.step_number = 0, 0.0, 0
        self.news: list[tuple[float, ExecutorReport, int]] = []
        self.numbers = {"first": 0, "sent": 0, "offered": 0, "probes": 0, "connects": 0, "calm": 0,
                        "refused": 0, "cut": 0}  # fmt: skip
        self.work = self.waste = 0.0
        self.good: dict[int, list[float]] = {rank: [] for rank, _, _ in KINDS}
        self.worth = self.best = 0.0
        self.seconds: list[list[int]] = [[0, 0] for _ in range(int(place.length) + 2)]
        self.served = [0.0] * len(TENANTS)
        self.wanted = [0.0] * len(TENANTS)
        self.spreads: list[float] = []
        self.tops = [0, 0]  # jobs of the most worth that came in the storm, and were served in time
        self.probed: dict[tuple[int, int], int] = {}  # by executor and second
        self.held: list[int] = []  # jobs at executors, at each look
        self._set_up()

    def _set_up(self) -> None:
        place = self.place
        self.names = [f"e{n}" for n in range(place.executors)]
        self.draw = GossipPlan()
        self.parts: dict[int, float] = {}  # of the traffic, by node, as last told
        for node in self.nodes:
            node.subset = list(range(place.executors))
        if self.way == "fleet":
            self._deal()
        self.world = ClusterState("storm")
        rate = self.slots / WORK
        budgets = [Budget("retries", int(rate * 100), place.nodes),
                   Budget("probes", int(2000 * place.executors), place.nodes),
                   Budget("connects", int(2000 * place.executors), place.nodes)]  # fmt: skip
        budgets += [Budget(f"tenant:{name}", int(rate * part * 1000), place.nodes) for name, part in TENANTS]
        if self.way == "fleet":
            budget_grants.set_budgets(self.world, budgets)
            for n in range(place.nodes):
                member = Member("node", f"n{n}", "1")
                self.world.members[member.key] = member

    def _deal(self) -> None:
        """Who uses what: by the nodes that are there, and their parts of the traffic."""
        there = {f"n{node.number}": node for node in self.nodes if node.alive or self.t < node.lease}
        self.users = {n: [] for n in range(len(self.names))}
        self.draw.update(there, self.names)
        for name, node in there.items():
            mine = self.draw.executors_of(name, self.parts.get(node.number, 0.0))
            node.subset = [int(one[1:]) for one in mine]
            for number in node.subset:
                self.users[number].append(node.number)

    # Time.

    def at(self, when: float, what: str, *details) -> None:
        self.count += 1
        heapq.heappush(self.due, (when, self.count, what, details))

    def load(self, t: float) -> float:
        place = self.place
        return place.peak if place.begins <= t < place.begins + place.lasts else place.normal

    def play(self) -> Result:
        steps = int(self.place.length / DT)
        for number in range(steps):
            self.step_number, self.t = number, number * DT
            self._incident(number)
            self._come()
            if self.way == "fleet":
                self._agree(number)
            while self.due and self.due[0][0] < self.t + DT:
                when, _, what, details = heapq.heappop(self.due)
                getattr(self, what)(max(when, self.t), *details)
        return self._result()

    def _incident(self, number: int) -> None:
        place = self.place
        if number != int(place.begins / DT):
            return
        for n in range(int(place.killed * place.nodes)):
            self.nodes[n].alive, self.nodes[n].lease = False, self.t + LEASE
        for n in range(int(place.cold * place.executors)):
            self.executors[n].restart(self.t)
        for node in self.nodes if place.forgets else ():
            node.board = ReportBoard()
            node.connected.clear()

    def _come(self) -> None:
        """First tries of this step."""
        place, rate = self.place, self.slots / WORK * DT
        load = self.load(self.t)
        storm = load != place.normal
        wanted: dict[int, float] = {}
        for tenant, (name, part) in enumerate(TENANTS):
            mine = rate * part * (place.normal if storm and place.floods[0] else load)
            if storm and name == place.floods[0]:
                mine += rate * (load - place.normal)
            for rank, share, _ in KINDS:
                for _ in range(int(self.dice.poisson(mine * share))):
                    self._first(tenant, rank, storm, wanted)
        left = self.slots * DT
        for rank in sorted(wanted, reverse=True):  # an all-knowing admission serves the most worth first
            if self.t >= place.begins:
                self.best += rank * min(wanted[rank], left)
            left -= min(wanted[rank], left)

    def _first(self, tenant: int, rank: int, storm: bool, wanted: dict[int, float]) -> None:
        place = self.place
        flood = storm and TENANTS[tenant][0] == place.floods[0] and place.floods[1]
        node = int(self.dice.integers(place.floods[1])) if flood else self._door()
        size = float(self.dice.gamma(4.0, WORK / 4.0))
        wanted[rank] = wanted.get(rank, 0.0) + size
        self.numbers["first"] += 1
        if self.t < place.begins:
            self.numbers["calm"] += 1
        self.seconds[int(self.t)][0] += 1
        if storm:
            self.wanted[tenant] += size
            self.tops[0] += rank == KINDS[0][0]
        job = Job(rank, tenant, self.t + float(self.dice.random()) * DT, size, node)
        self.at(job.first, "arrive", job)

    def _door(self) -> int:
        number = int(numpy.searchsorted(self.weights.cumsum(), self.dice.random()))
        return min(number, self.place.nodes - 1)

    # A req at a node.

    def arrive(self, now: float, job: Job) -> None:
        self.numbers["offered"] += 1
        node = self.nodes[job.node]
        while not node.alive:  # its clients are at the others' doors at once
            job.node = self._door()
            node = self.nodes[job.node]
        us, rank = int(now * US), job.rank
        node.first += 1
        if self.way == "fleet":
            keep = 800 - 800 * job.rank // KINDS[0][0]  # what is worth more goes first
            if not node.purses.spend(us, self._holds(), f"tenant:{TENANTS[job.tenant][0]}", keep):
                rank = rank * OVER_QUOTA_SHARE // 1000
            node.wanted.append((self.step_number, rank, job.size))
            if node.gate.rejects(us, self._holds(), rank, float(self.dice.random())):
                self._turn_away(now, job, advised=True)
                return
            node.passed.append(self.step_number)
        if self.way == "fixed" and not self._part(now, node):
            self._turn_away(now, job, advised=False)
            return
        job.sends = 0
        self._send(now, job, node)

    def _holds(self) -> bool:
        first, last = self.place.keepers
        return not first <= self.t < last

    def _part(self, now: float, node: Node) -> bool:
        """An even part of all slots, by the rate that they stand."""
        most = self.slots / WORK / len(self.nodes)
        node.used, node.at = max(0.0, node.used - (now - node.at) * most), now
        if node.used >= max(1.0, most * 0.2):
            return False
        node.used += 1
        return True

    def _send(self, now: float, job: Job, node: Node) -> None:
        number = self._choose(now, node, job)
        if number is None:
            if self.way == "fleet":
                node.turned.append(self.step_number)
            self._turn_away(now, job, advised=False)
            return
        executor = self.executors[number]
        self.numbers["sent"] += 1
        job.sends += 1
        if number not in node.connected and self._may(now, node, "connects"):
            node.connected.add(number)
            self.numbers["connects"] += 1
            self._charge(now, executor, CONNECT)
        held = executor.held(now)
        if held >= PLACES * executor.slots * executor.speed(now):
            self._charge(now, executor, REJECT)
            self._hear(now, node, number, held)
            self._again(now, job, node)
            return
        node.board.on_sent(number)
        end = executor.take(now, job.size)
        self.work += job.size
        self.at(min(end, now + PATIENCE), "ended", job, node.number, number, end, now)

    def _charge(self, now: float, executor: Executor, size: float) -> None:
        executor.work(now, size)
        self.work += size
        self.waste += size

    def _may(self, now: float, node: Node, budget: str) -> bool:
        return self.way != "fleet" or node.purses.spend(int(now * US), self._holds(), budget)

    def _again(self, now: float, job: Job, node: Node) -> None:
        """A node tries once more, if it may."""
        may = job.sends < SENDS
        if self.way == "fleet":
            may = may and node.tries.spend(node.first) and self._may(now, node, "retries")
        elif self.way == "fixed":
            may = may and node.tries.spend(node.first)
        if may:
            self._send(now, job, node)
        else:
            self._turn_away(now, job, advised=False)

    def _choose(self, now: float, node: Node, job: Job) -> int | None:
        """Where by its news: none if all that it looks at seem full, its places to wait counted."""
        fleet, count = self.way == "fleet", len(node.subset)
        drawn = [node.subset[int(n)] for n in self.dice.integers(count, size=6)]
        # today: the best of what seems free, which comes near the best of some
        for part in (drawn[:2], drawn[2:], node.subset) if fleet else (drawn,):
            found = self._fits(now, node, part, job.rank, MAX_SENT_FACTOR)
            if found:
                return min(found)[1]
        if not fleet or node.gate.threshold.weight >= 0:
            return None
        # nothing is cut: others do not all send at the same time
        found = self._fits(now, node, node.subset, CALM_RANK, 1)
        return min(found)[1] if found else None

    def _fits(self, now: float, node: Node, numbers: list[int], rank: int, most: int) -> list:
        """The load believed there and the number of those with room by its news; old ones are asked again."""
        found = []
        for number in numbers:
            fact = node.board.reports.get(number)
            if fact is None or now - fact.at > STALE:
                self._probe(now, node, number)
            sharers = len(self.users[number]) if self.way == "fleet" else 1
            believed = node.board.estimated_load(number, now, min(sharers, most))
            if believed < self.place.slots + node.places(number, rank):
                found.append((node.board.estimated_load(number, now, sharers**0.5), number))
        return found

    def _probe(self, now: float, node: Node, number: int) -> None:
        if self.way == "fixed" and self.dice.random() > 0.2:
            return
        if not self._may(now, node, "probes"):
            return
        self.numbers["probes"] += 1
        key = number, int(now)
        self.probed[key] = self.probed.get(key, 0) + 1
        executor = self.executors[number]
        self._charge(now, executor, PROBE)
        self._hear(now, node, number, executor.held(now))

    def _hear(self, now: float, node: Node, number: int, held: int) -> None:
        """A report; shared with those that use the same executor, later."""
        fact = ExecutorReport(number, now, held, self.place.slots)
        node.board.accept(fact)
        if self.way == "fleet" and node.board.may_share(fact):
            self.at(now + self.place.news, "spread", fact, node.number)

    def spread(self, now: float, fact: ExecutorReport, teller: int) -> None:
        """What one has heard itself comes to the others; nobody passes on what it was told."""
        for number in self.users[fact.executor]:
            if number != teller and self.dice.random() >= self.place.one_way:
                self.nodes[number].board.accept(fact)

    def ended(self, now: float, job: Job, node: int, number: int, end: float, sent: float) -> None:
        """It is served, or its client has left while it goes on."""
        if not self.nodes[node].alive:
            self.waste += job.size
            self._turn_away(now, job, advised=False, refused=False)
            return
        self.nodes[node].board.on_ended(number)
        took = now - job.first if job.tries == 1 else now - sent
        late = end > sent + PATIENCE or took > AIM + WORK
        self.nodes[node].ends.append((self.step_number, 1, late))
        self.nodes[node].adapt(now, number, late, self.place.slots)
        if end > now + 1e-9:
            self.waste += job.size
            self._turn_away(now, job, advised=False, refused=False)
            return
        self._hear(now, self.nodes[node], number, self.executors[number].held(now))
        if job.done:
            return
        job.done = True
        if late:
            return
        if self.t >= self.place.begins:
            self.worth += job.rank * job.size
            self.good[job.rank].append(took)
        self.seconds[int(job.first)][1] += 1
        if self.load(job.first) != self.place.normal:
            self.served[job.tenant] += job.size
            self.tops[1] += job.rank == KINDS[0][0]

    def _turn_away(self, now: float, job: Job, advised: bool, refused: bool = True) -> None:
        if refused and now < self.place.begins:
            self.numbers["cut" if advised else "refused"] += 1
        if job.tries < TRIES * self.place.hops and not job.done:
            job.tries += 1
            span = ADVICE if advised else BACK
            self.at(now + float(self.dice.uniform(*span)), "arrive", job)

    # The fleet.

    def _agree(self, number: int) -> None:
        """Digests, the level, slices: as real as they are, over news that come late."""
        if number % 10 == 0:
            queues = [executor.held(self.t) for executor in self.executors]
            if self.place.begins <= self.t < self.place.begins + self.place.lasts:
                self.spreads.append(max(queues) / max(1.0, sum(queues) / len(queues)))
        if number % 20 == 0:
            for node in self.nodes:
                if node.alive and self._holds():
                    self._want(node)
            self._look_at_parts()
        if number % 10 or not self._holds():
            return
        first, last = number - int(2 * NEWS_LATE / DT), number - int(NEWS_LATE / 2 / DT)
        wants: dict[int, int] = {}
        served = late = turned = came = 0
        for node in self.nodes:
            while node.wanted and node.wanted[0][0] < first:
                node.wanted.popleft()
            for steps in (node.turned, node.passed):
                while steps and steps[0] < first:
                    steps.popleft()
            turned += sum(at < last for at in node.turned)
            came += sum(at < last for at in node.passed)
            while node.ends and node.ends[0][0] < first:
                node.ends.popleft()
            lies = self.place.liar if self.place.liar and node.number == 0 else 1.0
            for at, rank, size in node.wanted:
                if at < last:
                    wants[rank] = wants.get(rank, 0) + int(1000 * lies * size / ((last - first) * DT))
            served += sum(one for at, one, _ in node.ends if at < last)
            late += sum(bad for at, _, bad in node.ends if at < last)
        self.world.clock, self.world.index = int(self.t * US), self.world.index + 1
        self.held.append(sum(executor.held(self.t) for executor in self.executors))
        held = self.held[max(0, len(self.held) - 1 - int(NEWS_LATE / DT / 10))]  # as it was then
        aimed = served * (AIM + WORK) / ((last - first) * DT)
        queue = int(1000 * held / aimed) if aimed else UNKNOWN if held else 0
        late, turned = 1000 * late // max(1, served), 1000 * turned // max(1, came)
        report = LoadReport(1000 * self.slots, late, 1000 * held, 0, queue, turned)
        controller.advance(self.world, wants, report)
        self.at(self.t + 0.3, "told", self.world.admission.threshold)

    def _look_at_parts(self) -> None:
        """Once a second: who is there, and what comes to whom; where that has changed, who uses what."""
        if not self._holds():
            return
        came = {node.number: sum(size for _, _, size in node.wanted) for node in self.nodes if node.alive}
        total = max(1e-9, sum(came.values()))
        self.parts = {number: size / total for number, size in came.items()}
        self._deal()

    def _want(self, node: Node) -> None:
        key, us = f"node:n{node.number}:1", int(self.t * US)
        self.world.clock, self.world.index = us, self.world.index + 1
        dispatch.apply(self.world, self.world.index, dispatch.encode(
            commands.SetBudgetDemand(us, key, node.purses.demands(us))))  # fmt: skip
        node.purses.set_rates(us, True, budget_grants.rates_for(self.world, key))
        budget_grants.acknowledge(self.world, key, self.world.epoch)

    def told(self, now: float, cut: SheddingThreshold) -> None:
        first, last = self.place.half
        for node in self.nodes[:: 2 if first <= now < last else 1]:
            node.gate.set_thresholds(cut)

    # What it came to.

    def _result(self) -> Result:
        place, numbers = self.place, self.numbers
        first = max(1, numbers["first"])
        end = int(place.begins + place.lasts)
        shares = [good / came if came else 1.0 for came, good in self.seconds[: int(place.length) - 2]]
        held = [n for n in range(end, len(shares) - 2) if min(shares[n : n + 3]) >= 0.95]
        entitled = self._entitled()
        got = [served / max(1e-9, due) for served, due in zip(self.served, entitled, strict=True)]
        jain = sum(got) ** 2 / max(1e-9, len(got) * sum(x * x for x in got))
        late = {rank: (float(numpy.percentile(took, 50)), float(numpy.percentile(took, 99)))
                for rank, took in self.good.items() if took}  # fmt: skip
        each = place.executors * place.length
        return Result(self.worth / max(1e-9, self.best), numbers["sent"] / first, numbers["offered"] / first,
                      numbers["refused"] / max(1, numbers["calm"]), numbers["cut"] / max(1, numbers["calm"]),
                      held[0] - end if held else -1.0,
                      self.waste / max(1e-9, self.work), late, numbers["probes"] / each,
                      numbers["connects"] / each, jain, self.tops[1] / max(1, self.tops[0]),
                      float(max(self.probed.values(), default=0)),
                      float(numpy.mean(self.spreads)) if self.spreads else 0.0, shares)  # fmt: skip

    def _entitled(self) -> list[float]:
        """Slot-seconds that each tenant was to have in the storm: its quota, and what others leave."""
        left = self.slots * self.place.lasts
        found = [min(want, left * part) for want, (_, part) in zip(self.wanted, TENANTS, strict=True)]
        rest, short = left - sum(found), [want - has for want, has in zip(self.wanted, found, strict=True)]
        more = min(1.0, rest / max(1e-9, sum(short)))
        return [has + more * want for has, want in zip(found, short, strict=True)]


INCIDENTS = {
    "burst": Place(),
    "calm": Place(peak=0.8, normal=0.8),
    "month-end": Place(peak=3.0, lasts=20.0, length=50.0),
    "flood": Place(peak=2.0, lasts=15.0, floods=("small", 1)),
    "flood-everywhere": Place(peak=2.0, lasts=15.0, floods=("middle", 0)),
    "herd": Place(nodes=48, executors=48, peak=0.71, normal=0.7, lasts=10.0, killed=0.75, cold=0.5),
    "half-cold": Place(peak=0.71, normal=0.7, lasts=10.0, cold=0.5),
    "retry-storm": Place(peak=2.0, hops=3),
    # nodes that do not learn their places to wait: at a load of 0.85 they never come back by themselves
    "outlives": Place(normal=0.85, peak=2.0, places=20.0, length=60.0),
    "liar": Place(peak=2.0, lasts=15.0, liar=20.0),
    "keepers-gone": Place(peak=2.0, lasts=10.0, keepers=(9.0, 40.0)),
    "keepers-back": Place(peak=2.0, lasts=12.0, keepers=(9.0, 16.0)),
    "news-lost": Place(one_way=0.7),
    "news-late": Place(news=2.0),
    # the leader dies when half of the nodes have heard of the cut; another is there after 4 s
    "two-epochs": Place(peak=2.0, lasts=12.0, keepers=(11.6, 15.6), half=(11.0, 15.6)),
    "probe-storm": Place(
        nodes=200, executors=1000, normal=0.3, peak=0.301, begins=2.0, lasts=3.0, length=6.0, forgets=True
    ),  # fmt: skip
}


def play(way: str, place: Place | str, seed: int) -> Result:
    """One run of a place, or of a named incident."""
    return Storm(way, INCIDENTS[place] if isinstance(place, str) else place, seed).play()
