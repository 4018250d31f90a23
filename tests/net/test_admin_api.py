"""The operators' admin API on the real program: calls, slow callers, executors out by hand, evacuation."""

import contextlib
import errno
import fcntl
import os
import queue
import resource
import socket
import tempfile
import threading
import time
import unittest
from unittest import mock

from cedarmill.admin import routes, sealed_document
from cedarmill.admin.errors import RequestRejectedError
from cedarmill.admin.exclusions import Exclusions
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.timers import Timers
from cedarmill.net.admin.handlers import LOCK_RETRY_US, LOCK_TIMEOUT_US, STATE_FILE_POLL_US, AdminHandlers
from cedarmill.net.admin.server import MAX_SESSIONS
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.clients.session import ClientSession
from cedarmill.net.upgrade.state_file import StateFile
from cedarmill.values import DeadlineOptions
from tests.net.test_client_cancellation import raw
from tests.support.builders import settings
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT, NodeCase, call_admin_api, read_answer
from tests.support.system_call_faults import Fault


def at(us: int) -> ClockReading:
    """A moment at which the wall clock and the machine's clock say the same."""
    return ClockReading(us, us, "boot-1")


class Told:
    """Takes the answer to a call."""

    status = 0

    def __call__(self, response: routes.AdminResponse) -> None:
        self.status = response.status


class Calls(unittest.TestCase):
    """The table of calls, without a node."""

    def test_each_call_of_the_page_is_understood(self):
        self.assertEqual(
            routes.parse_request(b"GET", b"/api/ready"), routes.AdminRequest(routes.AdminAction.READY)
        )
        self.assertEqual(
            routes.parse_request(b"PUT", b"/api/exclude/s-1"),
            routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"),
        )
        self.assertEqual(
            routes.parse_request(b"PUT", b"/api/include/s-1?x"),
            routes.AdminRequest(routes.AdminAction.INCLUDE, "s-1"),
        )
        self.assertEqual(
            routes.parse_request(b"PUT", b"/api/evacuate").action, routes.AdminAction.DRAIN_CLIENTS
        )
        self.assertEqual(routes.parse_request(b"PUT", b"/api/rejoin").action, routes.AdminAction.REJOIN)

    def test_wrong_paths_methods_and_ids_are_refused(self):
        for method, target, status in (
            (b"GET", b"/api/evacuate", 405),
            (b"PUT", b"/api/ready", 405),
            (b"POST", b"/api/exclude/s-1", 405),
            (b"GET", b"/api", 404),
            (b"PUT", b"/api/exclude/", 404),
            (b"PUT", b"/api/exclude/a/b", 404),
        ):
            with self.subTest(target=target), self.assertRaises(RequestRejectedError) as raised:
                routes.parse_request(method, target)
            self.assertEqual(raised.exception.status, status)

    def test_two_outs_take_one_in_and_the_newer_document_wins(self):
        marks = Exclusions("n0")
        self.assertTrue(marks.exclude("s-1", at(5)))
        self.assertFalse(marks.exclude("s-1", at(9)))
        kept = marks.encode(at(10))
        self.assertTrue(marks.include("s-1"))
        self.assertEqual(marks.since, {})
        other = Exclusions("n0")
        self.assertEqual(other.adopt(kept, at(11)), {"s-1"})
        self.assertEqual(other.since, {"s-1": 5})
        self.assertEqual(other.adopt(marks.encode(at(12)), at(12)), {"s-1"})  # version 3 after version 2
        self.assertEqual(other.adopt(kept, at(13)), set())  # older: changes nothing

    def test_marks_that_are_torn_of_a_newer_program_or_of_another_node_change_nothing(self):
        other = Exclusions("n1")
        other.exclude("s-2", at(1))
        kept = other.encode(at(1))
        marks = Exclusions("n0")
        for text in (kept, kept[:-1], b'{"version": 9', b"", kept.replace(b'"format":1', b'"format":2')):
            with self.subTest(text=text), self.assertRaises(ValueError):
                marks.adopt(text, at(2))
        self.assertEqual((marks.since, marks.version), ({}, 0))

    def test_marks_an_hour_old_and_those_of_the_program_before_hold(self):
        """They are the operators' word till it is taken back; the form before had no times."""
        marks, hour = Exclusions("n0"), 3_600_000_000
        self.assertEqual(marks.adopt(b'{"version":1,"excluded":["s-1"]}', at(hour)), {"s-1"})
        self.assertEqual(marks.since, {"s-1": hour})
        later = Exclusions("n0")
        self.assertEqual(later.adopt(marks.encode(at(hour)), at(2 * hour)), {"s-1"})

    def test_a_step_of_the_wall_clock_moves_no_mark(self):
        """What decides is the time on the machine's clock; unknown, it is the latest that it can be."""
        marks = Exclusions("n0")
        marks.exclude("s-1", ClockReading(5, 100, "boot-1"))
        kept = marks.encode(ClockReading(5, 100, "boot-1"))
        for now, known in (
            (ClockReading(5 - 3_600_000_000, 900, "boot-1"), 100),
            (ClockReading(9, 70, "boot-2"), 70),
        ):
            other = Exclusions("n0")
            self.assertEqual(other.adopt(kept, now), {"s-1"})
            self.assertEqual((other.since, other.marked_us), ({"s-1": 5}, {"s-1": known}))

    def test_the_program_before_drops_the_times_of_marks_and_they_are_known_still(self):
        marks = Exclusions("n0")
        marks.exclude("s-1", ClockReading(5, 100, "boot-1"))
        body = b'{"version":2,"excluded":{"s-1":5,"s-2":9}}'
        marks.adopt(
            sealed_document.seal("exclusions", "n0", ClockReading(9), body), ClockReading(9, 400, "boot-1")
        )
        self.assertEqual(marks.marked_us, {"s-1": 100, "s-2": 400})


