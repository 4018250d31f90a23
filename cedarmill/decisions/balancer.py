"""A dispatcher's decisions; all that it sees and says: cedarmill/decisions/interface.py. Jobs enter Zhao's
preemptive pool in order while it has room; when full, one of higher worth cuts lower ones or is refused."""

import math
from itertools import islice
from random import Random

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Effect, Group, ListKind, Outcome, WorkerState
from cedarmill.decisions.state import Attempt, Pools, Request, Worker

# Tunables. Times are multiples of a setting (a class's aim, the connect time-out) or of learned means.
WAITING_START = 0.5  # places to wait at a worker at first, jobs
LOW = 0.5  # part of the waiting places open to a job of no worth; all of them to the highest
WAITING_UP = 0.1  # waiting places a worker gains for each prompt start (additive increase), jobs
WAITING_DOWN = 0.75  # factor on them at a refusal or a late start (multiplicative decrease)
WAIT_SEEN = 0.25  # of the aim: one of our jobs waiting this long shows that a worker has no free slot
MEMORY = 12  # samples that the means of a worker remember
HEALTHY = 0.3  # a worker whose health is lower gets single trials only
TRIAL = 2.0  # connect time-outs before a trial, doubled for each strike, at most 4 times
PAYS_START = 0.65  # share of cuts of running jobs that make room at once, as taken at first
PAYS_FLOOR = 0.6  # under this share running jobs are not cut, only waiting ones
PAYS_SURE = 0.75  # up to this share one cut at a time is tried, till the job in its place has shown its worth
COLD_CHANCE = 1.5  # standard deviations of what all processes send by chance that have to stay within it
COLD_PARTS = 1.75  # what the parts that all take of it may add up to: uneven traffic, bursts, retries
COLD_FEW = 30  # requests of mean work in a window under which the slack for chance is wider (standing page)
OVER_SHARE = 1.2  # times this dispatcher's part of a tenant's quota: traffic over its share
TENANT_WINDOW = 4e6  # us, memory of the tenants' rates
SAMPLE = 8  # workers of a zone looked at for one job: the cost of an event must not grow with the fleet
ILL = 8.0  # mean running times in which reported errors fade
SICK = 0.05  # reported errors in a mean running time that leave a worker a last resort
ASK = 2  # workers probed at once for a job that sees no fresh idle slot
ASK_WAIT = 0.06  # connect time-outs that it waits for their answers
FRESH = 1.0  # mean running times for which news of a worker are believed without asking it again
FADE = 8.0  # mean running times in which they fade into the mean; in 3 times that nothing is left of them
ASK_SPAN = 50_000  # us for each dispatcher, over which all ask for the list; doubled by each failure,
ASK_BOUND = 0.2, 2.0  # of the time for asking, at most: before the first call, after a failed one
ASK_DOUBLED = 16  # so many times: for the smallest fleet too the rest is beyond the longest wait
ZONES = 10  # reports that the idle slots of the own zone and of the others are the mean of
TRIED = 0.05  # share by a plan that only tries a zone: what finds no place there goes to the others
WRITE_DELAY_US = 150_000  # a node may be held up so long between its clock and the write (standing page)
CLOSED_US = (
    100_000  # an attempt that begins later than that after its client's end is a lost request (same page)
)
BACK = 0.25  # of a job's slack, after which a refused client may come back


def _requests_for_all(allowed: float, instances: int) -> float:
    """Requests of mean work that all processes may aim to send a cold worker in a window.

    It falls above `allowed` and the slack for chance, and each process draws for itself: COLD_CHANCE standard
    deviations of the sum must fit below (x + COLD_CHANCE * deviation = stands). Where most send one or none,
    that is the root of x; where each sends many, only its last one is drawn, a deviation of 1/2 for each.
    """
    slack = 3 if allowed < COLD_FEW else 2
    stands = allowed + slack * math.sqrt(allowed) + slack
    by_many = ((math.sqrt(COLD_CHANCE**2 + 4 * stands) - COLD_CHANCE) / 2) ** 2
    by_few = stands - COLD_CHANCE * math.sqrt(instances) / 2
    return max(by_many, by_few) / min(instances, COLD_PARTS)


