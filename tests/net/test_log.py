"""Logging to standard error never blocks, whatever the reader of the output does."""

import errno
import fcntl
import logging
import os
import threading
import time
import unittest
from unittest import mock

from cedarmill import log
from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.node_case import WAIT


class StderrHandler(unittest.TestCase):
    """Lines that cannot be written are dropped and counted."""

    def setUp(self) -> None:
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.write_end)
        self.handler = log.StderrHandler(self.write_end)

    def emit(self, text: str) -> None:
        self.handler.handle(logging.makeLogRecord({"msg": text, "levelno": logging.INFO}))

    def lines(self) -> list[str]:
        return os.read(self.read_end, 1 << 20).decode().split("\n")

    def test_stalled_reader_does_not_block_and_later_gets_the_number_of_lost_lines(self):
        self.addCleanup(os.close, self.read_end)
        fcntl.fcntl(self.write_end, fcntl.F_SETPIPE_SZ, 4 * page_size())
        writer = threading.Thread(target=lambda: [self.emit("x" * 99) for _ in range(1000)], daemon=True)
        writer.start()
        writer.join(WAIT)
        self.assertFalse(writer.is_alive(), "the handler blocks")
        lost_lines = self.handler.lost_lines
        self.assertEqual(len([line for line in self.lines() if line == "x" * 99]) + lost_lines, 1000)
        self.emit("again")
        self.assertEqual(
            self.lines()[-3:], [f"lines of this log that could not be written: {lost_lines}", "again", ""]
        )

    def test_line_longer_than_the_pipe_is_truncated_and_the_next_starts_on_a_new_line(self):
        self.addCleanup(os.close, self.read_end)
        fcntl.fcntl(self.write_end, fcntl.F_SETPIPE_SZ, 4 * page_size())
        self.emit("y" * 5 * page_size())
        self.lines()
        self.emit("again")
        self.assertEqual(self.lines()[-2:], ["again", ""])

    def test_closed_reader_and_full_disk_count_lost_lines(self):
        os.close(self.read_end)
        self.emit("no reader")
        with mock.patch.object(os, "write", side_effect=OSError(errno.ENOSPC, "full")):
            self.emit("disk full")
        self.assertEqual(self.handler.lost_lines, 2)

    def test_unix_time_stepping_back_suppresses_no_line(self):
        """Guards against repeats measured in Unix time: a step back would suppress a line for that long."""
        repeat_filter, record = log.RepeatFilter(), logging.makeLogRecord({"msg": "repeated"})
        later = logging.makeLogRecord({"msg": "repeated"})
        later.created = record.created - 3600
        with mock.patch.object(time, "monotonic", side_effect=[5.0, 6.0, 16.0]):
            self.assertEqual(
                [bool(repeat_filter.filter(r)) for r in (record, later, later)], [True, False, True]
            )


def page_size() -> int:
    """Return the size of a memory page, the smallest buffer of a pipe."""
    return os.sysconf("SC_PAGE_SIZE")


class NodeWithUnreadLog(FaultyNodeCase):
    def test_request_is_served_while_the_log_is_not_read(self) -> None:
        """The list has so many invalid entries that their log lines exceed the buffer of the pipe."""
        watch = self.discovery.next_request()
        watch.send_head()
        invalid_entries = [self.entry(0, name=f"bad-{number}", address="nowhere") for number in range(1500)]
        watch.send_line({"index": 8, "snapshot": True, "endpoints": [self.entry(0), *invalid_entries]})
        watch.send_line({"index": 9, "snapshot": False, "endpoints": [self.entry(0)]})
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


if __name__ == "__main__":
    unittest.main()
