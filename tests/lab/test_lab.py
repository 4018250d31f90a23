"""The laboratory: a checker that sees breaches, executors that count right, arrivals that repeat."""

import asyncio
import dataclasses
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import msgspec
import numpy
import pytest

from cedarmill.conf.document import ConfError
from cedarmill.lab.checker import check_history
from cedarmill.lab.executor import EmulatedExecutor
from cedarmill.lab.executor_connection import ExecutorJob
from cedarmill.lab.executor_options import ExecutorOptions
from cedarmill.lab.figures import figures
from cedarmill.lab.history import Answer, Call, ClassRules, Drain, History, Visit
from cedarmill.lab.load import Attempt, Load, LoadOptions
from cedarmill.lab.scenario import SHIPPED, read_scenario, shipped_scenarios
from tests.conf.test_settings import command

RULES = {"pin": ClassRules("keyed", "zone", 1_000_000), "issue": ClassRules("unsafe")}
GOOD = History("s", "on", 1, 10_000_000, RULES)


def call(number: int, job_class: str = "pin", **changes) -> Call:
    """A call that was served; number and class may be those of another's retry."""
    served = Call(f"c{number}", job_class, number, 0, sent=0, budget=6_000_000)
    answers = [Answer(900_000, 200, f"c{number} by b1")]
    return dataclasses.replace(served, **({"answers": answers} | changes))


def visit(number: int, executor: str = "b1", at: int = 1_000, job_class: str = "pin", **changes) -> Visit:
    """An attempt that was done."""
    done = Visit(executor, "z1", f"c{number}", job_class, at, at, 800_000, "done")
    return msgspec.structs.replace(done, **changes)


def unsafe_visit(number: int, executor: str = "b1", at: int = 1_000, **changes) -> Visit:
    """One of a class that may not run again."""
    return visit(number, executor, at, "issue", **changes)


def history(calls: list[Call], visits: list[Visit], **changes) -> History:
    return dataclasses.replace(GOOD, calls=calls, visits=visits, **changes)


def broken(checked: History) -> list[str]:
    """The names of the rules that it breaks."""
    return [rule for rule, breaches in check_history(checked).items() if breaches]


# A check that cannot fail is worth nothing: each rule is broken on purpose, and it alone is named.


def test_a_good_run_is_good():
    """A repeat in the zone and window, a retry by the client, a leave, a break: all allowed."""
    calls = [call(1), Call("c2", "pin", 2, 0, left=500_000), Call("c3", "pin", 3, 0, broken=True)]
    visits = [visit(1), visit(1, "b2", 500_000), visit(2, ended=500_100, outcome="stopped"), visit(3)]
    assert broken(history(calls, visits)) == []


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param(Call("c1", "pin", 1, 0, budget=6_000_000), id="none"),
        pytest.param(call(1, answers=[Answer(1, 502), Answer(2, 502)]), id="two"),
        pytest.param(call(1, answers=[Answer(6_100_000, 502)]), id="too late"),
        pytest.param(call(1, left=10), id="for who left"),
    ],
)
def test_answers(bad):
    assert broken(history([bad], [visit(1)])) == ["exactly one final answer"]


@pytest.mark.parametrize("result", ["c2 by b1", "c1 by b9", ""])
def test_results(result):
    """Another's result, and one that no executor made."""
    bad = call(1, answers=[Answer(5, 200, result)])
    assert broken(history([bad], [visit(1)])) == ["served with true results"]


@pytest.mark.parametrize(
    ("calls", "visits"),
    [
        pytest.param([call(1, "issue")], [unsafe_visit(1), unsafe_visit(1, "b2", 2_000)], id="unsafe"),
        pytest.param(
            [call(1, "issue"), call(2, "issue", job=1)],
            [unsafe_visit(1), unsafe_visit(2, at=2_000)],
            id="unsafe, by a client's retry",
        ),
        pytest.param([call(1)], [visit(1), visit(1, "b2", 2_000, zone="z2")], id="keyed, in another zone"),
        pytest.param([call(1)], [visit(1), visit(1, "b2", 1_002_000)], id="keyed, past its window"),
    ],
)
def test_repeats(calls, visits):
    assert broken(history(calls, visits)) == ["no forbidden repeat"]


