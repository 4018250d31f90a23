"""Tests of zone assessments, the traffic plan and the nodes' use of it, without I/O or a real clock."""

import unittest

from cedarmill import Balancer
from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.assessment import ClusterAssessment, ObservationCollector, ZoneAssessment
from cedarmill.cluster.observations.digest import (
    MAX_LOCATIONS,
    LocationObservation,
    ObservationDigest,
    limit_locations,
)
from cedarmill.cluster.observations.log import LocationEstimate, ObservationLog
from cedarmill.cluster.plan_follower import EXCLUSION_US, RETURN_RAMP_US, PlanFollower
from cedarmill.cluster.state import (
    ClusterState,
    Limit,
    Member,
    RequestOutcome,
    decode_snapshot,
    encode_snapshot,
)
from cedarmill.cluster.state_machine import commands, dispatch
from cedarmill.cluster.traffic_control import reports, rollout, zone_status
from cedarmill.cluster.traffic_control.errors import UnknownZoneError
from cedarmill.cluster.traffic_plan.allocation import Allocation, allocate
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.planner import PROBE_WEIGHT
from cedarmill.cluster.traffic_plan.weights import expected_load
from cedarmill.decisions import interface as api
from cedarmill.lab.simulation.applied_commands import AppliedCommands

SECOND = 1_000_000  # microseconds
LAYOUT = ZoneLayout({"east": ["a", "b"], "west": ["c"]})
WELL = LocationObservation(9, 36_000, 10_000, 100)


def observe_all_zones(**changed: LocationObservation) -> dict[str, LocationObservation]:
    """One node's observations of the zones a, b and c, which are well but for those given."""
    return {zone: changed.get(zone, WELL) for zone in "abc"}


LOST = LocationObservation(9, 36_000, 0, 50, unreached=50)
FAILING = LocationObservation(9, 36_000, 9000, 90, failed=30)


