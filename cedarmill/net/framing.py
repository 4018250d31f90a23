"""Frames between our processes: length, version and MessagePack; on loopback or a trusted network only.

One connection a pair. A frame is four bytes of length, one of the version, and an array of a number and a
message; a request's number comes back with its answer, 0 goes with what wants none. What cannot be read ends
the connection with a line in the log, never the process.
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
from cedarmill.core.timers import Timer
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver, callback

VERSION = 1
HEADER = struct.Struct(">IB")  # the body's length in bytes, the version
MAX_BODY_BYTES = 16 * 1024 * 1024  # a part of a snapshot is 32 KiB, all that is agreed some 100 KiB
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # that the other side has not taken: more is dropped, and asked for again
CONNECT_US = 1_000_000  # for a connection to open
HELLO_US = 2_000_000  # for the first frame of a connection
SILENT_US = 4_000_000  # without a byte between replicas, whose heartbeats come ten times a second

Message = Hello | ConnectionRejected | ReplicaMessage | ClientRequest | ClientReply | GossipMessage
_DECODER = msgspec.msgpack.Decoder(tuple[int, Message])
_ENCODER = msgspec.msgpack.Encoder()


class Frame(NamedTuple):
    """What one frame carries: a request's number, which its answer repeats (0: none), and the message."""

    number: int
    message: Any  # one of Message


def encode_frame(number: int, message: object) -> bytes:
    """One frame as it is written."""
    body = _ENCODER.encode((number, message))
    return HEADER.pack(len(body), VERSION) + body


class InvalidFrame(ValueError):
    """What came is no frame of ours, in one line."""


class FrameReader:
    """Cuts what comes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now; raises InvalidFrame."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= HEADER.size:
            length, version = HEADER.unpack_from(self._buffer)
            if version != VERSION:
                raise InvalidFrame(f"version {version}, this program speaks {VERSION}")
            if length > MAX_BODY_BYTES:
                raise InvalidFrame(f"a frame of {length} bytes, at most {MAX_BODY_BYTES} are taken")
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
    """One connection. Its owner hears of each frame (`on_message`), of its opening, and once of its end.

    `name` is the other side's: set by the owner, when it dials or when a hello has come.
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
        self.received_at = driver.now()  # when something came last (us)
        self.dropped = 0  # frames that the other side would not take
        self._reader = FrameReader()
        self._opening: asyncio.Task[object] | None = None
        self._deadline: Timer | None = None

    def dial(self, address: Address) -> None:
        """Open the connection; it ends where that takes longer than CONNECT_US."""
        self._deadline = self.driver.timers.add(
            self.driver.now() + CONNECT_US, lambda now: self.end("no connection")
        )
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self._opening = self.driver.loop.create_task(opening)
        self._opening.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task[object]) -> None:
        self._opening = None
        if task.cancelled() or task.exception() is not None:
            self.end("no connection")

    @callback
    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """The connection is open."""
        self.driver.timers.cancel(self._deadline)
        self.transport = transport
        if self.ended:
            transport.abort()
            return
        self.received_at = self.driver.now()
        if self.on_open is not None:
            self.on_open(self)

    @callback
    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are whole now."""
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

    @callback
    def connection_lost(self, error: Exception | None) -> None:
        """The other side or the system has ended it."""
        self.end("connection lost")

    def send(self, number: int, message: object) -> bool:
        """Write a frame; False where it was dropped: the other side takes nothing, or the transport broke."""
        if self.ended or self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.dropped += 1
            return False
        try:
            self.transport.write(encode_frame(number, message))
        except OSError as error:  # it costs this connection only, never the timer or turn that writes
            self.end(f"write failed: {error.strerror or error}")
            return False
        return True

    def abort(self) -> None:
        """`callback` asks for it: a defect costs this connection only."""
        self.end("internal error")

    def end(self, reason: str) -> None:
        """The one end of a connection."""
        if self.ended:
            return
        self.ended = True
        self.driver.timers.cancel(self._deadline)
        if self._opening is not None:
            self._opening.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.on_end(self, reason)

    def refuse(self, reason: str) -> None:
        """Say why, and close."""
        if not self.send(0, ConnectionRejected(reason)):
            self.end(reason)
            return
        self.ended = True
        if self.transport is not None:
            self.transport.close()
        self.on_end(self, reason)
