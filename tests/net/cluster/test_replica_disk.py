"""Replicas whose disks fail for a while: they stop promising, refuse with the reason, and come back alone."""

import errno
import os
import shutil
import subprocess
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from cedarmill.cluster.messages import (
    ChangeReplicas,
    ClientReply,
    ClientRequest,
    Hello,
    Probe,
    ReadRequest,
    SubmitRequest,
)
from cedarmill.cluster.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)
from cedarmill.cluster.raft.state import PersistentState
from cedarmill.cluster.replica import Replica
from cedarmill.cluster.state_machine.commands import RequestPermits
from cedarmill.net.cluster.operator import NoReplicaError, OperatorClient, new_id
from cedarmill.net.cluster.replica import DISK_FAILURE_REASON, ReplicaProcess
from cedarmill.net.cluster.replica_format import initial_disk_name, initial_snapshot
from cedarmill.store.errors import ForeignDiskError
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions
from tests.store.test_replica_store import FaultyDirectory
from tests.support.node_case import ROOT
from tests.support.replica_case import LONG, Member, ReplicaCase, cli
from tests.support.system_call_faults import Fault, FaultPlan

LOG_FILE = "/log"  # of the replica's data, and what replaces it; not the text log on standard error
FULL = (Fault("write", "ENOSPC", match=LOG_FILE, times=0),)
FULL_IN_A_RECORD = (Fault("write", match=LOG_FILE, short=7), *FULL)
FULL_AND_NOT_CUT = (*FULL_IN_A_RECORD, Fault("ftruncate", "EIO", times=0))
SYNC_FAILS = (Fault("fdatasync", "EIO", times=0),)
SYNC_FAILS_ONCE = (Fault("fdatasync", "EIO"),)
NO_DESCRIPTORS = (Fault("fdatasync", "EIO"), Fault("open", "EMFILE", match="log", times=4))
NO_RENAME = (Fault("fdatasync", "EIO"), Fault("replace", "EIO", times=4))
NO_FOLDER_SYNC = (Fault("fdatasync", "EIO"), Fault("fsync", "EIO", times=4))
NO_READ = (Fault("fdatasync", "EIO"), Fault("pread", "EIO", times=4))
NO_LOCK = (Fault("fdatasync", "EIO"), Fault("flock", "ENOLCK", times=4))
LASTING = (FULL, FULL_IN_A_RECORD, FULL_AND_NOT_CUT, SYNC_FAILS)
PASSING = (SYNC_FAILS_ONCE, NO_DESCRIPTORS, NO_RENAME, NO_FOLDER_SYNC, NO_READ, NO_LOCK)
NO_READ_FROM_THE_START = (Fault("pread", "EIO", times=0),)
NO_DESCRIPTORS_AT_THE_START = (Fault("open", "EMFILE", match=LOG_FILE, times=0),)
AT_THE_START = (FULL, SYNC_FAILS, NO_READ_FROM_THE_START, NO_DESCRIPTORS_AT_THE_START)
EXECUTORS = 12
FAILED, RECOVERED = "store: the disk failed", "store: the disk works again"
RETRIED = "store: the disk still fails"


class DiskCase(ReplicaCase):
    """Replicas whose system calls the test can break."""

    def setUp(self) -> None:
        self.plans: dict[str, FaultPlan] = {}
        super().setUp()

    def start_replica(self, name: str) -> None:
        if name not in self.plans:
            folder = self.folder / f"{name}.plan"
            folder.mkdir()
            self.plans[name] = FaultPlan(str(folder))
        command = self.plans[name].command("cedarmill.cli", "keeper", "-c", str(self.folder / f"{name}.xml"))
        with open(self.folder / f"{name}.log", "a") as log:
            self.running[name] = subprocess.Popen(command, cwd=ROOT, stderr=log)

    def ask_for(self, target: str) -> SubmitRequest:
        return SubmitRequest(RequestPermits(0, "operator", new_id(), "executor", (target,)))

    def asked_alone(self, name: str, ask: ClientRequest, wait_s: float = 1) -> ClientReply:
        """The answer of this replica and no other."""
        return OperatorClient("main", [f"127.0.0.1:{self.ports[name]}"], "test").ask(ask, wait_s)

    def permits(self) -> dict[str, int]:
        """How many permits there are of each target."""
        targets = [row["target"] for row in self.look("permits")]
        return {target: targets.count(target) for target in targets}


