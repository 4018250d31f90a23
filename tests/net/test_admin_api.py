"""Tests of the admin API: routes, exclusions, slow callers, faults, and draining of clients."""

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


def clock_reading(us: int) -> ClockReading:
    """Return a reading with the same wall clock time and monotonic time."""
    return ClockReading(us, us, "boot-1")


class ResponseRecorder:
    """Records the status of a response."""

    status = 0

    def __call__(self, response: routes.AdminResponse) -> None:
        self.status = response.status


class RouteTest(unittest.TestCase):
    """Routes and stored exclusions, without a node."""

    def test_each_documented_request_is_parsed(self):
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

    def test_unknown_paths_methods_and_ids_are_rejected(self):
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

    def test_one_include_undoes_two_excludes_and_the_newer_document_wins(self):
        exclusions = Exclusions("n0")
        self.assertTrue(exclusions.exclude("s-1", clock_reading(5)))
        self.assertFalse(exclusions.exclude("s-1", clock_reading(9)))
        document = exclusions.encode(clock_reading(10))
        self.assertTrue(exclusions.include("s-1"))
        self.assertEqual(exclusions.since, {})
        other = Exclusions("n0")
        self.assertEqual(other.adopt(document, clock_reading(11)), {"s-1"})
        self.assertEqual(other.since, {"s-1": 5})
        self.assertEqual(
            other.adopt(exclusions.encode(clock_reading(12)), clock_reading(12)), {"s-1"}
        )  # Version 3 replaces version 2.
        self.assertEqual(
            other.adopt(document, clock_reading(13)), set()
        )  # An older document changes nothing.

    def test_torn_newer_and_foreign_documents_change_nothing(self):
        other = Exclusions("n1")
        other.exclude("s-2", clock_reading(1))
        document = other.encode(clock_reading(1))
        exclusions = Exclusions("n0")
        for text in (
            document,
            document[:-1],
            b'{"version": 9',
            b"",
            document.replace(b'"format":1', b'"format":2'),
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                exclusions.adopt(text, clock_reading(2))
        self.assertEqual((exclusions.since, exclusions.version), ({}, 0))

    def test_exclusions_an_hour_old_and_in_the_old_format_are_adopted(self):
        """Exclusions do not expire, and the old format has no times."""
        exclusions, hour = Exclusions("n0"), 3_600_000_000
        self.assertEqual(exclusions.adopt(b'{"version":1,"excluded":["s-1"]}', clock_reading(hour)), {"s-1"})
        self.assertEqual(exclusions.since, {"s-1": hour})
        later = Exclusions("n0")
        self.assertEqual(
            later.adopt(exclusions.encode(clock_reading(hour)), clock_reading(2 * hour)), {"s-1"}
        )

    def test_step_of_the_wall_clock_does_not_change_exclusion_times(self):
        """The monotonic time is kept within a boot; after a reboot it is the time of adoption."""
        exclusions = Exclusions("n0")
        exclusions.exclude("s-1", ClockReading(5, 100, "boot-1"))
        document = exclusions.encode(ClockReading(5, 100, "boot-1"))
        for now, known in (
            (ClockReading(5 - 3_600_000_000, 900, "boot-1"), 100),
            (ClockReading(9, 70, "boot-2"), 70),
        ):
            other = Exclusions("n0")
            self.assertEqual(other.adopt(document, now), {"s-1"})
            self.assertEqual((other.since, other.marked_us), ({"s-1": 5}, {"s-1": known}))

    def test_known_exclusion_times_are_kept_if_an_older_program_drops_them(self):
        exclusions = Exclusions("n0")
        exclusions.exclude("s-1", ClockReading(5, 100, "boot-1"))
        body = b'{"version":2,"excluded":{"s-1":5,"s-2":9}}'
        exclusions.adopt(
            sealed_document.seal("exclusions", "n0", ClockReading(9), body), ClockReading(9, 400, "boot-1")
        )
        self.assertEqual(exclusions.marked_us, {"s-1": 100, "s-2": 400})


class CountingStateFile(StateFile):
    """State file that counts its reads."""

    read_count = 0

    def read(self) -> bytes | None:
        self.read_count += 1
        return super().read()


class FakeDiscovery:
    """Discovery client that lists every executor and records the exclusions."""

    def has_executor(self, name: str) -> bool:
        return True

    def set_exclusions(self, exclusions: dict) -> None:
        self.recorded_exclusions = exclusions


class ManualClockDriver:
    """Event loop driver whose clock is set by the test."""

    def __init__(self) -> None:
        self.timers, self.time_us = Timers(), 0

    def now(self) -> int:
        return self.time_us

    def run_until_time(self, until: int) -> None:
        while self.timers.next_due is not None and self.timers.next_due <= until:
            self.time_us = self.timers.next_due
            for due in self.timers.sweep(self.time_us):
                due(self.time_us)
        self.time_us = until


class RealClockDriver(ManualClockDriver):
    """Event loop driver on the real clock, run until a condition is met."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def run_until(self, condition) -> None:
        while not condition():
            for due in self.timers.sweep(now := self.now()):
                due(now)


class StateFilePollTest(unittest.TestCase):
    def test_requests_do_not_add_timers_that_poll_the_state_file(self):
        """Each request reads the file once; a single timer polls it every 0.5 s."""
        with tempfile.TemporaryDirectory() as folder:
            driver, state_file = ManualClockDriver(), CountingStateFile(f"{folder}/state.json")
            handlers = AdminHandlers(driver, object(), FakeDiscovery(), "n0", lambda: False)
            handlers.state_file = state_file
            handlers.start()
            for number in range(10):
                handlers.handle(
                    routes.AdminRequest(
                        routes.AdminAction.EXCLUDE if number % 2 else routes.AdminAction.INCLUDE, "s-1"
                    ),
                    ResponseRecorder(),
                )
            before = state_file.read_count
            driver.run_until_time(20 * STATE_FILE_POLL_US)
            self.assertEqual(state_file.read_count - before, 20)


class ConcurrentExclusionTest(unittest.TestCase):
    """Two processes of one node, each with its own handlers on a shared state file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/state.json"
        self.old, self.new = self.handlers(), self.handlers()

    def handlers(self) -> AdminHandlers:
        handlers = AdminHandlers(RealClockDriver(), object(), FakeDiscovery(), "n0", lambda: False)
        handlers.state_file = StateFile(self.path)
        return handlers

    def test_concurrent_exclusions_are_all_stored(self):
        """Without a lock the later write would discard an exclusion that has been confirmed."""
        names = {handlers: [f"s-{n}-{process}" for n in range(25)]
                 for process, handlers in (("old", self.old), ("new", self.new))}  # fmt: skip
        threads = [threading.Thread(target=self.exclude_all, args=pair) for pair in names.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        successor = self.handlers()
        successor.start()
        self.assertEqual(
            set(successor.exclusions.since),
            {name for process_names in names.values() for name in process_names},
        )

    def test_concurrent_exclusions_are_all_stored_where_each_write_takes_long(self):
        """Guards against a process that takes the lock again at once, each time before the other tries."""
        write = StateFile.write

        def write_slowly(state_file: StateFile, data: bytes) -> None:
            time.sleep(2 * LOCK_RETRY_US / 1e6)
            write(state_file, data)

        with mock.patch.object(StateFile, "write", write_slowly):
            self.test_concurrent_exclusions_are_all_stored()

    @staticmethod
    def exclude_all(handlers: AdminHandlers, names: list[str]) -> None:
        for name in names:
            recorder = ResponseRecorder()
            handlers.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, name), recorder)
            handlers.driver.run_until(lambda recorder=recorder: recorder.status)
            assert recorder.status == 200, recorder.status

    def test_stopped_process_that_holds_the_lock_delays_only_the_request(self):
        """Waiting for the lock on the loop's thread would stop this process too."""
        recorder, later_recorder = ResponseRecorder(), ResponseRecorder()
        with StateFile(self.path).exclusive_lock():
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), recorder)
            self.assertEqual(recorder.status, 0)  # The call has returned without a response.
            began = self.old.driver.now()
            self.old.driver.run_until(lambda: recorder.status)
            self.assertLessEqual(LOCK_TIMEOUT_US, self.old.driver.now() - began + LOCK_RETRY_US)
            self.assertEqual((recorder.status, self.old.exclusions.since), (503, {}))
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), later_recorder)
        self.old.driver.run_until(lambda: later_recorder.status)
        self.assertEqual((later_recorder.status, set(self.old.exclusions.since)), (200, {"s-1"}))

    def test_failed_write_undoes_only_its_own_exclusion(self):
        """The other process's exclusion, read just before, must not be lost."""
        self.new.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-2"), ResponseRecorder())
        recorder = ResponseRecorder()
        with mock.patch.object(self.old.state_file, "write", side_effect=OSError(errno.ENOSPC, "full")):
            self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), recorder)
        self.assertEqual((recorder.status, set(self.old.exclusions.since)), (503, {"s-2"}))

    def test_exclusion_that_cannot_be_stored_is_undone(self):
        self.old.state_file = StateFile("/proc/none/state.json")
        recorder = ResponseRecorder()
        self.old.handle(routes.AdminRequest(routes.AdminAction.EXCLUDE, "s-1"), recorder)
        self.assertEqual(recorder.status, 503)
        self.assertEqual(self.old.exclusions.since, {})