class CountedFile(StateFile):
    """A kept file that counts how often it is looked at."""

    looks = 0

    def read(self) -> bytes | None:
        self.looks += 1
        return super().read()


class Listed:
    """The discovery's side that the handlers use: it knows every name, and hears the marks."""

    def has_executor(self, name: str) -> bool:
        return True

    def set_exclusions(self, marks: dict) -> None:
        self.marks = marks


class Ticking:
    """A turn on a clock that the test moves."""

    def __init__(self) -> None:
        self.timers, self.at = Timers(), 0

    def now(self) -> int:
        return self.at

    def run_till(self, until: int) -> None:
        while self.timers.next_due is not None and self.timers.next_due <= until:
            self.at = self.timers.next_due
            for due in self.timers.sweep(self.at):
                due(self.at)
        self.at = until


class Running(Ticking):
    """A turn on the real clock, run by a test till its condition holds."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def run_until(self, condition) -> None:
        while not condition():
            for due in self.timers.sweep(now := self.now()):
                due(now)


class Looks(unittest.TestCase):
    def test_calls_add_no_chains_of_looks_at_the_kept_file(self):
        """Each mark reads the file once; the looks every 0.5 s stay one chain however many calls came."""
        with tempfile.TemporaryDirectory() as folder:
            driver, kept = Ticking(), CountedFile(f"{folder}/kept.json")
            handlers = AdminHandlers(driver, object(), Listed(), "n0", lambda: False)
            handlers.state_file = kept
            handlers.start()
            for number in range(10):
                handlers.handle(
                    routes.AdminRequest(
                        routes.AdminAction.EXCLUDE if number % 2 else routes.AdminAction.INCLUDE, "s-1"
                    ),
                    Told(),
                )
            before = kept.looks
            driver.run_till(20 * STATE_FILE_POLL_US)
            self.assertEqual(kept.looks - before, 20)


class BothMark(unittest.TestCase):
    """Two processes of one node, each with handlers of its own on one kept file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/kept.json"
        self.old, self.new = self.handlers(), self.handlers()

    def handlers(self) -> AdminHandlers:
        handlers = AdminHandlers(Running(), object(), Listed(), "n0", lambda: False)
        handlers.state_file = StateFile(self.path)
        return handlers

    def test_marks_made_at_the_same_time_are_both_kept(self):
        """Read and written without a lock, the later rename took the earlier mark away, after its yes."""
        names = {handlers: [f"s-{n}-{which}" for n in range(25)]
                 for which, handlers in (("old", self.old), ("new", self.new))}  # fmt: skip
        threads = [threading.Thread(target=self.mark, args=pair) for pair in names.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        last = self.handlers()
        last.start()
        self.assertEqual(set(last.exclusions.since), {name for of in names.values() for name in of})

    @staticmethod
    def mark(handlers: AdminHandlers, names: list[str]) -> None:
        for name in names:
            told = Told()
            handlers.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, name), told)
            handlers.driver.run_until(lambda told=told: told.status)
            assert told.status == 200, told.status

    def test_a_process_that_stands_still_with_the_lock_holds_up_nothing_but_the_call(self):
        """Waited for on the loop's thread, a stopped process took this one with it, requests and all."""
        told, marked = Told(), Told()
        with StateFile(self.path).exclusive_lock():
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), told)
            self.assertEqual(told.status, 0)  # and the call has returned
            began = self.old.driver.now()
            self.old.driver.run_until(lambda: told.status)
            self.assertLessEqual(LOCK_TIMEOUT_US, self.old.driver.now() - began + LOCK_RETRY_US)
            self.assertEqual((told.status, self.old.exclusions.since), (503, {}))
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), marked)
        self.old.driver.run_until(lambda: marked.status)
        self.assertEqual((marked.status, set(self.old.exclusions.since)), (200, {"s-1"}))

    def test_a_write_that_fails_takes_back_its_own_mark_only(self):
        """The other process's mark was read just before, and would not have been read again."""
        self.new.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-2"), Told())
        told = Told()
        with mock.patch.object(self.old.state_file, "write", side_effect=OSError(errno.ENOSPC, "full")):
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), told)
        self.assertEqual((told.status, set(self.old.exclusions.since)), (503, {"s-2"}))

    def test_a_mark_that_cannot_be_kept_is_not_made(self):
        self.old.state_file = StateFile("/proc/none/kept.json")
        told = Told()
        self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), told)
        self.assertEqual(told.status, 503)
        self.assertEqual(self.old.exclusions.since, {})


