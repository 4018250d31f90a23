"""Tests of the health listeners (agent-check, HTTP, gRPC) while serving, draining and without executors."""

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
from cedarmill.health.codecs.http import IMMEDIATE_FAIL_HEADER, JSON_CONTENT_TYPE, Expected, evaluate
from tests.conf.test_settings import command
from tests.support.node_case import WAIT, NodeCase

Serving = health_pb2.HealthCheckResponse


class HealthListenerTest(NodeCase):
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

    def test_serving_node_is_healthy_and_its_weight_is_its_share_of_free_slots(self):
        """The weight is never 0%, which would mean a drain."""
        before = self.agent()
        self.assertEqual((before.status, before.admin, before.weight), (Status.UP, Admin.READY, 100))
        self.client().ask("issue")
        self.executors[0].next_request()
        busy = self.agent(b"agent-send string\n")
        self.assertEqual((busy.status, busy.weight), (Status.UP, 1))
        for path in ("/livez", "/readyz", "/healthz"):
            self.assertEqual((self.get(path).status, self.get(path).text), (200, b"ok\n"))
        verbose = self.get("/readyz?verbose").text.decode().splitlines()
        self.assertEqual(verbose, ["[+]ping ok", "[+]backends ok", "[+]draining ok", "readyz check passed"])
        document = self.get("/healthz", Accept=JSON_CONTENT_TYPE)
        self.assertEqual(json.loads(document.text)["status"], "pass")
        self.assertEqual(document.headers["x-envoy-upstream-healthchecked-cluster"], "n0")
        self.assertTrue(evaluate(Expected(), 200, {"content-type": JSON_CONTENT_TYPE}, document.text).passed)
        self.assertEqual(self.get("/other").status, 404)

    def test_drain_is_reported_at_once_while_the_node_stays_alive(self):
        """Balancers must send no new requests while the node answers its pending ones."""
        self.client().ask()
        self.executors[0].next_request()
        self.terminate()
        self.wait_log("draining")
        self.assertEqual(self.agent().admin, Admin.DRAIN)
        answer = self.get("/readyz")
        self.assertEqual((answer.status, answer.headers[IMMEDIATE_FAIL_HEADER]), (503, "true"))
        self.assertIn(b"[-]draining failed: draining", answer.text)
        self.assertFalse(evaluate(Expected(), 200, {IMMEDIATE_FAIL_HEADER: "true"}, b"").passed)
        self.assertEqual(self.get("/livez").status, 200)

    def test_check_after_a_proxy_header_is_answered(self):
        """Both versions of the header are read in chunks."""
        header = proxy.ProxyHeader(("10.0.0.1", 1234), ("10.0.0.2", 80))
        for start in (
            proxy.compose_v1(header),
            proxy.compose_v2(header),
            proxy.compose_v2(proxy.ProxyHeader()),
        ):
            with socket.create_connection(("127.0.0.1", self.ports["http"]), timeout=WAIT) as sock:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                text = start + b"GET /livez HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                for at in range(0, len(text), 5):
                    sock.sendall(text[at : at + 5])
                self.assertTrue(sock.makefile("rb").read().startswith(b"HTTP/1.1 200 OK"))

    def test_many_idle_or_invalid_checkers_do_not_affect_requests_and_other_checks(self):
        """Their sessions are limited in number and time."""
        address = "127.0.0.1", self.ports["http"]
        connections = [socket.create_connection(address, timeout=WAIT) for _ in range(200)]
        for sock in connections:
            self.addCleanup(sock.close)
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(self.agent().status, Status.UP)
        for sock in connections:  # Reset at the limit, or closed at the deadline.
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(1), b"")
        long = b"GET /livez HTTP/1.1\r\nX: " + b"x" * 9000
        for invalid_bytes in (b"PROXY TCP9 what\r\n", b"\x00\x01\x02\r\n\r\n", long):
            with socket.create_connection(address, timeout=WAIT) as sock:
                sock.sendall(invalid_bytes)
                self.assertTrue(sock.makefile("rb").readline().startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.get("/livez").status, 200)

    def test_grpc_client_checks_lists_and_watches_a_drain(self):
        """An independent client reads statuses, and a watch reports the drain."""
        with grpc.insecure_channel(f"127.0.0.1:{self.ports['grpc']}") as channel:
            stub = health_pb2_grpc.HealthStub(channel)
            request = health_pb2.HealthCheckRequest
            self.assertEqual(stub.Check(request(), timeout=WAIT).status, Serving.SERVING)
            listed = stub.List(health_pb2.HealthListRequest(), timeout=WAIT)
            self.assertEqual(set(listed.statuses), {"", "cedarmill"})
            with self.assertRaises(grpc.RpcError) as caught:
                stub.Check(request(service="other"), timeout=WAIT)
            self.assertEqual(caught.exception.code(), grpc.StatusCode.NOT_FOUND)
            unknown = stub.Watch(request(service="other"), timeout=WAIT)
            self.assertEqual(next(unknown).status, Serving.SERVICE_UNKNOWN)
            watch = stub.Watch(request(service="cedarmill"), timeout=WAIT)
            self.assertEqual(next(watch).status, Serving.SERVING)
            self.client().ask()
            self.executors[0].next_request()
            self.terminate()
            self.assertEqual(next(watch).status, Serving.NOT_SERVING)
            self.assertEqual(stub.Check(request(), timeout=WAIT).status, Serving.NOT_SERVING)
            unknown.cancel()
            watch.cancel()

    def test_invalid_grpc_is_rejected(self):
        """The listener serves the next client after HTTP/1.1, invalid bytes and an invalid call."""
        for invalid_bytes in (b"GET / HTTP/1.1\r\n\r\n", bytes(100)):
            with socket.create_connection(("127.0.0.1", self.ports["grpc"]), timeout=WAIT) as sock:
                sock.sendall(invalid_bytes)
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

    def test_probe_command_reports_health_by_output_and_exit_code(self):
        """Only a healthy answer has exit code 0."""
        for words, code, expected in (
            (("--kind", "agent", "--send", "hello"), 0, ("status: up", "weight: 100%", "\nhealthy")),
            (("--proxy",), 0, ("status: 200", "[+]backends ok", "\nhealthy")),
            (("--path", "/other"), 1, ("status: 404", "why: status 404", "not healthy")),
        ):  # fmt: skip
            port = self.ports["agent" if "agent" in words else "http"]
            result = command("health", "probe", f"127.0.0.1:{port}", *words)
            self.assertEqual(result.returncode, code, result.stdout + result.stderr)
            for text in expected:
                self.assertIn(text, result.stdout)
        unanswered = command("health", "probe", f"127.0.0.1:{self.port}", "--kind", "agent", "--wait", "0.2")
        self.assertEqual((unanswered.returncode, unanswered.stdout[:9]), (1, "no answer"))
        self.assertEqual(command("health", "probe", "nowhere").returncode, 2)


class NoExecutorTest(HealthListenerTest):
    def config(self) -> dict:
        config = super().config()
        config["known"]["endpoints"] = []
        return config

    def test_node_without_executors_is_alive_but_not_ready(self):
        """A restart would not help, but requests would fail."""
        self.assertEqual((self.agent().status, self.agent().reason), (Status.DOWN, "no backend serves"))
        statuses = [self.get(path).status for path in ("/livez", "/readyz", "/healthz")]
        self.assertEqual(statuses, [200, 503, 503])


for _name in [name for name in vars(HealthListenerTest) if name.startswith("test_")]:
    setattr(NoExecutorTest, _name, None)  # These tests need an executor.


if __name__ == "__main__":
    unittest.main()
