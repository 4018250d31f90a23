"""Former names of `fleet/admission_level/`, for modules that still use them."""

from typing import TYPE_CHECKING

from cedarmill.fleet.admission_level.controller import override
from cedarmill.fleet.admission_level.controller import threshold_of as cut_of
from cedarmill.fleet.admission_level.gate import OVER_QUOTA_SHARE as OVER
from cedarmill.fleet.admission_level.gate import RETRY_AFTER_FACTORS as ADVICE
from cedarmill.fleet.admission_level.gate import AdmissionGate as Gate
from cedarmill.fleet.admission_level.state import AdmissionLevel as Admission
from cedarmill.fleet.admission_level.state import SheddingThreshold as Cut

if TYPE_CHECKING:
    from cedarmill.fleet.state import ClusterState

__all__ = ["ADVICE", "OVER", "Admission", "Cut", "Gate", "by_hand", "cut_of"]


def by_hand(world: "ClusterState", rank: int, part: int, lasts: int, who: str) -> None:
    """`override` with the threshold's parts."""
    override(world, Cut(rank, part), lasts, who)
