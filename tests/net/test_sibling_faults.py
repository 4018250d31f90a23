"""A process that cannot write its own document: its sibling counts it while it lives, and no longer."""

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
    SiblingProcess,
)
from cedarmill.net.upgrade.state_file import InPlaceStateFile
from tests.net.test_upgrade import LearnedSlots
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.system_call_faults import Fault

LATE_S = 2.5  # from a death to the look that counts it: the silence, and what the machine may take
OTHER_PID = 1  # no node of a test has it


def write_document(path: str, clock_us: int, slots: float = 5.0) -> None:
    """The document of another process, written at that time of the machine's clock."""
    body = json.dumps({"out": {"s-0": [slots, 1.0]}, "room": [3, 5]}).encode()
    file = InPlaceStateFile(path)
    file.write(sealed_document.seal("out", "n0", ClockReading(0, clock_us, boot_id()), body))
    file.close()


def claim(path: str) -> int:
    """The claim of the process that writes this document, as a descriptor that holds it."""
    owner = os.open(path, os.O_RDWR)
    fcntl.flock(owner, fcntl.LOCK_EX | fcntl.LOCK_NB)
    return owner


class TwoProcesses(LearnedSlots, FaultyNodeCase):
    """An old process with five jobs out and a new one; the old one's writes can be made to fail."""

    def setUp(self) -> None:
        super().setUp()
        self.learn(free=5)
        self.hold_all_slots()
        self.old = self.process
        self.addCleanup(self.end_old)

    def end_old(self) -> None:
        if self.old.poll() is None:
            self.old.kill()
        self.old.communicate()

    def start_sibling(self) -> None:
        """Start the new process, and wait till it counts the old one."""
        self.next_process()
        if not any("that live: 1" in line for line in self.log):
            self.wait_log("that live: 1")

    def silence(self, name: str) -> None:
        """The old process's writes fail from now on, and for longer than it may be silent."""
        self.plan.arm(Fault("pwrite", name, match=f"out-{self.old.pid}.json", times=0))
        until = time.monotonic() + HEARTBEAT_TIMEOUT_US / 1e6 + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertGreater(self.plan.hits("pwrite"), 3)  # it tried, and failed

    def check_counted_till_killed(self) -> None:
        """The new process never took the old one for dead; once killed, it counts no more."""
        self.reload("no configuration")
        self.wait_log("reload failed")  # all that it had to say before has been read
        self.assertFalse([line for line in self.log if "that live: 0" in line])
        self.assertTrue(Path(f"{self.tmpdir.name}/cedarmill-n0-out-{self.old.pid}.json").exists())
        self.check_counts_no_more_when_killed()

    def check_counts_no_more_when_killed(self) -> None:
        began = time.monotonic()
        self.old.kill()
        self.wait_log("that live: 0")
        self.assertLess(time.monotonic() - began, HEARTBEAT_TIMEOUT_US / 1e6 + LATE_S)


class CannotWrite(TwoProcesses):
    def test_a_process_with_a_full_disk_counts_till_it_dies(self):
        """It counted as gone after 2 s: the new process took its slots, and the node went over its limits."""
        self.start_sibling()
        self.silence("ENOSPC")
        self.check_counted_till_killed()

    def test_a_process_whose_disk_is_broken_counts_till_it_dies(self):
        self.start_sibling()
        self.silence("EIO")
        self.check_counted_till_killed()

    def test_a_process_that_starts_meanwhile_counts_it(self):
        self.silence("ENOSPC")
        self.start_sibling()
        self.check_counted_till_killed()

    def test_it_tells_again_once_it_can(self):
        self.start_sibling()
        self.silence("ENOSPC")
        self.plan.arm()
        told = InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-out-{self.old.pid}.json")
        self.addCleanup(told.close)
        before = told.texts()
        self.wait_for(lambda: told.texts() != before)
        self.check_counted_till_killed()


class NoLocks(TwoProcesses):
    """A file system that knows no locks: as before, a process lives as long as it writes."""

    def arm_first(self) -> None:
        self.plan.arm(Fault("flock", "ENOLCK", times=0))

    def test_processes_count_while_they_write(self):
        self.start_sibling()
        self.assertGreater(self.plan.hits("flock"), 0)
        self.check_counts_no_more_when_killed()


