"""Exchanges: what a connection to an executor carries, an attempt or a probe, from its request to its end.

They read answers and hold the state of an attempt; the sockets are in `net/upstream/connection.py`. The forms
are those of the platform's protocol: an answer of JSON lines, or a load report.
"""

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from cedarmill.core.requests import Attempt, Probe
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome

if TYPE_CHECKING:
    from cedarmill.net.upstream.connection import UpstreamConnection
    from cedarmill.net.upstream.pool import UpstreamPool, UpstreamPools

PROBE_TIMEOUTS = 2  # connect time-outs that a probe may take
MAX_LINE_BYTES = 256 * 1024
FORWARDED_HEADERS = (
    b"x-call-id",
    b"idempotency-key",
    b"content-type",
    b"x-call-class",
    b"x-caller",
    b"x-call-info",
)


class AttemptLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] | None = None


_LINE = msgspec.json.Decoder(AttemptLine)
_LOAD = msgspec.json.Decoder(dict[str, float])
_END_STATES = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


class ExchangeEnd(NamedTuple):
    """How an exchange has ended, with what the executor said of its load, and the result of an attempt."""

    outcome: Outcome
    report: api.LoadReport | None = None
    result: bytes | None = None


def ordered_report(names: tuple[str, ...], load: dict[str, float] | None) -> api.LoadReport | None:
    """A load report in the order of the settings, or None unless it is whole."""
    if not names or load is None or not all(name in load for name in names):
        return None
    return tuple(load[name] for name in names)