class Three(DiskCase):
    def test_a_leader_whose_disk_fails_for_a_while_lets_another_lead_and_comes_back(self):
        Member(self, "n0", EXECUTORS).join()
        self.assertEqual(self.operator.ask(self.ask_for("b0"), LONG).permits[0][1], "b0")
        for number, faults in enumerate((FULL_IN_A_RECORD, SYNC_FAILS), start=1):
            with self.subTest(faults=faults):
                before, leader = self.permits(), self.leader()
                self.plans[leader].arm(*faults)
                ask = self.ask_for(f"b{number}")
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], f"b{number}")
                self.wait_for(lambda name=leader: FAILED in self.replica_log(name))
                self.assertNotEqual(self.leader(), leader)
                with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                    self.asked_alone(leader, ReadRequest("status"))
                self.assertEqual(self.asked_alone(leader, Probe("test")).name, leader)
                self.plans[leader].arm()
                self.wait_for(lambda name=leader: RECOVERED in self.replica_log(name))
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) < 1)
                self.operator.ask(ChangeReplicas("lead", leader), LONG)
                self.wait_for(lambda name=leader: self.leader() == name)
                self.assertEqual(self.permits(), before | {f"b{number}": 1})
                self.assertIsNone(self.running[leader].poll())


class Alone(DiskCase):
    replicas = 1

    def starts(self) -> int:
        """How often the process has opened its store (the log has the same line once in ten seconds only)."""
        return self.replica_log("k0").count("store: disk ")

    def test_what_was_granted_stays_nothing_is_granted_falsely_and_it_serves_again(self):
        Member(self, "n0", EXECUTORS).join()
        self.operator.ask(self.ask_for("b0"), LONG)
        for number, faults in enumerate(LASTING):
            with self.subTest(faults=faults):
                before, ask = self.permits(), self.ask_for(f"b{number + 1}")
                self.plans["k0"].arm(*faults)
                with self.assertRaises(NoReplicaError):
                    self.operator.ask(ask, 1.5)
                with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                    self.operator.ask(ReadRequest("permits"), 0.5)
                self.assertEqual(self.operator.ask(Probe("test"), LONG).name, "k0")
                self.plans["k0"].arm()
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertEqual(self.starts(), number + 2)
                self.assertIsNone(self.running["k0"].poll())
        granted = self.permits()
        self.kill("k0")
        self.start_replica("k0")
        self.assertEqual(self.permits(), granted)

    def test_it_starts_on_a_disk_that_fails_promises_nothing_and_comes_up_by_itself(self):
        Member(self, "n0", EXECUTORS).join()
        self.operator.ask(self.ask_for("b0"), LONG)
        for number, faults in enumerate(AT_THE_START):
            with self.subTest(faults=faults):
                before, ask, told = self.permits(), self.ask_for(f"b{number + 1}"), self.replica_log("k0")
                self.kill("k0")
                self.plans["k0"].arm(*faults)
                self.start_replica("k0")
                self.wait_for(lambda told=told: self.replica_log("k0").count(RETRIED) > told.count(RETRIED))
                for refused in (ask, ReadRequest("permits")):
                    with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                        self.operator.ask(refused, 0.5)
                self.assertEqual(self.operator.ask(Probe("test"), LONG).name, "k0")
                self.assertIn(FAILED, self.replica_log("k0")[len(told) :])
                self.plans["k0"].arm()
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertIsNone(self.running["k0"].poll())

    def test_it_ends_by_a_signal_while_its_disk_fails_from_the_start(self):
        self.kill("k0")
        self.plans["k0"].arm(*FULL)
        self.start_replica("k0")
        self.wait_for(lambda: FAILED in self.replica_log("k0"))
        self.operator.ask(Probe("test"), LONG)
        self.running["k0"].terminate()
        self.assertEqual(self.running["k0"].wait(LONG), 0)

    def test_a_folder_that_is_none_or_foreign_ends_the_start_in_one_line(self):
        self.kill("k0")
        data = self.folder / "k0"
        kept = data.rename(self.folder / "kept")
        cases = (
            ("Not a directory|File exists", ""),
            ("not an LMDB file", "snapshots/data.mdb"),
            ("no log of this program", "log"),
        )
        for words, spoiled in cases:
            with self.subTest(words):
                if spoiled:
                    shutil.copytree(kept, data)
                    self.spoil(data / spoiled)
                else:
                    data.write_text("a file")
                done = cli("keeper", "-c", str(self.folder / "k0.xml"))
                self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
                self.assertRegex(done.stderr, words)
                data.unlink() if data.is_file() else shutil.rmtree(data)

    def spoil(self, path: Path) -> None:
        """Overwrite the beginning of a file."""
        path.write_bytes(b"spoiled!" * 8 + path.read_bytes()[64:])

    def test_it_tries_again_whatever_fails_on_the_way_back(self):
        Member(self, "n0", EXECUTORS).join()
        for number, faults in enumerate(PASSING):
            with self.subTest(faults=faults):
                before, ask = self.permits(), self.ask_for(f"b{number + 1}")
                self.plans["k0"].arm(*faults)
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertEqual(self.starts(), number + 2)
        self.assertIsNone(self.running["k0"].poll())

    def test_a_connection_that_breaks_under_an_answer_is_no_failure_of_the_disk(self):
        self.wait_for(lambda: self.leader() == "k0")
        plan = self.plans["k0"]
        plan.arm(Fault("accepted.write", "EPIPE"))
        self.assertEqual(self.operator.ask(self.ask_for("b0"), LONG).ok, False)
        self.assertEqual((plan.hits("accepted.write"), self.starts()), (1, 1))
        self.assertNotIn(FAILED, self.replica_log("k0"))

    def test_it_ends_by_a_signal_while_its_disk_fails(self):
        self.wait_for(lambda: self.leader() == "k0")
        self.plans["k0"].arm(*FULL)
        with self.assertRaises(NoReplicaError):
            self.operator.ask(self.ask_for("b0"), 1)
        self.wait_for(lambda: FAILED in self.replica_log("k0"))
        self.running["k0"].terminate()
        self.assertEqual(self.running["k0"].wait(LONG), 0)


