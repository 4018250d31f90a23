"""Replacing the process: the clients' socket inherited by descriptor, and a hand-over under load."""

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
from cedarmill.net.shutdown import CHECK_END_US
from cedarmill.net.upgrade.sibling import POLL_INTERVAL_ALONE_US, POLL_INTERVAL_WITH_SIBLINGS_US
from cedarmill.net.upgrade.state_file import InPlaceStateFile
from cedarmill.net.upgrade.warm_state import SAVE_INTERVAL_US
from tests.support.node_case import WAIT, Client, NodeCase, ReceivedRequest, call_admin_api
from tests.support.slow_clock import SlowClock


class HeldSocket(NodeCase):
    """The platform holds the clients' socket; each process gets it by the number in `$LB_SOCKET_FD`."""

    executor_count = 1

    def setUp(self) -> None:
        self.held = socket.create_server(("127.0.0.1", 0))  # the platform's
        self.addCleanup(self.held.close)
        self.pass_fds = (self.held.fileno(),)
        self.environment = {"LB_SOCKET_FD": str(self.held.fileno())}
        super().setUp()

    def next_process(self) -> None:
        """Start one more process of the node, beside the one that serves."""
        self.log.clear()
        self.process = self.start(self.config())
        self.wait_log("serves on")


class Inherited(HeldSocket):
    def test_the_node_serves_on_the_socket_it_inherits(self):
        self.assertTrue(any("inherited as descriptor" in line for line in self.log), self.log)
        self.assertEqual(self.port, self.held.getsockname()[1])
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)

    def test_an_upgrade_with_requests_in_flight_on_both_processes(self):
        """The new process serves while the old one still holds a request; the old answers it and ends."""
        old_client = self.client().ask()
        old_asked = self.executors[0].next_request()  # held by the old process
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
        old_asked.done()
        self.assertEqual(old_client.answer()[0], 200)
        self.assertEqual(old.wait(WAIT), 0)
        old.stderr.close()
        self.assertNotIn("Traceback", "\n".join(old_log))
        self.assertIsNone(new.poll())


