"""Upgrades: a new process inherits the listening socket and takes over from the old one without losses."""

import json
import os
import signal
import socket
import subprocess
from pathlib import Path

from cedarmill.admin import sealed_document
from cedarmill.admin.exclusions import Exclusions
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.net.loop import EventLoopDriver, boot_id
from cedarmill.net.shutdown import END_CHECK_INTERVAL_US
from cedarmill.net.upgrade.sibling import POLL_INTERVAL_ALONE_US, POLL_INTERVAL_WITH_SIBLINGS_US
from cedarmill.net.upgrade.state_file import InPlaceStateFile
from cedarmill.net.upgrade.warm_state import SAVE_INTERVAL_US
from tests.support.node_case import WAIT, Client, NodeCase, ReceivedRequest, call_admin_api
from tests.support.slow_clock import SlowClock


class InheritedSocketCase(NodeCase):
    """The test holds the clients' listening socket; each process inherits it through `$LB_SOCKET_FD`."""

    executor_count = 1

    def setUp(self) -> None:
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listening_socket.close)
        self.pass_fds = (self.listening_socket.fileno(),)
        self.environment = {"LB_SOCKET_FD": str(self.listening_socket.fileno())}
        super().setUp()

    def end_old(self) -> None:
        """Kill the old process, which the test has kept as `self.old`, if it still runs."""
        if self.old.poll() is None:
            self.old.kill()
        self.old.communicate()

    def start_successor(self) -> None:
        """Start another process of the node while the current one still serves."""
        self.log.clear()
        self.process = self.start(self.config())
        self.wait_log("serves on")


class InheritedSocket(InheritedSocketCase):
    def test_node_serves_on_the_inherited_socket(self):
        self.assertTrue(any("inherited as descriptor" in line for line in self.log), self.log)
        self.assertEqual(self.port, self.listening_socket.getsockname()[1])
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)

    def test_upgrade_with_requests_in_flight_answers_all(self):
        """The new process serves while the old one has a request in flight; the old one answers and exits."""
        old_client = self.client().ask()
        old_request = self.executors[0].next_request()
        old, old_log = self.process, list(self.log)
        self.log.clear()
        self.process = new = self.start(self.config())
        self.wait_log("serves on")
        old.send_signal(15)
        new_client = Client(self.port)
        self.addCleanup(new_client.close)
        new_client.ask()
        self.executors[0].next_request().done()
        self.assertEqual(new_client.answer()[0], 200)
        old_request.done()
        self.assertEqual(old_client.answer()[0], 200)
        self.assertEqual(old.wait(WAIT), 0)
        old.stderr.close()
        self.assertNotIn("Traceback", "\n".join(old_log))
        self.assertIsNone(new.poll())


