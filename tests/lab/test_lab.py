"""The laboratory: a judge that sees planted faults, boxes that count right, arrivals that repeat."""

import asyncio
import dataclasses
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import msgspec
import numpy

from cedarmill.conf.document import ConfError
from cedarmill.lab.checker import check_history
from cedarmill.lab.executor import EmulatedExecutor
from cedarmill.lab.figures import figures
from cedarmill.lab.history import Answer, Call, ClassRules, Drain, History, Visit
from cedarmill.lab.load import Load
from cedarmill.lab.scenario import read, shipped
from tests.conf.test_settings import command

GOOD = History(
    "s", "on", 1, 10_000_000, {"pin": ClassRules("keyed", "zone", 1_000_000), "issue": ClassRules("unsafe")}
)


def call(number: int, job_class: str = "pin", **changes) -> Call:
    made = Call(f"c{number}", job_class, number, 0, sent=0, budget=6_000_000)
    return dataclasses.replace(made, answers=[Answer(900_000, 200, f"c{number} by b1")], **changes)


def visit(number: int, box: str = "b1", at: int = 1_000, job_class: str = "pin", **changes) -> Visit:
    made = Visit(box, changes.pop("zone", "z1"), f"c{number}", job_class, at, at, 800_000, "done")
    return msgspec.structs.replace(made, **changes)


def story(calls, visits, **changes) -> History:
    return dataclasses.replace(GOOD, calls=calls, visits=visits, **changes)


class JudgeTest(unittest.TestCase):
    """A check that cannot fail is worth nothing: each rule is broken on purpose, and it alone is named."""

    def broken(self, told: History) -> list[str]:
        return [rule for rule, found in check_history(told).items() if found]

    def test_a_good_run_is_good(self):
        """A repeat in the zone and window, a retry by the client, a leave, a break: all allowed."""
        calls = [call(1), Call("c2", "pin", 2, 0, left=500_000),
                 Call("c3", "pin", 3, 0, broken=True)]  # fmt: skip
        visits = [visit(1), visit(1, "b2", 500_000), visit(2, ended=500_100, outcome="stopped"), visit(3)]
        self.assertEqual(self.broken(story(calls, visits)), [])

    def test_answers(self):
        """None, two, one too late, one for who left."""
        late = [Answer(6_100_000, 502)]
        for bad in (Call("c1", "pin", 1, 0, budget=6_000_000),
                    dataclasses.replace(call(1), answers=[Answer(1, 502), Answer(2, 502)]),
                    dataclasses.replace(call(1), answers=late),
                    dataclasses.replace(call(1), left=10)):  # fmt: skip
            self.assertEqual(self.broken(story([bad], [visit(1)])), ["exactly one final answer"])

    def test_results(self):
        """Another's result, and one that no box made."""
        for result in ("c2 by b1", "c1 by b9", ""):
            bad = dataclasses.replace(call(1), answers=[Answer(5, 200, result)])
            self.assertEqual(
                self.broken(story([bad], [visit(1), visit(2, at=0)][:1])), ["served with true results"]
            )

    def test_repeats(self):
        """Unsafe again, also by a client's retry; keyed in another zone, and past its window."""
        unsafe = dict(job_class="issue")
        again = dataclasses.replace(call(2, "issue"), job=1)
        for calls, visits in (
            ([call(1, "issue")], [visit(1, **unsafe), visit(1, "b2", 2_000, **unsafe)]),
            ([call(1, "issue"), again], [visit(1, **unsafe), visit(2, at=2_000, **unsafe)]),
            ([call(1)], [visit(1), visit(1, "b2", 2_000, zone="z2")]),
            ([call(1)], [visit(1), visit(1, "b2", 1_002_000)]),
        ):  # fmt: skip
            self.assertEqual(self.broken(story(calls, visits)), ["no forbidden repeat"])
        rejected = [visit(1, **unsafe, outcome="rejected"), visit(1, "b1", 2_000, **unsafe)]
        self.assertEqual(self.broken(story([call(1, "issue")], rejected)), [])

    def test_drains(self):
        """1.5 s after it was told, and not a moment before."""
        for at, broken in ((1_500_000, []), (1_500_001, ["nothing new after a drain"])):
            told = story([call(1)], [visit(1, at=at)], drains=[Drain("b1", 0)])
            self.assertEqual(self.broken(told), broken)

    def test_leaving(self):
        """A byte that was on its way is allowed for 5 ms, longer on a machine that ran late itself; with the
        nodes set to go on, it is no breach.
        """
        left, named = Call("c1", "pin", 1, 0, left=100_000), ["nothing started for who has left"]
        for at, stops, lag, broken in ((105_000, True, 0, []), (105_001, True, 0, named),
                                       (105_001, False, 0, []), (185_000, True, 20_000, []),
                                       (185_001, True, 20_000, named)):  # fmt: skip
            told = story([left], [visit(1, at=at)], stops=stops, lag=lag)
            self.assertEqual(self.broken(told), broken)

    def test_slot_time_for_nobody_is_what_came_after_the_leave(self):
        """The figure that this laboratory was built for, on numbers done by hand."""
        told = story([Call("c1", "pin", 1, 0, left=600_000), call(2)], [visit(1, at=0), visit(2, at=0)])
        self.assertAlmostEqual(figures(told).for_nobody, 200_000 / 1_600_000)