class AdminApiCase(NodeCase):
    executor_count = 2

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def setUp(self) -> None:
        super().setUp()
        self.admin_api_port = self.admin_port()


class AdminApiTest(AdminApiCase):
    def test_valid_requests_are_answered_and_invalid_ones_rejected(self):
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/nobody")[0], 404)
        self.assertEqual(call_admin_api(self.admin_api_port, "DELETE", "/api/rejoin")[0], 405)
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/metrics")[0], 404)
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/evacuate HTTP/1.1\r\nContent-Length: zz\r\n\r\n")
            self.assertEqual(read_answer(sock)[0], 400)

    def test_request_sent_byte_by_byte_is_answered(self):
        text = b"PUT /api/exclude/s-0 HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in text:
                sock.send(bytes([byte]))
            self.assertEqual(read_answer(sock), (200, b"excluded\n"))

    def test_slow_callers_do_not_block_the_admin_api(self):
        """A new session replaces one whose request is incomplete."""
        slow = [
            socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT)
            for _ in range(3 * MAX_SESSIONS)
        ]
        for sock in slow:
            self.addCleanup(sock.close)
            sock.sendall(b"PUT /api/evac")
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))

    def test_request_is_answered_while_all_slots_are_in_use(self):
        """Client requests that wait for an executor do not delay the admin API."""
        for _ in range(20):
            self.client().ask()
        self.wait_for(lambda: sum(server.received.qsize() for server in self.executors) == 20)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))


