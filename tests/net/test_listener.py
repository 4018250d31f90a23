"""Accepting under errors of accept(2): at clients' listener, the door and the checkers', also at the end."""

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

ONE_CONNECTION = (
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
NO_RESOURCES = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
AT_OPENING = (*NO_RESOURCES, "ECONNRESET", "ENOTCONN", "EINVAL")


class AcceptingCase(FaultyNodeCase):
    def raw_client(self, text: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
        self.addCleanup(sock.close)
        sock.sendall(text)
        return sock

    def status(self, sock: socket.socket) -> int:
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        answer.read()
        return answer.status

    def final(self, sock: socket.socket) -> int:
        """The status of its one answer, while executors serve what comes."""
        while not select.select([sock], [], [], 0.01)[0]:
            if not self.executors[0].received.empty():
                self.executors[0].next_request().done()
        status = self.status(sock)
        self.assertEqual(select.select([sock], [], [], 0.02)[0], [])  # exactly one
        return status

    def serve(self, fault: Fault) -> None:
        """A request in flight and one that comes right then: each has one answer, nothing is left over."""
        kept = self.client()
        kept.request("GET", "/ready")
        self.assertEqual(kept.answer()[0], 200)
        kept.ask("issue")
        asked = self.executors[0].next_request()
        before = self.descriptors()
        self.plan.arm(fault)
        new = self.raw_client(raw(fault.times, "issue"))
        self.wait_for(lambda: self.plan.hits(fault.call) >= self.hits + fault.times)
        self.hits += fault.times
        asked.done("kept")
        self.assertEqual(kept.answer(), (200, b"kept"))
        if fault.call == "open_session":  # never read: the client sends it again elsewhere
            with self.assertRaises(ConnectionResetError):
                new.recv(1)
                raise ConnectionResetError  # a plain close
            self.assertTrue(self.executors[0].received.empty())
        else:
            self.assertIn(self.final(new), (200, 503))  # the module may find the executor full
        new.close()
        self.assertEqual(self.served_by(), 0)
        self.wait_for(lambda: self.descriptors() <= before + 2)  # a new kept client and executor connection


class Serving(AcceptingCase):
    def test_each_error_of_accept_costs_nobody_an_answer(self):
        self.hits = 0
        for name in (*ONE_CONNECTION, *NO_RESOURCES):
            with self.subTest(errno=name):
                self.assertTrue(hasattr(errno, name))
                self.serve(Fault("accept", name, times=2))

    def test_each_error_of_an_opening_session_closes_that_connection_alone(self):
        self.hits = 0
        for name in AT_OPENING:
            with self.subTest(errno=name):
                self.serve(Fault("open_session", name))

    def test_nothing_waits_where_a_session_does_not_open(self):
        """A round without descriptors for the sessions ends none of the later ones."""
        self.assertEqual(self.served_by(), 0)
        before = self.descriptors()
        self.plan.arm(Fault("open_session", "ENOMEM", times=0))
        socks = [self.raw_client(raw(number)) for number in range(20)]
        self.wait_for(lambda: self.plan.hits("open_session") == 20)
        self.plan.arm()
        self.assertEqual(self.served_by(), 0)
        self.wait_for(lambda: self.descriptors() <= before)
        for sock in socks:
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")


class OtherListeners(AcceptingCase):
    """The door and the checkers' listener take connections by the same loop."""

    xml_settings = '<health><http listen="127.0.0.1:0"/></health>'

    def prepare(self) -> None:
        super().prepare()
        self.environment = {"LB_MGMT": "127.0.0.1:0"}

    def get(self, port: int, path: str) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        with contextlib.closing(connection):
            connection.request("GET", path)
            return connection.getresponse().status

    def warm_up(self, health: int) -> None:
        """The loop opens a descriptor of its own with its first connection, and the node its watch."""
        self.discovery.next_request()
        self.assertEqual(self.get(health, "/livez"), 200)

    def health_port(self) -> int:
        return int(re.search(r"health by http on \S+ port (\d+)", "\n".join(self.log))[1])

    def test_an_error_of_accept_costs_them_no_call(self):
        health = self.health_port()
        self.warm_up(health)
        before = self.descriptors()
        for name in ("ECONNABORTED", "EMFILE", "ENOBUFS"):
            for port, path in ((self.admin_port(), "/api/ready"), (health, "/livez")):
                with self.subTest(errno=name, path=path):
                    self.plan.arm(Fault("accept", name, times=2))
                    self.assertEqual(self.get(port, path), 200)
        self.wait_for(lambda: self.descriptors() <= before)

    def test_a_connection_whose_session_does_not_open_is_closed(self):
        health = self.health_port()
        self.warm_up(health)
        before = self.descriptors()
        for port in (self.admin_port(), health):
            self.plan.arm(Fault("open_session", "ENOMEM"))
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), WAIT) as sock:
                self.assertEqual(sock.recv(1), b"")
        self.assertEqual(self.plan.hits("open_session"), 2)
        self.wait_for(lambda: self.descriptors() <= before)
        self.assertEqual(self.get(self.admin_port(), "/api/ready"), 200)


class AtTheEnd(AcceptingCase):
    """What waits in the backlog at shutdown is taken, whatever accept says at that moment."""

    def queue_up(self, count: int) -> list[socket.socket]:
        """Hold the node up over its last round of accepting, with requests in the backlog."""
        self.terminate()
        self.wait_log("draining")
        self.process.send_signal(signal.SIGSTOP)
        until = time.monotonic() + 0.7  # past the moment at which it stops listening
        self.wait_for(lambda: time.monotonic() > until)
        socks = [self.raw_client(raw(number, budget=2000)) for number in range(count)]
        self.process.send_signal(signal.SIGCONT)
        return socks

    def answered(self, socks: list[socket.socket]) -> None:
        answers = [self.final_at_end(sock) for sock in socks]
        self.assertTrue(all(status in (200, 503) for status in answers), answers)
        self.assertIn(200, answers)
        for sock in socks:
            sock.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def final_at_end(self, sock: socket.socket) -> int:
        while not select.select([sock], [], [], 0.01)[0]:
            if not self.executors[0].received.empty():
                self.executors[0].next_request().done()
        return self.status(sock)


def _at_the_end(name: str):
    def test(self: AtTheEnd) -> None:
        self.plan.arm(Fault("accept", name, after=1, times=3))
        self.answered(self.queue_up(5))
        self.assertEqual(self.plan.hits("accept"), 3)

    return test


for _name in ("ECONNABORTED", "EHOSTUNREACH", "EINTR", "EMFILE", "ENFILE", "ENOMEM"):
    setattr(AtTheEnd, f"test_{_name}_drops_nobody_behind_it", _at_the_end(_name))

if __name__ == "__main__":
    unittest.main()
