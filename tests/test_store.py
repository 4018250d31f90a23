"""The keeper's disk: whatever a crash or a fault leaves is recovered, or refused in one line."""

import contextlib
import errno
import os
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarmill.fleet.agree import words as w
from cedarmill.store import keep
from cedarmill.store.files import File, Files
from cedarmill.store.log import MAGIC, DiskLog, StoreError, record, scan

RECORDS = [b"first", b"second" * 5, b"third"]
WHOLE = MAGIC + b"".join(map(record, RECORDS))
ENDS = [len(MAGIC) + sum(len(record(one)) for one in RECORDS[:n]) for n in range(4)]


class Recovery(unittest.TestCase):
    def test_a_tail_torn_at_any_byte_leaves_what_was_whole(self):
        for size in range(len(WHOLE) + 1):
            found, good = scan(WHOLE[:size], "log")
            whole = sum(end <= size for end in ENDS[1:])
            self.assertEqual((found.records, found.damaged), (RECORDS[:whole], False), size)
            self.assertEqual(good, ENDS[whole] if size >= len(MAGIC) else 0)

    def test_a_bit_flipped_anywhere_is_never_taken_for_what_was_written(self):
        for place in range(len(WHOLE)):
            text = bytearray(WHOLE)
            text[place] ^= 4
            try:
                found, _ = scan(bytes(text), "log")
            except StoreError as error:
                self.assertIn("log: ", str(error))
                continue
            self.assertGreaterEqual(place, ENDS[2], "damage before the last record has to be refused")
            self.assertEqual(found.records, RECORDS[:2])
            self.assertTrue(found.damaged or found.torn)

    @given(st.binary(max_size=200))
    @settings(max_examples=200)
    def test_any_bytes_are_refused_or_read_and_never_a_traceback(self, text: bytes):
        with contextlib.suppress(StoreError):
            scan(MAGIC + text, "log")


class Folder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def store(self, files: Files | None = None, name: str = "k0", cluster: str = "c") -> keep.Store:
        store = keep.Store(files or Files(self.folder), cluster, name)
        self.addCleanup(store.close)
        return store

    def entries(self, first: int, count: int, term: int = 1) -> tuple[w.Entry, ...]:
        return tuple(w.Entry(n, term, w.COMMAND, b"%d" % n) for n in range(first, first + count))

    def formatted(self) -> keep.Store:
        store = self.store()
        store.put_snapshot(w.Snapshot(1, 1, {"k0": w.Peer("")}, b""), [])
        return store


