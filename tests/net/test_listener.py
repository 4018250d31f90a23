"""Errors of accept(2) and of opening sessions, at every listener of the node and during shutdown."""

import contextlib
import errno
import http.client
import re
import select
import signal
import socket
import time
import unittest

from tests.net.test_client_cancellation import raw
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT
from tests.support.system_call_faults import Fault

SINGLE_CONNECTION_ERRORS = (
    "ECONNABORTED",
    "EINTR",
    "EPERM",
    "EPROTO",
    "ENETDOWN",
    "ENOPROTOOPT",
    "EHOSTDOWN",
    "ENONET",
    "EHOSTUNREACH",
    "EOPNOTSUPP",
    "ENETUNREACH",
    "ETIMEDOUT",
)
RESOURCE_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
SESSION_OPENING_ERRORS = (*RESOURCE_ERRORS, "ECONNRESET", "ENOTCONN", "EINVAL")


class AcceptFaultCase(FaultyNodeCase):
    def raw_client(self, text: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
        self.addCleanup(sock.close)
        sock.sendall(text)
        return sock

    def read_status(self, sock: socket.socket) -> int:
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        answer.read()
        return answer.status

    def serve_until_answered(self, sock: socket.socket) -> int:
        """Serve requests at the executor until the client has its only response; return the status."""
        while not select.select([sock], [], [], 0.01)[0]:
            if not self.executors[0].received.empty():
                self.executors[0].next_request().done()
        status = self.read_status(sock)
        self.assertEqual(select.select([sock], [], [], 0.02)[0], [])  # There is no second response.
        return status

    def check_requests_during_fault(self, fault: Fault) -> None:
        """Check that a request in flight and a new one each get one response and no descriptor leaks."""
        kept_client = self.client()
        kept_client.request("GET", "/ready")
        self.assertEqual(kept_client.answer()[0], 200)
        kept_client.ask("issue")
        received = self.executors[0].next_request()
        descriptors_before = self.descriptors()
        self.plan.arm(fault)
        new_socket = self.raw_client(raw(fault.times, "issue"))
        self.wait_for(lambda: self.plan.hits(fault.call) >= self.hits + fault.times)
        self.hits += fault.times
        received.done("kept")
        self.assertEqual(kept_client.answer(), (200, b"kept"))
        if fault.call == "open_session":  # The node closes the connection without reading the request.
            with self.assertRaises(ConnectionResetError):
                new_socket.recv(1)
                raise ConnectionResetError  # A regular close is accepted as well.
            self.assertTrue(self.executors[0].received.empty())
        else:
            self.assertIn(self.serve_until_answered(new_socket), (200, 503))  # 503: executor full.
        new_socket.close()
        self.assertEqual(self.served_by(), 0)
        # One more client connection and one more executor connection stay open.
        self.wait_for(lambda: self.descriptors() <= descriptors_before + 2)


class Serving(AcceptFaultCase):
    def test_each_error_of_accept_costs_nobody_an_answer(self):
        self.hits = 0
        for name in (*SINGLE_CONNECTION_ERRORS, *RESOURCE_ERRORS):
            with self.subTest(errno=name):
                self.assertTrue(hasattr(errno, name))
                self.check_requests_during_fault(Fault("accept", name, times=2))

    def test_an_error_in_opening_a_session_closes_only_that_connection(self):
        self.hits = 0
        for name in SESSION_OPENING_ERRORS:
            with self.subTest(errno=name):
                self.check_requests_during_fault(Fault("open_session", name))

    def test_accepting_continues_after_a_batch_of_sessions_fails_to_open(self):
        self.assertEqual(self.served_by(), 0)
        descriptors_before = self.descriptors()
        self.plan.arm(Fault("open_session", "ENOMEM", times=0))
        sockets = [self.raw_client(raw(number)) for number in range(20)]
        self.wait_for(lambda: self.plan.hits("open_session") == 20)
        self.plan.arm()
        self.assertEqual(self.served_by(), 0)
        self.wait_for(lambda: self.descriptors() <= descriptors_before)
        for sock in sockets:
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")


class OtherListeners(AcceptFaultCase):
    """The admin API and the health listener use the same accept loop."""

    xml_settings = '<health><http listen="127.0.0.1:0"/></health>'

    def prepare(self) -> None:
        super().prepare()
        self.environment = {"LB_MGMT": "127.0.0.1:0"}

    def get_status(self, port: int, path: str) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        with contextlib.closing(connection):
            connection.request("GET", path)
            return connection.getresponse().status

    def open_lasting_descriptors(self, health_port: int) -> None:
        """Wait until the discovery watch and the event loop have opened their own descriptors."""
        self.discovery.next_request()
        self.assertEqual(self.get_status(health_port, "/livez"), 200)

    def health_port(self) -> int:
        return int(re.search(r"health by http on \S+ port (\d+)", "\n".join(self.log))[1])

    def test_a_request_is_answered_despite_an_error_of_accept(self):
        health_port = self.health_port()
        self.open_lasting_descriptors(health_port)
        descriptors_before = self.descriptors()
        for name in ("ECONNABORTED", "EMFILE", "ENOBUFS"):
            for port, path in ((self.admin_port(), "/api/ready"), (health_port, "/livez")):
                with self.subTest(errno=name, path=path):
                    self.plan.arm(Fault("accept", name, times=2))
                    self.assertEqual(self.get_status(port, path), 200)
        self.wait_for(lambda: self.descriptors() <= descriptors_before)

    def test_a_connection_whose_session_does_not_open_is_closed(self):
        health_port = self.health_port()
        self.open_lasting_descriptors(health_port)
        descriptors_before = self.descriptors()
        for port in (self.admin_port(), health_port):
            self.plan.arm(Fault("open_session", "ENOMEM"))
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), WAIT) as sock:
                self.assertEqual(sock.recv(1), b"")
        self.assertEqual(self.plan.hits("open_session"), 2)
        self.wait_for(lambda: self.descriptors() <= descriptors_before)
        self.assertEqual(self.get_status(self.admin_port(), "/api/ready"), 200)


