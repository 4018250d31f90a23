"""The keeper's disk: whatever a crash or a fault leaves is recovered, or refused in one line."""

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
from cedarmill.store import records, replica_store, snapshots
from cedarmill.store.errors import DamagedError, StoreError
from cedarmill.store.files import AppendFile, Directory
from cedarmill.store.log import MAGIC, LogFile, encode_record, read_records
from tests.support.node_case import ROOT

RECORDS = [b"first", b"second" * 5, b"third"]
WHOLE = MAGIC + b"".join(map(encode_record, RECORDS))
ENDS = [len(MAGIC) + sum(len(encode_record(one)) for one in RECORDS[:n]) for n in range(4)]


class Recovery(unittest.TestCase):
    def test_a_tail_torn_at_any_byte_leaves_what_was_whole(self):
        for size in range(len(WHOLE) + 1):
            found = read_records(WHOLE[:size], "log")
            whole = sum(end <= size for end in ENDS[1:])
            self.assertEqual((found.records, found.last_record_damaged), (RECORDS[:whole], False), size)
            self.assertEqual(found.valid_bytes, ENDS[whole] if size >= len(MAGIC) else 0)

    def test_a_bit_flipped_anywhere_is_never_taken_for_what_was_written(self):
        for place in range(len(WHOLE)):
            text = bytearray(WHOLE)
            text[place] ^= 4
            try:
                found = read_records(bytes(text), "log")
            except StoreError as error:
                self.assertIn("log: ", str(error))
                continue
            self.assertGreaterEqual(place, ENDS[2], "damage before the last record has to be refused")
            self.assertEqual(found.records, RECORDS[:2])
            self.assertTrue(found.last_record_damaged or found.torn_bytes)

    def test_after_a_kill_at_any_byte_the_next_records_are_read_back(self):
        with tempfile.TemporaryDirectory() as folder:
            for size in range(len(WHOLE) + 1):
                Path(folder, "log").write_bytes(WHOLE[:size])
                log = LogFile(Directory(folder))
                log.append(b"next")
                log.sync()
                log.close()
                again = LogFile(Directory(folder))
                again.close()
                whole = sum(end <= size for end in ENDS[1:])
                self.assertEqual(again.recovered.records, [*RECORDS[:whole], b"next"], size)

    @given(st.binary(max_size=200))
    @settings(max_examples=200)
    def test_any_bytes_are_refused_or_read_and_never_a_traceback(self, text: bytes):
        with contextlib.suppress(StoreError):
            read_records(MAGIC + text, "log")


class Folder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def store(
        self, files: Directory | None = None, name: str = "k0", cluster: str = "c"
    ) -> replica_store.ReplicaStore:
        store = replica_store.ReplicaStore(files or Directory(self.folder), cluster, name)
        self.addCleanup(store.close)
        return store

    def entries(self, first: int, count: int, term: int = 1) -> tuple[Entry, ...]:
        return tuple(Entry(n, term, EntryKind.COMMAND, b"%d" % n) for n in range(first, first + count))

    def formatted(self, files: Directory | None = None) -> replica_store.ReplicaStore:
        """As `--init` formats it: a disk with a name, which has promised nothing."""
        store = replica_store.ReplicaStore(files or Directory(self.folder), "c", "k0", "c/k0/1")
        self.addCleanup(store.close)
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        return store

    def restarted(self) -> replica_store.ReplicaStore:
        """The store of the next start, closed again."""
        store = self.store()
        store.close()
        return store


