"""State files: calls never block, and a failed or torn write never replaces a valid document."""

import errno
import os
import tempfile
import threading
import unittest
from unittest import mock

from cedarmill.net.upgrade import state_file
from cedarmill.net.upgrade.state_file import InPlaceStateFile, StateFile
from tests.support.node_case import WAIT


def limit_transfer(real_call, max_bytes: int):
    """Return a `pwrite` or `pread` that transfers at most `max_bytes` per call."""

    def call(descriptor, data_or_length, offset):
        return real_call(
            descriptor,
            data_or_length[:max_bytes]
            if isinstance(data_or_length, bytes)
            else min(data_or_length, max_bytes),
            offset,
        )

    return call


def disk_full_after(real_pwrite, free_bytes: int):
    """Return a `pwrite` on a disk with `free_bytes` free: it writes that many, then fails with ENOSPC."""
    remaining = [free_bytes]

    def call(descriptor, data, offset):
        if not remaining[0]:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = real_pwrite(descriptor, data[: remaining[0]], offset)
        remaining[0] -= written
        return written

    return call


class StateFileCase(unittest.TestCase):
    """A test with a state file in a temporary folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/state.json"

    def result_without_blocking(self, call):
        """Run `call` and return its result or OSError; fail if it blocks."""
        results = []

        def run() -> None:
            try:
                results.append(call())
            except OSError as error:
                results.append(error)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(WAIT / 4)
        self.assertTrue(results, "the call blocks")
        return results[0]


class ReplacedFile(StateFileCase):
    """`StateFile`, replaced by a rename."""

    def test_lock_held_by_another_process_fails_without_blocking(self):
        with StateFile(self.path).exclusive_lock():
            self.assertIsInstance(
                self.result_without_blocking(lambda: StateFile(self.path).exclusive_lock().__enter__()),
                BlockingIOError,
            )
        with StateFile(self.path).exclusive_lock():
            pass

    def test_fifo_in_place_of_the_file_fails_without_blocking(self):
        os.mkfifo(self.path)
        os.mkfifo(f"{self.path}.lock")
        for call in (
            StateFile(self.path).read,
            StateFile(self.path).exclusive_lock().__enter__,
            InPlaceStateFile(self.path).read_halves,
            lambda: InPlaceStateFile(self.path).write(b""),
        ):
            self.assertIsInstance(self.result_without_blocking(call), OSError)

    def test_file_over_the_size_limit_is_not_read(self):
        with open(self.path, "wb") as file:
            file.truncate(1 << 40)  # sparse: takes no disk space
        with self.assertRaises(OSError) as raised:
            StateFile(self.path).read()
        self.assertEqual(raised.exception.errno, errno.EFBIG)
        self.assertEqual(InPlaceStateFile(self.path).read_halves(), [])

    def test_short_writes_and_reads_are_completed(self):
        with mock.patch.object(os, "pwrite", limit_transfer(os.pwrite, 3)):
            StateFile(self.path).write(b"a document")
        with mock.patch.object(os, "pread", limit_transfer(os.pread, 3)):
            self.assertEqual(StateFile(self.path).read(), b"a document")

    def test_failed_write_keeps_the_old_document_and_no_temporary_file(self):
        file = StateFile(self.path)
        file.write(b"old")
        for name, fault in (
            ("pwrite", disk_full_after(os.pwrite, 2)),
            ("replace", mock.Mock(side_effect=OSError)),
        ):
            with mock.patch.object(os, name, fault), self.assertRaises(OSError):
                file.write(b"new")
            self.assertEqual(StateFile(self.path).read(), b"old")
            self.assertEqual(os.listdir(os.path.dirname(self.path)), [os.path.basename(self.path)])

    def test_write_does_not_fail_after_the_document_was_replaced(self):
        """A stored exclusion must not be reported as failed: the next read would bring it back."""
        with mock.patch.object(state_file.os, "stat", side_effect=OSError(errno.EIO, "gone")):
            StateFile(self.path).write(b"new")
        self.assertEqual(StateFile(self.path).read(), b"new")


class InPlaceFile(StateFileCase):
    """`InPlaceStateFile`, written into two alternating halves."""

    def setUp(self) -> None:
        super().setUp()
        self.file = InPlaceStateFile(self.path)
        self.addCleanup(self.file.close)
        self.file.write(b"first")

    def test_short_writes_and_reads_are_completed(self):
        with mock.patch.object(os, "pwrite", limit_transfer(os.pwrite, 3)):
            self.file.write(b"second")
        with mock.patch.object(os, "pread", limit_transfer(os.pread, 3)):
            self.assertEqual(InPlaceStateFile(self.path).read_halves(), [b"first", b"second"])

    def test_failed_writes_keep_the_valid_half(self):
        for _ in range(3):
            with mock.patch.object(os, "pwrite", disk_full_after(os.pwrite, 10)), self.assertRaises(OSError):
                self.file.write(b"never whole")
            self.assertEqual(InPlaceStateFile(self.path).read_halves()[0], b"first")
        self.file.write(b"second")
        self.assertEqual(InPlaceStateFile(self.path).read_halves(), [b"first", b"second"])

    def test_write_recreates_a_file_that_another_process_removed(self):
        os.remove(self.path)
        self.file.write(b"second")
        self.assertIn(b"second", InPlaceStateFile(self.path).read_halves())


if __name__ == "__main__":
    unittest.main()
