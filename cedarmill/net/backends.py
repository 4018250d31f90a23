"""Backends: a pool of HTTP/1.1 connections to each executor, with the attempts and probes they carry."""

import asyncio
from typing import Any

import httptools
import msgspec

from cedarmill.core.deadlines import Deadline
from cedarmill.core.dispatch import Attempt, Dispatch, Probe
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import say
from cedarmill.net.config import Address, Endpoint
from cedarmill.net.hangup import hung_up
from cedarmill.net.turn import Turn, callback
from cedarmill.values import KindOptions, Options

IDLE_SHARE = 0.5  # of the time after which the executor's machine closes an idle connection
PROBE_WAIT = 2  # connect time-outs that a probe may take
MAX_LINE = 256 * 1024
COMMIT_US = 2_000  # between an unsafe attempt but for its last byte, and that byte
PLACE_US = 20_000  # till it is asked again whether the fleet has a place for a connection
WARY_US = 30_000_000  # after a kept connection broke under a request, unsafe attempts go out on new ones
LATE_ANSWER_US = 50_000  # a second answer may come so long after the first: it must not meet the next request
MAX_ANSWER = 1024 * 1024  # bytes of one answer, with all its lines
TAIL_US = 1_000_000  # for an answer's message to end after its last line
PASSED_ON = (b"x-call-id", b"idempotency-key", b"content-type", b"x-call-class", b"x-caller", b"x-call-info")


class JobLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] | None = None


_LINE = msgspec.json.Decoder(JobLine)
_LOAD = msgspec.json.Decoder(dict[str, float])
_ENDS = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


def report_of(names: tuple[str, ...], load: dict[str, float] | None) -> api.LoadReport | None:
    """A load report in the order of the settings, or None unless it is whole."""
    if not names or load is None or not all(name in load for name in names):
        return None
    return tuple(load[name] for name in names)


def load_header(text: bytes) -> dict[str, float] | None:
    """The load report of a header: `TEXT inflight=7, queue=2`."""
    load = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, value = pair.strip().partition("=")
        try:
            load[name] = float(value)
        except ValueError:
            return None
    return load


class Exchange:
    """What a connection carries: it goes out as one request, and ends once."""

    unsafe = False  # whether it must not run twice
    guarded = False  # whether it may run twice only within bounds, or not at all

    def __init__(self, backends: "Backends", backend: "Backend") -> None:
        self.backends, self.backend = backends, backend
        self.connection: Connection | None = None
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.ending: tuple | None = None  # what the answer has told
        self.told = False  # whether the end has been reported

    def request(self, now: int) -> bytes | None:
        """The text to write, or None where it may not be sent any longer."""
        raise NotImplementedError

    def on_written(self, now: int) -> None:
        """The last byte has left."""

    def on_head(self) -> None:
        """The status and the headers have come."""

    def on_body(self, data: bytes) -> None:
        """A part of the answer's body."""
        raise NotImplementedError

    def on_complete(self) -> None:
        """The whole answer has come."""
        raise NotImplementedError

    def tell(self, now: int, outcome: Outcome, *details: Any) -> None:
        """Report the end to the dispatch."""
        raise NotImplementedError

    def finish(self, now: int, outcome: Outcome, *details: Any) -> None:
        """The one end: later ones are passed over."""
        if not self.told:
            self.told = True
            self.tell(now, outcome, *details)

    def report(self, load: dict[str, float] | None) -> api.LoadReport | None:
        return report_of(self.backends.settings.report_names, load)


