"""Tests of temporary disk failures: replicas acknowledge nothing, reject requests, and recover."""

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
from cedarmill.net.cluster.operator import NoReplicaError, OperatorClient, new_request_id
from cedarmill.net.cluster.replica import DISK_FAILURE_REASON, ReplicaProcess
from cedarmill.net.cluster.replica_format import initial_disk_name, initial_snapshot
from cedarmill.store.errors import ForeignDiskError
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions
from tests.store.test_replica_store import FaultyDirectory
from tests.support.node_case import ROOT
from tests.support.replica_case import LONG, Member, ReplicaCase, cli
from tests.support.system_call_faults import Fault, FaultPlan

LOG_FILE = "/log"  # matches the data log and its replacement, not the log of standard error
DISK_FULL = (Fault("write", "ENOSPC", match=LOG_FILE, times=0),)
DISK_FULL_WITHIN_RECORD = (Fault("write", match=LOG_FILE, short=7), *DISK_FULL)
DISK_FULL_AND_TRUNCATE_FAILS = (*DISK_FULL_WITHIN_RECORD, Fault("ftruncate", "EIO", times=0))
SYNC_FAILS = (Fault("fdatasync", "EIO", times=0),)
SYNC_FAILS_ONCE = (Fault("fdatasync", "EIO"),)
NO_DESCRIPTORS = (Fault("fdatasync", "EIO"), Fault("open", "EMFILE", match="log", times=4))
NO_RENAME = (Fault("fdatasync", "EIO"), Fault("replace", "EIO", times=4))
NO_FOLDER_SYNC = (Fault("fdatasync", "EIO"), Fault("fsync", "EIO", times=4))
NO_READ = (Fault("fdatasync", "EIO"), Fault("pread", "EIO", times=4))
NO_LOCK = (Fault("fdatasync", "EIO"), Fault("flock", "ENOLCK", times=4))
LASTING_FAULTS = (DISK_FULL, DISK_FULL_WITHIN_RECORD, DISK_FULL_AND_TRUNCATE_FAILS, SYNC_FAILS)
TRANSIENT_FAULTS = (SYNC_FAILS_ONCE, NO_DESCRIPTORS, NO_RENAME, NO_FOLDER_SYNC, NO_READ, NO_LOCK)
NO_READ_AT_START = (Fault("pread", "EIO", times=0),)
NO_DESCRIPTORS_AT_START = (Fault("open", "EMFILE", match=LOG_FILE, times=0),)
START_FAULTS = (DISK_FULL, SYNC_FAILS, NO_READ_AT_START, NO_DESCRIPTORS_AT_START)
EXECUTOR_COUNT = 12
FAILURE_LOG_LINE, RECOVERY_LOG_LINE = "store: the disk failed", "store: the disk works again"
RETRY_LOG_LINE = "store: the disk still fails"


class DiskCase(ReplicaCase):
    """Starts replicas whose system calls can be made to fail."""

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

    def permit_request(self, target: str) -> SubmitRequest:
        return SubmitRequest(RequestPermits(0, "operator", new_request_id(), "executor", (target,)))

    def ask_replica(self, name: str, request: ClientRequest, wait_s: float = 1) -> ClientReply:
        """Return the reply of one replica, without other replicas as a fallback."""
        return OperatorClient("main", [f"127.0.0.1:{self.ports[name]}"], "test").send(request, wait_s)

    def permits(self) -> dict[str, int]:
        """Return the number of permits by target."""
        targets = [row["target"] for row in self.look("permits")]
        return {target: targets.count(target) for target in targets}


class ThreeReplicas(DiskCase):
    def test_leader_with_a_failed_disk_is_replaced_and_can_lead_again_after_recovery(self):
        Member(self, "n0", EXECUTOR_COUNT).join()
        self.assertEqual(self.operator.send(self.permit_request("b0"), LONG).permits[0][1], "b0")
        for number, faults in enumerate((DISK_FULL_WITHIN_RECORD, SYNC_FAILS), start=1):
            with self.subTest(faults=faults):
                before, leader = self.permits(), self.leader()
                self.plans[leader].arm(*faults)
                request = self.permit_request(f"b{number}")
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], f"b{number}")
                self.wait_for(lambda name=leader: FAILURE_LOG_LINE in self.replica_log(name))
                self.assertNotEqual(self.leader(), leader)
                with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                    self.ask_replica(leader, ReadRequest("status"))
                self.assertEqual(self.ask_replica(leader, Probe("test")).name, leader)
                self.plans[leader].arm()
                self.wait_for(lambda name=leader: RECOVERY_LOG_LINE in self.replica_log(name))
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) < 1)
                self.operator.send(ChangeReplicas("lead", leader), LONG)
                self.wait_for(lambda name=leader: self.leader() == name)
                self.assertEqual(self.permits(), before | {f"b{number}": 1})
                self.assertIsNone(self.running[leader].poll())


