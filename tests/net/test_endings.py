"""Tests of connections and processes that end at an unfavourable moment, with scripted peers."""

import contextlib
import json
import queue
import resource
import select
import signal
import socket
import struct
import time
import unittest

from tests.net.test_client_cancellation import RawClientCase, raw
from tests.support.node_case import WAIT, NodeCase

REJECTION = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
LARGE_ANSWER_BYTES = 200_000
# Longest time from the close of a client to the end of its attempts.
MAX_CANCEL_DELAY_S = 0.3


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes up to end of file; raise ConnectionResetError on a reset."""
    text = b""
    while chunk := sock.recv(65536):
        text += chunk
    return text


def reset(sock: socket.socket) -> None:
    """Close the socket with a reset instead of an orderly end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ClientClosesWhileReadingIsPaused(RawClientCase):
    """A pipelining client, whose socket is not read for now, closes: its attempt must be cancelled."""

    def check_cancelled(self, leave) -> None:
        """Check that a client that leaves this way has its attempt cancelled and starts no further one."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2) + raw(3))
        request = self.executors[0].next_request()
        began = time.monotonic()
        leave(sock)
        self.assertTrue(request.connection.ended.wait(WAIT))
        self.assertLess(time.monotonic() - began, MAX_CANCEL_DELAY_S)
        client = self.client().ask()  # The pipelined requests must not start.
        self.assertEqual(self.executors[0].next_request().headers["X-Call-Id"], f"{client.count:016x}")

    def test_a_close_cancels_the_attempt(self):
        """Guards against a close that is detected only at the deadline of the request in flight."""
        self.check_cancelled(lambda sock: sock.close())

    def test_a_reset_cancels_the_attempt(self):
        self.check_cancelled(reset)

    def test_a_close_behind_unread_requests_cancels_the_attempt(self):
        """The end of file follows bytes that the node does not read yet."""

        def leave(sock: socket.socket) -> None:
            sock.sendall(raw(4) * 20)
            sock.close()

        self.check_cancelled(leave)

    def test_a_close_with_an_unread_answer_starts_no_further_request(self):
        """The event loop reports the close only once its write buffer is empty, which may never happen."""
        sock = self.raw_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(raw(1))
        self.executors[0].next_request().done("x" * 200_000)
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(raw(2))
        sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(Exception):
            # The request may have been sent before the close was read.
            request = self.executors[0].received.get(timeout=MAX_CANCEL_DELAY_S)
            self.assertTrue(request.connection.ended.wait(MAX_CANCEL_DELAY_S))
        self.assertTrue(self.executors[0].received.empty())


class HeldUp(RawClientCase):
    """A paused node reads a request after its client has closed: no attempt may start for it."""

    def test_a_request_read_together_with_its_close_does_not_start(self):
        """Guards against an attempt that starts because the close is read one loop iteration later."""
        for job_class in ("pin", "issue"):
            for leave in (socket.socket.close, reset, lambda sock: sock.shutdown(socket.SHUT_WR)):
                with self.subTest(job_class=job_class, leave=leave):
                    sock = self.raw_client()
                    sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
                    self.assertIn(b" 200 ", sock.recv(4096))
                    self.process.send_signal(signal.SIGSTOP)
                    sock.sendall(raw(1, job_class))
                    leave(sock)
                    closed = time.monotonic()
                    self.wait_for(lambda closed=closed: time.monotonic() > closed + 0.12)
                    self.process.send_signal(signal.SIGCONT)
                    client = self.client().ask("pin")
                    request = self.executors[0].next_request()
                    self.assertEqual(request.headers["X-Call-Id"], f"{client.count:016x}")
                    request.done()
                    self.assertEqual(client.answer()[0], 200)
                    self.assertTrue(self.executors[0].received.empty())

    def test_a_client_that_closed_while_the_node_was_paused_gets_no_retry(self):
        """Guards against a retry that is written before the client's close is read."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        request = self.executors[0].next_request()
        self.process.send_signal(signal.SIGSTOP)
        request.connection.send(REJECTION)
        until = time.monotonic() + 0.12
        sock.close()
        self.wait_for(lambda: time.monotonic() > until)
        self.process.send_signal(signal.SIGCONT)
        client = self.client().ask("pin")
        while not client.answered(0.01):
            if not self.executors[0].received.empty():
                request = self.executors[0].next_request()
                self.assertEqual(request.headers["X-Call-Id"], f"{client.count:016x}")
                request.done()
        self.assertIn(client.answer()[0], (200, 503))  # The balancer may wait for the executor to recover.