class Keeping(Folder):
    def test_what_was_synced_is_there_after_a_start_and_starts_are_counted(self):
        store = self.formatted()
        store.append(PersistTermAndVote(4, "k2"))
        store.append(PersistEntries(self.entries(2, 3)))
        store.append(PersistEntries(self.entries(3, 1, term=4)))  # replaces two
        store.sync()
        store.close()
        again = self.store()
        self.assertEqual(
            (again.persistent_state.term, again.persistent_state.vote, again.persistent_state.needs_catch_up),
            (4, "k2", False),
        )
        self.assertEqual([(e.index, e.term) for e in again.persistent_state.entries], [(2, 1), (3, 4)])
        self.assertEqual(again.identity.start_count, 2)

    def test_a_snapshot_takes_the_place_of_what_it_holds(self):
        store = self.formatted()
        store.append(PersistTermAndVote(2, "k0"))
        store.append(PersistEntries(self.entries(2, 5)))
        store.record_peer_start("other", 7)
        store.sync()
        before = store.log.size
        store.write_snapshot(Snapshot(5, 1, {"k0": Peer("")}, b"state"), list(self.entries(6, 1)))
        self.assertLess(store.log.size, before)
        store.close()
        again = self.store()
        self.assertEqual(
            (again.persistent_state.snapshot.index, again.persistent_state.snapshot.data), (5, b"state")
        )
        self.assertEqual([e.index for e in again.persistent_state.entries], [6])
        self.assertEqual(
            (again.persistent_state.term, again.persistent_state.vote, again.peer_start_counts),
            (2, "k0", {"other": 7}),
        )

    def test_a_crash_between_snapshot_and_log_leaves_both_and_the_newer_wins(self):
        store = self.formatted()
        store.append(PersistEntries(self.entries(2, 4)))
        store.sync()
        store.snapshots.write(Snapshot(4, 1, {"k0": Peer("")}, b"state"))
        store.close()
        again = self.store()
        self.assertEqual(again.persistent_state.snapshot.index, 4)
        self.assertEqual([e.index for e in again.persistent_state.entries], [5])

    def test_an_empty_disk_and_a_damaged_last_record_doubt_themselves(self):
        with tempfile.TemporaryDirectory() as folder:
            empty = self.store(Directory(folder))
            self.assertTrue(empty.persistent_state.needs_catch_up)
            empty.close()
        self.damage_last_record()
        again = self.store()
        self.assertTrue(again.recovery.last_record_damaged and again.persistent_state.needs_catch_up)
        self.assertEqual(again.persistent_state.entries, ())

    def damage_last_record(self) -> None:
        """Flip a bit of the last record that was synced."""
        store = self.formatted()
        store.append(PersistEntries(self.entries(2, 1)))
        store.sync()
        store.close()
        path = Path(self.folder) / "log"
        text = bytearray(path.read_bytes())
        text[-1] ^= 1
        path.write_bytes(bytes(text))

    def test_a_doubt_outlives_restarts_until_the_replica_was_brought_up_to_date(self):
        for doubt, begin in (
            (replica_store.DAMAGED_RECORD, self.damage_last_record),
            (replica_store.EMPTY_DISK, lambda: None),
        ):
            with self.subTest(doubt), tempfile.TemporaryDirectory() as self.folder:
                begin()
                for start in range(3):
                    store = self.restarted()
                    self.assertEqual(
                        (store.doubt, store.persistent_state.needs_catch_up), (doubt, True), start
                    )
                store = self.store()
                store.end_doubt()
                store.end_doubt()
                store.close()
                store = self.restarted()
                self.assertEqual((store.doubt, store.persistent_state.needs_catch_up), ("", False))

    def test_a_kill_at_any_step_of_an_opening_in_doubt_leaves_the_doubt(self):
        steps = ("rename", "write", "sync", "sync_directory")
        for step in steps:
            for passing in range(2):  # the file of the doubt, then the log
                with self.subTest(step, passing=passing), tempfile.TemporaryDirectory() as self.folder:
                    self.damage_last_record()
                    files = FaultyDirectory(self.folder)
                    files.failing, files.passing = {step: errno.EIO}, passing
                    with self.assertRaises(OSError):
                        replica_store.ReplicaStore(files, "c", "k0")
                    self.assertTrue(self.restarted().persistent_state.needs_catch_up)

    def test_a_disk_that_is_formatted_is_in_no_doubt(self):
        Directory(self.folder).replace(replica_store.DOUBT_NAME, b"of an empty start that was killed")
        store = replica_store.ReplicaStore(Directory(self.folder), "c", "k0", "c/k0/1")
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        store.close()
        self.assertFalse(self.restarted().persistent_state.needs_catch_up)

    def test_another_keeper_s_disk_and_a_newer_format_are_refused(self):
        self.formatted().close()
        with self.assertRaisesRegex(StoreError, "of keeper k0 of cluster c"):
            self.store(name="k1")
        identity = records.DiskIdentity(records.FORMAT_VERSION + 1, "c", "k0", "d", 1)
        log = LogFile(Directory(self.folder))
        log.append(records.encode(identity))
        log.sync()
        log.close()
        with self.assertRaisesRegex(StoreError, "format 2, this program reads up to 1"):
            self.store()

    def test_a_damaged_snapshot_gives_way_to_the_one_before(self):
        store = self.formatted()
        store.snapshots.write(Snapshot(9, 1, {}, b"newer"))
        with store.snapshots._environment.begin(write=True) as change:
            change.put(b"%020d" % 9, b"damaged!")
        self.assertEqual(store.snapshots.read_newest().index, 1)
        with store.snapshots._environment.begin(write=True) as change:
            change.put(b"%020d" % 1, b"damaged!")
        with self.assertRaisesRegex(StoreError, "2 snapshots, all damaged"):
            store.snapshots.read_newest()

    def test_an_old_copy_of_a_disk_is_known_by_its_starts(self):
        store = self.formatted()
        self.assertTrue(store.record_peer_start("d1", 5))
        self.assertTrue(store.record_peer_start("d1", 5))
        self.assertFalse(store.record_peer_start("d1", 4))
        self.assertTrue(store.record_peer_start("d1", 6))

    def test_a_backup_is_read_whole_or_not_at_all(self):
        snapshot = Snapshot(7, 2, {"k0": Peer("127.0.0.1:1")}, b"state")
        text = snapshots.encode_checksummed(snapshot)
        self.assertEqual(snapshots.decode_backup(text), snapshot)
        for broken in (text[:-1], text[:4], b"", bytes([text[0] ^ 1]) + text[1:]):
            with self.assertRaises(StoreError):
                snapshots.decode_backup(broken)


