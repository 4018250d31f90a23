"""Handles operators' requests at the leader: changes of the state and of the set of replicas."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.messages import ChangeReplicas, PermitSummary, SubmitReply, SubmitRequest
from cedarmill.cluster.pending_requests import WaitingRequest
from cedarmill.cluster.raft.events import ChangeMembership, TransferLeadership
from cedarmill.cluster.raft.messages import Peer
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.commands import AnyRequest, ControlRelease, PlanRelease

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica


class OperatorRequests:
    """Handles the operators' requests that one replica receives while it is the leader."""

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica

    def submit(self, now: int, token: int, request: SubmitRequest) -> None:
        """Propose the request; the reply is sent when the request is applied."""
        command = msgspec.structs.replace(request.request, time_us=self._replica.cluster_time(now))
        self._replica.propose(now, command, WaitingRequest(token, request))

    def change_replicas(self, now: int, token: int, request: ChangeReplicas) -> None:
        """Add or remove a replica, or start a transfer of the leadership."""
        if request.action == "lead":
            self._replica.run_raft(now, TransferLeadership(request.name))
            self._replica.router.reply(token, SubmitReply(True, "the lead is being handed over"))
        elif request.action == "remove":
            self._propose_membership_change(now, token, request, None)
        elif request.action == "add" and request.address:
            self._propose_membership_change(now, token, request, Peer(request.address, False, request.disk))
        else:
            text = f"cannot {request.action} {request.name}: add NAME ADDRESS DISK, or remove NAME"
            self._replica.router.reply(token, SubmitReply(False, text))

    def _propose_membership_change(
        self, now: int, token: int, request: ChangeReplicas, peer: Peer | None
    ) -> None:
        own_token = self._replica.pending.new_token()
        self._replica.pending.proposed[own_token] = WaitingRequest(token, request)
        self._replica.run_raft(now, ChangeMembership(request.name, peer, own_token))

    def build_reply(
        self, request: SubmitRequest | ChangeReplicas, outcome: RequestOutcome | None
    ) -> SubmitReply:
        """Return the reply to a request whose log entry is committed."""
        if isinstance(request, SubmitRequest) and outcome is not None:
            return build_submit_reply(self._replica.state, request.request, outcome)
        names = ", ".join(sorted(self._replica.raft.config))
        return SubmitReply(True, f"the keepers are {names}")


def build_submit_reply(state: ClusterState, request: AnyRequest, outcome: RequestOutcome) -> SubmitReply:
    """Return the outcome of a request, with the current state of the permits that the request created."""
    if isinstance(request, PlanRelease | ControlRelease):
        release_id = outcome.created_ids[0] if outcome.created_ids else 0
        return SubmitReply(outcome.ok, outcome.text, [], release_id)
    created_permits = [state.permits[number] for number in outcome.created_ids if number in state.permits]
    summaries = [
        PermitSummary(permit.id, permit.target, permit.state, permit.notes, permit.epoch, permit.drained_at)
        for permit in created_permits
    ]
    return SubmitReply(outcome.ok, outcome.text, summaries)
