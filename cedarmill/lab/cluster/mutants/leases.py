"""Mutants of sessions and leases: when a lease ends, and who asks whether it holds."""

from collections.abc import Mapping

from cedarmill.cluster import session_tracker
from cedarmill.cluster.release_state import UnitOrderFields
from cedarmill.cluster.session import MemberSession
from cedarmill.cluster.session_tracker import SessionTracker
from cedarmill.cluster.supervision import Actions, ProcessSupervisor
from cedarmill.lab.cluster.mutants.patches import Patch


def lease_ends_at_the_giver_first() -> list[Patch]:
    """The replicas take a lease for over in half of its time."""
    return [(session_tracker, "LEASE_US", session_tracker.LEASE_US // 2)]


def lease_by_a_timer() -> list[Patch]:
    """A process that stood still goes by what its timer said before."""
    return [(MemberSession, "is_lease_valid", lambda self, now: self._is_announced or now < self.lease_until)]


def lease_not_asked_when_acting() -> list[Patch]:
    """A supervisor acts on orders whatever has become of its lease."""
    original = ProcessSupervisor.apply_orders

    def apply_orders(
        self: ProcessSupervisor, now: int, orders: Mapping[str, UnitOrderFields], lease_until: int
    ) -> Actions:
        return original(self, now, orders, now + 1)

    return [(ProcessSupervisor, "apply_orders", apply_orders)]


def new_leader_without_grace() -> list[Patch]:
    """A new leader takes those it has not heard for silent at once, and believes it of any number."""
    original = SessionTracker.__init__

    def init(self: SessionTracker, now: int) -> None:
        original(self, now)
        self.leases_counted_from = now - 2 * session_tracker.LEASE_US

    return [(SessionTracker, "__init__", init), (session_tracker, "MAX_MISSING_SHARE", 2.0)]