class AdminApiCase(NodeCase):
    executor_count = 2

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def setUp(self) -> None:
        super().setUp()
        self.admin_api_port = self.admin_port()


class AdminApi(AdminApiCase):
    def test_the_calls_answer_and_bad_ones_get_a_no(self):
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/nobody")[0], 404)
        self.assertEqual(call_admin_api(self.admin_api_port, "DELETE", "/api/rejoin")[0], 405)
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/metrics")[0], 404)
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/evacuate HTTP/1.1\r\nContent-Length: zz\r\n\r\n")
            self.assertEqual(read_answer(sock)[0], 400)

    def test_a_call_cut_at_every_byte_is_answered(self):
        text = b"PUT /api/exclude/s-0 HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in text:
                sock.send(bytes([byte]))
            self.assertEqual(read_answer(sock), (200, b"excluded\n"))

    def test_slow_callers_do_not_keep_the_admin_api_shut(self):
        """A caller that holds a connection without a whole call gives its place to a new one."""
        slow = [
            socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT)
            for _ in range(3 * MAX_SESSIONS)
        ]
        for sock in slow:
            self.addCleanup(sock.close)
            sock.sendall(b"PUT /api/evac")
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))

    def test_a_call_while_the_data_path_is_full(self):
        """Reqs held at a executor that does not answer leave the admin API's answers as they are."""
        for _ in range(20):
            self.client().ask()
        self.wait_for(lambda: sum(server.received.qsize() for server in self.executors) == 20)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))


class FailingCalls(FaultyNodeCase):
    """System calls on callers' sockets that fail: the answer leaves where it can, and no place is kept."""

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def late(self) -> tuple[bytes, float]:
        """What a caller gets that never sends its request whole, and after how long the end comes."""
        began = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.admin_port()), timeout=WAIT) as sock:
            sock.sendall(b"GET /api/rea")
            text = b""
            with contextlib.suppress(ConnectionResetError):
                while chunk := sock.recv(4096):
                    text += chunk
        return text, time.monotonic() - began

    def test_a_late_caller_is_ended_whatever_fails_at_its_end(self):
        """What raised in the session's timer left it without one: it was held till its caller left."""
        for call_name, answered in (("write", False), ("write_eof", True)):
            with self.subTest(call=call_name):
                self.plan.arm(Fault(f"accepted.{call_name}", "EPIPE"))
                text, took = self.late()
                self.assertEqual(b" 408 " in text, answered)
                self.assertLess(took, 3.5)  # 2 s for the request, 1 s for the answer

    def test_an_abort_that_fails_is_made_again(self):
        self.plan.arm(Fault("accepted.write", "EPIPE"), Fault("accepted.abort", "EIO", times=3))
        self.assertLess(self.late()[1], 3.5)
        self.assertEqual(call_admin_api(self.admin_port(), "GET", "/api/ready")[0], 200)


