"""What one client connection may take of the node's memory, whatever the client sends."""

import contextlib
import itertools
import re
import socket
import string
import tracemalloc
import unittest
from pathlib import Path

from cedarmill.core.memory_budget import GUARANTEED_BYTES, MemoryBudget
from cedarmill.net.clients.request import ClientRequest
from cedarmill.net.clients.request_reader import RequestReader
from cedarmill.net.clients.server import USED_HEADERS
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.node import SESSION_MB
from tests.net.test_client_cancellation import RawClientCase, raw
from tests.net.test_client_socket_errors import SessionCase
from tests.support.node_case import WAIT, NodeCase

HEAD = b"POST /api HTTP/1.1\r\nX-Call-Id: a1\r\nX-Call-Class: pin\r\nX-Budget-Ms: 5000\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
READ_BYTES = 256_000  # the most that the event loop reads at once


def short_fields(count: int) -> bytes:
    """Return header fields with different names of two to four letters and no value."""
    names = itertools.chain.from_iterable(
        itertools.product(string.ascii_lowercase, repeat=length) for length in (2, 3, 4)
    )
    return b"".join("".join(name).encode() + b":\r\n" for name in itertools.islice(names, count))


def request_with_body(size: int) -> bytes:
    """Return a whole request with a body of this size."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


class Sink:
    """A session without a transport; `current_message` is the request in service."""

    driver = EventLoopDriver
    unread_since = None

    def __init__(self) -> None:
        self.current_message: ClientRequest | None = None

    def on_request_begun(self) -> None:
        """Do nothing."""

    on_request_read = on_continue_expected = on_request_begun


class HeldBytes(unittest.TestCase):
    """The reader of one connection keeps no more than the bound on sessions assumes."""

    def held_bytes(self, reader: RequestReader, text: bytes) -> int:
        """Feed `text` in reads of READ_BYTES and return the memory that is kept of it."""
        reads = [text[start : start + READ_BYTES] for start in range(0, len(text), READ_BYTES)]
        tracemalloc.start()
        try:
            for data in reads:
                if not reader.is_stopped:
                    reader.feed(data)
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    def faults(self, reader: RequestReader) -> list[int]:
        return [message.fault.status for message in reader.requests if message.fault is not None]

    def test_no_form_of_a_header_section_is_kept_beyond_the_bound_of_a_session(self):
        """Guards against trailers, whole heads, targets and short fields that no limit counts."""
        for name, text in (
            ("trailer", CHUNKED + b"0\r\nX: " + b"a" * 2_000_000),
            ("trailer behind a body", CHUNKED + b"1\r\nx\r\n0\r\nX: " + b"a" * 2_000_000),
            ("chunk extension", CHUNKED + b"5;x=" + b"a" * 2_000_000),
            ("short fields of a trailer", CHUNKED + b"0\r\n" + short_fields(10_000)),
            ("short fields", HEAD + short_fields(10_000) + b"Content-Length: 100\r\n\r\n"),
            ("value in a whole head", HEAD + b"X: " + b"a" * 200_000 + b"\r\n\r\n"),
            ("target", b"POST /api/" + b"a" * 200_000 + b" HTTP/1.1\r\nContent-Length: 100\r\n\r\n"),
        ):
            with self.subTest(name):
                reader = RequestReader(Sink(), USED_HEADERS)
                self.assertLess(self.held_bytes(reader, text), SESSION_MB * 1024 * 1024)
                self.assertEqual(self.faults(reader), [431])

    def test_pipelined_requests_together_are_kept_within_the_bound_of_a_session(self):
        """Guards against a bound that counts only bodies, or not the request in service."""
        large_head = HEAD + b"Idempotency-Key: " + b"a" * 15_000 + b"\r\n\r\n"
        for name, text in (
            ("heads", large_head * 9),
            ("short fields", (HEAD + short_fields(2_500) + b"\r\n") * 9),
            ("bodies", request_with_body(40_000) * 4),
        ):
            for served in (False, True):
                with self.subTest(name, served=served):
                    sink = Sink()
                    reader = RequestReader(sink, USED_HEADERS)
                    if served:
                        reader.feed(request_with_body(60_000))
                        sink.current_message = reader.requests.popleft()
                    ahead = sink.current_message.held_bytes if served else 0
                    self.assertLess(self.held_bytes(reader, text) + ahead, SESSION_MB * 1024 * 1024)
                    self.assertEqual(self.faults(reader), [400])

    def test_the_largest_allowed_request_is_read_in_parts_of_any_size(self):
        """Guards against a limit that counts a field twice, or bytes of the body as a head."""
        text = HEAD + b"Idempotency-Key: " + b"k" * 16_000 + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = [b"%x\r\n" % size + b"x" * size + b"\r\n" for size in (64, 4032, *[4096] * 15)]
        text += b"".join(chunks) + b"0\r\n\r\n"
        for size in (1, 3, 1000, 4096, 4097, len(text)):
            with self.subTest(size=size):
                reader = RequestReader(Sink(), USED_HEADERS)
                for start in range(0, len(text), size):
                    reader.feed(text[start : start + size])
                (request,) = reader.requests
                self.assertEqual((request.fault, len(request.body)), (None, 64 * 1024))
                self.assertEqual(len(request.headers[b"idempotency-key"]), 16_000)


class SharedBudget(SessionCase):
    """Sessions whose messages together are over the memory that a process has for them."""

    def setUp(self) -> None:
        super().setUp()
        self.clients.memory = MemoryBudget(0)  # GUARANTEED_BYTES are left
        head = raw(0).partition(b"Content-Length")[0]
        self.half = head + b"Content-Length: 65000\r\n\r\n" + b"x" * 64_000

    def statuses(self, sessions: list) -> list[bytes]:
        return [transport.text[9:12] for _, transport in sessions]

    def test_the_oldest_unfinished_requests_are_refused_and_whole_ones_kept(self):
        """Guards against a budget that loses requests that were read whole."""
        whole, _ = self.open_session()
        whole.data_received(raw(1))
        sessions = [self.open_session() for _ in range(60)]
        for session, _ in sessions:
            session.data_received(self.half)
        refused = [status == b"503" for status in self.statuses(sessions)]
        self.assertEqual(refused, sorted(refused, reverse=True))
        self.assertGreaterEqual(sum(refused), 60 - GUARANTEED_BYTES // 64_000)
        self.assertIsNotNone(whole.request)
        self.assertIn(b"Connection: close", sessions[0][1].text)

    def test_a_client_that_does_not_read_is_closed(self):
        """Guards against answers that nobody counts once they are written."""
        unread, transport = self.open_session()
        transport.unsent_bytes = GUARANTEED_BYTES
        unread.count_memory()
        self.assertFalse(transport.closing)
        session, other = self.open_session()
        session.data_received(self.half)
        self.assertEqual((transport.closing, other.text), (True, b""))


class LowMemory(NodeCase):
    sockets = 1024
    memory_mb = 32

    def test_incomplete_bodies_stay_within_the_memory_limit(self):
        """The platform kills a node that exceeds its memory limit."""

        def private_kib() -> int:
            text = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text()
            return sum(int(kb) for kb in re.findall(r"Private_\w+: +(\d+)", text))

        before = private_kib()
        for _ in range(400):
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
            self.addCleanup(sock.close)
            with contextlib.suppress(OSError):
                sock.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 65000\r\n\r\n" + b"x" * 64000)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLess(private_kib() - before, 12_000)


class NodeMemory(RawClientCase):
    """The platform kills a node over its memory limit, with all requests that it holds."""

    sockets = 1024
    memory_mb = 32  # This allows 83 sessions.
    session_count = 80

    def check_memory(self, text: bytes) -> None:
        """Send `text` on many connections beside a usual request, which is answered within the limit."""
        client = self.client().ask()
        received = self.executors[0].next_request()
        bad_clients = [self.raw_client() for _ in range(self.session_count)]
        for sock in bad_clients:
            with contextlib.suppress(OSError):
                sock.sendall(text)
        answers = [self.read_status_line(sock) for sock in bad_clients]
        received.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLess(self.peak_private_kib(), self.memory_mb * 1024)
        self.assertEqual({answer[:12] for answer in answers}, {b"HTTP/1.1 431"})

    def read_status_line(self, sock: socket.socket) -> bytes:
        sock.settimeout(WAIT)
        return sock.makefile("rb").readline()

    def test_trailers_without_an_end_stay_within_the_memory_limit(self):
        """Guards against a trailer that is kept without a limit: review/1."""
        self.check_memory(CHUNKED + b"0\r\nX-Trailer: " + b"a" * 1_000_000)

    def test_heads_of_thousands_of_short_fields_stay_within_the_memory_limit(self):
        """Guards against a limit on the letters of fields, which take many times as much: review/1."""
        self.check_memory(HEAD + short_fields(5_000) + b"Content-Length: 100\r\n\r\n")

    def test_a_usual_client_that_sends_trailers_is_served(self):
        sock = self.raw_client()
        head = raw(1).partition(b"Content-Length")[0]
        sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n6\r\na body\r\n0\r\nX-Trailer: a\r\n\r\n")
        self.executors[0].next_request().done()
        self.assertIn(b" 200 ", self.read_status_line(sock))


if __name__ == "__main__":
    unittest.main()