class ClusterAssessments(unittest.TestCase):
    """Assessments computed from the digests of many observers."""

    def setUp(self):
        self.collector, self.last_sequence = ObservationCollector(), 0

    def record_digests(
        self, zone: str, observations: dict, nodes: int = 3, at: int = SECOND, demand: int = 3000
    ) -> None:
        for n in range(nodes):
            self.last_sequence += 1
            self.collector.accept(
                at, f"{zone}{n}", ObservationDigest(self.last_sequence, zone, {"any": demand}, observations)
            )

    def verdicts(self, now: int = SECOND) -> dict[str, str]:
        return {name: zone.verdict for name, zone in self.collector.assess(now, "abc").zones.items()}

    def test_a_zone_that_no_observer_reaches_is_lost(self):
        for zone in "abc":
            self.record_digests(zone, observe_all_zones(a=LOST))
        self.assertEqual(self.verdicts(), {"a": "lost", "b": "well", "c": "well"})

    def test_a_loss_seen_from_one_zone_only_marks_the_link_gone(self):
        self.record_digests("a", observe_all_zones())
        self.record_digests("b", observe_all_zones(a=LOST))
        self.record_digests("c", observe_all_zones())
        assessment = self.collector.assess(SECOND, "abc")
        self.assertEqual(assessment.zones["a"].verdict, "well")
        self.assertEqual(assessment.links, {"b>a": "gone"})

    def test_a_partial_loss_marks_one_direction_of_the_link_degraded(self):
        self.record_digests("a", observe_all_zones())
        self.record_digests("b", observe_all_zones(a=LocationObservation(9, 36_000, 0, 100, unreached=20)))
        self.record_digests("c", observe_all_zones())
        self.assertEqual(self.collector.assess(SECOND, "abc").links, {"b>a": "thin"})

    def test_a_zone_whose_observers_reach_nothing_is_blind(self):
        self.record_digests("a", observe_all_zones(a=LOST, b=LOST, c=LOST))
        self.record_digests("b", observe_all_zones())
        self.record_digests("c", observe_all_zones())
        assessment = self.collector.assess(SECOND, "abc")
        self.assertEqual({name: zone.verdict for name, zone in assessment.zones.items()},
                         {"a": "well", "b": "well", "c": "well"})  # fmt: skip
        self.assertEqual(assessment.unobserved_zones, ["a"])

    def test_a_reached_zone_with_many_failed_attempts_is_failing(self):
        for zone in "abc":
            self.record_digests(zone, observe_all_zones(c=FAILING))
        self.assertEqual(self.verdicts()["c"], "ill")

    def test_one_observer_with_many_attempts_or_repeated_digests_does_not_outvote_the_others(self):
        for zone in "abc":
            self.record_digests(zone, observe_all_zones())
        digest = ObservationDigest(
            99, "b", {}, observe_all_zones(a=LocationObservation(9, 36_000, 0, 9000, unreached=9000))
        )
        for _ in range(50):
            self.collector.accept(SECOND, "b9", digest)
        self.assertEqual(self.verdicts()["a"], "well")
        self.assertEqual(self.collector.assess(SECOND, "abc").links, {})

    def test_all_observers_of_one_zone_count_as_one_vote(self):
        self.record_digests("a", observe_all_zones(), nodes=1)
        self.record_digests("b", observe_all_zones(a=LOST), nodes=40)
        self.record_digests("c", observe_all_zones(), nodes=1)
        self.assertEqual(self.verdicts()["a"], "well")

    def test_an_older_digest_does_not_replace_a_newer_one(self):
        self.collector.accept(2 * SECOND, "a0", ObservationDigest(7, "a", {"any": 5000}, {}))
        self.collector.accept(3 * SECOND, "a0", ObservationDigest(6, "a", {"any": 1}, {}))
        self.assertEqual(self.collector.assess(3 * SECOND, "abc").zones["a"].demand, {"any": 5000})

    def test_expired_digests_give_unknown_verdicts_and_keep_the_demand(self):
        for zone in "abc":
            self.record_digests(zone, observe_all_zones(a=LOST))
        assessment = self.collector.assess(SECOND + 10 * SECOND, "abc")
        self.assertEqual({assessed.verdict for assessed in assessment.zones.values()}, {"unknown"})
        self.assertEqual(
            (assessment.zones["a"].demand, assessment.unobserved_zones), ({"any": 9000}, ["a", "b", "c"])
        )

    def test_a_loss_reported_by_a_single_other_zone_gives_an_unknown_verdict(self):
        self.record_digests("b", observe_all_zones(a=LOST))
        self.assertEqual(self.verdicts()["a"], "unknown")

    def test_a_failing_group_in_a_well_zone_is_reported(self):
        group = LocationObservation(2, 8000, 0, 20, 10)
        observations = {"a": LocationObservation(9, 36_000, 0, 100, 5), "a/x": group}
        self.record_digests("a", observations)
        self.assertEqual(self.collector.assess(SECOND, "abc").failing_groups, ["a/x"])

    def test_a_digest_is_limited_in_locations_and_prefers_zones_to_groups(self):
        by_slots = {n: LocationObservation(1, n) for n in range(60)}
        locations = {f"z{n}": by_slots[n] for n in range(60)} | {f"z{n}/k": by_slots[n] for n in range(60)}
        limited = limit_locations(locations)
        self.assertEqual(len(limited), MAX_LOCATIONS)
        self.assertFalse(any("/" in location for location in limited))


def allocate_planned_room(room: dict, demand: dict, links: dict | None = None) -> Allocation:
    return allocate(LAYOUT, room, {}, demand, links or {})


