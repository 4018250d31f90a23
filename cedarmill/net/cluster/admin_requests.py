"""Forwards exclusions, drains and their reversal from a node's admin API to the cluster for a decision."""

import functools
from http import HTTPStatus
from typing import Any, NamedTuple

from cedarmill.admin.routes import AdminAction, AdminRequest, AdminResponse
from cedarmill.cluster.messages import SubmitReply, SubmitRequest, Unavailable
from cedarmill.cluster.state_machine.commands import RequestPermits, ReturnPermit
from cedarmill.net.admin.server import Answer
from cedarmill.net.cluster.member import Membership

# The admin API answers within 1 s.
ANSWER_TIMEOUT_US = 900_000
# A repeated exclusion succeeds: these notes on a permit mean that an earlier request is granted or queued.
ALREADY_OUT_NOTES = ("is out already", "waits already")


class RequestKey(NamedTuple):
    """Identifies equal requests: a request repeated before its answer keeps the id of the first."""

    action: str
    target: str


class AdminRequests:
    """Submits admin requests to the cluster, and turns the replies into HTTP responses."""

    def __init__(self, membership: Membership, node: str, incarnation: str) -> None:
        self.membership, self.node, self.incarnation = membership, node, incarnation
        self._pending_ids: dict[RequestKey, str] = {}  # ids of unanswered requests
        self._id_count = 0

    def submit(self, request: AdminRequest, answer: Answer) -> None:
        """Submit a request to the cluster; `answer` gets the response, after ANSWER_TIMEOUT_US at most."""
        kind, target = ("executor", request.executor) if request.executor else ("node", self.node)
        is_permit_request = request.action in (AdminAction.EXCLUDE, AdminAction.DRAIN_CLIENTS)
        key = RequestKey(request.action.value, target)
        request_id = self._pending_ids.setdefault(key, self._new_id())
        holder = f"door:{self.node}"
        command: RequestPermits | ReturnPermit
        if is_permit_request:
            command = RequestPermits(0, holder, request_id, kind, (target,), "at the door")
        else:
            command = ReturnPermit(0, holder, request_id, kind, target)
        on_answer = functools.partial(self._on_answer, key, is_permit_request, answer)
        self.membership.ask(SubmitRequest(command), ANSWER_TIMEOUT_US, on_answer)

    def _new_id(self) -> str:
        self._id_count += 1
        return f"{self.incarnation}-{self._id_count}"

    def _on_answer(self, key: RequestKey, is_permit_request: bool, answer: Answer, reply: Any) -> None:
        if not isinstance(reply, SubmitReply):
            reason = reply.reason if isinstance(reply, Unavailable) else "not understood"
            answer(_response(HTTPStatus.SERVICE_UNAVAILABLE, f"not known: {reason}; call again"))
            return
        self._pending_ids.pop(key, None)
        answer(_permit_response(reply) if is_permit_request else _return_response(reply))


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
    if any(phrase in note for note in notes for phrase in ALREADY_OUT_NOTES):
        return _response(HTTPStatus.OK, text)
    if state == "waiting":
        return _response(HTTPStatus.ACCEPTED, f"waiting: {text}")
    return _response(HTTPStatus.CONFLICT, f"{state}: {text}")


def _response(status: HTTPStatus, text: str) -> AdminResponse:
    return AdminResponse(status, f"{text}\n".encode())