class SystemCallFaultTest(FaultyNodeCase):
    """Failing system calls on callers' sockets: each session ends in time."""

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def send_incomplete_request(self) -> tuple[bytes, float]:
        """Send an incomplete request; return the response and the seconds until the connection ends."""
        began = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.admin_port()), timeout=WAIT) as sock:
            sock.sendall(b"GET /api/rea")
            text = b""
            with contextlib.suppress(ConnectionResetError):
                while chunk := sock.recv(4096):
                    text += chunk
        return text, time.monotonic() - began

    def test_late_session_ends_in_time_if_its_end_fails(self):
        """An exception in the session's timer must not leave the session without a deadline."""
        for call_name, answered in (("write", False), ("write_eof", True)):
            with self.subTest(call=call_name):
                self.plan.arm(Fault(f"accepted.{call_name}", "EPIPE"))
                text, took = self.send_incomplete_request()
                self.assertEqual(b" 408 " in text, answered)
                self.assertLess(took, 3.5)  # 2 s for the request, 1 s for the response.

    def test_failed_abort_is_retried(self):
        self.plan.arm(Fault("accepted.write", "EPIPE"), Fault("accepted.abort", "EIO", times=3))
        self.assertLess(self.send_incomplete_request()[1], 3.5)
        self.assertEqual(call_admin_api(self.admin_port(), "GET", "/api/ready")[0], 200)


