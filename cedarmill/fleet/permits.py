"""Who may be out: leave is asked for, waits, is granted, given back, or lost; no I/O.

Out counts what is out by plan, silent, ill, draining by discovery's word, and in part what is still cold.
What is unknown counts as out. Every decision is made while an entry of the agreed log is applied, so two
askers at two keepers are decided in one order, and a leader that is none any longer grants nothing.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cedarmill.fleet.state import PER_MILLE, ClusterState, Limit, Permit, Target

# (state, event) -> state: whatever changes a permit's state stands here
STATES = {
    ("waiting", "grant"): "granted",
    ("waiting", "expire"): "expired",
    ("waiting", "refuse"): "refused",
    ("waiting", "withdraw"): "withdrawn",
    ("granted", "give"): "returned",
    ("granted", "lose"): "lost",
    ("lost", "find"): "granted",
    ("lost", "give"): "returned",
}
ENDED_KEPT = 500  # permits that have ended and are still shown
FLAP_WINDOW = 60_000_000  # in which lapses are counted
FLAP_LAPSES = 3  # of a member in that window: it counts as out till fewer are
GONE_US = 600_000_000  # that an executor which left the list still counts as out


class Verdict(NamedTuple):
    """`now`, `later` or `never`, and the reasons; `full`: the scopes that have no room."""

    word: str
    reasons: tuple[str, ...] = ()
    full: frozenset[tuple[Limit, str]] = frozenset()


def move(world: ClusterState, permit: Permit, event: str) -> bool:
    """Take a permit to its next state; whether there is one."""
    state = STATES.get((permit.state, event))
    if state is None:
        return False
    permit.state = state
    if state == "granted" and event == "grant":
        permit.granted_at, permit.epoch = world.clock, world.epoch
    if state not in ("waiting", "granted", "lost"):
        permit.ended_at = world.clock
    world.orders_epoch = world.epoch
    return True


def key_of(kind: str, name: str) -> str:
    return f"{kind}:{name}"


def scope(limit: Limit, target: Target) -> str | None:
    """Which scope of a limit a target is counted in; None: it is not."""
    if limit.kind != target.kind:
        return None
    return "" if limit.per == "fleet" else getattr(target, limit.per)


def cold_part(world: ClusterState, target: Target) -> int:
    """The thousandths of a target that are not there yet, since it has only come back."""
    if target.kind != "executor" or target.slow_start_from < 0 or world.slow_start_us <= 0:
        return 0
    age = world.clock - target.slow_start_from
    if age >= world.slow_start_us:
        return 0
    return (PER_MILLE - world.slow_start_share) * (world.slow_start_us - age) // world.slow_start_us


def flapping(world: ClusterState, name: str) -> bool:
    """Whether a node came and went so often lately that it does not count as there."""
    lapses = [
        at
        for m in world.members.values()
        if m.kind == "node" and m.name == name
        for at in m.lease_expiries
        if world.clock - at < FLAP_WINDOW
    ]
    return len(lapses) >= FLAP_LAPSES


def out_parts(world: ClusterState) -> dict[str, int]:
    """The thousandths that are out, of each target of which any is."""
    found: dict[str, int] = {}
    for key, target in world.targets.items():
        if target.health != "well" or (target.kind == "node" and flapping(world, target.name)):
            found[key] = PER_MILLE
        elif part := cold_part(world, target):
            found[key] = part
    for permit in world.permits.values():
        if permit.out:
            found[key_of(permit.kind, permit.target)] = PER_MILLE
    return found


def allowed(limit: Limit, count: int) -> int:
    """How many of so many may be out: shares are rounded down, the safe side."""
    cap = count
    if limit.most >= 0:
        cap = min(cap, limit.most)
    if limit.share >= 0:
        cap = min(cap, count * limit.share // PER_MILLE)
    return cap


def _within(world: ClusterState, limit: Limit, at: str) -> list[tuple[str, Target]]:
    return [(key, target) for key, target in world.targets.items() if scope(limit, target) == at]


def _capacity(
    limit: Limit, members: list[tuple[str, Target]], out: dict[str, int], key: str
) -> tuple[int, int, int]:
    """Slots (in thousandths) left with this target out too, left with only it out, and needed."""
    whole = sum(target.slots for _, target in members) * PER_MILLE
    left = sum(target.slots * (PER_MILLE - out.get(name, 0)) for name, target in members if name != key)
    alone = sum(target.slots * PER_MILLE for name, target in members if name != key)
    return left, alone, -(-whole * limit.capacity_left // PER_MILLE)


def _slots(left: int, need: int, where: str) -> str:
    return f"{left / PER_MILLE:g} slots{where} would be left, {need / PER_MILLE:g} are needed"


def _against(
    world: ClusterState, limit: Limit, target: Target, key: str, out: dict[str, int]
) -> Iterator[tuple[str, str]]:
    """What one limit says against it: `never` or `later`, and why."""
    at = scope(limit, target)
    if at is None:
        return
    members = _within(world, limit, at)
    where = f" of {limit.per} {at}" if at else ""
    if limit.most >= 0 or limit.share >= 0:
        cap = allowed(limit, len(members))
        taken = sum(out.get(name, 0) for name, _ in members if name != key)
        if cap < 1:
            yield "never", f"{limit.text()}: none of {len(members)}{where} may be out"
        elif taken + PER_MILLE > cap * PER_MILLE:
            names = ", ".join(
                sorted(name.partition(":")[2] for name, _ in members if out.get(name) and name != key)
            )
            yield "later", f"{limit.text()}: {taken / PER_MILLE:g} of {cap}{where} are out ({names})"
    if limit.capacity_left >= 0:
        left, alone, need = _capacity(limit, members, out, key)
        if alone < need:
            yield (
                "never",
                f"{limit.text()}: {_slots(alone, need, where)}",
            )
        elif left < need:
            yield (
                "later",
                f"{limit.text()}: {_slots(left, need, where)}",
            )


def decide(world: ClusterState, kind: str, name: str, out: dict[str, int] | None = None) -> Verdict:
    """What would be said now to who asks for leave for a target."""
    key = key_of(kind, name)
    target = world.targets.get(key)
    if target is None:
        return Verdict("never", (f"no {kind} of the name {name} is known",))
    held = [p for p in world.permits.values() if p.out and (p.kind, p.target) == (kind, name)]
    if held:
        return Verdict("never", (f"{name} is out already, by permit {held[0].id} of {held[0].holder}",))
    if world.halt_reason:
        return Verdict("later", (f"nothing is granted now: {world.halt_reason}",))
    out = out_parts(world) if out is None else out
    never, later, full = [], [], set()
    for limit in world.limits:
        for word, why in _against(world, limit, target, key, out):
            (never if word == "never" else later).append(why)
            full.add((limit, scope(limit, target) or ""))
    if never:
        return Verdict("never", tuple(never))
    return Verdict("later", tuple(later), frozenset(full)) if later else Verdict("now")


def ask(
    world: ClusterState, kind: str, name: str, holder: str, reason: str, priority: int, wait: int
) -> Permit:
    """Enter a request; it is decided with all that wait."""
    permit = Permit(
        world.new_id(),
        kind,
        name,
        holder,
        reason,
        priority,
        requested_at=world.clock,
        waits_until=world.clock + wait,
    )
    world.permits[permit.id] = permit
    verdict = decide(world, kind, name)
    same = [
        p
        for p in world.permits.values()
        if p is not permit and p.state == "waiting" and (p.kind, p.target) == (kind, name)
    ]
    if verdict.word == "never" or same:
        permit.notes = list(verdict.reasons) or [f"{name} waits already, by permit {same[0].id}"]
        move(world, permit, "refuse")
    return permit


def open_permit(world: ClusterState, kind: str, name: str) -> Permit | None:
    """The permit by which a target is out, or for which it waits."""
    found = [p for p in world.permits.values() if (p.kind, p.target) == (kind, name)]
    granted = next((p for p in found if p.out), None)
    return granted or next((p for p in found if p.state == "waiting"), None)


def in_turn(world: ClusterState) -> list[Permit]:
    """Those that wait, in the order in which they are looked at.

    Higher priority first; then who holds least now, so that one who asks for much does not starve the others;
    then who asked first.
    """
    holds: dict[str, int] = {}
    for permit in world.permits.values():
        if permit.out:
            holds[permit.holder] = holds.get(permit.holder, 0) + 1
    waiting = [permit for permit in world.permits.values() if permit.state == "waiting"]
    return sorted(waiting, key=lambda p: (-p.priority, holds.get(p.holder, 0), p.id))


def grant_all(world: ClusterState) -> list[Permit]:
    """Grant what may be granted now, one at a time, each counted before the next is looked at.

    One that finds no room keeps later ones out of the scopes that it waits for: it is not passed for ever.
    """
    granted: list[Permit] = []
    while (permit := _next(world)) is not None:
        move(world, permit, "grant")
        permit.notes, permit.undrained_members = [], need_of(world, permit)
        settle(world, permit)
        granted.append(permit)
    return granted


def _next(world: ClusterState) -> Permit | None:
    blocked: set[tuple[Limit, str]] = set()
    out = out_parts(world)
    for permit in in_turn(world):
        verdict = decide(world, permit.kind, permit.target, out)
        if verdict.word == "now" and not _blocked(world, permit, blocked):
            return permit
        if verdict.word == "never":
            permit.notes = list(verdict.reasons)
            move(world, permit, "refuse")
            continue
        permit.notes = list(verdict.reasons) or ["an earlier one waits for the same room"]
        blocked |= verdict.full
    return None


def _blocked(world: ClusterState, permit: Permit, blocked: set[tuple[Limit, str]]) -> bool:
    target = world.targets[key_of(permit.kind, permit.target)]
    return any(
        scope(limit, target) == at or (at == "" and scope(limit, target) is not None and limit.per == "fleet")
        for limit, at in blocked
    )


def would(world: ClusterState, kind: str, names: Iterable[str]) -> list[tuple[str, Verdict]]:
    """A dry run: what each of these would be told, one after the other, as things stand now."""
    out, found = out_parts(world), []
    for name in names:
        verdict = decide(world, kind, name, out)
        if verdict.word == "now":
            out[key_of(kind, name)] = PER_MILLE
        found.append((name, verdict))
    return found


def expire(world: ClusterState) -> None:
    """Those that have waited long enough; and ended ones that nobody needs to see any longer."""
    for permit in world.permits.values():
        if permit.state == "waiting" and world.clock >= permit.waits_until:
            permit.notes = [*permit.notes, "waited as long as was asked"]
            move(world, permit, "expire")
    ended = [p.id for p in world.permits.values() if p.state not in ("waiting", "granted", "lost")]
    for number in ended[:-ENDED_KEPT]:
        del world.permits[number]


def next_due(world: ClusterState) -> int | None:
    """When something changes by itself: one that waits expires, one that is cold has warmed up enough."""
    waiting = [permit for permit in world.permits.values() if permit.state == "waiting"]
    times = [permit.waits_until for permit in waiting]
    if waiting:
        cold = [
            t.slow_start_from + world.slow_start_us
            for t in world.targets.values()
            if t.slow_start_from >= 0 and t.slow_start_from + world.slow_start_us > world.clock
        ]
        times += [min(end, world.clock + 500_000) for end in cold[:1]]  # it warms up all the while
        times += [
            at + FLAP_WINDOW
            for m in world.members.values()
            for at in m.lease_expiries
            if at + FLAP_WINDOW > world.clock
        ]
    return min(times, default=None)


# Drains: what a permit for an executor or a node asks of the members.


def need_of(world: ClusterState, permit: Permit) -> list[str]:
    """The members that have to be done with a target before it is drained.

    A release replaces a node beside the old process, which answers what it holds: nobody is waited for.
    """
    if permit.holder.startswith("release:"):
        return []
    if permit.kind in ("executor", "zone"):
        return sorted(member.key for member in world.members_of("node"))
    if permit.kind == "node":
        return sorted(member.key for member in world.members_of("node") if member.name == permit.target)
    return []


def told_done(world: ClusterState, key: str, target: str, epoch: int) -> None:
    """A member says that it has nothing out at a target, and sends nothing there, under that epoch."""
    for permit in world.permits.values():
        if permit.state in ("granted", "lost") and permit.target == target and permit.epoch == epoch:
            if key in permit.undrained_members:
                permit.undrained_members.remove(key)
            settle(world, permit)


def settle(world: ClusterState, permit: Permit) -> None:
    """Drained is said when nobody is left to wait for."""
    if permit.out and not permit.undrained_members and not permit.drained_at:
        permit.drained_at = world.clock
        world.note(f"{permit.kind} {permit.target} is drained (permit {permit.id})")


def member_ended(world: ClusterState, key: str) -> None:
    """Its process is known to have ended: nothing of it is out any longer."""
    for permit in world.permits.values():
        if key in permit.undrained_members:
            permit.undrained_members.remove(key)
            settle(world, permit)


def member_joined(world: ClusterState, key: str) -> None:
    """It is told before it sends; till it says so, what is not drained yet waits for it too."""
    for permit in world.permits.values():
        if (
            permit.out
            and not permit.drained_at
            and key in need_of(world, permit)
            and key not in permit.undrained_members
        ):
            permit.undrained_members.append(key)


def give_back(world: ClusterState, permit: Permit, why: str = "") -> bool:
    """The target may serve again; an executor comes back cold."""
    if not move(world, permit, "give"):
        return False
    if why:
        permit.notes.append(why)
    target = world.targets.get(key_of(permit.kind, permit.target))
    if target is not None and target.kind == "executor":
        target.slow_start_from = world.clock
    return True
