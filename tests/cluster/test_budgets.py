"""Budgets of the fleet in slices: what is leased never passes what there is; a holder's leases."""

import random
import re
import tempfile
import unittest
from pathlib import Path

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.controller import threshold_for, threshold_of
from cedarmill.cluster.admission_level.gate import FADE_US, AdmissionGate
from cedarmill.cluster.admission_level.state import STEP_US, LoadReport, SheddingThreshold
from cedarmill.cluster.budget_grants import Budget, BudgetGrant, divide, granted_rate, rates_for
from cedarmill.cluster.budget_lease import BudgetLease, BudgetLeases, RetryBudget
from cedarmill.cluster.gossip_plan import MAX_AGE_S, ExecutorReport, GossipPlan, ReportBoard
from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.state import ClusterState, Member, RequestOutcome, decode_snapshot, encode_snapshot
from cedarmill.cluster.state_machine import commands, dispatch
from cedarmill.cluster.traffic_plan.similarity import are_similar
from cedarmill.decisions import interface as api
from cedarmill.lab.cluster.invariants import check_invariants
from cedarmill.lab.cluster.run import play as run_fleet
from cedarmill.lab.cluster.scenario import read
from cedarmill.lab.simulation.overload import mutants as overload_mutants
from cedarmill.lab.simulation.overload.results import INVARIANTS as OVERLOAD_INVARIANTS
from cedarmill.lab.simulation.overload.results import violations
from cedarmill.lab.simulation.overload.simulation import play
from tests.support.builders import Driver, send_actions

S = 1_000_000
PROBES = Budget("probes", 100_000, 10)


class Dividing(unittest.TestCase):
    def test_even_parts_and_what_one_leaves_goes_to_the_others(self):
        self.assertEqual(divide(PROBES, {"a": 10_000, "b": 50_000, "c": 90_000}),
                         {"a": 10_000, "b": 35_000, "c": 35_000})  # fmt: skip

    def test_floors_stay_within_their_part(self):
        self.assertLessEqual(PROBES.floor * PROBES.nodes + PROBES.grantable, PROBES.rate)