class RequestsDuringShutdown(RawClientCase):
    """Requests that are open or arrive while the node handles SIGTERM."""

    def stop_accepting(self) -> None:
        """Send SIGTERM and wait until the node accepts no new sessions."""
        self.terminate()
        self.wait_log("no new sessions from now on")

    def test_a_pipelined_request_is_answered_too(self):
        """Guards against a session that ends with its first answer and drops the second request."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2))
        first = self.executors[0].next_request()
        self.stop_accepting()
        first.done("first")
        self.executors[0].next_request().done("second")
        text = read_all(sock)
        self.assertEqual(text.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(text.count(b"Connection: close"), 1)
        self.assertIn(b"second", text.rpartition(b"Connection: close")[2])
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_an_incomplete_pipelined_request_is_read_to_its_end(self):
        """Guards against closing between the two parts of a request when the previous one is answered."""
        sock, second = self.raw_client(), raw(2)
        sock.sendall(raw(1) + second[:-3])
        first = self.executors[0].next_request()
        self.stop_accepting()
        first.done("first")
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(second[-3:])
        self.executors[0].next_request().done("second")
        self.assertEqual(read_all(sock).count(b"HTTP/1.1 200"), 2)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_an_idle_client_that_sends_as_the_node_closes_is_neither_reset_nor_forwarded(self):
        """Closing a socket with unread bytes resets it; a request read after the shutdown must not start."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        self.executors[0].next_request().done()
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        self.assertIn(b" 200 ", sock.recv(65536))
        self.stop_accepting()
        self.assertEqual(read_all(sock), b"")  # The node has ended its sending side.
        for fragment in (raw(2)[:9], raw(2)[9:]):
            sock.sendall(fragment)  # A reset would fail the second write.
            self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)
        sock.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertTrue(self.executors[0].received.empty())

    def test_the_last_answer_reaches_a_client_that_still_sends(self):
        """Closing a connection with unread input resets it and loses the rest of the answer."""
        sock = self.raw_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(raw(1, extra_headers="Connection: close\r\n"))
        request = self.executors[0].next_request()
        request.done("x" * 150_000)
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(b"y" * 100_000)
        self.assertTrue(read_all(sock).endswith(b"x" * 1000))

    def test_a_client_that_never_closes_does_not_delay_the_exit(self):
        sock = self.raw_client()
        sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b" 200 ", sock.recv(65536))
        began = time.monotonic()
        self.stop_accepting()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertLess(time.monotonic() - began, 3.5)

    def fill_write_buffer(self, sock: socket.socket, letter: str) -> int:
        """Send requests without reading until the node forwards no more; return how many it forwarded."""
        for number in range(60):
            sock.sendall(raw(f"{letter}{number}"))
            try:
                self.executors[0].received.get(timeout=0.5).done(letter * LARGE_ANSWER_BYTES)
            except queue.Empty:
                return number
        raise AssertionError("the node's write buffer did not fill")

    def test_a_slow_reader_gets_its_whole_answer_during_a_drain(self):
        """Guards against closing a reader that makes progress; other clients are not delayed by it."""
        slow, stuck = (socket.socket() for _ in range(2))
        for sock in (slow, stuck):
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", self.port))
            sock.settimeout(WAIT)
        answers = {
            letter: self.fill_write_buffer(sock, letter) for sock, letter in ((slow, "x"), (stuck, "y"))
        }
        self.terminate()
        self.wait_log("draining")
        other_client = self.client().ask()
        while not other_client.answered(0.01):
            if not self.executors[0].received.empty():
                request = self.executors[0].next_request()
                letter = request.headers["X-Call-Id"].removeprefix("raw")[0]
                if letter in answers:  # The socket buffers took another answer.
                    answers[letter] += 1
                request.done(letter * LARGE_ANSWER_BYTES if letter in answers else "other")
        self.assertEqual(other_client.answer(), (200, b"other"))
        self.wait_log("no new sessions from now on")
        # Bytes per second, so that reading the answers takes 1.6 s.
        size, began, rate = 0, time.monotonic(), answers["x"] * LARGE_ANSWER_BYTES / 1.6
        while chunk := slow.recv(65_536):
            size += chunk.count(b"x")
            pause = began + size / rate
            while time.monotonic() < pause:
                select.select([], [], [], 0.01)
        self.assertEqual(size, answers["x"] * LARGE_ANSWER_BYTES)
        self.assertGreater(time.monotonic() - began, 1.2)
        self.assertEqual(self.process.wait(WAIT), 0)  # The client that reads nothing does not delay the exit.


