"""Exchanges on a connection to an executor, from the request to its end; those of probes have a module.

An exchange builds its request and interprets its answer, which for an attempt is a stream of JSON lines.
The sockets are in `net/upstream/connection.py`.
"""

import sys
from typing import TYPE_CHECKING

from cedarmill.core.requests import Attempt
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.upstream.answer_lines import OUTCOME_BY_FINAL_STATE, decode_line
from cedarmill.net.upstream.exchange_end import AMBIGUOUS_REJECTION, INCOMPLETE_ANSWER, ExchangeEnd
from cedarmill.net.upstream.line_buffer import MAX_LINE_BYTES, MAX_RESULT_BYTES, LineBuffer, LineText

if TYPE_CHECKING:
    from cedarmill.net.upstream.connection import UpstreamConnection
    from cedarmill.net.upstream.pool import UpstreamPool, UpstreamPools

FORWARDED_HEADERS = (
    b"x-call-id",
    b"idempotency-key",
    b"content-type",
    b"x-call-class",
    b"x-caller",
    b"x-call-info",
)


def ordered_report(names: tuple[str, ...], load: dict[str, float] | None) -> api.LoadReport | None:
    """Return the load values in the order of the settings, or None unless every value is present."""
    if not names or load is None or not all(name in load for name in names):
        return None
    return tuple(load[name] for name in names)


def parse_load_header(text: bytes) -> dict[str, float] | None:
    """Parse a load report header such as `TEXT inflight=7, queue=2`; return None for a non-numeric value."""
    load = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, value = pair.strip().partition("=")
        try:
            load[name] = float(value)
        except ValueError:
            return None
    return load


