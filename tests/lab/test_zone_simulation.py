"""Zones under faults: incidents on one clock, planted bugs, every order of small cases, real processes."""

import tempfile
import unittest
from pathlib import Path

from cedarmill.cluster.state_machine import drains, limits
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.lab.cluster.mutants import applied_patches
from cedarmill.lab.cluster.report import write
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import read
from cedarmill.lab.simulation.exhaustive import explore
from cedarmill.lab.simulation.small_cases import Drains, Traffic
from cedarmill.lab.simulation.zones.mutants import MUTANTS, hunt
from cedarmill.lab.simulation.zones.simulation import INCIDENTS, breaches, run
from tests.support.replica_case import KeeperCase, cli

SHORT = [name for name, one in INCIDENTS.items() if one.length <= 90]


class Incidents(unittest.TestCase):
    """Each keeps all laws; the methods are made below, one an incident."""

    def kept(self, name: str) -> None:
        found = run(name, 1, "agreed")
        self.assertEqual(breaches(found, name), [], found.laws)

    def test_one_seed_is_one_timeline(self):
        first, again, other = (run("calm", seed, "agreed").digest for seed in (3, 3, 4))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)


class Bugs(unittest.TestCase):
    """Every planted bug is seen by a law."""

    def seen(self, name: str) -> None:
        self.assertGreater(hunt(name, range(1, 6)).seed, 0, f"{name} was not seen")


for _name in SHORT:
    setattr(Incidents, f"test_{_name.replace('-', '_')}", lambda self, name=_name: self.kept(name))
for _name in MUTANTS:
    setattr(Bugs, f"test_{_name.replace('-', '_')}", lambda self, name=_name: self.seen(name))


class EveryOrder(unittest.TestCase):
    """Small cases whole: the laws hold in every order, and a planted bug is found with its shortest trail."""

    def test_a_drain_under_a_limit_of_one(self):
        found = explore(Drains(), Drains.NAMES[:10])
        self.assertIsNone(found.breach)
        self.assertGreater(found.states, 500)

    def test_a_plan_over_three_zones_with_two_faults(self):
        found = explore(Traffic(), Traffic.NAMES[:7])
        self.assertIsNone(found.breach)
        self.assertGreater(found.states, 200)

    def test_a_drain_that_is_said_too_early_is_found(self):
        with applied_patches([(drains, "members_to_drain", lambda world, permit: [])]):
            found = explore(Drains(), Drains.NAMES)
        self.assertEqual(found.breach[0], ("ask a",))
        self.assertIn("drained", found.breach[1])

    def test_two_zones_out_at_once_are_found(self):
        class Two(Traffic):
            NAMES = ("leave b", "leave c", "time")
            DEMAND = {"any": 4_000, "zone": 1_000}

        self.assertIsNone(explore(Two(), Two.NAMES).breach)
        with applied_patches([(limits, "allowed", lambda limit, count: count)]):
            found = explore(Two(), Two.NAMES)
        self.assertIn("evacuated at once", found.breach[1])

    def test_plans_that_forget_regions_are_found(self):
        with applied_patches([(ZoneLayout, "reachable_zones", lambda self, zone, scope: ["a", "b", "c"])]):
            found = explore(Forgetful(), Forgetful.NAMES)
        self.assertIn("residents stay", found.breach[1])


class Forgetful(Traffic):
    """Judged by what the zones really are."""

    NAMES = ("a lost", "time")
    DEMAND = {"any": 20_000, "region": 15_000, "zone": 1_000}

    @staticmethod
    def _row(source: str, bound: str, row: dict[str, int], whose: str) -> list[str]:
        far = bound == "region" and source in "ab" and "c" in row
        return [f"residents stay: {whose}, {source} {bound}: {row}"] if far else []


class Processes(unittest.TestCase):
    def test_a_zone_dies_with_the_leader_while_another_is_evacuated(self):
        with tempfile.TemporaryDirectory() as folder:
            told = play(read("zone-quick"), 1, Path(folder))
            found = write(told, Path(folder))
        self.assertEqual({law: texts for law, texts in found.invariants.items() if texts}, {})
        self.assertGreater(found.plans, 1)
        self.assertIn("drained", {event.what for event in told.events if event.target == "zone-1"})


class Commands(KeeperCase):
    """What operators ask of the zones, at real keepers."""

    limits = (
        *KeeperCase.limits,
        '<limit kind="zone" per="fleet" most="1"/>',
        '<zones safe="85%"><region name="east"><zone name="a"/><zone name="b"/>'
        '</region><region name="west"><zone name="c"/></region><cost from="a" to="c" is="5"/></zones>',
    )

    def fleet(self, *words: str):
        places = ",".join(f"127.0.0.1:{port}" for port in self.ports.values())
        return cli("fleet", "--keepers", places, "--cluster", "main", *words)

    def test_zones_evacuate_return_pin_freeze_and_what_if(self):
        self.assertEqual(self.fleet("zones").returncode, 0)
        self.assertEqual(self.fleet("evacuate-zone", "nowhere", "--reason", "x").returncode, 1)
        self.assertEqual(self.fleet("pin", "a", "--reason", "known").returncode, 0)
        self.assertEqual(self.fleet("unpin", "a").returncode, 0)
        self.assertEqual(self.fleet("freeze", "--reason", "looking").returncode, 0)
        told = self.fleet("evacuate-zone", "a", "--reason", "works")
        self.assertEqual((told.returncode, "frozen by" in told.stdout), (1, True), told.stdout + told.stderr)
        self.assertEqual(self.fleet("thaw").returncode, 0)
        first = self.fleet("evacuate-zone", "a", "--over", "1s", "--reason", "works")
        self.assertEqual(first.returncode, 0, first.stdout + first.stderr)
        second = self.fleet("evacuate-zone", "b", "--over", "1s", "--reason", "works")
        self.assertEqual(second.returncode, 4, "one zone at once: it waits")
        self.assertEqual(self.fleet("return-zone", "b").returncode, 0)
        self.assertEqual(self.fleet("return-zone", "a").returncode, 0)
        self.assertIn("missing: 0.0", self.fleet("what-if", "--lose", "a").stdout)
        self.assertEqual(self.fleet("what-if", "--lose", "nowhere").returncode, 1)

    def test_zones_that_cannot_be_are_refused_in_one_line(self):
        path = self.write("k0")
        path.write_text(path.read_text().replace('to="c"', 'to="d"'))
        told = self.fleet("zones", "--set", str(path))
        self.assertEqual(told.returncode, 2)
        self.assertRegex(told.stderr, r"k0\.xml:\d+: <cost> to: no zone 'd'")