class DemandAllocation(unittest.TestCase):
    """Allocation of demand to the room of zones."""

    def test_demand_goes_to_the_local_zone_then_its_region_then_other_regions(self):
        allocation = allocate_planned_room({"a": 50, "b": 20, "c": 60}, {("a", "any"): 100})
        self.assertEqual(
            allocation.flows, {("a", "any", "a"): 50, ("a", "any", "b"): 20, ("a", "any", "c"): 30}
        )
        self.assertEqual(allocation.unserved, {})

    def test_region_scoped_demand_stays_in_its_region_even_if_unserved(self):
        allocation = allocate_planned_room(
            {"a": 10, "b": 10, "c": 90}, {("a", "region"): 50, ("a", "zone"): 5}
        )
        self.assertEqual(allocation.load(), {"a": 10, "b": 10})
        self.assertEqual(allocation.unserved, {("a", "region"): 35})

    def test_the_strictest_scope_is_allocated_first_so_that_all_demand_is_served(self):
        allocation = allocate_planned_room({"a": 10, "b": 0, "c": 10}, {("a", "any"): 10, ("a", "zone"): 10})
        self.assertEqual(allocation.unserved, {})

    def test_no_zone_gets_more_than_its_room(self):
        room = {"a": 0, "b": 30, "c": 30}
        allocation = allocate_planned_room(room, {("a", "any"): 100, ("b", "any"): 10, ("c", "any"): 10})
        self.assertTrue(all(slots <= room[zone] for zone, slots in allocation.load().items()))
        self.assertGreaterEqual(sum(allocation.flows.values()), 59)

    def test_a_gone_link_carries_no_flow_and_other_flows_are_displaced(self):
        room, demand = {"a": 0, "b": 30, "c": 30}, {("a", "any"): 25, ("b", "any"): 25}
        allocation = allocate_planned_room(room, demand, {"a>c": "gone"})
        self.assertNotIn(("a", "any", "c"), allocation.flows)
        self.assertEqual(allocation.unserved, {})

    def test_a_degraded_link_is_used_last(self):
        allocation = allocate_planned_room({"a": 0, "b": 30, "c": 30}, {("a", "any"): 20}, {"a>b": "thin"})
        self.assertEqual(allocation.flows, {("a", "any", "c"): 20})

    def test_small_changes_of_demand_cause_small_changes_of_flows(self):
        room = {"a": 0, "b": 40_000, "c": 40_000}
        before = allocate_planned_room(room, {("a", "any"): 30_000, ("b", "any"): 20_000}).flows
        after = allocate_planned_room(room, {("a", "any"): 30_300, ("b", "any"): 20_200}).flows
        for key in before.keys() | after.keys():
            self.assertLess(abs(before.get(key, 0) - after.get(key, 0)), 600, key)


class TrafficPlanTestCase(unittest.TestCase, AppliedCommands):
    """Base class: applies commands to a cluster state with three zones, as every replica does."""

    limits: tuple[Limit, ...] = (Limit("zone", "fleet", max_targets=1),)

    def setUp(self):
        AppliedCommands.__init__(self, ClusterState("c", limits=list(self.limits)))
        self.request_count = 0
        self.request(commands.SetZones, LAYOUT)
        self.record_assessment()

    def request(self, command_type, *fields) -> RequestOutcome:
        self.request_count += 1
        return self.apply(command_type(self.now, "op", str(self.request_count), *fields))

    def record_assessment(self, demand: int = 15_000, links: dict | None = None, **verdicts: str) -> None:
        zones = {}
        for zone in "abc":
            verdict = verdicts.get(zone, "well")
            failed = 333 if verdict == "ill" else 0
            zones[zone] = ZoneAssessment(verdict, 36_000, 10_000, failed, 0, {"any": demand}, 3)
        self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(zones, links or {})))

    def status_of(self, zone: str = "a") -> str:
        return self.world.zones[zone].status

    def weight(self, source: str, target: str) -> int:
        return self.world.traffic.weights[source]["any"].get(target, 0)


