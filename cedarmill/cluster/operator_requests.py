"""Requests of operators at the leader: changes of the state, and changes of the replicas themselves."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.messages import ChangeReplicas, PermitSummary, SubmitReply, SubmitRequest
from cedarmill.cluster.pending_requests import Waiting
from cedarmill.cluster.raft.events import ChangeMembership, TransferLeadership
from cedarmill.cluster.raft.messages import Peer
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.commands import AnyRequest, ControlRelease, PlanRelease

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica


class OperatorRequests:
    """Handles them for one replica, while it leads."""

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica

    def submit(self, now: int, token: int, request: SubmitRequest) -> None:
        """Propose the request; the reply follows once it is applied."""
        command = msgspec.structs.replace(request.request, time_us=self._replica.cluster_time(now))
        self._replica.propose(now, command, Waiting(token, request))

    def change_replicas(self, now: int, token: int, request: ChangeReplicas) -> None:
        """Add or remove a replica, or transfer the leadership."""
        if request.action == "lead":
            self._replica.run_raft(now, TransferLeadership(request.name))
            self._replica.router.reply(token, SubmitReply(True, "the lead is being handed over"))
        elif request.action == "remove":
            self._change(now, token, request, None)
        elif request.action == "add" and request.address:
            self._change(now, token, request, Peer(request.address, False, request.disk))
        else:
            text = f"cannot {request.action} {request.name}: add NAME ADDRESS DISK, or remove NAME"
            self._replica.router.reply(token, SubmitReply(False, text))

    def _change(self, now: int, token: int, request: ChangeReplicas, peer: Peer | None) -> None:
        own_token = self._replica.pending.new_token()
        self._replica.pending.proposed[own_token] = Waiting(token, request)
        self._replica.run_raft(now, ChangeMembership(request.name, peer, own_token))

    def outcome(self, request: SubmitRequest | ChangeReplicas, outcome: RequestOutcome | None) -> SubmitReply:
        """The reply to a request whose entry is agreed."""
        if isinstance(request, SubmitRequest) and outcome is not None:
            return submit_reply(self._replica.state, request.request, outcome)
        names = ", ".join(sorted(self._replica.raft.config))
        return SubmitReply(True, f"the keepers are {names}")


def submit_reply(state: ClusterState, request: AnyRequest, outcome: RequestOutcome) -> SubmitReply:
    """What a request came to, with its permits as they stand now."""
    if isinstance(request, PlanRelease | ControlRelease):
        release_id = outcome.created_ids[0] if outcome.created_ids else 0
        return SubmitReply(outcome.ok, outcome.text, [], release_id)
    made = [state.permits[number] for number in outcome.created_ids if number in state.permits]
    summaries = [
        PermitSummary(permit.id, permit.target, permit.state, permit.notes, permit.epoch, permit.drained_at)
        for permit in made
    ]
    return SubmitReply(outcome.ok, outcome.text, summaries)
