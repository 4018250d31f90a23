"""The real program and balancers that check it: agent-check and HTTP; serving, draining, with no executor."""

import contextlib
import http.client
import json
import re
import socket
import unittest

import grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc

from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.agent import Admin, Status
from cedarmill.health.codecs.http import FAIL_AT_ONCE, JSON_CONTENT_TYPE, Expected, evaluate
from tests.conf.test_settings import command
from tests.support.node_case import WAIT, NodeCase

Serving = health_pb2.HealthCheckResponse


class Checked(NodeCase):
    xml_settings = ('<health><agent listen="127.0.0.1:0"/><http listen="127.0.0.1:0"/>'
            '<grpc listen="127.0.0.1:0"/></health>')  # fmt: skip

    def setUp(self) -> None:
        super().setUp()
        lines = [re.search(r"health by (\w+) on \S+ port (\d+)", line) for line in self.log]
        self.ports = {line[1]: int(line[2]) for line in lines if line}

    def agent(self, send: bytes = b"") -> agent.AgentReply:
        with socket.create_connection(("127.0.0.1", self.ports["agent"]), timeout=WAIT) as sock:
            if send:
                sock.sendall(send)
            text = sock.makefile("rb").read()
        return agent.AgentReader().feed(text)

    def get(self, path: str, **headers) -> http.client.HTTPResponse:
        connection = http.client.HTTPConnection("127.0.0.1", self.ports["http"], timeout=WAIT)
        self.addCleanup(connection.close)
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        answer.text = answer.read()
        return answer

    def test_a_node_that_serves_says_so_and_its_weight_follows_its_room(self):
        """Agent and HTTP agree; the weight is the share of slots that are free, never 0%: a drain."""
        before = self.agent()
        self.assertEqual((before.status, before.admin, before.weight), (Status.UP, Admin.READY, 100))
        self.client().ask("issue")
        self.executors[0].next_request()
        held = self.agent(b"agent-send string\n")
        self.assertEqual((held.status, held.weight), (Status.UP, 1))
        for path in ("/livez", "/readyz", "/healthz"):
            self.assertEqual((self.get(path).status, self.get(path).text), (200, b"ok\n"))
        verbose = self.get("/readyz?verbose").text.decode().splitlines()
        self.assertEqual(verbose, ["[+]ping ok", "[+]backends ok", "[+]draining ok", "readyz check passed"])
        document = self.get("/healthz", Accept=JSON_CONTENT_TYPE)
        self.assertEqual(json.loads(document.text)["status"], "pass")
        self.assertEqual(document.headers["x-envoy-upstream-healthchecked-cluster"], "n0")
        self.assertTrue(evaluate(Expected(), 200, {"content-type": JSON_CONTENT_TYPE}, document.text).passed)
        self.assertEqual(self.get("/other").status, 404)

    def test_a_drain_shows_at_once_on_both_and_the_node_is_still_alive(self):
        """While a held request keeps it, balancers must send it nothing new."""
        self.client().ask()
        self.executors[0].next_request()
        self.terminate()
        self.wait_log("draining")
        self.assertEqual(self.agent().admin, Admin.DRAIN)
        answer = self.get("/readyz")
        self.assertEqual((answer.status, answer.headers[FAIL_AT_ONCE]), (503, "true"))
        self.assertIn(b"[-]draining failed: draining", answer.text)
        self.assertFalse(evaluate(Expected(), 200, {FAIL_AT_ONCE: "true"}, b"").passed)
        self.assertEqual(self.get("/livez").status, 200)

    def test_a_proxy_header_may_come_before_a_check(self):
        """`send-proxy`, both versions, cut anywhere: the check behind it is answered."""
        header = proxy.ProxyHeader(("10.0.0.1", 1234), ("10.0.0.2", 80))
        for start in (proxy.compose_1(header), proxy.compose_2(header), proxy.compose_2(proxy.ProxyHeader())):
            with socket.create_connection(("127.0.0.1", self.ports["http"]), timeout=WAIT) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                text = start + b"GET /livez HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                for at in range(0, len(text), 5):
                    sock.sendall(text[at : at + 5])
                self.assertTrue(sock.makefile("rb").read().startswith(b"HTTP/1.1 200 OK"))

    def test_a_checker_that_connects_by_hundreds_sends_rubbish_or_nothing_harms_nobody(self):
        """Its sessions are bounded and end in time; requests and other checks are answered meanwhile."""
        address = "127.0.0.1", self.ports["http"]
        crowd = [socket.create_connection(address, timeout=WAIT) for _ in range(200)]
        for sock in crowd:
            self.addCleanup(sock.close)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.agent().status, Status.UP)
        for sock in crowd:  # reset at the bound, or closed when their time is over
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")
        long = b"GET /livez HTTP/1.1\r\nX: " + b"x" * 9000
        for rubbish in (b"PROXY TCP9 what\r\n", b"\x00\x01\x02\r\n\r\n", long):
            with socket.create_connection(address, timeout=WAIT) as sock:
                sock.sendall(rubbish)
                self.assertTrue(sock.makefile("rb").readline().startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.get("/livez").status, 200)

    def test_grpcs_own_client_checks_lists_and_watches_a_drain(self):
        """A client that nobody here wrote: statuses, an unknown service, and news of a drain at once."""
        with grpc.insecure_channel(f"127.0.0.1:{self.ports['grpc']}") as channel:
            stub = health_pb2_grpc.HealthStub(channel)
            ask = health_pb2.HealthCheckRequest
            self.assertEqual(stub.Check(ask(), timeout=WAIT).status, Serving.SERVING)
            listed = stub.List(health_pb2.HealthListRequest(), timeout=WAIT)
            self.assertEqual(set(listed.statuses), {"", "cedarmill"})
            with self.assertRaises(grpc.RpcError) as caught:
                stub.Check(ask(service="other"), timeout=WAIT)
            self.assertEqual(caught.exception.code(), grpc.StatusCode.NOT_FOUND)
            unknown = stub.Watch(ask(service="other"), timeout=WAIT)
            self.assertEqual(next(unknown).status, Serving.SERVICE_UNKNOWN)
            watch = stub.Watch(ask(service="cedarmill"), timeout=WAIT)
            self.assertEqual(next(watch).status, Serving.SERVING)
            self.client().ask()
            self.executors[0].next_request()
            self.terminate()
            self.assertEqual(next(watch).status, Serving.NOT_SERVING)
            self.assertEqual(stub.Check(ask(), timeout=WAIT).status, Serving.NOT_SERVING)
            unknown.cancel()
            watch.cancel()

    def test_what_is_no_grpc_is_ended(self):
        """HTTP/1.1, rubbish, and a call with no message; the next client is served."""
        for rubbish in (b"GET / HTTP/1.1\r\n\r\n", bytes(100)):
            with socket.create_connection(("127.0.0.1", self.ports["grpc"]), timeout=WAIT) as sock:
                sock.sendall(rubbish)
                with contextlib.suppress(ConnectionResetError):
                    while sock.recv(4096):
                        pass
        with grpc.insecure_channel(f"127.0.0.1:{self.ports['grpc']}") as channel:
            codes = {"Check": grpc.StatusCode.INVALID_ARGUMENT, "What": grpc.StatusCode.UNIMPLEMENTED}
            for path, code in codes.items():
                call = channel.unary_unary(f"/grpc.health.v1.Health/{path}")
                with self.assertRaises(grpc.RpcError) as caught:
                    call(b"\xff\xff", timeout=WAIT)
                self.assertEqual(caught.exception.code(), code)

    def test_the_command_asks_once_and_explains(self):
        """0 and 1 as exit codes for scripts, words for people; nothing that answers otherwise is healthy."""
        for words, code, expected in (
            (("--kind", "agent", "--send", "hello"), 0, ("status: up", "weight: 100%", "\nhealthy")),
            (("--proxy",), 0, ("status: 200", "[+]backends ok", "\nhealthy")),
            (("--path", "/other"), 1, ("status: 404", "why: status 404", "not healthy")),
        ):  # fmt: skip
            port = self.ports["agent" if "agent" in words else "http"]
            ran = command("health", "probe", f"127.0.0.1:{port}", *words)
            self.assertEqual(ran.returncode, code, ran.stdout + ran.stderr)
            for text in expected:
                self.assertIn(text, ran.stdout)
        odd = command("health", "probe", f"127.0.0.1:{self.port}", "--kind", "agent", "--wait", "0.2")
        self.assertEqual((odd.returncode, odd.stdout[:9]), (1, "no answer"))
        self.assertEqual(command("health", "probe", "nowhere").returncode, 2)


class NoExecutor(Checked):
    def config(self) -> dict:
        config = super().config()
        config["known"]["endpoints"] = []
        return config

    def test_a_node_with_no_usable_executor_is_not_ready_but_alive(self):
        """To restart it would help nobody; to send it work would fail."""
        self.assertEqual((self.agent().status, self.agent().reason), (Status.DOWN, "no backend serves"))
        statuses = [self.get(path).status for path in ("/livez", "/readyz", "/healthz")]
        self.assertEqual(statuses, [200, 503, 503])


for _name in [name for name in vars(Checked) if name.startswith("test_")]:
    setattr(NoExecutor, _name, None)  # they need a executor


if __name__ == "__main__":
    unittest.main()
