"""The replicated state of the admission level.

Times are microseconds of the cluster's clock; shares and slots are in thousandths.
"""

from dataclasses import dataclass

import msgspec

from cedarmill.cluster.observations.digest import WHOLE

STEP_US = 500_000  # minimum interval between two steps of a level
LATE_SHARE = 200  # thousandths of late requests that indicate an overload
NO_WEIGHT = -1  # weight of a threshold that rejects nothing
UNKNOWN = -1  # marks a quantity that no node reports


class SheddingThreshold(msgspec.Struct, array_like=True, frozen=True):
    """Rejects requests below a priority weight (thousandths) and a share of those of exactly this weight."""

    weight: int = NO_WEIGHT
    share: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of the cluster or of one scope, taken from an assessment."""

    slots: int  # available
    late: int  # share of requests that are late
    slots_in_use: int = UNKNOWN
    slots_served: int = 0  # mean number of slots whose requests were served recently
    # Running time of the requests now in the cluster relative to the time allotted to them. By Little's law
    # this is the occupied slots divided by the allotted slots. Late responses lag behind this measure, since
    # their requests arrived seconds ago.
    queueing: int = UNKNOWN
    rejected_locally: int = 0  # share of admitted requests that nodes rejected by their own estimates


class AdmissionLevel(
    msgspec.Struct,
    rename={
        "shed_slots": "shed",
        "fill_share": "fill",
        "proven_slots": "proven",
        "steps_without_excess": "calm",
        "threshold": "cut",
        "stepped_at": "at",
        "deep_cut_until": "deep_till",
        "next_deep_cut_at": "rested_till",
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
    """The admission level of the whole cluster, or of one zone's requests of one scope."""

    shed_slots: int = 0  # requested slots to reject
    fill_share: int = WHOLE  # share of the slots to fill
    active: bool = False  # set once requests are late while demand exceeds the slots
    proven_slots: int = 0  # served recently, hence available even if not reported
    steps_without_excess: int = 0  # consecutive
    threshold: SheddingThreshold = SheddingThreshold()
    epoch: int = 0
    stepped_at: int = 0
    late_since: int = -1  # start of a sustained overload; -1 for none
    deep_cut_until: int = 0  # end of a deep cut
    next_deep_cut_at: int = 0  # earliest start of another deep cut
    reason: str = ""
    override: SheddingThreshold = SheddingThreshold()  # set by an operator
    override_until: int = 0
    wanted_slots: int = 0
    slots: int = 0
    late: int = 0
    slots_in_use: int = UNKNOWN
    queueing: int = UNKNOWN
    previous_queueing: int = UNKNOWN  # one step earlier
    rejected_locally: int = 0
    assessed_at: int = UNKNOWN  # time of the assessment used last
    stale: bool = False  # whether the assessment is no newer than the one before
