"""Frames between our processes: cut anywhere, of another version, too long; and peers that are silent."""

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
from cedarmill.net.framing import HEAD, MAX_FRAME, FramedConnection, FrameReader, InvalidFrame, encode_frame
from cedarmill.net.loop import EventLoopDriver
from tests.support.replica_case import LONG, KeeperCase

WORDS = (
    Hello("c", "k0", "keeper", "d", 3),
    AppendEntries(2, 1, 1, (Entry(2, 2, EntryKind.COMMAND, b"x"),), 1, 9),
    ForwardRequest(4, ReadRequest("status")),
    HeartbeatReply(1, 5, 2, Orders(7, {"b0": 7})),
)


class Frames(unittest.TestCase):
    def test_cut_at_any_byte_they_come_whole(self):
        text = b"".join(encode_frame(number, word) for number, word in enumerate(WORDS))
        for cut in range(len(text) + 1):
            reader = FrameReader()
            found = reader.feed(text[:cut]) + reader.feed(text[cut:])
            self.assertEqual(found, list(enumerate(WORDS)))

    def test_what_is_no_frame_is_refused_with_its_reason(self):
        cases = (
            (HEAD.pack(3, 9) + b"abc", "version 9"),
            (HEAD.pack(MAX_FRAME + 1, 1), "at most"),
            (HEAD.pack(3, 1) + b"abc", ""),
            (b"GET / HTTP/1.1\r\n\r\n", "version"),
        )
        for text, words in cases:
            with self.assertRaisesRegex(InvalidFrame, words):
                FrameReader().feed(text)


class BrokenTransport:
    """A transport whose writes fail as send(2) does."""

    def __init__(self, number: int) -> None:
        self.number, self.aborted = number, 0

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        raise OSError(self.number, os.strerror(self.number))

    def abort(self) -> None:
        self.aborted += 1


class BrokenWrites(unittest.TestCase):
    """A write that fails ends its connection, once, and nothing that its owner does at that time."""

    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.driver = EventLoopDriver(self.loop, Timers())

    def test_each_way_to_write_ends_the_connection_once(self):
        for number in (errno.EPIPE, errno.ECONNRESET, errno.ENOBUFS):
            for write in (
                lambda wire: wire.send(0, ReadRequest("status")),
                lambda wire: wire.refuse("not here"),
            ):
                with self.subTest(number=number):
                    on_end = mock.Mock()
                    wire = FramedConnection(self.driver, None, on_end)
                    wire.transport = BrokenTransport(number)
                    self.assertFalse(write(wire))
                    on_end.assert_called_once_with(wire, f"write failed: {os.strerror(number)}")
                    self.assertEqual(wire.transport.aborted, 1)
                    self.assertFalse(wire.send(0, ReadRequest("status")))

    def test_a_member_s_session_goes_on(self):
        """Its timer stands behind the write: without it there would be no beat ever again."""
        member = Membership(
            self.driver, "main", MemberIdentity("node", "n0", "1"), {"k0": Address("127.0.0.1", 1)},
            MemberReport, lambda orders: None,
        )  # fmt: skip
        wire = member.wire = FramedConnection(self.driver, member._heard, member._ended)
        wire.transport = BrokenTransport(errno.EPIPE)
        member._do([SendRequest(ReadRequest("status"))])
        self.assertTrue(wire.over)
        self.assertIsNone(member.wire)
        self.assertIsNotNone(self.driver.timers.next_due)


class Silent(KeeperCase):
    """A keeper whose peer accepts and says nothing dials it anew when it is back."""

    keepers = 2

    def test_a_peer_that_never_greets_is_dialled_anew(self):
        self.wait_for(lambda: self.look("status")["leader"])
        self.kill("k1")
        with socket.create_server(("127.0.0.1", self.ports["k1"])) as dumb:
            dumb.settimeout(LONG)
            held = [dumb.accept()[0]]  # the first dial of k0, and what it says is read by nobody
            held.append(dumb.accept()[0])  # it gave that one up
            for sock in held:
                sock.close()
        self.start_keeper("k1")
        self.wait_for(lambda: self.look("status")["leader"])

    def test_a_stranger_s_bytes_cost_it_its_connection_and_nobody_else(self):
        self.wait_for(lambda: self.look("status")["leader"])
        for text in (b"\0" * 40, b"GET / HTTP/1.1\r\n\r\n", encode_frame(1, ReadRequest("status"))):
            with socket.create_connection(("127.0.0.1", self.ports["k0"]), LONG) as sock:
                sock.sendall(text)
                self.assertEqual(sock.recv(1), b"")
        self.wait_for(lambda: self.look("status")["leader"])


if __name__ == "__main__":
    unittest.main()
