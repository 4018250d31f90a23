"""The real program under wall clock steps and under failing system calls of discovery and `$TMPDIR`."""

import json
import re
import threading
import time
import unittest
from pathlib import Path

from cedarmill.admin import sealed_document
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.net.loop import EventLoopDriver, boot_id
from cedarmill.net.upgrade.sibling import HEARTBEAT_TIMEOUT_US
from cedarmill.net.upgrade.state_file import InPlaceStateFile
from tests.net import test_upgrade
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT, StandInServer, call_admin_api
from tests.support.system_call_faults import Fault

CLOCK_STEPS_S = {"an_hour_back": -3600, "5_s_back": -5, "5_s_ahead": 5, "an_hour_ahead": 3600}
LIST_APPLY_TIMEOUT_S = 6.0  # for a list to be applied after its watch broke


def _test_with_step(method, step: int):
    """Return a test method that calls `method` with a clock step."""

    def test(self) -> None:
        method(self, step)

    return test


def for_each_clock_step(case: type) -> type:
    """Class decorator: turn each method `each_NAME(step)` into one test `test_NAME_STEP` per clock step."""
    for name in [name for name in vars(case) if name.startswith("each_")]:
        method = getattr(case, name)
        for label, step in CLOCK_STEPS_S.items():
            setattr(case, f"test_{name.removeprefix('each_')}_{label}", _test_with_step(method, step))
    return case


class ClockStepCase(test_upgrade.InheritedSocketCase, FaultyNodeCase):
    """A node of one or two processes on an inherited listening socket, with a steppable wall clock."""

    executor_count = 2

    def config(self) -> dict:
        config = {**super().config(), "mgmt": "127.0.0.1:0"}
        config["known"]["endpoints"].pop()  # s-1 is listed later
        return config

    def answer_watch(self, index: int, *endpoints: dict, snapshot: bool = True):
        """Answer the node's next watch request with a list; return the open watch."""
        watch = self.discovery.next_request()
        watch.send_head()
        watch.send_line({"index": index, "snapshot": snapshot, "endpoints": list(endpoints)})
        return watch

    def executor_age_s(self, name: str, saved_after_s: float = 0.0) -> float | None:
        """Return an executor's age in a warm state saved after a time; None if it has no start time."""
        state_file = InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-memory.json")
        saved_executors = {}

        def is_saved() -> bool:
            if not (halves := state_file.read_halves()):
                return False
            now = ClockReading(0, EventLoopDriver.now(), boot_id())
            sealed = sealed_document.unseal_newest(halves, "memory", "n0", now)
            saved_executors.update(json.loads(sealed.body)["workers"])
            return name in saved_executors and sealed.written_at.monotonic_us >= saved_after_s * 1e6

        self.wait_for(is_saved)
        state_file.close()
        age = saved_executors[name]["ages"].get("since")
        return None if age is None else age / 1e6

    @staticmethod
    def start_stamp(ago_s: float = 0.0) -> int:
        """Return the Unix time (ms) of a start `ago_s` ago, on discovery's clock, which is never stepped."""
        return int((time.time() - ago_s) * 1000)

    def read_log_until(self, process, words: str) -> list[str]:
        """Return the lines of a process's log up to one that contains `words`."""
        kill_timer = threading.Timer(WAIT, process.kill)  # ends the wait for a line that never comes
        kill_timer.start()
        self.addCleanup(kill_timer.cancel)
        lines = [""]
        while words not in lines[-1]:
            lines.append(process.stderr.readline())
            self.assertTrue(lines[-1], f"no {words!r} in {lines}")
        kill_timer.cancel()
        return lines


