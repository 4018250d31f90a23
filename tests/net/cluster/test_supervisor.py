"""Tests of the process supervisor: missing commands, invalid settings, disk failures and adoption."""

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

SETTINGS = """<steward version="1" name="s0" data="{data}">
<fleet cluster="main"><keeper name="k0" address="127.0.0.1:{keeper}"/></fleet>
<unit name="n0" version="v1" listen="127.0.0.1:{listen}"><run version="v1" command="{command}"/></unit>
</steward>"""


class SupervisorCommand(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.path = Path(folder.name) / "steward.xml"
        self.settings = {"data": f"{folder.name}/data", "keeper": free_port(), "listen": free_port(),
                         "command": "/no/such/command"}  # fmt: skip

    def test_missing_command_is_logged_and_the_supervisor_continues(self):
        self.path.write_text(SETTINGS.format(**self.settings))
        command = [sys.executable, "-m", "cedarmill.cli", "steward", "-c", str(self.path)]
        process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        self.addCleanup(process.kill)
        lines = []
        while not any("s0 runs n0" in line for line in lines):
            lines.append(process.stderr.readline())
        process.terminate()
        remaining_log = process.communicate(timeout=LONG)[1]
        log_text = "".join(lines) + remaining_log
        self.assertIn("unit n0: cannot start yet: version v1: No such file or directory", log_text)
        self.assertNotIn("Traceback", log_text)
        self.assertEqual(process.returncode, 0)

    def test_invalid_settings_are_refused_with_a_one_line_error(self):
        valid_settings = SETTINGS.format(**self.settings)
        cases = (
            (('version="v1" listen', 'version="v2" listen'), "no <run> of the version 'v2'"),
            (('command="/no', 'command="&apos;/no'), "<run> command"),
            (("<fleet cluster", "<flet cluster"), "flet"),
            (('listen="127.0.0.1', 'listen="here'), "ADDRESS:PORT"),
        )
        for change, expected_text in cases:
            self.path.write_text(valid_settings.replace(*change))
            result = cli("steward", "-c", str(self.path))
            self.assertEqual((result.returncode, len(result.stderr.splitlines())), (2, 1), result.stderr)
            self.assertIn(expected_text, result.stderr)

    def test_supervisor_waits_for_a_disk_that_fails_at_the_start(self):
        self.path.write_text(SETTINGS.format(**self.settings))
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

    def wait_for(self, process: subprocess.Popen, text: str) -> None:
        """Read the log of a process up to a line with the given text."""
        line = process.stderr.readline()
        while text not in line:
            self.assertNotEqual(line, "", f"the log ended without {text!r}")
            line = process.stderr.readline()


class SupervisorInTestProcess(unittest.TestCase):
    """A supervisor of one unit in the test process, with injected faults."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        command = ("sleep", "60")
        self.unit = UnitOptions("n0", "v1", f"127.0.0.1:{free_port()}", {"v1": command, "v2": command}, {})
        self.started: list[SupervisorProcess] = []
        self.addCleanup(self.end_all)
        self.supervisor = self.start()

    def start(self) -> SupervisorProcess:
        """Create a supervisor on the test's data folder, without calling `begin`."""
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
        """Return a context manager that makes all writes fail with ENOSPC."""
        error = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return mock.patch.object(self.supervisor.directory, "replace", side_effect=error)

    def order(self, version: str, epoch: int) -> None:
        """Deliver an order of the cluster, with a valid lease."""
        self.supervisor.membership.session.lease_until = self.supervisor.driver.now() + 60_000_000
        self.supervisor.on_orders(Orders(epoch, units={"n0": (version, epoch)}))

    def running_versions(self) -> list[str]:
        """Return the versions of the running processes."""
        processes = self.supervisor.core.units["n0"].processes
        children = self.supervisor.units["n0"].children
        return [
            processes[incarnation].version for incarnation, child in children.items() if child.poll() is None
        ]

    def test_no_process_starts_before_its_order_is_stored(self):
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
            self.assertEqual(self.running_versions(), ["v1"])
            self.assertEqual(supervisor.report().units["n0"][0], "v2")
        supervisor.actions.retry(supervisor.driver.now())
        self.assertFalse(supervisor.actions.is_failing)
        self.assertEqual(sorted(self.running_versions()), ["v1", "v2"])
        stored = json.loads(supervisor.directory.read(UNITS_FILE_NAME))
        self.assertEqual({process["version"] for process in stored["n0"]["lives"].values()}, {"v1", "v2"})
        supervisor.check_processes(supervisor.driver.now())
        self.assertEqual((unit.applied_epoch, unit.version), (2, "v1"))

    def test_process_exit_during_a_disk_failure_is_reported_after_recovery(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        [(incarnation, child)] = supervisor.units["n0"].children.items()
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"{}")])
            child.kill()
            child.wait(LONG)
            supervisor.check_processes(supervisor.driver.now())
            self.assertEqual((supervisor.report().ended_members, len(supervisor.actions.pending)), ([], 1))
        supervisor.actions.retry(supervisor.driver.now())
        supervisor.check_processes(supervisor.driver.now())
        self.assertEqual(supervisor.report().ended_members, [f"node:n0:{incarnation}"])

    def test_pending_documents_are_stored_in_order(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"older")])
            supervisor.actions.add([StoreUnits(b"newer")])
        supervisor.actions.retry(supervisor.driver.now())
        self.assertEqual(supervisor.directory.read(UNITS_FILE_NAME), b"newer")

    def test_delayed_stop_extends_the_stop_timeout(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        now = supervisor.driver.now()
        [process] = supervisor.core.units["n0"].processes.values()
        process.stopping, process.kill_at = True, now + 5
        with self.full_disk():
            supervisor.actions.add([StoreUnits(b"{}"), StopProcess("n0", process.incarnation)])
        supervisor.actions.retry(supervisor.actions._failed_at + 1000)
        self.assertEqual(process.kill_at, now + 5 + 1000)

    def test_retry_delay_doubles_up_to_its_maximum(self):
        supervisor, delays = self.supervisor, []
        with self.full_disk():
            supervisor.begin(supervisor.driver.now())
            for _ in range(7):
                supervisor.actions.retry(0)
                delays.append(supervisor.actions.retry_delay_us)
        self.assertEqual(delays, [200_000, 400_000, 800_000, 1_600_000, 2_000_000, 2_000_000, 2_000_000])
        self.assertEqual(self.running_versions(), [])

    def test_process_with_unreadable_state_counts_as_alive(self):
        self.supervisor.begin(self.supervisor.driver.now())
        [incarnation] = self.supervisor.core.units["n0"].processes
        # Without its entry in `children`, the process is handled as an adopted one.
        child = self.supervisor.units["n0"].children.pop(incarnation)
        self.addCleanup(child.wait, LONG)
        self.addCleanup(child.kill)
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOMEM):
            with mock.patch.object(Path, "read_text", side_effect=OSError(number, os.strerror(number))):
                self.supervisor.check_processes(self.supervisor.driver.now())
                self.assertEqual(self.supervisor.report().ended_members, [])
                successor = self.start()
                successor.begin(successor.driver.now())
                self.assertEqual(
                    (successor.report().ended_members, successor.core.units["n0"].current), ([], incarnation)
                )
                self.assertIsNotNone(successor.timers.next_due)

    def test_process_without_a_stored_id_is_adopted(self):
        with mock.patch.object(self.supervisor.actions, "add", lambda actions: None):
            # Nothing is stored or started, because the actions are dropped.
            self.supervisor.begin(self.supervisor.driver.now())
        [incarnation] = self.supervisor.core.units["n0"].processes
        self.supervisor.directory.replace(UNITS_FILE_NAME, msgspec.json.encode(self.supervisor.core.units))
        with mock.patch.object(self.supervisor.actions, "add", lambda actions: None):  # The id is not stored.
            self.supervisor.start_process(StartProcess("n0", "v1", incarnation))
        [child] = self.supervisor.units["n0"].children.values()
        successor = self.start()
        successor.begin(successor.driver.now())
        self.assertEqual(successor.report().ended_members, [])
        self.assertEqual(successor.core.units["n0"].processes[incarnation].pid, child.pid)

    def test_old_process_is_stopped_only_if_the_address_is_in_use(self):
        supervisor = self.supervisor
        supervisor.begin(supervisor.driver.now())
        [(incarnation, child)] = supervisor.units["n0"].children.items()
        supervisor.units["n0"].socket.close()
        supervisor.units["n0"].socket = None
        for number, stopping in ((errno.EMFILE, False), (errno.ENOBUFS, False), (errno.EADDRINUSE, True)):
            with self.subTest(number=number):
                error = OSError(number, os.strerror(number))
                with mock.patch("cedarmill.net.cluster.unit_processes.listening_socket", side_effect=error):
                    supervisor.start_process(StartProcess("n0", "v2", "another"))
                self.assertEqual(supervisor.core.units["n0"].processes[incarnation].stopping, stopping)


if __name__ == "__main__":
    unittest.main()