class WaitedUnread(RawClientCase):
    """A budget runs while the request waits unread: the forwarded X-Budget-Ms excludes the wait."""

    sockets = 64
    # Half of the descriptors that are left after the 24 of the node itself.
    session_limit = 20
    executor_count = 4  # enough slots for a request of each session
    unread_s = 0.4  # The node may read a request up to 0.15 s late.

    def forwarded_budget_s(self, number: int) -> float:
        """Return the budget that the executor receives with this request, after answering earlier ones."""
        while True:
            request = self.next_request()
            if request.headers["X-Call-Id"] == f"raw{number}":
                return int(request.headers["X-Budget-Ms"]) / 1000
            request.done()

    def leave_unread(self) -> None:
        """Let the time pass during which the request waits unread."""
        until = time.monotonic() + self.unread_s
        self.wait_for(lambda: time.monotonic() > until)

    def test_time_unread_in_the_socket_is_subtracted_from_the_budget(self):
        sock = self.raw_client()
        sock.sendall(raw(1))
        first = self.next_request()
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        other_client = self.client()
        other_client.request("GET", "/ready")
        # The node has read the second request by now.
        self.assertEqual(other_client.getresponse().status, 200)
        sock.sendall(raw(3))
        self.leave_unread()
        first.done()
        self.assertLessEqual(self.forwarded_budget_s(3), 6 - self.unread_s + 0.15)

    def test_time_in_the_backlog_at_the_session_limit_is_subtracted_from_the_budget(self):
        open_clients = []
        for number in range(self.session_limit):
            open_clients.append(self.raw_client())
            open_clients[-1].sendall(raw(number))
            self.next_request()
        late = self.raw_client()
        late.sendall(raw(100))
        self.wait_log(f"client sessions at their bound of {self.session_limit}")
        self.leave_unread()
        for sock in open_clients[:10]:
            sock.close()
        self.assertLessEqual(self.forwarded_budget_s(100), 6 - self.unread_s + 0.15)


class BacklogAtShutdown(RawClientCase):
    """A node at its session limit stops listening: it accepts the backlog as sessions end."""

    sockets = 64

    def test_requests_in_the_backlog_are_answered(self):
        open_clients, waiting = [], []
        with contextlib.suppress(queue.Empty):
            for number in range(30):
                open_clients.append(self.raw_client())
                open_clients[-1].sendall(raw(number))
                self.executors[0].received.get(timeout=0.3).connection.sock.fileno()
        for number in range(4):
            waiting.append(self.raw_client())
            waiting[-1].sendall(raw(100 + number))
        self.terminate()
        self.wait_log("no new sessions from now on")
        self.executors[0].answers_at_once = True
        for sock in open_clients[:10]:
            sock.close()
        for sock in waiting:
            self.assertRegex(sock.recv(4096), rb"HTTP/1.1 (200|503)")


class KilledSoon(NodeCase):
    """SIGKILL follows 0.7 s after the longest deadline, 3.7 s after SIGTERM at most; answers come first."""

    hard_limit = 200_000
    kill_after_s = 0.9

    def config(self) -> dict:
        config = super().config()
        for request_class in config["settings"]["request_classes"]:
            request_class.update(hard_limit=self.hard_limit, aim=min(request_class["aim"], self.hard_limit))
        return config

    def test_all_requests_are_answered_before_sigkill(self):
        """Guards against a deadline that is not shortened for requests before or after SIGTERM."""
        clients = [self.client().ask("issue", budget=9000) for _ in range(2)]
        for _ in clients:
            self.executors[0].next_request()
        self.terminate()
        began = time.monotonic()
        self.wait_log("draining")
        late = self.client()
        late.connect()
        while time.monotonic() < began + 0.5:
            select.select([], [], [], 0.01)
        late.ask("issue", budget=9000)
        clients.append(late)
        statuses = [client.answer()[0] for client in clients]
        self.assertLess(time.monotonic() - began, self.kill_after_s - 0.15)
        self.assertTrue(set(statuses) <= {502, 503}, statuses)
        self.assertEqual(self.process.wait(WAIT), 0)


class KilledLater(KilledSoon):
    """The same with deadlines longer than the 3 s that the platform allows for them."""

    hard_limit = 8_000_000
    kill_after_s = 3.7


