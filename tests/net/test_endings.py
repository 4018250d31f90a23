"""Endings at the wrong instant, on the real program: scripted peers hold, split and reset at a known byte."""

import contextlib
import queue
import resource
import select
import signal
import socket
import struct
import time
import unittest

from tests.net.test_client_cancellation import LeavingCase, raw
from tests.support.node_case import WAIT, NodeCase
from tests.support.stand_in_server import ReceivedRequest

INSTANT = 'HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{"state":"done","result":1}'
NEVER_RAN = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
BIG = 200_000  # bytes of an answer
GONE = 0.3  # seconds within which nothing more may be sent on for a client that has gone


def read_all(sock: socket.socket) -> bytes:
    """All that comes till the other side ends its sending; raises ConnectionResetError."""
    text = b""
    while chunk := sock.recv(65536):
        text += chunk
    return text


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class GoneWhileNothingIsRead(LeavingCase):
    """A client that sends ahead is read no further for now: its end must be seen all the same."""

    def gone(self, leave) -> None:
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2) + raw(3))
        asked = self.executors[0].next_request()
        began = time.monotonic()
        leave(sock)
        self.assertTrue(asked.connection.ended.wait(WAIT))
        self.assertLess(time.monotonic() - began, GONE)
        client = self.client().ask()  # what waited behind it does not start, before this or after
        self.assertEqual(self.executors[0].next_request().headers["X-Call-Id"], f"{client.count:016x}")

    def test_a_close(self):
        """Seen only when the time of the request in flight was up, 6 s later."""
        self.gone(lambda sock: sock.close())

    def test_a_reset(self):
        self.gone(reset)

    def test_a_close_behind_more_than_is_read(self):
        """The end stands behind bytes that nobody reads yet."""

        def leave(sock: socket.socket) -> None:
            sock.sendall(raw(4) * 20)
            sock.close()

        self.gone(leave)

    def test_a_close_while_the_answer_before_is_not_read(self):
        """The loop closes only once all that was written has left, which may be never."""
        sock = self.raw_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(raw(1))
        self.executors[0].next_request().done("x" * 200_000)
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(raw(2))
        sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(Exception):
            asked = self.executors[0].received.get(timeout=GONE)  # on its way before the close came
            self.assertTrue(asked.connection.ended.wait(GONE))
        self.assertTrue(self.executors[0].received.empty())


