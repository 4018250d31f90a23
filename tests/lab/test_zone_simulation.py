"""Zones under faults: incidents on one clock, mutants, every order of small cases, real processes."""

import pytest

from cedarmill.cluster.state_machine import drains, limits
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.lab.cluster.mutants import applied_patches
from cedarmill.lab.cluster.report import write_report
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import read_scenario
from cedarmill.lab.simulation.drain_case import DrainCase
from cedarmill.lab.simulation.exhaustive import explore
from cedarmill.lab.simulation.traffic_case import TrafficCase
from cedarmill.lab.simulation.zones.incidents import INCIDENTS
from cedarmill.lab.simulation.zones.mutants import MUTANTS, hunt
from cedarmill.lab.simulation.zones.results import violations
from cedarmill.lab.simulation.zones.simulation import play as play_incident
from tests.support.replica_case import ReplicaCase, cli

SHORT_INCIDENTS = [name for name, incident in INCIDENTS.items() if incident.length <= 90]


@pytest.mark.parametrize("name", SHORT_INCIDENTS)
def test_invariants_hold_in_incident(name):
    result = play_incident(name, 1, "agreed")
    assert violations(result, INCIDENTS[name]) == [], result.violations


def test_one_seed_is_one_timeline():
    first, again, other = (play_incident("calm", seed, "agreed").digest for seed in (3, 3, 4))
    assert first == again
    assert first != other


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_seen(name):
    assert hunt(name, range(1, 6)).seed > 0, f"{name} was not seen"


# Small cases whole: the invariants hold in every order, and a mutant is found with its shortest trail.


def test_a_drain_under_a_limit_of_one():
    found = explore(DrainCase(), DrainCase.EVENTS[:10])
    assert found.breach is None
    assert found.states > 500


def test_a_plan_over_three_zones_with_two_faults():
    found = explore(TrafficCase(), TrafficCase.EVENTS[:7])
    assert found.breach is None
    assert found.states > 200


def test_a_drain_that_is_said_too_early_is_found():
    with applied_patches([(drains, "members_to_drain", lambda world, permit: [])]):
        found = explore(DrainCase(), DrainCase.EVENTS)
    assert found.breach[0] == ("ask a",)
    assert "drained" in found.breach[1]


class TwoDrainsCase(TrafficCase):
    """Two zones are to be drained, and either could bear the other's traffic."""

    EVENTS = ("leave b", "leave c", "time")
    DEMAND = {"any": 4_000, "zone": 1_000}


def test_two_zones_out_at_once_are_found():
    assert explore(TwoDrainsCase(), TwoDrainsCase.EVENTS).breach is None
    with applied_patches([(limits, "max_out_count", lambda limit, count: count)]):
        found = explore(TwoDrainsCase(), TwoDrainsCase.EVENTS)
    assert "evacuated at once" in found.breach[1]


class TrueRegionsCase(TrafficCase):
    """Judged by what the zones really are."""

    EVENTS = ("a lost", "time")
    DEMAND = {"any": 20_000, "region": 15_000, "zone": 1_000}

    @staticmethod
    def _row_violations(source, scope, row, whose):
        far = scope == "region" and source in "ab" and "c" in row
        return [f"residents stay: {whose}, {source} {scope}: {row}"] if far else []


def test_plans_that_forget_regions_are_found():
    with applied_patches([(ZoneLayout, "reachable_zones", lambda self, zone, scope: ["a", "b", "c"])]):
        found = explore(TrueRegionsCase(), TrueRegionsCase.EVENTS)
    assert "residents stay" in found.breach[1]


def test_a_zone_dies_with_the_leader_while_another_is_drained(tmp_path):
    run = play(read_scenario("zone-quick"), 1, tmp_path)
    found = write_report(run, tmp_path)
    assert {invariant: texts for invariant, texts in found.invariants.items() if texts} == {}
    assert found.plans > 1
    assert "drained" in {event.what for event in run.events if event.target == "zone-1"}


class OperatorCommands(ReplicaCase):
    """What operators ask of the zones, at real replicas."""

    limits = (
        *ReplicaCase.limits,
        '<limit kind="zone" per="fleet" most="1"/>',
        '<zones safe="85%"><region name="east"><zone name="a"/><zone name="b"/>'
        '</region><region name="west"><zone name="c"/></region><cost from="a" to="c" is="5"/></zones>',
    )

    def operate(self, *words: str):
        addresses = ",".join(f"127.0.0.1:{port}" for port in self.ports.values())
        return cli("fleet", "--keepers", addresses, "--cluster", "main", *words)

    def test_zones_evacuate_return_pin_freeze_and_what_if(self):
        self.assertEqual(self.operate("zones").returncode, 0)
        self.assertEqual(self.operate("evacuate-zone", "nowhere", "--reason", "x").returncode, 1)
        self.assertEqual(self.operate("pin", "a", "--reason", "known").returncode, 0)
        self.assertEqual(self.operate("unpin", "a").returncode, 0)
        self.assertEqual(self.operate("freeze", "--reason", "looking").returncode, 0)
        run = self.operate("evacuate-zone", "a", "--reason", "works")
        self.assertEqual((run.returncode, "frozen by" in run.stdout), (1, True), run.stdout + run.stderr)
        self.assertEqual(self.operate("thaw").returncode, 0)
        first = self.operate("evacuate-zone", "a", "--over", "1s", "--reason", "works")
        self.assertEqual(first.returncode, 0, first.stdout + first.stderr)
        second = self.operate("evacuate-zone", "b", "--over", "1s", "--reason", "works")
        self.assertEqual(second.returncode, 4, "one zone at once: it waits")
        self.assertEqual(self.operate("return-zone", "b").returncode, 0)
        self.assertEqual(self.operate("return-zone", "a").returncode, 0)
        self.assertIn("missing: 0.0", self.operate("what-if", "--lose", "a").stdout)
        self.assertEqual(self.operate("what-if", "--lose", "nowhere").returncode, 1)

    def test_zones_that_cannot_be_are_refused_in_one_line(self):
        path = self.write("k0")
        path.write_text(path.read_text().replace('to="c"', 'to="d"'))
        run = self.operate("zones", "--set", str(path))
        self.assertEqual(run.returncode, 2)
        self.assertRegex(run.stderr, r"k0\.xml:\d+: <cost> to: no zone 'd'")
