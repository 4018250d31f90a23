"""A process that cannot write its document: its sibling counts it while it is alive, and no longer."""

import fcntl
import json
import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from cedarmill.admin import sealed_document
from cedarmill.admin.resource_split import ConnectionCounts
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.timers import Timers
from cedarmill.net.loop import EventLoopDriver, boot_id
from cedarmill.net.upgrade.sibling import (
    DEAD_FILE_RETENTION_US,
    HEARTBEAT_TIMEOUT_US,
    POLL_INTERVAL_ALONE_US,
    SiblingExchange,
)
from cedarmill.net.upgrade.state_file import InPlaceStateFile
from tests.net.test_upgrade import LearnedSlotsCase
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.system_call_faults import Fault

DETECTION_SLACK_S = 2.5  # beyond the heartbeat timeout, for a death to be detected on a busy machine
OTHER_PID = 1  # never the process id of a test's node


def write_document(path: str, clock_us: int, slots: float = 5.0) -> None:
    """Write another process's document, dated `clock_us` on the machine's monotonic clock."""
    body = json.dumps({"out": {"s-0": [slots, 1.0]}, "room": [3, 5]}).encode()
    file = InPlaceStateFile(path)
    file.write(sealed_document.seal("out", "n0", ClockReading(0, clock_us, boot_id()), body))
    file.close()


def claim(path: str) -> int:
    """Lock a document as its owner does; return the descriptor that holds the lock."""
    owner = os.open(path, os.O_RDWR)
    fcntl.flock(owner, fcntl.LOCK_EX | fcntl.LOCK_NB)
    return owner


class TwoProcessesCase(LearnedSlotsCase, FaultyNodeCase):
    """An old process with five requests in flight, whose writes can be made to fail, and a new one."""

    def setUp(self) -> None:
        super().setUp()
        self.learn_slots(free_slots=5)
        self.occupy_all_slots()
        self.old = self.process
        self.addCleanup(self.end_old)

    def start_sibling(self) -> None:
        """Start the new process, and wait until it counts the old one."""
        self.start_successor()
        if not any("that live: 1" in line for line in self.log):
            self.wait_log("that live: 1")

    def fail_old_writes(self, error_name: str) -> None:
        """Make the old process's writes fail, and wait for longer than the heartbeat timeout."""
        self.plan.arm(Fault("pwrite", error_name, match=f"out-{self.old.pid}.json", times=0))
        until = time.monotonic() + HEARTBEAT_TIMEOUT_US / 1e6 + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertGreater(self.plan.hits("pwrite"), 3)  # the fault was injected

    def check_counted_until_killed(self) -> None:
        """Check that the new process never counted the old one as dead, and does so once it is killed."""
        self.reload("no configuration")
        self.wait_log("reload failed")  # all earlier lines of the log have been read
        self.assertFalse([line for line in self.log if "that live: 0" in line])
        self.assertTrue(Path(f"{self.tmpdir.name}/cedarmill-n0-out-{self.old.pid}.json").exists())
        self.check_not_counted_once_killed()

    def check_not_counted_once_killed(self) -> None:
        """Kill the old process, and check that the new one soon counts no sibling."""
        killed_at = time.monotonic()
        self.old.kill()
        self.wait_log("that live: 0")
        self.assertLess(time.monotonic() - killed_at, HEARTBEAT_TIMEOUT_US / 1e6 + DETECTION_SLACK_S)


class WriteFaults(TwoProcessesCase):
    def test_process_with_a_full_disk_counts_until_it_dies(self):
        """Guards against reusing the slots and exceeding the limits of a process that is still alive."""
        self.start_sibling()
        self.fail_old_writes("ENOSPC")
        self.check_counted_until_killed()

    def test_process_with_a_disk_error_counts_until_it_dies(self):
        self.start_sibling()
        self.fail_old_writes("EIO")
        self.check_counted_until_killed()

    def test_process_with_a_full_disk_is_counted_by_a_sibling_started_later(self):
        self.fail_old_writes("ENOSPC")
        self.start_sibling()
        self.check_counted_until_killed()

    def test_process_writes_its_document_again_once_the_disk_has_space(self):
        self.start_sibling()
        self.fail_old_writes("ENOSPC")
        self.plan.arm()
        document = InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-out-{self.old.pid}.json")
        self.addCleanup(document.close)
        before = document.read_halves()
        self.wait_for(lambda: document.read_halves() != before)
        self.check_counted_until_killed()


class NoFileLocks(TwoProcessesCase):
    """On a file system without locks, a process counts as alive while it writes heartbeats."""

    def arm_initial_faults(self) -> None:
        self.plan.arm(Fault("flock", "ENOLCK", times=0))

    def test_processes_count_while_they_write(self):
        self.start_sibling()
        self.assertGreater(self.plan.hits("flock"), 0)
        self.check_not_counted_once_killed()


