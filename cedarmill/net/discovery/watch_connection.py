"""One connection to discovery, which carries one call for changes of the endpoint list."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, cast

import httptools

from cedarmill.core.discovery_watch import WatchEvent
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import Listing
from cedarmill.net.discovery.list_stream import ListStream
from cedarmill.net.loop import callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS

if TYPE_CHECKING:
    from cedarmill.net.discovery.client import DiscoveryClient


def abort_quietly(transport: asyncio.Transport) -> None:
    """End a connection of which nothing more is wanted, in whatever state its socket is."""
    with contextlib.suppress(*TRANSPORT_ERRORS):
        transport.abort()


class WatchConnection(asyncio.Protocol):
    """One connection to discovery, which carries one call for changes."""

    def __init__(self, client: "DiscoveryClient") -> None:
        self.client, self.driver = client, client.driver
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.lists = ListStream()
        self.body = bytearray()  # of the bytes read at once: one chunk may hold one byte only
        self.listed = False  # whether a list has come: from then on an empty line says that it is the newest
        self.over = False
        self._connecting: asyncio.Task[object] | None = None

    def open(self, address: Address) -> None:
        """Connect to discovery there."""
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self._connecting = self.driver.loop.create_task(opening)
        self._connecting.add_done_callback(self._opened)

    @callback
    def _opened(self, task: "asyncio.Task[object]") -> None:
        self._connecting = None
        if task.cancelled() or task.exception() is not None:
            self.broken("no connection")

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The call can be written."""
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            abort_quietly(self.transport)
            return
        self.client.on_watch_event(WatchEvent.CONNECTED)

    def call(self, index: int) -> None:
        """Ask for what has changed since that version."""
        path = b"/v1/endpoints?watch=1&from=%d" % index
        assert self.transport is not None
        try:
            self.transport.write(b"GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n" % path)
        except TRANSPORT_ERRORS as error:
            self.broken(f"not asked: {error}")

    @callback
    def data_received(self, data: bytes) -> None:
        """Take a part of the answer: lists, and signs of life."""
        if self.over:
            return
        try:
            self.parser.feed_data(data)
            self._take_body()
        except Exception as error:
            self.broken(f"malformed answer: {error.__context__ or error}")
        if not self.over:
            self.client.on_watch_event(
                WatchEvent.PARTIAL_LIST_RECEIVED if self.lists.partial else WatchEvent.DATA_RECEIVED
            )
            if self.listed and not self.lists.partial:
                self.client.current_at = self.driver.now()

    # httptools calls these.

    def on_headers_complete(self) -> None:
        """Any status but 200 is a failure."""
        if self.parser.get_status_code() != 200:
            self.broken(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Keep it until all that was read at once has been parsed."""
        self.body += data

    def on_message_complete(self) -> None:
        """A watch has no end of its own; what is left may be one more list."""
        self._take_body()
        if not self.over:
            self._take(self.lists.finish())
            self.broken("ended by discovery")

    def _take_body(self) -> None:
        """Pass the lists on that are whole."""
        body, self.body = bytes(self.body), bytearray()
        if body and not self.over:
            self._take(self.lists.feed(body))

    def _take(self, listings: list[Listing]) -> None:
        for listing in listings:
            self.client.on_listing(listing)
            self.listed = True

    def eof_received(self) -> None:
        """The loop closes the transport, and connection_lost does the rest."""

    @callback
    def connection_lost(self, error: Exception | None) -> None:
        """The transport has ended."""
        self.broken("connection lost")

    def abort(self) -> None:
        """A callback has raised."""
        self.broken("internal error")

    def broken(self, reason: str) -> None:
        """The connection is of no more use."""
        if not self.over:
            self.client.on_watch_event(WatchEvent.CALL_FAILED, reason)

    def close(self) -> None:
        """The one end of a connection, as the state machine orders it."""
        self.over = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self.transport is not None:
            abort_quietly(self.transport)
