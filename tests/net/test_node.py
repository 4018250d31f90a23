"""Tests of the node as a process: requests, executor connections, discovery, reload, drain and start."""

import contextlib
import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import time
import unittest

from tests.support.node_case import ROOT, WAIT, NodeCase, StandInServer


class Serving(NodeCase):
    def test_a_request_without_a_key_in_its_path_is_served(self):
        """Guards against accepting only paths below /api: requests without a key use /api itself."""
        client = self.client().ask(path="/api?x=1", **{"Idempotency-Key": "k1"})
        request = self.executors[0].next_request()
        self.assertEqual((request.method, request.path, request.body), ("POST", "/api?x=1", b"a body"))
        self.assertEqual(request.headers["Idempotency-Key"], "k1")
        self.assertLess(int(request.headers["X-Budget-Ms"]), 6000)
        request.done("r\u00e9sultat")
        self.assertEqual(client.answer(), (200, "r\u00e9sultat".encode()))

    def test_an_executor_connection_is_reused_for_consecutive_requests(self):
        """Guards against opening a new connection for each request, which costs the executor work."""
        for _ in range(3):
            client = self.client().ask()
            self.executors[0].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertEqual(len(self.executors[0].connections), 1)

    def test_a_connection_closed_by_the_executor_is_not_reused(self):
        """A write to a closed connection is answered with a reset, which loses an unsafe request."""
        client = self.client().ask()
        first = self.executors[0].next_request()
        first.done()
        self.assertEqual(client.answer()[0], 200)
        first.connection.close()
        self.assertTrue(first.connection.ended.wait(WAIT))  # The node has closed its side too.
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIsNot(first.connection, second.connection)

    def test_an_unsafe_request_with_a_truncated_answer_fails_without_a_retry(self):
        """A 200 answer without its final line counts as a reset: the job may have run."""
        client = self.client().ask("issue")
        request = self.executors[0].next_request()
        request.send_head()
        request.connection.send("0\r\n\r\n")
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(self.executors[0].received.empty())

    def test_an_answer_with_another_call_id_fails_the_request(self):
        """Guards against forwarding a result that belongs to another request."""
        client = self.client().ask("issue")
        request = self.executors[0].next_request()
        request.send_head()
        request.send_line({"id": "another", "state": "done", "result": "not yours"})
        self.assertEqual(client.answer()[0], 502)

    def assert_failed_without_retry(self, end_attempt) -> None:
        """Check that an unsafe request whose attempt ends this way gets 502 and no second attempt."""
        client = self.client().ask("issue")
        end_attempt(self.executors[0].next_request())
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(self.executors[0].received.empty())

    def test_a_failed_unsafe_job_is_not_retried(self):
        """A job may have had effects before it failed."""
        self.assert_failed_without_retry(lambda request: (request.send_head(), request.send_state("failed")))

    def test_a_lost_unsafe_job_is_not_retried(self):
        """A lost job was killed at an unknown point of its run."""
        self.assert_failed_without_retry(lambda request: (request.send_head(), request.send_state("lost")))

    def test_an_unsafe_request_whose_connection_breaks_after_the_last_byte_is_not_retried(self):
        """Only a connection that breaks before the last byte proves that the request did not run."""
        self.assert_failed_without_retry(lambda request: request.connection.close())

    def test_an_unsafe_request_answered_503_without_x_rejected_is_not_retried(self):
        """Only X-Rejected proves that the executor did not start the request."""
        self.assert_failed_without_retry(
            lambda request: request.connection.send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        )

    def test_a_rejected_request_is_answered_503_with_retry_after(self):
        """X-Rejected and the state `returned` prove that the request never ran, so the client may retry."""
        status = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        # An answer without a length: its head alone is enough.
        endless = "HTTP/1.1 504 x\r\nX-Rejected: 1\r\nConnection: close\r\n\r\n"
        refusals = (
            lambda request: request.connection.send(status),
            lambda request: request.connection.send(endless),
            lambda request: (request.send_head(), request.send_state("returned")),
        )
        for refuse in refusals:
            client = self.client().ask("issue")
            while not client.answered(0.02):  # The node may retry, up to `caps.try_limit` attempts.
                if not self.executors[0].received.empty():
                    refuse(self.executors[0].next_request())
            self.assertEqual(client.answer()[0], 503)
            self.assertGreater(float(client.headers["Retry-After"]), 0)

    def test_a_request_to_a_silent_executor_is_answered_within_its_budget(self):
        """The client gets its answer before its time-out, and the attempt's connection is closed."""
        began = time.monotonic()
        client = self.client().ask("issue", budget=400)
        request = self.executors[0].next_request()
        # The node keeps a margin of the budget.
        self.assertLessEqual(int(request.headers["X-Budget-Ms"]), 380)
        self.assertEqual(client.answer()[0], 502)
        self.assertLess(time.monotonic() - began, 0.4 + 0.058)  # the allowed delay past the deadline
        self.assertTrue(request.connection.ended.wait(WAIT))

    def test_a_closed_client_connection_cancels_the_attempt(self):
        """An attempt is cancelled by closing its connection to the executor."""
        client = self.client().ask()
        request = self.executors[0].next_request()
        client.close()
        self.assertTrue(request.connection.ended.wait(WAIT))

    def test_progress_lines_do_not_end_the_request(self):
        """Lines before the final one, split at any byte, must neither end the request nor fail it."""
        client = self.client().ask()
        request = self.executors[0].next_request()
        request.send_head()
        request.send_state("started")
        request.send_state("running", share=0.5)
        request.connection.send('5\r\n{"sta\r\n')
        rest = f'te":"done","id":"{request.headers["X-Call-Id"]}",' + '"result":{"a": 1}}\n'
        request.connection.send(f"{len(rest):x}\r\n{rest}\r\n0\r\n\r\n")
        self.assertEqual(client.answer(), (200, b'{"a": 1}'))


