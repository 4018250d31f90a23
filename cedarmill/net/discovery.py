"""The discovery client: the list of executors, first as the configuration holds it, then by a watch."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import httptools
import msgspec

from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions import interface as api
from cedarmill.log import say
from cedarmill.net.backends import Backends
from cedarmill.net.config import Address, Listing, ListReader
from cedarmill.net.turn import Turn, callback

CONNECT_US = 1_000_000
CALL_US = 3_500_000  # for a call to be answered: calls wait their turn
SILENCE_US = 3_500_000  # without a line: an empty one comes every 2 s
QUIET_US = 30_000_000  # between two lines that tell of a lost watch: a discovery may come and go
MAX_LINE = 4 * 1024 * 1024
_LISTING = msgspec.json.Decoder(Listing)


class Watch(asyncio.Protocol):
    """One call for changes; it lasts until its connection ends."""

    def __init__(self, discovery: "DiscoveryClient", index: int) -> None:
        self.discovery, self.turn, self.index = discovery, discovery.turn, index
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.over = False
        self.deadline = None
        self.task: asyncio.Task | None = None

    def open(self, address: Address) -> None:
        self._await(CONNECT_US)
        opening = self.turn.loop.create_connection(lambda: self, address.host, address.port)
        self.task = self.turn.loop.create_task(opening)
        self.task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task) -> None:
        self.task = None
        if task.cancelled() or task.exception() is not None:
            self.end("no connection")

    @callback
    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.over:
            transport.abort()
            return
        self._await(CALL_US)
        path = b"/v1/endpoints?watch=1&from=%d" % self.index
        transport.write(b"GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n" % path)

    @callback
    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self._await(SILENCE_US)
        try:
            self.parser.feed_data(data)
        except Exception as error:
            self.end(f"malformed answer: {error.__context__ or error}")

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.end(f"status {self.parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        if self.over:
            return
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line, self.buffer = bytes(self.buffer[:end]), self.buffer[end + 1 :]
            if line.strip():
                self.discovery.news(_LISTING.decode(line))
        if len(self.buffer) > MAX_LINE:
            raise ValueError("a line is too long")

    def on_message_complete(self) -> None:
        self.end("ended by discovery")

    def eof_received(self) -> None:
        """The loop closes the transport, and connection_lost does the rest."""

    @callback
    def connection_lost(self, error) -> None:
        self.end("connection lost")

    def abort(self) -> None:
        self.end("internal error")

    def _await(self, wait: int) -> None:
        self.turn.deadlines.cancel(self.deadline)
        self.deadline = self.turn.deadlines.add(self.turn.now() + wait, lambda now: self.end("silence"))

    def end(self, reason: str) -> None:
        """The one end of a watch."""
        if self.over:
            return
        self.over = True
        self.turn.deadlines.cancel(self.deadline)
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.discovery.lost(self, reason)


class DiscoveryClient:
    """Holds the list's version and at most one watch; the dispatch's port to discovery."""

    def __init__(self, turn: Turn, settings: api.Settings, address: Address, backends: Backends) -> None:
        self.turn, self.address, self.backends = turn, address, backends
        self.dispatch: Dispatch | None = None
        self.reader = ListReader(settings)
        self.index = 0
        self.current: Watch | None = None
        self.told: bool | None = None  # whether the log's last word is that it watches
        self.quiet_until = 0
        self.entries: dict[int, api.WorkerEntry] = {}  # the list as it stands, as discovery tells it
        self.heard: Callable[[], None] | None = None  # called after each news of the list
        self.excluded: dict[str, int] = {}  # out by hand, and since when: to the module they drain
        self.held = False  # nothing may be sent: to the module all drain
        self.hidden: set[str] = set()  # not used by this node, by the fleet's plan: to the module they drain
        self.listed_start: dict[int, int] = {}  # Unix ms, as discovery tells it

    def first(self, known: Listing) -> None:
        """The list of the configuration."""
        self._tell(known, api.ListKind.CACHED)

    def news(self, listing: Listing) -> None:
        """A line of the watch."""
        if not self.told:
            say("watching", index=listing.index, host=self.address.host, port=self.address.port)
            self.told = True
        self._tell(listing, api.ListKind.FULL if listing.snapshot else api.ListKind.DELTA)

    def _tell(self, listing: Listing, kind: api.ListKind) -> None:
        entries = []
        for endpoint in listing.endpoints:
            entry = self.reader.entry(endpoint)
            try:
                self.backends.update(entry.worker, endpoint)
            except ValueError as error:
                say("entry-passed-over", name=endpoint.name, reason=error)
                continue
            entries.append(entry)
        self.index = listing.index
        if kind != api.ListKind.DELTA:
            self.entries.clear()
        self.entries.update((entry.worker, entry) for entry in entries)
        self.listed_start.update((self.reader.numbers[e.name], e.since_ms) for e in listing.endpoints)
        self.dispatch.listed(self.turn.now(), api.WorkerList(kind, [self._told(entry) for entry in entries]))
        if self.heard is not None:
            self.heard()

    def _told(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """The entry as the module hears it: one that is out by hand drains."""
        name = self.reader.names.get(entry.worker)
        out = self.held or name in self.excluded or name in self.hidden
        if out and entry.state == api.WorkerState.READY:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def hold(self, held: bool) -> None:
        """Nothing may be sent from now on, or what the list says holds again."""
        if held == self.held:
            return
        self.held = held
        if self.entries:
            news = [self._told(entry) for entry in self.entries.values()]
            self.dispatch.listed(self.turn.now(), api.WorkerList(api.ListKind.DELTA, news))

    def hide(self, names: set[str]) -> None:
        """These are not used from now on, others that were hidden are again; none of them was restarted."""
        before, self.hidden = self.hidden, names
        changed = [self.reader.numbers.get(name) for name in sorted(before ^ names)]
        news = [self._told(self.entries[number]) for number in changed if number in self.entries]
        if news:
            self.dispatch.listed(self.turn.now(), api.WorkerList(api.ListKind.DELTA, news))

    def knows(self, name: str) -> bool:
        """Whether discovery has named this executor since the start, or the configuration did."""
        return name in self.reader.numbers

    def mark(self, marks: dict[str, int]) -> None:
        """These are out by hand now, since those times (us); the module hears of each that changed.

        One that comes back was restarted by hand while it was out: to the module it is a new process, started
        when the list says, if that is after it went out, else now; an older start says nothing of that.
        """
        now, before, entries = self.turn.now(), self.excluded, []
        self.excluded = marks
        for name in sorted(before.keys() ^ marks.keys()):
            number = self.reader.numbers.get(name)
            if (entry := self.entries.get(number)) is None:
                continue
            if name in before and entry.started_at <= before[name]:
                entry = self.entries[number] = replace(entry, started_at=now)
            entries.append(replace(self._told(entry), by_hand=name in before))
        if entries:
            self.dispatch.listed(now, api.WorkerList(api.ListKind.DELTA, entries))

    def watch(self) -> None:
        """The dispatch asks for changes from now on; a watch that lives already brings them."""
        if self.current is None:
            self.current = Watch(self, self.index)
            self.current.open(self.address)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now and may count otherwise: the list is out of date till all of it came."""
        before, self.current = self.current, None
        if before is not None:
            before.end("moved")
        self.address, self.index, self.told, self.quiet_until = address, 0, None, 0
        news = api.WorkerList(api.ListKind.CACHED, [self._told(entry) for entry in self.entries.values()])
        self.dispatch.listed(self.turn.now(), news)

    def lost(self, watch: Watch, reason: str) -> None:
        """The brain learns of it, and asks again when it sees fit."""
        if watch is not self.current:
            return
        self.current = None
        now = self.turn.now()
        if self.told is not False and now >= self.quiet_until:  # told late, if it stays lost
            say("watch-lost", reason=reason)
            self.told, self.quiet_until = False, now + QUIET_US
        self.dispatch.listed(now, api.WorkerList(api.ListKind.FAILED, []))