class Shutdown(AcceptFaultCase):
    """Connections in the backlog at shutdown are accepted despite errors of accept(2)."""

    def fill_backlog(self, count: int) -> list[socket.socket]:
        """Stop the node past the end of its accept period, with that many requests in the backlog."""
        self.terminate()
        self.wait_log("draining")
        self.process.send_signal(signal.SIGSTOP)
        resume_at = time.monotonic() + 0.7  # By then the node's accept period is over.
        self.wait_for(lambda: time.monotonic() > resume_at)
        sockets = [self.raw_client(raw(number, budget=2000)) for number in range(count)]
        self.process.send_signal(signal.SIGCONT)
        return sockets

    def check_all_answered(self, sockets: list[socket.socket]) -> None:
        statuses = [self.serve_until_status(sock) for sock in sockets]
        self.assertTrue(all(status in (200, 503) for status in statuses), statuses)
        self.assertIn(200, statuses)
        for sock in sockets:
            sock.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def serve_until_status(self, sock: socket.socket) -> int:
        while not select.select([sock], [], [], 0.01)[0]:
            if not self.executors[0].received.empty():
                self.executors[0].next_request().done()
        return self.read_status(sock)


def _backlog_test(name: str):
    def test(self: Shutdown) -> None:
        self.plan.arm(Fault("accept", name, after=1, times=3))
        self.check_all_answered(self.fill_backlog(5))
        self.assertEqual(self.plan.hits("accept"), 3)

    return test


for _name in ("ECONNABORTED", "EHOSTUNREACH", "EINTR", "EMFILE", "ENFILE", "ENOMEM"):
    setattr(Shutdown, f"test_{_name}_drops_no_later_connection", _backlog_test(_name))

if __name__ == "__main__":
    unittest.main()