class TwoAdminApis(InheritedSocketCase):
    """Two processes of one node, each with its own admin API, as during an upgrade."""

    executor_count = 2

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def setUp(self) -> None:
        super().setUp()
        self.old, self.old_admin_port = self.process, self.admin_port()
        self.addCleanup(self.end_old)
        self.old_session = self.client()  # accepted by the old process, the only one so far
        self.old_session.request("GET", "/ready")
        self.assertEqual(self.old_session.answer()[0], 200)
        self.start_successor()
        self.new_admin_port = self.admin_port()

    def wait_process_log(self, process, words: str) -> None:
        """Read the log of `process` up to a line that contains `words`."""
        while words not in (line := process.stderr.readline()):
            self.assertTrue(line, f"no {words!r}")

    def old_process_served_by(self) -> int:
        """Send a request on the old process's session; return the number of the executor that served it."""
        self.old_session.ask()
        number = self.wait_received()
        self.executors[number].next_request().done()
        self.assertEqual(self.old_session.answer()[0], 200)
        return number

    def test_each_process_detects_the_start_and_the_end_of_its_sibling(self):
        self.wait_process_log(self.old, "sibling processes of this node that live: 1")
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        self.old_session.close()
        self.old.terminate()
        self.assertEqual(self.old.wait(WAIT), 0)
        self.wait_log("sibling processes of this node that live: 0")

    def test_exclusion_made_in_the_new_process_applies_in_the_old_one(self):
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.wait_process_log(self.old, "state file: s-0")
        self.assertEqual({self.old_process_served_by() for _ in range(6)}, {1})

    def test_exclusion_made_in_the_old_process_applies_in_the_new_one_after_the_old_one_exits(self):
        self.assertEqual(call_admin_api(self.old_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.wait_log("state file: s-0")
        self.old.terminate()
        self.assertEqual(self.old.wait(WAIT), 0)
        self.assertEqual({self.served_by() for _ in range(6)}, {1})

    def test_exclusions_made_in_both_processes_in_turn_are_all_stored(self):
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.assertEqual(call_admin_api(self.old_admin_port, "PUT", "/api/exclude/s-1")[0], 200)
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/include/s-1")[0], 200)
        exclusions = Exclusions("n0")
        exclusions.adopt(
            Path(f"{self.tmpdir.name}/cedarmill-n0-exclusions.json").read_bytes(), ClockReading(0)
        )
        self.assertEqual(set(exclusions.since), {"s-0"})

    def test_third_process_started_while_two_run_loses_no_request(self):
        """The second process exits before the first, which has a request in flight; the third serves on."""
        second = self.process
        self.old_session.ask()
        self.wait_received()
        self.start_successor()
        third_admin_port = self.admin_port()
        second.terminate()
        self.assertEqual(second.wait(WAIT), 0)
        second.stderr.close()
        self.old.terminate()
        self.next_request().done()
        self.assertEqual(self.old_session.answer()[0], 200)
        self.assertEqual(self.old.wait(WAIT), 0)
        self.assertEqual(call_admin_api(third_admin_port, "GET", "/api/ready"), (200, b"ready\n"))
        self.served_by()


class InvalidDescriptor(NodeCase):
    """A node whose descriptor is no listening socket prints a one-line error and exits with code 2."""

    def setUp(self) -> None:
        self.prepare()

    def start_error(self, fd: int, pass_fds: tuple = ()) -> str:
        """Start a node with `fd` as its listening socket; return the error of the failed start."""
        self.environment, self.pass_fds = {"LB_SOCKET_FD": str(fd)}, pass_fds
        process = self.start(self.config())
        error = process.communicate(timeout=WAIT)[1]
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(error.splitlines()), 1, error)
        self.assertNotIn("Traceback", error)
        return error

    def test_closed_descriptor_is_refused(self):
        read, write = os.pipe()
        os.close(read)
        os.close(write)
        self.assertRegex(self.start_error(read), rf"^cedarmill: LB_SOCKET_FD={read}: ")

    def test_descriptor_of_a_pipe_is_refused(self):
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        self.assertIn("non-socket", self.start_error(read, (read,)))

    def test_socket_that_does_not_listen_is_refused(self):
        sock = socket.socket()
        self.addCleanup(sock.close)
        self.assertIn("not a listening TCP socket", self.start_error(sock.fileno(), (sock.fileno(),)))


class LearnedSlotsCase(InheritedSocketCase):
    """A node that has learned how many slots its one executor has, and whose process can be replaced."""

    def state_file(self, kind: str = "memory") -> InPlaceStateFile:
        """Return the node's state file of one kind."""
        return InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-{kind}.json")

    def learn_slots(self, free_slots: int) -> None:
        """Serve two requests whose answers report `free_slots`, and wait until the warm state holds them."""
        for _ in range(2):
            client = self.client().ask()
            request = self.executors[0].next_request()
            request.send_head()
            request.send_state("done", result="fine", load={"x0": free_slots, "x1": 100.0})
            request.connection.send("0\r\n\r\n")
            self.assertEqual(client.answer()[0], 200)
        self.advance_clock(SAVE_INTERVAL_US)
        self.wait_for(lambda: self.saved_slots() >= free_slots)

    def advance_clock(self, span_us: int) -> None:
        """Advance the node's clock; the real clock, used here, advances by itself."""

    def saved_slots(self) -> float:
        """Return the slots of the one executor in the saved warm state; 0 while none is saved."""
        halves = self.state_file().read_halves()
        body = (
            sealed_document.unseal_newest(
                halves, "memory", "n0", ClockReading(0, EventLoopDriver.now(), boot_id())
            )[1]
            if halves
            else b'{"workers":{}}'
        )
        return json.loads(body)["workers"].get("s-0", {}).get("slots", 0)

    def occupy_all_slots(self) -> tuple[list[Client], list[ReceivedRequest]]:
        """Send five requests that occupy the executor's five slots; wait until the document lists them."""
        clients = [self.client().ask("issue", 12_000) for _ in range(5)]  # longer than a slow process start
        requests = [self.executors[0].next_request() for _ in clients]
        document = self.state_file(f"out-{self.process.pid}")
        self.advance_clock(POLL_INTERVAL_ALONE_US)
        self.wait_for(lambda: any(b"[5.0," in text for text in document.read_halves()))
        document.close()
        return clients, requests

    def start_drain(self, old: subprocess.Popen) -> None:
        """Send SIGTERM to the old process and wait until it accepts no more connections."""
        old.send_signal(signal.SIGTERM)
        while (line := old.stderr.readline()) and "no new sessions" not in line:
            pass

    def check_occupied_slots_are_not_reused(self) -> None:
        """Check that the new process sends fewer than five of five requests, and refuses the others.

        `tests/decisions/test_snapshot.py` checks how many it may try as the last load report grows old.
        """
        clients = [self.client().ask() for _ in range(5)]
        server = self.executors[0]
        self.wait_for(lambda: server.received.qsize() + sum(c.answered(0) for c in clients) == 5)
        self.assertLess(server.received.qsize(), 5)
        self.assertEqual({c.answer()[0] for c in clients if c.answered(0)}, {503})
        for _ in range(server.received.qsize()):
            server.next_request().done()

    def check_old_process_exits(
        self, clients: list[Client], requests: list[ReceivedRequest], old: subprocess.Popen
    ) -> None:
        """Check that the old process answers its requests and exits, which makes its slots usable."""
        for request in requests:
            request.done()
        self.assertEqual([client.answer()[0] for client in clients], [200] * 5)

        def has_exited() -> bool:
            self.advance_clock(END_CHECK_INTERVAL_US)
            return old.poll() is not None

        self.wait_for(has_exited)
        self.assertEqual(old.returncode, 0)
        old.stderr.close()
        self.advance_clock(POLL_INTERVAL_WITH_SIBLINGS_US)
        self.wait_log("that live: 0")
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class UpgradeOnSlowClock(LearnedSlotsCase):
    """An upgrade on a clock that the test advances.

    On a busy machine's real clock, the old process's shutdown deadline passes, or the executor's load report
    expires, before the test has finished.
    """

    def prepare(self) -> None:
        super().prepare()
        self.clock = SlowClock(f"{self.tmpdir.name}/clock")

    def command(self, module: str, *arguments: str) -> list[str]:
        return self.clock.command(module, *arguments)

    def advance_clock(self, span_us: int) -> None:
        self.clock.advance(span_us)

    def test_slots_occupied_by_the_old_process_are_not_reused_until_its_requests_end(self):
        """Guards against a new process that sends requests to slots which the old one still occupies."""
        self.learn_slots(free_slots=5)
        clients, requests = self.occupy_all_slots()
        old = self.process
        self.start_successor()
        self.assertTrue(any("took up what" in line for line in self.log), self.log)
        self.start_drain(old)
        self.check_occupied_slots_are_not_reused()
        self.check_old_process_exits(clients, requests, old)


class Upgrade(LearnedSlotsCase):
    """State files of an old process that was killed or whose document is damaged."""

    def test_slots_of_an_old_process_killed_during_the_upgrade_become_usable(self):
        self.learn_slots(free_slots=5)
        for _ in range(5):
            self.client().ask()
            self.executors[0].next_request()
        old = self.process
        self.start_successor()
        old.kill()
        old.wait(WAIT)
        old.stderr.close()

        def is_served() -> bool:
            """Return whether a new request is served; a retry by the old process may be queued before it."""
            client = self.client().ask()
            call_id = f"{Client.count:016x}"

            def is_answered() -> bool:
                while not client.answered(0) and self.executors[0].received.qsize():
                    if (request := self.executors[0].next_request()).headers["X-Call-Id"] == call_id:
                        request.done()
                return client.answered(0)

            self.wait_for(is_answered)
            return client.answer()[0] == 200

        self.wait_for(is_served)

    def test_new_empty_file_of_another_process_is_not_removed(self):
        """Guards against removing it as a dead process's file: its owner would write where nobody reads."""
        empty_file = Path(f"{self.tmpdir.name}/cedarmill-n0-out-1.json")
        empty_file.touch()
        document = self.state_file(f"out-{self.process.pid}")
        before = document.read_halves()
        self.wait_for(lambda: document.read_halves() != before)  # written after a poll of all files
        self.assertTrue(empty_file.exists())

    def test_torn_document_is_logged_and_not_restored(self):
        self.learn_slots(free_slots=5)
        self.process.kill()  # a running process would overwrite the document
        self.process.communicate()
        path = Path(self.state_file().path)
        path.write_bytes(path.read_bytes().replace(b'"slots":5', b'"slots":9'))
        self.start_successor()
        self.assertTrue(any("not taken up: torn" in line for line in self.log), self.log)