class ZoneStatusChanges(TrafficPlanTestCase):
    """Zone statuses, weights and trust as assessments change."""

    def test_requests_stay_local_while_all_zones_are_well(self):
        self.assertEqual(self.world.traffic.weights["a"]["any"], {"a": 1000})

    def test_a_lost_zone_is_left_at_once_and_returns_in_steps_after_its_dwell_time(self):
        self.record_assessment(a="lost")
        self.assertEqual(self.status_of(), "open", "a single assessment is not confirmed yet")
        self.pass_time(zone_status.LOST_CONFIRMATION_US)
        self.assertEqual((self.status_of(), self.weight("a", "a")), ("lost", PROBE_WEIGHT))
        self.pass_time(5 * SECOND)
        self.record_assessment()
        self.pass_time(zone_status.MIN_DWELL_US - 1)
        self.assertEqual(self.status_of(), "lost")
        self.pass_time(2 * SECOND)
        self.assertEqual(self.status_of(), "returning")
        returning_weight = self.weight("a", "a")
        self.assertLess(returning_weight, 900)
        self.pass_time(11 * SECOND)
        self.assertEqual((self.status_of(), self.weight("a", "a")), ("open", 1000))

    def test_a_flapping_zone_stays_lost_and_its_dwell_time_doubles(self):
        status_changes = []
        for _ in range(20):
            self.record_assessment(a="lost")
            self.pass_time(3 * SECOND)
            self.record_assessment()
            self.pass_time(3 * SECOND)
            status_changes.append(self.world.zones["a"].status_changes)
        self.assertLessEqual(status_changes[-1], 2, "3 s of being well are shorter than the dwell time")
        self.pass_time(zone_status.MIN_DWELL_US + 12 * SECOND)
        self.assertEqual(self.status_of(), "open")
        self.record_assessment(a="lost")
        self.pass_time(3 * SECOND)
        self.assertEqual(
            zone_status.dwell_us(self.world, self.world.zones["a"]), 2 * zone_status.MIN_DWELL_US
        )

    def test_a_loss_of_most_zones_at_once_is_applied_only_by_an_operator(self):
        self.record_assessment(a="lost", b="lost")
        self.pass_time(5 * SECOND)
        self.assertEqual((self.status_of("a"), self.status_of("b")), ("open", "open"))
        self.assertIn("2 of 3 zones", self.world.traffic.distrust_reason)
        self.assertTrue(self.request(commands.ControlZone, "lost", "a", 0, "power failure").ok)
        self.assertEqual(self.status_of("a"), "lost")

    def test_a_failing_zone_is_used_as_a_last_resort(self):
        self.record_assessment(a="ill")
        self.pass_time(zone_status.FAILING_CONFIRMATION_US + 6 * SECOND)
        self.assertEqual((self.status_of(), self.weight("a", "a")), ("ill", PROBE_WEIGHT))
        self.record_assessment(demand=40_000, a="ill")
        self.pass_time(10 * SECOND)
        self.assertGreater(
            self.weight("a", "a"), 100, "without other room a failing zone is better than a rejection"
        )

    def test_a_gone_link_changes_no_row_of_other_sources(self):
        self.record_assessment(demand=34_000)
        self.pass_time(10 * SECOND)
        before = {source: dict(self.world.traffic.weights[source]["any"]) for source in "abc"}
        self.record_assessment(demand=34_000, links={"a>b": "gone"})
        self.pass_time(10 * SECOND)
        self.assertEqual(self.world.traffic.weights["c"]["any"], before["c"])
        self.assertEqual({zone.status for zone in self.world.zones.values()}, {"open"})
        self.assertEqual(self.weight("a", "b"), 0)

    def test_weights_move_in_bounded_steps_while_no_zone_is_lost(self):
        self.record_assessment(demand=15_000)
        demands = {"a": 60_000, "b": 5000, "c": 5000}
        zones = {
            z: ZoneAssessment("well", 36_000, 0, 0, 0, {"any": slots}, 3) for z, slots in demands.items()
        }
        self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(zones)))
        weights = []
        for _ in range(6):
            self.pass_time(rollout.MOVE_INTERVAL_US)
            weights.append(self.weight("a", "a"))
        self.assertTrue(all(0 <= a - b <= 201 for a, b in zip(weights, weights[1:], strict=False)), weights)

    def test_late_requests_despite_free_room_lower_the_trust_in_a_zone(self):
        demand = {"any": 20_000}
        late = {z: ZoneAssessment("well", 36_000, 0, 0, 900 * (z == "b"), demand, 3) for z in "abc"}
        for _ in range(3):
            self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(late)))
            self.pass_time(3 * SECOND)
        self.assertLess(self.world.zones["b"].trust, 1000)
        self.assertEqual(self.world.zones["a"].trust, 1000)
        self.assertLess(self.weight("b", "b"), 1000)

    def test_fallback_weights_exist_before_a_loss_and_respect_the_room_of_the_other_zones(self):
        rows = self.world.traffic.fallback_weights["a"]
        self.assertEqual(list(rows), ["a"], "only sources that send to the lost zone have a row")
        demand = {("a", "any"): 15_000, ("b", "any"): 15_000, ("c", "any"): 15_000}
        load = expected_load(self.world.traffic.weights | {"a": rows["a"]}, demand)
        self.assertTrue(all(load.get(z, 0) <= 32_400 for z in "bc"), load)

    def test_a_snapshot_restores_the_state_and_its_further_changes(self):
        self.record_assessment(a="lost")
        self.pass_time(2 * SECOND)
        self.assertEqual(
            encode_snapshot(decode_snapshot(encode_snapshot(self.world))), encode_snapshot(self.world)
        )
        restored = decode_snapshot(encode_snapshot(self.world))
        command = dispatch.encode(commands.AdvanceTime(self.now + 30 * SECOND))
        dispatch.apply(restored, 99, command)
        dispatch.apply(self.world, 99, command)
        self.assertEqual(encode_snapshot(restored), encode_snapshot(self.world))


