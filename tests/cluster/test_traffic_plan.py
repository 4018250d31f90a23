"""Assessments, the traffic plan and its following, entry by entry and digest by digest: no I/O, no clock."""

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
from cedarmill.cluster.plan_follower import EXCLUSION_US, RAMP_US, PlanFollower
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

S = 1_000_000
ZONING = ZoneLayout({"east": ["a", "b"], "west": ["c"]})
WELL = LocationObservation(9, 36_000, 10_000, 100)


def seen(**bad: LocationObservation) -> dict[str, LocationObservation]:
    return {zone: bad.get(zone, WELL) for zone in "abc"}


LOST = LocationObservation(9, 36_000, 0, 50, unreached=50)
FAILING = LocationObservation(9, 36_000, 9000, 90, failed=30)


class Telling(unittest.TestCase):
    """What many digests come to."""

    def setUp(self):
        self.observations, self.seq = ObservationCollector(), 0

    def tell(self, zone: str, views: dict, nodes: int = 3, at: int = S, demand: int = 3000) -> None:
        for n in range(nodes):
            self.seq += 1
            self.observations.accept(
                at, f"{zone}{n}", ObservationDigest(self.seq, zone, {"any": demand}, views)
            )

    def verdicts(self, now: int = S) -> dict[str, str]:
        return {name: news.verdict for name, news in self.observations.assess(now, "abc").zones.items()}

    def test_all_observers_that_lose_a_zone_make_it_lost(self):
        for zone in "abc":
            self.tell(zone, seen(a=LOST))
        self.assertEqual(self.verdicts(), {"a": "lost", "b": "well", "c": "well"})

    def test_one_zone_that_loses_another_has_a_bad_link(self):
        self.tell("a", seen())
        self.tell("b", seen(a=LOST))
        self.tell("c", seen())
        found = self.observations.assess(S, "abc")
        self.assertEqual(found.zones["a"].verdict, "well")
        self.assertEqual(found.links, {"b>a": "gone"})

    def test_one_way_loss_names_one_direction_and_thin_loss_is_thin(self):
        self.tell("a", seen())
        self.tell("b", seen(a=LocationObservation(9, 36_000, 0, 100, unreached=20)))
        self.tell("c", seen())
        self.assertEqual(self.observations.assess(S, "abc").links, {"b>a": "thin"})

    def test_observers_that_lose_everything_are_ill_themselves(self):
        self.tell("a", seen(a=LOST, b=LOST, c=LOST))
        self.tell("b", seen())
        self.tell("c", seen())
        found = self.observations.assess(S, "abc")
        self.assertEqual({name: one.verdict for name, one in found.zones.items()},
                         {"a": "well", "b": "well", "c": "well"})  # fmt: skip
        self.assertEqual(found.blind_zones, ["a"])

    def test_a_gray_zone_is_ill_by_its_failures_not_by_its_reach(self):
        for zone in "abc":
            self.tell(zone, seen(c=FAILING))
        self.assertEqual(self.verdicts()["c"], "ill")

    def test_one_loud_observer_and_repeats_do_not_outvote_the_rest(self):
        for zone in "abc":
            self.tell(zone, seen())
        loud = ObservationDigest(99, "b", {}, seen(a=LocationObservation(9, 36_000, 0, 9000, unreached=9000)))
        for _ in range(50):
            self.observations.accept(S, "b9", loud)
        self.assertEqual(self.verdicts()["a"], "well")
        self.assertEqual(self.observations.assess(S, "abc").links, {})

    def test_many_observers_of_one_zone_are_one_voice(self):
        self.tell("a", seen(), nodes=1)
        self.tell("b", seen(a=LOST), nodes=40)
        self.tell("c", seen(), nodes=1)
        self.assertEqual(self.verdicts()["a"], "well")

    def test_an_older_digest_never_replaces_a_newer_one(self):
        self.observations.accept(2 * S, "a0", ObservationDigest(7, "a", {"any": 5000}, {}))
        self.observations.accept(3 * S, "a0", ObservationDigest(6, "a", {"any": 1}, {}))
        self.assertEqual(self.observations.assess(3 * S, "abc").zones["a"].demand, {"any": 5000})

    def test_silence_says_nothing_and_demand_is_held(self):
        for zone in "abc":
            self.tell(zone, seen(a=LOST))
        found = self.observations.assess(S + 10 * S, "abc")
        self.assertEqual({one.verdict for one in found.zones.values()}, {"unknown"})
        self.assertEqual((found.zones["a"].demand, found.blind_zones), ({"any": 9000}, ["a", "b", "c"]))

    def test_one_other_zone_alone_does_not_make_a_zone_lost(self):
        self.tell("b", seen(a=LOST))
        self.assertEqual(self.verdicts()["a"], "unknown")

    def test_groups_that_fail_in_a_well_zone_are_named(self):
        group = LocationObservation(2, 8000, 0, 20, 10)
        views = {"a": LocationObservation(9, 36_000, 0, 100, 5), "a/x": group}
        self.tell("a", views)
        self.assertEqual(self.observations.assess(S, "abc").failing_groups, ["a/x"])

    def test_a_digest_is_bounded(self):
        one = {n: LocationObservation(1, n) for n in range(60)}
        many = {f"z{n}": one[n] for n in range(60)} | {f"z{n}/k": one[n] for n in range(60)}
        kept = limit_locations(many)
        self.assertEqual(len(kept), MAX_LOCATIONS)
        self.assertFalse(any("/" in place for place in kept))