class FaultyAnswers(NodeCase):
    """Executors whose answers are duplicate, late, endless or truncated."""

    def send_request(self, job_class: str = "issue"):
        """Send a request; return its client and the request that the executor received."""
        client = self.client().ask(job_class)
        return client, self.executors[0].next_request()

    def test_two_answers_at_once_count_as_the_first_one(self):
        """Guards against a second answer that overrides the first and causes a retry of an unsafe request."""
        client, request = self.send_request()
        body = json.dumps({"id": request.headers["X-Call-Id"], "state": "done", "result": 1})
        request.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}{REJECTION}")
        self.assertEqual(client.answer(), (200, b"1"))
        self.assertTrue(request.connection.ended.wait(WAIT))
        self.assertTrue(self.executors[0].received.empty())

    def test_a_late_second_answer_does_not_reject_the_next_request(self):
        """The rejection carries no call id, so it must not be taken for the answer of the next request."""
        client, request = self.send_request("pin")
        request.done("first")
        self.assertEqual(client.answer(), (200, b"first"))
        client.ask("pin")
        second = self.executors[0].next_request()
        self.assertIs(second.connection, request.connection)
        second.connection.send(REJECTION)
        while not client.answered(0.02):  # A retry is allowed: the executors of a zone drop duplicates.
            if not self.executors[0].received.empty():
                self.executors[0].next_request().connection.reset()
        self.assertEqual(client.answer()[0], 502)  # The request may have run.

    def test_an_unsafe_request_does_not_reuse_a_connection_that_has_just_answered(self):
        """A late second answer could still arrive on the reused connection."""
        client, request = self.send_request()
        request.done("first")
        self.assertEqual(client.answer(), (200, b"first"))
        client.ask("issue")
        second = self.executors[0].next_request()
        self.assertIsNot(second.connection, request.connection)
        with contextlib.suppress(OSError):
            request.connection.send(REJECTION)
        second.done("second")
        self.assertEqual(client.answer(), (200, b"second"))

    def test_an_unsafe_request_prefers_a_connection_that_was_idle_long_enough(self):
        pairs = [self.send_request() for _ in range(2)]
        for client, request in pairs:
            request.done()
            self.assertEqual(client.answer()[0], 200)
        idle_connection = pairs[0][1].connection
        until = time.monotonic() + 0.06
        self.wait_for(lambda: time.monotonic() > until)
        client, request = self.send_request()
        request.done()
        self.assertEqual(client.answer()[0], 200)
        third = self.send_request()[1]
        self.assertIsNot(third.connection, request.connection)
        self.assertIn(idle_connection, (third.connection, request.connection))

    def test_an_answer_without_end_is_cancelled(self):
        """Guards against endless headers, trailers and lines that fill the memory until the deadline."""
        for text in ("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
            client, request = self.send_request()
            began = time.monotonic()
            request.connection.send(text)
            more = "X-A: " + "y" * 8000 + "\r\n" if "chunked" not in text else "1\r\n\n\r\n" * 1000
            with contextlib.suppress(OSError):
                for _ in range(2_000):
                    request.connection.send(more)
            self.assertEqual(client.answer()[0], 502)
            self.assertLess(time.monotonic() - began, 4)
            self.assertTrue(request.connection.ended.wait(WAIT))

    def test_half_a_line_without_the_rest_times_out_at_the_deadline(self):
        client = self.client().ask("issue", budget=500)
        request = self.executors[0].next_request()
        request.send_head()
        request.connection.send('10\r\n{"state":"done",')
        began = time.monotonic()
        self.assertEqual(client.answer()[0], 502)
        self.assertLess(time.monotonic() - began, 0.6)
        self.assertTrue(request.connection.ended.wait(WAIT))

    def test_a_kept_connection_that_the_executor_closed_is_not_reused(self):
        """The close may still be unread when an unsafe request is written, which would lose the request."""
        client, request = self.send_request()
        request.done()
        self.assertEqual(client.answer()[0], 200)
        request.connection.close()
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done("again")
        self.assertEqual(client.answer(), (200, b"again"))
        self.assertIsNot(second.connection, request.connection)


class SessionsUseAllDescriptors(NodeCase):
    """Idle clients use all descriptors available to sessions while discovery is unavailable."""

    sockets = 64

    def test_the_watch_and_executor_connections_still_get_descriptors(self):
        self.discovery.next_request().send_head("503 Service Unavailable")
        for _ in range(100):
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
            self.addCleanup(sock.close)
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        watch = self.discovery.next_request()
        watch.send_head()
        watch.send_line({"index": 9, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 9")
        client = self.client().ask("issue")
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLessEqual(self.descriptors(), self.sockets)


class NoDescriptor(NodeCase):
    """The process is at its descriptor limit when it connects to an executor or to discovery."""

    def set_descriptor_limit(self, limit: int) -> None:
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, hard))

    def test_a_connect_without_a_descriptor_is_refused_and_service_recovers(self):
        client = self.client()
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 200)
        self.set_descriptor_limit(4)
        self.assertEqual(client.ask("issue").answer()[0], 503)  # A refusal: the client may retry.
        self.set_descriptor_limit(256)
        statuses = [503]
        self.executors[0].answers_at_once = True
        self.wait_for(lambda: statuses.append(client.ask("pin").answer()[0]) or statuses[-1] == 200)

    def test_a_watch_without_a_descriptor_is_started_again_in_time(self):
        watch = self.discovery.next_request()
        self.set_descriptor_limit(4)
        watch.connection.close()
        self.wait_log("watch lost")
        self.set_descriptor_limit(256)
        began = time.monotonic()
        self.discovery.next_request().send_head()
        self.assertLess(time.monotonic() - began, 6)


if __name__ == "__main__":
    unittest.main()