class Keeping(Folder):
    def test_what_was_synced_is_there_after_a_start_and_starts_are_counted(self):
        store = self.formatted()
        store.save(w.Save(4, "k2"))
        store.save(w.Put(self.entries(2, 3)))
        store.save(w.Put(self.entries(3, 1, term=4)))  # replaces two
        store.sync()
        store.close()
        again = self.store()
        self.assertEqual((again.saved.term, again.saved.vote, again.saved.doubtful), (4, "k2", False))
        self.assertEqual([(e.index, e.term) for e in again.saved.entries], [(2, 1), (3, 4)])
        self.assertEqual(again.identity.boot, 2)

    def test_a_snapshot_takes_the_place_of_what_it_holds(self):
        store = self.formatted()
        store.save(w.Save(2, "k0"))
        store.save(w.Put(self.entries(2, 5)))
        store.meet("other", 7)
        store.sync()
        before = store.log.size
        store.put_snapshot(w.Snapshot(5, 1, {"k0": w.Peer("")}, b"state"), list(self.entries(6, 1)))
        self.assertLess(store.log.size, before)
        store.close()
        again = self.store()
        self.assertEqual((again.saved.snapshot.index, again.saved.snapshot.data), (5, b"state"))
        self.assertEqual([e.index for e in again.saved.entries], [6])
        self.assertEqual((again.saved.term, again.saved.vote, again.met), (2, "k0", {"other": 7}))

    def test_a_crash_between_snapshot_and_log_leaves_both_and_the_newer_wins(self):
        store = self.formatted()
        store.save(w.Put(self.entries(2, 4)))
        store.sync()
        store.snapshots.put(w.Snapshot(4, 1, {"k0": w.Peer("")}, b"state"))
        store.close()
        again = self.store()
        self.assertEqual(again.saved.snapshot.index, 4)
        self.assertEqual([e.index for e in again.saved.entries], [5])

    def test_an_empty_disk_and_a_damaged_last_record_doubt_themselves(self):
        empty = self.store()
        self.assertTrue(empty.saved.doubtful)
        empty.close()
        store = self.formatted()
        store.save(w.Put(self.entries(2, 1)))
        store.sync()
        store.close()
        path = Path(self.folder) / "log"
        text = bytearray(path.read_bytes())
        text[-1] ^= 1
        path.write_bytes(bytes(text))
        again = self.store()
        self.assertTrue(again.told.damaged and again.saved.doubtful)
        self.assertEqual(again.saved.entries, ())

    def test_another_keeper_s_disk_and_a_newer_format_are_refused(self):
        self.formatted().close()
        with self.assertRaisesRegex(StoreError, "of keeper k0 of cluster c"):
            self.store(name="k1")
        identity = keep.Identity(keep.FORMAT + 1, "c", "k0", "d", 1)
        log = DiskLog(Files(self.folder))
        log.add(keep.msgspec.msgpack.encode(identity))
        log.sync()
        log.close()
        with self.assertRaisesRegex(StoreError, "format 2, this program reads up to 1"):
            self.store()

    def test_a_damaged_snapshot_gives_way_to_the_one_before(self):
        store = self.formatted()
        store.snapshots.put(w.Snapshot(9, 1, {}, b"newer"))
        with store.snapshots._env.begin(write=True) as change:
            change.put(b"%020d" % 9, b"damaged!")
        self.assertEqual(store.snapshots.newest().index, 1)
        with store.snapshots._env.begin(write=True) as change:
            change.put(b"%020d" % 1, b"damaged!")
        with self.assertRaisesRegex(StoreError, "2 snapshots, all damaged"):
            store.snapshots.newest()

    def test_an_old_copy_of_a_disk_is_known_by_its_starts(self):
        store = self.formatted()
        self.assertTrue(store.meet("d1", 5))
        self.assertTrue(store.meet("d1", 5))
        self.assertFalse(store.meet("d1", 4))
        self.assertTrue(store.meet("d1", 6))

    def test_a_backup_is_read_whole_or_not_at_all(self):
        snapshot = w.Snapshot(7, 2, {"k0": w.Peer("127.0.0.1:1")}, b"state")
        text = keep.backup(snapshot)
        self.assertEqual(keep.restore(text), snapshot)
        for broken in (text[:-1], text[:4], b"", bytes([text[0] ^ 1]) + text[1:]):
            with self.assertRaises(StoreError):
                keep.restore(broken)


class Failing(Folder):
    """Faults put in under the store: nothing is said to be kept that is not."""

    def files(self, fault: str) -> Files:
        class Faulty(File):
            on = False

            def write(self, text: bytes) -> None:
                if Faulty.on and fault == "full":
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
                super().write(text)

            def sync(self) -> None:
                if Faulty.on and fault == "fsync":
                    raise OSError(errno.EIO, os.strerror(errno.EIO))
                super().sync()

        files = Files(self.folder)
        files.file = Faulty
        return files

    def test_a_full_disk_and_a_failed_sync_are_told(self):
        for fault in ("full", "fsync"):
            with self.subTest(fault):
                files = self.files(fault)
                store = self.store(files)
                files.file.on = True
                with self.assertRaises(OSError):
                    store.save(w.Save(9, "k1"))
                    store.sync()
                files.file.on = False
                store.close()

    def test_a_failed_rewrite_leaves_the_log_as_it_was(self):
        store = self.formatted()
        store.save(w.Put(self.entries(2, 2)))
        store.sync()
        files = self.files("full")
        store.log.files = files
        files.file.on = True
        with self.assertRaises(OSError):
            store.put_snapshot(w.Snapshot(3, 1, {}, b"x"), [])
        files.file.on = False
        store.close()
        self.assertEqual(self.store().saved.snapshot.index, 3)  # it was whole before the log was touched


if __name__ == "__main__":
    unittest.main()
