"""The cluster's cores on one seeded clock: invariants hold, mutants are seen, one seed is one timeline."""

import os
import subprocess
import sys

import pytest

from cedarmill.lab.cluster.invariants import INVARIANTS
from cedarmill.lab.cluster.mutants import MUTANTS
from cedarmill.lab.simulation.figure_eight import figure_eight
from cedarmill.lab.simulation.search import digest, hunt, log_run, play_seeds
from tests.support.node_case import ROOT

SEEDS_PER_MUTANT = 300  # in which a mutant has to be seen
SEEDS_PER_CLASS = 20
DIGEST_PROGRAM = (
    "from cedarmill.lab.simulation.search import digest, play_seeds\n"
    "if __name__ == '__main__': print(digest(play_seeds(range(6), '', {workers})))\n"
)


@pytest.fixture(scope="module")
def digest_here() -> str:
    """The hash over six timelines, made in this process."""
    return digest(play_seeds(range(6)))


@pytest.mark.parametrize("first", [0, 100, 200])
def test_invariants_hold(first):
    results = list(play_seeds(range(first, first + SEEDS_PER_CLASS)))
    assert len(results) == SEEDS_PER_CLASS
    assert {result.seed: result.broken for result in results if result.broken} == {}
    assert [result.seed for result in results if result.counts["taken"] <= 0] == []


def test_invariants_of_the_replicated_log_alone():
    for seed in range(120):
        assert log_run(seed).run() == [], seed


def test_an_entry_of_an_older_term_is_not_committed_by_count():
    assert figure_eight() == []


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutant_is_seen(mutant):
    found = hunt(mutant, SEEDS_PER_MUTANT)
    assert found.seed >= 0, f"{mutant} was not seen in {SEEDS_PER_MUTANT} seeds"


@pytest.mark.parametrize(("hash_seed", "workers"), [("1", 1), ("77", 3)])
def test_timelines_are_equal_for_other_hash_seeds_and_numbers_of_workers(
    hash_seed, workers, tmp_path, digest_here
):
    program = tmp_path / "digest.py"  # spawned workers read the main file
    program.write_text(DIGEST_PROGRAM.format(workers=workers))
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    run = subprocess.run([sys.executable, str(program)], env=env, capture_output=True, text=True)
    assert (run.stdout.strip(), run.stderr) == (digest_here, "")


@pytest.mark.parametrize("invariant", INVARIANTS)
def test_every_invariant_is_there_for_a_reason(invariant):
    """No invariant without a name in the design notes, which say what trips it."""
    pages = [ROOT / f"docs/design/{page}.md" for page in ("drains", "zones", "overload")]
    assert invariant in "".join(page.read_text() for page in pages)
