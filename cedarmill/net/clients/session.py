"""Client sessions: HTTP/1.1 from a client, one request at a time, and their final answers."""

import asyncio
import re
import time
from collections import deque
from typing import TYPE_CHECKING

import httptools

from cedarmill.core.requests import Request
from cedarmill.deadlines.sources import ClocksDiffer, InvalidDeadline, granted_budget
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.request import REASONS, ClientRequest, MalformedRequest
from cedarmill.net.loop import callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS, bytes_unread, bytes_wait, peer_closed

if TYPE_CHECKING:
    from cedarmill.net.clients.server import ClientServer

CALL_ID = re.compile(rb"[!-~]{1,256}")


class ClientSession(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: "ClientServer", unread_since: int | None = None) -> None:
        self.clients, self.driver = clients, clients.driver
        # since when its bytes may have waited unread, in the backlog or while reading was paused
        self.unread_since = unread_since
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.message: ClientRequest | None = None  # what arrives now
        self.head_bytes = self.passed_over = 0
        self.proven = False  # whether it has sent a good request
        self.born = self.driver.now()
        self.asked_since = self.born  # from when it may send, unless proven: its birth or its last answer
        self.heard_at = self.born  # its last byte
        self.looked = False  # what waited unread at its deadline was given time
        self.unread_there = self.ends_by = 0  # while it ends: what the client has not read, the last moment
        self.faulty = False  # its input has gone wrong: nothing more is read from it
        self.waiting: deque[ClientRequest] = deque()
        self.answering: ClientRequest | None = None
        self.request: Request | None = None
        self.call_id = b""  # of the request that is open
        self.ending = self.clogged = self.paused = False
        self.half_closed = False  # it sends no more, but still reads
        self.deadline = self.look = None
        self.until = 0  # of the deadline

    @callback
    def connection_made(self, transport) -> None:
        self.transport = transport
        self.clients.came(self)
        self._await(self.born + limits.FIRST_US)

    @callback
    def connection_lost(self, error) -> None:
        self.driver.timers.cancel(self.deadline)
        self.driver.timers.cancel(self.look)
        self.clients.left(self)
        self.parser = self.message = None  # cycles with the parser would keep bodies till a full collection
        self._gone()

    def _gone(self) -> None:
        """The client has left: nothing is owed to it, and nothing more starts for it."""
        self.ending = True
        self.waiting.clear()
        if self.request is not None:
            request = self._release()
            self.clients.dispatch.withdraw(self.driver.now(), request)

    @callback
    def eof_received(self) -> bool:
        """The client sends no more: it has gone, unless the settings say that it may still read.

        False: the loop closes the transport once all that was written has left. Who does not read may keep
        it from leaving, so what the client's going ends is ended here.
        """
        if self.clients.options.half_close == "leaves" or not (self.answering or self.waiting):
            self._gone()
            self._await(self.driver.now() + limits.LINGER_US)
            return False
        self.half_closed = True
        return True

    def pause_writing(self) -> None:
        """It does not read its answers: it gets no more until it does."""
        self.clogged = True

    @callback
    def resume_writing(self) -> None:
        self.clogged = False
        self._next()
        if self.idle and self.proven:
            self.clients.rested(self)

    def abort(self) -> None:
        """One of this session's callbacks raised (`callback` asks for it): what was read gets its error."""
        if self.ending or self.transport is None:
            self.drop()
            return
        try:
            self.answer_all(500, 500)
        except Exception:
            log_event("defect", True, what="the end of a session")
            self.drop()

    def drop(self) -> None:
        """End the connection at once; what is not written stays so, what is open is withdrawn."""
        self._gone()
        if self.transport is None:
            return
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:
            self._await(self.driver.now() + limits.ABORT_AGAIN_US)

    def answer_all(self, in_flight: int, unsent: int) -> None:
        """Answer all that is owed now, in order, and end; nothing more is forwarded.

        The statuses are for the request that may have been forwarded, and for those that were not, half a
        one included.
        """
        if self.ending:
            return
        if self.request is not None:
            self.clients.dispatch.withdraw(self.driver.now(), self._release())
        if self.message is not None:
            self.waiting.append(self.message)
        self.message, self.faulty = None, True
        last = self.waiting[-1] if self.waiting else self.answering
        if last is not None:
            last.keep_alive = False
        status = in_flight
        while not self.ending and (self.answering is not None or self.waiting):
            if self.answering is None:
                self.answering, status = self.waiting.popleft(), unsent
            self._write(status, REASONS[status].lower().encode() + b"\n")
        if not self.ending:
            self.close()

    def answer_before_kill(self) -> None:
        """The process may be killed soon."""
        forwarded = self.request is not None and any(attempt.written for attempt in self.request.attempts)
        self.answer_all(502 if forwarded else 503, 503)

    def give_way(self, now: int, grace: int) -> bool:
        """Make room for another session, where nothing whole is lost by it; whether this one goes.

        A client in the middle of a request goes if it sent nothing during `grace`, and gets its error.
        """
        if self.ending:
            if self.until > now + limits.ROOM_ERROR_LINGER_US:
                self._await(now + limits.ROOM_ERROR_LINGER_US)
            return True
        if self.answering is not None or self.waiting or self.unread():
            return False
        if self.message is None:
            self.drop()
            return True
        if self.heard_at > now - grace:
            return False
        self._too_late()
        self._await(now + limits.ROOM_ERROR_LINGER_US)
        return True

    @property
    def idle(self) -> bool:
        """Whether nothing is owed, and no request has begun to arrive."""
        owes = self.answering is not None or self.waiting
        return not owes and self.message is None and not self.ending

    def unread(self) -> bool:
        """Whether bytes wait at the socket: a loop that was held up runs its timers before it reads them."""
        return bytes_wait(self.transport)

    def close(self, linger: int = limits.LINGER_US) -> None:
        """End it when all that was written has left and the client has closed, or soon: a slow reader has
        `SLOW_US`, as long as it gets on.

        The sending side ends first, and what still comes is read and dropped: a close over bytes that were
        not read resets the connection, and takes the last answer with it.
        """
        self.ending = True
        if self.transport.is_closing():  # the client was first
            return
        self._pause(False)
        now = self.driver.now()
        self.unread_there, self.ends_by = bytes_unread(self.transport), now + limits.SLOW_US
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.transport.close()  # what was written still leaves
        self._await(now + linger)

    @callback
    def data_received(self, data: bytes) -> None:
        self.heard_at = self.driver.now()
        self._parse(data)
        if self.unread_since is not None and not self.paused and not self.unread():
            self.unread_since = None  # from now on bytes are read as they come

    def _parse(self, data: bytes) -> None:
        if self.ending or self.faulty:
            self.passed_over += len(data)
            self._pause(self.passed_over > limits.MAX_UNREAD)
            return
        try:
            self.parser.feed_data(data)
            if self.message is not None and not self.message.method:
                self.head_bytes += len(data)  # a header is told only when it is whole
                if self.head_bytes > limits.MAX_HEAD:
                    raise MalformedRequest(431, "the head is too large")
        except httptools.HttpParserUpgrade:  # the message is whole, what follows it is not read
            self.faulty = True
            self.waiting[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            self._reject(error.__context__)
        except httptools.HttpParserError:
            self._reject(MalformedRequest(400, "malformed HTTP"))
        except MalformedRequest as fault:
            self._reject(fault)
        self._next()

    def _reject(self, fault: BaseException | None) -> None:
        """The answer that ends the session, after those that are still owed."""
        if not isinstance(fault, MalformedRequest):
            log_event("defect", fault, what="callback on a message")
            fault = MalformedRequest(500, "internal error")
        message, self.message = self.message or ClientRequest(self.driver.now()), None
        message.body = bytearray()  # not kept for a client that may linger, nor in the error's frames
        fault.__traceback__ = None
        message.fault, message.keep_alive, self.faulty = fault, False, True
        self.waiting.append(message)

    # httptools calls these.

    def on_message_begin(self) -> None:
        if (
            len(self.waiting) >= limits.MAX_PIPELINED
            or sum(len(ahead.body) for ahead in self.waiting) > limits.MAX_BODY
        ):
            raise MalformedRequest(400, "too many requests at once")
        self.message, self.head_bytes = ClientRequest(self.driver.now(), self.unread_since), 0
        self.clients.stirred(self)

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > limits.MAX_HEAD:
            raise MalformedRequest(431, "the head is too large")
        name, message = name.lower(), self.message
        if not message.head:
            return  # a trailer changes nothing
        if name in self.clients.once and name in message.headers:
            raise MalformedRequest(400, f"{name.decode()} comes twice")
        message.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        message = self.message
        message.method, message.head = self.parser.get_method(), False
        length = message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.MAX_BODY:
            raise MalformedRequest(413, "the body is over 64 KiB")
        body = length != b"0" or b"transfer-encoding" in message.headers
        if body and self.parser.should_upgrade():  # the parser would stop before it
            raise MalformedRequest(400, "an offer to upgrade takes no body")
        if message.headers.get(b"expect", b"").lower() == b"100-continue" and self.answering is None:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.message.body += data
        if len(self.message.body) > limits.MAX_BODY:
            raise MalformedRequest(413, "the body is over 64 KiB")

    def on_message_complete(self) -> None:
        message, self.message = self.message, None
        message.keep_alive = self.parser.should_keep_alive()
        self.waiting.append(message)

    # One message after the other.

    def _await(self, until: int) -> None:
        """End the session unless it gets on by then."""
        self.driver.timers.cancel(self.deadline)
        self.until = until
        self.deadline = self.driver.timers.add(until, self._late)

    def _pause(self, pause: bool) -> None:
        if pause == self.paused or self.transport.is_closing():
            return
        try:
            if pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        except TRANSPORT_ERRORS:
            if not pause:
                self._reads_no_more()
            return  # not paused: what comes is bounded by `MAX_PIPELINED`, and it is tried again
        self.paused = pause
        if pause:
            self.unread_since = self.unread_since or self.driver.now()
            self._look_later()

    def _reads_no_more(self) -> None:
        """Reading cannot be resumed: as if the client sent no more, what was read gets its answer."""
        self.half_closed = True
        self._look_later()
        if self.answering is None and not self.waiting and not self.ending:
            self.close()

    def _look_later(self) -> None:
        """Nothing is read for now, not even the client's end: look for it."""
        self.driver.timers.cancel(self.look)
        self.look = self.driver.timers.add(self.driver.now() + limits.HANGUP_US, self._look)

    def _look(self, now: int) -> None:
        if (self.paused or self.half_closed) and not self._end_if_left():
            self._look_later()

    def _end_if_left(self) -> bool:
        """Whether the client has gone, though that is not read yet; then the session ends."""
        left = self._left() is True
        if left:
            self.drop()
        return left

    def _left(self) -> bool | None:
        """Whether the client has gone, as the system knows it; None: it does not say."""
        if self.transport.is_closing():
            return True
        return peer_closed(self.transport, half_counts=self.clients.options.half_close == "leaves")

    def present(self) -> bool:
        """Whether the client is still there, as the system knows it; one that has left is withdrawn here."""
        return not self._end_if_left()

    def _late(self, now: int) -> None:
        if self.ending:
            self._late_to_close(now)
        elif not self.looked and self.unread():
            self.looked = True
            self._await(now + limits.UNREAD_US)
        elif self.message is not None and not self.faulty:
            self._too_late()
        else:
            self.close()

    def _late_to_close(self, now: int) -> None:
        """Its time to close is over; a client that still reads its last answer gets on a while."""
        before, self.unread_there = self.unread_there, bytes_unread(self.transport)
        gets_on = self.unread_there < before and now < self.ends_by
        if gets_on and self.transport.get_write_buffer_size():  # what the system holds leaves by itself
            self._await(now + limits.LINGER_US)
        else:
            self.drop()

    def _too_late(self) -> None:
        self._reject(MalformedRequest(408, "the request did not arrive in time"))
        self._next()

    def _whole_by(self) -> int:
        """When the request that arrives now has to be whole."""
        return self.message.began_at + limits.SLOW_US if self.proven else self.asked_since + limits.FIRST_US

    def _rest(self) -> None:
        """Wait for what the client sends next."""
        now = self.driver.now()
        self.looked = self.looked and self.message is not None and now >= self._whole_by()
        if self.message is not None:
            self._await(min(self._whole_by(), self.heard_at + limits.STOPPED_US))
        elif self.proven:
            if self.idle and not self.clogged:
                self.clients.rested(self)
            self._await(now + limits.IDLE_US)
        else:
            self._await(now + limits.FIRST_US)

    def _next(self) -> None:
        while self.answering is None and self.waiting and not self.ending and not self.clogged:
            if self.paused and self._end_if_left():
                return
            self.driver.timers.cancel(self.deadline)
            self.answering = message = self.waiting.popleft()
            if message.fault is not None:
                self._write(message.fault.status, str(message.fault).encode() + b"\n")
                continue
            try:
                self._serve(message)
            except MalformedRequest as fault:
                self._write(fault.status, str(fault).encode() + b"\n")
            except Exception:
                log_event("defect", True, what="callback on a request")
                self._release()
                self._write(500, b"internal error\n")
        if self.answering is None and not self.ending and self.message is not None:
            self._rest()
        if not self.ending:
            self._pause(bool(self.waiting))  # a client that sends ahead is read no further for now

    def _serve(self, message: ClientRequest) -> None:
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise MalformedRequest(405, "GET only")
            ready = self.clients.ready()
            self.clients.prove(self)
            self._write(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        elif self.clients.options.cancel_calls and message.method == b"DELETE":
            self._recall(message, path)
        elif path == b"/api" or path.startswith(b"/api/"):  # without a key the path ends there
            if message.method != b"POST":
                raise MalformedRequest(405, "POST only")
            self._take(message, path)
        else:
            raise MalformedRequest(404, "unknown path")

    def _checked(self, message: ClientRequest) -> None:
        """The platform's header must hold a budget, where it is read at all."""
        if "x-budget-ms" in self.clients.options.sources and message.number(b"x-budget-ms") == 0:
            raise MalformedRequest(400, "bad x-budget-ms")

    def _due(self, message: ClientRequest, longest: int) -> int:
        """When the answer has to leave: the client's deadline, less this node's margin."""
        clients = self.clients
        unix = time.time_ns() // 1000 - (self.driver.now() - message.sent_at)
        try:
            budget = granted_budget(message.headers, clients.options, longest, unix)
        except InvalidDeadline as error:
            if isinstance(error, ClocksDiffer):
                log_event("clock-off", reason=str(error))
            raise MalformedRequest(400, str(error)) from None
        due = message.sent_at + budget - clients.dispatch.deadline_tracker.margins.for_answer(budget)
        return min(due, clients.answer_by) if clients.answer_by else due

    def _recall(self, message: ClientRequest, path: bytes) -> None:
        """`DELETE /api/calls/ID`, from a front that cannot close: the client of that call has left."""
        call_id = path.removeprefix(b"/api/calls/")
        session = self.clients.open_ids.get(call_id) if call_id != path else None
        caller = message.headers.get(b"x-caller")
        if session is None or session.answering.headers.get(b"x-caller") != caller:
            raise MalformedRequest(404, "no such call is open")
        self.clients.prove(self)
        session.recalled()
        self._write(200, b"recalled\n")

    def recalled(self) -> None:
        """Its client has left by word: nothing starts for the request, and the session goes on."""
        if self.request is not None:
            self.clients.dispatch.withdraw(self.driver.now(), self._release())
            self._final(502, b"recalled by its client\n")

    def _take(self, message: ClientRequest, path: bytes) -> None:
        clients, now = self.clients, self.driver.now()
        self._checked(message)
        call_id = message.headers.get(b"x-call-id", b"")
        if not CALL_ID.fullmatch(call_id):
            raise MalformedRequest(400, "bad x-call-id")
        if call_id in clients.open_ids:
            raise MalformedRequest(409, "a req with this x-call-id is open")
        name = message.headers.get(b"x-call-class", b"").decode("latin-1")
        if name not in clients.classes:
            raise MalformedRequest(400, "unknown x-call-class")
        tenant = message.headers.get(b"x-caller", b"").decode("latin-1")
        figures = message.figures()
        try:
            key = int(path[len(b"/api/") :].rpartition(b"/")[2] or b"0", 16) & 0xFFFFFFFFFFFFFFFF
        except ValueError:
            key = 0
        due = self._due(message, clients.deadlines[clients.classes[name]])
        job = api.RequestArrived(
            0,
            clients.classes[name],
            max(0, due - now),
            figures.get("slots", 1.0),
            figures.get("memory", figures.get("mem", 0.0)),
            message.number(b"x-call-cost") or 0,
            clients.tenants.get(tenant, len(clients.tenants)),
            key,
            message.headers.get(b"x-again") == b"1",
        )
        clients.prove(self)
        left = self._left()  # a loop that was held up may read a request long after its client closed
        if left:
            self.drop()
            return
        if left is None:
            raise MalformedRequest(503, "refused")
        clients.open_ids[call_id] = self
        self.call_id = call_id
        request = clients.dispatch.arrive(now, self, message, due, job)
        if not request.answered:
            self.request = request

    def _release(self) -> Request | None:
        """The request is no longer open."""
        request, self.request = self.request, None
        if self.clients.open_ids.get(self.call_id) is self:
            del self.clients.open_ids[self.call_id]
        return request

    # The final answers, as the core gives them.

    def served(self, result: bytes) -> None:
        self._final(200, result)

    def refused(self, retry_after_us: int) -> None:
        """The synthetic answer of a refusal."""
        advice = b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""
        self._final(503, b"refused\n", advice)

    def failed(self) -> None:
        self._final(502, b"failed\n")

    def _final(self, status: int, body: bytes, more: bytes = b"") -> None:
        self._release()
        self._write(status, body, more)
        if self.waiting:
            self._next()

    def _write(self, status: int, body: bytes, more: bytes = b"") -> None:
        message, self.answering = self.answering, None
        if self.ending:
            return
        clients = self.clients
        away = clients.closing or clients.sending_away
        more_owed = self.waiting or self.message is not None  # what is read has its answer before the end
        last = not message.keep_alive or (away and not more_owed) or (self.half_closed and not self.waiting)
        if last:
            more += b"Connection: close\r\n"
        if status == 405:
            more += b"Allow: GET\r\n" if message.target.startswith(b"/ready") else b"Allow: POST\r\n"
        head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n"
        text = head % (status, REASONS[status].encode(), len(body), more)
        if not self._send(text if message.method == b"HEAD" else text + body):
            return
        if last or message.fault is not None:
            self.close()
        else:
            self.asked_since = self.driver.now()
            self._rest()

    def _send(self, text: bytes) -> bool:
        """Whether it could be written: a connection that has just broken ends here, at once."""
        try:
            self.transport.write(text)
        except TRANSPORT_ERRORS:
            self.drop()
            return False
        return True
