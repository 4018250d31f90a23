"""A supervisor's process: what cannot run is said in a line, and it goes on; bad files are refused in one."""

import errno
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from cedarmill.cluster.messages import Orders
from cedarmill.cluster.supervision import StartProcess, StopProcess, StoreUnits
from cedarmill.lab.cluster.ports import free_port
from cedarmill.net.cluster.supervisor import SupervisorProcess
from cedarmill.net.cluster.supervisor_actions import UNITS_FILE_NAME
from cedarmill.values import ClusterOptions, SupervisorOptions, UnitOptions
from tests.support.node_case import ROOT
from tests.support.replica_case import LONG, cli
from tests.support.system_call_faults import Fault, FaultPlan

FILE = """<steward version="1" name="s0" data="{data}">
<fleet cluster="main"><keeper name="k0" address="127.0.0.1:{keeper}"/></fleet>
<unit name="n0" version="v1" listen="127.0.0.1:{listen}"><run version="v1" command="{command}"/></unit>
</steward>"""


class Supervisors(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = Path(folder.name) / "steward.xml"
        self.words = {"data": f"{folder.name}/data", "keeper": free_port(), "listen": free_port(),
                      "command": "/no/such/command"}  # fmt: skip

    def test_a_command_that_is_not_there_is_said_and_tried_again(self):
        self.path.write_text(FILE.format(**self.words))
        command = [sys.executable, "-m", "cedarmill.cli", "steward", "-c", str(self.path)]
        process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        self.addCleanup(process.kill)
        lines = []
        while not any("s0 runs n0" in line for line in lines):
            lines.append(process.stderr.readline())
        process.terminate()
        rest = process.communicate(timeout=LONG)[1]
        said = "".join(lines) + rest
        self.assertIn("unit n0: cannot start yet: version v1: No such file or directory", said)
        self.assertNotIn("Traceback", said)
        self.assertEqual(process.returncode, 0)

    def test_bad_files_are_refused_in_one_line(self):
        good = FILE.format(**self.words)
        cases = (
            (('version="v1" listen', 'version="v2" listen'), "no <run> of the version 'v2'"),
            (('command="/no', 'command="&apos;/no'), "<run> command"),
            (("<fleet cluster", "<flet cluster"), "flet"),
            (('listen="127.0.0.1', 'listen="here'), "ADDRESS:PORT"),
        )
        for change, words in cases:
            self.path.write_text(good.replace(*change))
            done = cli("steward", "-c", str(self.path))
            self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
            self.assertIn(words, done.stderr)

    def test_a_disk_that_fails_from_the_start_is_waited_for(self):
        self.path.write_text(FILE.format(**self.words))
        plan = FaultPlan(self.folder)
        plan.arm(Fault("stat", "EIO", match=UNITS_FILE_NAME, times=0))
        command = plan.command("cedarmill.cli", "steward", "-c", str(self.path))
        for end in (False, True):
            with self.subTest(end=end):
                process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
                self.addCleanup(process.kill)
                self.wait_for(process, "the disk failed")
                if not end:
                    plan.arm()
                    self.wait_for(process, "s0 runs n0")
                process.terminate()
                process.communicate(timeout=LONG)
                self.assertEqual(process.returncode, 0)
                plan.arm(Fault("stat", "EIO", match=UNITS_FILE_NAME, times=0))

    def wait_for(self, process: subprocess.Popen, words: str) -> None:
        """Read its log up to a line with these words."""
        line = process.stderr.readline()
        while words not in line:
            self.assertNotEqual(line, "", f"it ended without {words!r}")
            line = process.stderr.readline()


class InProcess(unittest.TestCase):
    """A supervisor of one unit in this process, with faults put in below it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        runs = ("sleep", "60")
        self.unit = UnitOptions("n0", "v1", f"127.0.0.1:{free_port()}", {"v1": runs, "v2": runs}, {})
        self.started: list[SupervisorProcess] = []
        self.addCleanup(self.end_all)
        self.supervisor = self.start()

    def start(self) -> SupervisorProcess:
        """A supervisor on the same folder, as it is before it has looked at anything."""
        fleet = ClusterOptions("main", {"k0": "127.0.0.1:1"})
        supervisor = SupervisorProcess(SupervisorOptions("s0", self.folder, fleet, (self.unit,)))
        supervisor.membership.start = lambda: None
        self.started.append(supervisor)
        return supervisor

    def end_all(self) -> None:
        for supervisor in self.started:
            for unit in supervisor.units.values():
                for child in unit.children.values():
                    child.kill()
                    child.wait(LONG)
                if unit.socket is not None:
                    unit.socket.close()
            supervisor.loop.close()

    def full_disk(self):
        """The disk is full until the block ends."""
        error = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return mock.patch.object(self.supervisor.directory, "replace", side_effect=error)

    def order(self, version: str, epoch: int) -> None:
        """An order of the cluster comes while the lease holds."""
        self.supervisor.membership.session.lease_until = self.supervisor.driver.now() + 60_000_000
        self.supervisor.on_orders(Orders(epoch, units={"n0": (version, epoch)}))

    def versions(self) -> list[str]:
        """Of the processes that run."""
        processes = self.supervisor.core.units["n0"].processes
        children = self.supervisor.units["n0"].children
        return [processes[life].version for life, child in children.items() if child.poll() is None]

    def test_a_disk_that_fails_holds_changes_back_and_nothing_runs_that_was_not_stored(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        unit = supervisor.core.units["n0"]
        supervisor.actions.add(supervisor.core.on_ready(supervisor.driver.now(), "n0", unit.current))
        with self.full_disk():
            self.order("v2", 1)
            self.order("v1", 2)
            for _ in range(3):
                supervisor.check_processes(supervisor.driver.now())
                supervisor.actions.retry(supervisor.driver.now())
            self.assertEqual(self.versions(), ["v1"])
            self.assertEqual(supervisor.report().units["n0"][0], "v2")
        supervisor.actions.retry(supervisor.driver.now())
        self.assertFalse(supervisor.actions.is_failing)
        self.assertEqual(sorted(self.versions()), ["v1", "v2"])
        stored = json.loads(supervisor.directory.read(UNITS_FILE_NAME))
        self.assertEqual({one["version"] for one in stored["n0"]["lives"].values()}, {"v1", "v2"})
        supervisor.check_processes(supervisor.driver.now())
        self.assertEqual((unit.applied_epoch, unit.version), (2, "v1"))

    def test_an_end_seen_while_the_disk_fails_is_told_once_it_works(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        [(life, child)] = supervisor.units["n0"].children.items()
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"{}")])
            child.kill()
            child.wait(LONG)
            supervisor.check_processes(supervisor.driver.now())
            self.assertEqual((supervisor.report().ended_members, len(supervisor.actions.pending)), ([], 1))
        supervisor.actions.retry(supervisor.driver.now())
        supervisor.check_processes(supervisor.driver.now())
        self.assertEqual(supervisor.report().ended_members, [f"node:n0:{life}"])

    def test_of_two_documents_that_wait_the_newer_one_is_stored_last(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"older")])
            supervisor.actions.add([StoreUnits(b"newer")])
        supervisor.actions.retry(supervisor.driver.now())
        self.assertEqual(supervisor.directory.read(UNITS_FILE_NAME), b"newer")

    def test_what_is_told_to_end_late_has_its_whole_time(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        now = supervisor.driver.now()
        [process] = supervisor.core.units["n0"].processes.values()
        process.stopping, process.kill_at = True, now + 5
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"{}"), StopProcess("n0", process.incarnation)])
        supervisor.actions.retry(supervisor.actions._failed_at + 1000)
        self.assertEqual(process.kill_at, now + 5 + 1000)

    def test_the_waits_between_two_tries_grow_to_a_bound(self):
        supervisor, waits = self.supervisor, []
        with self.full_disk():
            supervisor.begin(supervisor.driver.now())
            for _ in range(7):
                supervisor.actions.retry(0)
                waits.append(supervisor.actions.retry_delay_us)
        self.assertEqual(waits, [200_000, 400_000, 800_000, 1_600_000, 2_000_000, 2_000_000, 2_000_000])
        self.assertEqual(self.versions(), [])

    def test_a_process_is_not_taken_for_ended_where_nobody_can_tell(self):
        self.supervisor.begin(self.supervisor.driver.now())
        [life] = self.supervisor.core.units["n0"].processes
        child = self.supervisor.units["n0"].children.pop(life)  # as an adopted one: not waited for
        self.addCleanup(child.wait, LONG)
        self.addCleanup(child.kill)
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOMEM):
            with mock.patch.object(Path, "read_text", side_effect=OSError(number, os.strerror(number))):
                self.supervisor.check_processes(self.supervisor.driver.now())
                self.assertEqual(self.supervisor.report().ended_members, [])
                successor = self.start()
                successor.begin(successor.driver.now())
                self.assertEqual(
                    (successor.report().ended_members, successor.core.units["n0"].current), ([], life)
                )
                self.assertIsNotNone(successor.timers.next_due)

    def test_a_process_whose_id_was_not_stored_is_found_again(self):
        with mock.patch.object(self.supervisor.actions, "add", lambda actions: None):
            self.supervisor.begin(self.supervisor.driver.now())  # nothing was started or stored yet
        [life] = self.supervisor.core.units["n0"].processes
        self.supervisor.directory.replace(UNITS_FILE_NAME, msgspec.json.encode(self.supervisor.core.units))
        with mock.patch.object(self.supervisor.actions, "add", lambda actions: None):  # killed before it can
            self.supervisor.start_process(StartProcess("n0", "v1", life))
        [child] = self.supervisor.units["n0"].children.values()
        successor = self.start()
        successor.begin(successor.driver.now())
        self.assertEqual(successor.report().ended_members, [])
        self.assertEqual(successor.core.units["n0"].processes[life].pid, child.pid)

    def test_only_an_address_in_use_asks_the_process_before_to_end(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        [(life, child)] = supervisor.units["n0"].children.items()
        supervisor.units["n0"].socket.close()
        supervisor.units["n0"].socket = None
        for number, stopping in ((errno.EMFILE, False), (errno.ENOBUFS, False), (errno.EADDRINUSE, True)):
            with self.subTest(number=number):
                error = OSError(number, os.strerror(number))
                with mock.patch("cedarmill.net.cluster.unit_processes.listening_socket", side_effect=error):
                    supervisor.start_process(StartProcess("n0", "v2", "another"))
                self.assertEqual(supervisor.core.units["n0"].processes[life].stopping, stopping)


if __name__ == "__main__":
    unittest.main()
