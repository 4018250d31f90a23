"""The laboratory of many processes: invariants that see breaches, links that hold what they are told to."""

import asyncio
import dataclasses
import unittest

import numpy
import pytest

from cedarmill.conf.document import ConfError
from cedarmill.lab.cluster.history import Event, EventHistory
from cedarmill.lab.cluster.history import read as read_history
from cedarmill.lab.cluster.invariants import Record, check_invariants
from cedarmill.lab.cluster.links import LinkFault, Links
from cedarmill.lab.cluster.report import write_report
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import SHIPPED, read_scenario, shipped_scenarios
from cedarmill.lab.history import Visit
from cedarmill.values import LimitOptions as Limit

TARGETS = {f"box-{number}": {"kind": "executor", "zone": f"zone-{number % 2}"} for number in range(6)}
LIMITS = (Limit("executor", "fleet", most=2), Limit("executor", "zone", most=1))


def event(at: int, what: str, target: str = "box-0", who: str = "operator-1", **more) -> Event:
    return Event(at, who, what, target, **more)


def record(*events: Event, visits=(), limits=LIMITS, **more) -> Record:
    return Record(list(events), list(visits), limits, TARGETS, **more)


def broken(checked: Record) -> list[str]:
    """The names of the invariants that it breaks."""
    return [invariant for invariant, breaches in check_invariants(checked).items() if breaches]


# Each invariant is broken on purpose, and it alone is named.


def test_a_good_history_is_good():
    events = [
        event(1, "taken"),
        event(2, "taken", "box-1"),
        event(3, "drained"),
        event(4, "down", note="planned"),
        event(5, "returning"),
        event(6, "back"),
        event(7, "taken", "box-2"),
        event(8, "back", "box-1"),
        event(9, "back", "box-2"),
    ]
    visit = Visit("box-0", "zone-0", "c1", "pin", 2)
    assert broken(record(*events, visits=[visit])) == []


LATE = Visit("box-0", "zone-0", "c1", "pin", 5)
LOST = event(1, "down", "box-2", "box-2", note="fault")
BACK = event(9_000_000, "back")


@pytest.mark.parametrize(
    ("invariant", "checked"),
    [
        (
            "never too many out",
            record(
                event(1, "taken"), event(2, "taken", "box-2"), event(3, "back"), event(4, "back", "box-2")
            ),
        ),
        (
            "no work after drained",
            record(
                event(1, "taken"),
                event(2, "drained"),
                event(9, "returning"),
                event(9, "back"),
                visits=[LATE],
            ),
        ),
        ("no job lost by plan", record(event(1, "down", note="planned", number=2))),
        ("epochs only grow", record(event(1, "acts", epoch=7), event(2, "acts", epoch=6))),
        ("nothing on a dead lease", record(event(1, "acts", epoch=7, number=-0.2))),
        ("permits accounted for", record(event(1, "taken"))),
    ],
)
def test_each_breach_is_named(invariant, checked):
    assert broken(checked) == [invariant]


@pytest.mark.parametrize(
    ("taken_at", "invariants"),
    [
        pytest.param(8_000_000, ["never too many out"], id="a loss that the cluster has had time to see"),
        pytest.param(2, [], id="a loss that it could not know"),
    ],
)
def test_a_loss_counts_once_it_can_be_known(taken_at, invariants):
    assert broken(record(LOST, event(taken_at, "taken"), BACK)) == invariants


@pytest.mark.parametrize(("granted_at", "invariants"), [({}, ["never too many out"]), ({7: 2}, [])])
def test_a_grant_older_than_a_loss_may_be_heard_after_it(granted_at, invariants):
    """Replicas that died between a grant and its answer: who takes the target knew no better."""
    taken = event(8_000_000, "taken", epoch=7)
    assert broken(record(LOST, taken, BACK, granted_at=granted_at)) == invariants


def test_what_executors_see_beyond_a_budget_is_named_whoever_asked():
    checked = record(budgets=(("probes", 10_000, 2),))
    checked.executor_spending = [(number * 100_000, "probes") for number in range(200)]
    assert broken(checked) == []
    checked.executor_spending += [(20_000_000 + number * 50_000, "probes") for number in range(200)]
    assert broken(checked) == ["budgets hold at executors"]


