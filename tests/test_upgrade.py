"""Replacing the process: the clients' socket inherited by descriptor, and a hand-over under load."""

import os
import socket

from nodes import WAIT, Client, NodeCase


class Inherited(NodeCase):
    """The platform holds the clients' socket; each process gets it by the number in `$LB_SOCKET_FD`."""

    backends = 1

    def setUp(self) -> None:
        self.held = socket.create_server(("127.0.0.1", 0))  # the platform's
        self.addCleanup(self.held.close)
        self.pass_fds = (self.held.fileno(),)
        self.env = {"LB_SOCKET_FD": str(self.held.fileno())}
        super().setUp()

    def test_the_node_serves_on_the_socket_it_inherits(self):
        self.assertTrue(any("inherited as descriptor" in line for line in self.log), self.log)
        self.assertEqual(self.port, self.held.getsockname()[1])
        client = self.client().ask()
        self.servers[0].next().done()
        self.assertEqual(client.answer()[0], 200)

    def test_an_upgrade_with_reqs_in_flight_on_both_processes(self):
        """The new process serves while the old one still holds a req; the old answers it and ends."""
        old_client = self.client().ask()
        old_asked = self.servers[0].next()  # held by the old process
        old, old_log = self.process, list(self.log)
        self.log.clear()
        self.process = new = self.start(self.config())
        self.wait_log("serves on")
        old.send_signal(15)
        new_client = Client(self)
        self.addCleanup(new_client.close)
        new_client.ask()
        self.servers[0].next().done()
        self.assertEqual(new_client.answer()[0], 200)
        old_asked.done()
        self.assertEqual(old_client.answer()[0], 200)
        self.assertEqual(old.wait(WAIT), 0)
        old.stderr.close()
        self.assertNotIn("Traceback", "\n".join(old_log))
        self.assertIsNone(new.poll())


class BadDescriptor(NodeCase):
    """A descriptor that is no listening socket is a one-line error and exit 2, before anything listens."""

    def setUp(self) -> None:
        self.prepare()

    def refused(self, fd: int, pass_fds: tuple = ()) -> str:
        self.env, self.pass_fds = {"LB_SOCKET_FD": str(fd)}, pass_fds
        process = self.start(self.config())
        error = process.communicate(timeout=WAIT)[1]
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(error.splitlines()), 1, error)
        self.assertNotIn("Traceback", error)
        return error

    def test_a_closed_descriptor(self):
        read, write = os.pipe()
        os.close(read)
        os.close(write)  # a number that nobody holds
        self.assertRegex(self.refused(read), rf"^cedarmill: LB_SOCKET_FD={read}: ")

    def test_a_descriptor_that_is_no_socket(self):
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        self.assertIn("non-socket", self.refused(read, (read,)))

    def test_a_socket_that_does_not_listen(self):
        sock = socket.socket()
        self.addCleanup(sock.close)
        self.assertIn("not a listening TCP socket", self.refused(sock.fileno(), (sock.fileno(),)))
