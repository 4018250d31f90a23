"""The real program on sockets: each test names what it guards against."""

import contextlib
import json
import os
import re
import select
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path

from tests.support.node_case import ROOT, WAIT, NodeCase, StandInServer


class Serving(NodeCase):
    def test_a_request_without_a_key_is_served(self):
        """At a site without keys the path is /api alone; taking only paths below it once refused all."""
        client = self.client().ask(path="/api?x=1", **{"Idempotency-Key": "k1"})
        asked = self.executors[0].next_request()
        self.assertEqual((asked.method, asked.path, asked.body), ("POST", "/api?x=1", b"a body"))
        self.assertEqual(asked.headers["Idempotency-Key"], "k1")
        self.assertLess(int(asked.headers["X-Budget-Ms"]), 6000)
        asked.done("r\u00e9sultat")
        self.assertEqual(client.answer(), (200, "r\u00e9sultat".encode()))

    def test_a_executor_connection_serves_one_request_after_the_other(self):
        """A new connection costs the executor work; only at a message's end is it known to be kept."""
        for _ in range(3):
            client = self.client().ask()
            self.executors[0].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertEqual(len(self.executors[0].connections), 1)

    def test_a_connection_that_got_eof_is_not_used_again(self):
        """What is written to a closed connection ends as a reset, and an unsafe request is then lost."""
        client = self.client().ask()
        first = self.executors[0].next_request()
        first.done()
        self.assertEqual(client.answer()[0], 200)
        first.connection.close()
        self.assertTrue(first.connection.ended.wait(WAIT))  # the node has closed its side, too
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIsNot(first.connection, second.connection)

    def test_an_unsafe_request_whose_stream_breaks_off_fails_and_is_not_sent_again(self):
        """A 200 that ends without a last line is a reset: the job may have run."""
        client = self.client().ask("issue")
        asked = self.executors[0].next_request()
        asked.send_head()
        asked.connection.send("0\r\n\r\n")
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(self.executors[0].received.empty())

    def test_a_line_of_another_job_is_not_passed_on(self):
        """A node that serves what no executor made for the request breaks a rule."""
        client = self.client().ask("issue")
        asked = self.executors[0].next_request()
        asked.send_head()
        asked.send_line({"id": "another", "state": "done", "result": "not yours"})
        self.assertEqual(client.answer()[0], 502)

    def may_have_run(self, end) -> None:
        """No refusal and no second attempt for an unsafe request after such an end."""
        client = self.client().ask("issue")
        end(self.executors[0].next_request())
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(self.executors[0].received.empty())

    def test_a_failed_job_may_have_run(self):
        """Its state says nothing of what it did before."""
        self.may_have_run(lambda asked: (asked.send_head(), asked.send_state("failed")))

    def test_a_lost_job_may_have_run(self):
        """It was killed at an unknown point."""
        self.may_have_run(lambda asked: (asked.send_head(), asked.send_state("lost")))

    def test_a_connection_that_breaks_after_the_last_byte_may_have_run(self):
        """Only what breaks before it is a failed connect."""
        self.may_have_run(lambda asked: asked.connection.close())

    def test_503_without_its_mark_may_have_run(self):
        """Only X-Rejected proves that the executor did not look at it."""
        self.may_have_run(lambda asked: asked.connection.send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"))

    def test_a_request_turned_away_unseen_is_refused_with_advice(self):
        """503 with X-Rejected, and `returned`, prove that it never ran: the synthetic answer is harmless."""
        status = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        endless = "HTTP/1.1 504 x\r\nX-Rejected: 1\r\nConnection: close\r\n\r\n"  # the head says it all
        refusals = (
            lambda asked: asked.connection.send(status),
            lambda asked: asked.connection.send(endless),
            lambda asked: (asked.send_head(), asked.send_state("returned")),
        )
        for refuse in refusals:
            client = self.client().ask("issue")
            while not client.answered(0.02):  # the module may try again, as often as the settings allow
                if not self.executors[0].received.empty():
                    refuse(self.executors[0].next_request())
            self.assertEqual(client.answer()[0], 503)
            self.assertGreater(float(client.headers["Retry-After"]), 0)

    def test_the_answer_comes_before_the_budget_ends(self):
        """A silent executor: the client must hear before it gives up, and the connection is let go."""
        began = time.monotonic()
        client = self.client().ask("issue", budget=400)
        asked = self.executors[0].next_request()
        self.assertLessEqual(int(asked.headers["X-Budget-Ms"]), 380)  # what is left after its margin
        self.assertEqual(client.answer()[0], 502)
        self.assertLess(time.monotonic() - began, 0.4 + 0.058)  # the slack that the rule allows
        self.assertTrue(asked.connection.ended.wait(WAIT))

    def test_a_client_that_leaves_gives_up_its_attempt(self):
        """Nobody reads that answer any more; to give up an attempt is to close its connection."""
        client = self.client().ask()
        asked = self.executors[0].next_request()
        client.close()
        self.assertTrue(asked.connection.ended.wait(WAIT))

    def test_notes_of_a_start_and_of_progress_are_no_answer(self):
        """Lines before the last one, split anywhere, must neither end the request nor break it."""
        client = self.client().ask()
        asked = self.executors[0].next_request()
        asked.send_head()
        asked.send_state("started")
        asked.send_state("running", share=0.5)
        asked.connection.send('5\r\n{"sta\r\n')
        asked.connection.send('1e\r\nte":"done","result":{"a": 1}}\n\r\n0\r\n\r\n')
        self.assertEqual(client.answer(), (200, b'{"a": 1}'))


class Breaking(NodeCase):
    def test_an_unsafe_request_goes_out_on_a_new_connection_once_a_kept_one_has_broken(self):
        """Some executors reset kept connections at the next request: an unsafe request is lost that way."""
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        client.ask()
        self.executors[0].next_request().connection.reset()
        first = self.executors[0].next_request()  # the module sends it again
        first.done()
        self.assertEqual(client.answer()[0], 200)
        client.ask("issue")
        second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIsNot(first.connection, second.connection)
        client.ask()  # what may be repeated still uses the one used last
        third = self.executors[0].next_request()
        third.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIs(second.connection, third.connection)

    def test_a_reset_while_an_unsafe_request_arrives_proves_that_it_never_ran(self):
        """Its last byte waits a moment: some executors reset a connection as soon as it brings something."""
        self.executors[0].resets_at_first_byte = True
        for asked in range(1, 21):  # the reset may also come too late, on a slow machine
            self.assertIn(self.client().ask("issue").answer()[0], (502, 503))
            if len(self.executors[0].connections) > asked:
                return
        self.fail("no unsafe req was sent again")

    def test_an_answer_before_the_last_byte_spoils_its_connection(self):
        """The rest of that request would be read as the head of the next one."""
        self.executors[0].early_answer = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        statuses = [502]
        while statuses[-1] == 502 and len(statuses) <= 20:  # it may also come too late, on a slow machine
            statuses.append(self.client().ask("issue").answer()[0])
        self.assertEqual(statuses[-1], 503)
        self.executors[0].early_answer = None
        client = self.client().ask()
        asked = self.executors[0].next_request()
        self.assertEqual(asked.method, "POST")  # a byte of the request before would stand in front of it
        asked.done()
        self.assertEqual(client.answer()[0], 200)


class Resting(NodeCase):
    settings_changes = {"caps.conn_idle": 2000000}

    def test_an_idle_connection_is_closed_well_before_its_executor_does(self):
        """What is written to one that its machine has closed ends as a reset."""
        client = self.client().ask()
        asked = self.executors[0].next_request()
        asked.done()
        began = time.monotonic()
        self.assertEqual(client.answer()[0], 200)
        self.assertTrue(asked.connection.ended.wait(WAIT))
        self.assertLess(time.monotonic() - began, 1.9)


class Probing(NodeCase):
    executor_count = 2
    settings_changes = {"caps.probes": True}

    def test_a_probe_reads_the_load_and_the_job_goes_where_room_is(self):
        """Load comes by probe only: the job must reach the executor that reports a free slot."""
        client = self.client().ask()
        for number, free in ((0, 0), (1, 2)):
            probe = self.executors[number].next_request()
            self.assertEqual((probe.method, probe.path), ("GET", "/status/load"))
            body = json.dumps({"x0": free, "x1": free})
            probe.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        self.executors[1].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class Crowded(NodeCase):
    sockets = 64
    settings_changes = {"caps.probes": True}

    def test_descriptors_suffice_when_each_session_has_an_attempt_out(self):
        """The node's own descriptors count too: two bounds that left them out once went over the limit."""
        clients, held = [], []
        for _ in range(12):  # idle ones, which have to make room
            self.addCleanup(socket.create_connection(("127.0.0.1", self.port), timeout=WAIT).close)
        while len(held) < 20:
            if len(clients) == len(held):
                clients.append(self.client().ask("issue"))
            asked = self.executors[0].next_request()
            if asked.method == "POST":
                held.append(asked)
            else:
                load = '{"x0": 50, "x1": 50}'
                asked.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(load)}\r\n\r\n{load}")
        self.assertLessEqual(len(os.listdir(f"/proc/{self.process.pid}/fd")), self.sockets)
        for asked in held:
            asked.done()
        self.assertEqual({client.answer()[0] for client in clients}, {200})


