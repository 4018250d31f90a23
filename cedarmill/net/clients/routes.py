"""Routes of the client API: readiness, balanced requests and their cancellation."""

import re
import time
from typing import TYPE_CHECKING

from cedarmill.deadlines.sources import ClockSkewExceeded, InvalidDeadline, parse_budget
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients.request import ClientRequest, ClientRequestError

if TYPE_CHECKING:
    from cedarmill.net.clients.server import ClientServer
    from cedarmill.net.clients.session import ClientSession

CALL_ID = re.compile(rb"[!-~]{1,256}")
API_PATH = b"/api"
CALL_PATH_PREFIX = b"/api/calls/"
KEY_MASK = 0xFFFFFFFFFFFFFFFF


def serve(session: "ClientSession", message: ClientRequest) -> None:
    """Answer a client request or dispatch it; raises ClientRequestError if it is rejected."""
    server = session.server
    path = message.target.partition(b"?")[0]
    if path == b"/ready":
        if message.method != b"GET":
            raise ClientRequestError(405, "GET only")
        ready = server.is_ready()
        server.record_valid_request(session)
        session.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
    elif server.options.cancel_calls and message.method == b"DELETE":
        _cancel_call(session, message, path)
    elif path == API_PATH or path.startswith(API_PATH + b"/"):  # The key after the slash is optional.
        if message.method != b"POST":
            raise ClientRequestError(405, "POST only")
        _dispatch(session, message, path)
    else:
        raise ClientRequestError(404, "unknown path")


def _cancel_call(session: "ClientSession", message: ClientRequest, path: bytes) -> None:
    """Handle `DELETE /api/calls/ID`: cancel an open request of the same caller.

    A proxy in front that cannot close the client's connection cancels a request in this way.
    """
    call_id = path.removeprefix(CALL_PATH_PREFIX)
    other = session.server.open_requests.session_of(call_id) if call_id != path else None
    caller = message.headers.get(b"x-caller")
    if (
        other is None
        or other.current_message is None
        or other.current_message.open_id != call_id  # The request is queued.
        or other.current_message.headers.get(b"x-caller") != caller
    ):
        raise ClientRequestError(404, "no such call is open")
    session.server.record_valid_request(session)
    other.cancel_request()
    session.answer(200, b"recalled\n")


def open_queued(session: "ClientSession", message: ClientRequest) -> None:
    """Open a request that has to wait behind others, so that its id is its own, or reject it."""
    call_id = message.headers.get(b"x-call-id", b"")
    if message.fault is not None or not CALL_ID.fullmatch(call_id):
        return  # It is answered with an error at its turn.
    try:
        session.server.open_requests.add(call_id, session, message)
    except ClientRequestError as fault:
        message.fault = fault


def _dispatch(session: "ClientSession", message: ClientRequest, path: bytes) -> None:
    """Validate a request and dispatch it, unless its client has disconnected."""
    server, now = session.server, session.driver.now()
    _check_budget(server, message)
    call_id = message.headers.get(b"x-call-id", b"")
    if not CALL_ID.fullmatch(call_id):
        raise ClientRequestError(400, "bad x-call-id")
    request_class = server.classes.get(message.headers.get(b"x-call-class", b"").decode("latin-1"))
    if request_class is None:
        raise ClientRequestError(400, "unknown x-call-class")
    call_info = message.call_info()
    due = _answer_deadline(server, message, server.deadlines[request_class], now)
    arrival = api.RequestArrived(
        0,
        request_class,
        max(0, due - now),
        call_info.get("slots", 1.0),
        call_info.get("memory", call_info.get("mem", 0.0)),
        message.integer_header(b"x-call-cost") or 0,
        server.tenants.get(message.headers.get(b"x-caller", b"").decode("latin-1"), len(server.tenants)),
        _request_key(path),
        message.headers.get(b"x-again") == b"1",
    )
    # A delayed event loop may read a request long after its client has disconnected.
    has_left = session.client_has_left()
    if has_left:
        session.drop()
        return
    if has_left is None:
        server.record_valid_request(session)
        raise ClientRequestError(503, "refused")
    if message.open_id is None:
        server.open_requests.add(call_id, session, message)
    server.record_valid_request(session)
    session.open_request(now, due, arrival)


def _request_key(path: bytes) -> int:
    """Return the hexadecimal key in the last path segment, or 0 if there is none."""
    try:
        return int(path[len(API_PATH) + 1 :].rpartition(b"/")[2] or b"0", 16) & KEY_MASK
    except ValueError:
        return 0


def _check_budget(server: "ClientServer", message: ClientRequest) -> None:
    """Raise ClientRequestError if X-Budget-Ms is a configured deadline source and holds 0 or no integer."""
    if "x-budget-ms" in server.options.sources and message.integer_header(b"x-budget-ms") == 0:
        raise ClientRequestError(400, "bad x-budget-ms")


def _answer_deadline(server: "ClientServer", message: ClientRequest, max_budget: int, now: int) -> int:
    """Return the time by which the response must be sent: the client's deadline less the node's margin."""
    received_unix_us = time.time_ns() // 1000 - (now - message.earliest_sent_at)
    try:
        budget = parse_budget(message.headers, server.options, max_budget, received_unix_us)
    except InvalidDeadline as error:
        if isinstance(error, ClockSkewExceeded):
            log_event("clock-off", reason=str(error))
        raise ClientRequestError(400, str(error)) from None
    due = message.earliest_sent_at + budget - server.dispatch.deadline_tracker.margins.answer_margin(budget)
    return min(due, server.answer_by) if server.answer_by else due
