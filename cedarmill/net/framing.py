"""Frames between our processes: length, version and MessagePack; on loopback or a trusted network only.

One connection a pair. A frame is four bytes of length, one of the version, and an array of a number and a
message; a request's number comes back with its answer, 0 goes with what wants none. What cannot be read ends
the connection with a line in the log, never the process.
"""

import asyncio
import struct
from collections.abc import Callable

import msgspec

from cedarmill.cluster.messages import (
    ClientReply,
    ClientRequest,
    ConnectionRejected,
    GossipMessage,
    Hello,
    ReplicaMessage,
)
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver, callback

VERSION = 1
HEAD = struct.Struct(">IB")
MAX_FRAME = (
    16 * 1024 * 1024
)  # bytes: a part of a snapshot is 32 KiB, the whole of what is agreed some 100 KiB
MAX_WAITING = 4 * 1024 * 1024  # bytes that the other side has not taken: more is dropped, and asked for again
CONNECT_US = 1_000_000
HELLO_US = 2_000_000  # for the first frame of a connection
SILENT_US = 4_000_000  # without a byte between keepers, whose heartbeats come ten times a second

Word = Hello | ConnectionRejected | ReplicaMessage | ClientRequest | ClientReply | GossipMessage
_DECODE = msgspec.msgpack.Decoder(tuple[int, Word])
_ENCODE = msgspec.msgpack.Encoder()


def encode_frame(number: int, word: object) -> bytes:
    """One frame as it is written."""
    body = _ENCODE.encode((number, word))
    return HEAD.pack(len(body), VERSION) + body


class InvalidFrame(ValueError):
    """What came is no frame of ours, in one line."""


class FrameReader:
    """Cuts what comes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, Word]]:
        """The frames that are whole now; raises Bad."""
        self._buffer += data
        found = []
        while len(self._buffer) >= HEAD.size:
            length, version = HEAD.unpack_from(self._buffer)
            if version != VERSION:
                raise InvalidFrame(f"version {version}, this program speaks {VERSION}")
            if length > MAX_FRAME:
                raise InvalidFrame(f"a frame of {length} bytes, at most {MAX_FRAME} are taken")
            if len(self._buffer) < HEAD.size + length:
                break
            body = bytes(self._buffer[HEAD.size : HEAD.size + length])
            del self._buffer[: HEAD.size + length]
            try:
                found.append(_DECODE.decode(body))
            except msgspec.MsgspecError as error:
                raise InvalidFrame(str(error)) from None
        return found


class FramedConnection(asyncio.Protocol):
    """One connection; who owns it is told of what comes and of its end."""

    def __init__(
        self,
        driver: EventLoopDriver,
        heard: Callable[["FramedConnection", int, Word], None],
        ended: Callable[["FramedConnection", str], None],
        made: Callable[["FramedConnection"], None] | None = None,
    ) -> None:
        self.driver, self.heard, self.ended, self.made = driver, heard, ended, made
        self.transport: asyncio.Transport | None = None
        self.reader = FrameReader()
        self.over = False
        self.name = ""  # of the other side, once it has said hello
        self.last = driver.now()  # when something came
        self.dropped = 0
        self._task: asyncio.Task | None = None
        self._deadline = None

    def dial(self, address: Address) -> None:
        """Connect; the task is this connection's, whatever it will carry."""
        self._deadline = self.driver.timers.add(
            self.driver.now() + CONNECT_US, lambda now: self.end("no connection")
        )
        opening = self.driver.loop.create_connection(lambda: self, address.host, address.port)
        self._task = self.driver.loop.create_task(opening)
        self._task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task) -> None:
        self._task = None
        if task.cancelled() or task.exception() is not None:
            self.end("no connection")

    @callback
    def connection_made(self, transport) -> None:
        self.driver.timers.cancel(self._deadline)
        self.transport = transport
        if self.over:
            transport.abort()
            return
        self.last = self.driver.now()
        if self.made is not None:
            self.made(self)

    @callback
    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.last = self.driver.now()
        try:
            frames = self.reader.feed(data)
        except InvalidFrame as error:
            log_event("frame-bad", reason=str(error), peer=self.name or "?")
            self.end(str(error))
            return
        for number, word in frames:
            if not self.over:
                self.heard(self, number, word)

    @callback
    def connection_lost(self, error) -> None:
        self.end("connection lost")

    def send(self, number: int, word: object) -> bool:
        """Write a frame; False where it was dropped: the other side takes nothing, or the transport broke."""
        if self.over or self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_WAITING:
            self.dropped += 1
            return False
        try:
            self.transport.write(encode_frame(number, word))
        except OSError as error:  # it costs this connection only, never the timer or turn that writes
            self.end(f"write failed: {error.strerror or error}")
            return False
        return True

    def abort(self) -> None:
        self.end("internal error")

    def end(self, reason: str) -> None:
        """The one end of a connection."""
        if self.over:
            return
        self.over = True
        self.driver.timers.cancel(self._deadline)
        if self._task is not None:
            self._task.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.ended(self, reason)

    def refuse(self, reason: str) -> None:
        """Say why, and close."""
        if not self.send(0, ConnectionRejected(reason)):
            self.end(reason)
            return
        self.over = True
        if self.transport is not None:
            self.transport.close()
        self.ended(self, reason)