class OperatorActions(TrafficPlanTestCase):
    """Evacuation, freeze, pin and forecast on an operator's request."""

    def test_an_evacuation_moves_in_steps_under_a_permit_and_is_reversible(self):
        self.record_assessment(demand=8_000)
        self.assertTrue(self.request(commands.ControlZone, "leave", "a", 10 * SECOND, "works").ok)
        self.pass_time(5 * SECOND)
        self.assertEqual(self.status_of(), "leaving")
        self.assertTrue(300 < self.weight("a", "a") <= 1000)
        self.pass_time(15 * SECOND)
        self.assertEqual((self.status_of(), self.weight("a", "a")), ("out", 0))
        second = self.request(commands.ControlZone, "leave", "b", SECOND, "too")
        self.assertEqual(
            self.world.permits[second.created_ids[0]].state, "waiting", "the limit is one zone at a time"
        )
        self.assertTrue(self.request(commands.ControlZone, "stay", "a", 0, "done").ok)
        self.pass_time(30 * SECOND)
        self.assertEqual((self.status_of("a"), self.status_of("b")), ("open", "out"))

    def test_an_evacuation_beyond_the_room_of_other_zones_is_rejected_with_the_missing_slots(self):
        self.record_assessment(demand=30_000)
        outcome = self.request(commands.ControlZone, "leave", "a", SECOND, "works")
        self.assertFalse(outcome.ok)
        self.assertRegex(outcome.text, r"would not bear it: [\d.]+ slots")

    def test_an_evacuation_halts_while_other_zones_lack_room_and_then_resumes(self):
        self.request(commands.ControlZone, "leave", "a", 20 * SECOND, "works")
        self.pass_time(5 * SECOND)
        self.record_assessment(demand=31_000)
        self.pass_time(20 * SECOND)
        self.assertEqual(self.status_of(), "leaving")
        self.assertIn("missing", self.world.zones["a"].halt_reason)
        self.record_assessment(demand=12_000)
        self.pass_time(20 * SECOND)
        self.assertEqual((self.status_of(), self.world.zones["a"].halt_reason), ("out", ""))

    def test_a_lost_zone_counts_towards_the_limit(self):
        self.record_assessment(b="lost")
        self.pass_time(2 * SECOND)
        outcome = self.request(commands.ControlZone, "leave", "a", SECOND, "works")
        permit_states = [permit.state for permit in self.world.permits.values()]
        self.assertTrue(not outcome.ok or permit_states == ["waiting"], (outcome, permit_states))

    def test_a_frozen_plan_and_a_pinned_zone_do_not_change(self):
        self.request(commands.ControlZone, "freeze", "", 0, "looking")
        self.record_assessment(a="lost")
        self.pass_time(5 * SECOND)
        self.assertEqual((self.status_of(), self.weight("a", "a")), ("open", 1000))
        self.assertFalse(self.request(commands.ControlZone, "leave", "b", SECOND, "works").ok)
        self.request(commands.ControlZone, "pin", "a", 0, "known")
        self.request(commands.ControlZone, "thaw")
        self.pass_time(5 * SECOND)
        self.assertEqual(self.status_of(), "open")
        self.request(commands.ControlZone, "unpin", "a")
        self.pass_time(2 * SECOND)
        self.assertEqual(self.status_of(), "lost")

    def test_a_loss_forecast_gives_loads_and_missing_slots_and_rejects_unknown_zones(self):
        forecast = reports.forecast_loss(self.world, "a")
        self.assertEqual((forecast.zones["a"].forecast_load, forecast.missing_slots), (0, 0))
        with self.assertRaisesRegex(UnknownZoneError, "no zone 'nowhere'"):
            reports.forecast_loss(self.world, "nowhere")

    def test_a_closed_zone_is_drained_once_every_node_has_confirmed(self):
        member = Member("node", "n1", "1", "b")
        self.world.members[member.key] = member
        permit = self.world.permits[
            self.request(commands.ControlZone, "leave", "a", SECOND, "works").created_ids[0]
        ]
        self.pass_time(5 * SECOND)
        weights = reports.route_weights(self.world, "b")
        self.assertEqual((weights.closed_zones, permit.drained_at), ({"a": permit.epoch}, 0))
        self.apply(commands.ConfirmDrained(self.now, member.key, {"a": permit.epoch}))
        self.assertGreater(permit.drained_at, 0)