def test_what_was_rejected_may_be_sent_again():
    rejected = [unsafe_visit(1, outcome="rejected"), unsafe_visit(1, "b1", 2_000)]
    assert broken(history([call(1, "issue")], rejected)) == []


@pytest.mark.parametrize(("at", "rules"), [(1_500_000, []), (1_500_001, ["nothing new after a drain"])])
def test_drains(at, rules):
    """1.5 s after it was told, and not a moment before."""
    assert broken(history([call(1)], [visit(1, at=at)], drains=[Drain("b1", 0)])) == rules


@pytest.mark.parametrize(
    ("at", "stops", "lag", "is_breach"),
    [
        (105_000, True, 0, False),
        (105_001, True, 0, True),
        (105_001, False, 0, False),
        (185_000, True, 20_000, False),
        (185_001, True, 20_000, True),
    ],
)
def test_leaving(at, stops, lag, is_breach):
    """A byte that was on its way is allowed for 5 ms, longer on a machine that ran late itself; with the
    nodes set to go on, it is no breach.
    """
    left = Call("c1", "pin", 1, 0, left=100_000)
    rules = ["nothing started for who has left"] if is_breach else []
    assert broken(history([left], [visit(1, at=at)], stops=stops, lag=lag)) == rules


def test_slot_time_for_nobody_is_what_came_after_the_leave():
    """The figure that this laboratory was built for, on numbers done by hand."""
    calls = [Call("c1", "pin", 1, 0, left=600_000), call(2)]
    wasted = figures(history(calls, [visit(1, at=0), visit(2, at=0)])).for_nobody
    assert wasted == pytest.approx(200_000 / 1_600_000)


def test_jobs_share_the_cores_and_a_stall_stops_them_all():
    """Three jobs on two cores: each gets two thirds of one; nothing is done in a stall."""
    now = 0
    options = ExecutorOptions("b", "z", cores=2, slots=4, queue_limit=4, honours_cancellation=True)
    executor = EmulatedExecutor(options, lambda: now, [], numpy.random.default_rng(1))
    executor._schedule = lambda: None
    jobs = [ExecutorJob(visit(number), 900_000.0, None) for number in range(3)]
    executor.running = list(jobs)
    now = 300_000
    executor._advance()
    assert jobs[0].remaining_us == pytest.approx(700_000)
    executor.begin_fault("stall", 1.0)
    now = 500_000
    executor._advance()
    assert jobs[0].remaining_us == pytest.approx(700_000)


REHEARSAL = (SHIPPED / "rehearsal.xml").read_text()


def test_the_shipped_scenarios_are_good():
    assert set(shipped_scenarios()) == {"abandon", "chain", "rehearsal"}
    for name in shipped_scenarios():
        assert read_scenario(name).sides


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        pytest.param('part="52%"', 'part="50%"', "add up to 98%", id="parts that do not add up"),
        pytest.param('length="8s"', 'length="8"', "8ms", id="no unit"),
        pytest.param('kind="hang"', 'kind="kill-node" node="1"', "there are 1", id="no such node"),
        pytest.param("<fleet", "<fleets", "fleets", id="an unknown element"),
    ],
)
def test_a_bad_file_is_named(old, new, words, tmp_path):
    assert REHEARSAL.count(old) == 1
    path = tmp_path / "bad.xml"
    path.write_text(REHEARSAL.replace(old, new))
    with pytest.raises(ConfError, match=words):
        read_scenario(str(path))


