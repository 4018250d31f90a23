"""Tests of clients that cancel by a close, a half-close or a request, also through chains of nodes."""

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
from cedarmill.lab.scenario import read_scenario
from tests.net.test_node import UnansweredConnects
from tests.support.node_case import ROOT, WAIT, NodeCase


def raw(number: int, job_class: str = "pin", budget: int = 6000, extra_headers: str = "") -> bytes:
    """Return the bytes of a request; `extra_headers` holds further header lines."""
    head = (
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: raw{number}\r\nX-Call-Class: {job_class}\r\n"
        f"X-Caller: acme\r\nX-Budget-Ms: {budget}\r\n{extra_headers}Content-Length: 6\r\n\r\n"
    )
    return head.encode() + b"a body"


class RawClientCase(NodeCase):
    """A node with clients that write to a plain socket."""

    def raw_client(self) -> socket.socket:
        """Connect to the node with a socket that is closed after the test."""
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)
        self.addCleanup(sock.close)
        return sock


class CloseRaces(RawClientCase):
    def test_a_client_close_together_with_an_executor_reset_starts_no_late_retry(self):
        """The reset allows a retry of a keyed request and the close forbids it, in both orders."""
        for number in range(40):
            client = self.client().ask()
            request = self.executors[0].next_request()
            events = [client.close, request.connection.reset]
            for event in events if number % 2 else reversed(events):
                event()
            closed = time.monotonic()
            while time.monotonic() < closed + 0.03:
                if not self.executors[0].received.empty():
                    self.executors[0].next_request()
                    self.assertLess(time.monotonic() - closed, 0.025)  # a retry sent before the close
                select.select([], [], [], 0.001)
        self.process.send_signal(signal.SIGUSR1)
        self.wait_log("wasted work")

    def test_pipelined_requests_of_a_closed_client_do_not_start(self):
        """Pipelined requests wait in the session and are dropped when it ends."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2) + raw(3))
        request = self.executors[0].next_request()
        sock.close()
        self.assertTrue(request.connection.ended.wait(WAIT))
        client = self.client().ask()
        self.assertEqual(self.executors[0].next_request().headers["X-Call-Id"], f"{client.count:016x}")


class DelayedLastByte(RawClientCase):
    log_format = "json"

    def test_a_client_that_closes_before_the_last_byte_wastes_no_work(self):
        """The node delays the last byte of an unsafe request by 2 ms, during which a close cancels it."""
        complete_requests = 0
        for number in range(20):
            sock = self.raw_client()
            sock.sendall(raw(number, "issue"))
            sock.close()
        for _ in range(20):
            try:
                complete_requests += len(self.executors[0].received.get(timeout=0.3).body) == 6
            except Exception:
                break
        self.process.send_signal(signal.SIGUSR1)
        event = json.loads(self.wait_log("wasted-work"))
        self.assertEqual((event["event"], event["level"]), ("wasted-work", "info"))
        wasted_attempts = sum(row["attempts"] for row in event["rows"])
        self.assertLessEqual(complete_requests, 3)  # A slow machine may read a close after more than 2 ms.
        self.assertEqual(wasted_attempts, complete_requests)
        self.assertEqual(event["words"] == "wasted work: nothing", complete_requests == 0)


class CancelledAttempts(RawClientCase):
    """Executors of kinds that differ in how an attempt is cancelled."""

    def send_and_cancel(self):
        """Send a request, close its client, and return the request that the executor received."""
        client = self.client().ask()
        request = self.executors[0].next_request()
        client.close()
        return request


class CancelByHalfClose(CancelledAttempts):
    xml_settings = '<backends><kind name="box" cancel="end"/></backends>'

    def test_a_half_close_cancels_the_attempt(self):
        """An executor that honours a half-close may still write, and the node discards its answer."""
        request = self.send_and_cancel()
        self.assertTrue(request.connection.ended.wait(WAIT))
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)


class CancelUnsupported(CancelledAttempts):
    xml_settings = '<backends><kind name="box" cancel="none"/></backends>'

    def test_an_attempt_that_cannot_be_cancelled_keeps_its_connection_until_it_ends(self):
        """The open connection shows the end of the attempt and can then be reused."""
        client = self.client().ask()
        request, descriptors = self.executors[0].next_request(), self.descriptors()
        client.close()
        self.wait_for(lambda: self.descriptors() < descriptors)  # The node has closed the session.
        request.done()
        client = self.client().ask()
        second = self.executors[0].next_request()
        # The second request may be sent before the node has read that answer; the next one is sent after.
        if second.connection is not request.connection:
            second.done()
            self.assertEqual(client.answer()[0], 200)
            client.ask()
            second = self.executors[0].next_request()
        second.done()
        self.assertEqual(client.answer()[0], 200)
        self.assertIn(second.connection, self.executors[0].connections[:2])
        self.assertFalse(request.connection.ended.is_set())
        self.process.send_signal(signal.SIGUSR1)
        self.wait_log("pin left: 1 attempts")


class HalfCloseCancels(RawClientCase):
    def test_a_half_close_of_the_client_cancels_its_request_by_default(self):
        """Clients of the platform do not half-close a connection that they still read."""
        sock = self.raw_client()
        sock.sendall(raw(1))
        request = self.executors[0].next_request()
        sock.shutdown(socket.SHUT_WR)
        self.assertTrue(request.connection.ended.wait(WAIT))


class HalfCloseAllowed(RawClientCase):
    xml_settings = '<deadlines half-close="stays"/>'

    def test_a_half_closed_client_gets_its_answers_and_is_then_closed(self):
        """Fronts that half-close early still want their answers; an idle half-closed session is closed."""
        sock = self.raw_client()
        sock.sendall(raw(1) + raw(2))
        sock.shutdown(socket.SHUT_WR)
        for _ in range(2):
            self.executors[0].next_request().done("fine")
        self.assertEqual(sock.makefile("rb").read().count(b" 200 OK"), 2)
        idle = self.raw_client()
        idle.shutdown(socket.SHUT_WR)
        self.assertEqual(idle.recv(1), b"")


class CancelByRequest(RawClientCase):
    xml_settings = '<deadlines cancel-calls="on"/>'

    def test_a_delete_request_cancels_an_open_call_of_its_caller(self):
        """The session stays open; calls of other callers and unknown calls are answered 404."""
        first, second = self.client(), self.client()
        first.ask(**{"X-Call-Id": "abc"})
        request = self.executors[0].next_request()
        for call_id, caller, status in (("abc", "other", 404), ("abd", "acme", 404), ("abc", "acme", 200),
                                        ("abc", "acme", 404)):  # fmt: skip
            second.request("DELETE", f"/api/calls/{call_id}", headers={"X-Caller": caller})
            self.assertEqual(second.answer()[0], status)
        self.assertTrue(request.connection.ended.wait(WAIT))
        self.assertEqual(first.answer(), (502, b"recalled by its client\n"))
        first.ask()
        self.executors[0].next_request().done()
        self.assertEqual(first.answer()[0], 200)


class DeadlineHeaders(RawClientCase):
    xml_settings = ('<deadlines><source header="grpc-timeout"/><source header="x-deadline-unix-ms"/>'
            '<skew bound="50ms"/></deadlines>')  # fmt: skip

    def test_the_earliest_deadline_applies_and_invalid_ones_are_refused(self):
        """A deadline in the past is answered 503; a malformed one or a clock 5 s ahead is answered 400."""
        now_ms = int(time.time() * 1000)
        for headers, statuses in (
            ({"grpc-timeout": "300m", "X-Deadline-Unix-Ms": str(now_ms + 5000)}, (502,)),
            ({"grpc-timeout": "300x"}, (400,)), ({}, (400,)), ({"grpc-timeout": "0m"}, (503,)),
            ({"X-Deadline-Unix-Ms": str(now_ms - 5000)}, (503,)),
            ({"X-Deadline-Unix-Ms": str(now_ms + 6000 + 5000)}, (400,)),
        ):  # fmt: skip
            with self.subTest(headers):
                began = time.monotonic()
                client = self.client().ask(**headers)
                self.assertIn(client.answer()[0], statuses)
                self.assertLess(time.monotonic() - began, 0.4)
        self.assertEqual(self.executors[0].received.qsize(), 1)
        self.wait_log("a client's deadline cannot be")


class DeadlineBeforeConnectTimeout(UnansweredConnects):
    settings_changes = {"caps.connect_timeout": 5_000_000, "caps.probes": True}
    test_a_connect_without_an_answer_times_out = None  # That test expects a shorter connect time-out.

    def test_a_request_is_answered_by_its_deadline_while_a_connect_is_pending(self):
        """The connect time-out is longer than the budget of the request."""
        began = time.monotonic()
        self.assertIn(self.client().ask("issue", budget=100).answer()[0], (502, 503))
        self.assertLess(time.monotonic() - began, 0.1 + 0.058)

    def test_pending_connects_of_a_closed_client_are_cancelled(self):
        """Pending probes of its request are cancelled too: they would cost the executor work."""
        self.discovery.next_request()  # The watch holds its descriptor throughout the test.
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


class ChainedNodes(RawClientCase):
    """Two nodes in a row: client -> front -> inner -> executor."""

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

    def test_a_chain_forwards_cancellations_and_shortens_the_budget(self):
        """A client's close reaches the executor, and no node forwards a larger budget than it received."""
        client = self.client().ask(budget=1000)
        request = self.executors[0].next_request()
        self.assertGreater(int(request.headers["X-Budget-Ms"]), 900)
        self.assertLess(int(request.headers["X-Budget-Ms"]), 1000)
        request.done("from the box")
        self.assertEqual(client.answer(), (200, b"from the box"))
        client.ask()
        request = self.executors[0].next_request()
        client.close()
        self.assertTrue(request.connection.ended.wait(WAIT))

    def test_a_chain_answers_within_the_budget_when_the_executor_is_silent(self):
        """Each node keeps a margin of the budget, so that the client gets its answer before its time-out."""
        began = time.monotonic()
        client = self.client().ask("issue", budget=400)
        self.executors[0].next_request()
        self.assertEqual(client.answer()[0], 502)
        duration_s = time.monotonic() - began
        self.assertLess(duration_s, 0.4 + 0.058)
        self.assertGreater(duration_s, 0.3)

    def test_a_killed_inner_node_fails_an_unsafe_request_and_refuses_later_ones(self):
        """The open request may have run, so it fails without a retry; later ones did not run."""
        client = self.client().ask("issue")
        self.executors[0].next_request()
        self.inner.kill()
        self.assertEqual(client.answer()[0], 502)
        self.inner.wait(WAIT)  # until then the system may take a connection, and the request may have run
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