class Brain:
    """The decisions of one dispatcher: `handle` takes an event and its time, and gives the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.now = self.token = self.list_failures = 0
        self.heir = False  # in place of a process of this node that lives, not started with all the others
        self.workers: dict[int, Worker] = {}
        self.pools = Pools(settings.zone)  # listed workers in random order
        self.requests: dict[int, Request] = {}
        self.queue: list[Request] = []  # cut or lost jobs that wait for room
        self.timers: dict = {}  # what to do, by token
        self.busy = [1.0 / settings.instances, 1.0]  # slots held at a worker: by own jobs, by all
        self.means = [[float(spec.aim_us), math.log(spec.aim_us), 0] for spec in settings.classes]
        self.loads = [(0.0, 0)] * len(settings.tenants)
        self.quota = sum(tenant.quota_per_s for tenant in settings.tenants) * TENANT_WINDOW / 1e6
        self.errors, self.idle, self.run = 0.0, 1.0, self.means[0][0]  # means over all workers
        columns = {name: n for n, name in enumerate(settings.report_fields)}
        self.errors_at = columns.get("errors_per_s", -1)
        self.slots_at, self.memory_at = columns.get("free_slots", -1), columns.get("free_memory", -1)
        self.queue_at = columns.get("queue", -1)
        self.slots: dict[int, float] = {}  # most ever seen free at a worker of each kind
        self.sizes: dict[int, float] = {}  # the listed size of that worker
        self.usual = (self.means[0][0], 0)  # mean of the slot-time of requests, as hinted, and their number
        self.zones = [1.0, 1.0]  # idle slots by size, as reports show them: in the own zone, in the others
        self.plan: dict[tuple[int, ...], dict[int, float]] = {}  # shares of zones, by where jobs may run
        self.left: list[Worker] = []  # where own jobs ended last
        self.fresh: list[Worker] = []  # put back by hand a short while ago, and not sent anything yet
        self.trial: Attempt | None = None  # sent in place of running work that was cut, the last one
        self.pays, self.top = PAYS_START, max(spec.worth for spec in settings.classes) or 1.0
        self.handlers = {
            api.RequestArrived: self._arrived, api.RequestWithdrawn: self._withdrawn,
            api.AttemptStarted: self._started, api.AttemptProgress: self._progress,
            api.StreamStarted: self._progress, api.AttemptEnded: self._ended, api.ProbeEnded: self._probed,
            api.TimerFired: self._fired, api.WorkerList: self._listed, api.PeerMessage: lambda _: None,
            api.Beside: self._beside, api.Shares: lambda e: setattr(self, "plan", e.rows)}  # fmt: skip

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at its time (us) and return the actions in order."""
        self.now, self.actions = now, []
        self.handlers[type(event)](event)
        return self.actions

    # Pool: what own jobs hold, against what reports and refusals leave to this dispatcher.

    def _learn(self, worker: Worker, report: api.LoadReport | None, ended: tuple[Attempt, ...] = ()) -> None:
        """Own slots are those of own jobs that run, or ended with this report, and those it shows free."""
        whole = report is not None and len(report) == len(self.settings.report_fields) > 0
        if not whole or report == worker.report or not all(0 <= x < math.inf for x in report):
            return  # unsound, or the same measurement again
        worker.report = report
        # not those that ended before: reports are mostly older, but others may have taken their slots
        ran = [a.request for a in (*worker.own.values(), *ended) if a.started]
        worker.lay_ghosts(self.now - 1)
        if self.slots_at >= 0:
            free = report[self.slots_at]
            worker.base = (own := worker.beside + sum(r.slots for r in ran)) + math.floor(free + 0.5)
            if self.queue_at >= 0 and free < 0.5:  # own part of those that wait there: they hold no slot
                queued = report[self.queue_at]
                worker.base = max(min(own, 1.0), worker.base - queued * own / max(own, worker.slots + queued))
            # where starts go untold, own jobs that wait look like slots: only free ones are sure
            sure = worker.base if self.settings.tells_start else math.floor(free + 0.5)
            worker.slots = max(worker.slots, sure)
            shown = max(
                1, math.floor(free + 0.5)
            )  # own jobs may have been among them: never more than it has
            if shown > self.slots.get(worker.kind, 0.0):
                self.slots[worker.kind], self.sizes[worker.kind] = shown, worker.size
            held = own, worker.slots - free
            self.idle += (free / worker.size - self.idle) / (2 * MEMORY)
            zone = int(worker.zone != self.settings.zone)
            self.zones[zone] += (free / worker.size - self.zones[zone]) / ZONES
            self.busy = [b + (h - b) / (8 * MEMORY) for b, h in zip(self.busy, held, strict=True)]
        if self.errors_at >= 0:  # of all dispatchers' jobs: far more than own ones could tell
            worker.ill = report[self.errors_at] * self.run / 1e6
        if self.memory_at >= 0:
            worker.memory_base = worker.memory_beside + sum(r.memory for r in ran) + report[self.memory_at]

    def _beside(self, event: api.Beside) -> None:
        """Jobs of the node's other process hold slots as own ones do; only that one knows when they end."""
        if (worker := self.workers.get(event.worker)) is not None:
            if self._cold(worker) and (more := event.slots - worker.beside) > 0:
                worker.cold_log += [(self.now, self.usual[0])] * math.ceil(more)  # one a slot
            worker.held += event.slots - worker.beside
            worker.memory_held += event.memory - worker.memory_beside
            worker.beside, worker.memory_beside = event.slots, event.memory
            self._pump()

    def _adapt(self, worker: Worker, wait: float, aim: int) -> None:
        """Waiting places grow with prompt starts, and fall once for each congestion."""
        if wait <= aim / 2:  # where no reports come, nothing else tells c: no bound then
            worker.waiting = min(worker.waiting + WAITING_UP, worker.slots if worker.report else math.inf)
        elif wait > aim and self.now - worker.lowered_at > self.settings.connect_timeout_us:
            worker.lowered_at = self.now
            worker.waiting *= WAITING_DOWN

    def _slack(self, request: Request) -> float:
        """What its aim leaves to a job beside its run, by its hint."""
        ran = request.hint_us or self.means[request.index][0]
        return request.spec.aim_us + max(0.0, request.spec.aim_stretch - 1) * ran

    def _room(self, worker: Worker, request: Request) -> tuple[float, float]:
        """Idle slots, and slots with waiting places, where the job fits into them (0: it does not)."""
        if worker.ghosts:  # a worker that sends no reports must not stay full of ghosts
            worker.lay_ghosts(self.now - 2 * int(self.means[request.index][0]))
        # old news fade into what workers show on the mean: most slots have changed hands since
        fade = math.exp((worker.heard_at - self.now) / (FADE * self.run)) if worker.heard_at else 0.0
        free = fade * (worker.base - worker.held) + (1 - fade) * self.idle * worker.size
        waiting = next((a for a in worker.own.values() if not a.started), None)
        if waiting is not None and self.now - waiting.sent > WAIT_SEEN * waiting.request.spec.aim_us:
            free = min(free, 0.0)  # own jobs wait: whatever the report says, nothing is free
        usual = request.spec.aim_us + max(0.0, request.spec.aim_stretch - 1) * self.means[request.index][0]
        afford = 1 - fade * max(0.0, 1 - self._slack(request) / usual)  # else a short job that waits is late
        places = free + worker.waiting * (LOW + (1 - LOW) * request.rank / self.top) * afford
        if worker.memory_base - worker.memory_held < request.memory:
            free, places = 0.0, min(places, worker.waiting)
        return free * (free >= request.slots), places * (places >= request.slots)

    # Admission.

    def _arrived(self, event: api.RequestArrived) -> None:
        spec, most = self.settings.classes[event.job_class], self.settings.max_attempts
        request = self.requests[event.request] = Request(
            event.request, event.job_class, event.slots, event.memory, event.hint_us, spec, self.now +
            event.time_left_us, self._worth(event, spec), event.homes, most, event.cut or BACK)  # fmt: skip
        if self.means[request.index][2]:
            usual, count = self.usual if self.usual[1] else (self.means[request.index][0], MEMORY)
            count = min(count + 1, 20 * MEMORY)
            self.usual = usual + (self._hinted(request) - usual) / count, count
        (self._turn_away if event.cut else self._admit)(request)

    def _admit(self, request: Request) -> None:
        if not self._place(request) and not self._preempt(request):
            self._turn_away(request)

    def _worth(self, event: api.RequestArrived, spec: api.JobClass) -> float:
        """Priority: the worth of the class, lower for what a tenant sends beyond its share."""
        if event.tenant >= len(self.loads):
            return spec.worth
        mine, part = self._load(event.tenant) + 1.0, self.busy[0] / self.busy[1]
        self.loads[event.tenant] = mine, self.now
        allowed = OVER_SHARE * part * self.settings.tenants[event.tenant].quota_per_s * TENANT_WINDOW / 1e6
        over = mine > max(allowed, 2.0) and self.random.random() > allowed / mine
        return spec.worth * (self.settings.over_share_worth if over else 1.0)

    def _load(self, tenant: int) -> float:
        """Jobs of a tenant that came here in its window, the older counting less."""
        load, since = self.loads[tenant]
        return load * math.exp((since - self.now) / TENANT_WINDOW)

    def _turn_away(self, request: Request) -> None:
        """No room: refuse, or hold a job that was cut or lost while it may still be repeated, or fail it."""
        if request.done or request.out or request.asking:
            return
        left = self._last_choice(request) - self.now
        tried = len(request.attempts) >= request.tries or request.spec.effect == Effect.UNSAFE
        if self._may_refuse(request):
            advice = int(request.back * self._slack(request))  # clients come back once or twice
            self._finish(request, api.Refuse(request.id, min(advice, self.settings.max_retry_after_us)))
        elif tried or left <= 0:
            self._finish(request, api.Fail(request.id))
        elif not request.queued:
            request.queued = True
            self.queue.append(request)
            self._arm(left, lambda: self._turn_away(request))

    def _pump(self) -> None:
        """Room may have appeared: held jobs go first, in order of arrival."""
        held, self.queue = self.queue[:SAMPLE], self.queue[SAMPLE:]
        for request in held:
            request.queued = not (request.done or request.out or request.asking or self._place(request))
        self.queue[:0] = [request for request in held if request.queued]

    def _preempt(self, request: Request) -> bool:
        """Cut own jobs of strictly lower worth on the one worker where they cost least, and send there."""
        best: list[Attempt] = []
        wait = self.pays <= PAYS_SURE and self.trial is not None and self.trial.out
        cuts = self.pays > PAYS_FLOOR and not wait
        latest = islice(reversed(self.requests.values()), 4 * SAMPLE * self.settings.can_cancel)
        for worker in {a.worker.id: a.worker for r in latest for a in r.attempts if a.out}.values():
            if not (self._trust(worker, request) and self._may_send(request, worker)):
                continue
            need = request.slots - (worker.base + worker.waiting - worker.held)
            need_memory = request.memory - (worker.memory_base - worker.memory_held)
            open_to_cuts = [a for a in worker.own.values() if not a.cut and (cuts or not a.started)]
            lower = [a for a in open_to_cuts if a.request.rank < request.rank]
            lower.sort(key=self._cost, reverse=True)
            victims: list[Attempt] = []
            while lower and max(need, need_memory) > 0:
                victims.append(victim := lower.pop())
                need, need_memory = need - victim.request.slots, need_memory - victim.request.memory
            fits = victims and max(need, need_memory) <= 0
            if fits and (not best or self._cost(victims[-1]) < self._cost(best[-1])):
                best = victims
        for victim in best:
            self._cancel(victim)
        return bool(best) and self._send(request, best[-1].worker, cut=best[-1].started > 0)

    def _cost(self, victim: Attempt) -> tuple:
        """Lowest worth first, then not started, least progress, latest start, then what may be repeated."""
        job, unsafe = victim.request, victim.request.spec.effect == Effect.UNSAFE
        return job.rank, victim.started > 0, victim.progress, -victim.started, unsafe, job.id

    def _cancel(self, attempt: Attempt) -> None:
        if self.settings.can_cancel and attempt.out and not attempt.cut:
            attempt.cut = True
            self.actions.append(api.Cancel(attempt.request.id, attempt.number))

    def _place(self, request: Request) -> bool:
        """Send to a worker drawn by its room: idle slots before places to wait."""
        fresh = self.fresh if self.fresh and self.random.random() < self._part() else ()  # all see them
        if any(self._trust(worker, request) and self._send(request, worker) for worker in fresh):
            return True  # idle by then, and the operators wait for it to serve
        spec, options, best = request.spec, [], 3
        ran = next((a for a in request.attempts if a.ran), None)
        bound = ran is not None and spec.effect == Effect.KEYED and spec.group == Group.CELL
        pools = (self.pools.cells.get(ran.cell, []),) if bound else self._zones(request)
        for pool in pools:
            unsure, idle = [], False
            left = self.left if len(pool) > SAMPLE else ()  # in a large pool first where own jobs ended last
            last = [worker for worker in left if worker.listed and self.pools.of(worker)[0] is pool]
            for worker in last + self.pools.look(pool, SAMPLE, self.random.random()):
                trust = self._trust(worker, request)
                if not trust and worker.strikes or not self._may_send(request, worker):
                    continue  # its connections fail at once, or its jobs are lost: no last resort
                free, room = self._room(worker, request)
                age, near = self.now - worker.heard_at, worker.zone == self.settings.zone
                if trust and age > FRESH * self.run and worker.asker is None:
                    unsure.append(worker)
                if not room:
                    continue
                # nothing is known of a worker not heard of for long: it may be idle
                tier = 3 if not trust else int(not near) if free or age > 3 * FADE * self.run else 2
                idle |= age <= FRESH * self.run and tier < 2
                best = min(best, tier)
                # as many slots of a larger worker are free again sooner, so one that waits there waits less
                weight = worker.size**2 * (free or room) / (1 + worker.held) ** 2 * (trust or worker.health)
                options.append((tier, weight, worker))
            if idle:
                break
            if self._ask(request, unsure, 1 + (pool is not pools[0])):
                return True
        weights = [weight * (tier == best) for tier, weight, _ in options]
        return bool(options) and self._send(request, self.random.choices(options, weights)[0][2])

    def _zones(self, request: Request) -> tuple[list[Worker], ...]:
        """One zone by a plan's shares, where one holds; else the own first, less often the busier it is."""
        if row := self.plan.get(request.homes):
            drawn = [self.random.choices([*row], [*row.values()])[0], max(row, key=row.get)]
            return tuple(self.pools.zones.get(z, []) for z in drawn[: 1 + (row[drawn[0]] < TRIED)])
        near, far = self.zones
        own = not self.pools.far or self.random.random() * far**2 <= near**2
        return (self.pools.near, self.pools.far) if own else (self.pools.far, self.pools.near)

    def _ask(self, request: Request, unsure: list[Worker], rounds: int) -> bool:
        """No fresh news show an idle slot: probe a few workers, and hold the job for their answers."""
        wait = int(ASK_WAIT * self.settings.connect_timeout_us)
        due = self.now + 4 * wait < request.deadline and self.settings.can_probe and request.asks < rounds
        if not unsure or not due:
            return False
        unsure.sort(key=lambda worker: self.random.random() ** (1 / worker.size), reverse=True)
        request.asks, request.asking = request.asks + 1, len(unsure[:ASK])
        for worker in unsure[:ASK]:
            worker.asker = request
            self.actions.append(api.Probe(worker.id, request.id))
        self._arm(wait, lambda asks=request.asks: self._asked(request, asks))
        return True

    def _asked(self, request: Request, asks: int) -> None:
        """The time to answer is over: the job is placed by what is known."""
        if request.asking and request.asks == asks and not request.done:
            request.asking = 0
            self._admit(request)

    # Health.

    def _ill(self, worker: Worker) -> bool:
        """Whether it told of errors, a while ago at most."""
        fade = (worker.heard_at - self.now) / (ILL * self.run)
        return worker.ill > SICK and worker.ill * math.exp(fade) > SICK

    def _trust(self, worker: Worker, request: Request) -> float:
        """Weight of a worker beside its room; 0 unless its health is good or a single trial is due."""
        if self._ill(worker):
            return 0.0  # the next report tells whether it is over
        if worker.health >= HEALTHY and not worker.strikes:
            return worker.health
        return float(not worker.own and self.now >= worker.trial_at and request.spec.effect != Effect.UNSAFE)

    def _strike(self, worker: Worker, strike: int = 1) -> None:
        """A sign of a dead or unreachable worker: leave it alone, longer each time."""
        if self.now >= worker.trial_at:
            worker.strikes += strike
            wait = TRIAL * self.settings.connect_timeout_us * 2 ** min(worker.strikes, 4)
            worker.trial_at = self.now + int(wait * self.random.uniform(0.5, 1.5))

    def _outcome(self, attempt: Attempt, failed: int = 0) -> None:
        """Error share, a failure counting so many times, and running time against the class elsewhere."""
        worker, request = attempt.worker, attempt.request
        worker.errors += (bool(failed) - worker.errors) / MEMORY * (failed or 1)
        self.errors += (bool(failed) - self.errors) / (8 * MEMORY)
        if not failed:
            worker.strikes = 0
            mean = self.means[request.index]
            ran = max(1, self.now - (attempt.started or attempt.sent))
            if not self.settings.tells_start:
                late = ran - self._slack(request) - (request.hint_us or mean[0])  # by its own wanted time
                self._adapt(worker, late + request.spec.aim_us, request.spec.aim_us)
                if attempt.after_cut:  # against its hint: whether it waited for work that goes on
                    wait = ran - math.exp(mean[1]) * (request.hint_us or 1)
                    self.pays += ((wait <= WAIT_SEEN * request.spec.aim_us) - self.pays) * 2 / MEMORY
            log, count = math.log(ran / (request.hint_us or 1)), min(mean[2] + 1, 20 * MEMORY)
            mean[:] = mean[0] + (ran - mean[0]) / count, mean[1] + (log - mean[1]) / count, count
            self.run += (ran - self.run) / (4 * MEMORY)
            worker.pace += (log - mean[1] - worker.pace) / MEMORY
        errors = max(0.0, worker.errors - self.errors)  # what befalls all says nothing of one
        worker.health = (1.001 - errors) ** 3 * math.exp(-max(0.0, worker.pace))

    def _probed(self, event: api.ProbeEnded) -> None:
        if (worker := self.workers.get(event.worker)) is None:
            return
        request, worker.asker = worker.asker, None
        if event.outcome == Outcome.OK:
            worker.trial_at, worker.heard_at = min(worker.trial_at, self.now), self.now - event.age
            self._learn(worker, event.report)
        elif event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            self._strike(worker)
        if request is not None and request.asking and not request.done:
            request.asking -= 1
            if not self._ill(worker) and self._room(worker, request)[0] and self._send(request, worker):
                request.asking = 0
            elif not request.asking:
                self._admit(request)
        self._pump()

    # Obligations.

    def _may_send(self, request: Request, worker: Worker) -> bool:
        """The one guard of sends: rules 1 (ended), 2 (effects), 3 (drains) and 4 (cold workers)."""
        spec, last = request.spec, self._last_choice(request) if request.attempts else request.deadline
        over = request.done or self.now >= last or len(request.attempts) >= request.tries
        if over or not worker.listed or (request.homes and worker.zone not in request.homes):
            return False
        if spec.worker_kind not in (-1, worker.kind) or not self._warm_enough(worker, request):
            return False
        for attempt in request.attempts:
            if attempt.out and not self.settings.may_duplicate:
                return False
            if not attempt.ran or spec.effect == Effect.SAFE:
                continue
            same = spec.group == Group.ALL or getattr(attempt, spec.group) == getattr(worker, spec.group)
            if spec.effect == Effect.UNSAFE or not same:
                return False
        return True

    def _last_choice(self, request: Request) -> int:
        """Until when a further attempt may be chosen: one held up on its way out must not come too late."""
        spec, margin = request.spec, 2 * self.settings.tick_us
        ends = [request.deadline - max(margin, WRITE_DELAY_US - CLOSED_US)]
        if spec.effect == Effect.KEYED:  # its window: a repeat that arrives later is run once more
            windows = (a.sent + spec.repeat_window_us for a in request.attempts if a.ran)
            ends += [end - margin - WRITE_DELAY_US for end in windows]
        return min(ends)

    def _may_refuse(self, request: Request) -> bool:
        """The one guard of refusals: rules 1 and 2."""
        spec = request.spec
        harmless = spec.effect == Effect.SAFE or (spec.effect == Effect.KEYED and spec.group == Group.ALL)
        return not request.done and (harmless or not any(attempt.ran for attempt in request.attempts))

    def _warm_enough(self, worker: Worker, request: Request) -> bool:
        """Rule 4: this dispatcher's part of what a cold worker stands, in slot-time for each window."""
        s, age = self.settings, self.now - worker.since
        if not self._cold(worker):
            return True
        share = s.cold_share + (1 - s.cold_share) * max(0, age - s.overload_window_us) / s.cold_us
        worker.cold_log = [entry for entry in worker.cold_log if entry[0] > self.now - s.overload_window_us]
        stands = s.fall_multiple * share * self._slots_like(worker) * s.overload_window_us  # slot-time
        usual = max(1.0, self.usual[0])  # jobs may need no slots at all
        most = usual * _requests_for_all(stands / usual, s.instances)  # for all dispatchers together
        whole = min(stands, most)
        if self.now - worker.drawn_at > s.overload_window_us:  # parts of a job: by chance, anew each window
            worker.drawn_at, worker.luck = self.now, self.random.random()
        cost, sent = self._work(request), sum(work for _, work in worker.cold_log)
        part = self._cold_part()
        if sent + cost > whole * part + worker.luck * min(cost, whole):
            return False
        # it falls by work or by the number of requests, each taken for a usual one
        return (len(worker.cold_log) + 1) * usual <= most * part + worker.luck * min(usual, most)

    def _cold(self, worker: Worker) -> bool:
        return worker.since > 0 and self.now - worker.since < self.settings.cold_us > 0

    def _slots_like(self, worker: Worker) -> float:
        """Slots of a cold worker: what those of its kind have shown, less where it is listed as smaller."""
        if worker.kind not in self.slots:
            return worker.slots
        return max(
            1.0, self.slots[worker.kind] * min(1.0, worker.size / self.sizes.get(worker.kind, worker.size))
        )

    def _work(self, request: Request) -> float:
        """Slot-time that a job is likely to take, by its hint; what a rough one calls short runs longer."""
        least = (
            request.slots * self.means[request.index][0] / 2
        )  # what falls over by many may be short jobs all
        return max(self._hinted(request), least)

    def _hinted(self, request: Request) -> float:
        """Slot-time that a job is likely to take, by its hint alone."""
        mean, log, seen = self.means[request.index]
        return request.slots * (request.hint_us * math.exp(log) if request.hint_us and seen else mean)

    def _part(self) -> float:
        """This dispatcher's part of all traffic: at least an even one, else what it sees of the quotas."""
        seen = sum(map(self._load, range(len(self.loads))))
        return max(1 / self.settings.instances, min(1.0, seen / self.quota) if self.quota else 0.0)

    def _cold_part(self) -> float:
        """Its part of what all may send a cold worker: a few even parts may be a burst that all see."""
        even, part = 1 / self.settings.instances, self._part()
        return min(part, max(COLD_PARTS * even, part - even))

    def _send(self, request: Request, worker: Worker, cut: bool = False) -> bool:
        if not self._may_send(request, worker):
            return False
        if worker.strikes or worker.health < HEALTHY:
            self._strike(worker, 0)
        attempt = Attempt(request, worker, len(request.attempts), self.now, worker.zone, worker.cell, cut,
                          started=0 if self.settings.tells_start else self.now)  # fmt: skip
        self.trial, request.asks = attempt if cut else self.trial, 0
        self.fresh = [other for other in self.fresh if other is not worker]
        request.attempts.append(attempt)
        worker.own[request.id, attempt.number] = attempt
        attempt.hold(1)
        if self._cold(worker):
            worker.cold_log.append((self.now, self._work(request)))
        self.actions.append(api.Send(request.id, worker.id))
        return True

    def _finish(self, request: Request, answer: api.Action | None = None) -> None:
        """The one end of a request: the answer, if it is still owed, and no more work for it."""
        self.actions += [answer] if answer else []
        request.done = True
        for attempt in request.attempts:
            self._cancel(attempt)
        if not request.out:
            self.requests.pop(request.id, None)

    def _arm(self, delay: int, action) -> None:
        self.token = (self.token + 1) & 0xFFFFFFFF
        self.timers[self.token] = action
        self.actions.append(api.SetTimer(self.token, max(0, delay)))

    def _fired(self, event: api.TimerFired) -> None:
        self.timers.pop(event.token, lambda: None)()

    def _find(self, event) -> Attempt | None:
        return w.own.get((event.request, event.attempt)) if (w := self.workers.get(event.worker)) else None

    def _started(self, event: api.AttemptStarted) -> None:
        attempt = self._find(event)
        if attempt is None or attempt.started:
            return
        attempt.started, attempt.worker.strikes = self.now, 0
        wait, aim = self.now - attempt.sent, attempt.request.spec.aim_us
        self._adapt(attempt.worker, wait, aim)
        if attempt.after_cut:  # where cancelled work goes on, the job in its place starts late
            self.pays += ((wait <= WAIT_SEEN * aim) - self.pays) * 2 / MEMORY

    def _progress(self, event: api.AttemptProgress | api.StreamStarted) -> None:
        attempt = self._find(event)
        if attempt is not None:
            attempt.started, attempt.worker.strikes = attempt.started or self.now, 0
            attempt.cut |= isinstance(event, api.StreamStarted)  # the client's now: nothing cuts it
            attempt.progress = getattr(event, "done", 0.0)

    def _ended(self, event: api.AttemptEnded) -> None:
        if (attempt := self._find(event)) is None:
            return
        outcome, request, worker = event.outcome, attempt.request, attempt.worker
        attempt.out, attempt.ended, request.tries = False, self.now, min(request.tries, event.tries)
        attempt.ran = outcome not in api.NEVER_RAN
        worker.own.pop((request.id, attempt.number), None)
        self.pays -= self.pays * 2 / MEMORY * (attempt.after_cut and not attempt.started)
        ghost = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and attempt.started > 0
        if ghost:
            worker.ghosts.append(attempt)  # it may still run: its slots count until a report shows them free
        else:
            attempt.hold(-1)
        if outcome in (Outcome.OK, Outcome.ERROR):
            worker.heard_at, self.left = self.now, [*self.left[-3:], worker]
            self._outcome(attempt, 3 * (outcome == Outcome.ERROR))
        elif outcome == Outcome.FULL:
            worker.base = min(worker.base, worker.held)
            self._adapt(worker, math.inf, 0)
        elif outcome == Outcome.CONNECT_FAILED:
            self._strike(worker)
        elif outcome in (Outcome.RESET, Outcome.DROPPED):
            self._outcome(attempt, 1)  # one connection's end; where the worker is dead the next connect fails
        self._learn(worker, event.report, () if ghost else (attempt,))
        if event.final or request.done:
            self._finish(request)
        elif self.now >= request.deadline or outcome in (Outcome.MOOT, Outcome.UNUSABLE):
            self._finish(request, api.Fail(request.id))
        elif not request.out and not self._place(request):
            self._turn_away(request)
        self._pump()

    def _withdrawn(self, event: api.RequestWithdrawn) -> None:
        if (request := self.requests.get(event.request)) is not None:
            self._finish(request)

    def _ask_list(self, factor: float, bound: float, least: int = 0) -> None:
        """Ask at a time by chance: all dispatchers lose the list at once, and discovery serves few calls."""
        span = min(ASK_SPAN * self.settings.instances * factor, bound * self.settings.ask_within_us)
        self._arm(least + int(span * self.random.random()), lambda: self.actions.append(api.Subscribe()))

    def _listed(self, event: api.WorkerList) -> None:
        if event.kind == ListKind.FAILED:
            self.list_failures = min(self.list_failures + 1, ASK_DOUBLED)
            self._ask_list(2.0**self.list_failures, ASK_BOUND[1], self.settings.ask_within_us // 40)
            return
        self.list_failures = 0
        for entry in event.entries:
            old = worker = self.workers.get(entry.worker)
            if worker is None or entry.started_at > worker.since:
                self.pools.leave(old)  # a new process: of an old one its size and attempts out still hold
                worker = Worker(entry.worker, entry.zone, entry.cell, entry.kind, entry.started_at,
                                slots=old.slots if old else 1.0, base=1.0, waiting=WAITING_START,
                                size=entry.size or 1.0, own=old.own if old else {}, listed=False)  # fmt: skip
                if old:  # a start that is told again, or anew by a little, is no second budget
                    worker.cold_log, worker.drawn_at, worker.luck = old.cold_log, old.drawn_at, old.luck
                self.workers[entry.worker] = worker
            elif entry.state == WorkerState.READY and (entry.zone, entry.cell) != (worker.zone, worker.cell):
                self.pools.leave(worker)  # the list is true; attempts out keep the group they were sent to
                worker.zone, worker.cell = entry.zone, entry.cell
            if entry.state != WorkerState.READY:
                self.pools.leave(worker)
            elif not worker.listed:
                self.pools.join(worker, self.random.random())
                self.fresh += [worker] * entry.by_hand
        if event.kind != ListKind.DELTA:
            named = {entry.worker for entry in event.entries}
            for worker in [worker for worker in self.workers.values() if worker.id not in named]:
                self.pools.leave(worker)
        self.fresh = [worker for worker in self.fresh if worker is self.workers[worker.id]]
        if event.kind == ListKind.CACHED and self.settings.on_request_discovery:
            self._ask_list(0.0 if self.heir else 1.0, ASK_BOUND[0])
        self._pump()
