"""What a process tells of the memory that it has left."""

import unittest
from unittest import mock

from cedarmill.core.memory_budget import CRITICAL_BYTES_LEFT
from cedarmill.net import process_memory
from cedarmill.net.process_memory import COLLECT_INTERVAL_US, ProcessMemory
from tests.support.clocked_driver import ClockedDriver

MIB = 1024 * 1024


class BytesLeft(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = ClockedDriver()
        self.memory = ProcessMemory(self.driver)
        self.memory.limit_bytes = 1 << 40

    def test_memory_that_is_taken_is_no_longer_left(self):
        before = self.memory.bytes_left()
        taken = b"x" * (64 * MIB)
        self.assertAlmostEqual(before - self.memory.bytes_left(), len(taken), delta=8 * MIB)

    def test_none_is_left_where_it_cannot_be_read(self):
        """Guards against messages without a limit on a system that does not tell."""
        for error in (mock.Mock(side_effect=OSError), mock.Mock(return_value=b"")):
            with mock.patch.object(process_memory.os, "pread", error):
                self.assertEqual(self.memory.bytes_left(), 0)

    def test_garbage_is_collected_once_in_a_while_when_little_is_left(self):
        """Guards against connections that are over and fill the memory until the collector comes."""
        used = (1 << 40) - self.memory.bytes_left()
        with mock.patch.object(process_memory.gc, "collect") as collect:
            self.memory.bytes_left()
            collect.assert_not_called()
            self.memory.limit_bytes = used + CRITICAL_BYTES_LEFT // 2
            for _ in range(3):
                self.memory.bytes_left()
            collect.assert_called_once()
            self.driver.advance(COLLECT_INTERVAL_US)
            self.memory.bytes_left()
        self.assertEqual(collect.call_count, 2)


if __name__ == "__main__":
    unittest.main()