class FaultyFile(AppendFile):
    """A file whose calls fail as its folder says; what was synced is known by its inode."""

    def __init__(self, path: str, folder: "FaultyDirectory") -> None:
        super().__init__(path)
        self.folder, self.number = folder, os.fstat(self.fileno()).st_ino
        self.written: list[tuple[int, bytes]] = []  # since the last sync, whether that failed or not

    def write(self, text: bytes) -> None:
        try:
            self.folder.check("write")
        except OSError:
            self._append(text[: self.folder.short])
            raise
        self._append(text)

    def _append(self, text: bytes) -> None:
        self.written.append((os.fstat(self.fileno()).st_size, text))
        super().write(text)

    def sync(self) -> None:
        written, self.written = self.written, []  # marked as clean, also by a sync that fails
        self.folder.check("sync")
        image = self.folder.image(self.number)
        for start, text in written:
            image.extend(bytes(max(0, start - len(image))))  # what was lost before reads as zeros
            image[start : start + len(text)] = text
        super().sync()

    def truncate(self, size: int) -> None:
        self.folder.check("truncate")
        del self.folder.image(self.number)[size:]
        super().truncate(size)


class FaultyDirectory(Directory):
    """A folder whose calls `failing` fail so after `passing` of them, a write after `short` bytes."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.failing: dict[str, int] = {}
        self.passing = 0  # calls that would fail and are carried out first
        self.short = 0
        self.images: dict[int, bytearray] = {}

    def open_path(self, path: str) -> FaultyFile:
        return FaultyFile(path, self)

    def check(self, call: str) -> None:
        if call in self.failing:
            if self.passing:
                self.passing -= 1
                return
            raise OSError(self.failing[call], os.strerror(self.failing[call]))

    def image(self, number: int) -> bytearray:
        """What of a file is on the disk, whatever a reader of it sees."""
        return self.images.setdefault(number, bytearray())

    def open(self, name: str) -> AppendFile:
        self.check("open")
        return super().open(name)

    def sync(self) -> None:
        self.check("sync_directory")
        super().sync()

    def replace(self, name: str, text: bytes) -> None:
        real = os.replace

        def renamed(*paths: str) -> None:
            self.check("rename")
            real(*paths)

        with mock.patch("os.replace", renamed):
            super().replace(name, text)

    def cut_power(self, name: str = "log") -> None:
        """Only what was synced is left of a file."""
        path = Path(self.path(name))
        path.write_bytes(self.image(path.stat().st_ino))


ERRORS = (errno.ENOSPC, errno.EIO)


class Failing(Folder):
    """Faults put in under the store: nothing is said to be kept that is not."""

    def setUp(self):
        super().setUp()
        self.files = FaultyDirectory(self.folder)

    def open_log(self) -> LogFile:
        log = LogFile(self.files)
        self.addCleanup(log.close)
        return log

    def log_with(self, *records: bytes) -> LogFile:
        log = self.open_log()
        log.rewrite(list(records))
        return log

    def test_a_full_disk_and_a_failed_sync_are_told(self):
        store = self.store(self.files)
        for call in ("write", "sync"):
            with self.subTest(call):
                self.files.failing = {call: errno.EIO}
                with self.assertRaises(OSError):
                    store.append(PersistTermAndVote(9, "k1"))
                    store.sync()
                self.files.failing = {}
                store.close()
                store = self.store(self.files)

    def test_a_record_written_in_part_is_cut_before_the_next_one_at_any_byte(self):
        for number in ERRORS:
            for short in range(len(encode_record(b"half"))):
                with self.subTest(number=number, short=short):
                    log = self.log_with(b"first")
                    self.files.failing, self.files.short = {"write": number}, short
                    with self.assertRaises(OSError):
                        log.append(b"half")
                    self.files.failing = {}
                    log.append(b"next")
                    log.sync()
                    log.close()
                    self.assertEqual(self.open_log().recovered.records, [b"first", b"next"])

    def test_where_the_part_cannot_be_cut_nothing_goes_behind_it_till_the_log_is_read_anew(self):
        log = self.log_with(b"first")
        self.files.failing, self.files.short = {"write": errno.ENOSPC, "truncate": errno.EIO}, 5
        with self.assertRaises(OSError):
            log.append(b"half")
        self.files.failing = {}
        for use in (lambda: log.append(b"next"), log.sync, lambda: log.rewrite([])):
            with self.assertRaisesRegex(OSError, "not read since"):
                use()
        log.close()
        again = self.open_log()
        self.assertEqual((again.recovered.records, again.recovered.torn_bytes), ([b"first"], 5))
        again.append(b"next")
        again.sync()
        again.close()
        self.assertEqual(self.open_log().recovered.records, [b"first", b"next"])

    def test_a_sync_after_a_failed_one_is_not_believed(self):
        log = self.log_with(b"first")
        log.append(b"lost")
        self.files.failing = {"sync": errno.EIO}
        with self.assertRaises(OSError):
            log.sync()
        self.files.failing = {}
        for use in (log.sync, lambda: log.append(b"next")):
            with self.assertRaisesRegex(OSError, "not read since"):
                use()

    def test_what_is_recovered_after_a_failed_sync_is_on_the_disk_when_power_is_cut(self):
        """A reader sees what was written, the disk never had it, and a later sync does not bring it there."""
        store = self.formatted(self.files)
        store.append(PersistTermAndVote(4, "k2"))
        store.sync()
        self.files.failing = {"sync": errno.EIO}
        store.append(PersistEntries(self.entries(2, 2)))
        with self.assertRaises(OSError):
            store.sync()
        self.files.failing = {}
        store.close()
        again = self.store(self.files)
        self.assertEqual([entry.index for entry in again.persistent_state.entries], [2, 3])
        again.append(PersistEntries(self.entries(4, 1)))
        again.sync()
        again.close()
        self.files.cut_power()
        last = self.store(self.files)
        self.assertEqual([entry.index for entry in last.persistent_state.entries], [2, 3, 4])
        self.assertEqual(
            (last.persistent_state.term, last.persistent_state.vote, last.persistent_state.needs_catch_up),
            (4, "k2", False),
        )

    def test_a_store_that_fails_while_it_opens_leaves_the_log_and_nothing_open(self):
        self.formatted().close()
        before = len(os.listdir("/proc/self/fd"))
        for call in ("open", "write", "sync", "rename", "sync_directory"):
            for number in (*ERRORS, errno.EMFILE):
                with self.subTest(call=call, number=number):
                    self.files.failing, self.files.short = {call: number}, 3
                    with self.assertRaises(OSError):
                        replica_store.ReplicaStore(self.files, "c", "k0")
                    self.assertEqual(len(os.listdir("/proc/self/fd")), before)
                    self.assertNotIn("log.new", os.listdir(self.folder))
        self.files.failing = {}
        self.assertEqual(self.store(self.files).persistent_state.snapshot.index, 1)

    def test_a_rewrite_that_fails_at_any_step_leaves_the_old_log_or_the_new_one(self):
        for call in ("write", "sync", "rename", "sync_directory", "open"):
            for number in ERRORS:
                with self.subTest(call=call, number=number):
                    log = self.log_with(b"old")
                    self.files.failing, self.files.short = {call: number}, 7
                    with self.assertRaises(OSError):
                        log.rewrite([b"new"])
                    self.files.failing = {}
                    with self.assertRaisesRegex(OSError, "not read since"):
                        log.append(b"to a file that is none any more")
                    log.close()
                    kept = [b"new"] if call in ("sync_directory", "open") else [b"old"]
                    self.assertEqual(self.open_log().recovered.records, kept)

    def test_a_failed_rewrite_leaves_the_log_as_it_was(self):
        store = self.store(self.files)
        store.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        store.append(PersistEntries(self.entries(2, 2)))
        store.sync()
        self.files.failing = {"write": errno.ENOSPC}
        with self.assertRaises(OSError):
            store.write_snapshot(Snapshot(3, 1, {}, b"x"), [])
        self.files.failing = {}
        store.close()
        # It was whole before the log was touched.
        self.assertEqual(self.store().persistent_state.snapshot.index, 3)

    def test_what_a_kill_left_beside_a_file_is_not_taken_into_it(self):
        left = Path(self.folder) / "kept.new"
        left.write_bytes(b"half of an older")
        with mock.patch("os.stat", side_effect=OSError(errno.EIO, "no stat")):
            self.files.replace("kept", b"whole")
        self.assertEqual((Path(self.folder) / "kept").read_bytes(), b"whole")
        self.assertFalse(left.exists())

    def test_a_full_map_and_a_failing_call_of_lmdb_are_told_and_the_older_snapshot_stays(self):
        self.formatted().close()
        database = snapshots.SnapshotDatabase(self.files, map_bytes=1 << 16)
        self.addCleanup(database.close)
        large = Snapshot(5, 1, {}, bytes(1 << 17))
        with self.assertRaisesRegex(OSError, "MDB_MAP_FULL"):
            database.write(large)
        self.assertEqual(database.read_newest().index, 1)
        real = database._environment
        for name, use in (("begin", lambda: database.write(large)), ("begin", database.read_newest)):
            database._environment = mock.Mock(
                **{f"{name}.side_effect": lmdb.DiskError("mdb_txn_commit: EIO")}
            )
            with self.assertRaisesRegex(OSError, "mdb_txn_commit: EIO"):
                use()
        database._environment = real
        with (
            mock.patch("lmdb.open", side_effect=lmdb.Error("No space left on device")),
            self.assertRaisesRegex(OSError, "No space left"),
        ):
            replica_store.ReplicaStore(FaultyDirectory(self.folder), "c", "k0")

    def test_a_disk_that_lacks_what_was_synced_is_known(self):
        store = self.formatted()
        store.append(PersistTermAndVote(4, "k2"))
        store.append(PersistEntries(self.entries(2, 2, term=4)))
        store.sync()
        kept = store.acknowledged
        cases = (
            ({}, False),
            ({"term": 5}, True),
            ({"vote": "k1"}, True),
            ({"last_index": 4}, True),
            ({"last_term": 5}, True),
            ({"last_index": 1, "vote": ""}, False),
        )
        for change, in_doubt in cases:
            with self.subTest(change):
                store.close()
                store = replica_store.ReplicaStore(
                    self.files, "c", "k0", acknowledged=kept._replace(**change)
                )
                self.addCleanup(store.close)
                self.assertEqual(store.doubt, replica_store.LOST_RECORDS if in_doubt else "")
                self.assertEqual(store.persistent_state.needs_catch_up, in_doubt)
                store.end_doubt()
        store.append(PersistEntries(self.entries(4, 1, term=4)))
        self.assertEqual(store.acknowledged, kept, "not before it was synced")

    def test_a_folder_in_use_by_another_process_is_refused_before_anything_is_written(self):
        store = self.formatted()
        before = (Path(self.folder) / "log").read_bytes()
        code = (
            "from cedarmill.store import files, replica_store as store;"
            "store.ReplicaStore(files.Directory('.'), 'c', 'k0')"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
        )
        self.assertRegex(done.stderr, "DiskInUseError: .* holds the disk .* already, and it is in use")
        self.assertEqual((Path(self.folder) / "log").read_bytes(), before)
        store.close()
        self.store()

    def test_a_folder_that_cannot_be_looked_at_is_no_empty_one(self):
        self.assertFalse(self.files.exists("kept"))
        self.files.replace("kept", b"whole")
        self.assertTrue(self.files.exists("kept"))
        with mock.patch("os.stat", side_effect=OSError(errno.EIO, "no stat")), self.assertRaises(OSError):
            self.files.exists("kept")

    def test_a_snapshot_of_another_format_is_refused_in_one_line(self):
        store = self.formatted()
        text = snapshots.msgspec.msgpack.encode(["of", "another", "format"])
        with store.snapshots._environment.begin(write=True) as change:
            change.put(b"%020d" % 9, snapshots.xxhash.xxh3_64_digest(text) + text)
        with self.assertRaisesRegex(StoreError, "snapshots: of another format"):
            store.snapshots.read_newest()

    def test_formatting_that_failed_half_way_may_be_tried_again(self):
        store = replica_store.ReplicaStore(self.files, "c", "k0", "c/k0/1")
        store.close()  # killed before the first snapshot
        again = replica_store.ReplicaStore(self.files, "c", "k0", "c/k0/1")
        again.write_snapshot(Snapshot(1, 1, {"k0": Peer("")}, b""), [])
        again.close()
        with self.assertRaisesRegex(StoreError, "holds the disk c/k0/1 already"):
            replica_store.ReplicaStore(self.files, "c", "k0", "c/k0/1")

    def test_after_a_kill_at_any_byte_of_what_was_added_the_store_opens_with_what_was_whole(self):
        store = self.formatted()
        begins = store.log.size
        ends = []
        for action in (
            PersistTermAndVote(4, "k2"),
            PersistEntries(self.entries(2, 2)),
            PersistTermAndVote(5, ""),
            PersistEntries(self.entries(3, 2, 5)),
        ):
            store.append(action)
            ends.append(store.log.size)
        store.sync()
        store.close()
        path = Path(self.folder) / "log"
        whole = path.read_bytes()
        states = [(1, "", []), (4, "k2", []), (4, "k2", [2, 3]), (5, "", [2, 3]), (5, "", [2, 3, 4])]
        for size in range(begins, len(whole) + 1):
            path.write_bytes(whole[:size])
            store = self.store()
            store.close()
            saved = store.persistent_state
            found = saved.term, saved.vote, [entry.index for entry in saved.entries]
            self.assertEqual(found, states[sum(end <= size for end in ends)], size)
            self.assertFalse(saved.needs_catch_up)

    def test_a_database_whose_creation_was_cut_short_is_created_anew(self):
        path = Path(self.folder, snapshots.DATABASE_FILE)
        for size in (1, snapshots.CREATED_BYTES // 2, snapshots.CREATED_BYTES - 1):
            for log in (None, b""):
                with self.subTest(size=size, log=log):
                    shutil.rmtree(self.folder)
                    path.parent.mkdir(parents=True)
                    path.write_bytes(bytes(size))
                    if log is not None:
                        Path(self.folder, "log").write_bytes(log)
                    self.formatted().close()
                    self.assertEqual(self.restarted().persistent_state.snapshot.index, 1)

    def test_a_database_that_is_cut_or_spoiled_beside_its_log_is_damaged(self):
        self.formatted().close()
        path = Path(self.folder, snapshots.DATABASE_FILE)
        whole = path.read_bytes()
        for content in (whole[:1], b"spoiled!" * 8 + whole[64:]):
            path.write_bytes(content)
            with self.assertRaisesRegex(DamagedError, "not an LMDB file"):
                self.store()

    def test_a_log_that_is_gone_beside_its_snapshots_is_doubted(self):
        self.formatted().close()
        os.remove(Path(self.folder) / "log")
        self.assertTrue(self.store().persistent_state.needs_catch_up)


if __name__ == "__main__":
    unittest.main()