class ConnectionStub:
    """A connection that keeps what is said on it."""

    def __init__(self, name: str = "") -> None:
        self.name, self.said, self.reason = name, [], ""

    def send(self, number: int, message: object) -> None:
        self.said.append(message)

    def end(self, reason: str) -> None:
        self.reason = reason


class InProcess(unittest.TestCase):
    """A replica of three in this process, with faults under its store and nothing listening."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        peers = {name: "127.0.0.1:1" for name in ("k0", "k1", "k2")}
        options = ReplicaOptions("main", "k0", "127.0.0.1:0", folder.name, peers)
        self.files = FaultyDirectory(folder.name)
        store = ReplicaStore(self.files, "main", "k0", initial_disk_name("main", "k0"))
        store.write_snapshot(initial_snapshot(options), [])
        store.close()
        self.options = options
        self.process = ReplicaProcess(options, self.files)
        self.addCleanup(self.end)

    def end(self) -> None:
        self.process.store.close()
        self.process.loop.close()

    def restart(self) -> None:
        """The next process on the same disk."""
        self.end()
        self.process = ReplicaProcess(self.options, self.files)

    def carry_out(self, actions: list) -> None:
        """A whole turn of the loop."""
        self.process.queue_actions(actions)
        self.process.flush()

    def break_disk(self, call: str = "write") -> None:
        self.files.failing = {call: errno.EIO}

    def test_a_leader_asks_the_follower_that_is_furthest_to_lead(self):
        process, replica = self.process, self.process.replica
        process.peers.connected = {name: ConnectionStub(name) for name in ("k1", "k2")}
        self.carry_out(replica.on_time(replica.due))
        for pre in (True, False):
            term = replica.raft.term + pre
            self.carry_out(replica.on_message(process.driver.now(), "k2", RequestVoteReply(term, True, pre)))
        self.assertTrue(replica.is_leader)
        answer = AppendEntriesReply(replica.raft.term, True, replica.raft.log.last_index, 1)
        self.carry_out(replica.on_message(process.driver.now(), "k2", answer))
        self.break_disk()
        sent = len(process.peers.connected["k2"].said)
        self.carry_out(
            replica.on_request(
                process.driver.now(), 1, SubmitRequest(RequestPermits(0, "o", "1", "executor", ("b",)))
            )
        )
        self.assertTrue(process.disk.is_failing)
        self.assertEqual(process.peers.connected["k2"].said[sent:], [TimeoutNow(replica.raft.term)])
        self.assertNotIn(TimeoutNow(replica.raft.term), process.peers.connected["k1"].said)

    def test_a_start_of_another_disk_that_cannot_be_kept_is_a_failure_of_the_disk(self):
        wire = ConnectionStub()
        self.break_disk()
        self.process.on_message(wire, 0, Hello("main", "k1", "keeper", initial_disk_name("main", "k1"), 7))
        self.assertTrue(self.process.disk.is_failing)
        self.assertTrue(wire.reason)
        self.assertEqual(self.process.peers.connected, {})

    def test_a_replica_whose_disk_has_lost_what_was_synced_does_not_vote(self):
        process, wire = self.process, ConnectionStub("k1")
        process.peers.connected = {"k1": wire}
        ask = RequestVote(5, 9, 5, False)
        self.carry_out(process.replica.on_message(process.driver.now() + 10_000_000, "k1", ask))
        self.assertEqual(wire.said, [RequestVoteReply(5, True, False)])
        with open(self.files.path("log"), "rb+") as log:
            log.truncate(len(log.read()) - 1)  # the record of its vote
        self.break_disk()
        process.disk.handle_failure(OSError("told"))
        self.files.failing = {}
        process.disk.retry(process.driver.now())
        self.assertFalse(process.disk.is_failing)
        self.assertTrue(process.replica.raft.needs_catch_up)
        process.peers.connected = {"k2": ConnectionStub("k2")}
        self.carry_out(process.replica.on_message(process.driver.now() + 10_000_000, "k2", ask))
        self.assertEqual([reply.vote_granted for reply in process.peers.connected["k2"].said], [False])
        process.disk.handle_failure(OSError("again"))
        process.disk.retry(process.driver.now())
        self.assertTrue(process.replica.raft.needs_catch_up, "no second failure ends the doubt")
        self.restart()
        process = self.process
        self.assertTrue(process.replica.raft.needs_catch_up, "no restart ends the doubt")
        process.peers.connected = {"k2": ConnectionStub("k2")}
        self.carry_out(process.replica.on_message(process.driver.now() + 10_000_000, "k2", ask))
        self.assertEqual([reply.vote_granted for reply in process.peers.connected["k2"].said], [False])
        self.carry_out(
            process.replica.on_message(process.driver.now(), "k1", AppendEntries(9, 1, 1, (), 1, 1))
        )
        self.assertFalse(process.replica.raft.needs_catch_up, "a leader has brought it up to date")
        self.restart()
        self.assertFalse(self.process.replica.raft.needs_catch_up)

    def test_a_disk_that_turns_out_to_be_foreign_ends_the_start(self):
        self.end()
        self.break_disk("open")
        process = ReplicaProcess(replace(self.options, cluster="other"), self.files)
        self.addCleanup(process.loop.close)
        self.assertTrue(process.disk.is_failing)
        self.files.failing = {}
        process.disk.retry(process.driver.now())
        self.assertIsInstance(process.disk.permanent_failure, ForeignDiskError)
        self.restart()

    def test_a_close_that_fails_is_tried_over_like_all_else(self):
        """close(2) may report EIO; the descriptor is free then."""
        self.process.disk.handle_failure(OSError("told"))
        real = os.close

        def close(descriptor: int) -> None:
            real(descriptor)
            raise OSError(errno.EIO, os.strerror(errno.EIO))

        with mock.patch("os.close", close):
            self.process.disk.retry(0)
        self.assertTrue(self.process.disk.is_failing)
        self.assertIsNotNone(self.process.timers.next_due)
        self.process.disk.retry(0)
        self.assertFalse(self.process.disk.is_failing)

    def test_the_waits_between_two_tries_grow_to_a_bound(self):
        self.process.disk.handle_failure(OSError("told"))
        self.break_disk("open")
        waits = []
        for _ in range(7):
            self.process.disk.retry(0)
            waits.append(self.process.disk.retry_delay_us)
        self.assertEqual(waits, [200_000, 400_000, 800_000, 1_600_000, 2_000_000, 2_000_000, 2_000_000])

    def test_an_answer_to_what_an_earlier_start_relayed_reaches_nobody(self):
        """A leader that answers late knows the id only: ids of two starts on one disk have to differ."""
        ids = []
        for boot in (1, 2):
            replica = Replica("k0", PersistentState(1, "", Snapshot(1, 1, {}, b"")), 0, seed=77 + boot)
            replica.on_message(0, "k1", AppendEntries(1, 1, 1, (), 1, 1))
            for token in range(3):
                [sent] = replica.on_request(1, token + 1, ReadRequest("status"))
                ids.append(sent.message.id)
        self.assertEqual(len(set(ids)), 6)


if __name__ == "__main__":
    unittest.main()