def solved(room: dict, demand: dict, links: dict | None = None) -> Allocation:
    return allocate(ZONING, room, {}, demand, links or {})


class Solving(unittest.TestCase):
    def test_local_first_then_the_own_region_then_beyond(self):
        flow = solved({"a": 50, "b": 20, "c": 60}, {("a", "any"): 100})
        self.assertEqual(flow.flows, {("a", "any", "a"): 50, ("a", "any", "b"): 20, ("a", "any", "c"): 30})
        self.assertEqual(flow.unserved, {})

    def test_what_may_not_leave_its_region_stays_even_unserved(self):
        flow = solved({"a": 10, "b": 10, "c": 90}, {("a", "region"): 50, ("a", "zone"): 5})
        self.assertEqual(flow.load(), {"a": 10, "b": 10})
        self.assertEqual(flow.unserved, {("a", "region"): 35})

    def test_the_strictest_are_served_first_so_that_most_is_served(self):
        flow = solved({"a": 10, "b": 0, "c": 10}, {("a", "any"): 10, ("a", "zone"): 10})
        self.assertEqual(flow.unserved, {})

    def test_no_receiver_gets_more_than_its_room(self):
        room = {"a": 0, "b": 30, "c": 30}
        flow = solved(room, {("a", "any"): 100, ("b", "any"): 10, ("c", "any"): 10})
        self.assertTrue(all(slots <= room[zone] for zone, slots in flow.load().items()))
        self.assertGreaterEqual(sum(flow.flows.values()), 59)

    def test_a_link_that_is_gone_carries_nothing_and_others_make_room(self):
        room, demand = {"a": 0, "b": 30, "c": 30}, {("a", "any"): 25, ("b", "any"): 25}
        flow = solved(room, demand, {"a>c": "gone"})
        self.assertNotIn(("a", "any", "c"), flow.flows)
        self.assertEqual(flow.unserved, {})

    def test_a_thin_link_is_used_last(self):
        flow = solved({"a": 0, "b": 30, "c": 30}, {("a", "any"): 20}, {"a>b": "thin"})
        self.assertEqual(flow.flows, {("a", "any", "c"): 20})

    def test_news_that_differ_little_make_plans_that_differ_little(self):
        room = {"a": 0, "b": 40_000, "c": 40_000}
        before = solved(room, {("a", "any"): 30_000, ("b", "any"): 20_000}).flows
        after = solved(room, {("a", "any"): 30_300, ("b", "any"): 20_200}).flows
        for key in before.keys() | after.keys():
            self.assertLess(abs(before.get(key, 0) - after.get(key, 0)), 600, key)


