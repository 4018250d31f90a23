"""Connection to discovery that carries one watch call for changes of the endpoint list."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, cast

import httptools

from cedarmill.core.discovery_watch import WatchEvent
from cedarmill.core.memory_budget import MessageKind
from cedarmill.net.config import Address
from cedarmill.net.discovery.endpoints import Listing
from cedarmill.net.discovery.list_stream import ListStream, list_limit_bytes
from cedarmill.net.loop import guarded_callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS

if TYPE_CHECKING:
    from cedarmill.net.discovery.client import DiscoveryClient


def abort_ignoring_errors(transport: asyncio.Transport) -> None:
    """Abort a transport, whatever state its socket is in."""
    with contextlib.suppress(*TRANSPORT_ERRORS):
        transport.abort()


class WatchConnection(asyncio.Protocol):
    """A connection to discovery that carries one watch call and parses its answer."""

    def __init__(self, client: "DiscoveryClient") -> None:
        self.client, self.driver = client, client.driver
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.lists = ListStream(list_limit_bytes(client.memory.share_bytes))
        self.body = bytearray()  # chunks of one read, which may be single bytes, collected for one pass
        # Set after the first list; from then on an empty line confirms that the list is up to date.
        self.has_listing = False
        self.closed = False
        self._connecting: asyncio.Task[object] | None = None

    def open(self, address: Address) -> None:
        """Connect to discovery at `address`."""
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self._connecting = self.driver.loop.create_task(opening)
        self._connecting.add_done_callback(self._opened)

    @guarded_callback
    def _opened(self, task: "asyncio.Task[object]") -> None:
        self._connecting = None
        if task.cancelled() or task.exception() is not None:
            self.fail("no connection")

    @guarded_callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection to the client, which sends the call."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            abort_ignoring_errors(self.transport)
            return
        self.client.on_watch_event(WatchEvent.CONNECTED)

    def send_call(self, index: int) -> None:
        """Send the call for changes since list version `index`."""
        path = b"/v1/endpoints?watch=1&from=%d" % index
        assert self.transport is not None
        try:
            self.transport.write(b"GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n" % path)
        except TRANSPORT_ERRORS as error:
            self.fail(f"call not sent: {error}")

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer, which holds lists and empty keep-alive lines."""
        if self.closed:
            return
        try:
            self.parser.feed_data(data)
            self._process_body()
        except Exception as error:
            self.fail(f"malformed answer: {error.__context__ or error}")
        if not self.closed:
            self.client.memory.update(self, self.driver.now())
            self.client.on_watch_event(
                WatchEvent.PARTIAL_LIST_RECEIVED if self.lists.has_partial_list else WatchEvent.DATA_RECEIVED
            )
            if self.has_listing and not self.lists.has_partial_list:
                self.client.list_current_at = self.driver.now()

    # Callbacks of httptools.

    def on_headers_complete(self) -> None:
        """Treat any status other than 200 as a failure."""
        if self.parser.get_status_code() != 200:
            self.fail(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        """Collect the chunk until all bytes of this read are parsed."""
        self.body += data

    def on_message_complete(self) -> None:
        """Deliver a remaining list, then fail: a watch normally has no end."""
        self._process_body()
        if not self.closed:
            self._deliver(self.lists.finish())
            self.fail("ended by discovery")

    def _process_body(self) -> None:
        """Deliver the lists that the collected chunks complete."""
        body, self.body = bytes(self.body), bytearray()
        if body and not self.closed:
            self._deliver(self.lists.feed(body))

    def _deliver(self, listings: list[Listing]) -> None:
        for listing in listings:
            self.client.on_listing(listing)
            self.has_listing = True

    def held_bytes(self) -> int:
        """Return the bytes that are kept of an incomplete list."""
        return self.lists.held_bytes

    def message_kind(self) -> MessageKind:
        """Return the kind of the messages that are kept."""
        return MessageKind.ENDPOINT_LIST

    def end_costly_message(self) -> bool:
        """Keep the list, without which drains would not be known; it has a limit of its own."""
        return False

    def eof_received(self) -> None:
        """Leave the closing to the event loop, which calls connection_lost."""

    @guarded_callback
    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the transport."""
        self.fail("connection lost")

    def abort(self) -> None:
        """Fail after an exception in a callback."""
        self.fail("internal error")

    def fail(self, reason: str) -> None:
        """Report the failure, upon which the client closes the connection."""
        if not self.closed:
            self.client.on_watch_event(WatchEvent.CALL_FAILED, reason)

    def close(self) -> None:
        """Close the connection, as ordered by the state machine."""
        self.closed = True
        self.client.memory.remove(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self.transport is not None:
            abort_ignoring_errors(self.transport)
