"""The fleet's cores on one seeded clock: laws hold, planted bugs are seen, one seed is one timeline."""

import os
import subprocess
import sys
import tempfile
import unittest

from cedarmill.lab.cluster.invariants import INVARIANTS
from cedarmill.lab.cluster.mutants import MUTANTS
from cedarmill.lab.simulation.raft_log import figure_eight
from cedarmill.lab.simulation.search import digest, hunt, log_run, many
from tests.support.node_case import ROOT

MOST = 300  # seeds in which a planted bug has to be seen


class Laws(unittest.TestCase):
    """Each class of seeds runs in a test of its own, so that they run side by side."""

    def kept(self, first: int) -> None:
        for found in many(range(first, first + 20)):
            with self.subTest(seed=found.seed):
                self.assertEqual(found.broken, {})
                self.assertGreater(found.counts["taken"], 0)

    def test_seeds_from_0(self):
        self.kept(0)

    def test_seeds_from_100(self):
        self.kept(100)

    def test_seeds_from_200(self):
        self.kept(200)

    def test_the_agreed_log_alone(self):
        for seed in range(120):
            self.assertEqual(log_run(seed).run(), [], seed)

    def test_an_entry_of_an_older_term_is_not_agreed_by_count(self):
        self.assertEqual(figure_eight(), [])


class Bugs(unittest.TestCase):
    """Every planted bug is seen by a law; the methods are made below, one a bug."""

    laws: set[str] = set()

    def seen(self, bug: str) -> None:
        found = hunt(bug, MOST)
        self.assertGreaterEqual(found.seed, 0, f"{bug} was not seen in {MOST} seeds")


for _bug in MUTANTS:
    setattr(Bugs, f"test_{_bug.replace('-', '_')}", lambda self, bug=_bug: self.seen(bug))


class OneTimeline(unittest.TestCase):
    def test_equal_for_other_hash_seeds_and_numbers_of_workers(self):
        here = digest(many(range(6)))
        code = ("from cedarmill.lab.simulation.search import digest, many\n"
                "if __name__ == '__main__': print(digest(many(range(6), '', WORKERS)))")  # fmt: skip
        for hash_seed, workers in (("1", 1), ("77", 3)):
            with tempfile.NamedTemporaryFile("w", suffix=".py") as file:  # spawned workers read the main file
                file.write(code.replace("WORKERS", str(workers)))
                file.flush()
                env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
                told = subprocess.run([sys.executable, file.name], env=env, capture_output=True, text=True)
            self.assertEqual((told.stdout.strip(), told.stderr), (here, ""))

    def test_every_law_is_there_for_a_reason(self):
        """No law without a name in the design note, which says what trips it."""
        pages = [ROOT / f"docs/design/{page}.md" for page in ("drains", "zones", "overload")]
        text = "".join(page.read_text() for page in pages)
        for law in INVARIANTS:
            self.assertIn(law, text)
