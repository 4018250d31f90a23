"""Listeners on which a node tells balancers of its own health: agent-check and HTTP. Off on the platform."""

import asyncio

import httptools

from cedarmill.health.codecs import agent, proxy
from cedarmill.health.codecs.http import Answer, Check, compose
from cedarmill.net.clients.server import ClientServer
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, callback

SESSIONS = 32  # open at once on each listener: a checker that connects by hundreds gets the rest closed
ACCEPTS = 4  # in one turn: so many descriptors more are held for a moment
BACKLOG = 100
SESSION_US = 3_000_000  # for a session to ask, and to read what it gets
IDLE_US = 60_000_000  # afterwards, between two checks on one connection
MAX_HEAD = 8 * 1024
PATHS = ("/livez", "/readyz", "/healthz")
BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NO_BACKEND = "no backend serves"
DRAINING = "draining"


class NodeHealth:
    """What the node says of itself, asked anew each time: a drain shows at once."""

    def __init__(self, name: str, clients: ClientServer) -> None:
        self.name, self.clients = name, clients

    def checks(self) -> list[Check]:
        """Whether requests can be served."""
        serves = bool(self.clients.dispatch.ready_executors)
        draining = self.clients.draining
        return [
            Check("backends", serves, "" if serves else NO_BACKEND),
            Check("draining", not draining, DRAINING if draining else ""),
        ]

    def reply(self) -> agent.AgentReply:
        """The agent's words: its weight follows the room that the module believes in."""
        if self.clients.draining:
            return agent.AgentReply(admin=agent.Admin.DRAIN, reason=DRAINING)
        if not self.clients.dispatch.ready_executors:
            return agent.AgentReply(agent.Status.DOWN, agent.Admin.READY, reason=NO_BACKEND)
        weight = max(1, round(100 * self.clients.dispatch.free_share()))  # 0% would say drain
        return agent.AgentReply(agent.Status.UP, agent.Admin.READY, weight)

    def answer(self, target: str, json: bool) -> Answer | None:
        """The answer to one path, or None for one that is not served here."""
        path, _, query = target.partition("?")
        if path not in PATHS:
            return None
        checks = [Check("ping", True)] + (self.checks() if path != "/livez" else [])
        leaving = path != "/livez" and self.clients.draining
        return compose(path, checks, "verbose" in query.split("&"), json, self.name, leaving=leaving)


class Session(asyncio.Protocol):
    """One connection of a checker; bounded in number, size and time."""

    def __init__(self, listener: "Listener") -> None:
        self.listener, self.driver = listener, listener.driver
        self.transport: asyncio.Transport | None = None
        self.deadline = None
        self.over = False  # all has been said: what still comes is not read

    @callback
    def connection_made(self, transport) -> None:
        self.transport = transport
        if len(self.listener.sessions) >= SESSIONS:
            transport.abort()
            return
        self.listener.sessions.add(self)
        self.deadline = self.driver.timers.add(self.driver.now() + SESSION_US, lambda now: self.abort())
        self.opened()

    def opened(self) -> None:
        """The checker has connected."""

    @callback
    def connection_lost(self, error) -> None:
        self.driver.timers.cancel(self.deadline)
        self.listener.sessions.discard(self)
        self.parser = None

    def rest(self) -> None:
        """It has asked something good: it may keep its connection for the next time."""
        self.driver.timers.cancel(self.deadline)
        self.deadline = self.driver.timers.add(self.driver.now() + IDLE_US, lambda now: self.abort())

    def finish(self, text: bytes) -> None:
        """Say the last, and let the checker close: closed here, unread input would reset it away."""
        self.over = True
        self.transport.write(text)
        self.transport.write_eof()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class AgentSession(Session):
    """Says its line at once, whatever `agent-send` may bring, and closes."""

    def opened(self) -> None:
        self.finish(agent.compose(self.listener.told.reply()))


class HttpSession(Session):
    """One HTTP check after the other, after a PROXY header where one comes."""

    def __init__(self, listener: "Listener") -> None:
        super().__init__(listener)
        self.parser = httptools.HttpRequestParser(self)
        self.start: bytes | None = b""  # till it is known whether a PROXY header comes first
        self.target, self.accept, self.size = b"", b"", 0

    @callback
    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.size += len(data)
        try:
            if self.size > MAX_HEAD:
                raise ValueError("too much for a check")
            if self.start is not None:
                data = self._after_proxy(self.start + data)
            if data:
                self.parser.feed_data(data)
        except (ValueError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.finish(BAD)

    def _after_proxy(self, data: bytes) -> bytes:
        """What follows a PROXY header; whose connection it is changes nothing here."""
        starts = (b"PROXY ", proxy.SIGNATURE)
        if not any(start.startswith(data[: len(start)]) for start in starts):
            self.start = None
            return data
        found = proxy.parse(data)
        self.start = data if found is None else None
        return b"" if found is None else data[found[1] :]

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"accept":
            self.accept = value

    def on_message_complete(self) -> None:
        target, json = self.target.decode("latin-1"), b"health+json" in self.accept
        asks = self.parser.get_method() in (b"GET", b"HEAD")
        found = self.listener.told.answer(target, json) if asks else None
        self.target, self.accept, self.size = b"", b"", 0
        answer = found or Answer(404, "text/plain", (), b"no check here\n")
        reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}[answer.status]
        lines = [
            f"HTTP/1.1 {answer.status} {reason}",
            f"Content-Type: {answer.content_type}",
            f"Content-Length: {len(answer.body)}",
            "Cache-Control: no-store",
            *(f"{name}: {value}" for name, value in answer.headers),
        ]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        text = head + (b"" if self.parser.get_method() == b"HEAD" else answer.body)
        if self.parser.should_keep_alive():
            self.transport.write(text)
            self.rest()
        else:
            self.finish(text)


class Listener:
    """One listening socket for checkers."""

    def __init__(self, driver: EventLoopDriver, told: NodeHealth, kind: type[Session]) -> None:
        self.driver, self.told, self.kind = driver, told, kind
        self.sessions: set[Session] = set()
        self.port = 0
        self._acceptor: Acceptor | None = None

    def changed(self) -> None:
        """The node's health may have changed: for listeners whose checkers watch."""

    def listen(self, address: Address) -> None:
        """Bind and accept; raises OSError."""
        self._acceptor = Acceptor(
            self.driver,
            listening_socket(address, BACKLOG),
            lambda: self.kind(self),
            listener="health",
            batch=ACCEPTS,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()