class OldDocument(LearnedSlotsCase, FaultyNodeCase):
    """A sibling's document older than the retention of dead files; the test acts as its owner."""

    def setUp(self) -> None:
        super().setUp()
        self.document = f"{self.tmpdir.name}/cedarmill-n0-out-{OTHER_PID}.json"

    def write_old_document(self) -> None:
        write_document(f"{self.document}.new", EventLoopDriver.now() - DEAD_FILE_RETENTION_US - 5_000_000)

    def test_old_document_of_a_live_process_counts_and_is_kept(self):
        """Guards against removing it: its owner would go on writing to a file that nobody can open."""
        self.write_old_document()
        owner = claim(f"{self.document}.new")
        os.replace(f"{self.document}.new", self.document)  # appears complete and already locked
        self.wait_log("that live: 1")
        self.assertTrue(os.path.exists(self.document))
        os.close(owner)  # releases the lock, as the death of the owner does
        self.wait_log("that live: 0")
        self.wait_for(lambda: not os.path.exists(self.document))

    def test_old_document_of_a_dead_process_does_not_count_and_is_removed(self):
        self.write_old_document()
        os.replace(f"{self.document}.new", self.document)
        self.wait_for(lambda: not os.path.exists(self.document))
        self.reload("no configuration")
        self.wait_log("reload failed")
        self.assertFalse([line for line in self.log if "that live" in line])


class ReportedUsage(unittest.TestCase):
    """What `SiblingExchange` reports to the balancer and to the limits, on a clock that the test advances."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        patch = mock.patch.dict(os.environ, TMPDIR=folder.name)
        patch.start()
        self.addCleanup(patch.stop)
        self.timers, self.reported_counts = Timers(), []
        driver = EventLoopDriver(mock.Mock(), self.timers)
        discovery = mock.Mock()
        discovery.reader.numbers_by_name, discovery.reader.names_by_number = {"s-0": 4}, {4: "s-0"}
        self.process = SiblingExchange(
            driver, discovery, "n0", lambda: ConnectionCounts(0, 0), self.reported_counts.append
        )
        self.process.dispatch = self.dispatch = mock.Mock()
        self.dispatch.balancer.executors = {}
        self.document = f"{folder.name}/cedarmill-n0-out-{OTHER_PID}.json"
        self.now = EventLoopDriver.now()
        write_document(self.document, self.now)
        self.owner = claim(self.document)
        self.process.start()
        self.addCleanup(self.process.remove_document)

    def advance(self, span_us: int) -> None:
        """Advance the clock in poll intervals, and run the timers due at each step."""
        until = self.now + span_us
        while self.now < until:
            self.now += POLL_INTERVAL_ALONE_US
            for call in self.timers.sweep(self.now):
                call(self.now)

    def reported_usage(self) -> list[tuple]:
        """Return each report to the balancer: executor number, slots, memory."""
        return [call.args[1:] for call in self.dispatch.set_sibling_usage.call_args_list]

    def test_last_usage_and_counts_hold_until_the_claim_ends(self):
        self.advance(DEAD_FILE_RETENTION_US * 2)
        self.assertEqual(self.reported_usage(), [(4, 5.0, 1.0)])
        self.assertEqual(self.reported_counts, [[ConnectionCounts(3, 5)]])
        os.close(self.owner)
        self.advance(POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.reported_usage()[1:], [(4, 0.0, 0.0)])
        self.assertEqual(self.reported_counts[1:], [[]])
        self.assertFalse(os.path.exists(self.document))

    def test_changed_document_is_reported_at_the_next_poll(self):
        self.advance(DEAD_FILE_RETENTION_US)
        write_document(self.document, self.now, slots=2.0)
        self.advance(POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.reported_usage(), [(4, 5.0, 1.0), (4, 2.0, 1.0)])
        os.close(self.owner)

    def test_sibling_whose_lock_cannot_be_tested_counts_by_its_heartbeats(self):
        with mock.patch("fcntl.flock", side_effect=OSError(37, "No locks available")):
            self.advance(HEARTBEAT_TIMEOUT_US + POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.reported_usage(), [(4, 5.0, 1.0), (4, 0.0, 0.0)])
        os.close(self.owner)

    def test_lock_test_by_another_process_does_not_count_as_a_claim(self):
        os.close(self.owner)
        other_tester = os.open(self.document, os.O_RDWR)
        fcntl.flock(other_tester, fcntl.LOCK_SH)
        self.advance(HEARTBEAT_TIMEOUT_US + POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.reported_usage()[1:], [(4, 0.0, 0.0)])
        os.close(other_tester)

    def test_removed_document_is_recreated_and_claimed(self):
        own_path = self.process.own_file.path
        os.remove(own_path)
        self.advance(POLL_INTERVAL_ALONE_US * 10)
        with self.assertRaises(BlockingIOError):
            claim(own_path)
        os.close(self.owner)


if __name__ == "__main__":
    unittest.main()
