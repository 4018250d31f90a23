"""The laboratory of many processes: laws that see planted breaches, links that hold what they are told to."""

import asyncio
import dataclasses
import tempfile
import unittest
from pathlib import Path

import numpy

from cedarmill.conf.document import ConfError
from cedarmill.lab.cluster.history import Event, EventHistory
from cedarmill.lab.cluster.history import read as read_history
from cedarmill.lab.cluster.invariants import Record, check_invariants
from cedarmill.lab.cluster.links import LinkFault, Links
from cedarmill.lab.cluster.report import write
from cedarmill.lab.cluster.run import play
from cedarmill.lab.cluster.scenario import read, shipped
from cedarmill.lab.history import Visit
from cedarmill.values import LimitOptions as Limit

PLACES = {f"box-{n}": {"kind": "executor", "zone": f"zone-{n % 2}"} for n in range(6)}
LIMITS = (Limit("executor", "fleet", most=2), Limit("executor", "zone", most=1))


def event(at: int, what: str, target: str = "box-0", who: str = "operator-1", **more) -> Event:
    return Event(at, who, what, target, **more)


def record(*events: Event, visits=(), limits=LIMITS) -> Record:
    return Record(list(events), list(visits), limits, PLACES)


class Laws(unittest.TestCase):
    """Each law is broken on purpose, and it alone is named."""

    def broken(self, told: Record) -> list[str]:
        return [law for law, found in check_invariants(told).items() if found]

    def test_a_good_history_is_good(self):
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
        self.assertEqual(self.broken(record(*events, visits=[visit])), [])

    def test_each_breach_is_named(self):
        late = Visit("box-0", "zone-0", "c1", "pin", 5)
        lost = event(1, "down", "box-2", "box-2", note="fault")
        back = event(9_000_000, "back")
        cases = {
            "never too many out": record(event(1, "taken"), event(2, "taken", "box-2"), event(3, "back"),
                                         event(4, "back", "box-2")),
            "no work after drained": record(event(1, "taken"), event(2, "drained"), event(9, "returning"),
                                            event(9, "back"), visits=[late]),
            "no job lost by plan": record(event(1, "down", note="planned", number=2)),
            "epochs only grow": record(event(1, "acts", epoch=7), event(2, "acts", epoch=6)),
            "nothing on a dead lease": record(event(1, "acts", epoch=7, number=-0.2)),
            "permits accounted for": record(event(1, "taken")),
        }  # fmt: skip
        for law, told in cases.items():
            self.assertEqual(self.broken(told), [law])
        known = record(lost, event(8_000_000, "taken"), back)  # a loss that the fleet has had the time to see
        self.assertEqual(self.broken(known), ["never too many out"])
        unknown = record(lost, event(2, "taken"), back)
        self.assertEqual(self.broken(unknown), [])

    def test_a_grant_older_than_a_loss_may_be_heard_after_it(self):
        """Keepers that died between a grant and its answer: who takes the target knew no better."""
        lost = event(1, "down", "box-2", "box-2", note="fault")
        told = record(lost, event(8_000_000, "taken", epoch=7), event(9_000_000, "back"))
        self.assertEqual(self.broken(told), ["never too many out"])
        told.granted_at = {7: 2}
        self.assertEqual(self.broken(told), [])

    def test_what_executors_see_beyond_a_budget_is_named_whoever_asked(self):
        told = record()
        told.budgets = (("probes", 10_000, 2),)
        told.executor_spending = [(n * 100_000, "probes") for n in range(200)]
        self.assertEqual(self.broken(told), [])
        told.executor_spending += [(20_000_000 + n * 50_000, "probes") for n in range(200)]
        self.assertEqual(self.broken(told), ["budgets hold at executors"])

    def test_a_limit_by_capacity_counts_slots_not_heads(self):
        limits = (Limit("executor", "fleet", capacity_left=500),)
        told = record(event(1, "taken"), event(2, "back"), limits=limits)
        told.slots = {"box-0": 20}
        self.assertEqual(self.broken(told), ["never too many out"])


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


class Scenarios(unittest.TestCase):
    def test_all_shipped_ones_are_read(self):
        self.assertIn("doors", shipped())
        for name in shipped():
            self.assertTrue(read(name).timeline)

    def test_a_broken_file_is_refused_with_its_line(self):
        text = (Path(__file__).parents[2] / "cedarmill/lab/cluster/scenarios/doors.xml").read_text()
        for change, words in ((('fault="pause"', 'fault="slow"'), ("<process> size", "needed here")),
                              (('most="3"', 'per="x"'), ("per",)), (('most="3"', ""), ("<limit>", "needed")),
                              (('at="2s"', 'at="2"'), ("no unit",))):  # fmt: skip
            with tempfile.NamedTemporaryFile("w", suffix=".xml") as file:
                file.write(text.replace(*change))
                file.flush()
                with self.assertRaises(ConfError) as caught:
                    read(file.name)
            for word in (file.name, *words):
                self.assertIn(word, str(caught.exception))

    def test_a_history_is_read_as_it_was_written(self):
        history = EventHistory(lambda: 7)
        history.tell("operator-1", "taken", "box-0", epoch=3, note="n", number=0.5)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "history.jsonl"
            history.write(path)
            self.assertEqual(read_history(path), history.events)
            path.write_text('{"at":1}\n')
            with self.assertRaisesRegex(ValueError, "history.jsonl:1"):
                read_history(path)


class Rounds(unittest.TestCase):
    """Real processes. They are asked for laws only, never for speeds."""

    def small(self, name: str, **changes):
        scenario = read(name)
        return dataclasses.replace(scenario, layout=dataclasses.replace(scenario.layout, **changes))

    def test_without_agreement_operators_at_different_doors_take_out_more_than_is_allowed(self):
        """The need: each door says yes for itself, and nobody counts over all of them."""
        scenario = self.small("doors", nodes=6)
        with tempfile.TemporaryDirectory() as folder:
            told = play(scenario, 1, Path(folder))
            found = write(told, Path(folder))
            self.assertTrue((Path(folder) / "verdict.json").stat().st_size)
        broken = [law for law, texts in found.invariants.items() if texts]
        self.assertEqual(broken, ["never too many out", "grants fit one order"])
        self.assertGreater(found.most_out_by_plan, 3)
