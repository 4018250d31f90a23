"""A small case for `explore`: a plan of traffic over three zones with faults and a drained zone."""

from collections.abc import Hashable

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.state import ClusterState, Limit
from cedarmill.cluster.state_machine.permit_states import open_permit
from cedarmill.cluster.state_machine.traffic import RecordZoneEvidence
from cedarmill.cluster.state_machine.zones import ControlZone, SetZones
from cedarmill.cluster.traffic_control.reports import route_weights
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.planner import available_slots, demand_by_source
from cedarmill.cluster.traffic_plan.state import WeightRow
from cedarmill.cluster.traffic_plan.weights import expected_load
from cedarmill.lab.simulation.applied_commands import AppliedCommands
from cedarmill.lab.simulation.clock import SECOND
from cedarmill.lab.simulation.seeds import short_hash

LAYOUT = ZoneLayout({"east": ["a", "b"], "west": ["c"]})
ZONES = "abc"
FOLLOWED_ZONES = "ab"  # with a node each that follows plans
ZONE_SLOTS, ZONE_SLOTS_HELD = 36_000, 10_000  # thousandths of slots
FAILING_SHARE = 333  # thousandths, of a zone that fails
DRAIN_TIME = 2 * SECOND  # us
SHORT_TIME, LONG_TIME = 3 * SECOND, 25 * SECOND  # us
ROUNDING = 50  # thousandths of a slot, by which rounded shares may exceed


class TrafficCase(AppliedCommands):
    """Three zones: a is lost and comes back, b fails, c is drained, assessments and plans are on their way
    in any order, and time passes in between.
    """

    EVENTS: tuple[str, ...] = (
        "a lost",
        "a well",
        "b fails",
        "leave c",
        "stay c",
        "time",
        "time",
        "long",
        "plan a",
        "plan b",
        "plan a",
        "a not reached",
    )
    DEMAND: dict[str, int] = {"any": 8_000, "region": 2_000, "zone": 1_000}  # of each zone, thousandths

    def __init__(self) -> None:
        super().__init__(ClusterState("c", limits=[Limit("zone", "fleet", max_targets=1)]))
        self.apply(SetZones(self.now, "op", "1", LAYOUT))
        self.verdicts = dict.fromkeys(ZONES, "well")
        self._record_evidence()
        self.followers = {zone: PlanFollower() for zone in FOLLOWED_ZONES}
        self.epochs = dict.fromkeys(FOLLOWED_ZONES, 0)
        self._older_plan_followed = ""  # the violation, where one has happened
        for zone in FOLLOWED_ZONES:
            self._receive_plan(zone)

    def _record_evidence(self) -> None:
        zones = {}
        for zone, verdict in self.verdicts.items():
            failing = FAILING_SHARE if verdict == "ill" else 0
            zones[zone] = ZoneAssessment(verdict, ZONE_SLOTS, ZONE_SLOTS_HELD, failing, 0, self.DEMAND, 3)
        self.apply(RecordZoneEvidence(self.now, ClusterAssessment(zones)))

    def _receive_plan(self, zone: str) -> None:
        plan = route_weights(self.world, zone)
        before = self.epochs[zone]
        if self.followers[zone].accept_plan(plan) and plan is not None:
            self.epochs[zone] = plan.epoch
            if plan.epoch < before:
                self._older_plan_followed = (
                    f"older plans never replace newer ones: {zone} follows {plan.epoch}"
                )

    def is_possible(self, event: str) -> bool:
        """Whether this event may happen next."""
        what, _, rest = event.partition(" ")
        if event == "a well":
            return self.verdicts["a"] == "lost"
        if what == "stay":
            return open_permit(self.world, "zone", rest) is not None
        return True

    def happen(self, event: str) -> None:
        """Let an event happen."""
        what, _, rest = event.partition(" ")
        if event in ("a lost", "a well", "b fails"):
            self.verdicts[what] = {"fails": "ill"}.get(rest, rest)
            self._record_evidence()
        elif what in ("leave", "stay"):
            self.apply(ControlZone(self.now, "op", event, what, rest, DRAIN_TIME, "works"))
        elif what == "plan":
            self._receive_plan(rest)
        elif event == "a not reached":
            self.followers["b"].decide(self.now, {"a": LocationObservation(attempts=9, unreached=9)})
        else:
            self.pass_time({"time": SHORT_TIME, "long": LONG_TIME}[what])

    def _plan_of(self, zone: str) -> RouteWeights:
        plan = self.followers[zone].plan
        assert plan is not None  # each follower got one at the start
        return plan

    def key(self) -> Hashable:
        """Equal for states from which the same follows."""
        followed = []
        for zone, follower in self.followers.items():
            exclusions = sorted((name, one.ends_at) for name, one in follower.exclusions.items())
            followed.append((zone, self._plan_of(zone).epoch, exclusions))
        return short_hash(self.encoded_state() + repr((self.now, self.verdicts, followed)).encode())

    def violations(self) -> list[str]:
        """What does not hold of this state."""
        found = [self._older_plan_followed] if self._older_plan_followed else []
        for source, by_scope in self.world.traffic.weights.items():
            for scope, row in by_scope.items():
                found += self._row_violations(source, scope, row, "the plan")
        for zone, follower in self.followers.items():
            closed = set(self._plan_of(zone).closed_zones) - {zone}
            for scope, row in follower.weights(self.now).items():
                found += [f"a shut zone gets nothing: {z}, {zone}" for z in row if z in closed]
                if row:
                    found += self._row_violations(zone, scope, row, f"a node of {zone}")
        out = [name for name, one in self.world.zones.items() if one.status in ("leaving", "out")]
        if len(out) > 1:
            found.append(f"never too many out: {' and '.join(out)} are evacuated at once")
        return found + self._overload_violations()

    @staticmethod
    def _row_violations(source: str, scope: str, row: WeightRow, whose: str) -> list[str]:
        found = []
        if sum(row.values()) != WHOLE:
            found.append(f"rows are whole: {whose}, {source} {scope}: {row}")
        if set(row) - set(LAYOUT.reachable_zones(source, scope)):
            found.append(f"residents stay: {whose}, {source} {scope}: {row}")
        return found

    def _overload_violations(self) -> list[str]:
        """What others send to a zone by the target weights never brings it over its safe load."""
        plan = self.world.traffic
        assert plan.assessment is not None  # recorded at the start
        room, last_resort = available_slots(LAYOUT, self.world.zones, plan.assessment)
        demand = demand_by_source(plan.assessment)
        load = expected_load(plan.target_weights, demand)
        found = []
        for zone in ZONES:
            own = sum(
                slots * plan.target_weights[zone][scope].get(zone, 0) // WHOLE
                for scope in SCOPES
                if (slots := demand.get((zone, scope), 0))
            )
            most = max(room[zone] + last_resort[zone], own) + ROUNDING
            if load.get(zone, 0) > most and zone in plan.target_weights:
                found.append(f"no receiver over its safe load: {zone} gets {load[zone]} of {most}")
        return found
