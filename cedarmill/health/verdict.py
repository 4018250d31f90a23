"""Verdicts on boxes out of checks, agents and attempts, by a stated order of evidence.

Pure: `Verdicts.step(now, event) -> actions`, all times in microseconds. The order, strongest first:

1. An operator's or agent's will (`drain`, `maint`) is obeyed at once, whatever works.
2. What attempts show beats what checks say: `observe` of them lost in a row take a box out though every check
   passes, and one that succeeded lately keeps it in though every check fails.
3. Checks and agents: `fall` failures in a row take a box out, `rise` successes bring it back.
4. Damping: a box that keeps changing stays out till it has kept still (RFC 2439: a penalty for each change,
   decaying by half in `half_life`, with thresholds to suppress and to reuse and a ceiling).
5. Panic: where less than `panic` of all wanted boxes would be left, health (1 excepted) is not believed: what
   says that nearly all are dead is more likely itself broken, and the few left would be crushed.

A box that comes back is let in slowly: its size grows over `slow_start`.
"""

from dataclasses import dataclass
from enum import IntEnum

from cedarmill.health.codecs.agent import Admin, AgentReply, Status

PENALTY = 1000.0  # for one change of the verdict (RFC 2439, section 4.2, figures of its example)
LEAST_SIZE = 0.1  # of its size, of a box that has just come back: one that gets nothing shows nothing


@dataclass(frozen=True, slots=True)
class VerdictOptions:
    """HAProxy's names where it has them; durations in microseconds."""

    rise: int = 2
    fall: int = 3
    inter: int = 2_000_000
    fastinter: int = 500_000  # while the next result may change the verdict
    downinter: int = 5_000_000
    slow_start: int = 8_900_000
    observe: int = 3  # attempts lost in a row
    hold: int = 2_000_000  # out for lost attempts at first; doubled each time, up to 16 times
    trust: int = 3_000_000  # for which a success of an attempt keeps a box in
    half_life: int = 15_000_000
    suppress: float = 3000.0
    reuse: float = 1000.0
    longest: int = 60_000_000  # that damping may keep a box out
    panic: float = 0.5


class State(IntEnum):
    """What checks and attempts make of a box."""

    UP = 0
    DOWN = 1  # by checks
    LOST = 2  # by attempts: it takes work and says nothing, or breaks it


# Events.


@dataclass(slots=True)
class Known:
    """A box is on the list (or in the static fleet)."""

    box: int


@dataclass(slots=True)
class Gone:
    """It is no longer."""

    box: int


@dataclass(slots=True)
class Checked:
    """A check of it ended."""

    box: int
    passed: bool


@dataclass(slots=True)
class Agent:
    """Its agent has spoken."""

    box: int
    reply: AgentReply


@dataclass(slots=True)
class Attempted:
    """An attempt at it ended: it was answered, or lost (time-out, reset, no connection)."""

    box: int
    answered: bool


@dataclass(slots=True)
class Passed:
    """Time has passed."""


Event = Known | Gone | Checked | Agent | Attempted | Passed


# Actions.


@dataclass(slots=True, frozen=True)
class Told:
    """The verdict on a box has changed: whether new work may go there, and its part of its size."""

    box: int
    wanted: bool
    size: float
    why: str


@dataclass(slots=True)
class Wake:
    """Step again at this time."""

    at: int


Action = Told | Wake


@dataclass(slots=True)
class _Box:
    state: State = State.UP
    admin: Admin = Admin.READY
    weight: float = 1.0
    row: int = 0  # results in a row against the state
    lost: int = 0  # attempts lost in a row
    answered_at: int = -(10**18)
    back_at: int = 0  # when a box that was lost may be tried again
    holds: int = 0
    since: int = -(10**18)  # when it came back
    penalty: float = 0.0
    counted: int = 0
    suppressed: bool = False
    told: tuple[bool, float] | None = None


