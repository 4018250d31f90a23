"""A request with the id of an open one is rejected, also where another process of the node holds that one."""

import os
import signal
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import BinaryIO
from unittest import mock

from cedarmill.net.clients.closed_ids import MAX_CLOSED_IDS, ClosedIds, Closing
from cedarmill.net.clients.server import ACCEPT_BATCH
from cedarmill.net.upgrade import call_id_locks, closed_id_table
from cedarmill.net.upgrade.call_id_locks import CallIdLocks, LockResult
from cedarmill.net.upgrade.closed_id_table import ClosedIdTable
from tests.net.test_client_cancellation import RawClientCase, raw
from tests.net.test_upgrade import InheritedSocketCase
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT, Client, ReceivedRequest
from tests.support.system_call_faults import Fault

CALL_ID = "0123456789abcdef"
HELD_UP_S = 0.05  # the platform may hold a node up for 0.15 s
OPEN_ID_HEADERS = {"X-Call-Id": CALL_ID}
DUPLICATE = raw(1, "issue").replace(b"raw1", CALL_ID.encode())


def read_status(stream: BinaryIO) -> int:
    """Read up to the head of the next answer and return its status."""
    while b"HTTP/1.1 " not in (line := stream.readline()):  # It may follow a body on the same line.
        if not line:
            raise AssertionError("the connection has ended")
    return int(line.partition(b"HTTP/1.1 ")[2].split()[0])


def is_held_by_sibling(locks: CallIdLocks, call_id: bytes) -> bool:
    """Return whether another process holds the lock of an id."""
    result = locks.lock(call_id)
    if result is LockResult.LOCKED:
        locks.unlock(call_id)
    return result is LockResult.HELD_BY_SIBLING


class TwoProcessesCase(InheritedSocketCase, FaultyNodeCase):
    """An old process with one session and a new one, which accepts all later sessions."""

    executor_count = 1

    def setUp(self) -> None:
        super().setUp()
        self.old = self.process
        self.addCleanup(self.end_old)
        self.old_session = self.ready_client()

    def ready_client(self) -> Client:
        """Return a client whose session is accepted."""
        client = self.client()
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 200)
        return client

    def start_new_process(self) -> Client:
        """Start the new process and return a client whose session it has accepted."""
        self.start_successor()
        self.old.send_signal(signal.SIGSTOP)  # The new process accepts.
        try:
            return self.ready_client()
        finally:
            self.old.send_signal(signal.SIGCONT)

    def open_request(self, session: Client) -> ReceivedRequest:
        """Send a request with CALL_ID and return it as the executor receives it."""
        session.ask("issue", **OPEN_ID_HEADERS)
        return self.executors[0].next_request()

    def check_rejected(self, session: Client, status: int = 409) -> None:
        """Check that a request with CALL_ID gets this status and does not reach the executor."""
        self.assertEqual(session.ask("issue", **OPEN_ID_HEADERS).answer()[0], status)
        self.assertTrue(self.executors[0].received.empty())


