"""Routes a replica's requests to its own handlers if it leads, or else to the leader, and routes replies."""

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
from cedarmill.cluster.pending_requests import WaitingRequest
from cedarmill.cluster.raft.actions import SendMessage
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.state_views import render

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica


class Reply(msgspec.Struct, frozen=True):
    """An action for the adapter: send the reply to the request that has the token."""

    token: int
    reply: ClientReply


class RequestRouter:
    """Routes the requests and replies of one replica."""

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica
        self.member_requests = MemberRequests(replica)
        self.operator_requests = OperatorRequests(replica)

    def route(self, now: int, token: int, request: ClientRequest) -> None:
        """Handle a request if this replica is the leader, or else forward it to the leader."""
        if isinstance(request, Probe):
            self.reply(token, ProbeReply(self._replica.name, ""))
        elif not self._replica.raft.is_leading(now):
            self._forward(now, token, request)
        elif isinstance(request, Heartbeat):
            self.member_requests.on_heartbeat(now, token, request)
        elif isinstance(request, ReadRequest):
            self.reply_when_confirmed(now, token, request)
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
        # `SendMessage` is typed for Raft messages only; the adapter sends any message.
        message: Any = ForwardRequest(replica.pending.forward(token, now), request)
        replica.emit(SendMessage(leader, message))

    def reply(self, token: int, reply: ClientReply) -> None:
        """Send the reply to the client, or to the replica that forwarded the request."""
        origin = self._replica.pending.origins.pop(token, None)
        if origin is None:
            self._replica.emit(Reply(token, reply))
            return
        message: Any = ForwardReply(origin.number, reply)
        self._replica.emit(SendMessage(origin.replica, message))

    def reply_when_confirmed(self, now: int, token: int, request: Heartbeat | ReadRequest) -> None:
        """Reply from the state after this replica's leadership is confirmed.

        A heartbeat waits for the next regular round of Raft heartbeats; an operator's read starts a round.
        """
        own_token = self._replica.pending.new_token()
        self._replica.pending.reads[own_token] = WaitingRequest(token, request)
        self._replica.run_raft(now, ConfirmLeadership(own_token, not isinstance(request, Heartbeat)))

    def reply_to_read(self, now: int, waiting: WaitingRequest) -> None:
        """Reply to a read or a heartbeat after the confirmation of this replica's leadership."""
        if isinstance(waiting.request, Heartbeat):
            self.reply(waiting.token, self.member_requests.reply_to(now, waiting.request))
        elif isinstance(waiting.request, ReadRequest):
            self.reply(waiting.token, ReadReply(render(self._replica, now, waiting.request)))