class Job(Exchange):
    """An attempt."""

    def __init__(self, backends: "Backends", backend: "Backend", attempt: Attempt) -> None:
        super().__init__(backends, backend)
        self.attempt = attempt
        self.id = attempt.req.payload.headers[b"x-call-id"].decode("latin-1")
        self.unsafe = attempt.req.spec.effect == api.Effect.UNSAFE
        self.guarded = attempt.req.spec.effect != api.Effect.SAFE
        attempt.link, attempt.blind = self, backend.kind.cancel not in ("close", "end")

    def request(self, now: int) -> bytes | None:
        if not self.backends.dispatch.may_write(now, self.attempt):
            return None
        message = self.attempt.req.payload
        margins = self.backends.dispatch.budget.margins
        rest = margins.passed_on(self.backend.number, self.attempt.req.due - now)
        lines = [b"%s %s HTTP/1.1" % (message.method, message.target),
                 b"Host: " + str(self.backend.address.host).encode()]  # fmt: skip
        lines += [b"%s: %s" % (n, message.headers[n]) for n in PASSED_ON if n in message.headers]
        lines += [b"X-Budget-Ms: %d" % max(1, rest // 1000),
                  b"Content-Length: %d\r\n\r\n" % len(message.body)]  # fmt: skip
        return b"\r\n".join(lines) + message.body

    def on_written(self, now: int) -> None:
        self.backends.dispatch.written(now, self.attempt)

    def on_body(self, data: bytes) -> None:
        if self.status != 200 or self.ending:
            return
        self.body += data
        while (end := self.body.find(b"\n")) >= 0:
            line, self.body = bytes(self.body[:end]), self.body[end + 1 :]
            if line.strip():
                self._line(line)
        if len(self.body) > MAX_LINE:
            raise ValueError("a line is too long")

    def _line(self, raw: bytes) -> None:
        line = _LINE.decode(raw)
        if line.id and line.id != self.id:
            raise ValueError("a line names another job")
        dispatch, now = self.backends.dispatch, self.backends.turn.now()
        if self.ending:
            return
        if line.state == "done":
            text = bytes(line.result)
            result = msgspec.json.decode(text, type=str).encode() if text[:1] == b'"' else text
            self.ending = Outcome.OK, self.report(line.load), result
        elif line.state in _ENDS:
            self.ending = _ENDS[line.state], self.report(line.load)
        elif line.state == "started":
            dispatch.started(now, self.attempt)
        elif line.state == "running":
            dispatch.progress(now, self.attempt, line.share)

    def on_head(self) -> None:
        """Any status but 200 says it all; its body, if it ever ends, adds nothing."""
        if self.status == 200:
            return
        text = self.headers.get(b"x-load-report")
        report = self.report(load_header(text)) if text else None
        if self.status in (503, 504) and self.headers.get(b"x-rejected") == b"1":
            outcome = Outcome.RESET if self._perhaps_late() else Outcome.FULL
        else:
            outcome = Outcome.UNUSABLE if 400 <= self.status < 500 else Outcome.ERROR
        self.ending = outcome, report

    def _perhaps_late(self) -> bool:
        """Whether this answer, which names no job, may be a second one to the job before it here."""
        return self.guarded and self.connection.kept and not self.connection.rested(self.backends.turn.now())

    def on_complete(self) -> None:
        if not self.ending and self.body.strip():
            self._line(bytes(self.body))
        self.ending = self.ending or (Outcome.RESET,)  # a stream without a last line

    def tell(self, now: int, outcome: Outcome, *details: Any) -> None:
        self.attempt.link = None  # or the cycle would wait for a full collection
        self.backends.dispatch.ended(now, self.attempt, outcome, *details)


class NodeJob(Job):
    """An attempt at a backend that is a node itself: it gives one final answer, and no lines."""

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_LINE:
            raise ValueError("an answer is too long")

    def on_head(self) -> None:
        """429 and 503 are refusals: that node promises that nothing ran. 502 is a failed req."""
        if self.status in (429, 503):
            self.ending = (Outcome.FULL,)
        elif self.status != 200:
            self.ending = (Outcome.UNUSABLE if self.status == 400 else Outcome.ERROR,)

    def on_complete(self) -> None:
        self.ending = self.ending or (Outcome.OK, None, bytes(self.body))


class Check(Exchange):
    """A probe."""

    def __init__(self, backends: "Backends", backend: "Backend", probe: Probe) -> None:
        super().__init__(backends, backend)
        self.probe, probe.link = probe, self
        wait = PROBE_WAIT * backends.settings.connect_timeout_us
        self.deadline = backends.turn.deadlines.add(backends.turn.now() + wait, self._late)

    def _late(self, now: int) -> None:
        """It has not come back in time."""
        if self.connection is not None and self.connection.exchange is self:
            self.connection.abort_quietly()
        self.finish(now, Outcome.TIMEOUT)

    def request(self, now: int) -> bytes | None:
        if self.probe.link is None or not self.backends.dispatch.may_probe(self.probe):
            return None
        return b"GET /status/load HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.backend.address.host).encode()

    def on_written(self, now: int) -> None:
        self.probe.written = True

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_LINE:
            raise ValueError("a load report is too long")

    def on_complete(self) -> None:
        load = None
        if self.body.lstrip()[:1] == b"{":
            load = _LOAD.decode(self.body)
        elif self.body:
            load = load_header(bytes(self.body))
        outcome = {200: Outcome.OK, 503: Outcome.FULL}.get(self.status, Outcome.ERROR)
        self.ending = outcome, self.report(load)

    def tell(self, now: int, outcome: Outcome, *details: Any) -> None:
        self.backends.turn.deadlines.cancel(self.deadline)
        self.probe.link = None  # or the cycle would wait for a full collection
        self.backends.dispatch.probed(now, self.probe, outcome, *details)


class Connection(asyncio.Protocol):
    """One connection to a backend: opening, then busy with one exchange or idle in the pool."""

    def __init__(self, backend: "Backend", exchange: Exchange) -> None:
        self.backend, self.turn = backend, backend.backends.turn
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = exchange
        exchange.connection = self
        self.last = b""  # of the request, while it is held back
        self.kept = False  # whether it has served before
        self.written = False  # whether the exchange's last byte has left
        self.complete = self.keep_alive = False
        self.closed = False
        self.opened_at = self.rested_at = 0
        self.answer_bytes = 0
        self.deadline: Deadline | None = None
        self.task: asyncio.Task | None = None

    def open(self) -> None:
        """Connect; the task is this connection's, whatever it will carry.

        Where the fleet has no place for one more, it waits for that, as long as what it carries has time.
        """
        turn = self.turn
        self.opened_at = turn.now()
        if not self.backend.backends.dispatch.may_connect(self.opened_at):
            self.deadline = turn.deadlines.add(self.opened_at + PLACE_US, lambda now: self.open())
            return
        wait = self.backend.backends.settings.connect_timeout_us
        self.deadline = turn.deadlines.add(turn.now() + wait, lambda now: self.abort())
        host, port = self.backend.address.host, self.backend.address.port
        opening = turn.loop.create_connection(lambda: self, host, port)
        self.task = turn.loop.create_task(opening)
        self.task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task) -> None:
        self.task = None
        if task.cancelled() or task.exception() is not None:
            self._lost()

    @callback
    def connection_made(self, transport) -> None:
        self.turn.deadlines.cancel(self.deadline)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing then tells that all has left
        if self.closed:
            transport.abort()
            return
        trip = self.turn.now() - self.opened_at
        self.backend.backends.dispatch.budget.margins.trip(self.backend.number, trip)
        exchange, self.exchange = self.exchange, None
        self.carry(exchange)

    def carry(self, exchange: Exchange) -> None:
        """Send an exchange out, if it still may be sent."""
        now = self.turn.now()
        self.turn.deadlines.cancel(self.deadline)
        text = exchange.request(now)
        if text is None:
            self._rest()
            exchange.finish(now, Outcome.CONNECT_FAILED)
            return
        self.exchange, exchange.connection = exchange, self
        self.written = self.complete = False
        self.answer_bytes = 0
        if not exchange.unsafe:
            self._write(text)
            return
        # a break that the request itself brings about comes before its last byte: then it never ran
        self.last = text[-1:]
        self._write(text[:-1])
        self.deadline = self.turn.deadlines.add(now + COMMIT_US, self._commit)

    def _write(self, text: bytes) -> None:
        self.transport.write(text)
        self._has_left(not (self.last or self.transport.get_write_buffer_size()))

    def _has_left(self, whole: bool) -> None:
        self.written = whole
        if whole and self.exchange is not None:
            self.exchange.on_written(self.turn.now())

    def _commit(self, now: int) -> None:
        """Send the last byte, if the attempt still may be sent."""
        exchange = self.exchange
        if exchange.request(now) is None:
            self.abort_quietly()
            exchange.finish(now, Outcome.CONNECT_FAILED)
            return
        last, self.last = self.last, b""
        self._write(last)

    def resume_writing(self) -> None:
        self._has_left(not self.last)

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
        now = self.turn.now()
        if not whole:
            self.abort_quietly()
        elif self.complete:  # free before the brain hears of it: it may send here at once
            if self.keep_alive and not self.last and not self.transport.is_closing():
                self._rest()
            else:
                self.abort_quietly()
        elif exchange.ending and not exchange.told:  # the end of the message is all that may still come
            self.turn.deadlines.cancel(self.deadline)
            self.deadline = self.turn.deadlines.add(now + TAIL_US, lambda now: self.abort())
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

    def eof_received(self) -> None:
        """The other side has closed: out of the pool at once."""
        self.backend.drop(self)

    @callback
    def connection_lost(self, error) -> None:
        self._lost()
        self.parser = None  # or the cycle with it would stay till a full collection

    def _lost(self) -> None:
        exchange = self.exchange
        self.abort_quietly()
        if exchange is not None:
            if self.kept and not exchange.status:
                self.backend.backends.wary_until = self.turn.now() + WARY_US
            written = self.written and self.transport is not None
            unsent = Outcome.CONNECT_FAILED if self.transport is None else Outcome.DROPPED
            exchange.finish(self.turn.now(), Outcome.RESET if written else unsent)

    def abort_quietly(self) -> None:
        """End the connection; what it carries is told nothing."""
        self.exchange, self.closed = None, True
        self.turn.deadlines.cancel(self.deadline)
        self.backend.drop(self)
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()

    def abort(self) -> None:
        """End the connection, and what it carries with it."""
        if not self.closed:
            self._lost()

    def end_sending(self) -> None:
        """Give up what it carries by ending the sending: the backend stops, and closes."""
        self.exchange = None
        self.turn.deadlines.cancel(self.deadline)
        self.deadline = self.turn.deadlines.add(self.turn.now() + TAIL_US, lambda now: self.abort())
        self.transport.write_eof()

    def _rest(self) -> None:
        """Into the pool."""
        self.exchange, self.kept = None, True
        self.rested_at = self.turn.now()
        self.backend.idle.append(self)
        wait = int(self.backend.backends.settings.conn_idle_us * IDLE_SHARE)
        self.deadline = self.turn.deadlines.add(self.rested_at + wait, lambda now: self.abort())

    def rested(self, now: int) -> bool:
        """Whether no second answer to its last request can come any more."""
        return now - self.rested_at >= LATE_ANSWER_US


