"""Frames between processes: split, invalid or too long ones, failed writes, and silent peers."""

import asyncio
import errno
import os
import socket
import unittest
from unittest import mock

from cedarmill.cluster.messages import ForwardRequest, HeartbeatReply, Hello, Orders, ReadRequest
from cedarmill.cluster.raft.messages import AppendEntries, Entry, EntryKind
from cedarmill.cluster.session import MemberIdentity, MemberReport, SendRequest
from cedarmill.core.timers import Timers
from cedarmill.net.cluster.member import Membership
from cedarmill.net.config import Address
from cedarmill.net.framing import (
    HEADER,
    MAX_BODY_BYTES,
    FramedConnection,
    FrameReader,
    InvalidFrame,
    encode_frame,
)
from cedarmill.net.loop import EventLoopDriver
from tests.support.replica_case import LONG, ReplicaCase

MESSAGES = (
    Hello("c", "k0", "keeper", "d", 3),
    AppendEntries(2, 1, 1, (Entry(2, 2, EntryKind.COMMAND, b"x"),), 1, 9),
    ForwardRequest(4, ReadRequest("status")),
    HeartbeatReply(1, 5, 2, Orders(7, {"b0": 7})),
)


class FrameCodec(unittest.TestCase):
    def test_frames_split_at_any_byte_are_complete(self):
        data = b"".join(encode_frame(number, message) for number, message in enumerate(MESSAGES))
        for offset in range(len(data) + 1):
            reader = FrameReader()
            frames = reader.feed(data[:offset]) + reader.feed(data[offset:])
            self.assertEqual(frames, list(enumerate(MESSAGES)))

    def test_invalid_frame_is_rejected_with_reason(self):
        cases = (
            (HEADER.pack(3, 9) + b"abc", "version 9"),
            (HEADER.pack(MAX_BODY_BYTES + 1, 1), "at most"),
            (HEADER.pack(3, 1) + b"abc", ""),
            (b"GET / HTTP/1.1\r\n\r\n", "version"),
        )
        for data, pattern in cases:
            with self.assertRaisesRegex(InvalidFrame, pattern):
                FrameReader().feed(data)


class BrokenTransport:
    """A transport whose writes raise an OSError."""

    def __init__(self, error_number: int) -> None:
        self.error_number, self.aborted = error_number, 0

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        raise OSError(self.error_number, os.strerror(self.error_number))

    def abort(self) -> None:
        self.aborted += 1


class FailedWrites(unittest.TestCase):
    """A failed write ends its connection once, and does not interrupt the caller."""

    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.driver = EventLoopDriver(self.loop, Timers())

    def test_failed_send_or_refusal_ends_connection_once(self):
        for error_number in (errno.EPIPE, errno.ECONNRESET, errno.ENOBUFS):
            for write in (
                lambda connection: connection.send(0, ReadRequest("status")),
                lambda connection: connection.reject("not here"),
            ):
                with self.subTest(error_number=error_number):
                    on_end = mock.Mock()
                    connection = FramedConnection(self.driver, None, on_end)
                    connection.transport = BrokenTransport(error_number)
                    self.assertFalse(write(connection))
                    on_end.assert_called_once_with(connection, f"write failed: {os.strerror(error_number)}")
                    self.assertEqual(connection.transport.aborted, 1)
                    self.assertFalse(connection.send(0, ReadRequest("status")))

    def test_member_session_continues_after_failed_write(self):
        """Guards against skipping the heartbeat timer, which is set after the write."""
        member = Membership(
            self.driver, "main", MemberIdentity("node", "n0", "1"), {"k0": Address("127.0.0.1", 1)},
            MemberReport, lambda orders: None,
        )  # fmt: skip
        connection = member._connection = FramedConnection(self.driver, member._on_message, member._on_end)
        connection.transport = BrokenTransport(errno.EPIPE)
        member._carry_out([SendRequest(ReadRequest("status"))])
        self.assertTrue(connection.ended)
        self.assertIsNone(member._connection)
        self.assertIsNotNone(self.driver.timers.next_due)


class SilentPeers(ReplicaCase):
    """A replica dials a peer again that accepts connections and sends nothing."""

    replicas = 2

    def test_peer_that_sends_no_hello_is_dialled_again(self):
        self.wait_for(lambda: self.look("status")["leader"])
        self.kill("k1")
        with socket.create_server(("127.0.0.1", self.ports["k1"])) as server:
            server.settimeout(LONG)
            connections = [server.accept()[0]]  # the first connection from k0, which gets no reply
            connections.append(server.accept()[0])  # k0 has given up the first one
            for sock in connections:
                sock.close()
        self.start_replica("k1")
        self.wait_for(lambda: self.look("status")["leader"])

    def test_invalid_bytes_end_only_their_own_connection(self):
        self.wait_for(lambda: self.look("status")["leader"])
        for data in (b"\0" * 40, b"GET / HTTP/1.1\r\n\r\n", encode_frame(1, ReadRequest("status"))):
            with socket.create_connection(("127.0.0.1", self.ports["k0"]), LONG) as sock:
                sock.sendall(data)
                self.assertEqual(sock.recv(1), b"")
        self.wait_for(lambda: self.look("status")["leader"])


if __name__ == "__main__":
    unittest.main()
