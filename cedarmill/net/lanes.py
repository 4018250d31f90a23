"""A node's lanes to the zones: what it tells of them, and how the fleet's plan of traffic reaches the module.

The plan becomes what the module takes: shares of zones, the zones in which a request may run, and executors
of a zone that is shut, which drain to the module.
"""

from collections.abc import Callable
from random import Random

from cedarmill.core.requests import Attempt
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.fleet.evidence import BOUNDS, WHOLE, Digest
from cedarmill.fleet.follow import STREAK, Follower, Use
from cedarmill.fleet.overload import ADVICE, OVER, Gate
from cedarmill.fleet.purse import QUOTA
from cedarmill.fleet.sightings import Place, Sightings
from cedarmill.fleet.words import Way
from cedarmill.log import say
from cedarmill.net.discovery import DiscoveryClient
from cedarmill.net.turn import Turn
from cedarmill.values import FleetOptions

LOOK_US = 250_000  # between two looks at what the plan and this node's own sight come to
DIGEST_US = 1_000_000  # between two digests
QUIET = 50  # jobs over which a class's running time is the mean
LOST = frozenset((Outcome.CONNECT_FAILED,))  # never arrived
FAILED = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.DROPPED))
NO_SIGN = frozenset((Outcome.MOOT, Outcome.CANCELLED, Outcome.UNUSABLE, Outcome.FULL))


