"""Frames between our processes: cut anywhere, of another version, too long; and peers that are silent."""

import socket
import unittest

from cedarmill.cluster.messages import ForwardRequest, HeartbeatReply, Hello, Orders, ReadRequest
from cedarmill.cluster.raft.messages import AppendEntries, Entry, EntryKind
from cedarmill.net.framing import HEAD, MAX_FRAME, FrameReader, InvalidFrame, encode_frame
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
