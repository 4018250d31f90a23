"""The laws of a fleet as predicates over what its actors did: each names every breach that it finds.

They read the histories of executors, operators, nodes and stewards, and the visits that executors saw;
nothing of what a keeper believes. `docs/design/drains.md` says from where each comes.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cedarmill.lab.checker import no_forbidden_repeat, one_final_answer, true_results
from cedarmill.lab.cluster import linearizability as linear
from cedarmill.lab.cluster.history import Event
from cedarmill.lab.history import History, Visit
from cedarmill.values import LimitOptions

KNOWN_US = 4_000_000  # after which the fleet has to know of a loss that nobody planned, where all try at once


@dataclass(slots=True)
class Record:
    """All that a run left."""

    events: list[Event]
    visits: list[Visit]
    limits: tuple[LimitOptions, ...] = ()
    targets: dict[str, dict[str, str]] = field(default_factory=dict)  # of a target: kind, zone, type, group
    slots: dict[str, int] = field(default_factory=dict)
    history: History | None = None
    slow_start_us: int = 0  # us that an executor which came back counts in part; 0: not asked
    detection_us: int = KNOWN_US
    disagreements: list[str] = field(default_factory=list)  # between replicas, as the run saw them
    residency: dict[str, str] = field(default_factory=dict)  # classes that may not leave their zone or region
    entry_zones: dict[int, str] = field(default_factory=dict)  # the zone to which calls come at a port
    spent: list[tuple[int, bool]] = field(default_factory=list)  # when, and whether by a lease, of a budget
    budget: tuple[int, int, int] = (0, 0, 0)  # its leased part and its floors (thousandths/s), and nodes
    executor_spending: list[tuple[int, str]] = field(default_factory=list)  # when, of which budget
    budgets: tuple[tuple[str, int, int], ...] = ()  # name, rate (thousandths/s), nodes with a floor
    granted_at: dict[int, int] = field(default_factory=dict)  # by epoch: when it was agreed, if known


def homes(record: Record) -> dict[str, str]:
    """The zone to which each call came, by its id; empty where it is not known."""
    return {call.id: record.entry_zones.get(call.port, "") for call in record.history.calls}


class Out:
    """Who is out over time: by plan, from the word that lets it go till it is back; by fault, while down."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.planned: dict[str, int] = {}
        self.lost: dict[str, int] = {}

    def apply(self, event: Event) -> None:
        """One event of the history."""
        if event.what == "taken":
            self.planned.setdefault(event.target, event.at)
        elif event.what == "back":
            self.planned.pop(event.target, None)
        elif event.what in ("down", "lost") and event.note == "fault":
            self.lost.setdefault(event.target, event.at)
        elif event.what in ("up", "found"):
            self.lost.pop(event.target, None)

    def known_out(self, event: Event) -> set[str]:
        """By plan, and by losses that the fleet has had the time to see before it agreed to this one.

        Who takes a target may have heard of its grant late, as where all keepers died after it.
        """
        now = self.record.granted_at.get(event.epoch, event.at)
        old = {name for name, since in self.lost.items() if now - since > self.record.detection_us}
        return set(self.planned) | old


def _when(event: Event) -> str:
    return f"{event.at / 1e6:.3f} s"


def scope(record: Record, limit: LimitOptions, name: str) -> str | None:
    """Which of a limit's scopes a target is counted in; None: it is not."""
    place = record.targets.get(name)
    if place is None or place["kind"] != limit.kind:
        return None
    return "" if limit.per == "fleet" else place.get(limit.per, "")


