"""A request with the id of an open one is rejected, also where another process of the node holds that one."""

import os
import signal
import unittest

from cedarmill.net.upgrade import call_id_locks
from cedarmill.net.upgrade.call_id_locks import CallIdLocks, LockResult
from tests.net.test_client_cancellation import RawClientCase, raw
from tests.net.test_upgrade import InheritedSocketCase
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT, Client, ReceivedRequest
from tests.support.system_call_faults import Fault

CALL_ID = "0123456789abcdef"
OPEN_ID_HEADERS = {"X-Call-Id": CALL_ID}


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
        duplicate = raw(1, "issue").replace(b"raw1", CALL_ID.encode())
        new_session.sock.sendall(raw(2) + duplicate)
        first = self.executors[0].next_request()
        received.done()
        self.assertEqual(self.old_session.answer()[0], 200)
        first.done()
        answers = new_session.sock.makefile("rb")
        text = b"".join(iter(answers.readline, b"a req with this x-call-id is open\n"))
        self.assertEqual((text.count(b"HTTP/1.1 200"), text.count(b"HTTP/1.1 409")), (1, 1))
        self.assertTrue(self.executors[0].received.empty())

    def test_ids_are_locked_again_in_a_file_that_was_deleted(self):
        """Guards against a cleaner of temporary files that makes the processes use two files."""
        self.open_request(self.old_session)
        os.remove(f"{self.tmpdir.name}/cedarmill-n0-calls.json")
        new_session = self.start_new_process()
        other = CallIdLocks("n0")
        other.path = f"{self.tmpdir.name}/cedarmill-n0-calls.json"
        self.wait_for(lambda: other.is_held_by_sibling(CALL_ID.encode()))
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
        duplicate = raw(1, "issue").replace(b"raw1", CALL_ID.encode())
        sock.sendall(raw(2) + duplicate + raw(3))
        first = self.next_request()
        received.done()
        self.assertEqual(usual.answer()[0], 200)
        first.done()
        third = self.next_request()
        self.assertEqual(third.headers["X-Call-Id"], "raw3")
        third.done()
        stream, statuses = sock.makefile("rb"), []
        while len(statuses) < 3:
            line = stream.readline()
            statuses += [int(line.split()[1])] if b"HTTP/1.1 " in line else []
        self.assertEqual(statuses, [200, 409, 200])


class Locks(unittest.TestCase):
    def test_ids_have_different_offsets(self):
        ids = [b"%016x" % number for number in range(20_000)] + [b"a" * length for length in range(1, 257)]
        offsets = {call_id_locks._offset(call_id) for call_id in ids}
        self.assertEqual(len(offsets), len(ids))
        self.assertLess(max(offsets), 2**62)

    def test_a_lock_that_cannot_be_had_is_unavailable(self):
        locks = CallIdLocks("n0")
        locks.path = "/proc/none/calls.json"
        self.assertIs(locks.lock(b"a"), LockResult.UNAVAILABLE)
        self.assertFalse(locks.is_held_by_sibling(b"a"))
        locks.unlock(b"a")


if __name__ == "__main__":
    unittest.main()
