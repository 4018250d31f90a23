"""The way of a request through a replica: to its handler at the leader, or on to the leader, and back."""

from typing import TYPE_CHECKING, Any

import msgspec

from cedarmill.cluster.member_requests import MemberRequests
from cedarmill.cluster.messages import (
    ClientReply,
    ClientRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Probe,
    ProbeReply,
    ReadReply,
    ReadRequest,
    SubmitRequest,
    Unavailable,
)
from cedarmill.cluster.operator_requests import OperatorRequests
from cedarmill.cluster.pending_requests import Waiting
from cedarmill.cluster.raft.actions import SendMessage
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.state_views import render

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica


class Reply(msgspec.Struct, frozen=True):
    """An action for the adapter: answer what was asked under that token."""

    token: int
    reply: ClientReply


class RequestRouter:
    """Routes the requests of one replica."""

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self.member_requests = MemberRequests(replica)
        self.operator_requests = OperatorRequests(replica)

    def route(self, now: int, token: int, request: ClientRequest) -> None:
        """Handle a request at the leader, or forward it."""
        if isinstance(request, Probe):
            self.reply(token, ProbeReply(self._replica.name, ""))
        elif not self._replica.raft.leads(now):
            self._forward(now, token, request)
        elif isinstance(request, Heartbeat):
            self.member_requests.on_heartbeat(now, token, request)
        elif isinstance(request, ReadRequest):
            self.read(now, token, request)
        elif isinstance(request, SubmitRequest):
            self.operator_requests.submit(now, token, request)
        else:
            self.operator_requests.change_replicas(now, token, request)

    def _forward(self, now: int, token: int, request: ClientRequest) -> None:
        replica = self._replica
        leader = replica.raft.leader
        if not leader or leader == replica.name or token in replica.pending.origins:
            self.reply(token, Unavailable("no leader is known here"))
            return
        # Send is declared for messages of the log; the adapter passes on whatever stands in it.
        message: Any = ForwardRequest(replica.pending.forward(token, now), request)
        replica.emit(SendMessage(leader, message))

    def reply(self, token: int, reply: ClientReply) -> None:
        """Answer a request, by way of the replica that forwarded it if one did."""
        origin = self._replica.pending.origins.pop(token, None)
        if origin is None:
            self._replica.emit(Reply(token, reply))
            return
        message: Any = ForwardReply(origin.number, reply)
        self._replica.emit(SendMessage(origin.replica, message))

    def read(self, now: int, token: int, request: Heartbeat | ReadRequest) -> None:
        """Answer from the state once it is certain that this replica still leads.

        A heartbeat waits for the next round of the log's own heartbeats, an operator does not.
        """
        own_token = self._replica.pending.new_token()
        self._replica.pending.reads[own_token] = Waiting(token, request)
        self._replica.run_raft(now, ConfirmLeadership(own_token, not isinstance(request, Heartbeat)))

    def answer_read(self, now: int, waiting: Waiting) -> None:
        """It is certain by now."""
        if isinstance(waiting.request, Heartbeat):
            self.reply(waiting.token, self.member_requests.reply_to(now, waiting.request))
        elif isinstance(waiting.request, ReadRequest):
            self.reply(waiting.token, ReadReply(render(self._replica, now, waiting.request)))
