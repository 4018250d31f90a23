"""Links between processes: a proxy of our own for each pair, each direction with faults of its own.

A process only sees an address. TCP loses nothing, so what a network drops shows as a wait for its being sent
again; what is cut is held and comes when the cut ends, unless an end gives the connection up before.
"""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass

import numpy

RESEND_S = 0.2  # a lost segment is sent again after that, doubled for each further loss
MOST_RESENT = 6  # losses in a row that a segment may meet
KINDS = ("drop", "delay", "reset", "half-open", "trickle", "cut")


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What one direction suffers: `size` is a share (drop), seconds (delay) or bytes a second (trickle)."""

    kind: str
    size: float = 0.0
    jitter: float = 0.0  # seconds, evenly on top of `delay`


class Direction:
    """One direction of a link: the faults that hold now, and the pipes that suffer them."""

    def __init__(self, source: str, target: str, dice: numpy.random.Generator) -> None:
        self.source, self.target, self.dice = source, target, dice
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

    def wait(self, size: int) -> float:
        """Seconds that a piece of that many bytes takes."""
        wait = 0.0
        if (fault := self.faults.get("delay")) is not None:
            wait += fault.size + float(self.dice.random()) * fault.jitter
        if (fault := self.faults.get("drop")) is not None:
            for again in range(MOST_RESENT):
                if self.dice.random() >= fault.size:
                    break
                wait += RESEND_S * 2**again
        if (fault := self.faults.get("trickle")) is not None:
            wait += size / fault.size
        return wait


class Pipe:
    """What flows one way on one connection, in order."""

    def __init__(self, direction: Direction) -> None:
        self.direction = direction
        self.held: deque[tuple[float, bytes | None]] = deque()  # when due, and a piece; None: the end
        self.out: asyncio.Transport | None = None
        self.twin: End | None = None
        self.dead = False
        self._last = 0.0
        self._timer: asyncio.TimerHandle | None = None
        direction.pipes.add(self)

    def take(self, piece: bytes | None) -> None:
        """A piece has come in."""
        if "reset" in self.direction.faults:
            self.abort()
            return
        now = asyncio.get_running_loop().time()
        self._last = max(self._last, now + self.direction.wait(len(piece or b"")))  # in order
        self.held.append((self._last, piece))
        self.flow()

    def flow(self) -> None:
        """Pass on what is due, unless the direction is cut."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.out is None or self.dead or "cut" in self.direction.faults:
            return
        while self.held and self.held[0][0] <= loop.time():
            _, piece = self.held.popleft()
            if self.out.is_closing():
                continue
            if piece is None:
                self.out.close()
            else:
                self.direction.carried += len(piece)
                self.out.write(piece)
        if self.held:
            self._timer = loop.call_at(self.held[0][0], self.flow)

    def abort(self) -> None:
        """Reset the connection at both ends."""
        for transport in (self.out, self.twin.transport if self.twin else None):
            if transport is not None:
                transport.abort()

    def end(self) -> None:
        self.direction.pipes.discard(self)
        if self._timer is not None:
            self._timer.cancel()


class End(asyncio.Protocol):
    """One end of a connection through a link: what comes in goes into its pipe."""

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.pipe.take(data)

    def connection_lost(self, error) -> None:
        """The end is told to the other side as the data before it is: a cut hides it too."""
        self.pipe.take(None)


class Near(End):
    """The end at which a process has dialled the link."""

    def __init__(self, link: "Link") -> None:
        super().__init__(Pipe(link.there))
        self.link, self.back = link, Pipe(link.back)
        self._task: asyncio.Task | None = None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.back.out = transport
        self.pipe.twin = self
        host, port = self.link.upstream
        opening = asyncio.get_running_loop().create_connection(lambda: End(self.back), host, port)
        self._task = asyncio.ensure_future(opening)  # the connection's, whatever it will carry
        self._task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            if not (self.link.there.faults or self.link.back.faults):
                self.transport.abort()  # the process there is gone: refused
            return
        far, end = task.result()
        self.pipe.out, self.back.twin = far, end
        self.pipe.flow()

    def connection_lost(self, error) -> None:
        super().connection_lost(error)
        if self.pipe.out is None:
            self.pipe.end()


class Link:
    """The way from one process to another, both directions."""

    def __init__(
        self, source: str, target: str, upstream: tuple[str, int], seed: numpy.random.SeedSequence
    ) -> None:
        there, back = (numpy.random.Generator(numpy.random.PCG64(one)) for one in seed.spawn(2))
        self.upstream = upstream
        self.there = Direction(source, target, there)
        self.back = Direction(target, source, back)
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free loopback port; raises OSError."""
        self._server = await asyncio.get_running_loop().create_server(lambda: Near(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        self._server.close()
        for direction in (self.there, self.back):
            for pipe in list(direction.pipes):
                pipe.abort()
                pipe.end()


class Links:
    """All links of a run, made when they are first asked for."""

    def __init__(self, seed: numpy.random.SeedSequence) -> None:
        self.seed = seed
        self.links: dict[tuple[str, str], Link] = {}

    async def address(self, source: str, target: str, upstream: str) -> str:
        """The address by which `source` reaches `target`, which listens at `upstream`."""
        host, _, port = upstream.rpartition(":")
        link = self.links.get((source, target))
        if link is None:
            link = self.links[source, target] = Link(source, target, (host, int(port)), self.seed.spawn(1)[0])
            await link.open()
        link.upstream = host, int(port)
        return f"127.0.0.1:{link.port}"

    def directions(self, source: str, target: str) -> list[Direction]:
        """What carries bytes from one to the other, whoever dialled; `*` stands for any."""
        found = []
        for link in self.links.values():
            for way in (link.there, link.back):
                if source in ("*", way.source) and target in ("*", way.target):
                    found.append(way)
        return found

    def close(self) -> None:
        for link in self.links.values():
            with contextlib.suppress(OSError):
                link.close()
