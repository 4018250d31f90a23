"""What a client may ask: readiness, a request to be balanced, and to take such a request back."""

import re
import time
from typing import TYPE_CHECKING

from cedarmill.deadlines.sources import ClocksDiffer, InvalidDeadline, granted_budget
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients.request import ClientRequest, MalformedRequest

if TYPE_CHECKING:
    from cedarmill.net.clients.server import ClientServer
    from cedarmill.net.clients.session import ClientSession

CALL_ID = re.compile(rb"[!-~]{1,256}")
API = b"/api"
OPEN_CALL = b"/api/calls/"
KEY_MASK = 0xFFFFFFFFFFFFFFFF


def serve(session: "ClientSession", message: ClientRequest) -> None:
    """Answer a request of a client, or hand it to the dispatch; raises MalformedRequest."""
    clients = session.clients
    path = message.target.partition(b"?")[0]
    if path == b"/ready":
        if message.method != b"GET":
            raise MalformedRequest(405, "GET only")
        ready = clients.ready()
        clients.prove(session)
        session.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
    elif clients.options.cancel_calls and message.method == b"DELETE":
        _recall(session, message, path)
    elif path == API or path.startswith(API + b"/"):  # without a key the path ends there
        if message.method != b"POST":
            raise MalformedRequest(405, "POST only")
        _dispatch(session, message, path)
    else:
        raise MalformedRequest(404, "unknown path")


def _recall(session: "ClientSession", message: ClientRequest, path: bytes) -> None:
    """`DELETE /api/calls/ID`, from a front that cannot close: the client of that call has left."""
    call_id = path.removeprefix(OPEN_CALL)
    other = session.clients.open_ids.get(call_id) if call_id != path else None
    caller = message.headers.get(b"x-caller")
    if other is None or other.answering is None or other.answering.headers.get(b"x-caller") != caller:
        raise MalformedRequest(404, "no such call is open")
    session.clients.prove(session)
    other.recalled()
    session.answer(200, b"recalled\n")


def _dispatch(session: "ClientSession", message: ClientRequest, path: bytes) -> None:
    """Hand a request to the dispatch, unless its client has left meanwhile."""
    clients, now = session.clients, session.driver.now()
    _check_budget(clients, message)
    call_id = message.headers.get(b"x-call-id", b"")
    if not CALL_ID.fullmatch(call_id):
        raise MalformedRequest(400, "bad x-call-id")
    if call_id in clients.open_ids:
        raise MalformedRequest(409, "a req with this x-call-id is open")
    request_class = clients.classes.get(message.headers.get(b"x-call-class", b"").decode("latin-1"))
    if request_class is None:
        raise MalformedRequest(400, "unknown x-call-class")
    figures = message.figures()
    due = _due(clients, message, clients.deadlines[request_class], now)
    arrival = api.RequestArrived(
        0,
        request_class,
        max(0, due - now),
        figures.get("slots", 1.0),
        figures.get("memory", figures.get("mem", 0.0)),
        message.number(b"x-call-cost") or 0,
        clients.tenants.get(message.headers.get(b"x-caller", b"").decode("latin-1"), len(clients.tenants)),
        _key(path),
        message.headers.get(b"x-again") == b"1",
    )
    clients.prove(session)
    left = session.client_left()  # a loop that was held up may read a request long after its client closed
    if left:
        session.drop()
        return
    if left is None:
        raise MalformedRequest(503, "refused")
    session.open_request(now, call_id, due, arrival)


def _key(path: bytes) -> int:
    """Return what the request is about, the last part of the path; 0 where that is no number."""
    try:
        return int(path[len(API) + 1 :].rpartition(b"/")[2] or b"0", 16) & KEY_MASK
    except ValueError:
        return 0


def _check_budget(clients: "ClientServer", message: ClientRequest) -> None:
    """Check that the platform's header holds a budget, where it is read at all."""
    if "x-budget-ms" in clients.options.sources and message.number(b"x-budget-ms") == 0:
        raise MalformedRequest(400, "bad x-budget-ms")


def _due(clients: "ClientServer", message: ClientRequest, longest: int, now: int) -> int:
    """Return when the answer has to leave (us): the client's deadline, less this node's margin."""
    unix = time.time_ns() // 1000 - (now - message.sent_at)
    try:
        budget = granted_budget(message.headers, clients.options, longest, unix)
    except InvalidDeadline as error:
        if isinstance(error, ClocksDiffer):
            log_event("clock-off", reason=str(error))
        raise MalformedRequest(400, str(error)) from None
    due = message.sent_at + budget - clients.dispatch.deadline_tracker.margins.for_answer(budget)
    return min(due, clients.answer_by) if clients.answer_by else due