class Breaking(NodeCase):
    def test_an_unsafe_request_uses_a_new_connection_after_a_reused_one_was_reset(self):
        """Some executors reset a reused connection at its next request, which loses an unsafe request."""
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        client.ask()
        self.executors[0].next_request().connection.reset()
        first = self.executors[0].next_request()  # the retry
        first.done()
        self.assertEqual(client.answer()[0], 200)
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIsNot(first.connection, second.connection)
        client.ask()  # A request that may be retried still reuses the connection used last.
        third = self.executors[0].next_request()
        third.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIs(second.connection, third.connection)

    def test_an_unsafe_request_reset_before_its_last_byte_is_retried(self):
        """The last byte is delayed, since some executors reset a connection at its first byte."""
        self.executors[0].resets_at_first_byte = True
        for request_count in range(1, 21):  # On a slow machine the reset may come too late.
            self.assertIn(self.client().ask("issue").answer()[0], (502, 503))
            if len(self.executors[0].connections) > request_count:
                return
        self.fail("no unsafe request was retried")

    def test_an_answer_before_the_last_byte_prevents_reuse_of_its_connection(self):
        """On a reused connection the rest of the request would be parsed as the head of the next one."""
        self.executors[0].early_answer = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        statuses = [502]
        while statuses[-1] == 502 and len(statuses) <= 20:  # On a slow machine the answer may come too late.
            statuses.append(self.client().ask("issue").answer()[0])
        self.assertEqual(statuses[-1], 503)
        self.executors[0].early_answer = None
        client = self.client().ask()
        request = self.executors[0].next_request()
        self.assertEqual(request.method, "POST")  # No byte of the previous request precedes it.
        request.done()
        self.assertEqual(client.answer()[0], 200)


class IdleConnections(NodeCase):
    settings_changes = {"caps.conn_idle": 2000000}

    def test_an_idle_connection_is_closed_before_the_idle_time_out_of_the_executor(self):
        """A request written to a connection that the executor has closed is answered with a reset."""
        client = self.client().ask()
        request = self.executors[0].next_request()
        request.done()
        began = time.monotonic()
        self.assertEqual(client.answer()[0], 200)
        self.assertTrue(request.connection.ended.wait(WAIT))
        self.assertLess(time.monotonic() - began, 1.9)