class LockedStateFileTest(AdminApiCase):
    """Another process holds the lock of the state file."""

    def test_client_requests_are_served_and_the_admin_request_fails_in_time(self):
        lock = os.open(f"{self.tmpdir.name}/cedarmill-n0-exclusions.json.lock", os.O_RDWR | os.O_CREAT)
        self.addCleanup(os.close, lock)
        fcntl.flock(lock, fcntl.LOCK_EX)
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/exclude/s-1 HTTP/1.1\r\nHost: door\r\n\r\n")
            began, client = time.monotonic(), self.client().ask()
            self.next_request().done()
            self.assertEqual(client.answer()[0], 200)
            self.assertEqual(read_answer(sock)[0], 503)
        self.assertLess(time.monotonic() - began, 1.0)  # Time limit of an admin request.
        fcntl.flock(lock, fcntl.LOCK_UN)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))


class ExclusionTest(AdminApiCase):
    def watch(self):
        asked = self.discovery.next_request()
        asked.send_head()
        return asked

    def test_exclusion_outlives_a_snapshot_and_one_include_undoes_two_excludes(self):
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

    def test_executor_that_discovery_no_longer_lists_can_be_included(self):
        watch = self.watch()
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-0")[0], 200)
        watch.send_line({"index": 9, "snapshot": True, "endpoints": [self.entry(1)]})
        self.wait_log("watching from index 9")
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/include/s-0"), (200, b"included\n"))
        watch.send_line({"index": 10, "snapshot": True, "endpoints": [self.entry(0)]})
        watch.send_line({"index": 11, "snapshot": False, "endpoints": [self.entry(1, status="DELETED")]})
        self.wait_for(lambda: self.served_by() == 0)

    def test_exclusions_are_restored_by_the_next_process_of_the_node(self):
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