class SingleReplica(DiskCase):
    replicas = 1

    def store_open_count(self) -> int:
        """Return how often the store was opened; this log line differs each time, so none is suppressed."""
        return self.replica_log("k0").count("store: disk ")

    def test_lasting_disk_failure_blocks_grants_and_keeps_permits_until_recovery(self):
        Member(self, "n0", EXECUTOR_COUNT).join()
        self.operator.send(self.permit_request("b0"), LONG)
        for number, faults in enumerate(LASTING_FAULTS):
            with self.subTest(faults=faults):
                before, request = self.permits(), self.permit_request(f"b{number + 1}")
                self.plans["k0"].arm(*faults)
                with self.assertRaises(NoReplicaError):
                    self.operator.send(request, 1.5)
                with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                    self.operator.send(ReadRequest("permits"), 0.5)
                self.assertEqual(self.operator.send(Probe("test"), LONG).name, "k0")
                self.plans["k0"].arm()
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertEqual(self.store_open_count(), number + 2)
                self.assertIsNone(self.running["k0"].poll())
        granted = self.permits()
        self.kill("k0")
        self.start_replica("k0")
        self.assertEqual(self.permits(), granted)

    def test_replica_started_on_a_failing_disk_rejects_requests_until_recovery(self):
        Member(self, "n0", EXECUTOR_COUNT).join()
        self.operator.send(self.permit_request("b0"), LONG)
        for number, faults in enumerate(START_FAULTS):
            with self.subTest(faults=faults):
                before, request, previous_log = (
                    self.permits(),
                    self.permit_request(f"b{number + 1}"),
                    self.replica_log("k0"),
                )
                self.kill("k0")
                self.plans["k0"].arm(*faults)
                self.start_replica("k0")
                self.wait_for(
                    lambda previous_log=previous_log: (
                        self.replica_log("k0").count(RETRY_LOG_LINE) > previous_log.count(RETRY_LOG_LINE)
                    )
                )
                for rejected_request in (request, ReadRequest("permits")):
                    with self.assertRaisesRegex(NoReplicaError, DISK_FAILURE_REASON):
                        self.operator.send(rejected_request, 0.5)
                self.assertEqual(self.operator.send(Probe("test"), LONG).name, "k0")
                self.assertIn(FAILURE_LOG_LINE, self.replica_log("k0")[len(previous_log) :])
                self.plans["k0"].arm()
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertIsNone(self.running["k0"].poll())

    def test_sigterm_ends_a_replica_started_on_a_failing_disk(self):
        self.kill("k0")
        self.plans["k0"].arm(*DISK_FULL)
        self.start_replica("k0")
        self.wait_for(lambda: FAILURE_LOG_LINE in self.replica_log("k0"))
        self.operator.send(Probe("test"), LONG)
        self.running["k0"].terminate()
        self.assertEqual(self.running["k0"].wait(LONG), 0)

    def test_unusable_data_folder_ends_the_start_with_a_one_line_error(self):
        self.kill("k0")
        data = self.folder / "k0"
        original_data = data.rename(self.folder / "kept")
        cases = (
            ("Not a directory|File exists", ""),
            ("not an LMDB file", "snapshots/data.mdb"),
            ("no log of this program", "log"),
        )
        for error_text, damaged_file in cases:
            with self.subTest(error_text):
                if damaged_file:
                    shutil.copytree(original_data, data)
                    self.overwrite_start(data / damaged_file)
                else:
                    data.write_text("a file")
                result = cli("keeper", "-c", str(self.folder / "k0.xml"))
                self.assertEqual((result.returncode, len(result.stderr.splitlines())), (2, 1), result.stderr)
                self.assertRegex(result.stderr, error_text)
                data.unlink() if data.is_file() else shutil.rmtree(data)

    def overwrite_start(self, path: Path) -> None:
        """Overwrite the beginning of a file."""
        path.write_bytes(b"spoiled!" * 8 + path.read_bytes()[64:])

    def test_reopening_is_retried_after_any_failed_system_call(self):
        Member(self, "n0", EXECUTOR_COUNT).join()
        for number, faults in enumerate(TRANSIENT_FAULTS):
            with self.subTest(faults=faults):
                before, request = self.permits(), self.permit_request(f"b{number + 1}")
                self.plans["k0"].arm(*faults)
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], f"b{number + 1}")
                self.assertEqual(self.permits(), before | {f"b{number + 1}": 1})
                self.assertEqual(self.store_open_count(), number + 2)
        self.assertIsNone(self.running["k0"].poll())

    def test_connection_error_during_a_reply_is_not_a_disk_failure(self):
        self.wait_for(lambda: self.leader() == "k0")
        plan = self.plans["k0"]
        plan.arm(Fault("accepted.write", "EPIPE"))
        self.assertEqual(self.operator.send(self.permit_request("b0"), LONG).ok, False)
        self.assertEqual((plan.hits("accepted.write"), self.store_open_count()), (1, 1))
        self.assertNotIn(FAILURE_LOG_LINE, self.replica_log("k0"))

    def test_sigterm_ends_a_replica_while_its_disk_fails(self):
        self.wait_for(lambda: self.leader() == "k0")
        self.plans["k0"].arm(*DISK_FULL)
        with self.assertRaises(NoReplicaError):
            self.operator.send(self.permit_request("b0"), 1)
        self.wait_for(lambda: FAILURE_LOG_LINE in self.replica_log("k0"))
        self.running["k0"].terminate()
        self.assertEqual(self.running["k0"].wait(LONG), 0)


