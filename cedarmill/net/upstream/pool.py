"""A pool of HTTP/1.1 connections to each executor, which carry exchanges (net/upstream/exchange.py)."""

import asyncio
import errno

import httptools

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.requests import Attempt, Probe
from cedarmill.core.timers import Timer
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.config import Address, Endpoint
from cedarmill.net.loop import EventLoopDriver, callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS, hung_up
from cedarmill.net.upstream.exchange import AttemptExchange, Exchange, ProbeExchange, RelayedAttemptExchange
from cedarmill.values import KindOptions, Options

IDLE_SHARE = 0.5  # of the time after which the executor's machine closes an idle connection
COMMIT_US = 2_000  # between an unsafe attempt but for its last byte, and that byte
PLACE_US = 20_000  # till it is asked again whether the fleet has a place for a connection
WARY_US = 30_000_000  # after a kept connection broke under a request, unsafe attempts go out on new ones
LATE_ANSWER_US = 50_000  # a second answer may come so long after the first: it must not meet the next request
MAX_ANSWER = 1024 * 1024  # bytes of one answer, with all its lines
AT_ONCE = 8 * 1024  # bytes that the system's buffer takes at once; of more the last byte is held back
LEAVE_US = 50_000  # for a request's last byte to leave: the time that it tells was reckoned before
ABORT_AGAIN_US = 20_000  # till a transport that could not be aborted is tried again
# connect fails so for want of descriptors, memory or ports of this machine: that says nothing of the executor
OWN_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
TAIL_US = 1_000_000  # for an answer's message to end after its last line