def test_a_limit_by_capacity_counts_slots_not_heads():
    limits = (Limit("executor", "fleet", capacity_left=500),)
    checked = record(event(1, "taken"), event(2, "back"), limits=limits, slots={"box-0": 20})
    assert broken(checked) == ["never too many out"]


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Each fault of a direction, seen at the ends of one connection."""

    async def asyncSetUp(self):
        self.links = Links(numpy.random.SeedSequence(1))
        self.accepted: asyncio.Queue = asyncio.Queue()
        server = await asyncio.start_server(lambda *ends: self.accepted.put_nowait(ends), "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.addCleanup(self.links.close)
        upstream = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        address = await self.links.address("a", "b", upstream)
        self.near = await asyncio.open_connection("127.0.0.1", int(address.rpartition(":")[2]))
        self.far = await asyncio.wait_for(self.accepted.get(), 5)
        self.addCleanup(self.near[1].close)
        self.addCleanup(self.far[1].close)
        (self.there,) = self.links.directions("a", "b")

    async def comes(self, wait: float = 5.0) -> bytes:
        return await asyncio.wait_for(self.far[0].read(100), wait)

    async def test_a_cut_holds_one_direction_and_lets_go_of_it(self):
        self.there.begin(LinkFault("cut"))
        self.near[1].write(b"there")
        self.far[1].write(b"back")
        self.assertEqual(await asyncio.wait_for(self.near[0].read(100), 5), b"back")
        with self.assertRaises(TimeoutError):
            await self.comes(0.1)
        self.there.lift("cut")
        self.assertEqual(await self.comes(), b"there")

    async def test_what_is_delayed_or_dropped_comes_in_order(self):
        self.there.begin(LinkFault("delay", 0.02, 0.05))
        self.there.begin(LinkFault("drop", 0.5))
        for number in range(8):
            self.near[1].write(b"%d" % number)
            await asyncio.sleep(0)
        got = b""
        while len(got) < 8:
            got += await self.comes(20)
        self.assertEqual(got, b"01234567")

    async def test_a_reset_ends_it_at_both_ends(self):
        self.there.begin(LinkFault("reset"))
        self.assertEqual(await asyncio.wait_for(self._end(self.near[0]), 5), b"")
        self.assertEqual(await asyncio.wait_for(self._end(self.far[0]), 5), b"")

    async def _end(self, reader) -> bytes:
        try:
            return await reader.read(1)
        except ConnectionResetError:
            return b""

    async def test_a_half_open_connection_stays_silent_after_the_fault(self):
        self.there.begin(LinkFault("half-open"))
        self.there.lift("half-open")
        self.near[1].write(b"there")
        with self.assertRaises(TimeoutError):
            await self.comes(0.1)

    async def test_a_trickle_takes_its_time(self):
        self.there.begin(LinkFault("trickle", 1.0))  # a byte a second
        self.near[1].write(b"there")
        with self.assertRaises(TimeoutError):
            await self.comes(0.1)


def test_all_shipped_scenarios_are_read():
    assert "doors" in shipped_scenarios()
    for name in shipped_scenarios():
        assert read_scenario(name).timeline


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('fault="pause"', 'fault="slow"', ("<process> size", "needed here")),
        ('most="3"', 'per="x"', ("per",)),
        ('most="3"', "", ("<limit>", "needed")),
        ('at="2s"', 'at="2"', ("no unit",)),
    ],
)
def test_a_broken_file_is_refused_with_its_line(old, new, words, tmp_path):
    path = tmp_path / "broken.xml"
    path.write_text((SHIPPED / "doors.xml").read_text().replace(old, new))
    with pytest.raises(ConfError) as caught:
        read_scenario(str(path))
    for word in (str(path), *words):
        assert word in str(caught.value)


def test_a_history_is_read_as_it_was_written(tmp_path):
    history = EventHistory(lambda: 7)
    history.tell("operator-1", "taken", "box-0", epoch=3, note="n", number=0.5)
    path = tmp_path / "history.jsonl"
    history.write(path)
    assert read_history(path) == history.events
    path.write_text('{"at":1}\n')
    with pytest.raises(ValueError, match="history.jsonl:1"):
        read_history(path)


def test_without_agreement_operators_at_different_nodes_take_out_more_than_is_allowed(tmp_path):
    """The need: each node says yes for itself, and nobody counts over all of them.

    Real processes; they are asked for invariants only, never for speeds.
    """
    scenario = read_scenario("doors")
    small = dataclasses.replace(scenario, layout=dataclasses.replace(scenario.layout, nodes=6))
    verdict = write_report(play(small, 1, tmp_path), tmp_path)
    assert (tmp_path / "verdict.json").stat().st_size
    named = [invariant for invariant, breaches in verdict.invariants.items() if breaches]
    assert named == ["never too many out", "grants fit one order"]
    assert verdict.most_out_by_plan > 3