class Backend:
    """One executor, with its pool: the connection used last is used first."""

    def __init__(self, backends: "Backends", number: int, address: Address, kind: KindOptions) -> None:
        self.backends, self.number, self.address, self.kind = backends, number, address, kind
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []

    def carry(self, exchange: Exchange) -> None:
        """Give an exchange to an idle connection, or to a new one."""
        now = self.backends.turn.now()
        wary = exchange.unsafe and now < self.backends.wary_until
        connection = None if wary else self._idle_for(exchange, now)
        if connection is not None:
            self.idle.remove(connection)
            connection.carry(exchange)
            return
        if not self.backends.make_room():
            say("backends-full", bound=self.backends.bound)
            exchange.finish(now, Outcome.CONNECT_FAILED)
            return
        connection = Connection(self, exchange)
        self.connections.add(connection)
        self.backends.connections += 1
        connection.open()

    def _idle_for(self, exchange: Exchange, now: int) -> Connection | None:
        """The one used last; for what must not run twice one that is past late answers, or none."""
        usable = [connection for connection in reversed(self.idle) if not connection.transport.is_closing()]
        if exchange.guarded:  # its close may have come and not be read yet
            usable = [connection for connection in usable if not hung_up(connection.transport)]
        rested = [connection for connection in usable if connection.rested(now)]
        if exchange.unsafe or (exchange.guarded and rested):
            usable = rested
        return usable[0] if usable else None

    def drop(self, connection: Connection) -> None:
        """Forget a connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.backends.connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.abort()


class Backends:
    """All backends; the dispatch's port to them."""

    def __init__(self, turn: Turn, settings: api.Settings, bound: int, options: Options) -> None:
        self.turn, self.settings, self.bound, self.options = turn, settings, bound, options
        self.dispatch: Dispatch | None = None
        self.by_number: dict[int, Backend] = {}
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
            backend = self.by_number[number] = Backend(self, number, address, kind)
        if backend.address != address:
            backend.address = address
            backend.close_idle()

    def make_room(self) -> bool:
        """Keep to the bound: an idle connection elsewhere gives way to a new one."""
        if self.connections < self.bound:
            return True
        fullest = max(self.by_number.values(), key=lambda backend: len(backend.idle))
        if not fullest.idle:
            return False
        fullest.idle[0].abort()
        return True

    # The dispatch's port.

    def send(self, attempt: Attempt) -> None:
        backend = self.by_number[attempt.worker]
        job = NodeJob if backend.kind.speaks == "node" else Job
        backend.carry(job(self, backend, attempt))

    def cancel(self, attempt: Attempt, now_or_never: bool = False) -> bool:
        """By what the backend honours; what has not gone out whole only needs its connection closed."""
        connection = attempt.link.connection if attempt.link is not None else None
        if connection is None or connection.exchange is not attempt.link:
            return True
        how = attempt.link.backend.kind.cancel if attempt.written else "blind"
        if how == "none" and not now_or_never:
            return False
        if how == "end":
            connection.end_sending()
        else:
            connection.abort_quietly()
        return True

    def probe(self, probe: Probe) -> None:
        backend = self.by_number[probe.worker]
        backend.carry(Check(self, backend, probe))

    def recall(self, probe: Probe) -> None:
        check, probe.link = probe.link, None
        if check is None:
            return
        check.told = True
        self.turn.deadlines.cancel(check.deadline)
        if check.connection is not None and check.connection.exchange is check:
            check.connection.abort_quietly()