class OpenInOtherProcess(TwoProcessesCase):
    """Guards against ids that each process keeps for itself, so that a request runs twice: review/2."""

    def test_an_id_open_in_the_old_process_is_rejected_by_the_new_one(self):
        received = self.open_request(self.old_session)
        new_session = self.start_new_process()
        self.check_rejected(new_session)
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)

    def test_an_id_open_in_the_new_process_is_rejected_by_the_old_one(self):
        new_session = self.start_new_process()
        received = self.open_request(new_session)
        self.check_rejected(self.old_session)
        received.done()
        self.assertEqual(new_session.answer()[0], 200)

    def test_an_id_is_closed_once_its_request_is_answered(self):
        received = self.open_request(self.old_session)
        new_session = self.start_new_process()
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        self.open_request(new_session).done()
        self.assertEqual(new_session.answer()[0], 200)

    def test_an_id_is_closed_once_its_client_has_left(self):
        received = self.open_request(self.old_session)
        new_session = self.start_new_process()
        self.old_session.close()
        self.assertTrue(received.connection.ended.wait(WAIT))  # The node cancels the attempt.
        self.open_request(new_session).done()
        self.assertEqual(new_session.answer()[0], 200)

    def test_an_id_is_closed_once_its_process_is_killed(self):
        self.open_request(self.old_session)
        new_session = self.start_new_process()
        self.old.kill()
        self.old.wait(WAIT)
        self.open_request(new_session).done()
        self.assertEqual(new_session.answer()[0], 200)

    def test_a_queued_request_with_an_id_open_in_the_other_process_is_rejected(self):
        """Its turn comes after the other process has answered; the id was open when it was read."""
        received = self.open_request(self.old_session)
        new_session = self.start_new_process()
        new_session.sock.sendall(raw(2) + DUPLICATE)
        first = self.executors[0].next_request()
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        first.done()
        answers = new_session.sock.makefile("rb")
        text = b"".join(iter(answers.readline, b"a req with this x-call-id is open\n"))
        self.assertEqual((text.count(b"HTTP/1.1 200"), text.count(b"HTTP/1.1 409")), (1, 1))
        self.assertTrue(self.executors[0].received.empty())

    def queue_duplicate(self, session: Client) -> Callable[[], None]:
        """Send a request with CALL_ID behind two others; return what checks that it is rejected once read."""
        session.sock.sendall(raw(2) + raw(3))
        first = self.executors[0].next_request()
        session.sock.sendall(DUPLICATE)

        def check() -> None:
            first.done()
            self.executors[0].next_request().done()
            stream = session.sock.makefile("rb")
            self.assertEqual([read_status(stream) for _ in range(3)], [200, 200, 409])
            self.assertTrue(self.executors[0].received.empty())

        return check

    def test_an_id_that_the_other_process_closed_while_the_request_was_unread_is_rejected(self):
        """Guards against locks as the only word between processes: they say nothing of a closed id."""
        received = self.open_request(self.old_session)
        check_rejected = self.queue_duplicate(self.start_new_process())
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        check_rejected()

    def test_an_id_of_a_process_that_has_ended_meanwhile_is_rejected(self):
        received = self.open_request(self.old_session)
        check_rejected = self.queue_duplicate(self.start_new_process())
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        self.old.terminate()
        self.old.wait(WAIT)
        check_rejected()

    def test_ids_are_locked_again_in_a_file_that_was_deleted(self):
        """Guards against a cleaner of temporary files that makes the processes use two files."""
        self.open_request(self.old_session)
        os.remove(f"{self.tmpdir.name}/cedarmill-n0-calls.json")
        new_session = self.start_new_process()
        other = CallIdLocks("n0")
        other.path = f"{self.tmpdir.name}/cedarmill-n0-calls.json"
        self.wait_for(lambda: is_held_by_sibling(other, CALL_ID.encode()))
        self.check_rejected(new_session)


class LocksUnavailable(TwoProcessesCase):
    """On a file system without record locks, the processes do not know each other's ids."""

    def arm_initial_faults(self) -> None:
        self.plan.arm(Fault("lockf", "ENOLCK", times=0))

    def test_requests_are_served_by_one_process_and_refused_beside_a_sibling(self):
        received = self.open_request(self.old_session)
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        new_session = self.start_new_process()
        self.check_rejected(new_session, 503)
        self.old.kill()
        self.wait_log("that live: 0")
        self.open_request(new_session).done()
        self.assertEqual(new_session.answer()[0], 200)
        self.assertTrue([line for line in self.log if "ids of open requests not shared" in line])


