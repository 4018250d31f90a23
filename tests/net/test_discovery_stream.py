"""Long lists in small pieces: what a piece costs does not grow with the list that it belongs to."""

import json
import unittest

from cedarmill.net.discovery.list_stream import ListStream

EXECUTORS = 800
TIMES_LOOKED_AT = (
    4  # each byte: as it comes, for white space, as its line is taken, as its document is decoded
)


class CountingBuffer(bytearray):
    """Counts the bytes that searches and slices of it go over."""

    looked_at = 0

    def find(self, part: bytes, start: int = 0) -> int:
        """Search from a place on."""
        self.looked_at += len(self) - start
        return super().find(part, start)

    def __getitem__(self, key):
        """A slice, mostly."""
        found = super().__getitem__(key)
        self.looked_at += len(found) if isinstance(key, slice) else 1
        return found


def list_text(executors: int) -> bytes:
    """A whole list in one line."""
    endpoints = [
        {"name": f"s-{n:05}", "address": "127.0.0.1:8080", "zone": "here", "type": "box", "status": "SERVING"}
        for n in range(executors)
    ]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"


class ByBytes(unittest.TestCase):
    def test_each_byte_is_looked_at_a_few_times_only(self):
        """For each byte the whole line before it was searched again."""
        text, stream = list_text(EXECUTORS), ListStream()
        stream._buffer = buffer = CountingBuffer()
        found = []
        for at in range(len(text)):
            found += stream.feed(text[at : at + 1])
            self.assertEqual(stream.partial, not found)
        self.assertEqual([len(listing.endpoints) for listing in found], [EXECUTORS])
        self.assertIs(stream._buffer, buffer)  # or nothing was counted
        self.assertLessEqual(buffer.looked_at, TIMES_LOOKED_AT * len(text))


if __name__ == "__main__":
    unittest.main()
