"""A wall clock that is stepped, and calls of discovery and `$TMPDIR` that fail, under the real program."""

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

STEPS_S = {"an_hour_back": -3600, "5_s_back": -5, "5_s_ahead": 5, "an_hour_ahead": 3600}
TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached


def _with_step(method, step: int):
    def test(self) -> None:
        method(self, step)

    return test


def each_step(case: type) -> type:
    """Each method `each_NAME(step_s)` of a test case as one test for each step."""
    for name in [name for name in vars(case) if name.startswith("each_")]:
        method = getattr(case, name)
        for label, step in STEPS_S.items():
            setattr(case, f"test_{name.removeprefix('each_')}_{label}", _with_step(method, step))
    return case


class Held(test_upgrade.HeldSocket, FaultyNodeCase):
    """A node whose clients' socket is held, so that two processes can run, and whose clock can be stepped."""

    executor_count = 2

    def config(self) -> dict:
        config = {**super().config(), "mgmt": "127.0.0.1:0"}
        config["known"]["endpoints"].pop()  # s-1 is heard of later
        return config

    def lists(self, index: int, *endpoints: dict, snapshot: bool = True):
        """The next call for changes, answered with a list so far."""
        watch = self.discovery.next_request()
        watch.send_head()
        watch.send_line({"index": index, "snapshot": snapshot, "endpoints": list(endpoints)})
        return watch

    def age_s(self, name: str, since: float = 0.0) -> float | None:
        """How old the module takes an executor for, in the document kept after that time; None: warm."""
        kept = InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-memory.json")
        found = {}

        def told() -> bool:
            if not (texts := kept.texts()):
                return False
            now = ClockReading(0, EventLoopDriver.now(), boot_id())
            sealed = sealed_document.unseal_newest(texts, "memory", "n0", now)
            found.update(json.loads(sealed.body)["workers"])
            return name in found and sealed.written_at.monotonic_us >= since * 1e6

        self.wait_for(told)
        kept.close()
        age = found[name]["ages"].get("since")
        return None if age is None else age / 1e6

    @staticmethod
    def stamp(ago_s: float = 0.0) -> int:
        """A start in discovery's Unix time, which is right."""
        return int((time.time() - ago_s) * 1000)

    def told(self, process, words: str) -> list[str]:
        """That process's log up to a line with those words."""
        late = threading.Timer(WAIT, process.kill)  # a log that stays silent must not hang the test
        late.start()
        self.addCleanup(late.cancel)
        lines = [""]
        while words not in lines[-1]:
            lines.append(process.stderr.readline())
            self.assertTrue(lines[-1], f"no {words!r} in {lines}")
        late.cancel()
        return lines


@each_step
class Starts(Held):
    """Slow start: a new executor is taken for a young one, and a known one keeps its age."""

    def is_young(self, watch, began: float) -> None:
        """s-1 starts now, on a watch that has held since `began`."""
        watch.send_line({"index": 9, "snapshot": False, "endpoints": [self.entry(1, since_ms=self.stamp())]})
        age = self.age_s("s-1")
        self.assertIsNotNone(age)
        self.assertTrue(0 <= age <= time.monotonic() - began + 1.0, age)

    def each_step_before_the_start(self, step: int) -> None:
        self.next_process_alone(step)
        began = time.monotonic()
        self.is_young(self.lists(8, self.entry(0)), began)

    def next_process_alone(self, step: int) -> None:
        """The node anew, with its clock so far off and nothing left by the process before it."""
        self.process.kill()
        self.process.communicate()
        for left in Path(self.tmpdir.name).iterdir():
            left.unlink()
        self.discovery = StandInServer()  # calls of the process killed wait at the first one
        self.addCleanup(self.discovery.close)
        self.plan.step_clock(step)
        self.next_process()

    def each_step_while_it_serves(self, step: int) -> None:
        watch = self.lists(8, self.entry(0, since_ms=(started := self.stamp(2.0))))
        self.wait_log("watching from")
        self.assertIsNotNone(self.age_s("s-0"))  # the line comes before its stamp is read
        began = time.monotonic()
        self.plan.step_clock(step)
        watch.send_line({"index": 8, "snapshot": False, "endpoints": [self.entry(0, since_ms=started)]})
        self.is_young(watch, began)
        self.assertAlmostEqual(self.age_s("s-0", time.monotonic()), time.time() - started / 1000, delta=1.5)

    def each_step_between_two_processes(self, step: int) -> None:
        """What the first learned is taken up, and the start of an executor that warms up stays its start."""
        endpoints = [self.entry(0), self.entry(1, since_ms=(started := self.stamp(1.0)))]
        self.lists(8, *endpoints)
        self.wait_log("watching from")
        self.age_s("s-1")
        old = self.process
        self.plan.step_clock(step)
        self.next_process()
        recalled = next((line for line in self.log if "took up what" in line), "")
        self.assertTrue(recalled, self.log)
        self.assertLess(float(re.search(r"([\d.]+) s ago", recalled)[1]), 3.0)
        self.lists(8, *endpoints)
        self.wait_log("watching from")
        old.terminate()
        self.assertEqual(old.wait(WAIT), 0)
        old.stderr.close()
        age = self.age_s("s-1", time.monotonic())
        self.assertAlmostEqual(age, time.time() - started / 1000, delta=1.5)