class QueuedRequests(RawClientCase):
    """Requests that a client sends ahead, which are served after the one before."""

    executor_count = 2

    def test_a_queued_request_with_an_id_that_was_open_when_it_was_read_is_rejected(self):
        """Guards against a look-up at the request's turn only, when the first client has its answer."""
        usual = self.client().ask("issue", **OPEN_ID_HEADERS)
        received = self.next_request()
        sock = self.raw_client()
        sock.sendall(raw(2) + DUPLICATE + raw(3))
        first = self.next_request()
        received.done()
        self.assertEqual(usual.answer()[0], 200)
        first.done()
        third = self.next_request()
        self.assertEqual(third.headers["X-Call-Id"], "raw3")
        third.done()
        stream = sock.makefile("rb")
        self.assertEqual([read_status(stream) for _ in range(3)], [200, 409, 200])

    def test_the_id_of_a_queued_request_is_its_own(self):
        """Guards against a bad client that has a queued request's id run before it, so that it runs twice."""
        sock = self.raw_client()
        sock.sendall(raw(2) + DUPLICATE)
        first = self.next_request()
        self.assertEqual(self.client().ask("issue", **OPEN_ID_HEADERS).answer()[0], 409)
        first.done()
        second = self.next_request()
        self.assertEqual(second.headers["X-Call-Id"], CALL_ID)
        second.done()
        stream = sock.makefile("rb")
        self.assertEqual([read_status(stream) for _ in range(2)], [200, 200])
        self.client().ask("issue", **OPEN_ID_HEADERS)  # The id is closed again.
        self.next_request().done()

    def test_the_id_of_a_queued_request_is_closed_when_its_client_leaves(self):
        sock = self.raw_client()
        sock.sendall(raw(2) + DUPLICATE)
        first = self.next_request()
        sock.close()
        self.assertTrue(first.connection.ended.wait(WAIT))  # The node cancels the attempt.
        client = self.client().ask("issue", **OPEN_ID_HEADERS)
        self.next_request().done()
        self.assertEqual(client.answer()[0], 200)


class ReadAfterTheAnswer(RawClientCase):
    """Guards against an id that is compared only when it is read, so that a request runs twice: review/6."""

    executor_count = 2

    def setUp(self) -> None:
        super().setUp()
        self.usual = self.client().ask("issue", **OPEN_ID_HEADERS)
        self.received = self.next_request()

    def finish_usual(self) -> None:
        """Let the open request end, which the node may answer later."""
        self.received.done()
        self.assertEqual(self.received.headers["X-Call-Id"], CALL_ID)

    def check_statuses(self, sock: socket.socket, statuses: list[int]) -> None:
        """Check the answers to the usual client and to `sock`, and that nothing reaches an executor."""
        self.assertEqual(self.usual.answer()[0], 200)
        stream = sock.makefile("rb")
        self.assertEqual([read_status(stream) for _ in statuses], statuses)
        self.assertEqual([executor.received.qsize() for executor in self.executors], [0, 0])

    def pause(self) -> None:
        """Hold the node up until `resume`."""
        self.process.send_signal(signal.SIGSTOP)
        self.wait_for(self._is_stopped)

    def resume(self) -> None:
        """Let the node go on after it was held up for HELD_UP_S at least."""
        time.sleep(HELD_UP_S)
        self.process.send_signal(signal.SIGCONT)

    def test_behind_paused_reading(self):
        """The node reads no further while requests of the same client wait."""
        sock = self.raw_client()
        sock.sendall(raw(2) + raw(3))
        second = self.next_request()
        sock.sendall(DUPLICATE)
        self.finish_usual()
        self.assertEqual(self.usual.sock.recv(1, socket.MSG_PEEK), b"H")  # It is answered.
        second.done()
        self.next_request().done()
        self.check_statuses(sock, [200, 200, 409])
        self.wait_log("409: sent before its x-call-id closed")

    def test_while_the_node_is_held_up(self):
        """The executor's answer and the duplicate come together, and the answer is read first."""
        sock = self.raw_client()
        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(read_status(sock.makefile("rb")), 200)
        self.wait_until_read()  # Else the system may still report this socket first.
        self.pause()
        self.finish_usual()
        sock.sendall(DUPLICATE)
        self.resume()
        self.check_statuses(sock, [409])

    def test_in_the_accept_backlog(self):
        """The connection comes while the node is held up, behind more than are accepted in one turn."""
        self.pause()
        self.finish_usual()
        silent = [self.raw_client() for _ in range(ACCEPT_BATCH + 1)]
        sock = self.raw_client()
        sock.sendall(DUPLICATE)
        self.resume()
        self.check_statuses(sock, [409])
        self.assertEqual(len(silent), ACCEPT_BATCH + 1)

    def test_begun_before_the_answer(self):
        """The last byte comes after the answer, the id while the other request was open."""
        sock = self.raw_client()
        sock.sendall(raw(2))
        self.next_request().done()
        self.assertEqual(read_status(sock.makefile("rb")), 200)
        sock.sendall(DUPLICATE[:-1])
        self.wait_until_read()
        self.finish_usual()
        self.assertEqual(self.usual.sock.recv(1, socket.MSG_PEEK), b"H")
        sock.sendall(DUPLICATE[-1:])
        self.check_statuses(sock, [409])

    def wait_until_read(self) -> None:
        """Return once the node has read all that was sent before."""
        client = self.client()
        client.request("GET", "/ready")
        self.assertEqual(client.answer()[0], 200)