class DrainTest(AdminApiCase):
    def ready(self) -> int:
        client = self.client()
        client.request("GET", "/ready")
        return client.answer()[0]

    def test_drain_closes_idle_connections_answers_requests_and_is_undone_by_rejoin(self):
        idle, busy = self.client(), self.client().ask()
        idle.request("GET", "/ready")
        self.assertEqual(idle.answer()[0], 200)
        asked = self.next_request()
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/evacuate"), (200, b"evacuating\n"))
        self.assertEqual(self.ready(), 503)
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready")[0], 503)
        self.assertEqual(idle.sock.recv(1), b"")  # The idle connection is closed.
        asked.done()
        self.assertEqual(
            busy.answer()[0], 200
        )  # The pending request is answered, then its connection closes.
        self.assertEqual(busy.headers["Connection"], "close")
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/rejoin")[0], 200)
        self.assertEqual(self.ready(), 200)

    def test_pipelined_and_incomplete_requests_are_answered_before_a_drained_session_closes(self):
        """Requests received before the drain are answered, and a partial one may be completed."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) as sock:
            sock.sendall(raw(1) + raw(2) + raw(3)[:60])
            self.wait_received()
            self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")[0], 200)
            for number in (1, 2, 3):
                received = self.next_request()
                if number == 2:
                    sock.sendall(raw(3)[60:])
                received.done(f"answer {number}")
            text = b""
            while chunk := sock.recv(4096):
                text += chunk
        self.assertEqual(text.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(text.count(b"Connection: close"), 1)
        self.assertIn(b"answer 3", text.rpartition(b"Connection: close")[2])

    def test_rejoin_stops_the_closing_of_idle_connections(self):
        """Connections opened after the rejoin stay open."""
        idle_client = self.client()
        idle_client.request("GET", "/ready")
        self.assertEqual(idle_client.answer()[0], 200)
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.assertEqual(idle_client.sock.recv(1), b"")  # The closing has begun.
        call_admin_api(self.admin_api_port, "PUT", "/api/rejoin")
        new_client = self.client()
        for _ in range(3):
            new_client.request("GET", "/ready")
            self.assertEqual(new_client.answer()[0], 200)
            self.assertFalse(new_client.answered(0.15))  # Longer than one closing interval.

    def test_drained_and_terminated_node_answers_its_pending_requests(self):
        busy = self.client().ask()
        received = self.next_request()
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.terminate()
        self.wait_log("no new sessions")
        received.done()
        self.assertEqual(busy.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_client_that_reads_nothing_is_disconnected(self):
        """Its answers exceed the socket buffers, so the session would never end by itself."""
        unread_socket = socket.socket()
        self.addCleanup(unread_socket.close)
        unread_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread_socket.connect(("127.0.0.1", self.port))
        head = b"X-Call-Class: pin\r\nX-Caller: acme\r\nX-Budget-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
        for number in range(8):
            unread_socket.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: unread-%d\r\n" % number + head)
        unread_socket.setblocking(False)
        answered = threading.Thread(target=self.answer_all, args=("x" * 200_000,), daemon=True)
        answered.start()
        call_admin_api(self.admin_api_port, "PUT", "/api/evacuate")
        self.wait_for(lambda: self.was_reset(unread_socket))
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


class FakeTransport:
    """Transport of a real socket."""

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
            raise RuntimeError("the handler is closed")  # As the transports of the event loop do.
        self.closed = True  # A session ends its sending side first.


class IdleSessionTest(unittest.TestCase):
    def test_session_with_an_unread_request_is_not_closed_as_idle(self):
        """After a delay the event loop runs its timers before it reads from sockets."""
        server_socket, client_socket = socket.socketpair()
        self.addCleanup(server_socket.close)
        self.addCleanup(client_socket.close)
        clients = ClientServer(ManualClockDriver(), settings(), 8, DeadlineOptions())
        session = ClientSession(clients)
        session.transport, session.connected = FakeTransport(server_socket), True
        clients.sessions.add(session)
        client_socket.send(b"POST /api HTTP/1.1\r\n")
        clients.close_idle()
        self.assertFalse(session.transport.closed)
        server_socket.recv(100)
        clients.close_idle()
        self.assertTrue(session.transport.closed)

    def test_session_whose_client_has_just_closed_can_be_replaced(self):
        """Ending the sending side of a transport that is already closing must not raise."""
        server_socket, client_socket = socket.socketpair()
        self.addCleanup(server_socket.close)
        self.addCleanup(client_socket.close)
        clients = ClientServer(ManualClockDriver(), settings(), 1, DeadlineOptions())
        session = ClientSession(clients)
        session.transport, session.connected = FakeTransport(server_socket), True
        clients.sessions.add(session)
        clients.list_idle(session)
        session.transport.closed = True
        session.end_if_idle(for_room=True)
        self.assertFalse(session.lifecycle.is_open)


class DescriptorLimitTest(AdminApiCase):
    """Node with the minimum of descriptors, and client sessions full of incomplete requests."""

    sockets = 64  # Minimum of the configuration.
    descriptor_limit = 64  # Set for the process too.

    def test_admin_request_is_answered_while_client_sessions_are_at_their_limit(self):
        connections = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(120)]
        for sock in connections:
            self.addCleanup(sock.close)
            sock.sendall(b"POST /api HTTP/1.1\r\nX-Call-")
        self.wait_log("client sessions at their bound")
        self.assertLessEqual(self.descriptors(), self.descriptor_limit)
        self.assertEqual(call_admin_api(self.admin_api_port, "PUT", "/api/exclude/s-1"), (200, b"excluded\n"))
        self.assertEqual(call_admin_api(self.admin_api_port, "GET", "/api/ready"), (200, b"ready\n"))

    def test_admin_request_waits_for_a_free_descriptor_and_is_then_answered(self):
        """A failed accept must leave the connection in the backlog."""
        taken = sorted(map(int, os.listdir(f"/proc/{self.process.pid}/fd")))[-1] + 1
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (taken, self.descriptor_limit))
        with socket.create_connection(("127.0.0.1", self.admin_api_port), timeout=WAIT) as sock:
            sock.sendall(b"PUT /api/exclude/s-1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            self.wait_log("accept failed")
            resource.prlimit(
                self.process.pid, resource.RLIMIT_NOFILE, (self.descriptor_limit, self.descriptor_limit)
            )
            self.assertEqual(read_answer(sock), (200, b"excluded\n"))