class UpstreamConnection(asyncio.Protocol):
    """One connection to a backend: opening, then busy with one exchange or idle in the pool."""

    def __init__(self, backend: "UpstreamPool", exchange: Exchange) -> None:
        self.backend, self.driver = backend, backend.backends.driver
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = exchange
        exchange.connection = self
        self.last = b""  # of the request, while it is held back
        self.kept = False  # whether it has served before
        self.handed = False  # whether the exchange's last byte was given to the transport: it may leave
        self.written = False  # whether it has left
        self.complete = self.keep_alive = False
        self.closed = False
        self.opened_at = self.rested_at = 0
        self.answer_bytes = 0
        self.deadline: Timer | None = None
        self.text_at = 0  # when the request's text was made, and the time that it tells
        self.leaving: Timer | None = None  # of what the system has not taken yet
        self.task: asyncio.Task | None = None

    def open(self) -> None:
        """Connect; the task is this connection's, whatever it will carry.

        Where the fleet has no place for one more, it waits for that, as long as what it carries has time.
        """
        driver = self.driver
        self.opened_at = driver.now()
        if not self.backend.backends.dispatch.may_connect(self.opened_at):
            self.deadline = driver.timers.add(self.opened_at + PLACE_US, lambda now: self.open())
            return
        wait = self.backend.backends.settings.connect_timeout_us
        self.deadline = driver.timers.add(driver.now() + wait, lambda now: self.abort())
        host, port = self.backend.address.host, self.backend.address.port
        opening = driver.loop.create_connection(lambda: self, host, port)
        self.task = driver.loop.create_task(opening)
        self.task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task) -> None:
        self.task = None
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None:
            own = isinstance(error, OSError) and error.errno in OWN_ERRORS
            self._lost(Outcome.DROPPED if own else Outcome.CONNECT_FAILED)

    @callback
    def connection_made(self, transport) -> None:
        self.driver.timers.cancel(self.deadline)
        self.transport = transport
        if self.closed:
            self._abort_transport()
            return
        try:
            transport.set_write_buffer_limits(high=0)  # resume_writing then tells that all has left
        except TRANSPORT_ERRORS:  # it has broken meanwhile
            self.abort()
            return
        trip = self.driver.now() - self.opened_at
        self.backend.backends.dispatch.deadline_tracker.margins.record_round_trip(self.backend.number, trip)
        exchange, self.exchange = self.exchange, None
        self.carry(exchange)

    def carry(self, exchange: Exchange) -> None:
        """Send an exchange out, if it still may be sent."""
        now = self.driver.now()
        self.driver.timers.cancel(self.deadline)
        outcome = exchange.barred(now)
        if outcome is not None:
            self._rest()
            exchange.finish(now, outcome)
            return
        text = exchange.request(now)
        self.exchange, exchange.connection = exchange, self
        self.handed = self.written = self.complete = False
        self.answer_bytes, self.text_at = 0, now
        if not exchange.unsafe and len(text) <= AT_ONCE:
            self._write(text)
            return
        # a break that the request itself brings about comes before its last byte: then it never ran; and
        # what leaves slowly may lose its right meanwhile
        self.last = text[-1:]
        self._write(text[:-1])
        if not self.closed:
            wait = COMMIT_US if exchange.unsafe else 0
            self.deadline = self.driver.timers.add(now + wait, self._commit)

    def _write(self, text: bytes) -> None:
        """Hand bytes to the transport, and give up what it does not let go of in time."""
        try:
            self.transport.write(text)
            waiting = self.transport.get_write_buffer_size() > 0
        except TRANSPORT_ERRORS:  # it has broken: nothing of this has left
            self.abort()
            return
        if self.last or self.transport.is_closing():  # closing: it broke, and connection_lost comes
            return
        self.handed = True
        if waiting:
            self.leaving = self.driver.timers.add(self.text_at + LEAVE_US, lambda now: self.abort())
        else:
            self._has_left()

    def _has_left(self) -> None:
        self.driver.timers.cancel(self.leaving)
        self.written = True
        if self.exchange is not None:
            self.exchange.on_written(self.driver.now())

    def _commit(self, now: int) -> None:
        """Send the last byte once the rest has left, if the attempt still may be sent."""
        exchange = self.exchange
        outcome = Outcome.DROPPED if now - self.text_at > LEAVE_US else exchange.barred(now)
        if outcome is not None:
            self.abort_quietly()
            exchange.finish(now, outcome)
        elif self.transport.get_write_buffer_size():
            self.deadline = self.driver.timers.add(now + COMMIT_US, self._commit)
        else:
            last, self.last = self.last, b""
            self._write(last)

    def resume_writing(self) -> None:
        """All that was written has left."""
        if self.handed and not self.written:
            self._has_left()

    @callback
    def data_received(self, data: bytes) -> None:
        if self.exchange is None:  # nothing was asked
            self.abort()
            return
        exchange, whole = self.exchange, True
        try:
            self.parser.feed_data(data)
        except Exception:  # an answer that is no HTTP, or not of this protocol
            whole = False
        self.answer_bytes += len(data)
        if self.answer_bytes > MAX_ANSWER:  # it need never end
            whole = False
        now = self.driver.now()
        if not whole:
            self.abort_quietly()
        elif self.complete:  # free before the brain hears of it: it may send here at once
            if self.keep_alive and self.written and not self.transport.is_closing():
                self._rest()
            else:
                self.abort_quietly()
        elif exchange.ending and not exchange.told:  # the end of the message is all that may still come
            self.driver.timers.cancel(self.deadline)
            self.deadline = self.driver.timers.add(now + TAIL_US, lambda now: self.abort())
        if exchange.ending or not whole:
            exchange.finish(now, *(exchange.ending or (Outcome.RESET,)))

    # httptools calls these.

    def on_message_begin(self) -> None:
        if self.complete:
            raise ValueError("a second answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.exchange.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.exchange.status = self.parser.get_status_code()
        self.exchange.on_head()

    def on_body(self, data: bytes) -> None:
        self.exchange.on_body(data)

    def on_message_complete(self) -> None:
        self.keep_alive = self.parser.should_keep_alive()  # told only here: afterwards it is always false
        self.exchange.on_complete()
        self.complete = True

    # Its end.

    @callback
    def eof_received(self) -> None:
        """The other side has closed: out of the pool at once, and nothing more leaves on it."""
        if self.exchange is not None and not self.written:
            self.abort()  # or the loop would first let all leave that it still holds
        self.backend.drop(self)

    @callback
    def connection_lost(self, error) -> None:
        self._lost()
        self.parser = None  # or the cycle with it would stay till a full collection

    def _lost(self, unopened: Outcome = Outcome.CONNECT_FAILED) -> None:
        """The one end that what it carries hears of; `unopened`: what it means where it never came up."""
        exchange = self.exchange
        self.abort_quietly()
        if exchange is None:
            return
        now = self.driver.now()
        if self.kept and not exchange.status:
            self.backend.backends.wary_until = now + WARY_US
        if self.transport is None:
            exchange.finish(now, unopened)
        else:
            exchange.finish(now, Outcome.RESET if self.handed else Outcome.DROPPED)

    def abort_quietly(self) -> None:
        """End the connection; what it carries is told nothing."""
        self.exchange, self.closed = None, True
        self._cancel_timers()
        self.backend.drop(self)
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self._abort_transport()

    def _cancel_timers(self) -> None:
        self.driver.timers.cancel(self.deadline)
        self.driver.timers.cancel(self.leaving)

    def _abort_transport(self, now: int = 0) -> None:
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:  # its descriptor must not stay
            self.driver.timers.add(self.driver.now() + ABORT_AGAIN_US, self._abort_transport)

    def abort(self) -> None:
        """End the connection, and what it carries with it."""
        if not self.closed:
            self._lost()

    def end_sending(self) -> None:
        """Give up what it carries by ending the sending: the backend stops, and closes."""
        self.exchange = None
        self._cancel_timers()
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.abort_quietly()
            return
        self.deadline = self.driver.timers.add(self.driver.now() + TAIL_US, lambda now: self.abort())

    def _rest(self) -> None:
        """Into the pool."""
        self.exchange, self.kept = None, True
        self.rested_at = self.driver.now()
        self.backend.idle.append(self)
        wait = int(self.backend.backends.settings.conn_idle_us * IDLE_SHARE)
        self.deadline = self.driver.timers.add(self.rested_at + wait, lambda now: self.abort())

    def rested(self, now: int) -> bool:
        """Whether no second answer to its last request can come any more."""
        return now - self.rested_at >= LATE_ANSWER_US


class UpstreamPool:
    """One executor, with its pool: the connection used last is used first."""

    def __init__(self, backends: "UpstreamPools", number: int, address: Address, kind: KindOptions) -> None:
        self.backends, self.number, self.address, self.kind = backends, number, address, kind
        self.connections: set[UpstreamConnection] = set()
        self.idle: list[UpstreamConnection] = []

    def carry(self, exchange: Exchange) -> None:
        """Give an exchange to an idle connection, or to a new one."""
        now = self.backends.driver.now()
        wary = exchange.unsafe and now < self.backends.wary_until
        connection = None if wary else self._idle_for(exchange, now)
        if connection is not None:
            self.idle.remove(connection)
            connection.carry(exchange)
            return
        if not self.backends.make_room():
            log_event("executor-connections-full", bound=self.backends.bound)
            exchange.finish(now, Outcome.DROPPED)
            return
        connection = UpstreamConnection(self, exchange)
        self.connections.add(connection)
        self.backends.connections += 1
        connection.open()

    def _idle_for(self, exchange: Exchange, now: int) -> UpstreamConnection | None:
        """The one used last; for what must not run twice one that is past late answers, or none."""
        usable = [connection for connection in reversed(self.idle) if not connection.transport.is_closing()]
        if not exchange.guarded:
            return usable[0] if usable else None
        rested = [connection for connection in usable if connection.rested(now)]
        choice = rested if exchange.unsafe else rested + usable
        # its close may have come and not be read yet; one call of the system for each that is asked
        return next((connection for connection in choice if not hung_up(connection.transport)), None)

    def drop(self, connection: UpstreamConnection) -> None:
        """Forget a connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.backends.connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.abort()


class UpstreamPools:
    """All backends; the dispatch's port to them."""

    def __init__(self, driver: EventLoopDriver, settings: api.Settings, bound: int, options: Options) -> None:
        self.driver, self.settings, self.bound, self.options = driver, settings, bound, options
        self.dispatch: Dispatch | None = None
        self.by_number: dict[int, UpstreamPool] = {}
        self.connections = 0  # of all backends together: a sum over the fleet for each new one cost too much
        self.wary_until = 0

    def update(self, number: int, endpoint: Endpoint) -> None:
        """Learn where a backend listens; raises ValueError."""
        if endpoint.status != "SERVING":  # it may go without an address, and must not be passed over
            if number in self.by_number:
                self.by_number[number].close_idle()
            return
        address = Address.parse(endpoint.address)
        if (backend := self.by_number.get(number)) is None:
            kind = self.options.kind(endpoint.type)
            backend = self.by_number[number] = UpstreamPool(self, number, address, kind)
        if backend.address != address:
            backend.address = address
            backend.close_idle()

    def make_room(self) -> bool:
        """Keep to the bound: idle connections elsewhere give way to a new one."""
        while self.connections >= self.bound:
            fullest = max(self.by_number.values(), key=lambda backend: len(backend.idle), default=None)
            if fullest is None or not fullest.idle:
                return False
            fullest.idle[0].abort()
        return True

    # The dispatch's port.

    def send(self, attempt: Attempt) -> None:
        backend = self.by_number.get(attempt.executor)
        if backend is None:  # it was never listed with an address
            self.dispatch.attempt_ended(self.driver.now(), attempt, Outcome.CONNECT_FAILED)
            return
        job = RelayedAttemptExchange if backend.kind.speaks == "node" else AttemptExchange
        backend.carry(job(self, backend, attempt))

    def cancel(self, attempt: Attempt, now_or_never: bool = False) -> bool:
        """By what the backend honours; what has not gone out whole only needs its connection closed."""
        connection = attempt.exchange.connection if attempt.exchange is not None else None
        if connection is None or connection.exchange is not attempt.exchange:
            return True
        how = attempt.exchange.backend.kind.cancel if attempt.written else "blind"
        if how == "none" and not now_or_never:
            return False
        if how == "end":
            connection.end_sending()
        else:
            connection.abort_quietly()
        return True

    def probe(self, probe: Probe) -> None:
        backend = self.by_number.get(probe.executor)
        if backend is None:
            self.dispatch.probe_ended(self.driver.now(), probe, Outcome.CONNECT_FAILED)
            return
        backend.carry(ProbeExchange(self, backend, probe))

    def recall(self, probe: Probe) -> None:
        check, probe.exchange = probe.exchange, None
        if check is None:
            return
        check.told = True
        self.driver.timers.cancel(check.deadline)
        if check.connection is not None and check.connection.exchange is check:
            check.connection.abort_quietly()
