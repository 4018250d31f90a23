"""Commands for traffic across zones: observed zone evidence, and the operators' admission override."""

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.command import Command, Handlers, OperatorRequest, accepted
from cedarmill.cluster.traffic_control import intake


class RecordZoneEvidence(Command, tag="observed", frozen=True):
    """Record the nodes' combined observations of the zones when they differ from the agreed ones."""

    evidence: ClusterAssessment


class OverrideAdmission(OperatorRequest, tag="cut", frozen=True):
    """Override the shedding threshold for `duration_us`; a negative weight ends the override.

    Requests below the priority weight (thousandths) are rejected, and so are `part` thousandths of the
    requests with exactly that weight.
    """

    weight: int
    part: int = 0
    duration_us: int = 0
    reason: str = ""


def record_evidence(state: ClusterState, command: RecordZoneEvidence) -> None:
    """Store the newest evidence."""
    intake.record_assessment(state, command.evidence)


def override_admission(state: ClusterState, request: OverrideAdmission) -> RequestOutcome:
    """Set or end the override; raise RequestRejected for one without reason, duration or valid part."""
    is_set = request.weight >= 0
    is_complete = bool(request.reason.strip()) and request.duration_us > 0 and 0 <= request.part <= WHOLE
    if is_set and not is_complete:
        raise RequestRejected("a cut takes a reason, an end, and a part of at most the whole")
    author = f"{request.requester} ({request.reason})" if request.reason else request.requester
    threshold = SheddingThreshold(request.weight, request.part)
    controller.set_override(state, threshold, request.duration_us, author)
    return accepted(state, "the cut holds" if is_set else "the cut by hand has ended")


HANDLERS: Handlers = {RecordZoneEvidence: record_evidence, OverrideAdmission: override_admission}