@each_step
class Siblings(Held):
    """Two processes of one node through a step: each counts the other as long as it lives, and no longer."""

    def setUp(self) -> None:
        super().setUp()
        self.old = self.process
        self.next_process()
        self.told(self.old, "that live: 1")
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        self.files = [InPlaceStateFile(f"{self.tmpdir.name}/cedarmill-n0-out-{process.pid}.json")
                      for process in (self.old, self.process)]  # fmt: skip
        self.addCleanup(self.end_old)

    def end_old(self) -> None:
        for file in self.files:
            file.close()
        if self.old.poll() is None:
            self.old.kill()
        self.old.communicate()

    def beats(self, times: int) -> None:
        """Both processes tell of themselves so often."""
        for _ in range(times):
            before = [file.texts() for file in self.files]
            self.wait_for(
                lambda before=before: all(f.texts() != b for f, b in zip(self.files, before, strict=True))
            )

    def counted_so_far(self) -> None:
        """Neither process's log has said up to now that it is alone."""
        self.assertEqual(call_admin_api(self.admin_port(), "PUT", "/api/exclude/s-0")[0], 200)
        lines = [*self.told(self.old, "state file: s-0"), *self.told(self.process, "excluded by hand")]
        self.assertNotIn("that live: 0", "".join(lines))
        self.assertTrue(all(Path(file.path).exists() for file in self.files))

    def alone_after_its_end(self) -> None:
        self.old.kill()
        began = time.monotonic()
        self.wait_log("that live: 0")
        self.assertLess(time.monotonic() - began, HEARTBEAT_TIMEOUT_US / 1e6 + 2.5)

    def each_step_of_the_clock(self, step: int) -> None:
        self.plan.step_clock(step)
        self.beats(3)
        self.counted_so_far()
        self.alone_after_its_end()

    def test_a_folder_that_cannot_be_read_for_longer_than_a_silence(self) -> None:
        self.plan.arm(Fault("listdir", "EMFILE", times=0))
        until = time.monotonic() + HEARTBEAT_TIMEOUT_US / 1e6 + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertGreater(self.plan.hits("listdir"), 20)
        self.plan.arm()
        self.beats(1)
        self.counted_so_far()
        self.alone_after_its_end()


@each_step
class Drains(FaultyNodeCase):
    def each_step_with_a_job_out(self, step: int) -> None:
        """Its deadline and the drain's grace are spans: the job is answered, and the process ends well."""
        client = self.client().ask(budget=5000)
        job = self.executors[0].next_request()
        self.plan.step_clock(step)
        self.terminate()
        self.wait_log("draining")
        job.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.process.wait(WAIT), 0)


