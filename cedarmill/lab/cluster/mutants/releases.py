"""Mutants of releases: the way back, and the orders that a supervisor follows."""

from collections.abc import Mapping

from cedarmill.cluster.release_state import UnitOrderFields
from cedarmill.cluster.state import ClusterState, Release
from cedarmill.cluster.state_machine import release_states, rollout
from cedarmill.cluster.supervision import Actions, ProcessSupervisor
from cedarmill.lab.cluster.mutants.patches import Patch

OLD_ORDERS_EVERY = 7  # us: a call whose time is a multiple of it gets the first orders again


def way_back_without_permits() -> list[Patch]:
    """On the way back units are changed without leave."""

    def roll_back(state: ClusterState, release: Release) -> None:
        for step in release.steps:
            if step.state in ("changing", "failed", "new"):
                step.state, step.state_since = "back-changing", state.clock
                rollout.order_unit(state, release, step)
        if all(step.state in ("old", "restored") for step in release.steps):
            release_states.apply_event(state, release, "complete")

    return [(rollout, "_roll_back", roll_back)]


def older_orders_followed() -> list[Patch]:
    """A supervisor follows orders by their arrival, not by their epoch."""
    original = ProcessSupervisor.apply_orders

    def apply_orders(
        self: ProcessSupervisor, now: int, orders: Mapping[str, UnitOrderFields], lease_until: int
    ) -> Actions:
        first_orders: dict[str, UnitOrderFields] = self.__dict__.setdefault("first_orders", {})
        for name, unit_order in orders.items():
            first_orders.setdefault(name, unit_order)
        if now % OLD_ORDERS_EVERY:
            return original(self, now, orders, lease_until)
        for name in orders:  # old orders come again, as a late message may
            if name in self.units:
                self.units[name].applied_epoch = -1
        return original(self, now, first_orders, lease_until)

    return [(ProcessSupervisor, "apply_orders", apply_orders)]
