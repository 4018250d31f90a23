"""Recovery of a replica's store after crashes and disk faults, and refusal of unusable data."""

import contextlib
import errno
import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import lmdb
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote
from cedarmill.cluster.raft.messages import Entry, EntryKind, Peer, Snapshot
from cedarmill.store import catch_up, records, replica_store, snapshots
from cedarmill.store.errors import DamagedError, StoreError
from cedarmill.store.files import AppendFile, Directory
from cedarmill.store.log import MAGIC, LogFile, encode_record, read_records
from tests.support.node_case import ROOT

RECORDS = [b"first", b"second" * 5, b"third"]
LOG_CONTENT = MAGIC + b"".join(map(encode_record, RECORDS))
# The offset of the end of the first n records, for n from 0 to 3.
RECORD_ENDS = [len(MAGIC) + sum(len(encode_record(record)) for record in RECORDS[:n]) for n in range(4)]


class LogRecovery(unittest.TestCase):
    def test_log_torn_at_any_byte_recovers_complete_records(self):
        for size in range(len(LOG_CONTENT) + 1):
            recovered = read_records(LOG_CONTENT[:size], "log")
            complete = sum(end <= size for end in RECORD_ENDS[1:])
            self.assertEqual(
                (recovered.records, recovered.last_record_damaged), (RECORDS[:complete], False), size
            )
            self.assertEqual(recovered.valid_bytes, RECORD_ENDS[complete] if size >= len(MAGIC) else 0)

    def test_log_with_a_flipped_bit_never_returns_the_damaged_record(self):
        for position in range(len(LOG_CONTENT)):
            data = bytearray(LOG_CONTENT)
            data[position] ^= 4
            try:
                recovered = read_records(bytes(data), "log")
            except StoreError as error:
                self.assertIn("log: ", str(error))
                continue
            self.assertGreaterEqual(
                position, RECORD_ENDS[2], "damage before the last record must raise StoreError"
            )
            self.assertEqual(recovered.records, RECORDS[:2])
            self.assertTrue(recovered.last_record_damaged or recovered.torn_bytes)

    def test_record_appended_after_a_torn_write_is_recovered(self):
        with tempfile.TemporaryDirectory() as path:
            for size in range(len(LOG_CONTENT) + 1):
                Path(path, "log").write_bytes(LOG_CONTENT[:size])
                log = LogFile(Directory(path))
                log.append(b"next")
                log.sync()
                log.close()
                reopened = LogFile(Directory(path))
                reopened.close()
                complete = sum(end <= size for end in RECORD_ENDS[1:])
                self.assertEqual(reopened.recovered.records, [*RECORDS[:complete], b"next"], size)

    @given(st.binary(max_size=200))
    @settings(max_examples=200)
    def test_arbitrary_bytes_are_parsed_or_raise_store_error(self, data: bytes):
        with contextlib.suppress(StoreError):
            read_records(MAGIC + data, "log")