class LeftDocument(LearnedSlots, FaultyNodeCase):
    """A document that the test holds, as the process of that number would."""

    def setUp(self) -> None:
        super().setUp()
        self.document = f"{self.tmpdir.name}/cedarmill-n0-out-{OTHER_PID}.json"

    def write_old(self) -> None:
        write_document(f"{self.document}.new", EventLoopDriver.now() - DEAD_FILE_RETENTION_US - 5_000_000)

    def test_an_old_document_of_a_living_process_counts_and_stays(self):
        """It was removed: its owner wrote on, once it could, into a file that nobody read."""
        self.write_old()
        owner = claim(f"{self.document}.new")
        os.replace(f"{self.document}.new", self.document)  # found whole, and claimed already
        self.wait_log("that live: 1")
        self.assertTrue(os.path.exists(self.document))
        os.close(owner)  # it has died
        self.wait_log("that live: 0")
        self.wait_for(lambda: not os.path.exists(self.document))

    def test_an_old_document_of_a_dead_process_does_not_count_and_goes(self):
        self.write_old()
        os.replace(f"{self.document}.new", self.document)
        self.wait_for(lambda: not os.path.exists(self.document))
        self.reload("no configuration")
        self.wait_log("reload failed")
        self.assertFalse([line for line in self.log if "that live" in line])


class Told(unittest.TestCase):
    """What the balancer and the limits are told, on a clock of the test's."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        patch = mock.patch.dict(os.environ, TMPDIR=folder.name)
        patch.start()
        self.addCleanup(patch.stop)
        self.timers, self.shared = Timers(), []
        driver = EventLoopDriver(mock.Mock(), self.timers)
        discovery = mock.Mock()
        discovery.reader.numbers, discovery.reader.names = {"s-0": 4}, {4: "s-0"}
        self.process = SiblingProcess(
            driver, discovery, "n0", lambda: ConnectionCounts(0, 0), self.shared.append
        )
        self.process.dispatch = self.dispatch = mock.Mock()
        self.dispatch.balancer.executors = {}
        self.document = f"{folder.name}/cedarmill-n0-out-{OTHER_PID}.json"
        self.now = EventLoopDriver.now()
        write_document(self.document, self.now)
        self.owner = claim(self.document)
        self.process.start()
        self.addCleanup(self.process.remove_document)

    def pass_by(self, span_us: int) -> None:
        until = self.now + span_us
        while self.now < until:
            self.now += POLL_INTERVAL_ALONE_US
            for call in self.timers.sweep(self.now):
                call(self.now)

    def usage(self) -> list[tuple]:
        return [call.args[1:] for call in self.dispatch.set_sibling_usage.call_args_list]

    def test_slots_and_limits_are_held_as_told_last_till_the_claim_ends(self):
        self.pass_by(DEAD_FILE_RETENTION_US * 2)
        self.assertEqual(self.usage(), [(4, 5.0, 1.0)])
        self.assertEqual(self.shared, [[ConnectionCounts(3, 5)]])
        os.close(self.owner)
        self.pass_by(POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.usage()[1:], [(4, 0.0, 0.0)])
        self.assertEqual(self.shared[1:], [[]])
        self.assertFalse(os.path.exists(self.document))

    def test_what_it_tells_anew_counts_at_once(self):
        self.pass_by(DEAD_FILE_RETENTION_US)
        write_document(self.document, self.now, slots=2.0)
        self.pass_by(POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.usage(), [(4, 5.0, 1.0), (4, 2.0, 1.0)])
        os.close(self.owner)

    def test_a_lock_that_cannot_be_asked_for_counts_as_none(self):
        """A process that nothing shows to live is judged by its signs of life alone."""
        with mock.patch("fcntl.flock", side_effect=OSError(37, "No locks available")):
            self.pass_by(HEARTBEAT_TIMEOUT_US + POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.usage(), [(4, 5.0, 1.0), (4, 0.0, 0.0)])
        os.close(self.owner)

    def test_two_that_look_at_a_dead_process_do_not_take_each_other_for_it(self):
        os.close(self.owner)
        looker = os.open(self.document, os.O_RDWR)
        fcntl.flock(looker, fcntl.LOCK_SH)
        self.pass_by(HEARTBEAT_TIMEOUT_US + POLL_INTERVAL_ALONE_US * 2)
        self.assertEqual(self.usage()[1:], [(4, 0.0, 0.0)])
        os.close(looker)

    def test_a_document_that_was_removed_is_claimed_anew(self):
        own = self.process.own_file.path
        os.remove(own)
        self.pass_by(POLL_INTERVAL_ALONE_US * 10)
        with self.assertRaises(BlockingIOError):
            claim(own)
        os.close(self.owner)


if __name__ == "__main__":
    unittest.main()