class Lanes:
    """One node's; made where its fleet plans zones."""

    def __init__(self, turn: Turn, name: str, zone: str, discovery: DiscoveryClient, options: FleetOptions,
                 holds: Callable[[int], bool], spend: Callable[[int, str], bool]) -> None:  # fmt: skip
        self.turn, self.zone, self.discovery, self.spend = turn, zone, discovery, spend
        self.dispatch = discovery.dispatch
        settings = self.dispatch.balancer.settings
        self.follower = Follower()
        self.sights = Sightings(turn.now())
        self.use = Use()
        self.dice = Random(name)
        self.digest_at = turn.now()
        self.zone_names: dict[int, str] = {}
        self.kind_names: dict[int, str] = {}
        self._learn_names()
        stays = options.stays
        self.class_bounds = [stays.get(f"class:{spec.name}", "any") for spec in settings.classes]
        self.quotas = [f"{QUOTA}{tenant.name}" for tenant in settings.tenants]  # budgets, where one is set
        self.tenant_bounds = [stays.get(f"tenant:{tenant.name}", "any") for tenant in settings.tenants]
        self.homes = {bound: self._homes(bound, None) for bound in BOUNDS}
        self.gate = Gate()
        self.cut = 0  # requests that a cut refuses, and whose answer has not been told yet
        # us that a job of a class runs where it does not wait: else demand would grow with the queue
        self.runs = [mean[0] for mean in self.dispatch.balancer.means]
        self.quiet = [0] * len(self.runs)  # jobs that said so
        self.holds = holds
        turn.timers.add(turn.now() + LOOK_US, self._again)

    def _homes(self, bound: str, way: Way | None) -> tuple[int, ...]:
        """Zones in which such a request may run; without a plan, one that may not go far stays here."""
        if bound == "any":
            return ()
        names = way.reach.get(bound, [self.zone]) if way is not None else [self.zone]
        numbers = self.discovery.reader.zones
        return tuple(sorted(numbers[name] for name in names if name in numbers))

    def _learn_names(self) -> None:
        """Discovery may list zones and kinds that the settings do not name."""
        reader = self.discovery.reader
        self.zone_names = {number: name for name, number in reader.zones.items()}
        self.kind_names = {number: name for name, number in reader.kinds.items()}

    def place_request(self, job: api.RequestArrived) -> None:
        """Set where a request may run, by its class or tenant, the stricter, and whether it is cut."""
        bound = self.class_bounds[job.job_class]
        if job.tenant < len(self.tenant_bounds):
            bound = min(bound, self.tenant_bounds[job.tenant], key=BOUNDS.index)
        brain, now = self.dispatch.balancer, self.turn.now()
        rank = int(brain.settings.classes[job.job_class].worth * 1000)
        if job.tenant < len(self.quotas) and not self.spend(now, self.quotas[job.tenant]):
            rank = rank * OVER // WHOLE  # beyond its tenant's quota over the fleet
        self.sights.wanted(now, bound, int(job.slots * self.runs[job.job_class]), rank)
        job.homes = self.homes[bound]
        if self.gate.cuts(now, self.holds(now), rank, self.dice.random(), bound):
            job.cut = self.dice.uniform(*ADVICE)
            self.cut += 1
        else:
            self.sights.came(now)

    def refused(self) -> None:
        """A request was refused: by a cut, which was counted as it came, or by this node's own sight."""
        if self.cut:
            self.cut -= 1
        else:
            self.sights.turned(self.turn.now())

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """An attempt has its outcome: what it says of the executor's zone."""
        entry = self.discovery.entries.get(attempt.executor)
        if entry is None or attempt.outcome in NO_SIGN:
            return
        zone = self.zone_names.get(entry.zone, "")
        kind = self.kind_names.get(entry.kind, "")
        places = (zone, f"{zone}/{kind}") if kind else (zone,)
        spec = attempt.request.spec
        late = attempt.outcome == Outcome.OK and now > attempt.request.objective_due
        self.sights.ended(now, places, attempt.outcome in FAILED, late, attempt.outcome in LOST)
        if attempt.outcome == Outcome.OK:
            self._ran(now, attempt)
            claim = attempt.request.claim
            slot_time = int(claim.slots * self.runs[claim.job_class])
            self.sights.served(now, slot_time, int(claim.slots * spec.aim_us))
        way = self.follower.way
        if way is not None and self.sights.streaks.get(zone, 0) == STREAK and zone not in self.use.cannot:
            self.look()  # at once, not at the next look

    def _ran(self, now: int, attempt) -> None:
        """How long it ran, where its executor had a slot free as it ended; till one had, the shortest."""
        index = attempt.request.claim.job_class
        worker, ran = self.dispatch.balancer.workers.get(attempt.executor), now - attempt.sent_at
        if worker is not None and worker.heard_at and worker.base - worker.held >= 1.0:
            self.quiet[index] = min(self.quiet[index] + 1, QUIET)
            self.runs[index] += (ran - self.runs[index]) / self.quiet[index]
        elif not self.quiet[index]:
            self.runs[index] = min(self.runs[index], ran)

    # What is told.

    def places(self) -> dict[str, Place]:
        """Beliefs of each zone and group: executors that may be sent to, their slots, and those in use."""
        brain, now = self.dispatch.balancer, self.turn.now()
        self._learn_names()
        kinds = self.kind_names
        sums: dict[str, list[int]] = {}
        heard = [worker.slots for worker in brain.workers.values() if worker.listed and worker.heard_at]
        usual = sum(heard) / len(heard) if heard else 1.0  # of executors that have told nothing yet
        for number, entry in self.discovery.entries.items():
            name = self.discovery.reader.names[number]
            if entry.state != api.WorkerState.READY or name in self.discovery.excluded:
                continue
            worker = brain.workers.get(number)
            if worker is None or not worker.heard_at:
                slots = usual
            else:
                slots = max(worker.slots, brain.slots.get(entry.kind, 1.0))
            free = max(0.0, worker.base - worker.held) if worker is not None and worker.heard_at else slots
            cold = self._cold(entry, now)
            zone = self.zone_names.get(entry.zone, "")
            for place in (zone, f"{zone}/{kinds[entry.kind]}") if entry.kind in kinds else (zone,):
                one = sums.setdefault(place, [0, 0, 0])
                one[0] += 1
                one[1] += int(1000 * slots * cold)
                one[2] += int(1000 * max(0.0, slots - free))
        return {place: Place(*one) for place, one in sums.items()}

    def _cold(self, entry: api.WorkerEntry, now: int) -> float:
        settings = self.dispatch.balancer.settings
        age = now - entry.started_at
        if not entry.started_at or age >= settings.cold_us:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_us

    def digest(self, doubts: bool) -> Digest | None:
        """Once in a while; None in between."""
        now = self.turn.now()
        if now < self.digest_at or not self.zone:
            return None
        self.digest_at = now + DIGEST_US
        seen = self.sights.seen(now, self.places())
        brain = self.dispatch.balancer
        out = int(1000 * sum(a.request.slots for w in brain.workers.values() for a in w.own.values()))
        return self.sights.digest(now, self.zone, seen, self.use.epoch, self.use.cannot, doubts, out)

    # What is followed.

    def follow(self, way: Way | None) -> None:
        """A plan has come."""
        if not self.follower.told(way):
            return
        for bound in BOUNDS:
            self.homes[bound] = self._homes(bound, way)
        self.look()

    def _again(self, now: int) -> None:
        self.turn.timers.add(now + LOOK_US, self._again)
        if self.follower.way is not None:
            self.look()

    def look(self) -> None:
        """By the plan and by what this node sees: tell the module what has changed."""
        now = self.turn.now()
        places = self.places()
        empty = set(self.discovery.reader.zones) - places.keys()
        seen = self.sights.seen(now, places)
        before, self.use = self.use, self.follower.look(now, seen, empty, self.sights.streaks)
        for zone in self.use.cannot:  # counted anew once it is tried again
            self.sights.streaks.pop(zone, None)
        use, numbers = self.use, self.discovery.reader.zones
        if use.shut != before.shut or use.shut:
            self._shut(use.shut)
        if use.rows != before.rows:
            rows = {self.homes[bound]: {numbers[z]: part / 1000 for z, part in use.rows[bound].items()}
                    for bound in reversed(BOUNDS)}  # fmt: skip
            self.dispatch.set_zone_shares(now, rows)
        if use.cannot != before.cannot or use.shut != before.shut or use.epoch != before.epoch:
            shares = ", ".join(f"{zone} {part / 10:g}%" for zone, part in sorted(use.rows["any"].items()))
            say("zones-followed", epoch=use.epoch, shares=shares or "nothing",
                cannot=", ".join(use.cannot) or "nothing")  # fmt: skip

    def _shut(self, zones: tuple[str, ...]) -> None:
        """Executors of these zones get nothing, whatever the plan and this node's sight come to."""
        names = self.discovery.reader.names
        hidden = {names[n] for n, entry in self.discovery.entries.items()
                  if self.zone_names.get(entry.zone) in zones}  # fmt: skip
        if hidden != self.discovery.hidden:
            self.discovery.hide(hidden)

    def done(self, busy: set[int]) -> dict[str, int]:
        """Zones that are shut and have nothing of ours, and the epochs of their permits."""
        if self.follower.way is None:
            return {}
        held = {self.zone_names.get(e.zone, "") for n, e in self.discovery.entries.items() if n in busy}
        return {zone: epoch for zone, epoch in self.follower.way.shut.items()
                if zone in self.use.shut and zone not in held}  # fmt: skip