class Locked(AdminApiCase):
    """Another process stands still with the lock of the kept file."""

    def test_requests_are_served_and_the_call_gets_its_no_in_time(self):
        lock = os.open(f"{self.tmpdir.name}/cedarmill-n0-exclusions.json.lock", os.O_RDWR | os.O_CREAT)
        self.addCleanup(os.close, lock)
        fcntl.flock(lock, fcntl.LOCK_EX)
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/exclude/s-1 HTTP/1.1\r\nHost: door\r\n\r\n")
            began, client = time.monotonic(), self.client().ask()
            self.wait_for(lambda: any(server.received.qsize() for server in self.executors))
            next(server for server in self.executors if server.received.qsize()).next_request().done()
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(read_answer(sock)[0], 503)
        self.assertLess(time.monotonic() - began, 1.0)  # what the operators' page gives a call
        fcntl.flock(lock, fcntl.LOCK_UN)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))


class OutByHand(AdminApiCase):
    def watch(self):
        asked = self.discovery.next_request()
        asked.send_head()
        return asked

    def test_out_holds_against_the_list_and_two_outs_take_one_in(self):
        watch = self.watch()
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.assertEqual({self.served_by() for _ in range(6)}, {1})
        watch.send_line({"index": 9, "snapshot": True, "endpoints": [self.entry(0), self.entry(1)]})
        self.wait_log("watching from index 9")
        self.assertEqual({self.served_by() for _ in range(6)}, {1})
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/include/s-0")[0], 200)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1")[0], 200)
        self.assertEqual(self.served_by(), 0)

    def test_one_that_discovery_no_longer_lists_can_be_put_back(self):
        watch = self.watch()
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-0")[0], 200)
        watch.send_line({"index": 9, "snapshot": True, "endpoints": [self.entry(1)]})
        self.wait_log("watching from index 9")
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/include/s-0"), (200, b"included\n"))
        watch.send_line({"index": 10, "snapshot": True, "endpoints": [self.entry(0)]})
        watch.send_line({"index": 11, "snapshot": False, "endpoints": [self.entry(1, status="DELETED")]})
        self.wait_for(lambda: self.served_by() == 0)

    def test_the_marks_hold_for_the_next_process_of_the_node(self):
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.process.kill()
        self.process.wait(WAIT)
        self.log.clear()
        self.process = self.start(self.config())
        self.wait_log("serves on")
        self.port = self.logged_port()
        taken = "exclusions of executors taken from the state file: s-0"
        self.assertTrue(any(taken in line for line in self.log), self.log)
        self.assertEqual({self.served_by() for _ in range(6)}, {1})


class Evacuation(AdminApiCase):
    def ready(self) -> int:
        client = self.client()
        client.request("GET", "/ready")
        return client.answer()[0]

    def test_sent_away_and_back_with_a_job_held_on_a_kept_connection(self):
        idle, busy = self.client(), self.client().ask()
        idle.request("GET", "/ready")
        self.assertEqual(idle.answer()[0], 200)
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        asked = next(server for server in self.executors if not server.received.empty()).next_request()
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/evacuate"), (200, b"evacuating\n"))
        self.assertEqual(self.ready(), 503)
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready")[0], 503)
        self.assertEqual(idle.sock.recv(1), b"")  # the idle kept connection is closed
        asked.done()
        self.assertEqual(busy.answer()[0], 200)  # the job held is answered, and its connection then ends
        self.assertEqual(busy.headers["Connection"], "close")
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/rejoin")[0], 200)
        self.assertEqual(self.ready(), 200)

    def test_a_request_behind_one_in_flight_and_half_a_one_are_answered_before_the_end(self):
        """What was read has its answer, and half a request may become whole, as at the end of the process."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(raw(1) + raw(2) + raw(3)[:60])
            self.wait_for(lambda: any(server.received.qsize() for server in self.executors))
            self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")[0], 200)
            for number in (1, 2, 3):
                self.wait_for(lambda: any(server.received.qsize() for server in self.executors))
                if number == 2:
                    sock.sendall(raw(3)[60:])
                server = next(server for server in self.executors if server.received.qsize())
                server.next_request().done(f"answer {number}")
            text = b""
            while chunk := sock.recv(4096):
                text += chunk
        self.assertEqual(text.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(text.count(b"Connection: close"), 1)
        self.assertIn(b"answer 3", text.rpartition(b"Connection: close")[2])

    def test_rejoined_while_idle_connections_are_being_closed(self):
        """What is open then stays, and the closing does not come back."""
        gone = self.client()
        gone.request("GET", "/ready")
        self.assertEqual(gone.answer()[0], 200)
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.assertEqual(gone.sock.recv(1), b"")  # the closing has begun
        call_admin_api(self.admin_api_port, "PUT", "/api/rejoin")
        kept = self.client()
        for _ in range(3):
            kept.request("GET", "/ready")
            self.assertEqual(kept.answer()[0], 200)
            self.assertFalse(kept.answered(0.15))  # one round of the closing: nothing comes, nor the end

    def test_evacuated_and_then_terminated_it_answers_what_it_holds(self):
        busy = self.client().ask()
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.terminate()
        self.wait_log("no new sessions")
        next(server for server in self.executors if not server.received.empty()).next_request().done()
        self.assertEqual(busy.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_client_that_reads_nothing_is_ended_all_the_same(self):
        """Its answer does not fit into the sockets' buffers: without an end it would be held for ever."""
        deaf = socket.socket()
        self.addCleanup(deaf.close)
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        deaf.connect(("127.0.0.1", self.port))
        head = b"X-Call-Class: pin\r\nX-Caller: acme\r\nX-Budget-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
        for number in range(8):
            deaf.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: deaf-%d\r\n" % number + head)
        deaf.setblocking(False)
        answered = threading.Thread(target=self.answer_all, args=("x" * 200_000,), daemon=True)
        answered.start()
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.wait_for(lambda: self.was_reset(deaf))
        self.assertEqual(self.ready(), 503)

    @staticmethod
    def was_reset(sock: socket.socket) -> bool:
        try:
            sock.send(b"x")
        except BlockingIOError:
            return False
        except OSError:
            return True
        return False

    def answer_all(self, result: str) -> None:
        while self.process.poll() is None:
            for server in self.executors:
                with contextlib.suppress(queue.Empty, OSError):
                    server.received.get(timeout=0.01).done(result)