def allowed(record: Record, limit: LimitOptions, at: str) -> int:
    """How many of a scope may be out, rounded to the safe side."""
    members = [name for name in record.targets if scope(record, limit, name) == at]
    caps = [len(members)]
    if limit.most >= 0:
        caps.append(limit.most)
    if limit.share >= 0:
        caps.append(len(members) * limit.share // 1000)
    return min(caps)


def _over(record: Record, out: set[str], name: str) -> Iterator[str]:
    """The limits that stand broken with these out, among those that count this target."""
    for limit in record.limits:
        at = scope(record, limit, name)
        if at is None:
            continue
        within = sorted(one for one in out if scope(record, limit, one) == at)
        if len(within) > (most := allowed(record, limit, at)):
            names = ", ".join(within)
            yield f"{limit.kind} out per {limit.per} {at}: {len(within)} where {most} may be ({names})"
        if limit.capacity_left >= 0:
            members = [one for one in record.targets if scope(record, limit, one) == at]
            whole = sum(record.slots.get(one, 1) for one in members)
            left = whole - sum(record.slots.get(one, 1) for one in within)
            if left * 1000 < whole * limit.capacity_left:
                yield f"{left} of {whole} slots of {limit.kind} left per {limit.per} {at}"


def never_too_many_out(record: Record) -> Iterator[str]:
    """At no moment does taking one out by plan bring what is out over a limit."""
    out = Out(record)
    for event in record.events:
        before = event.target in out.planned
        out.apply(event)
        if event.what == "taken" and not before:
            for text in _over(record, out.known_out(event), event.target):
                yield f"{_when(event)}, {event.who} took {event.target}: {text}"


COLD_PART = 0.7  # of an executor that has just come back is not there


def cold_ones_count(record: Record) -> Iterator[str]:
    """Nor with those that have come back and are still cold counted in part."""
    out, back = Out(record), {}
    for event in record.events:
        before = event.target in out.planned
        out.apply(event)
        if event.what == "back":
            back[event.target] = event.at
        if event.what != "taken" or before or not record.slow_start_us:
            continue
        back.pop(event.target, None)
        for limit in record.limits:
            at = scope(record, limit, event.target)
            if at is None or limit.kind != "executor":
                continue
            parts = sum(scope(record, limit, name) == at for name in out.planned)
            parts += sum(
                COLD_PART * max(0.0, 1 - (event.at - since) / record.slow_start_us)
                for name, since in back.items()
                if scope(record, limit, name) == at and name not in out.planned
            )
            if parts > allowed(record, limit, at) + 1e-6:
                yield f"{_when(event)}, {event.who} took {event.target}: {parts:.2f} out, cold ones in part"


def same_id_same_outcome(record: Record) -> Iterator[str]:
    """A request that is repeated under its id gets the same permit, however often it is asked."""
    seen: dict[tuple[str, str], float] = {}
    for event in record.events:
        if event.what == "answer":
            first = seen.setdefault((event.who, event.target), event.number)
            if first != event.number:
                yield f"{_when(event)}: {event.who} got permits {first:.0f} and {event.number:.0f} by one id"


def one_leader_a_term(record: Record) -> Iterator[str]:
    """No two keepers lead in one term."""
    leads: dict[int, str] = {}
    for event in record.events:
        if event.what == "leads" and leads.setdefault(event.epoch, event.who) != event.who:
            yield f"{_when(event)}: {event.who} leads in term {event.epoch}, and so did {leads[event.epoch]}"


def keepers_agree(record: Record) -> Iterator[str]:
    """What one keeper has applied at an index, no other applies otherwise."""
    yield from record.disagreements


def grants_in_one_order(record: Record) -> Iterator[str]:
    """Grants, refusals and returns fit one order, each between its asking and its answer."""
    fault = linear.fault(record)
    if fault:
        yield fault


def no_work_after_drained(record: Record) -> Iterator[str]:
    """Once it was said that an executor is drained, nothing reaches it till it is back."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    for event in record.events:
        if event.what == "drained":
            since.setdefault(event.target, event.at)
        elif event.what == "returning" and event.target in since:
            spans[event.target].append((since.pop(event.target), event.at))
    for name, at in since.items():
        spans[name].append((at, 1 << 62))
    for visit in record.visits:
        for start, end in (*spans.get(visit.executor, ()), *spans.get(visit.zone, ())):
            if start < visit.at < end:
                yield f"{visit.executor} got {visit.id} {(visit.at - start) / 1e6:.3f} s after it was drained"


def no_job_lost_by_plan(record: Record) -> Iterator[str]:
    """A target that was drained before it was stopped had nothing left to lose."""
    for event in record.events:
        if event.what == "down" and event.note == "planned" and event.number:
            yield f"{_when(event)}: {event.target} was stopped by plan with {event.number:.0f} jobs"


def epochs_only_grow(record: Record) -> Iterator[str]:
    """What an actor acts on never has an older epoch than what it acted on before, for one target."""
    seen: dict[tuple[str, str], int] = {}
    for event in record.events:
        if not event.epoch or event.what not in ("acts", "taken", "follows"):
            continue
        key = event.who, event.target
        if event.epoch < seen.get(key, 0):
            yield f"{_when(event)}: {event.who} acted on {event.target} by {event.epoch} after {seen[key]}"
        seen[key] = max(event.epoch, seen.get(key, 0))


def nothing_on_a_dead_lease(record: Record) -> Iterator[str]:
    """An actor that tells how old its lease was when it acted never acted on one that had run out."""
    for event in record.events:
        if event.what == "acts" and event.number < 0:
            late = -event.number
            yield f"{_when(event)}: {event.who} acted on {event.target} {late:.3f} s after its lease"


def permits_accounted_for(record: Record) -> Iterator[str]:
    """At the end every permit that was used is returned, or named as still out."""
    open_: dict[str, Event] = {}
    for event in record.events:
        if event.what == "taken":
            open_[event.target] = event
        elif event.what in ("back", "named"):
            open_.pop(event.target, None)
    for target, event in open_.items():
        yield f"{target}, taken by {event.who} at {_when(event)}, is neither back nor named"


def residents_stay(record: Record) -> Iterator[str]:
    """What may not leave its zone or region never reaches an executor beyond it, whatever is lost."""
    if record.history is None or not record.residency:
        return
    regions = {name: place["group"] for name, place in record.targets.items() if place["kind"] == "zone"}
    came = homes(record)
    for visit in record.visits:
        within, home = record.residency.get(visit.job_class), came.get(visit.id, "")
        if within is None or not home:
            continue
        here, there = (home, visit.zone) if within == "zone" else (regions[home], regions[visit.zone])
        if here != there:
            where = f"{visit.executor} in {visit.zone}"
            yield f"{visit.id} ({visit.job_class}) came to {home} and reached {where}"


SPANS_US = (1_000_000, 3_000_000, 10_000_000)  # over which what was spent is counted
BURST = 0.2  # s of its rate that each may spend at once
RATES = 1.01  # clocks may differ by that much


def _first_beyond(times: list[int], span: int, most: float) -> tuple[int, int] | None:
    """When more than so many first came within a span, and how many; None: never."""
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        if last - first + 1 > most:
            return at, last - first + 1
    return None


def no_budget_passed(record: Record) -> Iterator[str]:
    """In no span is more spent than the budget gives, and what may be spent at once."""
    leased, floors, nodes = record.budget
    for rate, what in ((leased, True), (floors, False)):
        times = [at for at, by_lease in record.spent if by_lease == what]
        for span in SPANS_US if rate else ():
            # one is always whole, and a node may have two lives at a time
            most = rate / 1000 * (RATES * span / 1e6 + BURST) + 2 * nodes
            if (beyond := _first_beyond(times, span, most)) is not None:
                at, count = beyond
                how = "by leases" if what else "as floors"
                yield f"{at / 1e6:.3f} s: {count} spent {how} in {span / 1e6:g} s where {most:.0f} may be"


BUNCHED = 1.0  # s by which links may hold back what then comes at once


def budgets_hold_at_executors(record: Record) -> Iterator[str]:
    """What all executors together were asked for stays within the fleet's budgets, whoever asked."""
    for name, rate, nodes in record.budgets:
        times = [at for at, what in record.executor_spending if what == name]
        for span in SPANS_US:
            most = rate / 1000 * (RATES * span / 1e6 + BURST + BUNCHED) + 2 * nodes
            if (beyond := _first_beyond(times, span, most)) is not None:
                at, count = beyond
                yield f"{at / 1e6:.3f} s: {count} {name} in {span / 1e6:g} s where {most:.0f} may be"


def one_answer(record: Record) -> Iterator[str]:
    """Each call that stayed has one final answer, unless its connection broke; no forbidden repeat."""
    if record.history is not None:
        for rule in (one_final_answer, true_results, no_forbidden_repeat):
            yield from rule(record.history)


INVARIANTS: dict[str, Callable[[Record], Iterator[str]]] = {
    "never too many out": never_too_many_out,
    "cold ones count": cold_ones_count,
    "same id, same outcome": same_id_same_outcome,
    "one leader a term": one_leader_a_term,
    "keepers agree": keepers_agree,
    "grants fit one order": grants_in_one_order,
    "no work after drained": no_work_after_drained,
    "no job lost by plan": no_job_lost_by_plan,
    "epochs only grow": epochs_only_grow,
    "nothing on a dead lease": nothing_on_a_dead_lease,
    "permits accounted for": permits_accounted_for,
    "residents stay": residents_stay,
    "no budget passed": no_budget_passed,
    "budgets hold at executors": budgets_hold_at_executors,
    "one final answer, no forbidden repeat": one_answer,
}


def check_invariants(record: Record) -> dict[str, list[str]]:
    """The breaches of each law, by its name."""
    return {name: list(law(record)) for name, law in INVARIANTS.items()}


def most_out(record: Record) -> tuple[int, int]:
    """The most that were out at once by plan, and with what faults took out beside."""
    out, planned, all_ = Out(record), 0, 0
    for event in record.events:
        out.apply(event)
        planned = max(planned, len(out.planned))
        all_ = max(all_, len(set(out.planned) | set(out.lost)))
    return planned, all_