class Rude(NodeCase):
    executor_count = 2

    def test_the_id_of_an_open_request_is_not_taken_twice(self):
        """Another's id made executors answer 400, and the node think ill of five of them in turn."""
        first = self.client().ask(**{"X-Call-Id": "abc"})
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(first.answered(0.01))
        self.assertEqual(self.client().ask(**{"X-Call-Id": "abc"}).answer()[0], 409)
        next(server for server in self.executors if not server.received.empty()).next_request().done()
        self.assertEqual(first.answer()[0], 200)
        second = self.client().ask(**{"X-Call-Id": "abc"})
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(second.answered(0.01))

    def test_what_an_executor_cannot_use_is_not_offered_to_the_next(self):
        """4xx blames the request: repeats would only hurt the health of executors that are well."""
        client = self.client().ask()
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(client.answered(0.01))
        bad = next(server for server in self.executors if not server.received.empty())
        bad.next_request().connection.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(all(server.received.empty() for server in self.executors))

    def test_a_header_means_one_thing(self):
        """One that came twice overwrote the first; a trailer did, too; blanks went on to the executor."""
        head = b"POST /api HTTP/1.1\r\nX-Call-Class: pin\r\nX-Budget-Ms: 500\r\nX-Call-Id: a1  \r\n"
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(head + b"X-Call-Id: a2\r\nContent-Length: 0\r\n\r\n")
            self.assertIn(b" 400 ", sock.makefile("rb").readline())
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            chunks = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Call-Id: a3\r\n\r\n"
            sock.sendall(head + chunks)
            while all(server.received.empty() for server in self.executors):
                self.assertFalse(select.select([sock], [], [], 0.01)[0])
            asked = next(server for server in self.executors if not server.received.empty()).next_request()
            self.assertEqual((asked.headers["X-Call-Id"], asked.body), ("a1", b"x"))

    def test_a_body_of_unclear_length_goes_no_further(self):
        """Such a body can hide a second request: one error, and nothing of it reaches a executor."""
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

    def test_who_sends_nothing_whole_is_let_go_in_time(self):
        """Silent and half-sent sessions held their places for 60 and 15 s; those that served may rest."""
        served = self.client()
        served.request("GET", "/ready")
        self.assertEqual(served.answer()[0], 200)
        began, got = time.monotonic(), []
        for text in (b"", b"POST /api HTTP/1.1\r\nX: ", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"):
            got.append(socket.create_connection(("127.0.0.1", self.port), timeout=WAIT))
            got[-1].sendall(text)
        answers = [sock.makefile("rb").read() for sock in got]
        self.assertLess(time.monotonic() - began, 3)
        self.assertEqual([answer[:12] for answer in answers], [b"", *[b"HTTP/1.1 408"] * 2])
        served.request("GET", "/ready")
        self.assertEqual(served.answer()[0], 200)
        for sock in got:
            sock.close()

    def test_an_error_is_read_by_one_who_still_sends(self):
        """Closed over unread input, a socket is reset, and the error with it."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
            with contextlib.suppress(OSError):
                for _ in range(60):
                    sock.sendall(b"x" * 1_000_000)
            self.assertIn(b" 413 ", sock.makefile("rb").readline())

    def test_one_who_reads_nothing_fills_no_memory(self):
        """Answers to what is sent ahead piled up in the write buffer without end."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.setblocking(False)
            sent, ask = 0, b"GET /no HTTP/1.1\r\n\r\n" * 8
            with contextlib.suppress(OSError):
                while sent < 50_000_000 and select.select([], [sock], [], 0.5)[1]:
                    sent += sock.send(ask)
            self.assertLess(sent, 50_000_000)


class CrowdedOut(NodeCase):
    sockets = 64  # 20 sessions

    def test_sessions_that_send_nothing_whole_make_room(self):
        """They once kept usual clients in the backlog for 15 s and more: a third of a day was lost."""
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


class Narrow(NodeCase):
    sockets = 1024
    memory_mb = 32

    def test_half_sent_bodies_do_not_outgrow_the_memory(self):
        """A node over its memory is killed: 500 sessions with a body each would have taken 60 MB."""

        def held() -> int:
            text = Path(f"/proc/{self.process.pid}/smaps_rollup").read_text()
            return sum(int(kb) for kb in re.findall(r"Private_\w+: +(\d+)", text))

        before = held()
        for _ in range(400):
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
            self.addCleanup(sock.close)
            with contextlib.suppress(OSError):
                sock.sendall(b"POST /api HTTP/1.1\r\nContent-Length: 65000\r\n\r\n" + b"x" * 64000)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLess(held() - before, 12_000)


class Unreachable(NodeCase):
    def test_a_refused_connect_proves_that_the_request_never_ran(self):
        """So an unsafe request may be refused at once, not failed, and the node goes on."""
        self.executors[0].close()
        client = self.client().ask("issue")
        self.assertEqual(client.answer()[0], 503)


class CutOff(NodeCase):
    def setUp(self) -> None:
        """The executor's backlog is full and nobody accepts: further connects hang."""
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

    def test_a_connect_that_never_comes_up_ends_in_its_time(self):
        """A machine that is cut off says nothing: the attempt never ran, and its request is refused then."""
        began = time.monotonic()
        self.assertEqual(self.client().ask("issue").answer()[0], 503)
        self.assertGreater(time.monotonic() - began, 0.2)
        self.assertLess(time.monotonic() - began, 1)


class Errors(NodeCase):
    sockets = 64

    def raw(self, text: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(text)
            return sock.makefile("rb").readline()

    def test_what_is_wrong_with_a_request_is_said_by_its_status(self):
        """Each of these is a client's fault: a plain answer, no traceback, and the node goes on."""
        for wanted, changes in (
            (400, {"job_class": "unknown"}), (400, {"budget": "soon"}), (400, {"budget": 0}),
            (400, {"budget": -5}), (400, {"X-Call-Info": "slots=nan"}), (400, {"X-Call-Info": "slots"}),
            (400, {"X-Call-Cost": "much"}), (404, {"path": "/apis"}), (404, {"path": "/"}),
            (405, {"path": "/ready"}),
        ):  # fmt: skip
            with self.subTest(changes=changes):
                self.assertEqual(self.client().ask(**changes).answer()[0], wanted)
        for status, text in (
            (405, b"GET /api HTTP/1.1\r\n\r\n"), (400, b"no HTTP at all\r\n\r\n"),
            (400, b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n"),
            (413, b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
            (413, b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537),
            (431, b"GET /ready HTTP/1.1\r\nX: " + b"x" * 20000),
        ):  # fmt: skip
            with self.subTest(text=text[:40]):
                self.assertEqual(self.raw(text).split()[1], str(status).encode())
        self.assertEqual(self.raw(b"GET /ready HTTP/1.1\r\n\r\n").split()[1], b"200")

    def test_an_offer_to_upgrade_is_passed_over(self):
        """A client may offer HTTP/2; the parser stops there, and a second answer would answer nothing."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
            answers = sock.makefile("rb").read()
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answers), [b"200"])

    def test_requests_sent_at_once_are_answered_in_order(self):
        """A client may send before it has read; the answers must not change places."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\nrubbish\r\n\r\n")
            answers = sock.makefile("rb").read()
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answers), [b"200", b"404", b"400"])

    def test_more_sessions_than_descriptors_are_served_in_turn(self):
        """Without descriptors an accept fails: sessions are bounded, and idle ones make room for new ones."""
        held = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(100)]
        for sock in held:
            self.addCleanup(sock.close)
        self.assertEqual(self.raw(b"GET /ready HTTP/1.1\r\n\r\n").split()[1], b"200")
        self.assertLessEqual(len(os.listdir(f"/proc/{self.process.pid}/fd")), self.sockets)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class Watching(NodeCase):
    executor_count = 2

    def watch(self, index: int):
        asked = self.discovery.next_request()
        self.assertEqual(asked.path, f"/v1/endpoints?watch=1&from={index}")
        asked.send_head()
        return asked

    def test_a_drained_executor_sees_nothing_new(self):
        """Rule 3; the next call asks from the version that the last line held."""
        watch = self.watch(7)
        change = self.entry(0, status="DRAINING", address="")  # without an address it must count all the same
        watch.send_line({"index": 9, "snapshot": False, "endpoints": [change]})
        self.wait_log("watching from index 9")
        self.assertEqual({self.served_by() for _ in range(12)}, {1})
        watch.connection.close()
        watch = self.watch(9)
        strange = self.entry(1, status="RESTING")  # a status of its own: nothing new goes there
        watch.send_line({"index": 12, "snapshot": True, "endpoints": [self.entry(0), strange]})
        self.wait_log("watching from index 12")
        self.assertEqual({self.served_by() for _ in range(12)}, {0})

    def test_a_silent_watch_is_given_up_and_asked_anew(self):
        """A cut connection stays open without a word: an empty line is missing, so the watch is dead."""
        watch = self.watch(7)
        watch.send_line({"index": 8, "snapshot": False, "endpoints": []})
        watch.send_line(None)
        self.wait_log("watch lost (silence)")
        self.assertTrue(watch.connection.ended.wait(WAIT))
        self.watch(8)

    def test_a_failed_call_is_asked_anew(self):
        """Discovery that is overloaded answers 503, and may send rubbish: the last list holds."""
        self.discovery.next_request().send_head("503 Service Unavailable")
        self.wait_log("watch lost (status 503)")
        self.watch(7).send_line({"index": "x"})
        self.watch(7).send_line({"index": 8, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 8")
        self.assertIn(self.served_by(), (0, 1))

    def test_truncated_and_over_long_lists_change_nothing_and_are_told_once(self):
        """The last good list serves on, the node asks again by itself, and its log is not filled."""
        for text in ('7\r\n{"index\r\n0\r\n\r\n', f"{5 << 20:x}\r\n" + "x" * (5 << 20)):
            call = self.discovery.next_request()
            call.send_head()
            with contextlib.suppress(OSError):  # it hangs up before it has read them all
                call.connection.send(text)
            self.assertTrue(call.connection.ended.wait(WAIT))
            self.assertIn(self.served_by(), (0, 1))
        self.watch(7).send_line({"index": 8, "snapshot": False, "endpoints": []})
        self.wait_log("watching from index 8")
        self.assertEqual("".join(self.log).count("watch lost"), 1)


class Reloading(NodeCase):
    executor_count = 2

    def test_the_discovery_moves_and_nothing_is_lost(self):
        """SIGHUP once ended the process with all it held; the new address has to bring the whole list."""
        old = self.discovery.next_request()
        held = self.client().ask("issue")
        while self.executors[
            0
        ].received.empty():  # at the executor that will be gone: elsewhere others may cut it
            if not self.executors[1].received.empty():
                self.executors[1].next_request().done()
                held.answer()
                held = self.client().ask("issue")
            self.assertFalse(held.answered(0.01))
        asked = self.executors[0].next_request()
        discovery = StandInServer()
        self.addCleanup(discovery.close)
        self.reload(json.dumps({**self.config(), "discovery": discovery.address}))
        self.wait_log("reloaded: discovery is at 127.0.0.1")
        self.assertTrue(old.connection.ended.wait(WAIT))
        discovery.next_request().send_head("503 Service Unavailable")  # asked again soon
        began, call = time.monotonic(), discovery.next_request()
        self.assertLess(time.monotonic() - began, 1.5)
        self.assertEqual(call.path, "/v1/endpoints?watch=1&from=0")  # its versions may be others
        call.send_head()
        call.send_line({"index": 3, "snapshot": True, "endpoints": [self.entry(1)]})
        self.wait_log("watching from index 3")
        for _ in range(8):
            client = self.client().ask()
            self.executors[1].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertTrue(self.executors[0].received.empty())
        asked.done("kept")
        self.assertEqual(held.answer(), (200, b"kept"))

    def test_a_bad_file_keeps_the_old_configuration(self):
        """Staff may err: the node must serve on, say so in one line, and take the next good file."""
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

    def test_a_drain_goes_on_under_a_reload(self):
        """Both signals may come on one day: what is held is answered, and the program ends with 0."""
        client = self.client().ask("issue")
        asked = None
        while asked is None:
            asked = next(
                (server.next_request() for server in self.executors if not server.received.empty()), None
            )
        self.terminate()
        self.wait_log("draining")
        self.reload("{")
        asked.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertNotIn("reload", self.process.stderr.read())


class Ending(NodeCase):
    def test_a_drain_answers_what_is_held_and_what_still_comes(self):
        """After SIGTERM requests come for 0.4 s more; each gets its answer before the program ends with 0."""
        kept, idle, early, late = (self.client() for _ in range(4))
        for client in (kept, idle):
            client.request("GET", "/ready")
            self.assertEqual(client.answer()[0], 200)
        early.ask()
        held = self.executors[0].next_request()
        self.terminate()
        self.wait_log("draining: 1 requests held")
        late.ask()
        self.executors[0].next_request().done("late")
        self.assertEqual(late.answer(), (200, b"late"))
        self.assertNotIn("Connection", late.headers)  # sent away this early, it might find no other node
        kept.request("GET", "/ready")  # clients still use the sessions that they have
        self.assertEqual(kept.answer()[0], 503)
        self.assertEqual(idle.sock.recv(1), b"")  # closed before the node may be killed
        self.assertIsNone(self.process.poll())  # it must not end while a request is held
        held.done("early")
        self.assertEqual(early.answer(), (200, b"early"))
        self.assertEqual(early.headers["Connection"], "close")
        self.assertEqual(self.process.wait(WAIT), 0)


class Killing(NodeCase):
    def test_what_comes_late_in_a_drain_is_answered_before_the_kill(self):
        """SIGKILL may come 3.7 s after SIGTERM; one taken after 0.7 s and unanswered by then is lost."""
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
    def test_a_bad_configuration_ends_the_start_with_one_line(self):
        """Staff must see at once what is wrong, and the platform that the start has failed."""
        good = self.config()
        for changes, words in (
            ({"settings": {}}, "caps is missing"), ({"listen": "nowhere"}, "HOST:PORT"),
            ({"seed": "?"}, "base 16"), ({"known": None}, "known"),
            ({"listen": f"127.0.0.1:{self.port}"}, "in use"),
            ({"limits": {"sockets": 0}}, "limits.sockets"),
            ({"settings": {**good["settings"], "instances": "three"}}, "instances"),
        ):  # fmt: skip
            with self.subTest(words=words):
                process = self.start({**good, **changes})
                text = process.communicate(timeout=WAIT)[1]
                self.assertNotEqual(process.returncode, 0)
                self.assertEqual(text.count("\n"), 1, text)
                self.assertIn(words, text)
        env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
        command = [sys.executable, "-m", "cedarmill"]
        run = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True)
        self.assertEqual((run.returncode, run.stderr), (2, "cedarmill: LB_CONFIG is not set\n"))

    def test_without_a_executor_it_is_not_ready(self):
        """The front adds a node once it is ready: before the first list it could only refuse."""
        config = self.config()
        config["known"]["endpoints"] = []
        self.end()
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