class HeldUp(LeavingCase):
    """A node that is held up reads a request when its client has long closed: nothing may start for it."""

    def test_a_close_in_the_very_turn_of_a_send(self):
        """The request was read and sent on, and the close behind it read only in the next turn."""
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
                    asked = self.executors[0].next_request()
                    self.assertEqual(asked.headers["X-Call-Id"], f"{client.count:016x}")
                    asked.done()
                    self.assertEqual(client.answer()[0], 200)
                    self.assertTrue(self.executors[0].received.empty())

    def test_no_retry_for_one_who_closed_while_the_node_was_held_up(self):
        """Its attempt and the client ended meanwhile: the retry was written before the close was read."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        asked = self.executors[0].next_request()
        self.process.send_signal(signal.SIGSTOP)
        asked.connection.send(NEVER_RAN)
        until = time.monotonic() + 0.12
        sock.close()
        self.wait_for(lambda: time.monotonic() > until)
        self.process.send_signal(signal.SIGCONT)
        client = self.client().ask("pin")
        while not client.answered(0.01):
            if not self.executors[0].received.empty():
                asked = self.executors[0].next_request()
                self.assertEqual(asked.headers["X-Call-Id"], f"{client.count:016x}")
                asked.done()
        self.assertIn(client.answer()[0], (200, 503))  # the module may wait for the executor to recover


class Ending(LeavingCase):
    """SIGTERM, and what comes in that instant."""

    def closing(self) -> None:
        self.terminate()
        self.wait_log("no new sessions from now on")

    def test_a_second_request_behind_one_in_flight_is_answered_too(self):
        """It was read, and dropped with the session as soon as the first had its answer."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2))
        first = self.executors[0].next_request()
        self.closing()
        first.done("first")
        self.executors[0].next_request().done("second")
        text = read_all(sock)
        self.assertEqual(text.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(text.count(b"Connection: close"), 1)
        self.assertIn(b"second", text.rpartition(b"Connection: close")[2])
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_the_other_half_of_a_second_request_is_waited_for(self):
        """Half of it had come when the first was answered: closing then would lose what is nearly sent."""
        sock, second = self.raw_client(), raw(2)
        sock.sendall(raw(1) + second[:-3])
        first = self.executors[0].next_request()
        self.closing()
        first.done("first")
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(second[-3:])
        self.executors[0].next_request().done("second")
        self.assertEqual(read_all(sock).count(b"HTTP/1.1 200"), 2)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_resting_client_that_sends_as_the_node_closes_is_neither_reset_nor_sent_on(self):
        """A close over its bytes resets; read after the shutdown, it may not run here."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        self.executors[0].next_request().done()
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        self.assertIn(b" 200 ", sock.recv(65536))
        self.closing()
        self.assertEqual(read_all(sock), b"")  # the node has ended its sending side
        for part in (raw(2)[:9], raw(2)[9:]):
            sock.sendall(part)  # a reset would show at the second one
            self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)
        sock.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertTrue(self.executors[0].received.empty())

    def test_the_last_answer_is_not_lost_to_what_the_client_still_sends(self):
        """Closed over unread input, the connection is reset and takes the rest of the answer with it."""
        sock = self.raw_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(raw(1, more="Connection: close\r\n"))
        asked = self.executors[0].next_request()
        asked.done("x" * 150_000)
        self.wait_for(lambda: select.select([sock], [], [], 0)[0])
        sock.sendall(b"y" * 100_000)
        self.assertTrue(read_all(sock).endswith(b"x" * 1000))

    def test_a_client_that_never_closes_does_not_hold_the_node(self):
        sock = self.raw_client()
        sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b" 200 ", sock.recv(65536))
        began = time.monotonic()
        self.closing()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertLess(time.monotonic() - began, 3.5)

    def fill(self, sock: socket.socket, letter: str) -> int:
        """Ask, and read nothing, till the answers are stuck at the node; how many it gave."""
        for number in range(60):
            sock.sendall(raw(f"{letter}{number}"))
            try:
                self.executors[0].received.get(timeout=0.5).done(letter * BIG)
            except queue.Empty:
                return number
        raise AssertionError("the answers never got stuck")

    def test_a_slow_reader_gets_its_whole_answer_beside_a_drain(self):
        """It was cut off 1 s after its answer was written, however it got on; others must not wait for it."""
        slow, stuck = (socket.socket() for _ in range(2))
        for sock in (slow, stuck):
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", self.port))
            sock.settimeout(WAIT)
        answers = {letter: self.fill(sock, letter) for sock, letter in ((slow, "x"), (stuck, "y"))}
        self.terminate()
        self.wait_log("draining")
        other = self.client().ask()
        while not other.answered(0.01):
            if not self.executors[0].received.empty():
                asked = self.executors[0].next_request()
                letter = asked.headers["X-Call-Id"].removeprefix("raw")[0]
                if letter in answers:  # the system took more
                    answers[letter] += 1
                asked.done(letter * BIG if letter in answers else "other")
        self.assertEqual(other.answer(), (200, b"other"))
        self.wait_log("no new sessions from now on")
        size, began, rate = 0, time.monotonic(), answers["x"] * BIG / 1.6  # bytes a second: it takes 1.6 s
        while chunk := slow.recv(65_536):
            size += chunk.count(b"x")
            pause = began + size / rate
            while time.monotonic() < pause:
                select.select([], [], [], 0.01)
        self.assertEqual(size, answers["x"] * BIG)
        self.assertGreater(time.monotonic() - began, 1.2)
        self.assertEqual(self.process.wait(WAIT), 0)  # nor does one that reads nothing hold the node


class WaitedUnread(LeavingCase):
    """A client's time runs while its request waits to be read: the executor is told what is left."""

    sockets = 64
    sessions = 20  # the bound on them: half of the descriptors, less the 24 that the node keeps for itself
    executor_count = 4  # so that the balancer has room for as many requests as there are sessions
    waited = 0.4  # seconds; a request may be read 0.15 s late

    def next_received(self) -> ReceivedRequest:
        """The next request at any executor."""
        self.wait_for(lambda: any(not executor.received.empty() for executor in self.executors))
        return next(one for one in self.executors if not one.received.empty()).next_request()

    def passed_on(self, number: int) -> float:
        """Seconds that the executor is told, once that request reaches it; others before it are answered."""
        while True:
            asked = self.next_received()
            if asked.headers["X-Call-Id"] == f"raw{number}":
                return int(asked.headers["X-Budget-Ms"]) / 1000
            asked.done()

    def wait_while_it_waits(self) -> None:
        until = time.monotonic() + self.waited
        self.wait_for(lambda: time.monotonic() > until)

    def test_in_the_socket_behind_others_of_its_client(self):
        sock = self.raw_client()
        sock.sendall(raw(1))
        first = self.next_received()
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        other = self.client()
        other.request("GET", "/ready")
        self.assertEqual(other.getresponse().status, 200)  # by then the second one was read
        sock.sendall(raw(3))
        self.wait_while_it_waits()
        first.done()
        self.assertLessEqual(self.passed_on(3), 6 - self.waited + 0.15)

    def test_in_the_backlog_at_the_bound_of_sessions(self):
        held = []
        for number in range(self.sessions):
            held.append(self.raw_client())
            held[-1].sendall(raw(number))
            self.next_received()
        late = self.raw_client()
        late.sendall(raw(100))
        self.wait_log(f"client sessions at their bound of {self.sessions}")
        self.wait_while_it_waits()
        for sock in held[:10]:
            sock.close()
        self.assertLessEqual(self.passed_on(100), 6 - self.waited + 0.15)


class BoundAtTheEnd(LeavingCase):
    """Sessions are at their bound when the node stops listening: the backlog is taken as they end."""

    sockets = 64

    def test_what_waits_in_the_backlog_is_answered(self):
        held, waiting = [], []
        with contextlib.suppress(queue.Empty):
            for number in range(30):
                held.append(self.raw_client())
                held[-1].sendall(raw(number))
                self.executors[0].received.get(timeout=0.3).connection.sock.fileno()
        for number in range(4):
            waiting.append(self.raw_client())
            waiting[-1].sendall(raw(100 + number))
        self.terminate()
        self.wait_log("no new sessions from now on")
        self.executors[0].early_answer = INSTANT
        for sock in held[:10]:
            sock.close()
        for sock in waiting:
            self.assertRegex(sock.recv(4096), rb"HTTP/1.1 (200|503)")


class KilledSoon(NodeCase):
    """SIGKILL comes the longest deadline, or 3 s, and 0.7 s after SIGTERM; all has its answer by then."""

    hard_limit = 200_000
    kill = 0.9

    def config(self) -> dict:
        config = super().config()
        for one in config["settings"]["request_classes"]:
            one.update(hard_limit=self.hard_limit, aim=min(one["aim"], self.hard_limit))
        return config

    def test_what_was_read_is_answered_before_the_kill(self):
        """The last answers were due 0.15 s before the kill, and nothing at all for what came before 0.6 s."""
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
        self.assertLess(time.monotonic() - began, self.kill - 0.15)
        self.assertTrue(set(statuses) <= {502, 503}, statuses)
        self.assertEqual(self.process.wait(WAIT), 0)


class KilledLater(KilledSoon):
    """The deadlines are longer than what the platform counts of them."""

    hard_limit = 8_000_000
    kill = 3.7


class Answers(NodeCase):
    """Executors that answer twice, late, without end, or half."""

    def first(self, job_class: str = "issue"):
        client = self.client().ask(job_class)
        return client, self.executors[0].next_request()

    def test_two_answers_at_once_are_one_and_the_first_counts(self):
        """The second, "never ran", overwrote the first before it was told: an unsafe job was sent twice."""
        client, asked = self.first()
        body = '{"state":"done","result":1}'
        asked.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}{NEVER_RAN}")
        self.assertEqual(client.answer(), (200, b"1"))
        self.assertTrue(asked.connection.ended.wait(WAIT))
        self.assertTrue(self.executors[0].received.empty())

    def test_a_second_answer_that_meets_the_next_request_does_not_free_it(self):
        """It names no job: taken for the next one's, that one would run and be refused."""
        client, asked = self.first("pin")
        asked.done("first")
        self.assertEqual(client.answer(), (200, b"first"))
        client.ask("pin")
        second = self.executors[0].next_request()
        self.assertIs(second.connection, asked.connection)
        second.connection.send(NEVER_RAN)
        while not client.answered(0.02):  # the module may send it again: executors of the zone drop repeats
            if not self.executors[0].received.empty():
                self.executors[0].next_request().connection.reset()
        self.assertEqual(client.answer()[0], 502)  # it may have run

    def test_what_must_not_run_twice_does_not_meet_a_second_answer(self):
        """It goes out on a connection of its own while one may still come on the kept one."""
        client, asked = self.first()
        asked.done("first")
        self.assertEqual(client.answer(), (200, b"first"))
        client.ask("issue")
        second = self.executors[0].next_request()
        self.assertIsNot(second.connection, asked.connection)
        with contextlib.suppress(OSError):
            asked.connection.send(NEVER_RAN)
        second.done("second")
        self.assertEqual(client.answer(), (200, b"second"))

    def test_what_rested_long_enough_is_preferred_for_what_must_not_run_twice(self):
        pairs = [self.first() for _ in range(2)]
        for client, asked in pairs:
            asked.done()
            self.assertEqual(client.answer()[0], 200)
        old = pairs[0][1].connection
        until = time.monotonic() + 0.06
        self.wait_for(lambda: time.monotonic() > until)
        client, asked = self.first()
        asked.done()
        self.assertEqual(client.answer()[0], 200)
        third = self.first()[1]
        self.assertIsNot(third.connection, asked.connection)
        self.assertIn(old, (third.connection, asked.connection))

    def test_an_answer_without_end_is_given_up(self):
        """Headers, trailers and lines that go on for ever filled the memory until the time was up."""
        for text in ("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
            client, asked = self.first()
            began = time.monotonic()
            asked.connection.send(text)
            more = "X-A: " + "y" * 8000 + "\r\n" if "chunked" not in text else "1\r\n\n\r\n" * 1000
            with contextlib.suppress(OSError):
                for _ in range(2_000):
                    asked.connection.send(more)
            self.assertEqual(client.answer()[0], 502)
            self.assertLess(time.monotonic() - began, 4)
            self.assertTrue(asked.connection.ended.wait(WAIT))

    def test_half_a_line_and_then_nothing_ends_with_the_time(self):
        client = self.client().ask("issue", budget=500)
        asked = self.executors[0].next_request()
        asked.send_head()
        asked.connection.send('10\r\n{"state":"done",')
        began = time.monotonic()
        self.assertEqual(client.answer()[0], 502)
        self.assertLess(time.monotonic() - began, 0.6)
        self.assertTrue(asked.connection.ended.wait(WAIT))

    def test_a_kept_connection_that_was_closed_meanwhile_is_not_written_to(self):
        """Its close may wait unread: what must not run twice would be lost on it."""
        client, asked = self.first()
        asked.done()
        self.assertEqual(client.answer()[0], 200)
        asked.connection.close()
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done("again")
        self.assertEqual(client.answer(), (200, b"again"))
        self.assertIsNot(second.connection, asked.connection)


class Full(NodeCase):
    """Idle clients hold all descriptors that they can get while discovery is away."""

    sockets = 64

    def test_the_watch_and_the_executors_still_get_theirs(self):
        self.discovery.next_request().send_head("503 Service Unavailable")
        for _ in range(100):
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
            self.addCleanup(sock.close)
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        call = self.discovery.next_request()
        call.send_head()
        call.send_line({"index": 9, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 9")
        client = self.client().ask("issue")
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLessEqual(self.descriptors(), self.sockets)


class NoDescriptor(NodeCase):
    """The system gives the process no descriptor, for a connect and for the watch."""

    def limit(self, most: int) -> None:
        hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (most, hard))

    def test_a_connect_that_gets_none_never_ran_and_service_comes_back(self):
        client = self.client()
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 200)
        self.limit(4)
        self.assertEqual(client.ask("issue").answer()[0], 503)  # a refusal: it may be sent again
        self.limit(256)
        statuses = [503]
        self.executors[0].early_answer = (
            "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n" + '{"state":"done","result":1}'
        )
        self.wait_for(lambda: statuses.append(client.ask("pin").answer()[0]) or statuses[-1] == 200)

    def test_a_watch_that_gets_none_is_asked_for_again_in_time(self):
        call = self.discovery.next_request()
        self.limit(4)
        call.connection.close()
        self.wait_log("watch lost")
        self.limit(256)
        began = time.monotonic()
        self.discovery.next_request().send_head()
        self.assertLess(time.monotonic() - began, 6)


if __name__ == "__main__":
    unittest.main()