class Dealing(unittest.TestCase):
    def setUp(self):
        self.world, self.index, self.ids = ClusterState("c"), 0, 0
        for name in "abc":
            member = Member("node", name, "1")
            self.world.members[member.key] = member
        self.request(commands.SetBudgets, (PROBES,))

    def apply(self, command: commands.Command) -> RequestOutcome:
        self.index += 1
        done = dispatch.apply(self.world, self.index, dispatch.encode(command))
        self.assertLessEqual(granted_rate(self.world.budget_grants["probes"]), PROBES.grantable)
        return done

    def request(self, kind, *fields) -> RequestOutcome:
        self.ids += 1
        self.index += 1
        command = kind(S, "op", str(self.ids), *fields)
        return dispatch.apply(self.world, self.index, dispatch.encode(command))

    def wants(self, name: str, rate: int, life: str = "1") -> None:
        self.apply(commands.SetBudgetDemand(S, f"node:{name}:{life}", {"probes": rate}))

    def follows(self, name: str) -> None:
        self.apply(commands.AcknowledgeOrders(S, f"node:{name}:1", self.world.orders_epoch))

    def rates(self) -> dict[str, int]:
        return {key.split(":")[1]: one.rate for key, one in self.world.budget_grants["probes"].items()}

    def test_a_slice_made_smaller_counts_till_its_holder_follows(self):
        self.wants("a", 80_000)
        self.assertEqual(self.rates(), {"a": 80_000})
        self.wants("b", 80_000)
        self.assertEqual(self.rates(), {"a": 40_000, "b": 0}, "what a may still spend is not given twice")
        self.follows("a")
        self.assertEqual(self.rates(), {"a": 40_000, "b": 40_000})

    def test_a_silent_holder_counts_till_its_lease_has_passed(self):
        self.wants("a", 80_000)
        self.wants("b", 80_000)
        self.assertEqual(self.rates()["b"], 0)
        self.apply(commands.ExpireSessions(S, ("node:a:1",)))
        self.assertEqual(self.rates(), {"b": 80_000})

    def test_one_that_comes_back_is_told_that_it_has_nothing_before_its_lease_holds(self):
        self.wants("a", 80_000)
        told = self.world.orders_epoch
        self.apply(commands.ExpireSessions(S, ("node:a:1",)))
        self.apply(commands.RestoreSession(S, "node:a:1"))
        self.assertGreater(self.world.orders_epoch, told)
        self.assertEqual(rates_for(self.world, "node:a:1")["probes"], (0, PROBES.floor))

    def test_a_new_life_gets_nothing_of_what_the_old_one_may_still_spend(self):
        self.wants("a", 80_000)
        member = Member("node", "a", "2")
        self.world.members[member.key] = member
        self.wants("a", 80_000, "2")
        self.assertEqual(self.world.budget_grants["probes"]["node:a:2"].rate, 0)
        self.apply(commands.EndMember(S, "node:a:1", "its steward"))
        self.assertEqual(self.world.budget_grants["probes"]["node:a:2"].rate, 80_000)

    def test_a_smaller_budget_takes_back_as_holders_follow(self):
        self.wants("a", 80_000)
        self.request(commands.SetBudgets, (Budget("probes", 50_000, 10),))
        one = self.world.budget_grants["probes"]["node:a:1"]
        self.assertEqual((one.rate, one.counted_rate), (40_000, 80_000))
        self.assertFalse(self.request(commands.SetBudgets, (PROBES, PROBES)).ok)

    def test_nothing_is_dealt_before_leases_of_an_older_state_have_passed(self):
        self.world.budgets_dealt_from = 5 * S
        self.wants("a", 80_000)
        self.assertEqual(self.rates(), {"a": 0})

    def test_any_order_of_wants_follows_and_lapses_keeps_the_sum(self):
        generator = random.Random(3)
        for _ in range(2000):
            name = generator.choice("abc")
            key = f"node:{name}:1"
            what = generator.randrange(5)
            if what < 2:
                self.wants(name, generator.randrange(120_000))
            elif what == 2:
                self.apply(
                    commands.AcknowledgeOrders(
                        S, key, generator.choice((self.world.orders_epoch, self.world.orders_epoch - 3))
                    )
                )
            elif what == 3:
                self.apply(commands.ExpireSessions(S, (key,)))
            else:
                self.apply(commands.RestoreSession(S, key))
        self.assertEqual(
            encode_snapshot(decode_snapshot(encode_snapshot(self.world))), encode_snapshot(self.world)
        )
        self.assertTrue(
            all(isinstance(one, BudgetGrant) for one in self.world.budget_grants["probes"].values())
        )


class Spending(unittest.TestCase):
    """One holder: what it spends in ten seconds, asked every millisecond."""

    def spent(self, leases: BudgetLease, first: int, seconds: float, holds: bool) -> int:
        return sum(leases.spend(first + n * 1000, holds) for n in range(int(seconds * 1000)))

    def test_at_its_rate_while_the_lease_holds_and_its_floor_after(self):
        leases = BudgetLease(0)
        leases.set_rates(0, True, 20_000, 500)
        self.assertAlmostEqual(self.spent(leases, 0, 10, True), 200, delta=6)
        self.assertAlmostEqual(self.spent(leases, 10 * S, 10, False), 5, delta=2)

    def test_what_was_saved_is_not_spent_after_a_lapse_nor_after_standing_still(self):
        leases = BudgetLease(0)
        leases.set_rates(0, True, 50_000, 0)
        leases.spend(0, True)
        self.assertEqual(self.spent(leases, 10 * S, 5, False), 0)

    def test_small_rates_are_not_lost_to_rounding(self):
        leases = BudgetLease(0)
        leases.set_rates(0, False, 0, 300)
        self.assertAlmostEqual(self.spent(leases, 0, 100, False), 30, delta=2)

    def test_what_is_wanted_is_what_was_asked_for(self):
        purses = BudgetLeases()
        self.assertFalse(purses.spend(0, True, "probes"), "a life that has heard nothing spends nothing")
        purses.set_rates(0, True, {"probes": (1000, 100)})
        for n in range(1000):
            purses.spend(n * 4000, True, "probes")
        self.assertAlmostEqual(purses.demands(4 * S)["probes"], 300_000, delta=2000)
        self.assertTrue(purses.spend(0, False, "unbound"), "a budget that nobody has set binds nobody")
        purses.set_rates(0, True, {})
        self.assertEqual(purses.by_name, {})


