"""The discovery client: the list of executors, first as the configuration holds it, then by a watch."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import replace
from random import Random

import httptools

from cedarmill.core.discovery_watch import (
    Action,
    CloseConnection,
    Connect,
    DiscoveryWatch,
    ReportLoss,
    SendCall,
    WatchEvent,
)
from cedarmill.core.dispatch import Dispatch
from cedarmill.core.timers import Timer
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.config import Address, Listing, ListReader, Start
from cedarmill.net.discovery.list_stream import ListStream
from cedarmill.net.loop import EventLoopDriver, callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS
from cedarmill.net.upstream.pool import UpstreamPools

QUIET_US = 30_000_000  # between two lines that tell of a lost watch: a discovery may come and go


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
        self.task: asyncio.Task | None = None

    def open(self, address: Address) -> None:
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self.task = self.driver.loop.create_task(opening)
        self.task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task) -> None:
        self.task = None
        if task.cancelled() or task.exception() is not None:
            self.broken("no connection")

    @callback
    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.over:
            abort_quietly(transport)
            return
        self.client.happened(WatchEvent.CONNECTED)

    def call(self, index: int) -> None:
        """Ask for what has changed since that version."""
        path = b"/v1/endpoints?watch=1&from=%d" % index
        try:
            self.transport.write(b"GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n" % path)
        except TRANSPORT_ERRORS as error:
            self.broken(f"not asked: {error}")

    @callback
    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            self.parser.feed_data(data)
            self._take_body()
        except Exception as error:
            self.broken(f"malformed answer: {error.__context__ or error}")
        if not self.over:
            self.client.happened(
                WatchEvent.PARTIAL_LIST_RECEIVED if self.lists.partial else WatchEvent.DATA_RECEIVED
            )
            if self.listed and not self.lists.partial:
                self.client.current_at = self.driver.now()

    # httptools calls these.

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.broken(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self._take_body()
        if not self.over:
            self._take(self.lists.finish())
            self.broken("ended by discovery")

    def _take_body(self) -> None:
        body, self.body = bytes(self.body), bytearray()
        if body and not self.over:
            self._take(self.lists.feed(body))

    def _take(self, listings: list[Listing]) -> None:
        for listing in listings:
            self.client.news(listing)
            self.listed = True

    def eof_received(self) -> None:
        """The loop closes the transport, and connection_lost does the rest."""

    @callback
    def connection_lost(self, error) -> None:
        self.broken("connection lost")

    def abort(self) -> None:
        self.broken("internal error")

    def broken(self, reason: str) -> None:
        """The connection is of no more use."""
        if not self.over:
            self.client.happened(WatchEvent.CALL_FAILED, reason)

    def close(self) -> None:
        """The one end of a connection, as the state machine orders it."""
        self.over = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            abort_quietly(self.transport)


class DiscoveryClient:
    """Holds the list's version and at most one watch; the dispatch's port to discovery."""

    def __init__(
        self,
        driver: EventLoopDriver,
        settings: api.Settings,
        address: Address,
        backends: UpstreamPools,
        random: Random | None = None,
    ) -> None:
        self.driver, self.address, self.backends = driver, address, backends
        self.dispatch: Dispatch | None = None
        self.reader = ListReader(settings)
        self.index = 0
        self.pushed = not settings.on_request_discovery
        self.watching = DiscoveryWatch(settings.instances, self.pushed, random or Random())
        self.connection: WatchConnection | None = None
        self._deadline: Timer | None = None
        self.told: bool | None = None  # whether the log's last word is that it watches
        self.quiet_until = 0
        self.entries: dict[int, api.EndpointEntry] = {}  # the list as it stands, as discovery tells it
        self.heard: Callable[[], None] | None = None  # called after each news of the list
        self.excluded: dict[str, int] = {}  # out by hand, and since when: to the module they drain
        self.held = False  # nothing may be sent: to the module all drain
        self.hidden: set[str] = set()  # not used by this node, by the fleet's plan: to the module they drain
        self.listed_start: dict[int, int] = {}  # Unix ms, as discovery tells it
        self.current_at: int | None = None  # when discovery last told that the list was the newest

    def first(self, known: Listing) -> None:
        """The list of the configuration; an agent that pushes the list is asked for changes at once."""
        self._tell(known, api.EndpointListKind.CACHED)
        if self.pushed:
            self.watch()

    def inherit(self, starts: dict[str, Start], current_at: int | None) -> None:
        """What the process before this one knew: the executors' starts, and when its list was the newest."""
        self.reader.starts.update(starts)
        self.current_at = current_at

    def news(self, listing: Listing) -> None:
        """A list that the watch has brought."""
        self.watching.list_received()
        if not self.told:
            log_event("watching", index=listing.index, host=self.address.host, port=self.address.port)
            self.told = True
        self._tell(listing, api.EndpointListKind.FULL if listing.snapshot else api.EndpointListKind.DELTA)

    def _tell(self, listing: Listing, kind: api.EndpointListKind) -> None:
        now, entries = self.driver.now(), []
        for endpoint in listing.endpoints:
            entry = self.reader.entry(endpoint, now, self.current_at)
            try:
                self.backends.update(entry.executor, endpoint)
            except ValueError as error:
                log_event("entry-passed-over", name=endpoint.name, reason=error)
                entry = replace(entry, state=api.ExecutorState.DRAINING)  # nothing new goes where it was
            entries.append(entry)
        self.index = listing.index
        if kind != api.EndpointListKind.DELTA:
            self.entries.clear()
        self.entries.update((entry.executor, entry) for entry in entries)
        self.listed_start.update((self.reader.numbers[e.name], e.since_ms) for e in listing.endpoints)
        if kind != api.EndpointListKind.CACHED:
            self.current_at = now
        self.dispatch.on_endpoint_list(now, api.EndpointList(kind, [self._told(entry) for entry in entries]))
        if self.heard is not None:
            self.heard()

    def _told(self, entry: api.EndpointEntry) -> api.EndpointEntry:
        """The entry as the module hears it: one that is out by hand drains."""
        name = self.reader.names.get(entry.executor)
        out = self.held or name in self.excluded or name in self.hidden
        if out and entry.state == api.ExecutorState.READY:
            return replace(entry, state=api.ExecutorState.DRAINING)
        return entry

    def hold(self, held: bool) -> None:
        """Nothing may be sent from now on, or what the list says holds again."""
        if held == self.held:
            return
        self.held = held
        if self.entries:
            news = [self._told(entry) for entry in self.entries.values()]
            self.dispatch.on_endpoint_list(
                self.driver.now(), api.EndpointList(api.EndpointListKind.DELTA, news)
            )

    def hide(self, names: set[str]) -> None:
        """These are not used from now on, others that were hidden are again; none of them was restarted."""
        before, self.hidden = self.hidden, names
        changed = [self.reader.numbers.get(name) for name in sorted(before ^ names)]
        news = [self._told(self.entries[number]) for number in changed if number in self.entries]
        if news:
            self.dispatch.on_endpoint_list(
                self.driver.now(), api.EndpointList(api.EndpointListKind.DELTA, news)
            )

    def knows(self, name: str) -> bool:
        """Whether discovery has named this executor since the start, or the configuration did."""
        return name in self.reader.numbers

    def mark(self, marks: dict[str, int]) -> None:
        """These are out by hand now, since those times (us); the module hears of each that changed.

        One that comes back was restarted by hand while it was out: to the module it is a new process, started
        when the list says, if that is after it went out, else now; an older start says nothing of that.
        """
        now, before, entries = self.driver.now(), self.excluded, []
        self.excluded = marks
        for name in sorted(before.keys() ^ marks.keys()):
            number = self.reader.numbers.get(name)
            if (entry := self.entries.get(number)) is None:
                continue
            if name in before and entry.started_at <= before[name]:
                entry = self.entries[number] = replace(entry, started_at=now)
            entries.append(replace(self._told(entry), by_hand=name in before))
        if entries:
            self.dispatch.on_endpoint_list(now, api.EndpointList(api.EndpointListKind.DELTA, entries))

    def watch(self) -> None:
        """Ask for changes from now on, and again whenever the watch is lost."""
        self.happened(WatchEvent.LIST_WANTED)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now and may count otherwise: the list is out of date till all of it came."""
        self.address, self.index, self.told, self.quiet_until = address, 0, None, 0
        self.current_at = None  # the new one may know executors that the old one never named
        self.happened(WatchEvent.ADDRESS_CHANGED)
        news = api.EndpointList(
            api.EndpointListKind.CACHED, [self._told(entry) for entry in self.entries.values()]
        )
        self.dispatch.on_endpoint_list(self.driver.now(), news)

    def happened(self, event: WatchEvent, reason: str = "") -> None:
        """Let the state machine take an event, and carry out what it orders."""
        before = self.watching.deadline
        actions = self.watching.step(self.driver.now(), event)
        if self.watching.deadline != before:  # first: whatever fails below, the watch is asked for again
            self.driver.timers.cancel(self._deadline)
            self._deadline = self.driver.timers.add(self.watching.deadline, self._due)
        for action in actions:
            self._do(action, reason)

    def _due(self, now: int) -> None:
        self.happened(WatchEvent.TIMER_FIRED)

    def _do(self, action: Action, reason: str) -> None:
        match action:
            case Connect():
                self._connect(paid=action.requested)
            case SendCall():
                self.connection.call(self.index)
            case CloseConnection():
                self._close()
            case ReportLoss():
                self._lost(action.reason or reason)

    def _connect(self, paid: bool) -> None:
        """Open a connection, if this node may call; what the dispatch asked for it has paid already."""
        if not (paid or self.dispatch.may_call_discovery(self.driver.now())):
            self.happened(WatchEvent.CALL_FAILED, "no list call left to this node by the fleet's budget")
            return
        self.connection = WatchConnection(self)
        self.connection.open(self.address)

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def _lost(self, reason: str) -> None:
        """Tell the log, late if it stays lost."""
        now = self.driver.now()
        if self.told is not False and now >= self.quiet_until:
            log_event("watch-lost", reason=reason)
            self.told, self.quiet_until = False, now + QUIET_US
