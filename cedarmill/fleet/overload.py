"""One level of admission for the whole fleet: what is under it is refused at once, wherever it comes; no I/O.

The level is decided while an entry is applied, from what all nodes' clients want by worth, from the slots
that there are and those in use, and from lateness. It begins where jobs are late and more is wanted than
there is; what it admits then moves in small steps, less while jobs are late, more while they are not or slots
stand idle. It follows the bottleneck: reqs that may not leave their zone or region are cut there alone, where
only these find no room. A fleet that stays late though no more is admitted than there is, is taken out of
that state by a deep cut of set length, which is lifted in steps. An operator's cut holds beside it, till its
end. A node obeys a cut while its lease holds; then it fades, and its own sight decides.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from cedarmill.fleet.evidence import WHOLE

if TYPE_CHECKING:
    from cedarmill.fleet.state import ClusterState

LATE, PROMPT = 200, 50  # thousandths of jobs that are late: shed more; shed less
UP, DOWN = 1500, 2000  # thousandths of what is wanted, or of the slots, by which a cut moves in a second
FILL_DOWN, FILL_UP = 60, 40  # thousandths of what is admitted: a step while jobs are late, while they are not
FILL_LEAST = 500  # thousandths of the slots
FORGET = 10  # thousandths a step by which what was once served counts less
CALM_STEPS = 3  # in a row with nothing to cut, after which there is no cut any longer
STEP_US = 500_000
SLACK = 1050  # thousandths of the slots up to which what is wanted is not too much
IDLE = 850  # thousandths of the slots in use, below which a cut is deeper than it has to be
EMPTY = 400  # the same while jobs are late: what is late then waits for something else
SUSTAINED = 500  # thousandths of jobs that are late where an overload sustains itself
STUCK_US = 2_500_000  # late for so long though no more is admitted than there is: it sustains itself
DEEP, DEEP_US = 900, 4_000_000  # thousandths of the slots that are left free then, for how long at the most
REST_US = 4_000_000  # between two such cuts
FADE_US = 10_000_000  # after a lease, till a cut is obeyed no longer
ADVICE = (0.5, 2.0)  # times its slack, evenly: when the client of a req that is cut may come back
OVER = 200  # thousandths of its worth that a req beyond its tenant's quota counts for
NONE = -1
UNKNOWN = -1  # slots in use, where nobody tells
LONG, SHORT = 1000, 700  # thousandths of its wanted time that a job in the fleet takes: too much; not much
NO_QUEUE = 500  # the same where hardly anything waits: jobs run for about half of their wanted time
QUEUE_UP = 200  # thousandths of what is admitted, up to the slots: a step while that is short and slots idle
FULL = 1200  # thousandths of the slots, up to which more is admitted though none stands idle
SOME = 150  # thousandths refused by nodes' own sight, up to which more may be admitted
FALLING = 930  # thousandths of what it was a step ago: it is falling, and nothing more is to be cut for it


class Cut(msgspec.Struct, array_like=True, frozen=True):
    """Refuse what is worth less than `rank` (thousandths), and so many thousandths of what is worth that."""

    rank: int = NONE
    part: int = 0


class Admission(msgspec.Struct):
    """The level of one scope as it stands. Times: us of the fleet."""

    shed: int = 0  # slots wanted that are to be refused, thousandths
    fill: int = WHOLE  # thousandths of the slots that are to be filled
    active: bool = False  # since jobs were late while more was wanted than there is
    proven: int = 0  # slots' worth of jobs that were served lately
    calm: int = 0  # steps in a row with nothing to cut
    cut: Cut = Cut()
    epoch: int = 0
    at: int = 0  # of the last step
    late_since: int = -1
    deep_till: int = 0
    rested_till: int = 0
    why: str = ""
    hand: Cut = Cut()  # an operator's
    hand_till: int = 0
    wanted: int = 0
    room: int = 0
    late: int = 0
    busy: int = UNKNOWN
    queue: int = UNKNOWN
    before: int = UNKNOWN  # the same a step ago
    turned: int = 0
    seen: int = UNKNOWN  # when the news came by which it was moved last
    stale: bool = False  # nothing newer has come since


def level(wants: Mapping[int, int], shed: int) -> Cut:
    """The cut that refuses so much of what is wanted, the least worth first."""
    left = shed
    for rank in sorted(wants):
        if left <= 0:
            break
        if wants[rank] > left:
            return Cut(rank, left * WHOLE // wants[rank])
        left -= wants[rank]
        if left <= 0:
            return Cut(rank, WHOLE)
    return Cut(max(wants), WHOLE) if wants and shed > 0 else Cut()


def stricter(a: Cut, b: Cut) -> Cut:
    """Of two the one that refuses more."""
    return max(a, b, key=lambda cut: (cut.rank, cut.part))


def advance(world: "ClusterState", wants: Mapping[int, int], room: int, late: int, busy: int = UNKNOWN,
            good: int = 0, queue: int = UNKNOWN, turned: int = 0, seen: int = UNKNOWN) -> None:  # fmt: skip
    """One step for the whole fleet, by the newest news: what is wanted by worth, the slots that there are,
    what is late, the slots in use, the slots' worth of jobs that are served, and how long is taken.

    What was served lately is there, whatever is believed: a busy executor shows each node few slots. `queue`
    is the time that a job takes which is in the fleet now, against what it may take (thousandths; by Little's
    law what is out, over what ends in a second): jobs that end late now came seconds ago, and say little of
    what comes. `turned`: thousandths of what the cut lets pass, refused by nodes' own sight.
    `seen` is when the news came: by the same news nothing is moved twice (what is unknown stays as it was).
    """
    one = world.admission
    one.stale = UNKNOWN != seen <= one.seen
    one.seen = max(one.seen, seen)
    if world.clock - one.at >= STEP_US:
        one.proven = max(good, one.proven - one.proven * FORGET // WHOLE)
    if _steer(world, one, wants, max(room, one.proven), late, busy, "the fleet", queue, turned):
        _say(world, level(wants, world.admission.shed))


def tighten(world: "ClusterState", scope: str, wants: Mapping[int, int], room: int, late: int) -> None:
    """The same for the reqs of one zone that may not go further, where these find no room that others have.

    What the whole fleet's cut refuses of them already is not refused twice.
    """
    one = world.scoped_admission.get(scope)
    short = max(0, sum(wants.values()) - room)
    if one is None and (not short or late < LATE):
        return
    one = world.scoped_admission.setdefault(scope, Admission())
    if not _steer(world, one, wants, room, late, UNKNOWN, scope):
        return
    found = level(wants, one.shed)
    if not one.shed and late < PROMPT:
        del world.scoped_admission[scope]
    if found != one.cut:
        one.cut, one.epoch, world.orders_epoch = found, world.epoch, world.epoch


def cut_of(world: "ClusterState", zone: str, bound: str) -> Cut:
    """What a node of that zone refuses of reqs that may go so far."""
    one = world.scoped_admission.get(f"{zone}/{bound}")
    return stricter(world.admission.cut, one.cut) if one is not None else world.admission.cut


def _steer(world: "ClusterState", one: Admission, wants: Mapping[int, int], room: int, late: int, busy: int,
           where: str, queue: int = UNKNOWN, turned: int = 0) -> bool:  # fmt: skip
    """Move what is shed by one step; whether a step was due.

    `fill` is what is to be admitted, of the slots: it moves slowly by lateness, as news are a second old,
    while what is wanted beyond it is shed at once, or nearly.
    """
    now = world.clock
    passed = min(now - one.at, 2 * STEP_US)
    if passed < STEP_US:
        return False
    one.at, one.wanted, one.room, one.late, one.busy = now, sum(wants.values()), room, late, busy
    one.before, one.queue, one.turned = one.queue, queue, turned
    if late < PROMPT or 0 <= queue < SHORT:
        one.deep_till = min(one.deep_till, now)  # it has done its work
    if now >= one.deep_till and not one.stale:  # what stands idle by a deep cut says nothing
        prompt = late < LATE or 0 <= queue < SHORT
        _fill(one, busy != UNKNOWN and busy * WHOLE < room * (IDLE if prompt else EMPTY))
    admits = WHOLE - DEEP if now < one.deep_till else one.fill
    too_much = max(0, one.wanted - room * admits // WHOLE)
    if not one.active:
        too_much = 0
    step = max(one.wanted, room) * passed // 1_000_000
    one.shed = max(min(too_much, one.shed + step * UP // WHOLE), one.shed - step * DOWN // WHOLE)
    one.shed = min(one.shed, one.wanted)
    if now < one.deep_till:
        one.why = "a deep cut: late though what is admitted fits"
    else:
        one.why = f"more is wanted than there is; {late / 10:g}% late" if one.shed else ""
    _stuck(world, one, late, where)
    return True


def _fill(one: Admission, idle: bool) -> None:
    """What is to be admitted, of the slots: less while jobs take too long, more while they do not."""
    known = one.queue != UNKNOWN
    pressed = one.queue >= LONG and one.late >= PROMPT if known else one.late >= LATE
    pressed |= one.turned >= LATE and not (known and one.queue < NO_QUEUE)  # own sight alone may be wrong
    if (pressed or one.late >= LATE) and one.wanted > one.room:
        one.active = True
    if not one.active:
        return
    falls = known and one.queue * WHOLE < one.before * FALLING
    if pressed and not falls:
        one.fill = max(FILL_LEAST, one.fill - one.fill * FILL_DOWN // WHOLE)
    elif known and one.queue < SHORT and (one.turned < SOME or one.queue < NO_QUEUE) and (
            one.shed or one.fill < WHOLE):  # fmt: skip
        one.fill += one.fill * _rise(one, idle) // WHOLE
    elif not known and idle:  # whatever is late: more would fit
        one.fill += one.fill // 3
    elif one.late < PROMPT and one.turned < PROMPT and one.fill < WHOLE:
        one.fill += one.fill * FILL_UP // WHOLE
    one.calm = one.calm + 1 if one.wanted * WHOLE <= one.room * one.fill else 0
    if one.calm >= CALM_STEPS and one.late < LATE:
        one.active, one.fill, one.calm = False, WHOLE, 0


def _rise(one: Admission, idle: bool) -> int:
    """By how much more is admitted while queues are short: fast where there are none."""
    if one.queue < NO_QUEUE or idle and one.fill < WHOLE:
        return QUEUE_UP
    return 2 * FILL_UP if idle else FILL_UP * (one.fill < FULL)


def _stuck(world: "ClusterState", one: Admission, late: int, where: str) -> None:
    """Most jobs late for long though what is admitted fits: queues and what comes again sustain it."""
    now = world.clock
    admitted = (one.wanted - one.shed) * WHOLE
    short = 0 <= one.queue < LONG
    if late < SUSTAINED or short or not one.room * WHOLE // 2 <= admitted <= one.room * SLACK or (
            now < one.deep_till):  # fmt: skip
        one.late_since = -1
        return
    one.late_since = one.late_since if one.late_since >= 0 else now
    if now - one.late_since >= STUCK_US and now >= one.rested_till:
        one.deep_till, one.rested_till, one.late_since = now + DEEP_US, now + DEEP_US + REST_US, -1
        one.active = True
        world.note(f"a deep cut in {where} for {DEEP_US / 1e6:g} s: {late / 10:g}% late, though what is "
                   "admitted fits")  # fmt: skip


def _say(world: "ClusterState", found: Cut) -> None:
    one = world.admission
    if world.clock < one.hand_till:
        found = stricter(found, one.hand)
    elif one.hand != Cut():
        one.hand = Cut()
        world.note("the cut by hand has ended")
    near = found.rank == one.cut.rank and abs(found.part - one.cut.part) < 20
    if near and found != Cut():
        return
    if found != one.cut:
        one.cut, one.epoch = found, world.epoch
        world.orders_epoch = world.epoch


def by_hand(world: "ClusterState", rank: int, part: int, lasts: int, who: str) -> None:
    """An operator's cut, till its end; a rank below 0 ends it."""
    one = world.admission
    one.hand, one.hand_till = (Cut(rank, part), world.clock + lasts) if rank >= 0 else (Cut(), 0)
    world.note(f"{who} cuts what is worth less than {rank / WHOLE:g}" if rank >= 0 else f"{who} ends the cut")
    _say(world, stricter(one.cut, one.hand) if rank >= 0 else Cut())


class Gate:
    """A node's side: whether a job is cut."""

    def __init__(self) -> None:
        self.cut = Cut()
        self.tight: Mapping[str, Cut] = {}
        self.lapsed_at = -1

    def told(self, cut: Cut, tight: Mapping[str, Cut] = {}) -> None:  # noqa: B006
        """Of all reqs, and beside it of those that may go only so far."""
        self.cut, self.tight = cut, tight

    def strength(self, now: int, holds: bool) -> float:
        """All of it while the lease holds; after that it fades."""
        if holds:
            self.lapsed_at = -1
            return 1.0
        self.lapsed_at = now if self.lapsed_at < 0 else self.lapsed_at
        return max(0.0, 1.0 - (now - self.lapsed_at) / FADE_US)

    def cuts(self, now: int, holds: bool, rank: int, chance: float, bound: str = "any") -> bool:
        """Whether a job of that worth (thousandths) is refused; `chance` is drawn evenly from 0 to 1."""
        cut = self.tight.get(bound, self.cut)
        if cut.rank < 0 or rank > cut.rank:
            return False
        part = 1.0 if rank < cut.rank else cut.part / WHOLE
        return chance < part * self.strength(now, holds)