class StoreCase(unittest.TestCase):
    """Base of tests with a temporary data directory."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.data_path = temporary.name

    def open_store(
        self, directory: Directory | None = None, name: str = "k0", cluster: str = "c"
    ) -> replica_store.ReplicaStore:
        store = replica_store.ReplicaStore(directory or Directory(self.data_path), cluster, name)
        self.addCleanup(store.close)
        return store

    def make_entries(self, first: int, count: int, term: int = 1) -> tuple[Entry, ...]:
        return tuple(
            Entry(index, term, EntryKind.COMMAND, b"%d" % index) for index in range(first, first + count)
        )

    def format_store(self, directory: Directory | None = None) -> replica_store.ReplicaStore:
        """Format a named disk as `--init` does, which has acknowledged nothing."""
        store = replica_store.ReplicaStore(directory or Directory(self.data_path), "c", "k0", "c/k0/1")
        self.addCleanup(store.close)
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        return store

    def restart(self) -> replica_store.ReplicaStore:
        """Open and close the store once more, and return it."""
        store = self.open_store()
        store.close()
        return store


class Persistence(StoreCase):
    def test_restart_recovers_synced_records_and_increments_start_count(self):
        store = self.format_store()
        store.append(PersistTermAndVote(4, "k2"))
        store.append(PersistEntries(self.make_entries(2, 3)))
        store.append(PersistEntries(self.make_entries(3, 1, term=4)))  # Replaces the entries 3 and 4.
        store.sync()
        store.close()
        reopened = self.open_store()
        self.assertEqual(
            (
                reopened.persistent_state.term,
                reopened.persistent_state.voted_for,
                reopened.persistent_state.needs_catch_up,
            ),
            (4, "k2", False),
        )
        self.assertEqual(
            [(entry.index, entry.term) for entry in reopened.persistent_state.entries], [(2, 1), (3, 4)]
        )
        self.assertEqual(reopened.identity.start_count, 2)

    def test_snapshot_replaces_covered_entries_in_the_log(self):
        store = self.format_store()
        store.append(PersistTermAndVote(2, "k0"))
        store.append(PersistEntries(self.make_entries(2, 5)))
        store.record_peer_start("other", 7)
        store.sync()
        before = store.log.size
        store.write_snapshot(Snapshot(5, 1, {"k0": Peer("")}, b"state"), list(self.make_entries(6, 1)))
        self.assertLess(store.log.size, before)
        store.close()
        reopened = self.open_store()
        self.assertEqual(
            (reopened.persistent_state.snapshot.index, reopened.persistent_state.snapshot.data), (5, b"state")
        )
        self.assertEqual([entry.index for entry in reopened.persistent_state.entries], [6])
        self.assertEqual(
            (reopened.persistent_state.term, reopened.persistent_state.voted_for, reopened.peer_start_counts),
            (2, "k0", {"other": 7}),
        )

    def test_crash_between_snapshot_write_and_log_rewrite_recovers_from_the_snapshot(self):
        store = self.format_store()
        store.append(PersistEntries(self.make_entries(2, 4)))
        store.sync()
        store.snapshots.write(Snapshot(4, 1, {"k0": Peer("")}, b"state"))
        store.close()
        reopened = self.open_store()
        self.assertEqual(reopened.persistent_state.snapshot.index, 4)
        self.assertEqual([entry.index for entry in reopened.persistent_state.entries], [5])

    def test_empty_disk_and_damaged_last_record_need_catch_up(self):
        with tempfile.TemporaryDirectory() as path:
            empty = self.open_store(Directory(path))
            self.assertTrue(empty.persistent_state.needs_catch_up)
            empty.close()
        self.damage_last_record()
        reopened = self.open_store()
        self.assertTrue(reopened.recovery.last_record_damaged and reopened.persistent_state.needs_catch_up)
        self.assertEqual(reopened.persistent_state.entries, ())

    def damage_last_record(self) -> None:
        """Flip a bit of the last synced record."""
        store = self.format_store()
        store.append(PersistEntries(self.make_entries(2, 1)))
        store.sync()
        store.close()
        path = Path(self.data_path) / "log"
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(bytes(data))

    def test_need_to_catch_up_persists_across_restarts_until_cleared(self):
        for reason, prepare_disk in (
            (catch_up.DAMAGED_RECORD, self.damage_last_record),
            (catch_up.EMPTY_DISK, lambda: None),
        ):
            with self.subTest(reason), tempfile.TemporaryDirectory() as self.data_path:
                prepare_disk()
                for start in range(3):
                    store = self.restart()
                    self.assertEqual(
                        (store.catch_up_reason, store.persistent_state.needs_catch_up), (reason, True), start
                    )
                store = self.open_store()
                store.complete_catch_up()
                store.complete_catch_up()
                store.close()
                store = self.restart()
                self.assertEqual((store.catch_up_reason, store.persistent_state.needs_catch_up), ("", False))

    def test_failure_at_any_step_of_opening_preserves_the_need_to_catch_up(self):
        steps = ("rename", "write", "sync", "sync_directory")
        for step in steps:
            # The first call of each step writes the marker file, the second one the log.
            for successful_calls in range(2):
                with (
                    self.subTest(step, successful_calls=successful_calls),
                    tempfile.TemporaryDirectory() as self.data_path,
                ):
                    self.damage_last_record()
                    directory = FaultyDirectory(self.data_path)
                    directory.failing, directory.calls_before_failure = (
                        {step: errno.EIO},
                        successful_calls,
                    )
                    with self.assertRaises(OSError):
                        replica_store.ReplicaStore(directory, "c", "k0")
                    self.assertTrue(self.restart().persistent_state.needs_catch_up)

    def test_formatting_a_disk_removes_a_stale_catch_up_marker(self):
        Directory(self.data_path).replace(catch_up.MARKER_NAME, b"of an empty start that was killed")
        store = replica_store.ReplicaStore(Directory(self.data_path), "c", "k0", "c/k0/1")
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        store.close()
        self.assertFalse(self.restart().persistent_state.needs_catch_up)

    def test_disk_of_another_replica_or_of_a_newer_format_raises_store_error(self):
        self.format_store().close()
        with self.assertRaisesRegex(StoreError, "belongs to replica k0 of cluster c"):
            self.open_store(name="k1")
        identity = records.DiskIdentity(records.FORMAT_VERSION + 1, "c", "k0", "d", 1)
        log = LogFile(Directory(self.data_path))
        log.append(records.encode(identity))
        log.sync()
        log.close()
        with self.assertRaisesRegex(StoreError, "unsupported format 2, the newest is 1"):
            self.open_store()

    def test_damaged_snapshot_falls_back_to_the_previous_one(self):
        store = self.format_store()
        store.snapshots.write(Snapshot(9, 1, {}, b"newer"))
        with store.snapshots._environment.begin(write=True) as transaction:
            transaction.put(b"%020d" % 9, b"damaged!")
        self.assertEqual(store.snapshots.read_newest().index, 1)
        with store.snapshots._environment.begin(write=True) as transaction:
            transaction.put(b"%020d" % 1, b"damaged!")
        with self.assertRaisesRegex(StoreError, "all 2 snapshots are damaged"):
            store.snapshots.read_newest()

    def test_peer_disk_with_a_lower_start_count_is_rejected(self):
        store = self.format_store()
        self.assertTrue(store.record_peer_start("d1", 5))
        self.assertTrue(store.record_peer_start("d1", 5))
        self.assertFalse(store.record_peer_start("d1", 4))
        self.assertTrue(store.record_peer_start("d1", 6))

    def test_truncated_or_damaged_backup_raises_store_error(self):
        snapshot = Snapshot(7, 2, {"k0": Peer("127.0.0.1:1")}, b"state")
        data = snapshots.encode_checksummed(snapshot)
        self.assertEqual(snapshots.decode_backup(data), snapshot)
        for damaged in (data[:-1], data[:4], b"", bytes([data[0] ^ 1]) + data[1:]):
            with self.assertRaises(StoreError):
                snapshots.decode_backup(damaged)


class FaultyFile(AppendFile):
    """A file with the faults of its directory, which also records the synced content by inode."""

    def __init__(self, path: str, directory: "FaultyDirectory") -> None:
        super().__init__(path)
        self.directory, self.inode = directory, os.fstat(self.fileno()).st_ino
        # Offset and data of each write since the last sync, whether that succeeded or failed.
        self.unsynced_writes: list[tuple[int, bytes]] = []

    def write(self, data: bytes) -> None:
        try:
            self.directory.raise_if_failing("write")
        except OSError:
            self._append(data[: self.directory.short_write_bytes])
            raise
        self._append(data)

    def _append(self, data: bytes) -> None:
        self.unsynced_writes.append((os.fstat(self.fileno()).st_size, data))
        super().write(data)

    def sync(self) -> None:
        # As in the page cache of Linux, a failed sync also marks the writes as clean.
        writes, self.unsynced_writes = self.unsynced_writes, []
        self.directory.raise_if_failing("sync")
        synced = self.directory.synced_content(self.inode)
        for offset, data in writes:
            synced.extend(bytes(max(0, offset - len(synced))))  # Earlier lost writes read as zeros.
            synced[offset : offset + len(data)] = data
        super().sync()

    def truncate(self, size: int) -> None:
        self.directory.raise_if_failing("truncate")
        del self.directory.synced_content(self.inode)[size:]
        super().truncate(size)


class FaultyDirectory(Directory):
    """A directory with injected faults: each call in `failing` raises OSError with the given errno."""

    def __init__(self, root: str) -> None:
        super().__init__(root)
        self.failing: dict[str, int] = {}
        self.calls_before_failure = 0  # Calls in `failing` that still succeed before the first failure.
        self.short_write_bytes = 0  # Bytes that a failing write still writes.
        self.synced_by_inode: dict[int, bytearray] = {}

    def open_path(self, path: str) -> FaultyFile:
        return FaultyFile(path, self)

    def raise_if_failing(self, call: str) -> None:
        if call in self.failing:
            if self.calls_before_failure:
                self.calls_before_failure -= 1
                return
            raise OSError(self.failing[call], os.strerror(self.failing[call]))

    def synced_content(self, inode: int) -> bytearray:
        """Return the content of a file that would survive a power loss."""
        return self.synced_by_inode.setdefault(inode, bytearray())

    def open(self, name: str) -> AppendFile:
        self.raise_if_failing("open")
        return super().open(name)

    def sync(self) -> None:
        self.raise_if_failing("sync_directory")
        super().sync()

    def replace(self, name: str, content: bytes) -> None:
        real_replace = os.replace

        def replace_or_fail(*paths: str) -> None:
            self.raise_if_failing("rename")
            real_replace(*paths)

        with mock.patch("os.replace", replace_or_fail):
            super().replace(name, content)

    def simulate_power_loss(self, name: str = "log") -> None:
        """Reduce a file to its synced content."""
        path = Path(self.path(name))
        path.write_bytes(self.synced_content(path.stat().st_ino))


WRITE_ERRORS = (errno.ENOSPC, errno.EIO)


class DiskFaults(StoreCase):
    """Injected disk faults: the store never reports data as durable that is not."""

    def setUp(self):
        super().setUp()
        self.directory = FaultyDirectory(self.data_path)

    def open_log(self) -> LogFile:
        log = LogFile(self.directory)
        self.addCleanup(log.close)
        return log

    def create_log(self, *records: bytes) -> LogFile:
        log = self.open_log()
        log.rewrite(list(records))
        return log

    def test_failed_write_or_sync_raises_os_error(self):
        store = self.open_store(self.directory)
        for call in ("write", "sync"):
            with self.subTest(call):
                self.directory.failing = {call: errno.EIO}
                with self.assertRaises(OSError):
                    store.append(PersistTermAndVote(9, "k1"))
                    store.sync()
                self.directory.failing = {}
                store.close()
                store = self.open_store(self.directory)

    def test_partly_written_record_is_cut_off_before_the_next_append(self):
        for error_number in WRITE_ERRORS:
            for written_bytes in range(len(encode_record(b"half"))):
                with self.subTest(error_number=error_number, written_bytes=written_bytes):
                    log = self.create_log(b"first")
                    self.directory.failing, self.directory.short_write_bytes = (
                        {"write": error_number},
                        written_bytes,
                    )
                    with self.assertRaises(OSError):
                        log.append(b"half")
                    self.directory.failing = {}
                    log.append(b"next")
                    log.sync()
                    log.close()
                    self.assertEqual(self.open_log().recovered.records, [b"first", b"next"])

    def test_failed_truncation_of_a_partial_record_makes_the_log_unusable_until_reopened(self):
        log = self.create_log(b"first")
        self.directory.failing, self.directory.short_write_bytes = (
            {"write": errno.ENOSPC, "truncate": errno.EIO},
            5,
        )
        with self.assertRaises(OSError):
            log.append(b"half")
        self.directory.failing = {}
        for operation in (lambda: log.append(b"next"), log.sync, lambda: log.rewrite([])):
            with self.assertRaisesRegex(OSError, "log must be reopened"):
                operation()
        log.close()
        reopened = self.open_log()
        self.assertEqual((reopened.recovered.records, reopened.recovered.torn_bytes), ([b"first"], 5))
        reopened.append(b"next")
        reopened.sync()
        reopened.close()
        self.assertEqual(self.open_log().recovered.records, [b"first", b"next"])

    def test_failed_sync_makes_the_log_unusable(self):
        log = self.create_log(b"first")
        log.append(b"lost")
        self.directory.failing = {"sync": errno.EIO}
        with self.assertRaises(OSError):
            log.sync()
        self.directory.failing = {}
        for operation in (log.sync, lambda: log.append(b"next")):
            with self.assertRaisesRegex(OSError, "log must be reopened"):
                operation()

    def test_records_recovered_after_a_failed_sync_survive_a_power_loss(self):
        """Reopening reads unsynced records from the page cache, which a later sync alone does not write."""
        store = self.format_store(self.directory)
        store.append(PersistTermAndVote(4, "k2"))
        store.sync()
        self.directory.failing = {"sync": errno.EIO}
        store.append(PersistEntries(self.make_entries(2, 2)))
        with self.assertRaises(OSError):
            store.sync()
        self.directory.failing = {}
        store.close()
        reopened = self.open_store(self.directory)
        self.assertEqual([entry.index for entry in reopened.persistent_state.entries], [2, 3])
        reopened.append(PersistEntries(self.make_entries(4, 1)))
        reopened.sync()
        reopened.close()
        self.directory.simulate_power_loss()
        last = self.open_store(self.directory)
        self.assertEqual([entry.index for entry in last.persistent_state.entries], [2, 3, 4])
        self.assertEqual(
            (
                last.persistent_state.term,
                last.persistent_state.voted_for,
                last.persistent_state.needs_catch_up,
            ),
            (4, "k2", False),
        )

    def open_store_files(self) -> list[str]:
        """Return the open files of the store; what other tests left may be closed at any time."""
        targets = []
        for descriptor in os.listdir("/proc/self/fd"):
            with contextlib.suppress(FileNotFoundError):  # closed since, or the listing's own
                targets.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        return [target for target in targets if target.startswith(os.path.realpath(self.data_path))]

    def test_failed_opening_preserves_the_log_and_closes_all_files(self):
        self.format_store().close()
        self.assertEqual(self.open_store_files(), [])
        for call in ("open", "write", "sync", "rename", "sync_directory"):
            for error_number in (*WRITE_ERRORS, errno.EMFILE):
                with self.subTest(call=call, error_number=error_number):
                    self.directory.failing, self.directory.short_write_bytes = {call: error_number}, 3
                    with self.assertRaises(OSError):
                        replica_store.ReplicaStore(self.directory, "c", "k0")
                    self.assertEqual(self.open_store_files(), [])
                    self.assertNotIn("log.new", os.listdir(self.data_path))
        self.directory.failing = {}
        self.assertEqual(self.open_store(self.directory).persistent_state.snapshot.index, 1)

    def test_rewrite_failing_at_any_step_leaves_either_the_old_or_the_new_log(self):
        for call in ("write", "sync", "rename", "sync_directory", "open"):
            for error_number in WRITE_ERRORS:
                with self.subTest(call=call, error_number=error_number):
                    log = self.create_log(b"old")
                    self.directory.failing, self.directory.short_write_bytes = {call: error_number}, 7
                    with self.assertRaises(OSError):
                        log.rewrite([b"new"])
                    self.directory.failing = {}
                    with self.assertRaisesRegex(OSError, "log must be reopened"):
                        log.append(b"to a file that is none any more")
                    log.close()
                    expected = [b"new"] if call in ("sync_directory", "open") else [b"old"]
                    self.assertEqual(self.open_log().recovered.records, expected)

    def test_snapshot_is_recovered_after_a_failed_log_rewrite(self):
        store = self.open_store(self.directory)
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        store.append(PersistEntries(self.make_entries(2, 2)))
        store.sync()
        self.directory.failing = {"write": errno.ENOSPC}
        with self.assertRaises(OSError):
            store.write_snapshot(Snapshot(3, 1, {}, b"x"), [])
        self.directory.failing = {}
        store.close()
        # The snapshot was written completely before the log rewrite began.
        self.assertEqual(self.open_store().persistent_state.snapshot.index, 3)

    def test_replace_discards_a_temporary_file_left_by_a_killed_process(self):
        temporary = Path(self.data_path) / "kept.new"
        temporary.write_bytes(b"half of an older")
        with mock.patch("os.stat", side_effect=OSError(errno.EIO, "stat failed")):
            self.directory.replace("kept", b"whole")
        self.assertEqual((Path(self.data_path) / "kept").read_bytes(), b"whole")
        self.assertFalse(temporary.exists())

    def test_lmdb_failures_raise_os_error_and_keep_the_older_snapshot(self):
        self.format_store().close()
        database = snapshots.SnapshotDatabase(self.directory, map_bytes=1 << 16)
        self.addCleanup(database.close)
        large = Snapshot(5, 1, {}, bytes(1 << 17))
        with self.assertRaisesRegex(OSError, "MDB_MAP_FULL"):
            database.write(large)
        self.assertEqual(database.read_newest().index, 1)
        real_environment = database._environment
        for name, operation in (("begin", lambda: database.write(large)), ("begin", database.read_newest)):
            database._environment = mock.Mock(
                **{f"{name}.side_effect": lmdb.DiskError("mdb_txn_commit: EIO")}
            )
            with self.assertRaisesRegex(OSError, "mdb_txn_commit: EIO"):
                operation()
        database._environment = real_environment
        with (
            mock.patch("lmdb.open", side_effect=lmdb.Error("No space left on device")),
            self.assertRaisesRegex(OSError, "No space left"),
        ):
            replica_store.ReplicaStore(FaultyDirectory(self.data_path), "c", "k0")

    def test_disk_that_lost_acknowledged_state_needs_catch_up(self):
        store = self.format_store()
        store.append(PersistTermAndVote(4, "k2"))
        store.append(PersistEntries(self.make_entries(2, 2, term=4)))
        store.sync()
        acknowledged = store.acknowledged
        cases = (
            ({}, False),
            ({"term": 5}, True),
            ({"vote": "k1"}, True),
            ({"last_index": 4}, True),
            ({"last_term": 5}, True),
            ({"last_index": 1, "vote": ""}, False),
        )
        for changed_fields, needs_catch_up in cases:
            with self.subTest(changed_fields):
                store.close()
                store = replica_store.ReplicaStore(
                    self.directory, "c", "k0", acknowledged=acknowledged._replace(**changed_fields)
                )
                self.addCleanup(store.close)
                self.assertEqual(store.catch_up_reason, catch_up.LOST_RECORDS if needs_catch_up else "")
                self.assertEqual(store.persistent_state.needs_catch_up, needs_catch_up)
                store.complete_catch_up()
        store.append(PersistEntries(self.make_entries(4, 1, term=4)))
        self.assertEqual(store.acknowledged, acknowledged, "unsynced entries must not count as acknowledged")

    def test_directory_locked_by_another_process_raises_disk_in_use_and_is_unchanged(self):
        store = self.format_store()
        log_content = (Path(self.data_path) / "log").read_bytes()
        code = (
            "from cedarmill.store import files, replica_store as store;"
            "store.ReplicaStore(files.Directory('.'), 'c', 'k0')"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=self.data_path,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
        )
        self.assertRegex(
            completed.stderr,
            "DiskInUseError: .* holds the disk .* already, and another process has locked it",
        )
        self.assertEqual((Path(self.data_path) / "log").read_bytes(), log_content)
        store.close()
        self.open_store()

    def test_exists_raises_os_error_if_stat_fails(self):
        self.assertFalse(self.directory.exists("kept"))
        self.directory.replace("kept", b"whole")
        self.assertTrue(self.directory.exists("kept"))
        with mock.patch("os.stat", side_effect=OSError(errno.EIO, "stat failed")), self.assertRaises(OSError):
            self.directory.exists("kept")

    def test_snapshot_of_an_unknown_format_raises_store_error(self):
        store = self.format_store()
        data = snapshots.msgspec.msgpack.encode(["of", "another", "format"])
        with store.snapshots._environment.begin(write=True) as transaction:
            transaction.put(b"%020d" % 9, snapshots.xxhash.xxh3_64_digest(data) + data)
        with self.assertRaisesRegex(StoreError, "snapshots: snapshot of an unknown format"):
            store.snapshots.read_newest()

    def test_interrupted_formatting_can_be_repeated(self):
        store = replica_store.ReplicaStore(self.directory, "c", "k0", "c/k0/1")
        store.close()  # As if the process was killed before the first snapshot.
        reopened = replica_store.ReplicaStore(self.directory, "c", "k0", "c/k0/1")
        reopened.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        reopened.close()
        with self.assertRaisesRegex(StoreError, "holds the disk c/k0/1 already"):
            replica_store.ReplicaStore(self.directory, "c", "k0", "c/k0/1")

    def test_store_torn_at_any_byte_of_appended_records_recovers_the_complete_ones(self):
        store = self.format_store()
        initial_size = store.log.size
        record_ends = []
        for action in (
            PersistTermAndVote(4, "k2"),
            PersistEntries(self.make_entries(2, 2)),
            PersistTermAndVote(5, ""),
            PersistEntries(self.make_entries(3, 2, 5)),
        ):
            store.append(action)
            record_ends.append(store.log.size)
        store.sync()
        store.close()
        path = Path(self.data_path) / "log"
        log_content = path.read_bytes()
        expected_states = [
            (1, "", []),
            (4, "k2", []),
            (4, "k2", [2, 3]),
            (5, "", [2, 3]),
            (5, "", [2, 3, 4]),
        ]
        for size in range(initial_size, len(log_content) + 1):
            path.write_bytes(log_content[:size])
            store = self.open_store()
            store.close()
            recovered = store.persistent_state
            state = recovered.term, recovered.voted_for, [entry.index for entry in recovered.entries]
            self.assertEqual(state, expected_states[sum(end <= size for end in record_ends)], size)
            self.assertFalse(recovered.needs_catch_up)

    def test_database_with_interrupted_creation_is_recreated(self):
        path = Path(self.data_path, snapshots.DATABASE_FILE)
        for size in (1, snapshots.META_PAGES_BYTES // 2, snapshots.META_PAGES_BYTES - 1):
            for log_content in (None, b""):
                with self.subTest(size=size, log_content=log_content):
                    shutil.rmtree(self.data_path)
                    path.parent.mkdir(parents=True)
                    path.write_bytes(bytes(size))
                    if log_content is not None:
                        Path(self.data_path, "log").write_bytes(log_content)
                    self.format_store().close()
                    self.assertEqual(self.restart().persistent_state.snapshot.index, 1)

    def test_truncated_or_overwritten_database_with_a_log_raises_damaged_error(self):
        self.format_store().close()
        path = Path(self.data_path, snapshots.DATABASE_FILE)
        original = path.read_bytes()
        for content in (original[:1], b"spoiled!" * 8 + original[64:]):
            path.write_bytes(content)
            with self.assertRaisesRegex(DamagedError, "not an LMDB file"):
                self.open_store()

    def test_missing_log_with_existing_snapshots_needs_catch_up(self):
        self.format_store().close()
        os.remove(Path(self.data_path) / "log")
        self.assertTrue(self.open_store().persistent_state.needs_catch_up)


if __name__ == "__main__":
    unittest.main()