class Discovery(FaultyNodeCase):
    """The watch is asked for again in time, whatever its system calls say."""

    executor_count = 2

    def told_after(self, *faults: Fault) -> None:
        """The watch breaks, then these faults hold; the next list is obeyed in time."""
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
        self.assertLess(time.monotonic() - began, TOLD_S)
        self.assertEqual(self.plan.hits(), sum(fault.times for fault in faults))
        self.assertEqual({self.served_by() for _ in range(4)}, {1})

    def test_a_write_that_raises(self) -> None:
        self.told_after(Fault("outgoing.write", "EHOSTUNREACH"))

    def test_an_abort_that_raises(self) -> None:
        self.told_after(Fault("outgoing.abort", "EBADF"))


class Reload(FaultyNodeCase):
    """A new configuration whose file cannot be read at once is read soon after."""

    executor_count = 2
    counts_after_s = 4.0  # SIGHUP: from then on what the new discovery told counts

    def move(self, server: StandInServer) -> str:
        return json.dumps({**self.config(), "discovery": server.address})

    def check_obeyed(self, server: StandInServer) -> None:
        """The node asks there, and the drain that it is told is obeyed."""
        watch = server.next_request()
        watch.send_head()
        whole = [self.entry(0, status="DRAINING"), self.entry(1)]
        watch.send_line({"index": 3, "snapshot": True, "endpoints": whole})
        self.wait_log("watching from index 3")
        for _ in range(4):  # of a class that is sent once only, however busy the machine is
            client = self.client().ask("issue")
            self.executors[1].next_request().done()
            self.assertEqual(client.answer()[0], 200)
        self.assertTrue(self.executors[0].received.empty())

    def test_a_file_that_cannot_be_opened_for_a_moment(self) -> None:
        """The reload was lost: the node stayed at the old discovery till the next signal."""
        for name in ("EMFILE", "EIO", "ENFILE", "ENOMEM"):
            with self.subTest(name):
                server = StandInServer()
                self.addCleanup(server.close)
                hits = self.plan.hits("open")
                self.plan.arm(Fault("open", name, match=self.config_path, times=3))
                began = time.monotonic()
                self.reload(self.move(server))
                self.check_obeyed(server)
                self.assertLess(time.monotonic() - began, self.counts_after_s)
                self.assertEqual(self.plan.hits("open") - hits, 3)

    def test_the_last_of_two_signals_counts(self) -> None:
        """The second comes while the first still waits to be read."""
        first, second = StandInServer(), StandInServer()
        for server in (first, second):
            self.addCleanup(server.close)
        self.plan.arm(Fault("open", "EMFILE", match=self.config_path, times=2))
        self.reload(self.move(first))
        self.wait_log("reload failed")
        self.reload(self.move(second))
        self.check_obeyed(second)
        self.assertEqual(first.connections, [])

    def test_a_file_that_is_wrong_is_not_read_again(self) -> None:
        self.reload("no configuration")
        self.wait_log("reload failed")
        Path(self.config_path).write_text(
            self.move(server := StandInServer())
        )  # nobody has said that it is to be read
        self.addCleanup(server.close)
        until = time.monotonic() + 0.5
        self.wait_for(lambda: time.monotonic() > until)
        self.assertEqual(server.connections, [])


def _refused_connect(name: str):
    def test(self) -> None:
        self.told_after(Fault("connect", name, match=self.discovery.address))

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
    setattr(Discovery, f"test_a_connect_that_ends_with_{_name.lower()}", _refused_connect(_name))


class NoBoot(Held):
    def arm_first(self) -> None:
        self.plan.arm(Fault("open", "EACCES", match="boot_id", times=0))

    def test_a_boot_without_an_id_is_said_and_ages_go_by_unix_time(self) -> None:
        self.assertTrue(any("has no id" in line for line in self.log), self.log)
        self.wait_for(lambda: Path(f"{self.tmpdir.name}/cedarmill-n0-memory.json").exists())
        old = self.process
        self.next_process()
        self.assertTrue(any("took up what" in line for line in self.log), self.log)
        self.assertTrue(any("that live: 1" in line for line in self.log), self.log)
        old.kill()
        old.communicate()
        self.wait_log("that live: 0")


if __name__ == "__main__":
    unittest.main()
