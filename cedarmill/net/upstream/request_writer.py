"""The sending side of a connection to an executor: writes one request at a time.

Two flags determine the outcome of an exchange whose connection breaks:

* `handed_to_transport`: the transport has the last byte. A break before that proves that nothing ran.
* `written`: the last byte has left this process. From then on the attempt may run.
"""

from typing import TYPE_CHECKING

from cedarmill.core.timers import SingleTimer
from cedarmill.decisions.interface import Outcome
from cedarmill.net.socket_state import TRANSPORT_ERRORS
from cedarmill.net.upstream.exchange_end import BreakReason, ExchangeEnd

if TYPE_CHECKING:
    from cedarmill.net.upstream.connection import UpstreamConnection
    from cedarmill.net.upstream.exchange import Exchange

LAST_BYTE_DELAY_US = 2_000  # an unsafe attempt's last byte follows its other bytes after this delay
# The system takes this much in one write; longer requests are sent without their last byte first.
MAX_SINGLE_WRITE_BYTES = 8 * 1024
SEND_TIMEOUT_US = 50_000  # a request that leaves later overstates the remaining time in its header


class RequestWriter:
    """Writes the requests of one connection; a request that does not leave in time breaks the connection."""

    def __init__(self, connection: "UpstreamConnection") -> None:
        self.handed_to_transport = False
        self.written = False
        self.built_at = 0  # us; when the current request was encoded
        self._connection = connection
        self._held_last_byte = b""  # last byte of the request while it is held back
        self._last_byte_timer = SingleTimer(connection.driver.timers)
        self._send_timer = SingleTimer(connection.driver.timers)  # runs while the request is partly unsent

    def send(self, request_bytes: bytes, exchange: "Exchange", now: int) -> None:
        """Write the request of an exchange that was encoded now."""
        self.handed_to_transport = self.written = False
        self.built_at = now
        if not exchange.is_unsafe and len(request_bytes) <= MAX_SINGLE_WRITE_BYTES:
            self._write(request_bytes)
            return
        # Hold back the last byte: if the request itself breaks the connection, it provably never ran. A
        # request that leaves slowly is checked again before its last byte.
        self._held_last_byte = request_bytes[-1:]
        self._write(request_bytes[:-1])
        if not self._connection.closed:
            delay_us = LAST_BYTE_DELAY_US if exchange.is_unsafe else 0
            self._last_byte_timer.start(now + delay_us, self._send_last_byte)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the request that the transport still keeps."""
        transport = self._connection.transport
        return 0 if self.written or transport is None else transport.get_write_buffer_size()

    def on_buffer_empty(self) -> None:
        """Handle the transport's write buffer becoming empty."""
        if self.handed_to_transport and not self.written:
            self._on_flushed()
        self._connection.count_memory()

    def withhold_last_byte(self) -> None:
        """Never send a last byte that is still held back, because the executor has answered without it."""
        self._last_byte_timer.cancel()

    def cancel_timers(self) -> None:
        """Stop sending, because the connection ends."""
        self.withhold_last_byte()
        self._send_timer.cancel()

    def _write(self, request_bytes: bytes) -> None:
        """Write bytes to the transport, and abort if they do not leave within SEND_TIMEOUT_US."""
        connection, transport = self._connection, self._connection.transport
        assert transport is not None
        try:
            transport.write(request_bytes)
            has_unsent_bytes = transport.get_write_buffer_size() > 0
        except TRANSPORT_ERRORS:  # the socket broke, and none of these bytes has left
            connection.abort(BreakReason.CONNECTION_FAILED)
            return
        if has_unsent_bytes:
            connection.count_memory()
        if self._held_last_byte or transport.is_closing():  # if closing, connection_lost follows
            return
        self.handed_to_transport = True
        if has_unsent_bytes:
            due = self.built_at + SEND_TIMEOUT_US
            self._send_timer.start(due, lambda now: connection.abort(BreakReason.SEND_TIMED_OUT))
        else:
            self._on_flushed()

    def _on_flushed(self) -> None:
        self._send_timer.cancel()
        self.written = True
        if self._connection.exchange is not None:
            self._connection.exchange.on_written(self._connection.driver.now())

    def _send_last_byte(self, now: int) -> None:
        """Send the last byte after all other bytes have left, unless the exchange is blocked by now."""
        connection, transport = self._connection, self._connection.transport
        exchange = connection.exchange
        assert exchange is not None and transport is not None
        end: ExchangeEnd | None = None
        if now - self.built_at > SEND_TIMEOUT_US:
            end = ExchangeEnd(Outcome.DROPPED, reason=BreakReason.SEND_TIMED_OUT)
        elif (outcome := exchange.outcome_if_blocked(now)) is not None:
            end = ExchangeEnd(outcome)
        if end is not None:
            connection.discard()
            exchange.finish(now, end)
        elif transport.get_write_buffer_size():
            self._last_byte_timer.start(now + LAST_BYTE_DELAY_US, self._send_last_byte)
        else:
            last_byte, self._held_last_byte = self._held_last_byte, b""
            self._write(last_byte)
