"""Short scenarios of many real processes with faults between them: their laws, never their speeds."""

import tempfile
import unittest
from pathlib import Path

from cedarmill.lab.cluster.invariants import Record
from cedarmill.lab.cluster.report import verdict_of
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import read


class Rounds(unittest.TestCase):
    def played(self, name: str, seed: int = 1) -> Record:
        """A scenario's record; a law that was broken fails the test with its words."""
        with tempfile.TemporaryDirectory() as folder:
            record = play(read(name), seed, Path(folder))
        broken = {law: texts for law, texts in verdict_of(record).invariants.items() if texts}
        self.assertEqual(broken, {})
        return record

    def words(self, record: Record) -> list[str]:
        return [event.what for event in record.events]

    def test_drains_are_granted_and_end_while_leaders_die_and_a_node_is_cut_off(self):
        record = self.played("quick")
        self.assertEqual(self.words(record).count("back"), 5, "each executor was restarted and is back")
        self.assertEqual(self.words(record).count("drained"), 5)

    def test_a_canary_that_ends_by_itself_is_halted_and_taken_back(self):
        record = self.played("canary")
        words = self.words(record)
        self.assertIn("release halted", words)
        self.assertIn("release backed", words)
        bad = [event for event in record.events if event.what == "starts" and event.note == "exiting"]
        touched = {event.target for event in bad}
        self.assertEqual(touched, {"node-0"}, "no other node was started with it")


if __name__ == "__main__":
    unittest.main()