@for_each_clock_step
class SlowStart(ClockStepCase):
    """A new executor is treated as just started, and a known one keeps its age."""

    def check_new_executor_is_young(self, watch, began: float) -> None:
        """List s-1 as started now; check that its age is at most the time since `began`."""
        watch.send_line(
            {"index": 9, "snapshot": False, "endpoints": [self.entry(1, since_ms=self.start_stamp())]}
        )
        age = self.executor_age_s("s-1")
        self.assertIsNotNone(age)
        self.assertTrue(0 <= age <= time.monotonic() - began + 1.0, age)

    def each_clock_step_before_the_start(self, step: int) -> None:
        self.start_process_alone(step)
        began = time.monotonic()
        self.check_new_executor_is_young(self.answer_watch(8, self.entry(0)), began)

    def start_process_alone(self, step: int) -> None:
        """Replace the node by one with a stepped clock and without any state files."""
        self.process.kill()
        self.process.communicate()
        for path in Path(self.tmpdir.name).iterdir():
            path.unlink()
        self.discovery = StandInServer()  # requests of the killed process stay at the first one
        self.addCleanup(self.discovery.close)
        self.plan.step_clock(step)
        self.start_successor()

    def each_clock_step_while_it_serves(self, step: int) -> None:
        watch = self.answer_watch(8, self.entry(0, since_ms=(started := self.start_stamp(2.0))))
        self.wait_log("watching from")
        self.assertIsNotNone(self.executor_age_s("s-0"))  # the log line is written before the stamp is read
        began = time.monotonic()
        self.plan.step_clock(step)
        watch.send_line({"index": 8, "snapshot": False, "endpoints": [self.entry(0, since_ms=started)]})
        self.check_new_executor_is_young(watch, began)
        self.assertAlmostEqual(
            self.executor_age_s("s-0", time.monotonic()), time.time() - started / 1000, delta=1.5
        )

    def each_clock_step_between_two_processes(self, step: int) -> None:
        """The warm state is restored, and an executor that is warming up keeps its start time."""
        endpoints = [self.entry(0), self.entry(1, since_ms=(started := self.start_stamp(1.0)))]
        self.answer_watch(8, *endpoints)
        self.wait_log("watching from")
        self.executor_age_s("s-1")
        old = self.process
        self.plan.step_clock(step)
        self.start_successor()
        restored_line = next((line for line in self.log if "took up what" in line), "")
        self.assertTrue(restored_line, self.log)
        self.assertLess(float(re.search(r"([\d.]+) s ago", restored_line)[1]), 3.0)
        self.answer_watch(8, *endpoints)
        self.wait_log("watching from")
        old.terminate()
        self.assertEqual(old.wait(WAIT), 0)
        old.stderr.close()
        age = self.executor_age_s("s-1", time.monotonic())
        self.assertAlmostEqual(age, time.time() - started / 1000, delta=1.5)


@for_each_clock_step
class Siblings(ClockStepCase):
    """Two processes of one node: each counts the other while it is alive, and no longer."""

    def setUp(self) -> None:
        super().setUp()
        self.old = self.process
        self.start_successor()
        self.read_log_until(self.old, "that live: 1")
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        self.documents = [InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-out-{process.pid}.json")
                      for process in (self.old, self.process)]  # fmt: skip
        self.addCleanup(self.end_old)

    def end_old(self) -> None:
        for document in self.documents:
            document.close()
        if self.old.poll() is None:
            self.old.kill()
        self.old.communicate()

    def wait_heartbeats(self, count: int) -> None:
        """Wait until both processes have written their documents `count` times."""
        for _ in range(count):
            before = [document.read_halves() for document in self.documents]
            self.wait_for(
                lambda before=before: all(
                    f.read_halves() != b for f, b in zip(self.documents, before, strict=True)
                )
            )

    def check_both_counted_so_far(self) -> None:
        """Check that neither process has logged that it has no sibling."""
        self.assertEqual(call_admin_api(self.admin_port(), "PUT", "/api/exclude/s-0")[0], 200)
        lines = [
            *self.read_log_until(self.old, "state file: s-0"),
            *self.read_log_until(self.process, "excluded by hand"),
        ]
        self.assertNotIn("that live: 0", "".join(lines))
        self.assertTrue(all(Path(document.path).exists() for document in self.documents))

    def check_not_counted_once_killed(self) -> None:
        """Kill the old process, and check that the new one soon counts no sibling."""
        self.old.kill()
        killed_at = time.monotonic()
        self.wait_log("that live: 0")
        self.assertLess(time.monotonic() - killed_at, HEARTBEAT_TIMEOUT_US / 1e6 + 2.5)

    def each_clock_step(self, step: int) -> None:
        self.plan.step_clock(step)
        self.wait_heartbeats(3)
        self.check_both_counted_so_far()
        self.check_not_counted_once_killed()

    def test_folder_unreadable_for_longer_than_the_heartbeat_timeout(self) -> None:
        self.plan.arm(Fault("listdir", "EMFILE", times=0))
        until = time.monotonic() + HEARTBEAT_TIMEOUT_US / 1e6 + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertGreater(self.plan.hits("listdir"), 20)
        self.plan.arm()
        self.wait_heartbeats(1)
        self.check_both_counted_so_far()
        self.check_not_counted_once_killed()


@for_each_clock_step
class Drain(FaultyNodeCase):
    def each_clock_step_with_a_request_in_flight(self, step: int) -> None:
        """Deadlines ignore the wall clock: the request is answered, and the process exits with 0."""
        client = self.client().ask(budget=5000)
        request = self.executors[0].next_request()
        self.plan.step_clock(step)
        self.terminate()
        self.wait_log("draining")
        request.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)


