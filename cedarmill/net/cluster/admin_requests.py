"""Requests at a node's admin API that take something out or put it back: the cluster decides them."""

import functools
from http import HTTPStatus
from typing import Any, NamedTuple

from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.cluster.messages import SubmitReply, SubmitRequest, Unavailable
from cedarmill.cluster.state_machine.commands import RequestPermits, ReturnPermit
from cedarmill.net.admin.server import Answer
from cedarmill.net.cluster.member import Membership

ANSWER_US = 900_000  # for a replica's answer: the page owes one within 1 s
ALREADY_OUT = ("is out already", "waits already")  # in the notes on a permit: two calls out are one


class RequestKey(NamedTuple):
    """What a request is about; called again without an answer, it keeps its id."""

    action: str
    target: str


class AdminRequests:
    """Passes requests on to the cluster, and its outcome back as a response."""

    def __init__(self, membership: Membership, node: str, incarnation: str) -> None:
        self.membership, self.node, self.incarnation = membership, node, incarnation
        self._open: dict[RequestKey, str] = {}  # ids of those without an answer
        self._count = 0

    def submit(self, request: AdminRequest, answer: Answer) -> None:
        """Ask the cluster; the answer comes when it has decided, or within ANSWER_US."""
        kind, target = ("executor", request.executor) if request.executor else ("node", self.node)
        takes_out = request.action in (AdminAction.EXCLUDE, AdminAction.DRAIN_CLIENTS)
        key = RequestKey(request.action.value, target)
        request_id = self._open.setdefault(key, self._new_id())
        asker = f"door:{self.node}"
        command: RequestPermits | ReturnPermit
        if takes_out:
            command = RequestPermits(0, asker, request_id, kind, (target,), "at the door")
        else:
            command = ReturnPermit(0, asker, request_id, kind, target)
        on_answer = functools.partial(self._on_answer, key, takes_out, answer)
        self.membership.ask(SubmitRequest(command), ANSWER_US, on_answer)

    def _new_id(self) -> str:
        self._count += 1
        return f"{self.incarnation}-{self._count}"

    def _on_answer(self, key: RequestKey, takes_out: bool, answer: Answer, reply: Any) -> None:
        if not isinstance(reply, SubmitReply):
            reason = reply.reason if isinstance(reply, Unavailable) else "not understood"
            answer(_response(HTTPStatus.SERVICE_UNAVAILABLE, f"not known: {reason}; call again"))
            return
        self._open.pop(key, None)
        answer(_permit_response(reply) if takes_out else _return_response(reply))


def _return_response(reply: SubmitReply) -> AdminResponse:
    done = reply.ok or "is not out" in reply.text
    return _response(HTTPStatus.OK if done else HTTPStatus.CONFLICT, reply.text)


def _permit_response(reply: SubmitReply) -> AdminResponse:
    state, notes = "refused", [reply.text]
    if summaries := reply.summaries():
        state, notes = summaries[0].state, summaries[0].notes
    text = "; ".join(notes)
    if state == "granted":
        return _response(HTTPStatus.OK, "granted")
    if any(words in note for note in notes for words in ALREADY_OUT):
        return _response(HTTPStatus.OK, text)
    if state == "waiting":
        return _response(HTTPStatus.ACCEPTED, f"waiting: {text}")
    return _response(HTTPStatus.CONFLICT, f"{state}: {text}")


def _response(status: HTTPStatus, text: str) -> AdminResponse:
    return AdminResponse(status, f"{text}\n".encode())
