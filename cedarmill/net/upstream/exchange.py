"""Exchanges: what a connection to a backend carries, an attempt or a probe, from its request to its one end.

They read answers and hold the state of an attempt; the sockets are in net/upstream/pool.py.
"""

from typing import TYPE_CHECKING, Any

import msgspec

from cedarmill.core.requests import Attempt, Probe
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome

if TYPE_CHECKING:
    from cedarmill.net.upstream.pool import UpstreamConnection, UpstreamPool, UpstreamPools

PROBE_WAIT = 2  # connect time-outs that a probe may take
MAX_LINE = 256 * 1024
PASSED_ON = (b"x-call-id", b"idempotency-key", b"content-type", b"x-call-class", b"x-caller", b"x-call-info")


class AttemptLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] | None = None


_LINE = msgspec.json.Decoder(AttemptLine)
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

    def __init__(self, backends: "UpstreamPools", backend: "UpstreamPool") -> None:
        self.backends, self.backend = backends, backend
        self.connection: UpstreamConnection | None = None
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.ending: tuple | None = None  # what the answer has told
        self.told = False  # whether the end has been reported

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


class AttemptExchange(Exchange):
    """An attempt."""

    def __init__(self, backends: "UpstreamPools", backend: "UpstreamPool", attempt: Attempt) -> None:
        super().__init__(backends, backend)
        self.attempt = attempt
        self.id = attempt.request.payload.headers[b"x-call-id"].decode("latin-1")
        self.unsafe = attempt.request.spec.effect == api.Effect.UNSAFE
        self.guarded = attempt.request.spec.effect != api.Effect.SAFE
        attempt.exchange, attempt.end_unobserved = self, backend.kind.cancel not in ("close", "end")

    def barred(self, now: int) -> Outcome | None:
        return self.backends.dispatch.blocking_outcome(now, self.attempt)

    def request(self, now: int) -> bytes:
        message = self.attempt.request.payload
        margins = self.backends.dispatch.deadline_tracker.margins
        rest = margins.remaining_for_executor(self.backend.number, self.attempt.request.due - now)
        lines = [
            b"%s %s HTTP/1.1" % (message.method, message.target),
            b"Host: " + str(self.backend.address.host).encode(),
        ]
        lines += [b"%s: %s" % (n, message.headers[n]) for n in PASSED_ON if n in message.headers]
        lines += [
            b"X-Budget-Ms: %d" % max(1, rest // 1000),
            b"Content-Length: %d\r\n\r\n" % len(message.body),
        ]
        return b"\r\n".join(lines) + message.body

    def on_written(self, now: int) -> None:
        self.backends.dispatch.attempt_written(now, self.attempt)

    def on_body(self, data: bytes) -> None:
        if self.status != 200 or self.ending:
            return
        self.body += data
        if b"\n" in data:  # searched alone: an answer may come in many small pieces
            *lines, rest = bytes(self.body).split(b"\n")  # at once: there may be very many
            self.body = bytearray(rest)
            for line in lines:
                if line.strip():
                    self._line(line)
        if len(self.body) > MAX_LINE:
            raise ValueError("a line is too long")

    def _line(self, raw: bytes) -> None:
        line = _LINE.decode(raw)
        if line.id and line.id != self.id:
            raise ValueError("a line names another job")
        dispatch, now = self.backends.dispatch, self.backends.driver.now()
        if self.ending:
            return
        if line.state == "done":
            text = bytes(line.result)
            result = msgspec.json.decode(text, type=str).encode() if text[:1] == b'"' else text
            self.ending = Outcome.OK, self.report(line.load), result
        elif line.state in _ENDS:
            self.ending = _ENDS[line.state], self.report(line.load)
        elif line.state == "started":
            dispatch.attempt_started(now, self.attempt)
        elif line.state == "running":
            dispatch.attempt_progressed(now, self.attempt, line.share)

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
        return (
            self.guarded and self.connection.kept and not self.connection.rested(self.backends.driver.now())
        )

    def on_complete(self) -> None:
        if not self.ending and self.body.strip():
            self._line(bytes(self.body))
        self.ending = self.ending or (Outcome.RESET,)  # a stream without a last line

    def tell(self, now: int, outcome: Outcome, *details: Any) -> None:
        self.attempt.exchange = None  # or the cycle would wait for a full collection
        self.backends.dispatch.attempt_ended(now, self.attempt, outcome, *details)


class RelayedAttemptExchange(AttemptExchange):
    """An attempt at a backend that is a node itself: it gives one final answer, and no lines."""

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_LINE:
            raise ValueError("an answer is too long")

    def on_head(self) -> None:
        """429 and 503 are refusals: that node promises that nothing ran. 502 is a failed request."""
        if self.status in (429, 503):
            self.ending = (Outcome.FULL,)
        elif self.status != 200:
            self.ending = (Outcome.UNUSABLE if self.status == 400 else Outcome.ERROR,)

    def on_complete(self) -> None:
        self.ending = self.ending or (Outcome.OK, None, bytes(self.body))


class ProbeExchange(Exchange):
    """A probe."""

    def __init__(self, backends: "UpstreamPools", backend: "UpstreamPool", probe: Probe) -> None:
        super().__init__(backends, backend)
        self.probe, probe.exchange = probe, self
        wait = PROBE_WAIT * backends.settings.connect_timeout_us
        self.deadline = backends.driver.timers.add(backends.driver.now() + wait, self._late)

    def _late(self, now: int) -> None:
        """It has not come back in time."""
        if self.connection is not None and self.connection.exchange is self:
            self.connection.abort_quietly()
        self.finish(now, Outcome.TIMEOUT)

    def barred(self, now: int) -> Outcome | None:
        wanted = self.probe.exchange is not None and self.backends.dispatch.may_probe(self.probe)
        return None if wanted else Outcome.MOOT

    def request(self, now: int) -> bytes:
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
        self.backends.driver.timers.cancel(self.deadline)
        self.probe.exchange = None  # or the cycle would wait for a full collection
        self.backends.dispatch.probe_ended(now, self.probe, outcome, *details)