class BoxTest(unittest.TestCase):
    def test_jobs_share_the_cores_and_a_stall_stops_them_all(self):
        """Three jobs on two cores: each gets two thirds of one; nothing is done in a stall."""
        now = 0
        box = EmulatedExecutor(
            "b", "z", 2, 4, 1.0, 4, True, lambda body, _: 0.0, lambda: now, [], numpy.random.default_rng(1)
        )
        box._plan = lambda: None
        jobs = [type("J", (), {"left": 900_000.0})() for _ in range(3)]
        box.running = list(jobs)
        now = 300_000
        box._advance()
        self.assertAlmostEqual(jobs[0].left, 700_000)
        box.fault("stall", 1.0)
        now = 500_000
        box._advance()
        self.assertAlmostEqual(jobs[0].left, 700_000)


class ScenarioTest(unittest.TestCase):
    def test_what_ships_is_good_and_a_bad_file_is_named(self):
        """Parts that do not add up, a node that is not there, two sides of one name."""
        self.assertEqual(set(shipped()), {"abandon", "chain", "rehearsal"})
        good = (Path(read.__code__.co_filename).parent / "scenarios/rehearsal.xml").read_text()
        for old, new, words in (('part="52%"', 'part="50%"', "add up to 98%"),
                                ('length="8s"', 'length="8"', "8ms"),
                                ('kind="hang"', 'kind="kill-node" node="1"', "there are 1"),
                                ("<fleet", "<fleets", "fleets")):  # fmt: skip
            with self.subTest(words), tempfile.NamedTemporaryFile("w", suffix=".xml") as file:
                self.assertEqual(good.count(old), 1)
                file.write(good.replace(old, new))
                file.flush()
                with self.assertRaisesRegex(ConfError, words):
                    read(file.name)

    def test_one_seed_gives_one_sequence_of_arrivals_for_every_side(self):
        """Sides are compared on the same calls, whatever the node does with them."""

        def arrivals(seed: int) -> list:
            load = Load(
                lambda: 0, numpy.random.SeedSequence(seed), read("abandon").habits, 30.0, list, "close"
            )
            load._schedule, drawn = lambda: None, []
            load._try = lambda *job: drawn.append((job[1], job[2].job_class, round(job[3]), job[5]))
            for due in range(200):
                load._arrive(due)
            return drawn

        self.assertEqual(arrivals(7), arrivals(7))
        self.assertNotEqual(arrivals(7), arrivals(8))


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_is_lost_before_its_call_is_sent_breaks_that_call(self):
        """A node that is killed between its accept and our turn: the call has an end."""
        load = Load(lambda: 7, numpy.random.SeedSequence(1), read("abandon").habits, 1.0, list, "close")
        call, wire = Call("c1", "pin", 1, 0), SimpleNamespace(is_closing=lambda: True)
        load._plans[id(call)], load.open = (load.habits[0], 1.0, load.habits[0].retries, None), 1
        opened = asyncio.get_running_loop().create_future()
        opened.set_result((wire, None))
        load._opened(opened, call)
        self.assertTrue(call.broken)
        self.assertEqual(load.open, 0)


class TraceTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_come_when_the_trace_says_and_a_bad_trace_is_named(self):
        """A day that was seen is played again as it was, not as a rate of the same mean."""
        good = (Path(read.__code__.co_filename).parent / "scenarios/rehearsal.xml").read_text()
        with tempfile.TemporaryDirectory() as folder:
            path, trace = Path(folder) / "day.xml", Path(folder) / "day.txt"
            path.write_text(good.replace("<load ", '<load trace="day.txt" '))
            trace.write_text("1ms\n1ms\n3ms\n")
            scenario = read(str(path))
            for text, words in (("1ms 2", "day.txt:2: '2' is no"), ("2ms 1ms", "day.txt:2: 1ms comes")):
                trace.write_text(text)
                with self.assertRaisesRegex(ConfError, words):
                    read(str(path))
        seeds, due, over = numpy.random.SeedSequence(1), [], asyncio.Event()
        load = Load(lambda: 0, seeds, scenario.habits, 1.0, list, "close", scenario.trace)
        load._try = lambda job, at, *_: (due.append(at), len(due) == 3 and over.set())
        load.start(1_000_000)
        await asyncio.wait_for(over.wait(), 10)
        self.assertEqual(due, [1_000, 1_000, 3_000])


class RunTest(unittest.TestCase):
    def test_a_rehearsal_runs_prints_its_table_and_leaves_a_report(self):
        """Real nodes, a hang, resets and a drain: every rule kept; the report can be made again."""
        with tempfile.TemporaryDirectory() as folder:
            ran = command("lab", "run", "rehearsal", "--out", folder)
            self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)
            self.assertIn("late_starts │ 0", ran.stdout)
            report = Path(folder) / "rehearsal.html"
            self.assertIn("data:image/png", report.read_text())
            again = command("lab", "report", f"{folder}/rehearsal-node-1.json", "-o", f"{folder}/again.html")
            self.assertEqual(again.returncode, 0, again.stderr)

    def test_a_chain_keeps_the_rules(self):
        """client, node, node, box: half of the clients leave."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "chain.xml"
            text = (Path(read.__code__.co_filename).parent / "scenarios/chain.xml").read_text()
            path.write_text(text.replace('length="15s"', 'length="3s"'))
            ran = command("lab", "run", str(path), "--side", "on-honoured", "--out", folder)
            self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)


class LoopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_box_answers_rejects_and_stops_over_sockets(self):
        """What the judge believes of a visit is what went over the wire."""
        loop, visits = asyncio.get_running_loop(), []
        box = EmulatedExecutor("b", "z", 1, 1, 1.0, 1, True, lambda body, _: float(body),
                  lambda: int(loop.time() * 1e6), visits, numpy.random.default_rng(1))  # fmt: skip
        await box.open()
        self.addCleanup(box.close)
        host, port = box.address.split(":")
        request = b"POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nContent-Length: 7\r\n\r\n%07d"
        wires = []
        for name, work in ((b"a", 1_500_000), (b"b", 9_999_999), (b"c", 9_999_999)):
            transport, _ = await loop.create_connection(asyncio.Protocol, host, int(port))
            transport.write(request % (name, work))
            wires.append(transport)
            while len(visits) < len(wires):
                await asyncio.sleep(0)
        wires[1].close()
        while not all(visit.outcome for visit in visits):
            await asyncio.sleep(0)
        self.assertEqual([visit.outcome for visit in visits], ["done", "stopped", "rejected"])
        for transport in wires:
            transport.close()


if __name__ == "__main__":
    unittest.main()