class Probing(NodeCase):
    executor_count = 2
    settings_changes = {"caps.probes": True}

    def test_a_request_goes_to_the_executor_whose_probe_reports_free_slots(self):
        """Probes are the only source of load reports here."""
        client = self.client().ask()
        for number, free in ((0, 0), (1, 2)):
            probe = self.executors[number].next_request()
            self.assertEqual((probe.method, probe.path), ("GET", "/status/load"))
            body = json.dumps({"x0": free, "x1": free})
            probe.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        self.executors[1].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class DescriptorLimit(NodeCase):
    sockets = 64
    settings_changes = {"caps.probes": True}

    def test_descriptors_stay_within_the_limit_when_each_session_has_an_attempt_in_flight(self):
        """Guards against bounds on sessions and attempts that leave out the node's own descriptors."""
        clients, open_requests = [], []
        for _ in range(12):  # Idle sessions must be closed to make room.
            self.addCleanup(socket.create_connection(("127.0.0.1", self.port), timeout=WAIT).close)
        while len(open_requests) < 20:
            if len(clients) == len(open_requests):
                clients.append(self.client().ask("issue"))
            request = self.executors[0].next_request()
            if request.method == "POST":
                open_requests.append(request)
            else:
                load = '{"x0": 50, "x1": 50}'
                request.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n{load}")
        self.assertLessEqual(len(os.listdir(f"/proc/{self.process.pid}/fd")), self.sockets)
        for request in open_requests:
            request.done()
        self.assertEqual({client.answer()[0] for client in clients}, {200})


