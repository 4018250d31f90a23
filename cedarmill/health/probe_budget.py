"""What probes may cost: token buckets, one a box and one for the node, shared probes, spread moments.

Pure: `Probes.step(now, event) -> actions`, all times in microseconds.
"""

import math
from dataclasses import dataclass, field
from random import Random

JITTER = 0.25  # of an interval, either way: a thousand boxes learned at once must not be probed at once


@dataclass(slots=True)
class Bucket:
    """Tokens that come evenly up to a bound; one is taken for each probe."""

    per_s: float
    bound: float
    tokens: float = field(default=math.inf)
    counted: int = 0

    def ready_in(self, now: int) -> int:
        """Microseconds till a token is there."""
        self.tokens = min(self.bound, self.tokens + (now - self.counted) * self.per_s / 1e6)
        self.counted = now
        return 0 if self.tokens >= 1 else math.ceil((1 - self.tokens) / self.per_s * 1e6)

    def take(self) -> None:
        """Take the token that `ready_in` showed."""
        self.tokens -= 1


# Events.


@dataclass(slots=True)
class Wanted:
    """A source wants news of a box by then; `fresh_us`: how old news may be to serve it."""

    box: int
    source: str
    fresh_us: int


@dataclass(slots=True)
class Heard:
    """Traffic or a probe told of a box; it answers all who wait."""

    box: int
    probe: bool = False


@dataclass(slots=True)
class Missed:
    """A probe has brought no news: it is no longer on its way, and who waited for it has its answer."""

    box: int


@dataclass(slots=True)
class Gone:
    """A box has left the list."""

    box: int


@dataclass(slots=True)
class Passed:
    """Time has passed."""


Event = Wanted | Heard | Missed | Gone | Passed


# Actions.


@dataclass(slots=True)
class Ask:
    """Send one probe, on behalf of these sources."""

    box: int
    sources: tuple[str, ...]


@dataclass(slots=True)
class Wake:
    """Step again at this time: a probe waits for a token."""

    at: int


Action = Ask | Wake


@dataclass(slots=True)
class _Box:
    bucket: Bucket
    heard: int = -1  # when news of it came last
    out: bool = False  # whether a probe is on its way
    waiting: dict[str, None] = field(default_factory=dict)  # the sources that want one, in order


class Probes:
    """The probes of one node: who may be asked when."""

    def __init__(self, box_per_s: float, node_per_s: float, burst: float, seed: int) -> None:
        self._box_per_s, self._burst = box_per_s, burst
        self._node = Bucket(node_per_s, burst)
        self._boxes: dict[int, _Box] = {}
        self._queue: dict[int, None] = {}  # boxes that wait for a token, the one that waits longest first
        self._random = Random(seed)
        self.spent = self.shared = self.spared = 0  # sent; joined to one on its way; answered by fresh news
        self._handlers = {
            Wanted: self._wanted, Heard: self._heard, Missed: self._missed, Gone: self._gone,
            Passed: lambda *_: None,
        }  # fmt: skip

    def step(self, now: int, event: Event) -> list[Action]:
        """Take one event at its time and return what to do."""
        self._handlers[type(event)](now, event)
        return self._flush(now)

    def moment(self, now: int, interval: int) -> int:
        """When a source that asks at intervals asks next: apart from all others."""
        return now + int(interval * (1 + JITTER * self._random.uniform(-1, 1)))

    def _of(self, box: int) -> _Box:
        if (found := self._boxes.get(box)) is None:
            found = self._boxes[box] = _Box(Bucket(self._box_per_s, 1.0))
        return found

    def _wanted(self, now: int, event: Wanted) -> None:
        box = self._of(event.box)
        if box.heard >= 0 and now - box.heard <= event.fresh_us:
            self.spared += 1
            return
        if box.out or box.waiting:
            self.shared += event.source not in box.waiting
        box.waiting[event.source] = None
        if not box.out:
            self._queue[event.box] = None

    def _heard(self, now: int, event: Heard) -> None:
        box = self._of(event.box)
        box.heard = now
        box.out = box.out and not event.probe
        if box.waiting:
            self.spared += not event.probe and event.box in self._queue
            box.waiting.clear()
            self._queue.pop(event.box, None)

    def _missed(self, now: int, event: Missed) -> None:
        box = self._of(event.box)
        box.out = False
        box.waiting.clear()

    def _gone(self, now: int, event: Gone) -> None:
        self._boxes.pop(event.box, None)
        self._queue.pop(event.box, None)

    def _flush(self, now: int) -> list[Action]:
        """Send what has a token of its box and of the node; tell when the next may go."""
        actions: list[Action] = []
        later = math.inf
        for number in list(self._queue):
            box = self._boxes[number]
            wait = max(box.bucket.ready_in(now), self._node.ready_in(now))
            if wait:
                later = min(later, now + wait)
                if self._node.tokens < 1:
                    break
                continue
            box.bucket.take()
            self._node.take()
            box.out = True
            self.spent += 1
            del self._queue[number]
            actions.append(Ask(number, tuple(box.waiting)))
        return [*actions, Wake(int(later))] if later < math.inf else actions