class Planned(unittest.TestCase, AppliedCommands):
    """Entries are applied to a world, as every keeper does."""

    limits: tuple[Limit, ...] = (Limit("zone", "fleet", most=1),)

    def setUp(self):
        AppliedCommands.__init__(self, ClusterState("c", limits=list(self.limits)))
        self.ids = 0
        self.request(commands.SetZones, ZONING)
        self.news()

    def request(self, kind, *fields) -> RequestOutcome:
        self.ids += 1
        return self.apply(kind(self.now, "op", str(self.ids), *fields))

    def news(self, demand: int = 15_000, links: dict | None = None, **verdicts: str) -> None:
        found = {}
        for zone in "abc":
            verdict = verdicts.get(zone, "well")
            fails = 333 if verdict == "ill" else 0
            found[zone] = ZoneAssessment(verdict, 36_000, 10_000, fails, 0, {"any": demand}, 3)
        self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(found, links or {})))

    def state(self, zone: str = "a") -> str:
        return self.world.zones[zone].status

    def share(self, source: str, target: str) -> int:
        return self.world.traffic.weights[source]["any"].get(target, 0)


class States(Planned):
    def test_calm_stays_at_home(self):
        self.assertEqual(self.world.traffic.weights["a"]["any"], {"a": 1000})

    def test_a_lost_zone_is_left_at_once_and_comes_back_in_steps_after_its_dwell(self):
        self.news(a="lost")
        self.assertEqual(self.state(), "open", "one look is not believed yet")
        self.pass_time(zone_status.LOST_AFTER_US)
        self.assertEqual((self.state(), self.share("a", "a")), ("lost", PROBE_WEIGHT))
        self.pass_time(5 * S)
        self.news()
        self.pass_time(zone_status.DWELL_US - 1)
        self.assertEqual(self.state(), "lost")
        self.pass_time(2 * S)
        self.assertEqual(self.state(), "returning")
        part = self.share("a", "a")
        self.assertLess(part, 900)
        self.pass_time(11 * S)
        self.assertEqual((self.state(), self.share("a", "a")), ("open", 1000))

    def test_a_zone_that_comes_and_goes_is_believed_later_each_time(self):
        changes = []
        for _ in range(20):
            self.news(a="lost")
            self.pass_time(3 * S)
            self.news()
            self.pass_time(3 * S)
            changes.append(self.world.zones["a"].status_changes)
        self.assertLessEqual(changes[-1], 2, "3 s of being well never last a dwell")
        self.pass_time(zone_status.DWELL_US + 12 * S)
        self.assertEqual(self.state(), "open")
        self.news(a="lost")
        self.pass_time(3 * S)
        self.assertEqual(zone_status.dwell_us(self.world, self.world.zones["a"]), 2 * zone_status.DWELL_US)

    def test_zones_that_seem_lost_in_numbers_are_not_believed(self):
        self.news(a="lost", b="lost")
        self.pass_time(5 * S)
        self.assertEqual((self.state("a"), self.state("b")), ("open", "open"))
        self.assertIn("2 of 3 zones", self.world.traffic.distrust_reason)
        self.assertTrue(self.request(commands.ControlZone, "lost", "a", 0, "its power is out").ok)
        self.assertEqual(self.state("a"), "lost")

    def test_a_gray_zone_is_a_last_resort(self):
        self.news(a="ill")
        self.pass_time(zone_status.FAILING_AFTER_US + 6 * S)
        self.assertEqual((self.state(), self.share("a", "a")), ("ill", PROBE_WEIGHT))
        self.news(demand=40_000, a="ill")
        self.pass_time(10 * S)
        self.assertGreater(self.share("a", "a"), 100, "worse than well, better than refused")

    def test_only_the_pair_of_a_bad_link_changes(self):
        self.news(demand=34_000)
        self.pass_time(10 * S)
        before = {source: dict(self.world.traffic.weights[source]["any"]) for source in "abc"}
        self.news(demand=34_000, links={"a>b": "gone"})
        self.pass_time(10 * S)
        self.assertEqual(self.world.traffic.weights["c"]["any"], before["c"])
        self.assertEqual({zone.status for zone in self.world.zones.values()}, {"open"})
        self.assertEqual(self.share("a", "b"), 0)

    def test_shares_move_in_bounded_steps_where_nothing_is_lost(self):
        self.news(demand=15_000)
        wants = {"a": 60_000, "b": 5000, "c": 5000}
        found = {z: ZoneAssessment("well", 36_000, 0, 0, 0, {"any": want}, 3) for z, want in wants.items()}
        self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(found)))
        shares = []
        for _ in range(6):
            self.pass_time(rollout.MOVE_INTERVAL_US)
            shares.append(self.share("a", "a"))
        self.assertTrue(all(0 <= a - b <= 201 for a, b in zip(shares, shares[1:], strict=False)), shares)

    def test_slots_that_are_claimed_and_not_there_are_believed_less(self):
        demand = {"any": 20_000}
        late = {z: ZoneAssessment("well", 36_000, 0, 0, 900 * (z == "b"), demand, 3) for z in "abc"}
        for _ in range(3):
            self.apply(commands.RecordZoneEvidence(self.now, ClusterAssessment(late)))
            self.pass_time(3 * S)
        self.assertLess(self.world.zones["b"].trust, 1000)
        self.assertEqual(self.world.zones["a"].trust, 1000)
        self.assertLess(self.share("b", "b"), 1000)

    def test_the_plan_for_a_loss_stands_before_it_and_keeps_to_the_room_beside_the_others(self):
        rows = self.world.traffic.fallback_weights["a"]
        self.assertEqual(list(rows), ["a"], "only those that send there notice")
        demand = {("a", "any"): 15_000, ("b", "any"): 15_000, ("c", "any"): 15_000}
        load = expected_load(self.world.traffic.weights | {"a": rows["a"]}, demand)
        self.assertTrue(all(load.get(z, 0) <= 32_400 for z in "bc"), load)

    def test_what_is_agreed_outlives_a_snapshot(self):
        self.news(a="lost")
        self.pass_time(2 * S)
        self.assertEqual(
            encode_snapshot(decode_snapshot(encode_snapshot(self.world))), encode_snapshot(self.world)
        )
        other = decode_snapshot(encode_snapshot(self.world))
        command = dispatch.encode(commands.AdvanceTime(self.now + 30 * S))
        dispatch.apply(other, 99, command)
        dispatch.apply(self.world, 99, command)
        self.assertEqual(encode_snapshot(other), encode_snapshot(self.world))


