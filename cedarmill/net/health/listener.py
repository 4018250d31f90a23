"""Listeners that answer health checks of this node by agent-check and HTTP."""

from collections.abc import Callable
from typing import Any, TypeVar

import httptools

from cedarmill.core.executor_usage import free_share
from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.http import Answer, Check, compose
from cedarmill.net.bounded_sessions import BoundedListener, BoundedSession, ListenerLimits, OverflowPolicy
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.loop import EventLoopDriver, guarded_callback

MAX_SESSIONS = 32  # On each listener; further connections are closed.
ACCEPT_BATCH = 4
BACKLOG = 100
SESSION_TIMEOUT_US = 3_000_000  # For the first request and its answer.
LIMITS = ListenerLimits(MAX_SESSIONS, ACCEPT_BATCH, BACKLOG, OverflowPolicy.NEWEST, SESSION_TIMEOUT_US)
IDLE_TIMEOUT_US = 60_000_000  # Between two checks on one connection.
MAX_REQUEST_BYTES = 8 * 1024
HEALTH_PATHS = ("/livez", "/readyz", "/healthz")
BAD_REQUEST_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NOT_FOUND_ANSWER = Answer(404, "text/plain", (), b"no check here\n")
REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
NO_EXECUTOR = "no backend serves"
DRAINING = "draining"


class NodeHealth:
    """Current health of this node, computed for each check so that a drain shows at once."""

    def __init__(self, name: str, clients: ClientServer) -> None:
        self.name, self.clients = name, clients

    def checks(self) -> list[Check]:
        """Return the readiness checks: a usable executor exists, and the node is not draining."""
        has_executor = bool(self.clients.dispatch.ready_executors)
        draining = self.clients.is_draining
        return [
            Check("backends", has_executor, "" if has_executor else NO_EXECUTOR),
            Check("draining", not draining, DRAINING if draining else ""),
        ]

    def agent_reply(self) -> agent.AgentReply:
        """Return the agent-check reply, whose weight is the percentage of free slots."""
        if self.clients.is_draining:
            return agent.AgentReply(admin=agent.Admin.DRAIN, reason=DRAINING)
        if not self.clients.dispatch.ready_executors:
            return agent.AgentReply(agent.Status.DOWN, agent.Admin.READY, reason=NO_EXECUTOR)
        weight = max(1, round(100 * free_share(self.clients.dispatch)))  # 0% would mean a drain.
        return agent.AgentReply(agent.Status.UP, agent.Admin.READY, weight)

    def answer(self, target: str, as_json: bool) -> Answer | None:
        """Return the answer to a path, or None for an unknown path."""
        path, _, query = target.partition("?")
        if path not in HEALTH_PATHS:
            return None
        checks = [Check("ping", True)] + (self.checks() if path != "/livez" else [])
        draining = path != "/livez" and self.clients.is_draining
        return compose(path, checks, "verbose" in query.split("&"), as_json, self.name, fail_at_once=draining)


class HealthSession(BoundedSession):
    """Base class of a checker's connection."""

    def __init__(self, listener: "HealthListener[Any]") -> None:
        super().__init__(listener)
        self.listener = listener

    def wait_for_next_check(self) -> None:
        """Keep the connection open for the next check."""
        self.set_deadline(IDLE_TIMEOUT_US)


class AgentSession(HealthSession):
    """Sends one agent-check reply, without reading a request, and closes."""

    def on_open(self) -> None:
        """Send the reply."""
        self.finish(agent.compose(self.listener.health.agent_reply()))


class HttpSession(HealthSession):
    """Answers HTTP checks on one connection, which may start with a PROXY header."""

    def __init__(self, listener: "HealthListener[Any]") -> None:
        super().__init__(listener)
        self._parser = httptools.HttpRequestParser(self)
        self._proxy_start: bytes | None = b""  # None after a PROXY header or its absence.
        self._target, self._accept, self._received_bytes = b"", b"", 0

    def on_close(self) -> None:
        """Delete the parser to break its reference cycle with the session."""
        del self._parser

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Parse a part of a check; answer an invalid check with status 400."""
        if self.is_finished:
            return
        self._received_bytes += len(data)
        try:
            if self._received_bytes > MAX_REQUEST_BYTES:
                raise ValueError("the check is over 8 KiB")
            if self._proxy_start is not None:
                data = self._strip_proxy_header(self._proxy_start + data)
            if data:
                self._parser.feed_data(data)
        except (ValueError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.finish(BAD_REQUEST_RESPONSE)

    def _strip_proxy_header(self, data: bytes) -> bytes:
        """Return the data after an optional PROXY header, whose addresses are ignored."""
        starts = (b"PROXY ", proxy.SIGNATURE)
        if not any(start.startswith(data[: len(start)]) for start in starts):
            self._proxy_start = None
            return data
        found = proxy.parse(data)
        self._proxy_start = data if found is None else None
        return b"" if found is None else data[found[1] :]

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of the Accept header."""
        if name.lower() == b"accept":
            self._accept = value

    def on_message_complete(self) -> None:
        """Answer the check, and keep the connection open if the client allows it."""
        target, as_json = self._target.decode("latin-1"), b"health+json" in self._accept
        method = self._parser.get_method()
        found = self.listener.health.answer(target, as_json) if method in (b"GET", b"HEAD") else None
        self._target, self._accept, self._received_bytes = b"", b"", 0
        response = _compose(found or NOT_FOUND_ANSWER, head_only=method == b"HEAD")
        if self._parser.should_keep_alive():
            self.wait_for_next_check()
            self.send(response)
        else:
            self.finish(response)


def _compose(answer: Answer, head_only: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {answer.status} {REASON_PHRASES[answer.status]}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Cache-Control: no-store",
        *(f"{name}: {value}" for name, value in answer.headers),
    ]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if head_only else head + answer.body


AnySession = TypeVar("AnySession", bound=HealthSession)


class HealthListener(BoundedListener[AnySession]):
    """Listener for health checks of one protocol."""

    def __init__(
        self,
        driver: EventLoopDriver,
        health: NodeHealth,
        session: Callable[["HealthListener[AnySession]"], AnySession],
    ) -> None:
        super().__init__(driver, "health", LIMITS, lambda: session(self))
        self.health = health

    def on_health_changed(self) -> None:
        """Do nothing; subclasses that report health changes override this method."""
