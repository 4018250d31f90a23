"""Links between processes: a proxy of our own for each pair, each direction with faults of its own.

A process only sees an address.
"""

import asyncio
import contextlib
from typing import cast

import numpy

from cedarmill.lab.cluster.link_pipes import Direction, LinkFault, Pipe
from cedarmill.lab.experiment import random_generator
from cedarmill.lab.listener import LOOPBACK, listen_on_loopback, port_of

__all__ = ["Direction", "Link", "LinkFault", "Links"]

ANY = "*"  # stands for any process


class LinkEnd(asyncio.Protocol):
    """One end of a connection through a link: what comes in goes into its pipe."""

    transport: asyncio.Transport

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: there is a connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Asyncio: bytes have come in."""
        self.pipe.put(data)

    def connection_lost(self, error: Exception | None) -> None:
        """The end is told to the other side as the data before it is: a cut hides it too."""
        self.pipe.put(None)


class DialledEnd(LinkEnd):
    """The end at which a process has dialled the link."""

    def __init__(self, link: "Link") -> None:
        super().__init__(Pipe(link.forward))
        self.link, self.back = link, Pipe(link.backward)
        self._opening: asyncio.Future[tuple[asyncio.Transport, LinkEnd]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: there is a connection; open the one to the process behind the link."""
        super().connection_made(transport)
        self.back.output = self.pipe.input = self.transport
        host, port = self.link.upstream
        opening = asyncio.get_running_loop().create_connection(lambda: LinkEnd(self.back), host, port)
        self._opening = asyncio.ensure_future(opening)  # the connection's, whatever it will carry
        self._opening.add_done_callback(self._on_opened)

    def _on_opened(self, opening: "asyncio.Future[tuple[asyncio.Transport, LinkEnd]]") -> None:
        if opening.cancelled() or opening.exception() is not None:
            if not (self.link.forward.faults or self.link.backward.faults):
                self.transport.abort()  # the process there is gone: refused
            return
        transport, _ = opening.result()
        self.pipe.output = self.back.input = transport
        self.pipe.flow()

    def connection_lost(self, error: Exception | None) -> None:
        """Asyncio: the connection has ended."""
        super().connection_lost(error)
        if self.pipe.output is None:
            self.pipe.end()


class Link:
    """The way from one process to another, both directions."""

    def __init__(
        self, source: str, target: str, upstream: tuple[str, int], seed: numpy.random.SeedSequence
    ) -> None:
        forward, backward = map(random_generator, seed.spawn(2))
        self.upstream = upstream
        self.forward = Direction(source, target, forward)
        self.backward = Direction(target, source, backward)
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free loopback port; raises OSError."""
        self._server = await listen_on_loopback(lambda: DialledEnd(self))
        self.port = port_of(self._server)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for direction in (self.forward, self.backward):
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
        return f"{LOOPBACK}:{link.port}"

    def directions(self, source: str, target: str) -> list[Direction]:
        """What carries bytes from one to the other, whoever dialled; `*` stands for any."""
        return [
            direction
            for link in self.links.values()
            for direction in (link.forward, link.backward)
            if source in (ANY, direction.source) and target in (ANY, direction.target)
        ]

    def close(self) -> None:
        """Close all."""
        for link in self.links.values():
            with contextlib.suppress(OSError):
                link.close()
