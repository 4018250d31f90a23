"""One HTTP/1.1 connection to an executor, which carries one exchange at a time.

A connection opens, possibly after waiting for the cluster's permission. From then on it either carries an
exchange or is idle in its pool. `writer` tells how much of a request has left, which determines the outcome
of an exchange whose connection breaks. Once `answer.complete`, the connection is reusable if both sides keep
it alive.

`discard` is the only place that ends a connection; `_terminate` also reports the end to the exchange.
"""

import asyncio
import errno
from typing import TYPE_CHECKING, cast

from cedarmill.core.memory_budget import MessageKind
from cedarmill.core.timers import SingleTimer
from cedarmill.decisions.interface import Outcome
from cedarmill.net.loop import guarded_callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS, is_closed_or_unknown
from cedarmill.net.upstream.answer_reader import AnswerReader
from cedarmill.net.upstream.exchange_end import BreakReason, ExchangeEnd
from cedarmill.net.upstream.request_writer import RequestWriter

if TYPE_CHECKING:
    from cedarmill.net.upstream.exchange import Exchange
    from cedarmill.net.upstream.pool import UpstreamPool

IDLE_TIMEOUT_FRACTION = 0.5  # fraction of the executor's own idle timeout after which a connection closes
PERMISSION_RETRY_US = 20_000  # interval of the checks whether the cluster permits a connection
IDLE_REUSE_PAUSE_US = 30_000_000  # unsafe attempts avoid idle connections after one broke under a request
# An executor may send a second answer this long after the first; it must not be read as the next request's.
DUPLICATE_ANSWER_WINDOW_US = 50_000
ABORT_RETRY_US = 20_000  # delay before a failed abort of a transport is repeated
# Time for an HTTP message to end after its final line, or for a line to end that is longer than allowed.
ANSWER_END_TIMEOUT_US = 1_000_000
# A connect that fails with one of these lacks a resource of this machine, so the executor is not at fault.
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class UpstreamConnection(asyncio.Protocol):
    """One connection in an executor's pool."""

    def __init__(self, pool: "UpstreamPool", exchange: "Exchange") -> None:
        self.pool, self.pools, self.driver = pool, pool.pools, pool.pools.driver
        self.transport: asyncio.Transport | None = None
        self.answer = AnswerReader()
        self.writer = RequestWriter(self)
        self.exchange: Exchange | None = exchange
        exchange.connection = self
        self.reused = False  # whether the connection has carried an exchange before
        self.closed = False
        self.opened_at = self.idle_since = 0  # us
        self._state_timer = SingleTimer(self.driver.timers)  # bounds the current state
        self._abort_retry = SingleTimer(self.driver.timers)
        self._connecting: asyncio.Task[object] | None = None

    def open(self) -> None:
        """Connect, once the cluster permits another connection.

        The wait for the permission has no limit of its own: the exchange ends by its own deadline.
        """
        driver = self.driver
        self.opened_at = driver.now()
        if not self.pools.dispatch.may_connect(self.opened_at):
            self._state_timer.start(self.opened_at + PERMISSION_RETRY_US, lambda now: self.open())
            return
        self._schedule_abort(
            driver.now() + self.pools.settings.connect_timeout_us, BreakReason.CONNECT_TIMED_OUT
        )
        address = self.pool.address
        opening = driver.loop.create_connection(lambda: self, address.host, address.port)
        self._connecting = driver.loop.create_task(opening)
        self._connecting.add_done_callback(self._opened)

    @guarded_callback
    def _opened(self, task: "asyncio.Task[object]") -> None:
        self._connecting = None
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None:
            is_local_error = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
            unopened_outcome = Outcome.DROPPED if is_local_error else Outcome.CONNECT_FAILED
            self._terminate(BreakReason.CONNECT_FAILED, unopened_outcome)

    @guarded_callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the exchange that the connection was opened for."""
        self._state_timer.cancel()
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            self._abort_transport()
            return
        try:
            self.transport.set_write_buffer_limits(high=0)  # resume_writing then signals an empty buffer
        except TRANSPORT_ERRORS:  # the socket broke since the connect
            self.abort(BreakReason.CONNECTION_FAILED)
            return
        round_trip_us = self.driver.now() - self.opened_at
        margins = self.pools.dispatch.deadline_tracker.margins
        margins.record_round_trip(self.pool.executor_number, round_trip_us)
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        self.send_exchange(exchange)

    # Sending.

    def send_exchange(self, exchange: "Exchange") -> None:
        """Send an exchange's request, unless the exchange is blocked by now."""
        now = self.driver.now()
        self._state_timer.cancel()
        outcome = exchange.outcome_if_blocked(now)
        if outcome is not None:
            self._return_to_pool()
            exchange.finish(now, ExchangeEnd(outcome))
            return
        request_bytes = exchange.encode_request(now)
        self.exchange, exchange.connection = exchange, self
        self.answer.expect(exchange)
        self.writer.send(request_bytes, exchange, now)

    def resume_writing(self) -> None:
        """Handle the transport's write buffer becoming empty."""
        self.writer.on_buffer_empty()

    # Reading the answer.

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer; the exchange finishes after the connection is reusable or closed."""
        exchange = self.exchange
        if exchange is None:  # unsolicited data
            self.discard()
            return
        malformed_end = self.answer.feed(data)
        now = self.driver.now()
        if malformed_end is not None:
            self.discard()
        elif self.answer.complete:  # released first: the balancer may reuse the connection at once
            self._release_after_answer(exchange)
        elif exchange.pending_end is not None and not exchange.finished:  # only the message's end is missing
            self.writer.withhold_last_byte()
            self._schedule_abort(now + ANSWER_END_TIMEOUT_US, BreakReason.ANSWER_END_TIMED_OUT)
        elif exchange.is_overlong != exchange.is_end_due:
            self._limit_line_end(exchange, now)
        end = exchange.pending_end or malformed_end
        if end is not None:
            exchange.finish(now, end)
        if self.exchange is not None:
            if self.exchange is exchange:
                exchange.drop_result()
            self.count_memory()

    def _limit_line_end(self, exchange: "Exchange", now: int) -> None:
        """Start the time for an overlong line to end, or stop it once the line has ended."""
        exchange.is_end_due = exchange.is_overlong
        if exchange.is_end_due:
            self._schedule_abort(now + ANSWER_END_TIMEOUT_US, BreakReason.LINE_TOO_LONG)
        else:
            self._state_timer.cancel()

    def _release_after_answer(self, exchange: "Exchange") -> None:
        assert self.transport is not None
        is_intact = self.writer.written and not self.transport.is_closing()
        if self.answer.keep_alive and is_intact and not exchange.spoils_connection:
            self._return_to_pool()
        else:
            self.discard()

    # Ending.

    @guarded_callback
    def eof_received(self) -> None:
        """Remove the connection from the pool, and abort a request that is not fully sent."""
        if self.exchange is not None and not self.writer.written:
            # Otherwise the event loop would send the rest of its buffer first.
            self.abort(BreakReason.CLOSED_BY_EXECUTOR)
        self.pool.remove_connection(self)

    @guarded_callback
    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the transport to the exchange."""
        self._terminate(BreakReason.CONNECTION_FAILED if error else BreakReason.CLOSED_BY_EXECUTOR)
        self._abort_retry.cancel()
        self.answer.close()

    def _terminate(self, reason: BreakReason, unopened_outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Close the connection and finish its exchange; `unopened_outcome` applies if it never opened."""
        exchange = self.exchange
        self.discard()
        if exchange is None:
            return
        now = self.driver.now()
        if self.reused and not exchange.status:
            self.pools.idle_reuse_paused_until = now + IDLE_REUSE_PAUSE_US
        if self.transport is None:
            outcome = unopened_outcome
        else:
            outcome = Outcome.RESET if self.writer.handed_to_transport else Outcome.DROPPED
        exchange.finish(now, ExchangeEnd(outcome, reason=reason))

    def discard(self) -> None:
        """Close the connection without finishing its exchange."""
        self._detach_exchange()
        self.closed = True
        self._cancel_timers()
        self.pool.remove_connection(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self.transport is not None:
            self._abort_transport()

    def _detach_exchange(self) -> None:
        """Forget the exchange and what was kept of its messages."""
        memory = self.pools.memory
        if self.exchange is not None and memory.is_counted(self):
            self.exchange.drop_answer()
            memory.remove(self)
        self.exchange = self.answer.exchange = None

    def _cancel_timers(self) -> None:
        self._state_timer.cancel()
        self.writer.cancel_timers()

    def _abort_transport(self, now: int = 0) -> None:
        assert self.transport is not None
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:  # retry, otherwise the descriptor would leak
            self._abort_retry.start(self.driver.now() + ABORT_RETRY_US, self._abort_transport)

    def abort(self, reason: BreakReason = BreakReason.INTERNAL_ERROR) -> None:
        """Close the connection and finish its exchange; the default is for a callback that failed."""
        if not self.closed:
            self._terminate(reason)

    def half_close(self) -> None:
        """Drop the exchange and shut down the sending side, which makes the executor stop and close."""
        assert self.transport is not None
        self._detach_exchange()
        self._cancel_timers()
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.discard()
            return
        self._schedule_abort(self.driver.now() + ANSWER_END_TIMEOUT_US, BreakReason.ANSWER_END_TIMED_OUT)

    def _schedule_abort(self, due: int, reason: BreakReason) -> None:
        """Abort at `due` (us), unless the state changes before."""
        self._state_timer.start(due, lambda now: self.abort(reason))

    # Memory.

    def count_memory(self) -> None:
        """Count what is kept of the current exchange's messages."""
        self.pools.memory.update(self, self.driver.now())

    def held_bytes(self) -> int:
        """Return the bytes that are kept of the current exchange's request and answer."""
        return self.answer.held_bytes + self.writer.unsent_bytes if self.exchange is not None else 0

    def message_kind(self) -> MessageKind:
        """Return the kind of the messages that are kept."""
        return MessageKind.EXECUTOR_ANSWER

    def end_costly_message(self) -> bool:
        """Close the connection and finish its exchange; the attempt may have run if it has left whole."""
        self.abort(BreakReason.MEMORY_FULL)
        return True

    # Idle.

    def _return_to_pool(self) -> None:
        """Put the connection into its pool's idle list."""
        self._detach_exchange()
        self.reused = True
        self.idle_since = self.driver.now()
        self.pool.idle.append(self)
        idle_until = self.idle_since + int(self.pools.settings.conn_idle_us * IDLE_TIMEOUT_FRACTION)
        self._schedule_abort(idle_until, BreakReason.IDLE_TIMED_OUT)

    def is_past_duplicate_answers(self, now: int) -> bool:
        """Return whether a second answer to the last request is ruled out by now."""
        return now - self.idle_since >= DUPLICATE_ANSWER_WINDOW_US

    def is_closing(self) -> bool:
        """Return whether this side has closed the connection or is closing it."""
        return self.transport is None or self.transport.is_closing()

    def is_closed_by_peer(self) -> bool:
        """Return whether the executor has closed the connection, read or not; makes one system call."""
        return self.transport is None or is_closed_or_unknown(self.transport)