class ServerConnection:
    """A transport over a real socket, which the test does not read."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.closed = sock, False

    def get_extra_info(self, name: str) -> socket.socket:
        return self.sock

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def write_eof(self) -> None:
        if self.closed:
            raise RuntimeError("the handler is closed")  # as the loop's transports do
        self.closed = True  # a session ends its sending side first


class Unread(unittest.TestCase):
    def test_a_request_that_has_come_and_is_not_read_yet_is_not_closed_on(self):
        """A loop that was held up within a turn runs its timers before it reads: the closing came first."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        clients = ClientServer(Ticking(), settings(), 8, DeadlineOptions())
        session = ClientSession(clients)
        session.transport, session.connected = ServerConnection(ours), True
        clients.sessions.add(session)
        theirs.send(b"POST /api HTTP/1.1\r\n")
        clients.close_idle()
        self.assertFalse(session.transport.closed)
        ours.recv(100)
        clients.close_idle()
        self.assertTrue(session.transport.closed)

    def test_a_session_whose_client_has_just_closed_makes_room_without_a_defect(self):
        """The loop closes it at the end of this turn; ending its sending side then raised."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        clients = ClientServer(Ticking(), settings(), 1, DeadlineOptions())
        session = ClientSession(clients)
        session.transport, session.connected = ServerConnection(ours), True
        clients.sessions.add(session)
        clients.list_idle(session)
        session.transport.closed = True
        session.end_if_idle(for_room=True)
        self.assertFalse(session.lifecycle.is_open)


class NoRoom(AdminApiCase):
    """Descriptors at the node's least: the clients' sessions full of half-written requests."""

    sockets = 64  # the least that the configuration takes
    descriptor_limit = 64  # and the process may hold no more

    def test_a_admin_api_call_is_answered_while_client_sessions_are_at_their_bound(self):
        crowd = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(120)]
        for sock in crowd:
            self.addCleanup(sock.close)
            sock.sendall(b"POST /api HTTP/1.1\r\nX-Call-")
        self.wait_log("client sessions at their bound")
        self.assertLessEqual(self.descriptors(), self.descriptor_limit)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))

    def test_a_call_waits_while_no_descriptor_is_left_and_is_then_answered(self):
        """An accept that fails leaves the call in the backlog; closing it there would lose it."""
        taken = sorted(map(int, os.listdir(f"/proc/{self.process.pid}/fd")))[-1] + 1
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (taken, self.descriptor_limit))
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/exclude/s-1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            self.wait_log("accept failed")
            resource.prlimit(
                self.process.pid, resource.RLIMIT_NOFILE, (self.descriptor_limit, self.descriptor_limit)
            )
            self.assertEqual(read_answer(sock), (200, b"excluded\n"))
