"""Files that outlive a process: no call waits, and nothing torn is believed."""

import errno
import os
import tempfile
import threading
import unittest
from unittest import mock

from cedarmill.net.upgrade import state_file as kept
from cedarmill.net.upgrade.state_file import InPlaceStateFile, StateFile
from tests.support.node_case import WAIT


def cut_short(real, most: int):
    """The real `pwrite` or `pread`, doing so many bytes at most."""

    def call(file, what, at):
        return real(file, what[:most] if isinstance(what, bytes) else min(what, most), at)

    return call


def full_after(real, room: int):
    """The real `pwrite` on a disk with so much room: it writes what fits, then fails."""
    left = [room]

    def call(file, text, at):
        if not left[0]:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        done = real(file, text[: left[0]], at)
        left[0] -= done
        return done

    return call


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/kept.json"

    def at_once(self, call):
        """The call's result or error, which must not be waited for."""
        got = []

        def run() -> None:
            try:
                got.append(call())
            except OSError as error:
                got.append(error)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(WAIT / 4)
        self.assertTrue(got, "it waits")
        return got[0]


class Whole(Folder):
    """Replaced by a rename."""

    def test_a_lock_that_another_holds_is_refused_at_once(self):
        with StateFile(self.path).alone():
            self.assertIsInstance(
                self.at_once(lambda: StateFile(self.path).alone().__enter__()), BlockingIOError
            )
        with StateFile(self.path).alone():
            pass

    def test_a_fifo_in_the_place_of_a_file_is_refused_at_once(self):
        os.mkfifo(self.path)
        os.mkfifo(f"{self.path}.lock")
        for call in (
            StateFile(self.path).read,
            StateFile(self.path).alone().__enter__,
            InPlaceStateFile(self.path).texts,
            lambda: InPlaceStateFile(self.path).write(b""),
        ):
            self.assertIsInstance(self.at_once(call), OSError)

    def test_a_huge_file_is_not_read(self):
        with open(self.path, "wb") as file:
            file.truncate(1 << 40)  # holds no room on the disk
        with self.assertRaises(OSError) as raised:
            StateFile(self.path).read()
        self.assertEqual(raised.exception.errno, errno.EFBIG)
        self.assertEqual(InPlaceStateFile(self.path).texts(), [])

    def test_short_writes_and_reads_are_carried_on(self):
        with mock.patch.object(os, "pwrite", cut_short(os.pwrite, 3)):
            StateFile(self.path).write(b"a document")
        with mock.patch.object(os, "pread", cut_short(os.pread, 3)):
            self.assertEqual(StateFile(self.path).read(), b"a document")

    def test_a_disk_that_is_full_leaves_the_old_document_and_nothing_else(self):
        file = StateFile(self.path)
        file.write(b"old")
        for name, fault in (
            ("pwrite", full_after(os.pwrite, 2)),
            ("replace", mock.Mock(side_effect=OSError)),
        ):
            with mock.patch.object(os, name, fault), self.assertRaises(OSError):
                file.write(b"new")
            self.assertEqual(StateFile(self.path).read(), b"old")
            self.assertEqual(os.listdir(os.path.dirname(self.path)), [os.path.basename(self.path)])

    def test_once_replaced_the_write_does_not_fail_any_more(self):
        """Told as failed, the mark in it was taken back, and came again with the next look at the file."""
        with mock.patch.object(kept.os, "stat", side_effect=OSError(errno.EIO, "gone")):
            StateFile(self.path).write(b"new")
        self.assertEqual(StateFile(self.path).read(), b"new")


class InPlace(Folder):
    """Written into two halves in turn."""

    def setUp(self) -> None:
        super().setUp()
        self.file = InPlaceStateFile(self.path)
        self.addCleanup(self.file.close)
        self.file.write(b"first")

    def test_short_writes_and_reads_are_carried_on(self):
        with mock.patch.object(os, "pwrite", cut_short(os.pwrite, 3)):
            self.file.write(b"second")
        with mock.patch.object(os, "pread", cut_short(os.pread, 3)):
            self.assertEqual(InPlaceStateFile(self.path).texts(), [b"first", b"second"])

    def test_writes_that_fail_half_way_never_spoil_the_half_that_holds(self):
        for _ in range(3):
            with mock.patch.object(os, "pwrite", full_after(os.pwrite, 10)), self.assertRaises(OSError):
                self.file.write(b"never whole")
            self.assertEqual(InPlaceStateFile(self.path).texts()[0], b"first")
        self.file.write(b"second")
        self.assertEqual(InPlaceStateFile(self.path).texts(), [b"first", b"second"])

    def test_a_file_that_was_removed_under_its_writer_is_made_anew(self):
        os.remove(self.path)
        self.file.write(b"second")
        self.assertIn(b"second", InPlaceStateFile(self.path).texts())


if __name__ == "__main__":
    unittest.main()