def idle_load(seed: int, **options) -> Load:
    """Clients whose clock stands still."""
    habits = read_scenario("abandon").habits
    return Load(LoadOptions(habits, **options), lambda: 0, numpy.random.SeedSequence(seed), list)


def test_one_seed_gives_one_sequence_of_arrivals_for_every_side():
    """Sides are compared on the same calls, whatever the node does with them."""

    def arrivals(seed: int) -> list[Attempt]:
        load, drawn = idle_load(seed, rate=30.0), []
        load._schedule, load._try = lambda: None, drawn.append
        for due in range(200):
            load._arrive(due)
        return drawn

    assert arrivals(7) == arrivals(7)
    assert arrivals(7) != arrivals(8)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_is_lost_before_its_call_is_sent_breaks_that_call(self):
        """A node that is killed between its accept and our turn: the call has an end."""
        load = idle_load(1, rate=1.0)
        lost_call, transport = Call("c1", "pin", 1, 0), SimpleNamespace(is_closing=lambda: True)
        habits = load.options.habits[0]
        load._attempts["c1"] = Attempt(1, 0, habits, 1.0, tries=habits.retries)
        load.open = 1
        opened = asyncio.get_running_loop().create_future()
        opened.set_result((transport, None))
        load._on_opened(opened, lost_call)
        self.assertTrue(lost_call.broken)
        self.assertEqual(load.open, 0)


class TraceTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_come_when_the_trace_says_and_a_bad_trace_is_named(self):
        """A day that was seen is played again as it was, not as a rate of the same mean."""
        with tempfile.TemporaryDirectory() as folder:
            path, trace = Path(folder) / "day.xml", Path(folder) / "day.txt"
            path.write_text(REHEARSAL.replace("<load ", '<load trace="day.txt" '))
            trace.write_text("1ms\n1ms\n3ms\n")
            scenario = read_scenario(str(path))
            for text, words in (("1ms 2", "day.txt:2: '2' is no"), ("2ms 1ms", "day.txt:2: 1ms comes")):
                trace.write_text(text)
                with self.assertRaisesRegex(ConfError, words):
                    read_scenario(str(path))
        load, due, over = idle_load(1, rate=1.0, trace=scenario.trace), [], asyncio.Event()
        load._try = lambda attempt: (due.append(attempt.due), len(due) == 3 and over.set())
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
        """client, node, node, executor: half of the clients leave."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "chain.xml"
            text = (SHIPPED / "chain.xml").read_text()
            path.write_text(text.replace('length="15s"', 'length="3s"'))
            ran = command("lab", "run", str(path), "--side", "on-honoured", "--out", folder)
            self.assertEqual(ran.returncode, 0, ran.stdout + ran.stderr)


class ExecutorOnSocketsTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_executor_answers_rejects_and_stops_over_sockets(self):
        """What the checker believes of a visit is what went over the wire."""
        loop, visits = asyncio.get_running_loop(), []
        options = ExecutorOptions("b", "z", cores=1, slots=1, queue_limit=1, honours_cancellation=True)
        clock, random = lambda: int(loop.time() * 1e6), numpy.random.default_rng(1)
        executor = EmulatedExecutor(options, clock, visits, random)
        await executor.open()
        self.addCleanup(executor.close)
        host, port = executor.address.split(":")
        request = b"POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nContent-Length: 7\r\n\r\n%07d"
        connections = []
        for name, work in ((b"a", 1_500_000), (b"b", 9_999_999), (b"c", 9_999_999)):
            transport, _ = await loop.create_connection(asyncio.Protocol, host, int(port))
            transport.write(request % (name, work))
            connections.append(transport)
            while len(visits) < len(connections):
                await asyncio.sleep(0)
        connections[1].close()
        while not all(visit.outcome for visit in visits):
            await asyncio.sleep(0)
        self.assertEqual([visit.outcome for visit in visits], ["done", "stopped", "rejected"])
        for transport in connections:
            transport.close()


if __name__ == "__main__":
    unittest.main()