class AbusiveClients(NodeCase):
    executor_count = 2

    def test_a_duplicate_call_id_of_an_open_request_is_answered_409(self):
        """An executor answers a duplicate id with 400, which would count against its health."""
        first = self.client().ask(**{"X-Call-Id": "abc"})
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(first.answered(0.01))
        self.assertEqual(self.client().ask(**{"X-Call-Id": "abc"}).answer()[0], 409)
        next(server for server in self.executors if not server.received.empty()).next_request().done()
        self.assertEqual(first.answer()[0], 200)
        second = self.client().ask(**{"X-Call-Id": "abc"})
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(second.answered(0.01))

    def test_a_request_answered_400_is_not_retried(self):
        """A 4xx status is the request's fault: retries would count against the health of other executors."""
        client = self.client().ask()
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(client.answered(0.01))
        bad = next(server for server in self.executors if not server.received.empty())
        bad.next_request().connection.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(all(server.received.empty() for server in self.executors))

    def test_a_repeated_header_is_refused_and_trailers_are_ignored(self):
        """Guards against a duplicate or trailer that overrides a header, and blanks in its value."""
        head = b"POST /api HTTP/1.1\r\nX-Call-Class: pin\r\nX-Budget-Ms: 500\r\nX-Call-Id: a1  \r\n"
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(head + b"X-Call-Id: a2\r\nContent-Length: 0\r\n\r\n")
            self.assertIn(b" 400 ", sock.makefile("rb").readline())
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            chunks = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Call-Id: a3\r\n\r\n"
            sock.sendall(head + chunks)
            while all(server.received.empty() for server in self.executors):
                self.assertFalse(select.select([sock], [], [], 0.01)[0])
            request = next(server for server in self.executors if not server.received.empty()).next_request()
            self.assertEqual((request.headers["X-Call-Id"], request.body), ("a1", b"x"))

    def test_a_body_of_ambiguous_length_is_refused_with_one_answer(self):
        """Guards against request smuggling: no second request in the body reaches an executor."""
        head = b"POST /api HTTP/1.1\r\nX-Call-Class: pin\r\nX-Budget-Ms: 500\r\nX-Call-Id: a1\r\n"
        inner = head + b"Content-Length: 0\r\n\r\n"
        for lines in (b"Content-Length: 3\r\nContent-Length: 3\r\n", b"Content-Length: 3, 4\r\n",
                      b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                      b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                      b"Content-Length: -1\r\n", b"Content-Length: 99999999999999999999\r\n",
                      b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 5\r\n"):  # fmt: skip
            with self.subTest(lines=lines), socket.create_connection(("127.0.0.1", self.port), WAIT) as sock:
                sock.sendall(head + lines + b"\r\n0\r\n\r\n" + inner)
                answers = sock.makefile("rb").read()
                self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answers), [b"400"])
        self.assertTrue(all(server.received.empty() for server in self.executors))

    def test_sessions_without_a_complete_request_time_out_early(self):
        """Silent sessions and incomplete requests time out soon; a served session may stay idle."""
        served = self.client()
        served.request("GET", "/ready")
        self.assertEqual(served.answer()[0], 200)
        began, connections = time.monotonic(), []
        for text in (b"", b"POST /api HTTP/1.1\r\nX: ", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"):
            connections.append(socket.create_connection(("127.0.0.1", self.port), timeout=WAIT))
            connections[-1].sendall(text)
        answers = [sock.makefile("rb").read() for sock in connections]
        self.assertLess(time.monotonic() - began, 3)
        self.assertEqual([answer[:12] for answer in answers], [b"", *[b"HTTP/1.1 408"] * 2])
        served.request("GET", "/ready")
        self.assertEqual(served.answer()[0], 200)
        for sock in connections:
            sock.close()

    def test_a_client_that_still_sends_reads_the_error_answer(self):
        """Closing a socket with unread input resets the connection and loses the answer."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
            with contextlib.suppress(OSError):
                for _ in range(60):
                    sock.sendall(b"x" * 1_000_000)
            self.assertIn(b" 413 ", sock.makefile("rb").readline())

    def test_pipelined_requests_of_a_client_that_does_not_read_are_bounded(self):
        """Guards against a write buffer that grows without a limit."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.setblocking(False)
            sent, ask = 0, b"GET /no HTTP/1.1\r\n\r\n" * 8
            with contextlib.suppress(OSError):
                while sent < 50_000_000 and select.select([], [sock], [], 0.5)[1]:
                    sent += sock.send(ask)
            self.assertLess(sent, 50_000_000)


class SessionLimit(NodeCase):
    sockets = 64  # allows 20 sessions

    def test_sessions_without_a_complete_request_are_closed_to_make_room(self):
        """Guards against clients that wait in the backlog until incomplete requests time out."""
        for text in (b"", b"POST /api HTTP/1.1\r\nX: "):
            for _ in range(60):
                sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
                self.addCleanup(sock.close)
                sock.sendall(text)
        began = time.monotonic()
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLess(time.monotonic() - began, 4)


class Unreachable(NodeCase):
    def test_an_unsafe_request_whose_connect_is_refused_is_answered_503(self):
        """A refused connect proves that the request never ran, so the client may retry."""
        self.executors[0].close()
        client = self.client().ask("issue")
        self.assertEqual(client.answer()[0], 503)


class UnansweredConnects(NodeCase):
    def setUp(self) -> None:
        """Fill the backlog of the executor's listener, so that further connects get no answer."""
        self.silent = [socket.create_server(("127.0.0.1", 0), backlog=0)]
        for _ in range(3):
            self.silent.append(socket.socket())
            self.silent[-1].setblocking(False)
            self.silent[-1].connect_ex(self.silent[0].getsockname())
        for sock in self.silent:
            self.addCleanup(sock.close)
        super().setUp()

    def entry(self, number: int, **changes) -> dict:
        address = f"127.0.0.1:{self.silent[0].getsockname()[1]}"
        return super().entry(number, address=address, **changes)

    def test_a_connect_without_an_answer_times_out(self):
        """A connect that times out proves that the attempt never ran, so its request is refused."""
        began = time.monotonic()
        self.assertEqual(self.client().ask("issue").answer()[0], 503)
        self.assertGreater(time.monotonic() - began, 0.2)
        self.assertLess(time.monotonic() - began, 1)


class InvalidRequests(NodeCase):
    sockets = 64

    def read_status_line(self, text: bytes) -> bytes:
        """Send these bytes on a new connection and return the first line of the answer."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(text)
            return sock.makefile("rb").readline()

    def test_an_invalid_request_is_answered_with_the_matching_status(self):
        """Client errors must not end the node or leave a traceback in its log."""
        for expected_status, changes in (
            (400, {"job_class": "unknown"}), (400, {"budget": "soon"}), (400, {"budget": 0}),
            (400, {"budget": -5}), (400, {"X-Call-Info": "slots=nan"}), (400, {"X-Call-Info": "slots"}),
            (400, {"X-Call-Cost": "much"}), (404, {"path": "/apis"}), (404, {"path": "/"}),
            (405, {"path": "/ready"}),
        ):  # fmt: skip
            with self.subTest(changes=changes):
                self.assertEqual(self.client().ask(**changes).answer()[0], expected_status)
        for status, text in (
            (405, b"GET /api HTTP/1.1\r\n\r\n"), (400, b"no HTTP at all\r\n\r\n"),
            (400, b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
            (413, b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
            (413, b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537),
            (431, b"GET /ready HTTP/1.1\r\nX: " + b"x" * 20000),
        ):  # fmt: skip
            with self.subTest(text=text[:40]):
                self.assertEqual(self.read_status_line(text).split()[1], str(status).encode())
        self.assertEqual(self.read_status_line(b"GET /ready HTTP/1.1\r\n\r\n").split()[1], b"200")

    def test_a_protocol_upgrade_is_ignored_and_answered_once(self):
        """The parser stops at an offer of HTTP/2; the rest must not cause a second answer."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
            answers = sock.makefile("rb").read()
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answers), [b"200"])

    def test_pipelined_requests_are_answered_in_order(self):
        """A client may send requests before it has read the previous answers."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\nrubbish\r\n\r\n")
            answers = sock.makefile("rb").read()
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answers), [b"200", b"404", b"400"])

    def test_more_clients_than_descriptors_are_served(self):
        """Sessions are limited and idle ones closed, since an accept without free descriptors fails."""
        connections = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(100)]
        for sock in connections:
            self.addCleanup(sock.close)
        self.assertEqual(self.read_status_line(b"GET /ready HTTP/1.1\r\n\r\n").split()[1], b"200")
        self.assertLessEqual(len(os.listdir(f"/proc/{self.process.pid}/fd")), self.sockets)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class DiscoveryWatch(NodeCase):
    executor_count = 2

    def accept_watch(self, index: int):
        """Wait for a watch that starts at this index, and begin its answer."""
        request = self.discovery.next_request()
        self.assertEqual(request.path, f"/v1/endpoints?watch=1&from={index}")
        request.send_head()
        return request

    def test_a_draining_executor_gets_no_new_requests(self):
        """The next watch starts at the index of the last received line."""
        watch = self.accept_watch(7)
        change = self.entry(0, status="DRAINING", address="")  # The change applies without an address too.
        watch.send_line({"index": 9, "snapshot": False, "endpoints": [change]})
        self.wait_log("watching from index 9")
        self.assertEqual({self.served_by() for _ in range(12)}, {1})
        watch.connection.close()
        watch = self.accept_watch(9)
        unknown_status = self.entry(1, status="RESTING")  # gets no requests either
        watch.send_line({"index": 12, "snapshot": True, "endpoints": [self.entry(0), unknown_status]})
        self.wait_log("watching from index 12")
        self.assertEqual({self.served_by() for _ in range(12)}, {0})

    def test_a_silent_watch_is_closed_and_started_again(self):
        """Missing keep-alive lines show that the connection is lost, although it stays open."""
        watch = self.accept_watch(7)
        watch.send_line({"index": 8, "snapshot": False, "endpoints": []})
        watch.send_line(None)
        self.wait_log("watch lost (silence)")
        self.assertTrue(watch.connection.ended.wait(WAIT))
        self.accept_watch(8)

    def test_a_failed_watch_is_started_again(self):
        """After a 503 answer or an invalid line the last endpoint list stays in use."""
        self.discovery.next_request().send_head("503 Service Unavailable")
        self.wait_log("watch lost (status 503)")
        self.accept_watch(7).send_line({"index": "x"})
        self.accept_watch(7).send_line({"index": 8, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 8")
        self.assertIn(self.served_by(), (0, 1))

    def test_truncated_and_oversized_lists_are_ignored_and_logged_once(self):
        """The last valid list stays in use, and the node starts a new watch without filling its log."""
        for text in ('7\r\n{"index\r\n0\r\n\r\n', f"{5 << 20:x}\r\n" + "x" * (5 << 20)):
            watch = self.discovery.next_request()
            watch.send_head()
            with contextlib.suppress(OSError):  # The node closes before it has read the whole line.
                watch.connection.send(text)
            self.assertTrue(watch.connection.ended.wait(WAIT))
            self.assertIn(self.served_by(), (0, 1))
        self.accept_watch(7).send_line({"index": 8, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 8")
        self.assertEqual("".join(self.log).count("watch lost"), 1)


class Reloading(NodeCase):
    executor_count = 2

    def test_a_new_discovery_address_takes_effect_without_losing_requests(self):
        """SIGHUP must not end the process, and the new discovery server must send the full list."""
        old_watch = self.discovery.next_request()
        open_client = self.client().ask("issue")
        # The request must be in flight at the executor that the new list removes.
        while self.executors[0].received.empty():
            if not self.executors[1].received.empty():
                self.executors[1].next_request().done()
                open_client.answer()
                open_client = self.client().ask("issue")
            self.assertFalse(open_client.answered(0.01))
        request = self.executors[0].next_request()
        discovery = StandInServer()
        self.addCleanup(discovery.close)
        self.reload(json.dumps({**self.config(), "discovery": discovery.address}))
        self.wait_log("reloaded: discovery is at 127.0.0.1")
        self.assertTrue(old_watch.connection.ended.wait(WAIT))
        discovery.next_request().send_head("503 Service Unavailable")  # The node retries soon.
        began, watch = time.monotonic(), discovery.next_request()
        self.assertLess(time.monotonic() - began, 1.5)
        # Indexes of another server do not apply.
        self.assertEqual(watch.path, "/v1/endpoints?watch=1&from=0")
        watch.send_head()
        watch.send_line({"index": 3, "snapshot": True, "endpoints": [self.entry(1)]})
        self.wait_log("watching from index 3")
        for _ in range(8):
            client = self.client().ask()
            self.executors[1].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertTrue(self.executors[0].received.empty())
        request.done("kept")
        self.assertEqual(open_client.answer(), (200, b"kept"))

    def test_an_invalid_file_keeps_the_old_configuration(self):
        """The node keeps serving, logs the error in one line, and applies the next valid file."""
        watch = self.discovery.next_request()
        for text in ("", "[]", json.dumps({**self.config(), "discovery": "nowhere"})):
            self.reload(text)
            self.wait_log("reload failed, the old configuration holds: ")
        client = self.client().ask()
        while self.executors[0].received.empty() and self.executors[1].received.empty():
            self.assertFalse(client.answered(0.01))
        next(server for server in self.executors if not server.received.empty()).next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertFalse(watch.connection.ended.is_set())
        changed = {**self.config(), "name": "n9", "limits": {"sockets": 300}}
        self.reload(json.dumps(changed))
        self.wait_log("a change of name, limits takes a restart")
        self.assertTrue(watch.connection.ended.wait(WAIT))

    def test_a_reload_does_not_interrupt_a_drain(self):
        """Open requests are answered and the process exits with status 0."""
        client = self.client().ask("issue")
        request = None
        while request is None:
            request = next(
                (server.next_request() for server in self.executors if not server.received.empty()), None
            )
        self.terminate()
        self.wait_log("draining")
        self.reload("{")
        request.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertNotIn("reload", self.process.stderr.read())


class NodeDrain(NodeCase):
    def test_a_drain_answers_open_requests_and_late_ones(self):
        """Requests that arrive up to 0.4 s after SIGTERM are answered before the exit with status 0."""
        active, idle, early, late = (self.client() for _ in range(4))
        for client in (active, idle):
            client.request("GET", "/ready")
            self.assertEqual(client.answer()[0], 200)
        early.ask()
        open_request = self.executors[0].next_request()
        self.terminate()
        self.wait_log("draining: 1 requests held")
        late.ask()
        self.executors[0].next_request().done("late")
        self.assertEqual(late.answer(), (200, b"late"))
        self.assertNotIn("Connection", late.headers)  # Too early: the client may not find another node yet.
        active.request("GET", "/ready")  # Clients still use their open sessions.
        self.assertEqual(active.answer()[0], 503)
        self.assertEqual(idle.sock.recv(1), b"")  # Idle sessions are closed before SIGKILL may come.
        self.assertIsNone(self.process.poll())  # The node must not exit while a request is open.
        open_request.done("early")
        self.assertEqual(early.answer(), (200, b"early"))
        self.assertEqual(early.headers["Connection"], "close")
        self.assertEqual(self.process.wait(WAIT), 0)


class SignalsDuringTheExit(NodeCase):
    def command(self, module: str, *arguments: str) -> list[str]:
        return [sys.executable, "-m", module, *arguments]  # The guard of timers has a handler of its own.

    def test_a_signal_after_the_last_session_does_not_change_the_exit_status(self):
        """Guards against a planned end that looks like a crash, since a signal came as the process exited."""
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1):
            with self.subTest(number.name):
                self.terminate()
                self.wait_log("has ended")
                self.process.send_signal(number)
                self.assertEqual(self.process.wait(WAIT), 0)
                self.process.stderr.close()
                self.process = self.start(self.config())
                self.wait_log("serves on")


class DrainBeforeKill(NodeCase):
    def test_a_request_late_in_a_drain_is_answered_before_sigkill(self):
        """SIGKILL may come 3.7 s after SIGTERM, which loses a late request that is still unanswered."""
        head = b"POST /api HTTP/1.1\r\nX-Call-Class: issue\r\nX-Budget-Ms: 9000\r\nX-Call-Id: a\r\n"
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
        self.addCleanup(sock.close)
        sock.sendall(head)
        began = time.monotonic()
        self.terminate()
        self.wait_log("draining")
        self.wait_log("no new sessions from now on")
        sock.sendall(b"\r\n")
        self.executors[0].next_request()
        self.assertIn(b" 502 ", sock.makefile("rb").readline())
        self.assertGreater(time.monotonic() - began, 3)
        self.assertLess(time.monotonic() - began, 3.7)
        self.assertEqual(self.process.wait(WAIT), 0)


class Starting(NodeCase):
    def test_an_invalid_configuration_fails_the_start_with_one_line(self):
        """The line names the error for operators; the exit status reports the failure to the platform."""
        good = self.config()
        for changes, expected_text in (
            ({"settings": {}}, "caps is missing"), ({"listen": "nowhere"}, "HOST:PORT"),
            ({"seed": "?"}, "base 16"), ({"known": None}, "known"),
            ({"listen": f"127.0.0.1:{self.port}"}, "in use"),
            ({"limits": {"sockets": 0}}, "limits.sockets"),
            ({"settings": {**good["settings"], "instances": "three"}}, "instances"),
        ):  # fmt: skip
            with self.subTest(expected_text=expected_text):
                process = self.start({**good, **changes})
                text = process.communicate(timeout=WAIT)[1]
                self.assertNotEqual(process.returncode, 0)
                self.assertEqual(text.count("\n"), 1, text)
                self.assertIn(expected_text, text)
        env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
        command = [sys.executable, "-m", "cedarmill"]
        run = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True)
        self.assertEqual((run.returncode, run.stderr), (2, "cedarmill: LB_CONFIG is not set\n"))

    def test_a_node_without_executors_is_not_ready(self):
        """Before the first endpoint list a node can only refuse requests."""
        config = self.config()
        config["known"]["endpoints"] = []
        self.stop_node()
        self.process.stderr.close()
        self.process = self.start(config)
        self.wait_log("serves on")
        self.port = int(self.log[-1].split()[-1])
        client = self.client()
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 503)
        watch = self.discovery.received.get(timeout=WAIT)
        watch = self.discovery.received.get(timeout=WAIT) if watch.connection.ended.is_set() else watch
        watch.send_head()
        watch.send_line({"index": 8, "snapshot": True, "endpoints": [self.entry(0)]})
        self.wait_log("watching from index 8")
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 200)


if __name__ == "__main__":
    unittest.main()
