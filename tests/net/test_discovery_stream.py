"""Long lists in small pieces: the cost of a piece must not grow with the length of its list."""

import json
import unittest

from cedarmill.net.discovery.list_stream import ListStream

EXECUTORS = 800
# On arrival, in the check for white space, as a part of its line, and in the decoding of the document.
MAX_VISITS_PER_BYTE = 4


class CountingBuffer(bytearray):
    """A buffer that counts the bytes visited by searches and slices."""

    visited_bytes = 0

    def find(self, part: bytes, start: int = 0) -> int:
        """Search from `start` on, and count the bytes up to the end."""
        self.visited_bytes += len(self) - start
        return super().find(part, start)

    def __getitem__(self, key):
        """Return an item or a slice, and count its bytes."""
        result = super().__getitem__(key)
        self.visited_bytes += len(result) if isinstance(key, slice) else 1
        return result


def list_text(executors: int) -> bytes:
    """Return a full list on one line."""
    endpoints = [
        {
            "name": f"s-{number:05}",
            "address": "127.0.0.1:8080",
            "zone": "here",
            "type": "box",
            "status": "SERVING",
        }
        for number in range(executors)
    ]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"


class BytewiseFeed(unittest.TestCase):
    def test_each_byte_is_visited_a_bounded_number_of_times(self):
        """Guards against searching the incomplete line again for each byte."""
        text, stream = list_text(EXECUTORS), ListStream()
        stream._buffer = buffer = CountingBuffer()
        listings = []
        for offset in range(len(text)):
            listings += stream.feed(text[offset : offset + 1])
            self.assertEqual(stream.has_partial_list, not listings)
        self.assertEqual([len(listing.endpoints) for listing in listings], [EXECUTORS])
        self.assertIs(stream._buffer, buffer)  # the stream has used the counting buffer
        self.assertLessEqual(buffer.visited_bytes, MAX_VISITS_PER_BYTE * len(text))


if __name__ == "__main__":
    unittest.main()