class OperatorsActs(Planned):
    def test_an_evacuation_goes_under_a_permit_in_steps_and_back(self):
        self.news(demand=8_000)
        self.assertTrue(self.request(commands.ControlZone, "leave", "a", 10 * S, "works").ok)
        self.pass_time(5 * S)
        self.assertEqual(self.state(), "leaving")
        self.assertTrue(300 < self.share("a", "a") <= 1000)
        self.pass_time(15 * S)
        self.assertEqual((self.state(), self.share("a", "a")), ("out", 0))
        second = self.request(commands.ControlZone, "leave", "b", S, "too")
        self.assertEqual(self.world.permits[second.created_ids[0]].state, "waiting", "one zone at once")
        self.assertTrue(self.request(commands.ControlZone, "stay", "a", 0, "done").ok)
        self.pass_time(30 * S)
        self.assertEqual((self.state("a"), self.state("b")), ("open", "out"))

    def test_one_that_the_others_would_not_bear_is_refused_with_how_much_is_missing(self):
        self.news(demand=30_000)
        done = self.request(commands.ControlZone, "leave", "a", S, "works")
        self.assertFalse(done.ok)
        self.assertRegex(done.text, r"would not bear it: [\d.]+ slots")

    def test_one_is_halted_when_the_others_bear_it_no_longer_and_goes_on_by_itself(self):
        self.request(commands.ControlZone, "leave", "a", 20 * S, "works")
        self.pass_time(5 * S)
        self.news(demand=31_000)
        self.pass_time(20 * S)
        self.assertEqual(self.state(), "leaving")
        self.assertIn("missing", self.world.zones["a"].halt_reason)
        self.news(demand=12_000)
        self.pass_time(20 * S)
        self.assertEqual((self.state(), self.world.zones["a"].halt_reason), ("out", ""))

    def test_a_lost_zone_uses_up_the_limit(self):
        self.news(b="lost")
        self.pass_time(2 * S)
        done = self.request(commands.ControlZone, "leave", "a", S, "works")
        waiting = [p.state for p in self.world.permits.values()]
        self.assertTrue(not done.ok or waiting == ["waiting"], (done, waiting))

    def test_frozen_nothing_moves_by_itself_and_pinned_a_zone_does_not(self):
        self.request(commands.ControlZone, "freeze", "", 0, "looking")
        self.news(a="lost")
        self.pass_time(5 * S)
        self.assertEqual((self.state(), self.share("a", "a")), ("open", 1000))
        self.assertFalse(self.request(commands.ControlZone, "leave", "b", S, "works").ok)
        self.request(commands.ControlZone, "pin", "a", 0, "known")
        self.request(commands.ControlZone, "thaw")
        self.pass_time(5 * S)
        self.assertEqual(self.state(), "open")
        self.request(commands.ControlZone, "unpin", "a")
        self.pass_time(2 * S)
        self.assertEqual(self.state(), "lost")

    def test_what_if_tells_loads_and_what_is_missing(self):
        found = reports.forecast_loss(self.world, "a")
        self.assertEqual((found.zones["a"].then, found.missing_slots), (0, 0))
        with self.assertRaisesRegex(UnknownZoneError, "no zone 'nowhere'"):
            reports.forecast_loss(self.world, "nowhere")

    def test_a_shut_zone_is_drained_when_every_node_has_said_so(self):
        member = Member("node", "n1", "1", "b")
        self.world.members[member.key] = member
        permit = self.world.permits[
            self.request(commands.ControlZone, "leave", "a", S, "works").created_ids[0]
        ]
        self.pass_time(5 * S)
        way = reports.route_weights(self.world, "b")
        self.assertEqual((way.closed_zones, permit.drained_at), ({"a": permit.epoch}, 0))
        self.apply(commands.ConfirmDrained(self.now, member.key, {"a": permit.epoch}))
        self.assertGreater(permit.drained_at, 0)


