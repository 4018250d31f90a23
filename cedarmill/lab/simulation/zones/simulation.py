"""Zones and regions in virtual time: flows of jobs over zones, many nodes, and three ways to steer them.

Jobs are flows here, steps are a tenth of a second: enough to see zones fill, fall over and come back, at
1,000 executors and 200 nodes in seconds. What steers is the real thing: digests, evidence, the plan while
entries are applied, and each node's following are the modules that the processes run. Between them are news
that come late, a leader that dies, and keepers that are gone. One seed is one timeline.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.assessment import DIGEST_LIFETIME_US, ObservationCollector
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation, ObservationDigest
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.state_machine import commands, dispatch
from cedarmill.cluster.traffic_control import reports, rollout, zone_status
from cedarmill.cluster.traffic_plan.allocation import allocate
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.similarity import are_similar
from cedarmill.cluster.traffic_plan.state import WeightTable

DT = 0.1  # s, a step
US = 1_000_000
WORK = 0.2  # s, mean of a job
AIM = 0.4  # s that a job may wait and be in time
PATIENCE = 1.5  # s that a job waits at the most: then it is lost
FALLS = 2.5  # times its present capacity in a second, by which a zone falls over (brief)
DOWN = 6.0  # s that it is down then
COLD, COLD_SHARE = 8.9, 0.3  # s, and the share at first, of executors that have just started (brief)
PARTS = {"any": 0.7, "region": 0.2, "zone": 0.1}  # of demand, by how far it may go
SAFE = 900  # thousandths
LATE_FROM = 8.0  # s from which news are late, where an incident says so: a plan stands by then
NOTICE = 1.0  # s after which a node's executors that do not answer are left alone
WINDOW = 30  # steps that a node's counts reach back: 3 s
OVER = 1.05  # of a zone's true capacity: a receiver beyond it is over its safe load, noise allowed
CLAIMED = 8.0  # s, where slots are claimed that are not there: late jobs, their news, two cuts, a step each
SHIFT_MEANT = rollout.MOVE_RATE  # thousandths a second, as it is meant to be: a planted bug changes the other
WAYS = ("alone", "static", "agreed")


@dataclass(frozen=True, slots=True)
class Place:
    """Who is there."""

    regions: int = 3
    zones: int = 3  # of a region
    nodes: int = 27
    executors: int = 135
    slots: int = 4
    load: float = 0.7  # of all slots
    length: float = 60.0  # s


@dataclass(slots=True)
class Incident:
    """What happens, and when; `calm` is left as it is."""

    name: str
    about: str
    change: Callable[["Run", float], None]
    load: float = 0.7
    length: float = 60.0
    steady: tuple[float, float] = (30.0, 60.0)  # when an all-knowing plan is compared
    keepers: Callable[[float], bool] = staticmethod(lambda t: True)  # whether a leader is there
    late: float = 0.0  # s that digests are late
    half: bool = False  # only half of the nodes hear of plans made in the last second before the leader dies
    over: float = 1.0  # s that a receiver may be over its safe load


@dataclass(slots=True)
class Result:
    """What a run came to; shares of 1, times in s."""

    way: str
    served: float
    possible: float  # what an all-knowing plan serves in the steady part, and `steady` what was served of it
    steady: float
    crossed: float  # of all that was sent: to another zone while the own had room
    worst: list[float]  # the fullest zone's load, by the second
    over: float  # s that a receiver was longest over its safe load by what others sent
    fallen: int  # zones that fell over
    changes: int  # of the plan's aim, or of zones' states
    cold: float  # the most load of a zone while it was brought back
    settled: float  # s after the incident till what is served stays near its last level
    digest: str = ""
    laws: list[str] = field(default_factory=list)


class Run:
    """One incident, one seed, one way."""

    def __init__(self, place: Place, incident: Incident, seed: int, way: str) -> None:
        self.place, self.incident, self.way = place, incident, way
        self.random = numpy.random.Generator(numpy.random.PCG64(numpy.random.SeedSequence([seed, 7])))
        names = [f"z{r}{z}" for r in range(place.regions) for z in range(place.zones)]
        self.names, self.count = names, len(names)
        regions = {f"r{r}": [f"z{r}{z}" for z in range(place.zones)] for r in range(place.regions)}
        self.zoning = ZoneLayout(regions, {}, SAFE)
        self.region = numpy.array([n // place.zones for n in range(self.count)])
        self.home = numpy.array([n % self.count for n in range(place.nodes)])
        weights = self.random.uniform(0.6, 1.4, place.nodes)
        share = self.random.uniform(0.85, 1.15, self.count)
        each = place.executors / self.count * place.slots
        self.full = numpy.full(self.count, each)  # slots of a zone when all is well
        sums = numpy.bincount(self.home, weights, self.count)
        self.weights = weights / sums[self.home] * share[self.home] / share.mean() * each
        self.demand_factor = numpy.ones(self.count)
        self.up = numpy.ones(self.count)  # share of a zone's executors that are there
        self.since = numpy.full(self.count, -1e9)  # when they started
        self.slow = numpy.ones(self.count)
        self.fails = numpy.zeros(self.count)
        self.lies = numpy.ones(self.count)
        self.links = numpy.ones((self.count, self.count))  # share that arrives, from and to
        self.latency = numpy.zeros((self.count, self.count))
        self.blind = numpy.zeros(self.count, bool)  # nodes of the zone tell nothing
        self.queue = numpy.zeros(self.count)  # slot-seconds that wait
        self.recent = [numpy.zeros(self.count) for _ in range(10)]
        self.down_till = numpy.full(self.count, -1.0)
        self.meant = (self.down_till.copy(), self.since.copy())  # by the incident alone, without falls
        self.there_at = numpy.zeros(self.count)
        self.fallen = 0
        self.t = 0.0
        shape = (place.nodes, self.count)
        self.history = {what: [numpy.zeros(shape) for _ in range(WINDOW)]
                        for what in ("tried", "failed", "late", "lost")}  # fmt: skip
        self.steer = _STEERS[way](self)
        self.by_step: list[tuple[float, float, float, float]] = []  # offered, served, possible, crossed
        self.loads: list[numpy.ndarray] = []
        self.inbound: list[numpy.ndarray] = []
        self.over_for = numpy.zeros(self.count)
        self.over_most = 0.0
        self.cold_most = 0.0  # load of a zone that returns, while the plan brings it back
        self.node_ill = numpy.ones(place.nodes)  # share of a node's attempts that arrive
        self.lying = False  # digests say that zones are lost which are there

    # What is there.

    def capacity(self, meant: bool = False) -> numpy.ndarray:
        """Slots that work, by zone; `meant`: as if none had fallen over."""
        down_till, since = self.meant if meant else (self.down_till, self.since)
        age = numpy.clip((self.t - since) / COLD, 0.0, 1.0)
        warm = COLD_SHARE + (1 - COLD_SHARE) * age
        return self.full * self.up * warm * self.slow * (self.t >= down_till)

    def demand(self) -> numpy.ndarray:
        """Slots wanted, by node."""
        return self.weights * self.place.load * self.demand_factor[self.home]

    def die(self, zone: int, lasts: float) -> None:
        """The incident takes a zone."""
        self.fall(zone, lasts)
        for mine in self.meant:
            mine[zone] = self.t + lasts

    def fall(self, zone: int, lasts: float) -> None:
        """A zone's executors die and come back cold."""
        self.down_till[zone] = self.t + lasts
        self.since[zone] = self.t + lasts
        self.queue[zone] = 0.0

    # A step.

    def step(self) -> None:
        """Let a tenth of a second pass."""
        self.incident.change(self, self.t)
        self.steer.step()
        demand, rows = self.demand(), self.steer.rows()  # rows: node x zone, for each bound
        there = self.capacity()
        reach = self.links[self.home] * (there > 0)[None, :] * self.node_ill[:, None]
        sent = sum(rows[b] * (demand * PARTS[b])[:, None] for b in SCOPES)
        arrive = sent * reach
        self.there_at = numpy.where(there > 0, self.t, self.there_at)
        noticed = self.t - self.there_at > NOTICE  # executors known to be dead are not tried: refused
        again = sum(self._again(rows[b] * ~noticed, rows[b], demand * PARTS[b], reach) for b in SCOPES)
        arrive_all = arrive + again
        offered = arrive_all.sum(0)
        served, late = self._serve(offered, there)
        self._note(sent, arrive_all, served, late)
        self._measure(demand, rows, offered, there, served, arrive_all)
        self.t = round(self.t + DT, 6)

    @staticmethod
    def _again(tried: numpy.ndarray, row: numpy.ndarray, demand: numpy.ndarray,
               reach: numpy.ndarray) -> numpy.ndarray:  # fmt: skip
        """What did not arrive is sent once more, by the same shares."""
        lost = (tried * (1 - reach)).sum(1) * demand
        return row * lost[:, None] * reach

    def _serve(self, offered: numpy.ndarray, there: numpy.ndarray) -> tuple[numpy.ndarray, numpy.ndarray]:
        """Shares of what is offered that are served, and that are served late."""
        self.recent = [offered, *self.recent[:-1]]
        mean = sum(self.recent) / len(self.recent)
        for zone in numpy.flatnonzero((mean > FALLS * numpy.maximum(there, 1e-9)) & (there > 0)):
            self.fallen += 1
            self.fall(int(zone), DOWN)
        there = self.capacity()
        safe = numpy.maximum(there, 1e-9)
        self.queue = numpy.maximum(0.0, self.queue + (offered - there) * DT) * (there > 0)
        wait = self.queue / safe
        most = PATIENCE * safe
        dropped = numpy.clip(self.queue - most, 0.0, offered * DT)
        self.queue -= dropped
        taken = numpy.where(offered > 1e-9, 1 - dropped / numpy.maximum(offered * DT, 1e-12), 1.0)
        taken = numpy.where(there > 0, taken, 0.0) * (1 - self.fails)
        late = numpy.clip((wait - AIM) / AIM, 0.0, 1.0)
        return taken, late

    def _note(self, sent, arrived, served, late) -> None:
        """What nodes see: counts of jobs, by chance where they are few."""
        scale = DT / WORK
        tried = self.random.poisson(numpy.maximum(sent, 0) * scale)
        there = self.links[self.home] * (self.capacity() > 0)[None, :] * self.node_ill[:, None]
        lost = self.random.binomial(tried, 1 - there)
        arrive = tried - lost
        failed = self.random.binomial(arrive, numpy.broadcast_to(self.fails, arrive.shape))
        slow_link = numpy.clip(self.latency[self.home] / AIM, 0.0, 1.0)
        lateness = numpy.clip(late[None, :] + slow_link, 0.0, 1.0)
        for what, now in (("tried", tried), ("failed", failed), ("lost", lost),
                          ("late", self.random.binomial(arrive - failed, lateness))):  # fmt: skip
            self.history[what] = [now, *self.history[what][:-1]]

    def _measure(self, demand, rows, offered, there, served, arrived) -> None:
        own = numpy.arange(self.count)
        good = (offered * served).sum()
        meant = self.capacity(meant=True)
        possible = self._possible(demand, meant) if int(round(self.t * 10)) % 10 == 0 else None
        wanted = numpy.bincount(self.home, demand, self.count)
        local = numpy.zeros(self.count)
        numpy.add.at(local, self.home, arrived[numpy.arange(len(self.home)), self.home])
        far = arrived.sum() - local.sum()
        room = numpy.minimum(wanted, there * SAFE / WHOLE * (1 - (self.fails > 0.05)))
        crossed = min(far, numpy.maximum(0.0, room - local).sum())
        self.by_step.append((demand.sum(), good, -1.0 if possible is None else possible, crossed))
        load = numpy.where(there > 0, offered / numpy.maximum(there, 1e-9), 0.0)
        inbound = offered - local[own]
        self.loads.append(load)
        over = (load > OVER) & (inbound > 0.03 * self.full) & (wanted <= there * OVER)
        self.over_for = numpy.where(over, self.over_for + DT, 0.0)
        self.over_most = max(self.over_most, float(self.over_for.max()))
        for zone in self.steer.returning():
            self.cold_most = max(self.cold_most, float(load[zone]))

    def _possible(self, demand: numpy.ndarray, there: numpy.ndarray) -> float:
        """Slots that an all-knowing plan would serve now, under the same bounds."""
        room = {name: int(WHOLE * there[n] * SAFE / WHOLE * (1 - self.fails[n]))
                for n, name in enumerate(self.names)}  # fmt: skip
        wanted = numpy.bincount(self.home, demand, self.count)
        want = {(name, b): int(WHOLE * wanted[n] * PARTS[b])
                for n, name in enumerate(self.names) for b in SCOPES}  # fmt: skip
        links = {f"{a}>{b}": "gone" for i, a in enumerate(self.names) for j, b in enumerate(self.names)
                 if self.links[i, j] < 0.5 and i != j}  # fmt: skip
        # the own zone may be filled beyond what is safe for it: nothing is sent there by plan
        flow = allocate(self.zoning, room, {}, want, links)
        return sum(flow.flows.values()) / WHOLE

    # The whole.

    def play(self) -> Result:
        """To its end."""
        while self.t < self.incident.length:
            self.step()
        return self._result()

    def _result(self) -> Result:
        offered = sum(o for o, _, _, _ in self.by_step)
        served = sum(s for _, s, _, _ in self.by_step)
        first, last = (int(x / DT) for x in self.incident.steady)
        part = [one for one in self.by_step[first:last] if one[2] >= 0]
        possible = sum(one[2] for one in part)
        near = sum(min(s, p) for s, p in ((self._mean(first + 10 * n), one[2]) for n, one in enumerate(part)))
        seconds = [self.loads[at : at + 10] for at in range(0, len(self.loads), 10)]
        worst = [float(max(load.max() for load in part)) for part in seconds]
        crossed = sum(c for _, _, _, c in self.by_step) / offered
        text = repr([tuple(round(float(x), 6) for x in one) for one in self.by_step]).encode()
        return Result(
            self.way, served / offered, possible / max(1e-9, sum(one[0] for one in part)),
            near / max(1e-9, possible), crossed, worst, round(self.over_most, 2), self.fallen,
            self.steer.changes(), round(self.cold_most, 3), self._settled(),
            hashlib.blake2b(text, digest_size=16).hexdigest(),
            list(self.steer.laws),
        )  # fmt: skip

    def _mean(self, at: int) -> float:
        part = [one[1] for one in self.by_step[at : at + 10]]
        return sum(part) / max(1, len(part))

    def _settled(self) -> float:
        """From the incident on (10 s), till the share served stays within 3 % of its last level."""
        shares = [s / o if o else 1.0 for o, s, _, _ in self.by_step]
        level = sum(shares[-50:]) / 50
        smooth = [sum(shares[n : n + 10]) / 10 for n in range(len(shares) - 10)]
        bad = [n for n, share in enumerate(smooth) if abs(share - level) > 0.03]
        return max(0.0, round((bad[-1] + 10) * DT - 10.0, 1)) if bad else 0.0


