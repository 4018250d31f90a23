"""One HTTP/1.1 connection to an executor, from its opening to its one end; it carries exchanges in turn.

A connection opens (it may first wait for the cluster's permission), then is busy with one exchange or idle in
its pool. While it is busy, three moments matter to what the exchange's end means:

* `handed_over`: the transport was given the last byte. Before that a break proves that nothing ran.
* `written`: the last byte has left this process. From then on the attempt may run.
* `answer.complete`: the answer's message has ended; the connection is free, if both sides keep it alive.

All ends go through `abort_quietly`, the only owner of the transport's end; `_lost` tells the exchange before.
"""

import asyncio
import errno
from typing import TYPE_CHECKING, cast

from cedarmill.core.timers import Timer
from cedarmill.decisions.interface import Outcome
from cedarmill.net.loop import callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS, hung_up
from cedarmill.net.upstream.answer_reader import AnswerReader
from cedarmill.net.upstream.exchange import ExchangeEnd

if TYPE_CHECKING:
    from cedarmill.net.upstream.exchange import Exchange
    from cedarmill.net.upstream.pool import UpstreamPool

IDLE_SHARE = 0.5  # of the time after which the executor's machine closes an idle connection
LAST_BYTE_DELAY_US = 2_000  # between an unsafe attempt but for its last byte, and that byte
PERMISSION_RETRY_US = 20_000  # till it is asked again whether the cluster allows a connection
DISTRUST_IDLE_US = 30_000_000  # after an idle one broke under a request, unsafe attempts take new ones
LATE_ANSWER_US = 50_000  # a second answer may come so long after the first: it must not meet the next request
WRITE_AT_ONCE_BYTES = 8 * 1024  # the system takes so much at once; of more the last byte is held back
SEND_TIMEOUT_US = 50_000  # for a request's last byte to leave: the time that it tells was reckoned before
ABORT_RETRY_US = 20_000  # till a transport that could not be aborted is tried again
ANSWER_TAIL_US = 1_000_000  # for an answer's message to end after its last line
# connect fails so for want of descriptors, memory or ports of this machine: that says nothing of the executor
OWN_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class UpstreamConnection(asyncio.Protocol):
    """One connection of an executor's pool."""

    def __init__(self, pool: "UpstreamPool", exchange: "Exchange") -> None:
        self.pool, self.pools, self.driver = pool, pool.pools, pool.pools.driver
        self.transport: asyncio.Transport | None = None
        self.answer = AnswerReader()
        self.exchange: Exchange | None = exchange
        exchange.connection = self
        self.last_byte = b""  # of the request, while it is held back
        self.reused = False  # whether it has served before
        self.handed_over = False
        self.written = False
        self.closed = False
        self.opened_at = self.idle_since = 0  # us
        self.deadline: Timer | None = None  # of the state that it is in
        self.sent_at = 0  # us: when the request's text was made, and the time that it tells
        self._send_timeout: Timer | None = None  # while the system has not taken all that was handed over
        self._connecting: asyncio.Task[object] | None = None

    def open(self) -> None:
        """Connect; the task is this connection's, whatever it will carry.

        Where the cluster allows no further one, it waits for that, as long as what it carries has time.
        """
        driver = self.driver
        self.opened_at = driver.now()
        if not self.pools.dispatch.may_connect(self.opened_at):
            self.deadline = driver.timers.add(self.opened_at + PERMISSION_RETRY_US, lambda now: self.open())
            return
        self._end_at(driver.now() + self.pools.settings.connect_timeout_us)
        address = self.pool.address
        opening = driver.loop.create_connection(lambda: self, address.host, address.port)
        self._connecting = driver.loop.create_task(opening)
        self._connecting.add_done_callback(self._opened)

    @callback
    def _opened(self, task: "asyncio.Task[object]") -> None:
        self._connecting = None
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None:
            own = isinstance(error, OSError) and error.errno in OWN_ERRORS
            self._lost(Outcome.DROPPED if own else Outcome.CONNECT_FAILED)

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what the connection was opened for."""
        self.driver.timers.cancel(self.deadline)
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            self._abort_transport()
            return
        try:
            self.transport.set_write_buffer_limits(high=0)  # resume_writing then tells that all has left
        except TRANSPORT_ERRORS:  # it has broken meanwhile
            self.abort()
            return
        round_trip_us = self.driver.now() - self.opened_at
        margins = self.pools.dispatch.deadline_tracker.margins
        margins.record_round_trip(self.pool.number, round_trip_us)
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        self.carry(exchange)

    # Sending.

    def carry(self, exchange: "Exchange") -> None:
        """Send an exchange out, if it still may be sent."""
        now = self.driver.now()
        self.driver.timers.cancel(self.deadline)
        outcome = exchange.barred(now)
        if outcome is not None:
            self._release()
            exchange.finish(now, ExchangeEnd(outcome))
            return
        text = exchange.request(now)
        self.exchange, exchange.connection = exchange, self
        self.answer.expect(exchange)
        self.handed_over = self.written = False
        self.sent_at = now
        if not exchange.unsafe and len(text) <= WRITE_AT_ONCE_BYTES:
            self._write(text)
            return
        # a break that the request itself brings about comes before its last byte: then it never ran; and
        # what leaves slowly may lose its right meanwhile
        self.last_byte = text[-1:]
        self._write(text[:-1])
        if not self.closed:
            wait = LAST_BYTE_DELAY_US if exchange.unsafe else 0
            self.deadline = self.driver.timers.add(now + wait, self._send_last_byte)

    def _write(self, text: bytes) -> None:
        """Hand bytes to the transport, and give up what it does not let go of in time."""
        assert self.transport is not None
        try:
            self.transport.write(text)
            waiting = self.transport.get_write_buffer_size() > 0
        except TRANSPORT_ERRORS:  # it has broken: nothing of this has left
            self.abort()
            return
        if self.last_byte or self.transport.is_closing():  # closing: it broke, and connection_lost comes
            return
        self.handed_over = True
        if waiting:
            due = self.sent_at + SEND_TIMEOUT_US
            self._send_timeout = self.driver.timers.add(due, lambda now: self.abort())
        else:
            self._has_left()

    def _has_left(self) -> None:
        self.driver.timers.cancel(self._send_timeout)
        self.written = True
        if self.exchange is not None:
            self.exchange.on_written(self.driver.now())

    def _send_last_byte(self, now: int) -> None:
        """Send the last byte once the rest has left, if the attempt still may be sent."""
        exchange, transport = self.exchange, self.transport
        assert exchange is not None and transport is not None
        outcome = Outcome.DROPPED if now - self.sent_at > SEND_TIMEOUT_US else exchange.barred(now)
        if outcome is not None:
            self.abort_quietly()
            exchange.finish(now, ExchangeEnd(outcome))
        elif transport.get_write_buffer_size():
            self.deadline = self.driver.timers.add(now + LAST_BYTE_DELAY_US, self._send_last_byte)
        else:
            last_byte, self.last_byte = self.last_byte, b""
            self._write(last_byte)

    def resume_writing(self) -> None:
        """All that was written has left."""
        if self.handed_over and not self.written:
            self._has_left()

    # Reading the answer.

    @callback
    def data_received(self, data: bytes) -> None:
        """Take a part of the answer; its end is passed on after the connection is free or gone."""
        exchange = self.exchange
        if exchange is None:  # nothing was asked
            self.abort()
            return
        readable = self.answer.feed(data)
        now = self.driver.now()
        if not readable:
            self.abort_quietly()
        elif self.answer.complete:  # free before the balancer hears of it: it may send here at once
            self._free_after_answer()
        elif exchange.ending is not None and not exchange.ended:  # only its message's end may still come
            self.driver.timers.cancel(self.deadline)
            self._end_at(now + ANSWER_TAIL_US)
        if exchange.ending is not None or not readable:
            exchange.finish(now, exchange.ending or ExchangeEnd(Outcome.RESET))

    def _free_after_answer(self) -> None:
        assert self.transport is not None
        if self.answer.keep_alive and self.written and not self.transport.is_closing():
            self._release()
        else:
            self.abort_quietly()

    # Its end.

    @callback
    def eof_received(self) -> None:
        """The other side has closed: out of the pool at once, and nothing more leaves on it."""
        if self.exchange is not None and not self.written:
            self.abort()  # or the loop would first let all leave that it still holds
        self.pool.forget(self)

    @callback
    def connection_lost(self, error: Exception | None) -> None:
        """The transport has ended."""
        self._lost()
        self.answer.close()

    def _lost(self, unopened: Outcome = Outcome.CONNECT_FAILED) -> None:
        """The one end that what it carries hears of; `unopened`: what it means where it never came up."""
        exchange = self.exchange
        self.abort_quietly()
        if exchange is None:
            return
        now = self.driver.now()
        if self.reused and not exchange.status:
            self.pools.distrust_idle_until = now + DISTRUST_IDLE_US
        if self.transport is None:
            outcome = unopened
        else:
            outcome = Outcome.RESET if self.handed_over else Outcome.DROPPED
        exchange.finish(now, ExchangeEnd(outcome))

    def abort_quietly(self) -> None:
        """End the connection; what it carries hears nothing of that."""
        self.exchange = self.answer.exchange = None
        self.closed = True
        self._cancel_timers()
        self.pool.forget(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self.transport is not None:
            self._abort_transport()

    def _cancel_timers(self) -> None:
        self.driver.timers.cancel(self.deadline)
        self.driver.timers.cancel(self._send_timeout)

    def _abort_transport(self, now: int = 0) -> None:
        assert self.transport is not None
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:  # its descriptor must not stay
            self.driver.timers.add(self.driver.now() + ABORT_RETRY_US, self._abort_transport)

    def abort(self) -> None:
        """End the connection, and what it carries with it."""
        if not self.closed:
            self._lost()

    def end_sending(self) -> None:
        """Give up what it carries by ending the sending: the executor stops, and closes."""
        assert self.transport is not None
        self.exchange = self.answer.exchange = None
        self._cancel_timers()
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.abort_quietly()
            return
        self._end_at(self.driver.now() + ANSWER_TAIL_US)

    def _end_at(self, due: int) -> None:
        """End it at that time (us), unless its state changes before."""
        self.deadline = self.driver.timers.add(due, lambda now: self.abort())

    # Between two exchanges.

    def _release(self) -> None:
        """Into the pool."""
        self.exchange = self.answer.exchange = None
        self.reused = True
        self.idle_since = self.driver.now()
        self.pool.idle.append(self)
        self._end_at(self.idle_since + int(self.pools.settings.conn_idle_us * IDLE_SHARE))

    def past_late_answers(self, now: int) -> bool:
        """Whether no second answer to its last request can come any more."""
        return now - self.idle_since >= LATE_ANSWER_US

    def is_closing(self) -> bool:
        """Whether this side has given it up."""
        return self.transport is None or self.transport.is_closing()

    def hung_up(self) -> bool:
        """Whether the other side has closed it, though that may not have been read yet; one system call."""
        return self.transport is None or hung_up(self.transport)