class Admitting(unittest.TestCase):
    """The level: what is worth least is refused first, in bounded steps, by evidence of lateness."""

    def setUp(self):
        self.world = ClusterState("c")

    def step(
        self, wants: dict[int, int], late: int, room: int = 100_000, steps: int = 1
    ) -> SheddingThreshold:
        for _ in range(steps):
            self.world.clock += STEP_US
            controller.advance(self.world, wants, LoadReport(room, late))
        return self.world.admission.threshold

    def test_the_least_worth_first_and_of_one_worth_a_part(self):
        wants = {1000: 40_000, 3000: 30_000, 5000: 30_000}
        self.assertEqual(threshold_for(wants, 0), SheddingThreshold())
        self.assertEqual(threshold_for(wants, 20_000), SheddingThreshold(1000, 500))
        self.assertEqual(threshold_for(wants, 55_000), SheddingThreshold(3000, 500))
        self.assertEqual(threshold_for(wants, 200_000), SheddingThreshold(5000, 1000))

    def test_more_than_there_is_but_nothing_late_cuts_nothing(self):
        self.assertEqual(self.step({1000: 300_000}, 0, steps=10), SheddingThreshold())

    def test_it_moves_in_bounded_steps_and_ends_when_nothing_is_too_much(self):
        first = self.step({1000: 300_000, 5000: 100_000}, 900)
        three_quarters = SheddingThreshold(1000, 1000)
        self.assertEqual(first, three_quarters, "half a second moves three quarters of what is wanted")
        second = self.step({1000: 300_000, 5000: 100_000}, 900)
        self.assertEqual(second.weight, 5000, "late: what waits drains")
        self.assertEqual(self.step({1000: 20_000, 5000: 20_000}, 0, steps=12), SheddingThreshold())

    def test_late_though_what_is_admitted_fits_is_cut_deep_once_and_said(self):
        cut = self.step({1000: 50_000, 5000: 50_000}, 900, steps=8)
        self.assertEqual(cut.weight, 5000)
        self.assertIn("deep cut", self.world.log[-1])
        self.assertEqual(self.step({1000: 50_000, 5000: 50_000}, 0, steps=12), SheddingThreshold())

    def test_a_cut_by_hand_holds_till_its_end_and_takes_a_reason(self):
        bad = commands.OverrideAdmission(0, "op", "1", 3000, 0, 5 * S, "")
        self.assertFalse(dispatch.apply(self.world, 1, dispatch.encode(bad)).ok)
        good = commands.OverrideAdmission(0, "op", "2", 3000, 0, 5 * S, "a storm is coming")
        self.assertTrue(dispatch.apply(self.world, 2, dispatch.encode(good)).ok)
        self.assertEqual(self.step({1000: 1000}, 0), SheddingThreshold(3000, 0))
        self.assertEqual(self.step({1000: 1000}, 0, steps=10), SheddingThreshold())

    def test_a_node_obeys_while_its_lease_holds_and_less_and_less_after(self):
        gate = AdmissionGate()
        gate.set_thresholds(SheddingThreshold(3000, 250))
        self.assertTrue(gate.rejects(0, True, 1000, 0.99))
        self.assertEqual([gate.rejects(0, True, 3000, n / 4) for n in range(4)], [True, False, False, False])
        self.assertFalse(gate.rejects(0, True, 5000, 0.0))
        self.assertTrue(gate.rejects(S, False, 1000, 0.5))
        self.assertFalse(gate.rejects(S + FADE_US // 2, False, 1000, 0.6))
        self.assertFalse(gate.rejects(S + FADE_US, False, 1000, 0.0))

    def test_requests_that_may_not_leave_their_zone_are_cut_where_these_alone_find_no_room(self):
        for late in (900, 900, 900):
            self.world.clock += STEP_US
            controller.advance_scope(self.world, "a/zone", {1000: 40_000, 5000: 20_000}, 40_000, late)
        self.assertEqual(threshold_of(self.world, "a", "zone").weight, 1000)
        self.assertEqual(threshold_of(self.world, "a", "any"), SheddingThreshold())
        self.assertEqual(threshold_of(self.world, "b", "zone"), SheddingThreshold())
        for _ in range(12):
            self.world.clock += STEP_US
            controller.advance_scope(self.world, "a/zone", {1000: 10_000}, 10_000, 0)
        self.assertEqual(self.world.scoped_admission, {})

    def test_one_that_tells_more_than_is_wanted_leaves_slots_idle_and_the_cut_gives_way(self):
        wants = {1000: 2_000_000, 5000: 40_000}
        self.step(wants, 900)
        for _ in range(30):
            self.world.clock += STEP_US
            controller.advance(self.world, wants, LoadReport(100_000, 0, 30_000))
        self.assertEqual(self.world.admission.threshold, SheddingThreshold())


class Queueing(unittest.TestCase):
    """The level by how long a job in the fleet takes now: late ends tell of what came seconds ago."""

    WANTS = {1000: 150_000, 5000: 150_000}

    def setUp(self):
        self.world = ClusterState("c")

    def fills(self, queue: int, late: int = 600, busy: int = 60_000, turned: int = 0,
              steps: int = 1) -> list[int]:  # fmt: skip
        found = []
        for _ in range(steps):
            self.world.clock += STEP_US
            report = LoadReport(100_000, late, busy, 0, queue, turned)
            controller.advance(self.world, self.WANTS, report)
            found.append(self.world.admission.fill_share)
        return found

    def test_less_while_it_takes_too_long_no_less_once_that_falls_and_more_when_it_is_short(self):
        down = self.fills(2000, steps=4)
        self.assertEqual(down, sorted(down, reverse=True))
        self.assertLess(down[-1], 850)
        self.assertEqual(self.fills(1600), down[-1:], "the queue drains, whatever ends late")
        self.assertEqual(self.fills(900), down[-1:])
        up = self.fills(500, steps=4)
        self.assertGreater(up[-1], 1000, "though jobs that came before still end late")

    def test_more_only_slowly_where_no_slot_is_idle(self):
        self.fills(2000, steps=4)
        before = self.world.admission.fill_share
        self.assertLess(self.fills(500, late=100, busy=95_000)[0], before * 105 // 100)

    def test_own_sight_that_refuses_a_fifth_asks_for_less_and_a_seventh_for_no_more(self):
        self.fills(2000)
        before = self.world.admission.fill_share
        self.assertEqual(self.fills(500, turned=160), [before])
        self.assertLess(self.fills(500, turned=300)[0], before)

    def test_own_sight_alone_does_not_hold_back_what_finds_no_queue(self):
        down = self.fills(2000, steps=3)[-1]
        self.assertGreater(self.fills(300, turned=400)[0], down)

    def test_by_the_same_news_nothing_is_moved_twice(self):
        found = []
        for seen in (1, 1, 1, 2):
            self.world.clock += STEP_US
            report = LoadReport(100_000, 600, 60_000, 0, 2000, 0)
            controller.advance(self.world, self.WANTS, report, seen)
            found.append(self.world.admission.fill_share)
        self.assertEqual(found[:3], found[:1] * 3, "observers are silent: nothing new was said")
        self.assertLess(found[3], found[2])

    def test_jobs_that_are_late_in_short_queues_are_no_storm(self):
        self.fills(600, late=900, steps=12)
        self.assertEqual(self.world.log, [])


class Telling(unittest.TestCase):
    """What is proposed anew, and what swings by chance."""

    def news(self, *rows: tuple[int, int], out: int = 40_000) -> ClusterAssessment:
        worths = {"any": dict(rows)}
        demand = {"any": 40_000}
        one = ZoneAssessment("well", 50_000, demand=demand, demand_by_weight=worths, slots_occupied=out)
        return ClusterAssessment({"a": one})

    def test_parts_by_worth_and_slots_in_use_swing_without_a_new_entry(self):
        first = self.news((1000, 20_000), (5000, 20_000))
        self.assertTrue(are_similar(first, self.news((1000, 22_000), (5000, 18_000), out=46_000)))
        self.assertFalse(are_similar(first, self.news((1000, 30_000), (5000, 10_000))))
        self.assertFalse(are_similar(first, self.news((1000, 20_000), (5000, 20_000), out=80_000)))


class Trying(unittest.TestCase):
    """Tries beyond the first, and a tenant's quota: what is kept for whom."""

    def test_tries_are_a_tenth_of_first_tries_however_long_it_was_quiet(self):
        tries = RetryBudget()
        self.assertEqual(sum(tries.spend(0) for _ in range(50)), 10)
        self.assertEqual(sum(tries.spend(1000) for _ in range(50)), 10, "no more than so many are saved")
        self.assertEqual(sum(tries.spend(1000 + n) for n in range(501)), 50)

    def test_what_is_worth_more_finds_room_in_a_quota_that_is_used_up(self):
        purses = BudgetLeases()
        purses.set_rates(0, True, {"tenant:a": (10_000, 0)})
        low = sum(purses.spend(n * 10_000, True, "tenant:a", 800) for n in range(300))
        high = sum(purses.spend(3 * S + n * 1000, True, "tenant:a", 0) for n in range(10))
        self.assertGreater(low, 20)
        self.assertGreaterEqual(high, 3)

    def test_the_module_tries_no_more_once_the_fleet_says_no(self):
        driver = Driver(tells_start=False)
        driver.report(1, 4.0)
        driver.report(2, 4.0)
        sent = send_actions(driver.arrive(0))[0]
        ended = api.AttemptEnded(sent.request, 0, sent.executor, api.Outcome.RESET, False, max_attempts=1)
        self.assertEqual(send_actions(driver.feed(ended)), [])
        self.assertNotIn(sent.request, driver.balancer.requests)


class Sharing(unittest.TestCase):
    """News of executors between nodes."""

    def test_each_executor_has_its_users_and_a_node_that_goes_moves_only_its_own(self):
        nodes, executors = [f"n{n}" for n in range(40)], [f"e{n}" for n in range(100)]
        draw = GossipPlan()
        draw.update(nodes, executors)
        before = dict(draw.users)
        self.assertTrue(draw.update(nodes[1:], executors))
        after = draw.users
        self.assertEqual({len(by) for by in before.values()}, {4})
        moved = [one for one in executors if before[one] != after[one]]
        self.assertEqual(moved, [one for one in executors if "n0" in before[one]])
        self.assertTrue(all(len(draw.executors_of(node)) >= 6 for node in nodes))
        draw.update(nodes, executors[1:])
        draw.update(nodes, executors)
        self.assertEqual(draw.users, before, "whatever came and went between")
        self.assertFalse(draw.update(nodes, executors))

    def test_a_node_with_much_of_the_traffic_uses_more_and_keeps_what_it_used(self):
        nodes, executors = [f"n{n}" for n in range(40)], [f"e{n}" for n in range(100)]
        draw = GossipPlan()
        draw.update(nodes, executors)
        even, much = draw.executors_of("n7", 1 / 40), draw.executors_of("n7", 0.2)
        self.assertEqual(even, draw.executors_of("n7"))
        self.assertGreaterEqual(len(much), 80)
        self.assertLessEqual(set(even), set(much))
        self.assertEqual(much, draw.executors_of("n7", 0.19), msg="in steps")

    def test_older_news_never_replace_newer_ones_and_own_sends_count_since(self):
        board = ReportBoard()
        self.assertTrue(board.accept(ExecutorReport("e", 2.0, 3, 4)))
        self.assertFalse(board.accept(ExecutorReport("e", 1.0, 0, 4)))
        board.on_sent("e")
        self.assertAlmostEqual(board.estimated_load("e", 2.0, 1), 4.0)
        self.assertAlmostEqual(board.estimated_load("e", 2.0, 3), 6.0, msg="others send as much")
        board.accept(ExecutorReport("e", 2.1, 0, 4))
        self.assertEqual(board.estimated_load("e", 2.1, 3), 0.0)

    def test_news_beyond_their_time_are_not_followed_and_facts_are_told_now_and_then(self):
        board = ReportBoard()
        board.accept(ExecutorReport("e", 0.0, 40, 4))
        self.assertLess(board.estimated_load("e", MAX_AGE_S + 0.1, 1), 20)
        told = [board.may_share(ExecutorReport("e", n / 20, 0, 4)) for n in range(6)]
        self.assertEqual(told, [True, False, False, False, True, False])


class PlantedStorms(unittest.TestCase):
    """Laws of storms hold, and each planted bug is seen by one."""

    def test_the_incidents_keep_their_invariants(self):
        for name in OVERLOAD_INVARIANTS:
            with self.subTest(name):
                self.assertEqual(violations(play("fleet", name, 2), name), [])

    def test_each_planted_bug_is_seen(self):
        for name in overload_mutants.MUTANTS:
            with self.subTest(name):
                self.assertGreater(overload_mutants.hunt(name, (1, 2)).seed, 0)


class Storms(unittest.TestCase):
    """The model of storms: the fleet as one against each node alone, on the same timeline."""

    def both(self, incident: str) -> tuple:
        return tuple(play(way, incident, 1) for way in ("alone", "fleet"))

    def test_a_storm_that_outlives_its_trigger_is_ended_by_the_fleet_only(self):
        alone, fleet = self.both("outlives")
        self.assertEqual(alone.recovery, -1.0)
        self.assertGreater(fleet.recovery, 0.0)
        self.assertGreater(fleet.value, 3 * alone.value)

    def test_a_lasting_overload_serves_what_is_worth_most(self):
        alone, fleet = self.both("month-end")
        self.assertGreater(fleet.value, max(0.9, alone.value))
        self.assertLess(fleet.attempts, 1.1)
        self.assertLess(fleet.probes, alone.probes / 4)

    def test_a_tenant_that_floods_takes_less_from_the_others(self):
        alone, fleet = self.both("flood")
        self.assertGreater(fleet.jain, max(0.95, alone.jain))

    def test_budgets_hold_at_the_executors_of_real_processes_under_faults(self):
        with tempfile.TemporaryDirectory() as folder:
            told = run_fleet(read("storm-rounds"), 1, Path(folder))
            logs = [path.read_text() for path in Path(folder).glob("node-*.log")]
        self.assertEqual({law: found for law, found in check_invariants(told).items() if found}, {})
        self.assertEqual({what for _, what in told.executor_spending}, {"probes", "connects"})
        self.assertTrue(any(visit.outcome == "done" for visit in told.visits))
        followed = [int(found) for log in logs for found in re.findall(r"peers (\d+) reports followed", log)]
        self.assertGreater(sum(followed), 0, "nodes follow what others tell of executors")

    def test_in_calm_nothing_is_cut(self):
        self.assertEqual(play("fleet", "calm", 1).shed_in_calm, 0.0)
