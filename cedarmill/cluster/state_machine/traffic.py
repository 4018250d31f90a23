"""Traffic over all zones: evidence of the nodes, and an operator's override of the admission level."""

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.command import Command, Handlers, OperatorRequest, accepted
from cedarmill.cluster.traffic_control import intake


class RecordZoneEvidence(Command, tag="observed", frozen=True):
    """What all nodes together observe of the zones, where it differs from what was agreed."""

    evidence: ClusterAssessment


class OverrideAdmission(OperatorRequest, tag="cut", frozen=True):
    """Reject requests below a priority weight (thousandths) and `part` thousandths of those at it.

    Holds for `duration_us`; a weight below 0 ends an override.
    """

    weight: int
    part: int = 0
    duration_us: int = 0
    reason: str = ""


def record_evidence(state: ClusterState, command: RecordZoneEvidence) -> None:
    """Take over the newest evidence."""
    intake.record_assessment(state, command.evidence)


def override_admission(state: ClusterState, request: OverrideAdmission) -> RequestOutcome:
    """Set or end the override; raises RequestRejected where it has no reason, no end or no valid part."""
    begins = request.weight >= 0
    complete = bool(request.reason.strip()) and request.duration_us > 0 and 0 <= request.part <= WHOLE
    if begins and not complete:
        raise RequestRejected("a cut takes a reason, an end, and a part of at most the whole")
    author = f"{request.requester} ({request.reason})" if request.reason else request.requester
    threshold = SheddingThreshold(request.weight, request.part)
    controller.override(state, threshold, request.duration_us, author)
    return accepted(state, "the cut holds" if begins else "the cut by hand has ended")


HANDLERS: Handlers = {RecordZoneEvidence: record_evidence, OverrideAdmission: override_admission}