class Exchange:
    """One request on a connection and its answer; it ends exactly once."""

    is_unsafe = False  # whether the request must not run twice
    is_repeat_restricted = False  # whether the request may run twice only within limits, or not at all
    needs_settled_connection = False  # whether no second answer to the request before may come

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool") -> None:
        self.pools, self.pool = pools, pool
        self.connection: UpstreamConnection | None = None
        self.status = 0  # of the answer; 0 before it arrives
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.pending_end: ExchangeEnd | None = None  # read from the answer, not reported yet
        self.finished = False  # whether the end has been reported
        self.is_end_due = False  # whether the end of an overlong line has a time limit
        self.spoils_connection = False  # whether another answer may still come on the connection

    def outcome_if_blocked(self, now: int) -> Outcome | None:
        """Return the outcome with which to end an exchange that may no longer be sent, or None if it may."""
        raise NotImplementedError

    def encode_request(self, now: int) -> bytes:
        """Return the HTTP request as bytes."""
        raise NotImplementedError

    def on_written(self, now: int) -> None:
        """Handle the request's last byte leaving this process."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of the answer's body."""
        return sys.getsizeof(self.body)

    @property
    def is_overlong(self) -> bool:
        """Return whether what is kept of the answer is longer than any answer that the protocol allows."""
        return len(self.body) > MAX_RESULT_BYTES

    def on_headers(self) -> None:
        """Handle the answer's status and headers."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the answer's body; raise ValueError if it is malformed."""
        raise NotImplementedError

    def on_complete(self) -> None:
        """Handle the end of the answer; raise ValueError if it is malformed."""
        raise NotImplementedError

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Report the end to the dispatch."""
        raise NotImplementedError

    def finish(self, now: int, end: ExchangeEnd) -> None:
        """Report the end once; later calls have no effect."""
        if not self.finished:
            self.finished = True
            self.report_end(now, end)

    def drop_result(self) -> None:
        """Free the result of an exchange that is finished, while its message has not ended."""
        if self.pending_end is not None:
            self.pending_end = self.pending_end._replace(result=None)

    def drop_answer(self) -> None:
        """Free what is kept of the answer; an exchange that was cancelled may be in a reference cycle."""
        self.body = bytearray()

    def load_report(self, load: dict[str, float] | None) -> api.LoadReport | None:
        """Return the load report in the order of the settings, or None unless every value is present."""
        return ordered_report(self.pools.settings.report_names, load)


class AttemptExchange(Exchange):
    """An exchange that carries an attempt."""

    def __init__(self, pools: "UpstreamPools", pool: "UpstreamPool", attempt: Attempt) -> None:
        super().__init__(pools, pool)
        self.attempt = attempt
        self.lines = LineBuffer()
        self.id = attempt.request.payload.headers[b"x-call-id"].decode("latin-1")
        self.is_unsafe = attempt.request.spec.effect == api.Effect.UNSAFE
        self.is_repeat_restricted = attempt.request.spec.effect != api.Effect.SAFE
        # The rejection of a repeat has to be clear, or each repeat may be followed by another one at once.
        self.needs_settled_connection = self.is_unsafe or (self.is_repeat_restricted and attempt.number > 0)
        attempt.exchange, attempt.end_unobserved = self, pool.kind.cancel not in ("close", "end")

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of the answer's body."""
        return self.lines.allocated_bytes + super().held_bytes

    @property
    def is_overlong(self) -> bool:
        """Return whether what is kept of the answer is longer than any answer that the protocol allows."""
        return self.lines.is_overlong or super().is_overlong

    def drop_answer(self) -> None:
        """Free what is kept of the answer."""
        super().drop_answer()
        self.lines = LineBuffer()

    def outcome_if_blocked(self, now: int) -> Outcome | None:
        """Ask the dispatch, which checks drains, deadlines, repeat windows and the client's presence."""
        return self.pools.dispatch.blocking_outcome(now, self.attempt)

    def encode_request(self, now: int) -> bytes:
        """Return the client's request with the executor's remaining time."""
        message = self.attempt.request.payload
        margins = self.pools.dispatch.deadline_tracker.margins
        remaining_us = margins.executor_budget(self.pool.executor_number, self.attempt.request.due - now)
        lines = [
            b"%s %s HTTP/1.1" % (message.method, message.target),
            b"Host: " + str(self.pool.address.host).encode(),
        ]
        lines += [
            b"%s: %s" % (name, message.headers[name]) for name in FORWARDED_HEADERS if name in message.headers
        ]
        lines += [
            b"X-Budget-Ms: %d" % max(1, remaining_us // 1000),
            b"Content-Length: %d\r\n\r\n" % len(message.body),
        ]
        request_bytes: bytes = b"\r\n".join(lines) + message.body
        return request_bytes

    def on_written(self, now: int) -> None:
        """Report to the dispatch that the attempt may run from now on."""
        self.pools.dispatch.attempt_written(now, self.attempt)

    def on_body(self, data: bytes) -> None:
        """Parse the lines that are complete."""
        if self.status != 200 or self.pending_end is not None:
            return
        for line in self.lines.feed(data):
            self._read_line(line)

    def _read_line(self, line_text: LineText) -> None:
        if not line_text.text.strip():
            return
        line = decode_line(line_text, self.id)
        dispatch, now = self.pools.dispatch, self.pools.driver.now()
        if self.pending_end is not None:
            return
        if line.state == "done":
            result = line.result_text(line_text.result_start)
            self.pending_end = ExchangeEnd(Outcome.OK, self.load_report(line.load), result)
        elif line.state in OUTCOME_BY_FINAL_STATE:
            self.pending_end = ExchangeEnd(OUTCOME_BY_FINAL_STATE[line.state], self.load_report(line.load))
        elif line.state == "started":
            dispatch.attempt_started(now, self.attempt)
        elif line.state == "running":
            dispatch.attempt_progressed(now, self.attempt, line.share)

    def on_headers(self) -> None:
        """Derive the outcome from any status other than 200; the body adds nothing to it."""
        if self.status == 200:
            return
        text = self.headers.get(b"x-load-report")
        report = self.load_report(parse_load_header(text)) if text else None
        if self.status in (503, 504) and self.headers.get(b"x-rejected") == b"1":
            self.spoils_connection = self._may_be_duplicate_answer()
            outcome = Outcome.FULL
        else:
            outcome = Outcome.UNUSABLE if 400 <= self.status < 500 else Outcome.ERROR
        self.pending_end = AMBIGUOUS_REJECTION if self.spoils_connection else ExchangeEnd(outcome, report)

    def _may_be_duplicate_answer(self) -> bool:
        """Return whether this answer may be a second answer to the previous request on this connection.

        A rejection does not name its request.
        """
        if not self.is_repeat_restricted or self.connection is None or not self.connection.reused:
            return False
        return not self.connection.is_past_duplicate_answers(self.pools.driver.now())

    def on_complete(self) -> None:
        """Parse a last line without a newline; a stream without a final state counts as reset."""
        if self.pending_end is None:
            self._read_line(self.lines.incomplete_line())
        self.pending_end = self.pending_end or INCOMPLETE_ANSWER

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        """Report the attempt's end to the dispatch."""
        self.attempt.exchange = None  # breaks a reference cycle
        if end.reason is not None:
            address = self.pool.address
            log_event("attempt-broken", reason=end.reason.value, executor=f"{address.host}:{address.port}")
        self.pools.dispatch.attempt_ended(now, self.attempt, end.outcome, end.report, end.result)


class RelayedAttemptExchange(AttemptExchange):
    """An attempt whose executor is itself a node: the answer is one final result instead of lines."""

    def on_body(self, data: bytes) -> None:
        """Collect the answer's body."""
        self.body += data
        if len(self.body) > MAX_LINE_BYTES:
            raise ValueError("answer is too long")

    def on_headers(self) -> None:
        """Map the status to an outcome; 429 and 503 guarantee that nothing ran."""
        if self.status in (429, 503):
            self.pending_end = ExchangeEnd(Outcome.FULL)
        elif self.status != 200:
            self.pending_end = ExchangeEnd(Outcome.UNUSABLE if self.status == 400 else Outcome.ERROR)

    def on_complete(self) -> None:
        """Take the body as the result."""
        self.pending_end = self.pending_end or ExchangeEnd(Outcome.OK, None, bytes(self.body))