class TwoDoors(HeldSocket):
    """Two processes with a admin API each, as during an upgrade."""

    executor_count = 2

    def config(self) -> dict:
        return {**super().config(), "mgmt": "127.0.0.1:0"}

    def setUp(self) -> None:
        super().setUp()
        self.old, self.old_admin_port = self.process, self.admin_port()
        self.addCleanup(self.end_old)
        self.kept_session = self.client()  # of the old process: the only one so far
        self.kept_session.request("GET", "/ready")
        self.assertEqual(self.kept_session.answer()[0], 200)
        self.next_process()
        self.new_admin_port = self.admin_port()

    def end_old(self) -> None:
        if self.old.poll() is None:
            self.old.kill()
        self.old.communicate()

    def told(self, process, words: str) -> None:
        """Read that process's log up to a line with those words."""
        while words not in (line := process.stderr.readline()):
            self.assertTrue(line, f"no {words!r}")

    def old_sends_to(self) -> int:
        """Where the old process sends the next request of its kept session."""
        self.kept_session.ask()
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        number = next(n for n, server in enumerate(self.executors) if not server.received.empty())
        self.executors[number].next_request().done()
        self.assertEqual(self.kept_session.answer()[0], 200)
        return number

    def test_each_process_is_told_of_the_other_and_of_its_end(self):
        self.told(self.old, "sibling processes of this node that live: 1")
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        self.kept_session.close()
        self.old.terminate()
        self.assertEqual(self.old.wait(WAIT), 0)
        self.wait_log("sibling processes of this node that live: 0")

    def test_a_mark_made_at_the_new_admin_api_holds_in_the_old_process(self):
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.told(self.old, "state file: s-0")
        self.assertEqual({self.old_sends_to() for _ in range(6)}, {1})

    def test_a_mark_made_at_the_old_admin_api_holds_in_the_new_process_after_the_old_one(self):
        self.assertEqual(call_admin_api(self.old_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.wait_log("state file: s-0")
        self.old.terminate()
        self.assertEqual(self.old.wait(WAIT), 0)
        self.assertEqual({self.served_by() for _ in range(6)}, {1})

    def test_marks_made_at_both_doors_one_after_the_other_both_hold(self):
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/exclude/s-0")[0], 200)
        self.assertEqual(call_admin_api(self.old_admin_port, "PUT", "/api/exclude/s-1")[0], 200)
        self.assertEqual(call_admin_api(self.new_admin_port, "PUT", "/api/include/s-1")[0], 200)
        marks = Exclusions("n0")
        marks.adopt(Path(f"{self.tmpdir.name}/cedarmill-n0-exclusions.json").read_bytes(), ClockReading(0))
        self.assertEqual(set(marks.since), {"s-0"})

    def test_a_third_start_while_two_live_loses_nothing(self):
        """The second ends before the first, which still holds a job; the third serves on."""
        both = self.process
        self.kept_session.ask()
        self.wait_for(lambda: any(server.received.qsize() for server in self.executors))
        self.next_process()
        third = self.admin_port()
        both.terminate()
        self.assertEqual(both.wait(WAIT), 0)
        both.stderr.close()
        self.old.terminate()
        next(server for server in self.executors if server.received.qsize()).next_request().done()
        self.assertEqual(self.kept_session.answer()[0], 200)
        self.assertEqual(self.old.wait(WAIT), 0)
        self.assertEqual(call_admin_api(third, "GET", "/api/ready"), (200, b"ready\n"))
        self.served_by()


class BadDescriptor(NodeCase):
    """A descriptor that is no listening socket is a one-line error and exit 2, before anything listens."""

    def setUp(self) -> None:
        self.prepare()

    def refused(self, fd: int, pass_fds: tuple = ()) -> str:
        self.environment, self.pass_fds = {"LB_SOCKET_FD": str(fd)}, pass_fds
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


class LearnedSlots(HeldSocket):
    """A node that has learned how many slots its one executor has, and can be replaced."""

    def kept(self, kind: str = "memory") -> InPlaceStateFile:
        return InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-{kind}.json")

    def learn(self, free: int) -> None:
        """Two jobs, whose answers report so many free slots; then wait till that is kept."""
        for _ in range(2):
            client = self.client().ask()
            asked = self.executors[0].next_request()
            asked.send_head()
            asked.send_state("done", result="fine", load={"x0": free, "x1": 100.0})
            asked.connection.send("0\r\n\r\n")
            self.assertEqual(client.answer()[0], 200)
        self.let_pass(SAVE_INTERVAL_US)
        self.wait_for(lambda: self.slots() >= free)

    def let_pass(self, span_us: int) -> None:
        """So much time is to pass for the node; here it passes by itself."""

    def slots(self) -> float:
        """Of the one executor, as kept last."""
        texts = self.kept().texts()
        body = (
            sealed_document.unseal_newest(
                texts, "memory", "n0", ClockReading(0, EventLoopDriver.now(), boot_id())
            )[1]
            if texts
            else b'{"workers":{}}'
        )
        return json.loads(body)["workers"].get("s-0", {}).get("slots", 0)

    def hold_all_slots(self) -> tuple[list[Client], list[ReceivedRequest]]:
        """Five clients whose jobs hold the executor's five slots, as the process's document tells."""
        held = [self.client().ask("issue", 12_000) for _ in range(5)]  # they outlast a slow start beside them
        asked = [self.executors[0].next_request() for _ in held]
        told = self.kept(f"out-{self.process.pid}")
        self.let_pass(POLL_INTERVAL_ALONE_US)
        self.wait_for(lambda: any(b"[5.0," in text for text in told.texts()))
        told.close()
        return held, asked

    def drain(self, old: subprocess.Popen) -> None:
        """From then on only the new process accepts."""
        old.send_signal(signal.SIGTERM)
        while (line := old.stderr.readline()) and "no new sessions" not in line:
            pass

    def check_slots_are_held(self) -> None:
        """Of five jobs more the new process sends fewer than five, and refuses the others.

        How many it may try as the last report grows old is for `tests/decisions/test_snapshot.py` to say.
        """
        more = [self.client().ask() for _ in range(5)]
        server = self.executors[0]
        self.wait_for(lambda: server.received.qsize() + sum(c.answered(0) for c in more) == 5)
        self.assertLess(server.received.qsize(), 5)
        self.assertEqual({c.answer()[0] for c in more if c.answered(0)}, {503})
        for _ in range(server.received.qsize()):
            server.next_request().done()

    def check_jobs_end(self, held: list[Client], asked: list[ReceivedRequest], old: subprocess.Popen) -> None:
        """The old process answers what it holds and ends; then the slots are free."""
        for job in asked:
            job.done()
        self.assertEqual([client.answer()[0] for client in held], [200] * 5)

        def ended() -> bool:
            self.let_pass(CHECK_END_US)
            return old.poll() is not None

        self.wait_for(ended)
        self.assertEqual(old.returncode, 0)
        old.stderr.close()
        self.let_pass(POLL_INTERVAL_WITH_SIBLINGS_US)
        self.wait_log("that live: 0")
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class SlowHandOver(LearnedSlots):
    """The hand-over on a clock that hardly moves by itself.

    The old process answers all that is open 3.53 s after SIGTERM, and the new one tries more and more as the
    executor's last report grows old: on a busy machine either came before the test was done.
    """

    def prepare(self) -> None:
        super().prepare()
        self.clock = SlowClock(f"{self.tmpdir.name}/clock")

    def command(self, module: str, *arguments: str) -> list[str]:
        return self.clock.command(module, *arguments)

    def let_pass(self, span_us: int) -> None:
        self.clock.move_on(span_us)

    def test_jobs_out_at_the_old_process_hold_their_slots_in_the_new_one_till_they_end(self):
        """Without the hand-over the new process sends five jobs more to the five slots, to wait there."""
        self.learn(free=5)
        held, asked = self.hold_all_slots()
        old = self.process
        self.next_process()
        self.assertTrue(any("took up what" in line for line in self.log), self.log)
        self.drain(old)
        self.check_slots_are_held()
        self.check_jobs_end(held, asked, old)


class HandOver(LearnedSlots):
    """What the old process learned, and what it still has out, is the new one's from its start."""

    def test_the_old_process_killed_in_the_hand_over_holds_nothing_for_long(self):
        self.learn(free=5)
        for _ in range(5):
            self.client().ask()
            self.executors[0].next_request()
        old = self.process
        self.next_process()
        old.kill()
        old.wait(WAIT)
        old.stderr.close()

        def served() -> bool:
            """Whether a new request is; one that the old process had sent again may still be queued."""
            client = self.client().ask()
            call_id = f"{Client.count:016x}"

            def answered() -> bool:
                while not client.answered(0) and self.executors[0].received.qsize():
                    if (asked := self.executors[0].next_request()).headers["X-Call-Id"] == call_id:
                        asked.done()
                return client.answered(0)

            self.wait_for(answered)
            return client.answer()[0] == 200

        self.wait_for(served)

    def test_a_file_that_another_process_has_only_just_made_is_left(self):
        """Taken for a dead process's and removed, its owner would write on unseen."""
        made = Path(f"{self.tmpdir.name}/cedarmill-n0-out-1.json")
        made.touch()
        told = self.kept(f"out-{self.process.pid}")
        before = told.texts()
        self.wait_for(lambda: told.texts() != before)  # written after a look at all files
        self.assertTrue(made.exists())

    def test_a_torn_document_is_said_and_not_taken_up(self):
        self.learn(free=5)
        self.process.kill()  # or it would write the document anew
        self.process.communicate()
        path = Path(self.kept().path)
        path.write_bytes(path.read_bytes().replace(b'"slots":5', b'"slots":9'))
        self.next_process()
        self.assertTrue(any("not taken up: torn" in line for line in self.log), self.log)