class Steer:
    """How nodes choose zones; `rows` gives for each bound a matrix of nodes by zones."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.laws: list[str] = []
        n, z = run.place.nodes, run.count
        self._same_region = (run.region[run.home][:, None] == run.region[None, :]).astype(float)
        self._own = numpy.zeros((n, z))
        self._own[numpy.arange(n), run.home] = 1.0

    def step(self) -> None:
        """Before each step."""

    def rows(self) -> dict[str, numpy.ndarray]:
        raise NotImplementedError

    def changes(self) -> int:
        return 0

    def returning(self) -> list[int]:
        """Zones that are being brought back."""
        return []

    def mask(self, bound: str) -> numpy.ndarray:
        """Where such reqs may go."""
        return {"zone": self._own, "region": self._same_region, "any": numpy.ones_like(self._own)}[bound]


class Alone(Steer):
    """Each node by its own sight, as today: own zone by (idle there / idle elsewhere)^2, spill when full."""

    def __init__(self, run: Run) -> None:
        super().__init__(run)
        shape = (run.place.nodes, run.count)
        self.idle = numpy.full(shape, 1.0 - run.place.load)
        self.dead = numpy.zeros(shape)  # s till it is tried again
        self.times = numpy.zeros(shape)
        self.late = run.random.integers(1, 6, run.place.nodes)  # steps that news are old: it probes
        self.past: list[numpy.ndarray] = [self.idle[0].copy() for _ in range(22)]

    def step(self) -> None:
        run = self.run
        there = run.capacity() * run.lies
        held = run.recent[0]
        now = numpy.where(run.full > 0, (there - numpy.minimum(there, held)) / run.full, 0.0)
        now = numpy.where(run.queue > 0, 0.0, now)
        self.past = [now, *self.past[:-1]]
        seen = numpy.stack([self.past[late] for late in self.late])
        noise = run.random.uniform(0.8, 1.2, seen.shape)
        self.idle += (seen * noise - self.idle) * 0.2
        lost = run.history["lost"][0] > 0.5 * numpy.maximum(1, run.history["tried"][0])
        lost &= run.history["tried"][0] > 0
        self.times = numpy.where(lost, numpy.minimum(self.times + 1, 4), self.times)
        self.times = numpy.where(~lost & (run.history["tried"][0] > 0), 0, self.times)
        wait = 0.5 * 2**self.times * run.random.uniform(0.5, 1.5, lost.shape)
        self.dead = numpy.where(lost, wait, numpy.maximum(0.0, self.dead - DT))

    def rows(self) -> dict[str, numpy.ndarray]:
        idle = numpy.maximum(1e-3, self.idle) * (self.dead <= 0)
        own = (idle * self._own).sum(1)
        found = {}
        for bound in SCOPES:
            others = idle * self.mask(bound) * (1 - self._own)
            count = numpy.maximum(1, (others > 0).sum(1))
            far = others.sum(1) / count
            near = numpy.where(far > 0, numpy.minimum(1.0, (own / numpy.maximum(far, 1e-9)) ** 2), 1.0)
            near = numpy.where(own > 0, near, 0.0 if bound != "zone" else 1.0)
            weight = others / numpy.maximum(others.sum(1, keepdims=True), 1e-9)
            found[bound] = self._own * near[:, None] + weight * (1 - near)[:, None]
            if bound == "zone":
                found[bound] = self._own.copy()
        return found


class Static(Steer):
    """Fixed shares: home, and where a node sees its home gone, evenly over the others that it may use."""

    def __init__(self, run: Run) -> None:
        super().__init__(run)
        self.gone = numpy.zeros(run.place.nodes, bool)

    def step(self) -> None:
        run = self.run
        tried = sum(run.history["tried"][:10])
        lost = sum(run.history["lost"][:10])
        own = numpy.arange(run.place.nodes), run.home
        self.gone = numpy.where(tried[own] >= 2, lost[own] > 0.5 * tried[own], self.gone & (tried[own] < 2))

    def rows(self) -> dict[str, numpy.ndarray]:
        found = {}
        for bound in SCOPES:
            others = self.mask(bound) * (1 - self._own)
            weight = others / numpy.maximum(others.sum(1, keepdims=True), 1e-9)
            gone = (self.gone & (others.sum(1) > 0)).astype(float)[:, None]
            found[bound] = self._own * (1 - 0.99 * gone) + weight * 0.99 * gone
        return found


class Agreed(Steer):
    """By the fleet's plan: real digests, evidence, plan and following, over late news and lost leaders."""

    def __init__(self, run: Run) -> None:
        super().__init__(run)
        self.world = ClusterState("lab")
        self.index = 0
        self.apply(commands.SetZones(0, "lab", "1", run.zoning))
        self.members = []
        for n, home in enumerate(run.home):
            self.members.append(Member("node", f"n{n}", "1", run.names[home]))
        self.followers = [PlanFollower() for _ in self.members]
        # when each comes, of whom, when it was made
        self.digests: list[tuple[float, int, int, ObservationDigest]] = []
        self.seq = 0
        self.desk = ObservationCollector()
        self.led = True
        self.told_epoch = -1
        self.plans: list[tuple[float, int, RouteWeights]] = []
        self.matrix = {bound: self._own.copy() for bound in SCOPES}
        self.phase = run.random.integers(0, 10, run.place.nodes)
        self.use_phase = run.random.integers(0, 3, run.place.nodes)
        self.epochs = [0] * len(self.members)
        self.there_since = numpy.zeros(run.count)
        self.states = ["open"] * run.count
        self.shares_before: WeightTable = {}
        self.drained: dict[int, float] = {}  # zones that every node has heard to be shut, and since when

    @property
    def now(self) -> int:
        return int(round(self.run.t * US))

    def apply(self, command: commands.Command) -> None:
        self.index += 1
        dispatch.apply(self.world, self.index, dispatch.encode(command))

    def step(self) -> None:
        step = int(round(self.run.t / DT))
        self._tell(step)
        self._lead(step)
        self._hear()
        self._follow(step)
        self._watch(step)

    def returning(self) -> list[int]:
        return [n for n, name in enumerate(self.run.names) if self.world.zones[name].status == "returning"]

    # What has to hold.

    def _broken(self, law: str, text: str) -> None:
        self.laws.append(f"{law}: {self.run.t:.1f} s: {text}")

    def _watch(self, step: int) -> None:
        """States against what is true, shares against their bounds, shut zones against what is sent there."""
        run = self.run
        there = run.capacity() > 0
        self.there_since = numpy.where(there, self.there_since, run.t)
        for n, name in enumerate(run.names):
            state = self.world.zones[name].status
            if state != self.states[n]:
                self._turned(n, self.states[n], state)
                self.states[n] = state
        if step % 10 == 0:
            self._bounded()
        self._shut()

    def _turned(self, zone: int, before: str, state: str) -> None:
        run = self.run
        stood = run.t - self.there_since[zone]
        reached = not run.fails[zone] and run.links[:, zone].min() >= 0.5
        if state in ("lost", "ill") and stood > 5.0 and reached:
            self._broken("nothing is lost that is there", f"{run.names[zone]} is {state} after {stood:.1f} s")
        damped = before in ("lost", "ill") and state == "returning"
        if damped and stood < zone_status.DWELL_US / US - 3.5 and not run.fails[zone]:
            self._broken("one change in a damped period", f"{run.names[zone]} back after {stood:.1f} s")

    def _bounded(self) -> None:
        shares, before = self.world.traffic.weights, self.shares_before
        self.shares_before = {source: {bound: dict(row) for bound, row in by.items()}
                              for source, by in shares.items()}  # fmt: skip
        gone = {name for n, name in enumerate(self.run.names) if self.states[n] in ("lost", "out")}
        for source, by in before.items():
            for bound, row in by.items():
                now = shares.get(source, {}).get(bound, {})
                moved = max((abs(now.get(z, 0) - row.get(z, 0)) for z in now.keys() | row.keys()), default=0)
                if moved > 1.6 * SHIFT_MEANT and not gone & row.keys():
                    self._broken("shares move in bounded steps", f"{source} {bound} moved by {moved}")

    def _shut(self) -> None:
        """Once all nodes have heard that a zone is shut, nothing is sent there."""
        run = self.run
        for n, name in enumerate(run.names):
            heard = all(f.plan is not None and name in f.plan.closed_zones for f in self.followers)
            since = self.drained.setdefault(n, run.t) if heard else self.drained.pop(n, None)
            if heard and run.t - since > 0.5:
                sent = sum(self.matrix[bound][:, n].sum() for bound in SCOPES)
                if sent > 0:
                    self._broken("a shut zone gets nothing", f"{name} gets {sent:.3f} of rows")

    # Nodes tell.

    def _tell(self, step: int) -> None:
        run = self.run
        sums = None
        for n in numpy.flatnonzero(self.phase == step % 10):
            if run.blind[run.home[n]]:
                continue
            sums = sums or {what: sum(run.history[what]) for what in run.history}
            self.seq += 1
            late = run.incident.late * (run.t >= LATE_FROM) + float(run.random.uniform(0.0, 0.3))
            self.digests.append((run.t + late, int(n), self.now, self._digest(int(n), sums)))

    def _seen(self, n: int, sums: dict[str, numpy.ndarray]) -> dict[str, LocationObservation]:
        run = self.run
        there, held = run.capacity() * run.lies, run.recent[0]
        found = {
            name: LocationObservation(
                int(run.place.executors / run.count * run.up[z]),
                int(WHOLE * there[z]),
                int(WHOLE * min(held[z], there[z])),
                *(int(sums[what][n, z]) for what in ("tried", "failed", "late", "lost")),
            )
            for z, name in enumerate(run.names)
        }
        if run.lying:
            for name in run.names[2:]:
                found[name] = LocationObservation(9, found[name].slots, 0, 50, unreached=50)
        return found

    def _digest(self, n: int, sums: dict[str, numpy.ndarray]) -> ObservationDigest:
        run = self.run
        demand = float(run.demand()[n])
        wants = {b: int(WHOLE * demand * PARTS[b] * run.random.uniform(0.95, 1.05)) for b in SCOPES}
        return ObservationDigest(self.seq, run.names[run.home[n]], wants, self._seen(n, sums), self.epochs[n])

    # The leader.

    def _lead(self, step: int) -> None:
        run = self.run
        led = run.incident.keepers(run.t)
        if led and not self.led:
            self.desk = ObservationCollector()  # a new leader knows nothing of before
            self.since = run.t
        self.led = led
        due = [one for one in self.digests if one[0] <= run.t]
        self.digests = [one for one in self.digests if one[0] > run.t]
        if not led:
            return
        for _, n, made, digest in due:
            self.desk.accept(made, f"n{n}", digest)
        told = sum(self.now - at <= DIGEST_LIFETIME_US for at, _ in self.desk.digests.values())
        if step % 5 == 0 and 2 * told > len(self.members):
            evidence = self.desk.assess(self.now, run.names)
            if not are_similar(self.world.traffic.latest_assessment, evidence):
                self.apply(commands.RecordZoneEvidence(self.now, evidence))
        at = dispatch.next_due(self.world)
        if at is not None and self.now >= at:
            self.apply(commands.AdvanceTime(self.now))
        if self.world.traffic.epoch != self.told_epoch:
            self.told_epoch = self.world.traffic.epoch
            ways = {name: reports.route_weights(self.world, name) for name in run.names}
            for n, member in enumerate(self.members):
                dies = run.incident.half and not run.incident.keepers(run.t + 1.0) and n % 2
                if not dies:
                    late = float(run.random.uniform(0.0, 0.3 if run.random.random() < 0.95 else 2.0))
                    self.plans.append((run.t + late, n, ways[member.zone]))

    # Nodes follow.

    def _hear(self) -> None:
        run = self.run
        due = [one for one in self.plans if one[0] <= run.t]
        self.plans = [one for one in self.plans if one[0] > run.t]
        for _, n, way in due:
            before = self.epochs[n]
            if self.followers[n].accept_plan(way):
                self.epochs[n] = way.epoch
                if way.epoch < before:
                    self._broken("older plans never replace newer ones", f"n{n}: {way.epoch} after {before}")

    def _follow(self, step: int) -> None:
        run = self.run
        nodes = numpy.flatnonzero(self.use_phase == step % 3)
        sums = {what: sum(run.history[what]) for what in run.history}
        for n in nodes:
            follower = self.followers[n]
            if follower.plan is None:
                continue
            follower.decide(self.now, self._light(int(n), sums))
            for bound, found in follower.weights(self.now).items():
                row = numpy.zeros(run.count)
                for zone, part in found.items():
                    if zone == follower.plan.zone and zone in follower.plan.closed_zones:
                        continue  # refused at once: its executors are out of use
                    row[run.names.index(zone)] = part / WHOLE
                self.matrix[bound][n] = row
            self._held(int(n))

    def _light(self, n: int, sums: dict[str, numpy.ndarray]) -> dict[str, LocationObservation]:
        """As `_seen`, only what a follower reads."""
        tried, lost = sums["tried"][n], sums["lost"][n]
        return {
            name: LocationObservation(attempts=int(tried[z]), unreached=int(lost[z]))
            for z, name in enumerate(self.run.names)
            if lost[z]
        }

    def _held(self, n: int) -> None:
        """Residency holds in each row, whatever was agreed and seen."""
        for bound in ("zone", "region"):
            if (self.matrix[bound][n] * (1 - self.mask(bound)[n])).sum() > 0:
                self._broken("residents stay", f"n{n} sends what may not leave its {bound} elsewhere")

    def rows(self) -> dict[str, numpy.ndarray]:
        return self.matrix

    def changes(self) -> int:
        return sum(zone.status_changes for zone in self.world.zones.values())