class DiscoveryFaults(FaultyNodeCase):
    """The watch is reopened in time despite failing system calls."""

    executor_count = 2

    def check_list_applied_after(self, *faults: Fault) -> None:
        """Break the watch while `faults` are armed, and check that the next list is applied in time."""
        watch = self.discovery.next_request()
        watch.send_head()
        watch.send_line({"index": 8, "snapshot": True, "endpoints": [self.entry(0), self.entry(1)]})
        self.wait_log("watching from index 8")
        self.plan.arm(*faults)
        began = time.monotonic()
        watch.connection.close()
        watch = self.discovery.next_request()
        watch.send_head()
        watch.send_line({"index": 9, "snapshot": False, "endpoints": [self.entry(0, status="DRAINING")]})
        self.wait_log("watching from index 9")
        self.assertLess(time.monotonic() - began, LIST_APPLY_TIMEOUT_S)
        self.assertEqual(self.plan.hits(), sum(fault.times for fault in faults))
        self.assertEqual({self.served_by() for _ in range(4)}, {1})

    def test_write_that_raises(self) -> None:
        self.check_list_applied_after(Fault("outgoing.write", "EHOSTUNREACH"))

    def test_abort_that_raises(self) -> None:
        self.check_list_applied_after(Fault("outgoing.abort", "EBADF"))


class Reload(FaultyNodeCase):
    """A configuration file that cannot be read on SIGHUP is read again soon."""

    executor_count = 2
    apply_timeout_s = 4.0  # from SIGHUP to the first use of the new discovery address's list

    def config_with_discovery(self, server: StandInServer) -> str:
        """Return the configuration with `server` as discovery."""
        return json.dumps({**self.config(), "discovery": server.address})

    def check_list_applied(self, server: StandInServer) -> None:
        """Check that the node applies a list from `server` in which executor 0 drains."""
        watch = server.next_request()
        watch.send_head()
        endpoints = [self.entry(0, status="DRAINING"), self.entry(1)]
        watch.send_line({"index": 3, "snapshot": True, "endpoints": endpoints})
        self.wait_log("watching from index 3")
        for _ in range(4):  # of a class that is never sent twice, even when the machine is slow
            client = self.client().ask("issue")
            self.executors[1].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertTrue(self.executors[0].received.empty())

    def test_file_that_cannot_be_opened_for_a_moment_is_retried(self) -> None:
        """Guards against a lost reload, which would keep the old discovery address until the next SIGHUP."""
        for name in ("EMFILE", "EIO", "ENFILE", "ENOMEM"):
            with self.subTest(name):
                server = StandInServer()
                self.addCleanup(server.close)
                hits = self.plan.hits("open")
                self.plan.arm(Fault("open", name, match=self.config_path, times=3))
                began = time.monotonic()
                self.reload(self.config_with_discovery(server))
                self.check_list_applied(server)
                self.assertLess(time.monotonic() - began, self.apply_timeout_s)
                self.assertEqual(self.plan.hits("open") - hits, 3)

    def test_last_of_two_signals_counts(self) -> None:
        """The second SIGHUP arrives while the first one's retry is scheduled."""
        first, second = StandInServer(), StandInServer()
        for server in (first, second):
            self.addCleanup(server.close)
        self.plan.arm(Fault("open", "EMFILE", match=self.config_path, times=2))
        self.reload(self.config_with_discovery(first))
        self.wait_log("reload failed")
        self.reload(self.config_with_discovery(second))
        self.check_list_applied(second)
        self.assertEqual(first.connections, [])

    def test_invalid_file_is_not_read_again_without_a_signal(self) -> None:
        self.reload("no configuration")
        self.wait_log("reload failed")
        Path(self.config_path).write_text(
            self.config_with_discovery(server := StandInServer())
        )  # without a SIGHUP
        self.addCleanup(server.close)
        until = time.monotonic() + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertEqual(server.connections, [])


def _connect_fault_test(name: str):
    """Return a test method in which discovery's connect fails with the error `name`."""

    def test(self) -> None:
        self.check_list_applied_after(Fault("connect", name, match=self.discovery.address))

    return test


for _name in (
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "EADDRNOTAVAIL",
    "ENETUNREACH",
    "EHOSTUNREACH",
    "ETIMEDOUT",
):
    setattr(DiscoveryFaults, f"test_connect_that_fails_with_{_name.lower()}", _connect_fault_test(_name))


class UnknownBootId(ClockStepCase):
    def arm_initial_faults(self) -> None:
        self.plan.arm(Fault("open", "EACCES", match="boot_id", times=0))

    def test_unknown_boot_id_is_logged_and_ages_use_unix_time(self) -> None:
        self.assertTrue(any("has no id" in line for line in self.log), self.log)
        self.wait_for(lambda: Path(f"{self.tmpdir.name}/cedarmill-n0-memory.json").exists())
        old = self.process
        self.start_successor()
        self.assertTrue(any("took up what" in line for line in self.log), self.log)
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        old.kill()
        old.communicate()
        self.wait_log("that live: 0")


if __name__ == "__main__":
    unittest.main()