class Verdicts:
    """The verdicts of one node."""

    def __init__(self, options: VerdictOptions) -> None:
        self.options = options
        self.ceiling = options.reuse * 2 ** (options.longest / options.half_life)  # RFC 2439, section 4.2
        self.boxes: dict[int, _Box] = {}
        self.panics = False
        self._moving: dict[int, None] = {}  # boxes whose verdict time alone will change
        self._ready: set[int] = set()  # wanted by their owners
        self._out: set[int] = set()  # of those, the ones that their health keeps out
        self._handlers = {Known: self._known, Gone: self._gone, Checked: self._checked, Agent: self._agent,
                          Attempted: self._attempted, Passed: lambda *_: None}  # fmt: skip

    def step(self, now: int, event: Event) -> list[Action]:
        """Take one event at its time and return what to do."""
        self._handlers[type(event)](now, event)
        touched = set(self._moving) if isinstance(event, Passed) else {event.box} & self.boxes.keys()
        for number in touched:
            self._pass(now, number)
        was, self.panics = self.panics, self._panic()
        if was != self.panics:  # all that are out change together
            touched.update(self._out)
        actions: list[Action] = []
        for number in sorted(touched):
            actions += self._tell(now, number)
        wakes = [self._wake(now, self.boxes[number]) for number in touched if number in self._moving]
        return [*actions, Wake(min(wakes))] if wakes else actions

    def interval(self, number: int) -> int:
        """How long till this box's next check: sooner while its next result may change the verdict."""
        box, options = self.boxes[number], self.options
        if box.row:
            return options.fastinter
        return options.inter if box.state is State.UP else options.downinter

    # Events.

    def _known(self, now: int, event: Known) -> None:
        self.boxes.setdefault(event.box, _Box(counted=now))
        self._ready.add(event.box)

    def _gone(self, now: int, event: Gone) -> None:
        self.boxes.pop(event.box, None)
        self._moving.pop(event.box, None)
        self._ready.discard(event.box)
        self._out.discard(event.box)

    def _checked(self, now: int, event: Checked) -> None:
        if (box := self.boxes.get(event.box)) is None or box.state is State.LOST:
            return  # it passed its checks while it dropped work: they say nothing of it now
        against = event.passed is (box.state is State.DOWN)
        box.row = box.row + 1 if against else 0
        needed = self.options.rise if event.passed else self.options.fall
        if box.row >= needed:
            self._change(now, box, State.UP if event.passed else State.DOWN)

    def _agent(self, now: int, event: Agent) -> None:
        if (box := self.boxes.get(event.box)) is None:
            return
        reply = event.reply
        box.admin = reply.admin or box.admin
        (self._ready.add if box.admin is Admin.READY else self._ready.discard)(event.box)
        box.weight = box.weight if reply.weight is None else reply.weight / 100
        if reply.status is not None and box.state is not State.LOST:  # an agent needs no row: it knows
            state = State.UP if reply.status is Status.UP else State.DOWN
            if state is not box.state:
                self._change(now, box, state)

    def _attempted(self, now: int, event: Attempted) -> None:
        if (box := self.boxes.get(event.box)) is None:
            return
        if event.answered:
            box.lost, box.answered_at = 0, now
            if box.state is State.LOST:
                box.holds = 0
                self._change(now, box, State.UP)
            return
        box.lost += 1
        box.answered_at = min(box.answered_at, now - self.options.trust)
        if box.lost >= self.options.observe or box.state is State.LOST:
            if box.state is not State.LOST:
                self._change(now, box, State.LOST)
            box.back_at = now + self.options.hold * 2 ** min(box.holds, 4)
            box.holds += 1

    def _change(self, now: int, box: _Box, state: State) -> None:
        """The one place that changes a state; each change is paid for."""
        self._decay(now, box)
        box.penalty = min(self.ceiling, box.penalty + PENALTY)
        box.suppressed |= box.penalty >= self.options.suppress
        box.state, box.row = state, 0
        if state is State.UP:
            box.since = now

    def _decay(self, now: int, box: _Box) -> None:
        box.penalty *= 0.5 ** ((now - box.counted) / self.options.half_life)
        box.counted = now

    # Verdicts.

    def _pass(self, now: int, number: int) -> None:
        """What time alone does: penalties fall, holds end."""
        box = self.boxes[number]
        self._decay(now, box)
        if box.suppressed and box.penalty < self.options.reuse:
            box.suppressed, box.since = False, now
        healthy, _ = self._health(now, box)
        (self._out.discard if healthy or number not in self._ready else self._out.add)(number)
        slow = now - box.since < self.options.slow_start
        trusted = box.state is State.DOWN and now - box.answered_at < self.options.trust
        waits = box.state is State.LOST and now < box.back_at
        if box.suppressed or slow or trusted or waits:
            self._moving[number] = None
        else:
            self._moving.pop(number, None)

    def _health(self, now: int, box: _Box) -> tuple[bool, str]:
        if box.state is State.LOST:
            return now >= box.back_at, "attempts were lost" if now < box.back_at else "one trial"
        if now - box.answered_at < self.options.trust:
            return True, "attempts are answered"
        if box.state is State.DOWN:
            return False, "checks fail"
        return (False, "it changes too often") if box.suppressed else (True, "checks pass")

    def _panic(self) -> bool:
        return len(self._out) > (1 - self.options.panic) * len(self._ready) > 0

    def _tell(self, now: int, number: int) -> list[Action]:
        if (box := self.boxes.get(number)) is None:
            return []
        healthy, why = self._health(now, box)
        if box.admin is not Admin.READY or box.weight == 0:
            wanted, why = False, f"its agent says {box.admin if box.admin is not Admin.READY else '0%'}"
        else:
            wanted = healthy or self.panics
            why = why if healthy or not self.panics else "panic: too few would be left"
        part = min(1.0, max(LEAST_SIZE, (now - box.since) / self.options.slow_start))
        size = round(box.weight * (LEAST_SIZE if box.state is State.LOST else part), 1) if wanted else 0.0
        verdict = wanted, max(size, LEAST_SIZE) if wanted else 0.0
        if verdict == box.told:
            return []
        box.told = verdict
        return [Told(number, *verdict, why)]

    def _wake(self, now: int, box: _Box) -> int:
        """When time alone may change it next: a tenth of a slow start at the latest."""
        moments = [now + self.options.slow_start // 10]
        if box.state is State.LOST and box.back_at > now:
            moments.append(box.back_at)
        if box.state is State.DOWN and box.answered_at + self.options.trust > now:
            moments.append(box.answered_at + self.options.trust)
        return min(moments)
