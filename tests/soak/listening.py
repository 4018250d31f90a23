"""What the stand-ins of a soak run that listen have in common."""

import asyncio
from abc import ABC, abstractmethod


class ListeningStandIn(ABC):
    """A stand-in with a listener on a free port of loopback."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        assert self._server is not None
        self._server.close()
        self._abort_connections()

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""

    @abstractmethod
    def _abort_connections(self) -> None:
        """End all connections."""