class Closed(unittest.TestCase):
    """The ids of requests that ended a short time ago."""

    def setUp(self) -> None:
        self.ids = ClosedIds(12_000_000)

    def test_the_last_closing_counts(self):
        for now in (1, 3):
            self.ids.add(b"a", now)
        self.assertEqual(self.ids.last_closing(b"a"), Closing(3, True))
        self.assertEqual(self.ids.last_closing(b"b"), Closing(-1, False))

    def test_ids_are_kept_for_the_longest_deadline(self):
        self.ids.add(b"a", 1)
        self.ids.add(b"b", 12_000_001)
        self.assertEqual(self.ids.last_closing(b"a"), Closing(1, True))
        self.ids.add(b"c", 12_000_002)
        self.assertEqual(self.ids.last_closing(b"a"), Closing(-1, False))
        self.assertEqual(self.ids.last_closing(b"b"), Closing(12_000_001, True))

    def test_what_was_forgotten_early_is_uncertain(self):
        """Guards against memory that grows with the rate, and against a duplicate that is served for it."""
        for number in range(MAX_CLOSED_IDS + 2):
            self.ids.add(b"%d" % number, number)
        self.assertEqual(len(self.ids.items()), MAX_CLOSED_IDS)
        self.assertEqual(self.ids.last_closing(b"0"), Closing(1, False))


class Table(unittest.TestCase):
    """The closed ids that the processes of a node share."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with mock.patch.dict(os.environ, TMPDIR=folder.name):
            self.own, self.other = ClosedIdTable("n0"), ClosedIdTable("n0")

    def test_the_other_process_finds_when_an_id_was_closed(self):
        self.own.record(b"a", 5)
        self.assertEqual(self.other.last_closing(b"a", 9), Closing(5, True))
        self.assertEqual(self.other.last_closing(b"b", 9), Closing(0, False))

    def test_a_time_of_an_earlier_boot_counts_for_nothing(self):
        self.own.record(b"a", 50)
        self.assertEqual(self.other.last_closing(b"a", 9), Closing(-1, False))

    def test_an_id_whose_slot_was_taken_meanwhile_is_uncertain(self):
        with mock.patch.object(closed_id_table, "SLOT_COUNT", 1):
            self.own.record(b"a", 5)
            self.own.record(b"b", 7)
            self.assertEqual(self.other.last_closing(b"a", 9), Closing(7, False))

    def test_a_table_that_cannot_be_had_tells_nothing(self):
        self.own.path = "/proc/none/closed-calls.json"
        self.own.record(b"a", 5)
        self.assertIsNone(self.own.last_closing(b"a", 9))

    def test_a_table_that_was_deleted_is_made_anew(self):
        self.own.record(b"a", 5)
        os.remove(self.own.path)
        self.own.close_if_removed()
        self.own.record(b"a", 6)
        self.assertEqual(self.other.last_closing(b"a", 9), Closing(6, True))


class Locks(unittest.TestCase):
    def test_ids_have_different_offsets(self):
        ids = [b"%016x" % number for number in range(20_000)] + [b"a" * length for length in range(1, 257)]
        offsets = {call_id_locks.id_checksum(call_id) for call_id in ids}
        self.assertEqual(len(offsets), len(ids))
        self.assertLess(max(offsets), 2**62)

    def test_a_lock_that_cannot_be_had_is_unavailable(self):
        locks = CallIdLocks("n0")
        locks.path = "/proc/none/calls.json"
        self.assertIs(locks.lock(b"a"), LockResult.UNAVAILABLE)
        self.assertFalse(is_held_by_sibling(locks, b"a"))
        locks.unlock(b"a")


if __name__ == "__main__":
    unittest.main()
