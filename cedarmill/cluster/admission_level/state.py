"""The replicated state of the admission level. Times: us of the cluster's clock; shares are thousandths."""

from dataclasses import dataclass

import msgspec

from cedarmill.cluster.observations.digest import WHOLE

STEP_US = 500_000  # between two steps of a level
LATE_SHARE = 200  # thousandths of requests that are late: shed more
NO_WEIGHT = -1  # of a threshold that rejects nothing
UNKNOWN = -1  # a quantity that nobody reports


class SheddingThreshold(msgspec.Struct, array_like=True, frozen=True):
    """Reject requests below a priority weight (thousandths), and a share of those that have this weight."""

    weight: int = NO_WEIGHT
    share: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the assessment says of load; slots in thousandths."""

    slots: int  # that there are
    late: int  # share of requests that are late
    slots_in_use: int = UNKNOWN
    slots_served: int = 0  # mean number of slots whose requests were served lately
    # The time that a request takes which is in the cluster now, against what it may take. By Little's law
    # this is the slots occupied over the slots allotted. Requests that end late came seconds ago, and say
    # little of those that come now.
    queueing: int = UNKNOWN
    rejected_locally: int = 0  # share of admitted requests that nodes rejected by their own estimates


class AdmissionLevel(
    msgspec.Struct,
    rename={
        "shed_slots": "shed",
        "fill_share": "fill",
        "proven_slots": "proven",
        "calm_steps": "calm",
        "threshold": "cut",
        "stepped_at": "at",
        "deep_until": "deep_till",
        "deep_rest_until": "rested_till",
        "reason": "why",
        "override": "hand",
        "override_until": "hand_till",
        "wanted_slots": "wanted",
        "slots": "room",
        "slots_in_use": "busy",
        "queueing": "queue",
        "previous_queueing": "before",
        "rejected_locally": "turned",
        "assessed_at": "seen",
    },
):
    """The level of the whole cluster, or of one zone's requests of one scope."""

    shed_slots: int = 0  # wanted, and to be rejected
    fill_share: int = WHOLE  # of the slots that are to be filled
    active: bool = False  # since requests were late while more was wanted than there is
    proven_slots: int = 0  # whose requests were served lately: they are there, whatever is reported
    calm_steps: int = 0  # in a row with nothing to shed
    threshold: SheddingThreshold = SheddingThreshold()
    epoch: int = 0
    stepped_at: int = 0
    late_since: int = -1  # most requests are late though what is admitted fits; -1: this is not so
    deep_until: int = 0  # end of a deep cut
    deep_rest_until: int = 0  # before that no other deep cut begins
    reason: str = ""
    override: SheddingThreshold = SheddingThreshold()  # an operator's
    override_until: int = 0
    wanted_slots: int = 0
    slots: int = 0
    late: int = 0
    slots_in_use: int = UNKNOWN
    queueing: int = UNKNOWN
    previous_queueing: int = UNKNOWN  # a step ago
    rejected_locally: int = 0
    assessed_at: int = UNKNOWN  # when the assessment came by which it was moved last
    stale: bool = False  # no newer assessment has come since