def way(epoch: int = 5, **more) -> RouteWeights:
    reach = {"any": ["a", "b", "c"], "region": ["a", "b"], "zone": ["a"]}
    shares = {"any": {"a": 700, "b": 300}, "region": {"a": 900, "b": 100}, "zone": {"a": 1000}}
    standing = {"a": {"any": {"b": 400, "c": 600}, "region": {"b": 1000}}, "b": {"any": {"a": 800, "c": 200}}}
    return RouteWeights(epoch, "a", reach, shares, standing, **more)


class Following(unittest.TestCase):
    def setUp(self):
        self.follower = PlanFollower()
        self.follower.accept_plan(way())

    def test_as_it_is_told(self):
        use = self.follower.decide(S, {})
        self.assertEqual((use.weights["any"], use.unreachable_zones), ({"a": 700, "b": 300}, ()))

    def test_an_older_plan_never_replaces_a_newer_one(self):
        self.assertFalse(self.follower.accept_plan(way(4)))
        self.assertEqual(self.follower.decide(S, {}).epoch, 5)

    def test_a_zone_that_is_not_reached_is_reported_and_its_standing_plan_holds(self):
        use = self.follower.decide(S, {"a": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual((use.unreachable_zones, use.weights["any"]), (("a",), {"b": 400, "c": 600}))
        again = self.follower.decide(2 * S, {})
        self.assertEqual(again.weights, use.weights, "held, though nothing more is tried")

    def test_it_comes_back_in_steps_and_is_held_longer_the_next_time(self):
        self.follower.decide(S, {"b": LocationObservation(attempts=9, unreached=9)})
        half = self.follower.decide(S + EXCLUSION_US + RAMP_US // 2, {})
        self.assertEqual((half.weights["any"]["a"], half.unreachable_zones), (750, ()))
        at = S + EXCLUSION_US + RAMP_US
        self.assertEqual(self.follower.decide(at, {}).weights["any"]["a"], 700)
        self.follower.decide(at, {"b": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual(self.follower.exclusions["b"].until, at + 2 * EXCLUSION_US)

    def test_attempts_in_a_row_that_never_arrive_say_so_at_once(self):
        sights = ObservationLog(0)
        for n in range(40):
            sights.record_attempt(n * 50_000, ("a",), False, False, n >= 34)
        seen = sights.observations(2 * S, {"a": LocationEstimate(9, 36_000, 0)})
        self.assertLess(2 * seen["a"].unreached, seen["a"].attempts, "by their share they are few")
        use = self.follower.decide(2 * S, seen, (), sights.unreached_streaks)
        self.assertEqual(use.unreachable_zones, ("a",))

    def test_few_tries_say_nothing(self):
        use = self.follower.decide(S, {"a": LocationObservation(attempts=3, unreached=3)})
        self.assertEqual(use.unreachable_zones, ())

    def test_nothing_goes_where_no_agreed_row_leads(self):
        gone = {zone: LocationObservation(attempts=9, unreached=9) for zone in "bc"}
        use = self.follower.decide(S, gone)
        self.assertEqual(use.weights["any"], {"a": 1000})

    def test_a_shut_zone_gets_nothing_whatever_is_lost(self):
        self.follower.accept_plan(way(6, closed_zones={"b": 9}))
        use = self.follower.decide(S, {"a": LocationObservation(attempts=9, unreached=9)})
        self.assertEqual((use.closed_zones, use.weights["any"]), (("b",), {"c": 600, "a": 400}))

    def test_a_zone_of_which_nobody_is_listed_is_not_reached(self):
        use = self.follower.decide(S, {}, {"b"})
        self.assertEqual((use.weights["any"], use.unreachable_zones), ({"a": 800, "c": 200}, ("b",)))


class Observation(unittest.TestCase):
    def test_counts_of_the_last_seconds_and_demand(self):
        sights = ObservationLog(0)
        for n in range(30):
            sights.record_attempt(n * 100_000, ("a", "a/k"), n % 3 == 0, False, n % 10 == 0)
            sights.record_demand(n * 100_000, "any", 200_000)
        found = sights.observations(2_900_000, {"a": LocationEstimate(3, 12_000, 4000)})["a"]
        self.assertEqual((found.attempts, found.failed, found.unreached, found.age_us), (30, 10, 3, 0))
        self.assertAlmostEqual(sights.demand(2_900_000)["any"], 2000, delta=150)
        self.assertEqual(sights.observations(9_000_000, {"a": LocationEstimate(3, 1, 1)})["a"].attempts, 0)
        first, second = (sights.make_digest(9 * S, "a", {}, 0, (), False) for _ in range(2))
        self.assertEqual((first.sequence, second.sequence), (1, 2))


class Module(unittest.TestCase):
    """The plan as the module takes it."""

    def setUp(self):
        job = api.RequestClass("j", worth=1.0, aim_us=200_000, deadline_us=2 * S, effect=api.Effect.SAFE)
        self.balancer = Balancer(
            api.Settings(
                instances=1,
                zone=0,
                classes=(job,),
                cold_us=0,
                cold_share=1.0,
                fall_multiple=3.0,
                overload_window_us=S,
                max_attempts=3,
            ),
            seed=1,
        )
        entries = [api.EndpointEntry(n, api.ExecutorState.READY, zone=n % 2) for n in range(8)]
        self.balancer.handle(0, api.EndpointList(api.EndpointListKind.CACHED, entries))

    def sent(self, count: int, allowed_zones: tuple[int, ...] = ()) -> list[int]:
        zones_ = []
        for number in range(count):
            job = api.RequestArrived(number, 0, 2 * S, allowed_zones=allowed_zones)
            for action in self.balancer.handle(1000 + number * 10_000, job):
                zones_ += [action.executor % 2] if isinstance(action, api.Send) else []
            worker = (
                self.balancer.requests[number].attempts[0].executor.id
                if number in self.balancer.requests
                else 0
            )
            ended = api.AttemptEnded(number, 0, worker, api.Outcome.OK, True)
            self.balancer.handle(6000 + number * 10_000, ended)
        return zones_

    def test_shares_are_kept_to(self):
        self.balancer.handle(1, api.ZoneShares({(): {0: 0.3, 1: 0.7}}))
        self.assertAlmostEqual(self.sent(400).count(0) / 400, 0.3, delta=0.08)

    def test_without_a_plan_it_stays_near(self):
        self.assertEqual(set(self.sent(50)), {0})

    def test_a_request_that_may_not_leave_is_refused_rather_than_sent_away(self):
        self.balancer.handle(1, api.ZoneShares({(): {1: 1.0}, (0,): {0: 1.0}}))
        self.assertEqual(set(self.sent(30, (0,))), {0})
        gone = [api.EndpointEntry(n, api.ExecutorState.GONE, zone=0) for n in range(0, 8, 2)]
        self.balancer.handle(2 * S, api.EndpointList(api.EndpointListKind.DELTA, gone))
        actions = self.balancer.handle(2 * S + 1, api.RequestArrived(999, 0, 2 * S, allowed_zones=(0,)))
        self.assertEqual([type(action) for action in actions], [api.Refuse])
