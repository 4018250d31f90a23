"""Long lists in small pieces: what a piece costs does not grow with the list that it belongs to."""

import json
import time
import unittest

from cedarmill.net.discovery.list_stream import ListStream

SMALL, TIMES = 800, 8  # executors of the smaller list; how many times more the larger one has
SLACK = 2.0  # of times that are measured


def list_text(executors: int) -> bytes:
    """A whole list in one line."""
    endpoints = [
        {"name": f"s-{n:05}", "address": "127.0.0.1:8080", "zone": "here", "type": "box", "status": "SERVING"}
        for n in range(executors)
    ]
    return json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"


class ByBytes(unittest.TestCase):
    def cpu_s(self, executors: int) -> float:
        """Processor time for a list of so many executors, a byte at a time, each a sign of life."""
        text, stream = list_text(executors), ListStream()
        began = time.process_time()
        found = []
        for at in range(len(text)):
            found += stream.feed(text[at : at + 1])
            self.assertEqual(stream.partial, not found)
        spent = time.process_time() - began
        self.assertEqual([len(listing.endpoints) for listing in found], [executors])
        return spent

    def test_the_cost_grows_with_the_bytes_only(self):
        """Each byte had the whole line before it searched: 8 times the list, 64 times the cost."""
        self.assertLess(self.cpu_s(SMALL * TIMES), self.cpu_s(SMALL) * TIMES * SLACK)


if __name__ == "__main__":
    unittest.main()