class ConnectionStub:
    """A connection that records the sent messages and the reason of its end."""

    def __init__(self, name: str = "") -> None:
        self.name, self.sent_messages, self.reason = name, [], ""

    def send(self, number: int, message: object) -> None:
        self.sent_messages.append(message)

    def end(self, reason: str) -> None:
        self.reason = reason


class ReplicaInTestProcess(unittest.TestCase):
    """One of three replicas in the test process, with a faulty directory and without a listening socket."""

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
        """Create a new replica process object on the same disk."""
        self.end()
        self.process = ReplicaProcess(self.options, self.files)

    def flush_actions(self, actions: list) -> None:
        """Queue actions and flush, as in one turn of the event loop."""
        self.process.queue_actions(actions)
        self.process.flush()

    def break_disk(self, call: str = "write") -> None:
        self.files.failing = {call: errno.EIO}

    def test_leader_with_a_failed_disk_asks_the_most_advanced_follower_to_lead(self):
        process, replica = self.process, self.process.replica
        process.peers.connected = {name: ConnectionStub(name) for name in ("k1", "k2")}
        self.flush_actions(replica.on_time(replica.due))
        for is_pre_vote in (True, False):
            term = replica.raft.term + is_pre_vote
            self.flush_actions(
                replica.on_message(process.driver.now(), "k2", RequestVoteReply(term, True, is_pre_vote))
            )
        self.assertTrue(replica.is_leader)
        reply = AppendEntriesReply(replica.raft.term, True, replica.raft.log.last_index, 1)
        self.flush_actions(replica.on_message(process.driver.now(), "k2", reply))
        self.break_disk()
        sent_count = len(process.peers.connected["k2"].sent_messages)
        self.flush_actions(
            replica.on_request(
                process.driver.now(), 1, SubmitRequest(RequestPermits(0, "o", "1", "executor", ("b",)))
            )
        )
        self.assertTrue(process.disk.is_failing)
        self.assertEqual(
            process.peers.connected["k2"].sent_messages[sent_count:], [TimeoutNow(replica.raft.term)]
        )
        self.assertNotIn(TimeoutNow(replica.raft.term), process.peers.connected["k1"].sent_messages)

    def test_failure_to_store_the_start_count_of_a_peer_is_a_disk_failure(self):
        connection = ConnectionStub()
        self.break_disk()
        self.process.on_message(
            connection, 0, Hello("main", "k1", "keeper", initial_disk_name("main", "k1"), 7)
        )
        self.assertTrue(self.process.disk.is_failing)
        self.assertTrue(connection.reason)
        self.assertEqual(self.process.peers.connected, {})

    def test_replica_that_lost_synced_state_does_not_vote_until_it_caught_up(self):
        process, connection = self.process, ConnectionStub("k1")
        process.peers.connected = {"k1": connection}
        request = RequestVote(5, 9, 5, False)
        self.flush_actions(process.replica.on_message(process.driver.now() + 10_000_000, "k1", request))
        self.assertEqual(connection.sent_messages, [RequestVoteReply(5, True, False)])
        with open(self.files.path("log"), "rb+") as log:
            log.truncate(len(log.read()) - 1)  # damages the record of the vote
        self.break_disk()
        process.disk.handle_failure(OSError("first failure"))
        self.files.failing = {}
        process.disk.retry(process.driver.now())
        self.assertFalse(process.disk.is_failing)
        self.assertTrue(process.replica.raft.needs_catch_up)
        process.peers.connected = {"k2": ConnectionStub("k2")}
        self.flush_actions(process.replica.on_message(process.driver.now() + 10_000_000, "k2", request))
        self.assertEqual(
            [reply.vote_granted for reply in process.peers.connected["k2"].sent_messages], [False]
        )
        process.disk.handle_failure(OSError("second failure"))
        process.disk.retry(process.driver.now())
        self.assertTrue(
            process.replica.raft.needs_catch_up, "a second failure must not end the need to catch up"
        )
        self.restart()
        process = self.process
        self.assertTrue(process.replica.raft.needs_catch_up, "a restart must not end the need to catch up")
        process.peers.connected = {"k2": ConnectionStub("k2")}
        self.flush_actions(process.replica.on_message(process.driver.now() + 10_000_000, "k2", request))
        self.assertEqual(
            [reply.vote_granted for reply in process.peers.connected["k2"].sent_messages], [False]
        )
        self.flush_actions(
            process.replica.on_message(process.driver.now(), "k1", AppendEntries(9, 1, 1, (), 1, 1))
        )
        self.assertFalse(process.replica.raft.needs_catch_up, "the leader has brought the replica up to date")
        self.restart()
        self.assertFalse(self.process.replica.raft.needs_catch_up)

    def test_disk_of_another_cluster_found_on_retry_ends_the_start(self):
        self.end()
        self.break_disk("open")
        process = ReplicaProcess(replace(self.options, cluster="other"), self.files)
        self.addCleanup(process.loop.close)
        self.assertTrue(process.disk.is_failing)
        self.files.failing = {}
        process.disk.retry(process.driver.now())
        self.assertIsInstance(process.disk.permanent_failure, ForeignDiskError)
        self.restart()

    def test_failed_close_is_retried(self):
        """close(2) may report EIO after it has released the descriptor."""
        self.process.disk.handle_failure(OSError("first failure"))
        real_close = os.close

        def close(descriptor: int) -> None:
            real_close(descriptor)
            raise OSError(errno.EIO, os.strerror(errno.EIO))

        with mock.patch("os.close", close):
            self.process.disk.retry(0)
        self.assertTrue(self.process.disk.is_failing)
        self.assertIsNotNone(self.process.timers.next_due)
        self.process.disk.retry(0)
        self.assertFalse(self.process.disk.is_failing)

    def test_retry_delay_doubles_up_to_its_maximum(self):
        self.process.disk.handle_failure(OSError("first failure"))
        self.break_disk("open")
        delays = []
        for _ in range(7):
            self.process.disk.retry(0)
            delays.append(self.process.disk.retry_delay_us)
        self.assertEqual(delays, [200_000, 400_000, 800_000, 1_600_000, 2_000_000, 2_000_000, 2_000_000])

    def test_relayed_request_ids_differ_between_starts_on_one_disk(self):
        """A late reply to a request relayed by an earlier start must not match a newer request."""
        ids = []
        for start_count in (1, 2):
            replica = Replica("k0", PersistentState(1, "", Snapshot(1, 1, {}, b"")), 0, seed=77 + start_count)
            replica.on_message(0, "k1", AppendEntries(1, 1, 1, (), 1, 1))
            for token in range(3):
                [sent] = replica.on_request(1, token + 1, ReadRequest("status"))
                ids.append(sent.message.id)
        self.assertEqual(len(set(ids)), 6)


if __name__ == "__main__":
    unittest.main()
