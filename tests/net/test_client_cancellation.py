"""The real program and clients that leave: by close, half-close and word, in chains, by the thousand."""

import asyncio
import json
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import uvloop

from cedarmill.lab.history import Call
from cedarmill.lab.load import ClientConnection
from cedarmill.lab.run import Run
from cedarmill.lab.scenario import read
from tests.net.test_node import CutOff
from tests.support.node_case import ROOT, WAIT, NodeCase


def raw(number: int, job_class: str = "pin", budget: int = 6000, more: str = "") -> bytes:
    head = (
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: raw{number}\r\nX-Call-Class: {job_class}\r\n"
        f"X-Caller: acme\r\nX-Budget-Ms: {budget}\r\n{more}Content-Length: 6\r\n\r\n"
    )
    return head.encode() + b"a body"


class LeavingCase(NodeCase):
    def raw_client(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
        self.addCleanup(sock.close)
        return sock


class Racing(LeavingCase):
    def test_a_close_and_a_reset_at_one_moment_start_nothing_late(self):
        """The reset lets a keyed request be sent again, the close forbids it: both orders."""
        for number in range(40):
            client = self.client().ask()
            asked = self.executors[0].next_request()
            both = [client.close, asked.connection.reset]
            for event in both if number % 2 else reversed(both):
                event()
            left = time.monotonic()
            while time.monotonic() < left + 0.03:
                if not self.executors[0].received.empty():
                    self.executors[0].next_request()
                    self.assertLess(time.monotonic() - left, 0.025)  # a copy that was on its way
                select.select([], [], [], 0.001)
        self.process.send_signal(signal.SIGUSR1)
        self.wait_log("wasted work")

    def test_requests_behind_one_whose_client_left_do_not_start(self):
        """Sent ahead on the same session, they wait there; its end is theirs."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2) + raw(3))
        asked = self.executors[0].next_request()
        sock.close()
        self.assertTrue(asked.connection.ended.wait(WAIT))
        client = self.client().ask()
        self.assertEqual(self.executors[0].next_request().headers["X-Call-Id"], f"{client.count:016x}")


class HeldByte(LeavingCase):
    log_format = "json"

    def test_who_leaves_before_the_last_byte_leaves_nothing_that_ran(self):
        """A code-issue's last byte waits 2 ms: within them its client goes, and no executor may count it."""
        whole = 0
        for number in range(20):
            sock = self.raw_client()
            sock.sendall(raw(number, "issue"))
            sock.close()
        for _ in range(20):
            try:
                whole += len(self.executors[0].received.get(timeout=0.3).body) == 6
            except Exception:
                break
        self.process.send_signal(signal.SIGUSR1)
        event = json.loads(self.wait_log("wasted-work"))
        self.assertEqual((event["event"], event["level"]), ("wasted-work", "info"))
        charged = sum(row["attempts"] for row in event["rows"])
        self.assertLessEqual(whole, 3)  # a slow machine may take over 2 ms to see a close
        self.assertEqual(charged, whole)
        self.assertEqual(event["words"] == "wasted work: nothing", whole == 0)


class Kinds(LeavingCase):
    def left(self):
        client = self.client().ask()
        asked = self.executors[0].next_request()
        client.close()
        return asked


class EndsSending(Kinds):
    xml_settings = '<backends><kind name="box" cancel="end"/></backends>'

    def test_an_attempt_is_given_up_by_ending_the_sending(self):
        """A executor that honours a half-close may still write; what it says is read by nobody."""
        asked = self.left()
        self.assertTrue(asked.connection.ended.wait(WAIT))
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class CannotCancel(Kinds):
    xml_settings = '<backends><kind name="box" cancel="none"/></backends>'

    def test_what_cannot_be_cancelled_keeps_its_connection_till_it_ends(self):
        """Closed, it would run on unseen; kept, its end is seen and the connection serves again."""
        client = self.client().ask()
        asked, held = self.executors[0].next_request(), self.descriptors()
        client.close()
        self.wait_for(lambda: self.descriptors() < held)  # the leave has been seen
        asked.done()
        client = self.client().ask()
        second = self.executors[0].next_request()
        # Where the second came before that end was read, the next one will not.
        if second.connection is not asked.connection:
            second.done()
            self.assertEqual(client.answer()[0], 200)
            client.ask()
            second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIn(second.connection, self.executors[0].connections[:2])
        self.assertFalse(asked.connection.ended.is_set())
        self.process.send_signal(signal.SIGUSR1)
        self.wait_log("pin left: 1 attempts")


class HalfCloseLeaves(LeavingCase):
    def test_a_half_close_is_leaving_as_ever(self):
        """The platform's clients never do it and read on; the attempt is given up."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        asked = self.executors[0].next_request()
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(asked.connection.ended.wait(WAIT))


class HalfCloseStays(LeavingCase):
    xml_settings = '<deadlines half-close="stays"/>'

    def test_a_half_closed_client_reads_its_answers_and_is_then_closed(self):
        """Where fronts end their sending early, the work is wanted; but nobody may hold a session so."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2))
        sock.shutdown(socket.SHUT_WR)
        for _ in range(2):
            self.executors[0].next_request().done("fine")
        self.assertEqual(sock.makefile("rb").read().count(b" 200 OK"), 2)
        idle = self.raw_client()
        idle.shutdown(socket.SHUT_WR)
        self.assertEqual(idle.recv(1), b"")


class ByWord(LeavingCase):
    xml_settings = '<deadlines cancel-calls="on"/>'

    def test_a_front_that_cannot_close_says_that_the_client_left(self):
        """The session goes on; only the caller's own open call is taken back."""
        first, second = self.client(), self.client()
        first.ask(**{"X-Call-Id": "abc"})
        asked = self.executors[0].next_request()
        for call_id, caller, status in (("abc", "other", 404), ("abd", "acme", 404), ("abc", "acme", 200),
                                        ("abc", "acme", 404)):  # fmt: skip
            second.request("DELETE", f"/api/calls/{call_id}", headers={"X-Caller": caller})
            self.assertEqual(second.answer()[0], status)
        self.assertTrue(asked.connection.ended.wait(WAIT))
        self.assertEqual(first.answer(), (502, b"recalled by its client\n"))
        first.ask()
        self.executors[0].next_request().done()
        self.assertEqual(first.answer()[0], 200)


class Sources(LeavingCase):
    xml_settings = ('<deadlines><source header="grpc-timeout"/><source header="x-deadline-unix-ms"/>'
            '<skew bound="50ms"/></deadlines>')  # fmt: skip

    def test_other_deadlines_are_obeyed_and_malformed_ones_told(self):
        """The tightest holds; a past one is refused at once; clocks 5 s off are told."""
        unix = int(time.time() * 1000)
        for headers, statuses in (
            ({"grpc-timeout": "300m", "X-Deadline-Unix-Ms": str(unix + 5000)}, (502,)),
            ({"grpc-timeout": "300x"}, (400,)), ({}, (400,)), ({"grpc-timeout": "0m"}, (503,)),
            ({"X-Deadline-Unix-Ms": str(unix - 5000)}, (503,)),
            ({"X-Deadline-Unix-Ms": str(unix + 6000 + 5000)}, (400,)),
        ):  # fmt: skip
            with self.subTest(headers):
                began = time.monotonic()
                client = self.client().ask(**headers)
                self.assertIn(client.answer()[0], statuses)
                self.assertLess(time.monotonic() - began, 0.4)
        self.assertEqual(self.executors[0].received.qsize(), 1)
        self.wait_log("a client's deadline cannot be")


class ShortOfAConnect(CutOff):
    settings_changes = {"caps.connect_timeout": 5_000_000, "caps.probes": True}
    test_a_connect_that_never_comes_up_ends_in_its_time = None  # it holds for another time-out

    def test_a_deadline_shorter_than_one_connect_is_kept(self):
        """The answer comes by the deadline, whatever still connects."""
        began = time.monotonic()
        self.assertIn(self.client().ask("issue", budget=100).answer()[0], (502, 503))
        self.assertLess(time.monotonic() - began, 0.1 + 0.058)

    def test_what_still_connects_for_who_has_left_is_let_go(self):
        """The probe asked for its sake too: it would cost the executor work once the connect comes up."""
        self.discovery.next_request()  # its connection counts among those that stay
        client = self.client()
        client.connect()
        self.wait_for(lambda: self.descriptors())
        idle = self.descriptors()
        client.ask("issue")
        self.wait_for(lambda: self.descriptors() > idle)
        client.close()
        began = time.monotonic()
        self.wait_for(lambda: self.descriptors() < idle)
        self.assertLess(time.monotonic() - began, 4)


class Chain(LeavingCase):
    """client -> front -> inner -> executor."""

    xml_settings = ('<deadlines><margin kind="learned"/></deadlines>'
            '<backends><kind name="node" speaks="node"/></backends>')  # fmt: skip

    def setUp(self) -> None:
        super().setUp()
        self.inner, inner_port = self.process, self.port
        self.addCleanup(self.inner.communicate)
        self.addCleanup(self.inner.kill)
        config = self.config()
        entry = self.entry(0, name="inner", address=f"127.0.0.1:{inner_port}", type="node")
        config["known"]["endpoints"] = [entry]
        self.process = self.start(config)
        self.wait_log("serves on")
        self.port = self.logged_port()

    def test_a_chain_serves_passes_a_leave_on_and_shortens_the_budget(self):
        """Leaving the front must reach the executor; no hop may pass on more than it was given."""
        client = self.client().ask(budget=1000)
        asked = self.executors[0].next_request()
        self.assertGreater(int(asked.headers["X-Budget-Ms"]), 900)
        self.assertLess(int(asked.headers["X-Budget-Ms"]), 1000)
        asked.done("from the box")
        self.assertEqual(client.answer(), (200, b"from the box"))
        client.ask()
        asked = self.executors[0].next_request()
        client.close()
        self.assertTrue(asked.connection.ended.wait(WAIT))

    def test_the_answer_is_in_time_where_the_executor_ignores_all(self):
        """Three parties each keep a margin: the client hears before its own time is up."""
        began = time.monotonic()
        client = self.client().ask("issue", budget=400)
        self.executors[0].next_request()
        self.assertEqual(client.answer()[0], 502)
        took = time.monotonic() - began
        self.assertLess(took, 0.4 + 0.058)
        self.assertGreater(took, 0.3)

    def test_a_node_killed_in_the_middle_ends_in_one_honest_answer(self):
        """A code-issue may have run: failed, never sent again; later ones are refused, nothing ran."""
        client = self.client().ask("issue")
        self.executors[0].next_request()
        self.inner.kill()
        self.assertEqual(client.answer()[0], 502)
        self.assertEqual(client.ask("issue").answer()[0], 503)
        self.assertTrue(self.executors[0].received.empty())


SCENARIO = """<?xml version="1.0"?>
<scenario version="1" length="1s" about="a thousand at once">
  <fleet boxes="4" zones="1" cores="2000" slots="2000" queue="9" slowest="1" fastest="1"/>
  <load rate="1" leave-by="close"><class name="pin" part="100%" effect="safe" worth="1" budget="20s"
    work="10ms" spread="0" leave="0%" patience="1s" retries="0"/></load>
  <side name="on" honours="on"><cedarmill version="1"><backends><kind name="box" cancel="close"/></backends>
  </cedarmill></side>
</scenario>"""


USUAL_US = 330_000  # of work in a usual call: the shortest mean of the brief's classes


class Quiet:
    """Takes what client sessions have to tell, and wants nothing of them."""

    def __init__(self, run: Run) -> None:
        self.clock, self.idle, self.stray = run.clock, set(), []

    def call_ended(self, call: Call, retry_after: float | None) -> None: ...


class Thousand(unittest.TestCase):
    def test_a_thousand_that_leave_at_once_cost_the_others_nothing(self):
        """Their ends come in one turn of the loop: each usual call is served. `benchmarks/leaving.py` times
        it.
        """
        _, crowd, seen = self.thousand()
        self.assertEqual((len(crowd), seen), (75, 1000))

    def thousand(self) -> tuple[list[float], list[float], int]:
        """What usual calls take in calm and while a thousand leave, and how many of those were there."""
        with (
            tempfile.TemporaryDirectory() as folder,
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            path = Path(folder) / "thousand.xml"
            path.write_text(SCENARIO)
            scenario = read(str(path))
            run = Run(scenario, scenario.sides[0], 1, lambda done: None, sockets=4096)
            return runner.run(self.play(run, Path(folder)))

    async def play(self, run: Run, folder: Path) -> tuple[list[float], list[float], int]:
        load = Quiet(run)
        await run.open(folder)
        try:
            held = [await self.ask(run, load, number, 60_000_000) for number in range(1000)]
            until = time.monotonic() + WAIT
            while len(run.history.visits) < 1000 and time.monotonic() < until:
                await asyncio.sleep(0.01)
            seen = len(run.history.visits)
            usual = [await self.ask(run, load, 1000 + n, USUAL_US) for n in range(25)]
            calm = await self.serve(run, usual, 2000)
            for other in held:
                other.leave("close")
            crowd = await self.serve(run, usual, 3000)
        finally:
            await run.close()
        return calm, crowd, seen

    async def ask(self, run: Run, load, number: int, work: int) -> ClientConnection:
        port = run.nodes[0].port
        _, wire = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(load), "127.0.0.1", port
        )
        self.write(run, wire, number, work)
        return wire

    @staticmethod
    def write(run: Run, wire: ClientConnection, number: int, work: int) -> None:
        wire.call = Call(f"c{number}", "pin", number, run.clock())
        text = raw(number, "pin", 20_000).replace(b"acme", b"lab").replace(b"raw", b"c")
        body = b"%d" % work
        text = text.replace(b"Content-Length: 6", b"Content-Length: %d" % len(body)).replace(b"a body", body)
        wire.transport.write(text)

    async def serve(self, run: Run, wires: list[ClientConnection], number: int) -> list[float]:
        """What a second of usual calls takes, each."""
        loops = [self.again(run, wire, number + 100 * n) for n, wire in enumerate(wires)]
        return [took for times in await asyncio.gather(*loops) for took in times]

    async def again(self, run: Run, wire: ClientConnection, number: int) -> list[float]:
        times = []
        for count in range(3):
            while wire.call is not None:  # the one before has its answer
                await asyncio.sleep(0.001)
            began = time.monotonic()
            self.write(run, wire, number + count, USUAL_US)
            while wire.call is not None:
                await asyncio.sleep(0.001)
            times.append(time.monotonic() - began)
        return times


class Platform(unittest.TestCase):
    def test_the_platforms_run_loads_nothing_that_is_not_asked_for(self):
        """Nodes have 32 MB at the least: what the laboratory or the command needs must not come with them."""
        code = ("import sys, cedarmill.net.node; found = {n.split('.')[0] for n in sys.modules};"
                "own = {n for n in sys.modules if n.startswith('cedarmill.')};"
                "bad = found & {'click', 'lxml', 'structlog', 'rich', 'numpy', 'matplotlib', 'hdrh'};"
                "bad |= {n for n in own if n.split('.')[1] in ('lab', 'cli', 'conf', 'sim', 'health')};"
                "sys.exit(bad or 0)")  # fmt: skip
        ran = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(ran.stderr.strip(), "")


if __name__ == "__main__":
    unittest.main()