def parse_load_header(text: bytes) -> dict[str, float] | None:
    """The load report of a header, `TEXT inflight=7, queue=2`; None where a value is no number."""
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

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool") -> None:
        self.pools, self.pool = pools, pool
        self.connection: UpstreamConnection | None = None
        self.status = 0  # of the answer; 0: none has come
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.ending: ExchangeEnd | None = None  # as the answer says
        self.ended = False  # whether the end has been reported

    def barred(self, now: int) -> Outcome | None:
        """The outcome where it may not be sent any longer, or None."""
        raise NotImplementedError

    def request(self, now: int) -> bytes:
        """The text to write."""
        raise NotImplementedError

    def on_written(self, now: int) -> None:
        """The last byte has left."""

    def on_head(self) -> None:
        """The status and the headers have come."""

    def on_body(self, data: bytes) -> None:
        """A part of the answer's body; raises ValueError for what is no answer."""
        raise NotImplementedError

    def on_complete(self) -> None:
        """The whole answer has come; raises ValueError for what is no answer."""
        raise NotImplementedError

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Report the end to the dispatch."""
        raise NotImplementedError

    def finish(self, now: int, end: ExchangeEnd) -> None:
        """The one end: later ones are passed over."""
        if not self.ended:
            self.ended = True
            self.report_end(now, end)

    def load_report(self, load: dict[str, float] | None) -> api.LoadReport | None:
        """What an executor says of its load, in the order of the settings; None unless it is whole."""
        return ordered_report(self.pools.settings.report_names, load)


class AttemptExchange(Exchange):
    """An attempt."""

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool", attempt: Attempt) -> None:
        super().__init__(pools, pool)
        self.attempt = attempt
        self.id = attempt.request.payload.headers[b"x-call-id"].decode("latin-1")
        self.unsafe = attempt.request.spec.effect == api.Effect.UNSAFE
        self.guarded = attempt.request.spec.effect != api.Effect.SAFE
        attempt.exchange, attempt.end_unobserved = self, pool.kind.cancel not in ("close", "end")

    def barred(self, now: int) -> Outcome | None:
        """As the dispatch says: a drain, a deadline, a window for repeats, a client that left."""
        return self.pools.dispatch.blocking_outcome(now, self.attempt)

    def request(self, now: int) -> bytes:
        """The client's request, with the time that is left to the executor."""
        message = self.attempt.request.payload
        margins = self.pools.dispatch.deadline_tracker.margins
        left_us = margins.remaining_for_executor(self.pool.number, self.attempt.request.due - now)
        lines = [
            b"%s %s HTTP/1.1" % (message.method, message.target),
            b"Host: " + str(self.pool.address.host).encode(),
        ]
        lines += [b"%s: %s" % (n, message.headers[n]) for n in FORWARDED_HEADERS if n in message.headers]
        lines += [
            b"X-Budget-Ms: %d" % max(1, left_us // 1000),
            b"Content-Length: %d\r\n\r\n" % len(message.body),
        ]
        text: bytes = b"\r\n".join(lines) + message.body
        return text

    def on_written(self, now: int) -> None:
        """From now on it may run."""
        self.pools.dispatch.attempt_written(now, self.attempt)

    def on_body(self, data: bytes) -> None:
        """Read the lines that are whole."""
        if self.status != 200 or self.ending is not None:
            return
        self.body += data
        if b"\n" in data:  # searched alone: an answer may come in many small pieces
            *lines, rest = bytes(self.body).split(b"\n")  # at once: there may be very many
            self.body = bytearray(rest)
            for line in lines:
                if line.strip():
                    self._read_line(line)
        if len(self.body) > MAX_LINE_BYTES:
            raise ValueError("a line is too long")

    def _read_line(self, raw: bytes) -> None:
        line = _LINE.decode(raw)
        if line.id and line.id != self.id:
            raise ValueError("a line names another request")
        dispatch, now = self.pools.dispatch, self.pools.driver.now()
        if self.ending is not None:
            return
        if line.state == "done":
            text = bytes(line.result)
            result = msgspec.json.decode(text, type=str).encode() if text[:1] == b'"' else text
            self.ending = ExchangeEnd(Outcome.OK, self.load_report(line.load), result)
        elif line.state in _END_STATES:
            self.ending = ExchangeEnd(_END_STATES[line.state], self.load_report(line.load))
        elif line.state == "started":
            dispatch.attempt_started(now, self.attempt)
        elif line.state == "running":
            dispatch.attempt_progressed(now, self.attempt, line.share)

    def on_head(self) -> None:
        """Any status but 200 says it all; its body, if it ever ends, adds nothing."""
        if self.status == 200:
            return
        text = self.headers.get(b"x-load-report")
        report = self.load_report(parse_load_header(text)) if text else None
        if self.status in (503, 504) and self.headers.get(b"x-rejected") == b"1":
            outcome = Outcome.RESET if self._perhaps_late() else Outcome.FULL
        else:
            outcome = Outcome.UNUSABLE if 400 <= self.status < 500 else Outcome.ERROR
        self.ending = ExchangeEnd(outcome, report)

    def _perhaps_late(self) -> bool:
        """Whether this answer, which names no request, may be a second one to the request before it here."""
        if not self.guarded or self.connection is None or not self.connection.reused:
            return False
        return not self.connection.past_late_answers(self.pools.driver.now())

    def on_complete(self) -> None:
        """A last line may come without its end; a stream without a line that ends it was cut."""
        if self.ending is None and self.body.strip():
            self._read_line(bytes(self.body))
        self.ending = self.ending or ExchangeEnd(Outcome.RESET)

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Tell the dispatch how the attempt ended."""
        self.attempt.exchange = None  # or the cycle would wait for a full collection
        self.pools.dispatch.attempt_ended(now, self.attempt, end.outcome, end.report, end.result)


class RelayedAttemptExchange(AttemptExchange):
    """An attempt at an executor that is a node itself: it gives one final answer, and no lines."""

    def on_body(self, data: bytes) -> None:
        """Collect the answer."""
        self.body += data
        if len(self.body) > MAX_LINE_BYTES:
            raise ValueError("an answer is too long")

    def on_head(self) -> None:
        """429 and 503 are refusals: that node promises that nothing ran. 502 is a failed request."""
        if self.status in (429, 503):
            self.ending = ExchangeEnd(Outcome.FULL)
        elif self.status != 200:
            self.ending = ExchangeEnd(Outcome.UNUSABLE if self.status == 400 else Outcome.ERROR)

    def on_complete(self) -> None:
        """The body is the result."""
        self.ending = self.ending or ExchangeEnd(Outcome.OK, None, bytes(self.body))


class ProbeExchange(Exchange):
    """A probe."""

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool", probe: Probe) -> None:
        super().__init__(pools, pool)
        self.probe, probe.exchange = probe, self
        due = pools.driver.now() + PROBE_TIMEOUTS * pools.settings.connect_timeout_us
        self.deadline = pools.driver.timers.add(due, self._on_deadline)

    def _on_deadline(self, now: int) -> None:
        if self.connection is not None and self.connection.exchange is self:
            self.connection.abort_quietly()
        self.finish(now, ExchangeEnd(Outcome.TIMEOUT))

    def barred(self, now: int) -> Outcome | None:
        """MOOT where it was taken back, or nobody wants it any longer."""
        wanted = self.probe.exchange is not None and self.pools.dispatch.may_probe(self.probe)
        return None if wanted else Outcome.MOOT

    def request(self, now: int) -> bytes:
        """The call for a load report."""
        return b"GET /status/load HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.pool.address.host).encode()

    def on_written(self, now: int) -> None:
        """It cannot be taken back any more."""
        self.probe.written = True

    def on_body(self, data: bytes) -> None:
        """Collect the report."""
        self.body += data
        if len(self.body) > MAX_LINE_BYTES:
            raise ValueError("a load report is too long")

    def on_complete(self) -> None:
        """Read the report, as JSON or as the text of a header."""
        load = None
        if self.body.lstrip()[:1] == b"{":
            load = _LOAD.decode(self.body)
        elif self.body:
            load = parse_load_header(bytes(self.body))
        outcome = {200: Outcome.OK, 503: Outcome.FULL}.get(self.status, Outcome.ERROR)
        self.ending = ExchangeEnd(outcome, self.load_report(load))

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Tell the dispatch how the probe ended."""
        self.pools.driver.timers.cancel(self.deadline)
        self.probe.exchange = None  # or the cycle would wait for a full collection
        self.pools.dispatch.probe_ended(now, self.probe, end.outcome, end.report)