def route_weights(epoch: int = 5, **fields) -> RouteWeights:
    """The route weights of zone `a`, with fallbacks for the loss of `a` and `b`."""
    reachable = {"any": ["a", "b", "c"], "region": ["a", "b"], "zone": ["a"]}
    weights = {"any": {"a": 700, "b": 300}, "region": {"a": 900, "b": 100}, "zone": {"a": 1000}}
    fallbacks = {
        "a": {"any": {"b": 400, "c": 600}, "region": {"b": 1000}},
        "b": {"any": {"a": 800, "c": 200}},
    }
    return RouteWeights(epoch, "a", reachable, weights, fallbacks, **fields)


class PlanFollowing(unittest.TestCase):
    """A node's routing decisions under a plan."""

    def setUp(self):
        self.follower = PlanFollower()
        self.follower.accept_plan(route_weights())

    def test_the_weights_of_the_plan_apply_unchanged_while_all_zones_are_reached(self):
        decision = self.follower.decide(SECOND, {})
        self.assertEqual((decision.weights["any"], decision.unreachable_zones), ({"a": 700, "b": 300}, ()))

    def test_an_older_plan_does_not_replace_a_newer_one(self):
        self.assertFalse(self.follower.accept_plan(route_weights(4)))
        self.assertEqual(self.follower.decide(SECOND, {}).epoch, 5)

    def test_an_unreached_zone_is_reported_and_its_fallback_weights_apply(self):
        decision = self.follower.decide(SECOND, {"a": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual(
            (decision.unreachable_zones, decision.weights["any"]), (("a",), {"b": 400, "c": 600})
        )
        later = self.follower.decide(2 * SECOND, {})
        self.assertEqual(later.weights, decision.weights, "the exclusion lasts without further attempts")

    def test_an_excluded_zone_returns_in_steps_and_a_repeated_exclusion_lasts_longer(self):
        self.follower.decide(SECOND, {"b": LocationObservation(attempts=9, unreached=9)})
        returning = self.follower.decide(SECOND + EXCLUSION_US + RETURN_RAMP_US // 2, {})
        self.assertEqual((returning.weights["any"]["a"], returning.unreachable_zones), (750, ()))
        at = SECOND + EXCLUSION_US + RETURN_RAMP_US
        self.assertEqual(self.follower.decide(at, {}).weights["any"]["a"], 700)
        self.follower.decide(at, {"b": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual(self.follower.exclusions["b"].ends_at, at + 2 * EXCLUSION_US)

    def test_a_streak_of_unreached_attempts_excludes_a_zone_before_their_share_is_high(self):
        observation_log = ObservationLog(0)
        for n in range(40):
            observation_log.record_attempt(n * 50_000, ("a",), False, False, n >= 34)
        observations = observation_log.observations(2 * SECOND, {"a": LocationEstimate(9, 36_000, 0)})
        self.assertLess(2 * observations["a"].unreached, observations["a"].attempts, "less than one half")
        decision = self.follower.decide(2 * SECOND, observations, (), observation_log.unreached_streaks)
        self.assertEqual(decision.unreachable_zones, ("a",))

    def test_too_few_attempts_exclude_no_zone(self):
        decision = self.follower.decide(SECOND, {"a": LocationObservation(attempts=3, unreached=3)})
        self.assertEqual(decision.unreachable_zones, ())

    def test_the_weight_of_an_excluded_fallback_zone_goes_to_the_own_zone(self):
        gone = {zone: LocationObservation(attempts=9, unreached=9) for zone in "bc"}
        decision = self.follower.decide(SECOND, gone)
        self.assertEqual(decision.weights["any"], {"a": 1000})

    def test_a_closed_zone_gets_no_weight_even_if_another_zone_is_lost(self):
        self.follower.accept_plan(route_weights(6, closed_zones={"b": 9}))
        decision = self.follower.decide(SECOND, {"a": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual((decision.closed_zones, decision.weights["any"]), (("b",), {"c": 600, "a": 400}))

    def test_a_zone_without_listed_executors_is_unreachable(self):
        decision = self.follower.decide(SECOND, {}, {"b"})
        self.assertEqual(
            (decision.weights["any"], decision.unreachable_zones), ({"a": 800, "c": 200}, ("b",))
        )


class RecentObservations(unittest.TestCase):
    """A node's log of its attempts and demand."""

    def test_recent_attempts_and_demand_are_counted_and_digests_are_numbered(self):
        observation_log = ObservationLog(0)
        for n in range(30):
            observation_log.record_attempt(n * 100_000, ("a", "a/k"), n % 3 == 0, False, n % 10 == 0)
            observation_log.record_demand(n * 100_000, "any", 200_000)
        recent = observation_log.observations(2_900_000, {"a": LocationEstimate(3, 12_000, 4000)})["a"]
        self.assertEqual((recent.attempts, recent.failed, recent.unreached, recent.age_us), (30, 10, 3, 0))
        self.assertAlmostEqual(observation_log.demand(2_900_000)["any"], 2000, delta=150)
        self.assertEqual(
            observation_log.observations(9_000_000, {"a": LocationEstimate(3, 1, 1)})["a"].attempts, 0
        )
        first, second = (observation_log.make_digest(9 * SECOND, "a", {}, 0, (), False) for _ in range(2))
        self.assertEqual((first.sequence, second.sequence), (1, 2))


class BalancerZoneShares(unittest.TestCase):
    """Selection of executors under zone shares."""

    def setUp(self):
        request_class = api.RequestClass(
            "j", worth=1.0, aim_us=200_000, deadline_us=2 * SECOND, effect=api.Effect.SAFE
        )
        self.balancer = Balancer(
            api.Settings(
                instances=1,
                zone=0,
                classes=(request_class,),
                cold_us=0,
                cold_share=1.0,
                fall_multiple=3.0,
                overload_window_us=SECOND,
                max_attempts=3,
            ),
            seed=1,
        )
        entries = [api.EndpointEntry(n, api.ExecutorState.READY, zone=n % 2) for n in range(8)]
        self.balancer.handle(0, api.EndpointList(api.EndpointListKind.CACHED, entries))

    def send_requests(self, count: int, allowed_zones: tuple[int, ...] = ()) -> list[int]:
        """Send requests one after the other; return the zone that each is sent to."""
        sent_zones = []
        for number in range(count):
            arrived = api.RequestArrived(number, 0, 2 * SECOND, allowed_zones=allowed_zones)
            for action in self.balancer.handle(1000 + number * 10_000, arrived):
                sent_zones += [action.executor % 2] if isinstance(action, api.Send) else []
            executor = (
                self.balancer.requests[number].attempts[0].executor.id
                if number in self.balancer.requests
                else 0
            )
            ended = api.AttemptEnded(number, 0, executor, api.Outcome.OK, True)
            self.balancer.handle(6000 + number * 10_000, ended)
        return sent_zones

    def test_requests_are_split_by_the_zone_shares(self):
        self.balancer.handle(1, api.ZoneShares({(): {0: 0.3, 1: 0.7}}))
        self.assertAlmostEqual(self.send_requests(400).count(0) / 400, 0.3, delta=0.08)

    def test_without_zone_shares_requests_stay_in_the_own_zone(self):
        self.assertEqual(set(self.send_requests(50)), {0})

    def test_a_request_bound_to_its_zone_is_refused_rather_than_sent_to_another(self):
        self.balancer.handle(1, api.ZoneShares({(): {1: 1.0}, (0,): {0: 1.0}}))
        self.assertEqual(set(self.send_requests(30, (0,))), {0})
        gone = [api.EndpointEntry(n, api.ExecutorState.GONE, zone=0) for n in range(0, 8, 2)]
        self.balancer.handle(2 * SECOND, api.EndpointList(api.EndpointListKind.DELTA, gone))
        actions = self.balancer.handle(
            2 * SECOND + 1, api.RequestArrived(999, 0, 2 * SECOND, allowed_zones=(0,))
        )
        self.assertEqual([type(action) for action in actions], [api.Refuse])