# Work of a call of the clients that stay, in microseconds; the shortest mean of the platform's classes.
REGULAR_WORK_US = 330_000


class LoadStub:
    """Stub of the load generator for client connections: ended calls have no effect."""

    def __init__(self, run: Run) -> None:
        self.clock, self.idle, self.stray = run.clock, set(), []

    def call_ended(self, call: Call, retry_after: float | None) -> None: ...


class MassDisconnect(unittest.TestCase):
    def test_a_thousand_clients_that_close_at_once_do_not_block_the_others(self):
        """All closes are read in one loop iteration; `benchmarks/leaving.py` measures the delay."""
        _, leaving_s, visit_count = self.measure()
        self.assertEqual((len(leaving_s), visit_count), (75, 1000))

    def measure(self) -> tuple[list[float], list[float], int]:
        """Return durations of regular calls before and during the closes, and how many calls were open."""
        with (
            tempfile.TemporaryDirectory() as folder,
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            path = Path(folder) / "thousand.xml"
            path.write_text(SCENARIO)
            scenario = read_scenario(str(path))
            run = Run(scenario, scenario.sides[0], 1, lambda done: None, sockets=4096)
            return runner.run(self.measure_closes(run, Path(folder)))

    async def measure_closes(self, run: Run, folder: Path) -> tuple[list[float], list[float], int]:
        """Open all calls, then time regular calls before and after the close of a thousand clients."""
        load = LoadStub(run)
        await run.open(folder)
        try:
            leaving = [await self.open_call(run, load, number, 60_000_000) for number in range(1000)]
            until = time.monotonic() + WAIT
            while len(run.history.visits) < 1000 and time.monotonic() < until:
                await asyncio.sleep(0.01)
            visit_count = len(run.history.visits)
            regular = [await self.open_call(run, load, 1000 + n, REGULAR_WORK_US) for n in range(25)]
            calm_s = await self.time_calls(run, regular, 2000)
            for connection in leaving:
                connection.leave("close")
            leaving_s = await self.time_calls(run, regular, 3000)
        finally:
            await run.close()
        return calm_s, leaving_s, visit_count

    async def open_call(self, run: Run, load, number: int, work: int) -> ClientConnection:
        """Connect a client and send its first call."""
        port = run.nodes[0].port
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(load), "127.0.0.1", port
        )
        self.send_call(run, connection, number, work)
        return connection

    @staticmethod
    def send_call(run: Run, connection: ClientConnection, number: int, work: int) -> None:
        """Send a call with this work, in microseconds."""
        connection.call = Call(f"c{number}", "pin", number, run.clock())
        text = raw(number, "pin", 20_000).replace(b"acme", b"lab").replace(b"raw", b"c")
        body = b"%d" % work
        text = text.replace(b"Content-Length: 6", b"Content-Length: %d" % len(body)).replace(b"a body", body)
        connection.transport.write(text)

    async def time_calls(self, run: Run, connections: list[ClientConnection], number: int) -> list[float]:
        """Return the durations of three calls on each connection, in seconds."""
        loops = [
            self.repeat_calls(run, connection, number + 100 * n) for n, connection in enumerate(connections)
        ]
        return [duration for durations in await asyncio.gather(*loops) for duration in durations]

    async def repeat_calls(self, run: Run, connection: ClientConnection, number: int) -> list[float]:
        """Send three calls one after the other and return their durations in seconds."""
        durations = []
        for count in range(3):
            while connection.call is not None:  # The previous call is still open.
                await asyncio.sleep(0.001)
            began = time.monotonic()
            self.send_call(run, connection, number + count, REGULAR_WORK_US)
            while connection.call is not None:
                await asyncio.sleep(0.001)
            durations.append(time.monotonic() - began)
        return durations


class NodeImports(unittest.TestCase):
    def test_the_node_does_not_import_the_simulator_or_the_command_line(self):
        """A node may have as little as 32 MB of memory, too little for modules that it does not use."""
        code = ("import sys, cedarmill.net.node; found = {n.split('.')[0] for n in sys.modules};"
                "own = {n for n in sys.modules if n.startswith('cedarmill.')};"
                "bad = found & {'click', 'lxml', 'structlog', 'rich', 'numpy', 'matplotlib', 'hdrh'};"
                "bad |= {n for n in own if n.split('.')[1] in ('lab', 'cli', 'conf', 'sim', 'health')};"
                "sys.exit(bad or 0)")  # fmt: skip
        process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(process.stderr.strip(), "")


if __name__ == "__main__":
    unittest.main()
