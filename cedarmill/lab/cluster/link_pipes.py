"""What flows one way through a link, and the faults that a direction suffers.

TCP loses nothing, so what a network drops shows as a wait for its being sent again; what is cut is held and
comes when the cut ends, unless an end gives the connection up before.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

import numpy

RESEND_S = 0.2  # a lost segment is sent again after that, doubled for each further loss
MAX_RESENDS = 6  # losses in a row that a segment may meet


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What one direction suffers: drop, delay, reset, half-open, trickle or cut.

    `size` is a share (drop), seconds (delay) or bytes a second (trickle).
    """

    kind: str
    size: float = 0.0
    jitter: float = 0.0  # seconds, evenly on top of `delay`


class Direction:
    """One direction of a link: the faults that hold now, and the pipes that suffer them."""

    def __init__(self, source: str, target: str, random: numpy.random.Generator) -> None:
        self.source, self.target, self.random = source, target, random
        self.faults: dict[str, LinkFault] = {}
        self.pipes: set[Pipe] = set()
        self.carried = 0  # bytes

    def begin(self, fault: LinkFault) -> None:
        """The fault holds from now on."""
        self.faults[fault.kind] = fault
        for pipe in list(self.pipes):
            if fault.kind == "reset":
                pipe.abort()
            elif fault.kind == "half-open":
                pipe.dead = True  # for good: neither end is told

    def lift(self, kind: str) -> None:
        """The fault ends; what was held flows on."""
        self.faults.pop(kind, None)
        for pipe in list(self.pipes):
            pipe.flow()

    def delay(self, size: int) -> float:
        """Seconds that a piece of that many bytes takes."""
        delay_s = 0.0
        if (fault := self.faults.get("delay")) is not None:
            delay_s += fault.size + float(self.random.random()) * fault.jitter
        if (fault := self.faults.get("drop")) is not None:
            for losses in range(MAX_RESENDS):
                if self.random.random() >= fault.size:
                    break
                delay_s += RESEND_S * 2**losses
        if (fault := self.faults.get("trickle")) is not None:
            delay_s += size / fault.size
        return delay_s


class HeldPiece(NamedTuple):
    """What waits in a pipe: when it is due (the loop's time), and its bytes; None: the end."""

    due: float
    data: bytes | None


class Pipe:
    """What flows one way on one connection, in order."""

    def __init__(self, direction: Direction) -> None:
        self.direction = direction
        self.held: deque[HeldPiece] = deque()
        self.input: asyncio.Transport | None = None  # from which pieces come
        self.output: asyncio.Transport | None = None
        self.dead = False
        self._last_due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        direction.pipes.add(self)

    def put(self, data: bytes | None) -> None:
        """A piece has come in."""
        if "reset" in self.direction.faults:
            self.abort()
            return
        due = asyncio.get_running_loop().time() + self.direction.delay(len(data or b""))
        self._last_due = max(self._last_due, due)  # in order
        self.held.append(HeldPiece(self._last_due, data))
        self.flow()

    def flow(self) -> None:
        """Pass on what is due, unless the direction is cut."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.output is None or self.dead or "cut" in self.direction.faults:
            return
        while self.held and self.held[0].due <= loop.time():
            self._pass_on(self.output, self.held.popleft().data)
        if self.held:
            self._timer = loop.call_at(self.held[0].due, self.flow)

    def _pass_on(self, output: asyncio.Transport, data: bytes | None) -> None:
        if output.is_closing():
            return
        if data is None:
            output.close()
        else:
            self.direction.carried += len(data)
            output.write(data)

    def abort(self) -> None:
        """Reset the connection at both ends."""
        for transport in (self.output, self.input):
            if transport is not None:
                transport.abort()

    def end(self) -> None:
        """Nothing flows any more."""
        self.direction.pipes.discard(self)
        if self._timer is not None:
            self._timer.cancel()
