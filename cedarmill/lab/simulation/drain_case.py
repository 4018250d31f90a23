"""A small case for `explore`: a drain under a limit of one."""

from collections.abc import Hashable

from cedarmill.cluster.member_orders import orders_for
from cedarmill.cluster.messages import Orders
from cedarmill.cluster.state import ClusterState, Limit, Member, Permit, Target
from cedarmill.cluster.state_machine.permits import ConfirmDrained, RequestPermits, ReturnPermit
from cedarmill.cluster.state_machine.sessions import ExpireSessions, RestoreSession
from cedarmill.cluster.state_machine.targets import UpdateTargets
from cedarmill.lab.simulation.applied_commands import AppliedCommands
from cedarmill.lab.simulation.seeds import short_hash


class DrainCase(AppliedCommands):
    """Two nodes with a request each at executor a, and operators that want a and b out, of which one may be.

    Orders and acknowledgements take their time, a node falls silent and comes back, an executor is lost.
    """

    EVENTS = (
        "ask a",
        "ask b",
        "orders n0",
        "orders n1",
        "orders n0",
        "ends n0",
        "ends n1",
        "acks n0",
        "acks n1",
        "silent n1",
        "back n1",
        "lost b",
        "give a",
    )

    def __init__(self) -> None:
        super().__init__(
            ClusterState("c", slow_start_us=0, limits=[Limit("executor", "fleet", max_targets=1)])
        )
        for name in "ab":
            self.world.targets[f"executor:{name}"] = Target("executor", name, "z")
        for number in range(2):
            member = Member("node", f"n{number}", "1", "z")
            self.world.members[member.key] = member
        self.orders = {f"n{number}": Orders(0) for number in range(2)}
        self.in_flight = {"n0": True, "n1": True}  # at a

    def is_possible(self, event: str) -> bool:
        """Whether this event may happen next."""
        what, _, who = event.partition(" ")
        if what == "acks":
            return "a" in self.orders[who].excluded_executors and not self.in_flight[who]
        if what == "back":
            return self.world.members["node:n1:1"].state == "silent"
        if what == "give":
            return self._open_permit("a") is not None
        return True

    def _open_permit(self, name: str) -> Permit | None:
        permits = self.world.permits.values()
        return next(
            (permit for permit in permits if permit.is_out_of_service and permit.target == name), None
        )

    def happen(self, event: str) -> None:
        """Let an event happen."""
        what, _, who = event.partition(" ")
        key = f"node:{who}:1"
        match what:
            case "ask":
                self.apply(RequestPermits(self.now, f"op-{who}", "1", "executor", (who,)))
            case "orders":
                self.orders[who] = orders_for(self.world, self.world.members[key])
            case "ends":
                self.in_flight[who] = False
            case "acks":
                epochs = {"a": self.orders[who].excluded_executors["a"]}
                self.apply(ConfirmDrained(self.now, key, epochs))
            case "silent":
                self.apply(ExpireSessions(self.now, (key,)))
            case "back":
                self.apply(RestoreSession(self.now, key))
            case "lost":
                self.apply(UpdateTargets(self.now, (Target("executor", "b", "z", health="ill"),)))
            case _:
                self.apply(ReturnPermit(self.now, "op-a", "2", "executor", "a"))

    def key(self) -> Hashable:
        """Equal for states from which the same follows."""
        orders = [(name, sorted(one.excluded_executors.items())) for name, one in sorted(self.orders.items())]
        return short_hash(self.encoded_state() + repr((orders, self.in_flight)).encode())

    def violations(self) -> list[str]:
        """What does not hold of this state."""
        found = []
        out = [name for name in "ab" if self._open_permit(name) is not None]
        if len(out) > 1:
            found.append("never too many out: a and b are out at once")
        permit = self._open_permit("a")
        if permit is not None and permit.drained_at:
            may_send = [n for n, one in self.orders.items() if "a" not in one.excluded_executors]
            busy = [n for n, in_flight in self.in_flight.items() if in_flight]
            found += [f"no work after drained: {n} may still send" for n in may_send]
            found += [f"no job lost by plan: {n} still has a job there" for n in busy]
        return found
