"""Frames between processes of this program, for loopback or a trusted network only.

Each pair of processes shares one connection. A frame is four bytes of length, one byte of version, and a
MessagePack array of a request number and a message; a reply repeats its request's number, and 0 marks a
message without a reply. Unreadable bytes end the connection with a log line, never the process.
"""

import asyncio
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from cedarmill.cluster.messages import (
    ClientReply,
    ClientRequest,
    ConnectionRejected,
    GossipMessage,
    Hello,
    ReplicaMessage,
)
from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver, guarded_callback

FRAME_VERSION = 1
HEADER = struct.Struct(">IB")  # the body's length in bytes, the version
MAX_BODY_BYTES = 16 * 1024 * 1024  # far above a part of a snapshot (32 KiB) and the replicated state
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # above this, frames are dropped and have to be requested again
CONNECT_TIMEOUT_US = 1_000_000
HELLO_TIMEOUT_US = 2_000_000  # time limit for a connection's first frame
SILENCE_TIMEOUT_US = 4_000_000  # longest silence between replicas, which send ten heartbeats a second

Message = Hello | ConnectionRejected | ReplicaMessage | ClientRequest | ClientReply | GossipMessage
_DECODER = msgspec.msgpack.Decoder(tuple[int, Message])
_ENCODER = msgspec.msgpack.Encoder()


class Frame(NamedTuple):
    """The content of a frame: a request number, repeated in the reply (0: no reply), and a message."""

    number: int
    message: Any  # an instance of Message


def encode_frame(number: int, message: object) -> bytes:
    """Return the frame's bytes."""
    body = _ENCODER.encode((number, message))
    return HEADER.pack(len(body), FRAME_VERSION) + body


class InvalidFrame(ValueError):
    """Raised for bytes that are not a valid frame."""


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that they complete; raise InvalidFrame."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= HEADER.size:
            length, version = HEADER.unpack_from(self._buffer)
            if version != FRAME_VERSION:
                raise InvalidFrame(f"frame version {version}, this program supports {FRAME_VERSION}")
            if length > MAX_BODY_BYTES:
                raise InvalidFrame(f"frame of {length} bytes, at most {MAX_BODY_BYTES} are accepted")
            if len(self._buffer) < HEADER.size + length:
                break
            body = bytes(self._buffer[HEADER.size : HEADER.size + length])
            del self._buffer[: HEADER.size + length]
            try:
                frames.append(Frame(*_DECODER.decode(body)))
            except msgspec.MsgspecError as error:
                raise InvalidFrame(str(error)) from None
        return frames


class FramedConnection(asyncio.Protocol):
    """A connection that sends and receives frames.

    It calls `on_message` for each frame, `on_open` when it opens and `on_end` once when it ends. `name` is
    the peer's name, set by the owner when it dials or receives a hello.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        on_message: Callable[["FramedConnection", int, Any], None],
        on_end: Callable[["FramedConnection", str], None],
        on_open: Callable[["FramedConnection"], None] | None = None,
    ) -> None:
        self.driver = driver
        self.on_message, self.on_end, self.on_open = on_message, on_end, on_open
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.name = ""
        self.received_at = driver.now()  # us; when bytes last arrived
        self.dropped_frames = 0  # frames discarded because the peer reads too slowly
        self._reader = FrameReader()
        self._connecting: asyncio.Task[object] | None = None
        self._connect_timer = SingleTimer(driver.timers)

    def dial(self, address: Address) -> None:
        """Open the connection, or end it after CONNECT_TIMEOUT_US."""
        self._connect_timer.start(
            self.driver.now() + CONNECT_TIMEOUT_US, lambda now: self.end("no connection")
        )
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self._connecting = self.driver.loop.create_task(opening)
        self._connecting.add_done_callback(self._opened)

    @guarded_callback
    def _opened(self, task: asyncio.Task[object]) -> None:
        self._connecting = None
        if task.cancelled() or task.exception() is not None:
            self.end("no connection")

    @guarded_callback
    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Notify the owner that the connection is open."""
        self._connect_timer.cancel()
        self.transport = transport
        if self.ended:
            transport.abort()
            return
        self.received_at = self.driver.now()
        if self.on_open is not None:
            self.on_open(self)

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Pass the complete frames to the owner."""
        if self.ended:
            return
        self.received_at = self.driver.now()
        try:
            frames = self._reader.feed(data)
        except InvalidFrame as error:
            log_event("frame-bad", reason=str(error), peer=self.name or "?")
            self.end(str(error))
            return
        for frame in frames:
            if not self.ended:
                self.on_message(self, frame.number, frame.message)

    @guarded_callback
    def connection_lost(self, error: Exception | None) -> None:
        """End the connection after its transport has ended."""
        self.end("connection lost")

    def send(self, number: int, message: object) -> bool:
        """Write a frame; return False if it is dropped: the peer reads too slowly, or the transport broke."""
        if self.ended or self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.dropped_frames += 1
            return False
        try:
            self.transport.write(encode_frame(number, message))
        except OSError as error:  # ends this connection only, and must not interrupt the caller
            self.end(f"write failed: {error.strerror or error}")
            return False
        return True

    def abort(self) -> None:
        """End the connection after an exception in a callback, which affects no other connection."""
        self.end("internal error")

    def end(self, reason: str) -> None:
        """End the connection once, and notify the owner."""
        if self.ended:
            return
        self.ended = True
        self._connect_timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.on_end(self, reason)

    def reject(self, reason: str) -> None:
        """Send the reason for a rejection, and close the connection."""
        if not self.send(0, ConnectionRejected(reason)):
            self.end(reason)
            return
        self.ended = True
        if self.transport is not None:
            self.transport.close()
        self.on_end(self, reason)
