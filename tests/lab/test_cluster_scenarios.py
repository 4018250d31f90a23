"""Short scenarios of many real processes with faults between them: their invariants, never their speeds."""

from pathlib import Path

from cedarmill.lab.cluster.record import Record
from cedarmill.lab.cluster.report import make_verdict
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import read_scenario


def played(name: str, folder: Path, seed: int = 1) -> Record:
    """A scenario's record; an invariant that was broken fails the test with its words."""
    record = play(read_scenario(name), seed, folder)
    broken = {name: texts for name, texts in make_verdict(record).invariants.items() if texts}
    assert broken == {}
    return record


def kinds_of(record: Record) -> list[str]:
    return [event.what for event in record.events]


def test_drains_are_granted_and_end_while_leaders_die_and_a_node_is_cut_off(tmp_path):
    kinds = kinds_of(played("quick", tmp_path))
    assert kinds.count("back") == 5, "each executor was restarted and is back"
    assert kinds.count("drained") == 5


def test_a_canary_that_ends_by_itself_is_halted_and_taken_back(tmp_path):
    record = played("canary", tmp_path)
    kinds = kinds_of(record)
    assert "release halted" in kinds
    assert "release backed" in kinds
    bad = [event for event in record.events if event.what == "starts" and event.note == "exiting"]
    touched = {event.target for event in bad}
    assert touched == {"node-0"}, "no other node was started with it"