_STEERS = {"alone": Alone, "static": Static, "agreed": Agreed}


# What a run is judged by.


LAWS: dict[str, Callable[["Result", str], bool]] = {
    "no receiver over its safe load": lambda one, name: one.over > INCIDENTS[name].over,
    "no zone falls over": lambda one, name: one.fallen > 0,
    "near while that is safe": lambda one, name: name == "calm" and one.crossed > 0.02,
    "serves what could be served": lambda one, name: one.steady < 0.98,
    "a zone that returns is not overfilled": lambda one, name: one.cold > 1.4,
}


def breaches(one: "Result", name: str) -> list[str]:
    """All laws that a run broke: those seen on the way, and those of its figures."""
    found = {text.partition(": ")[0] for text in one.laws}
    return sorted(found | {law for law, broken in LAWS.items() if broken(one, name)})


# Incidents.


def _calm(run: Run, t: float) -> None:
    pass


def _at(t: float, when: float) -> bool:
    return abs(t - when) < DT / 2


def _zone_dies(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.die(0, 1e9)


def _zone_dies_drained(run: Run, t: float) -> None:
    if _at(t, 4.0) and isinstance(run.steer, Agreed):
        leave = commands.ControlZone(run.steer.now, "op", "leave", "leave", run.names[-1], 4 * US, "work")
        run.steer.apply(leave)
    if _at(t, 10.0):
        run.die(0, 1e9)


def _two_in_a_row(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.die(0, 1e9)
    if _at(t, 13.0):
        run.die(1, 1e9)


def _link(share: float, both: bool, latency: float = 0.0) -> Callable[[Run, float], None]:
    def change(run: Run, t: float) -> None:
        if _at(t, 10.0):
            run.demand_factor[0] = 2.4  # so that there is traffic between zones at all
        if _at(t, 20.0):
            run.links[0, 1], run.latency[0, 1] = share, latency
            if both:
                run.links[1, 0], run.latency[1, 0] = share, latency

    return change


def _gray(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.fails[0] = 1 / 3


def _slow(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.slow[0] = 0.5


def _lies(run: Run, t: float) -> None:
    """It claims what it has not, and others send there since one zone has died."""
    if _at(t, 5.0):
        run.slow[1], run.lies[1] = 0.6, 1 / 0.6
    if _at(t, 10.0):
        run.die(0, 1e9)


def _blind(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.blind[0] = True


def _flaps(run: Run, t: float) -> None:
    if 10.0 <= t < 130.0 and _at(t % 6.0, 4.0):
        run.die(0, 3.0)


def _returns(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.die(0, 15.0)


def _doubles(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.demand_factor[0] = 2.0


def _loud(run: Run, t: float) -> None:
    """One node that has most of its zone's reqs loses all that it sends."""
    if _at(t, 5.0):
        run.weights[0] *= 5.0
    if _at(t, 10.0):
        run.node_ill[0] = 0.0


def _lying(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.lying = True
    if _at(t, 25.0):
        run.lying = False


def _dies_then_back(run: Run, t: float) -> None:
    if _at(t, 10.0):
        run.die(0, 20.0)


INCIDENTS = {
    one.name: one
    for one in (
        Incident("calm", "nothing happens", _calm, steady=(10.0, 60.0)),
        Incident("zone-dies", "a zone dies whole at 80% load", _zone_dies, 0.8),
        Incident("zone-dies-drained", "the same while another one is evacuated", _zone_dies_drained, 0.65),
        Incident("two-in-a-row", "a second zone dies 3 s after the first", _two_in_a_row, 0.65),
        Incident("link-gone", "one link between two zones fails", _link(0.0, True), 0.6),
        Incident("link-one-way", "one direction of it", _link(0.0, False), 0.6),
        Incident("link-thin", "20% loss on it", _link(0.8, True), 0.6),
        Incident("link-slow", "ten times the latency on it", _link(1.0, True, 0.3), 0.6),
        Incident("gray", "a zone fails a third of its work and answers probes", _gray),
        Incident("slow", "a zone has half of its speed", _slow),
        Incident("lies", "a zone claims slots that it has not, and another one dies", _lies, 0.65,
                 over=CLAIMED),
        Incident("blind", "all observers of a zone fall silent", _blind),
        Incident("loud", "one busy observer loses all that it sends", _loud, 0.4, steady=(5.0, 10.0)),
        Incident("lying", "digests say that most zones are lost, which are there", _lying, 0.7),
        Incident("flaps", "a zone comes and goes for two minutes", _flaps, 0.7, 140.0, (40.0, 130.0)),
        Incident("returns", "a zone dies and returns cold", _returns, 0.7, 90.0, (60.0, 90.0)),
        Incident("doubles", "demand doubles in one zone", _doubles, 0.65),
        Incident("late-2", "a zone dies, news are 2 s late", _dies_then_back, 0.7, 90.0, (60.0, 90.0),
                 late=2.0),
        Incident("late-10", "the same, 10 s late", _dies_then_back, 0.7, 120.0, (90.0, 120.0), late=10.0),
        Incident("late-30", "the same, 30 s late", _dies_then_back, 0.7, 160.0, (130.0, 160.0), late=30.0),
        Incident("half", "the leader dies with a plan told to half of the nodes", _zone_dies, 0.7,
                 keepers=lambda t: not 11.5 <= t < 20.0, half=True),
        Incident("keepers-gone", "a zone dies while no keeper is there", _zone_dies, 0.7,
                 keepers=lambda t: t < 9.0),
        Incident("keepers-gone-full", "the same at 85% load", _zone_dies, 0.85, keepers=lambda t: t < 9.0),
    )
}  # fmt: skip


def run(name: str, seed: int, way: str, place: Place | None = None) -> Result:
    """Play an incident."""
    incident = INCIDENTS[name]
    base = place or Place()
    shape = Place(base.regions, base.zones, base.nodes, base.executors, base.slots, incident.load)
    return Run(shape, incident, seed, way).play()
