"""Listeners on which a node tells balancers of its own health: agent-check and HTTP. Off on the platform."""

from collections.abc import Callable
from typing import Any, TypeVar

import httptools

from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.http import Answer, Check, compose
from cedarmill.net.bounded_sessions import BoundedListener, BoundedSession, ListenerLimits, OverflowPolicy
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.loop import EventLoopDriver, guarded_callback

SESSIONS = 32  # open at once on each listener: a checker that connects by hundreds gets the rest closed
ACCEPTS = 4
BACKLOG = 100
SESSION_US = 3_000_000  # for a session to ask, and to read what it gets
BOUNDS = ListenerLimits(SESSIONS, ACCEPTS, BACKLOG, OverflowPolicy.NEWEST, SESSION_US)
IDLE_US = 60_000_000  # afterwards, between two checks on one connection
MAX_HEAD = 8 * 1024
PATHS = ("/livez", "/readyz", "/healthz")
BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NO_CHECK = Answer(404, "text/plain", (), b"no check here\n")
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
NO_EXECUTOR = "no backend serves"
DRAINING = "draining"


class NodeHealth:
    """What the node says of itself, asked anew each time: a drain shows at once."""

    def __init__(self, name: str, clients: ClientServer) -> None:
        self.name, self.clients = name, clients

    def checks(self) -> list[Check]:
        """Whether requests can be served."""
        serves = bool(self.clients.dispatch.ready_executors)
        draining = self.clients.is_draining
        return [
            Check("backends", serves, "" if serves else NO_EXECUTOR),
            Check("draining", not draining, DRAINING if draining else ""),
        ]

    def reply(self) -> agent.AgentReply:
        """Return the agent's words: its weight follows the room that the balancer believes in."""
        if self.clients.is_draining:
            return agent.AgentReply(admin=agent.Admin.DRAIN, reason=DRAINING)
        if not self.clients.dispatch.ready_executors:
            return agent.AgentReply(agent.Status.DOWN, agent.Admin.READY, reason=NO_EXECUTOR)
        weight = max(1, round(100 * self.clients.dispatch.free_share()))  # 0% would say drain
        return agent.AgentReply(agent.Status.UP, agent.Admin.READY, weight)

    def answer(self, target: str, json: bool) -> Answer | None:
        """The answer to one path, or None for one that is not served here."""
        path, _, query = target.partition("?")
        if path not in PATHS:
            return None
        checks = [Check("ping", True)] + (self.checks() if path != "/livez" else [])
        leaving = path != "/livez" and self.clients.is_draining
        return compose(path, checks, "verbose" in query.split("&"), json, self.name, leaving=leaving)


class HealthSession(BoundedSession):
    """One connection of a checker; bounded in number, size and time."""

    def __init__(self, listener: "HealthListener[Any]") -> None:
        super().__init__(listener)
        self.listener = listener

    def idle(self) -> None:
        """Let it keep its connection for the next time: it has asked something good."""
        self.set_deadline(IDLE_US)


class AgentSession(HealthSession):
    """Says its line at once, whatever `agent-send` may bring, and closes."""

    def on_open(self) -> None:
        """Say the line."""
        self.finish(agent.compose(self.listener.health.reply()))


class HttpSession(HealthSession):
    """One HTTP check after the other, after a PROXY header where one comes."""

    def __init__(self, listener: "HealthListener[Any]") -> None:
        super().__init__(listener)
        self._parser = httptools.HttpRequestParser(self)
        self._start: bytes | None = b""  # till it is known whether a PROXY header comes first
        self._target, self._accept, self._size = b"", b"", 0

    def on_close(self) -> None:
        """Let go of the parser, which refers back."""
        del self._parser

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Read the check; one that cannot be read is answered as bad."""
        if self.is_finished:
            return
        self._size += len(data)
        try:
            if self._size > MAX_HEAD:
                raise ValueError("too much for a check")
            if self._start is not None:
                data = self._after_proxy(self._start + data)
            if data:
                self._parser.feed_data(data)
        except (ValueError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.finish(BAD)

    def _after_proxy(self, data: bytes) -> bytes:
        """What follows a PROXY header; whose connection it is changes nothing here."""
        starts = (b"PROXY ", proxy.SIGNATURE)
        if not any(start.startswith(data[: len(start)]) for start in starts):
            self._start = None
            return data
        found = proxy.parse(data)
        self._start = data if found is None else None
        return b"" if found is None else data[found[1] :]

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take the one header that counts."""
        if name.lower() == b"accept":
            self._accept = value

    def on_message_complete(self) -> None:
        """Answer the check; the connection may stay for the next one."""
        target, json = self._target.decode("latin-1"), b"health+json" in self._accept
        method = self._parser.get_method()
        found = self.listener.health.answer(target, json) if method in (b"GET", b"HEAD") else None
        self._target, self._accept, self._size = b"", b"", 0
        text = _compose(found or NO_CHECK, head_only=method == b"HEAD")
        if self._parser.should_keep_alive():
            self.idle()
            self.send(text)
        else:
            self.finish(text)


def _compose(answer: Answer, head_only: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {answer.status} {REASONS[answer.status]}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        "Cache-Control: no-store",
        *(f"{name}: {value}" for name, value in answer.headers),
    ]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if head_only else head + answer.body


AnySession = TypeVar("AnySession", bound=HealthSession)


class HealthListener(BoundedListener[AnySession]):
    """One listening socket for checkers."""

    def __init__(
        self,
        driver: EventLoopDriver,
        health: NodeHealth,
        session: Callable[["HealthListener[AnySession]"], AnySession],
    ) -> None:
        super().__init__(driver, "health", BOUNDS, lambda: session(self))
        self.health = health

    def on_health_changed(self) -> None:
        """Take note that the node's health may have changed: for listeners whose checkers watch."""
