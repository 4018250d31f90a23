"""Tests of cluster-wide budgets, admission control, shared load reports and the overload simulation."""

import random
import re
import tempfile
import unittest
from pathlib import Path

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.controller import threshold_for, threshold_of
from cedarmill.cluster.admission_level.gate import FADE_OUT_US, AdmissionGate
from cedarmill.cluster.admission_level.state import STEP_US, LoadReport, SheddingThreshold
from cedarmill.cluster.budget_grants import Budget, BudgetGrant, granted_rate, max_min_fair_rates, rates_of
from cedarmill.cluster.budget_lease import BudgetLease, BudgetLeases, RetryBudget
from cedarmill.cluster.gossip_plan import MAX_AGE_S, ExecutorReport, GossipPlan, ReportBoard
from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.state import ClusterState, Member, RequestOutcome, decode_snapshot, encode_snapshot
from cedarmill.cluster.state_machine import commands, dispatch
from cedarmill.cluster.traffic_plan.similarity import are_similar
from cedarmill.decisions import interface as api
from cedarmill.lab.cluster.invariants import check_invariants
from cedarmill.lab.cluster.run import play as run_cluster
from cedarmill.lab.cluster.scenario import read_scenario
from cedarmill.lab.simulation.overload import mutants as overload_mutants
from cedarmill.lab.simulation.overload.results import INVARIANTS as OVERLOAD_INVARIANTS
from cedarmill.lab.simulation.overload.results import violations
from cedarmill.lab.simulation.overload.simulation import play
from tests.support.builders import Driver, send_actions

SECOND_US = 1_000_000
PROBES = Budget("probes", 100_000, 10)


class MaxMinFairRates(unittest.TestCase):
    """Division of a budget by demand."""

    def test_rates_are_equal_and_unused_rate_goes_to_other_members(self):
        self.assertEqual(max_min_fair_rates(PROBES, {"a": 10_000, "b": 50_000, "c": 90_000}),
                         {"a": 10_000, "b": 35_000, "c": 35_000})  # fmt: skip

    def test_floor_rates_and_grantable_rate_stay_within_budget(self):
        self.assertLessEqual(PROBES.floor * PROBES.nodes + PROBES.grantable, PROBES.rate)


class BudgetGrants(unittest.TestCase):
    """Grants in the replicated state: their total never exceeds the grantable rate."""

    def setUp(self):
        self.state, self.log_index, self.last_request_id = ClusterState("c"), 0, 0
        for name in "abc":
            member = Member("node", name, "1")
            self.state.members[member.key] = member
        self.apply_request(commands.SetBudgets, (PROBES,))

    def apply(self, command: commands.Command) -> RequestOutcome:
        self.log_index += 1
        outcome = dispatch.apply(self.state, self.log_index, dispatch.encode(command))
        self.assertLessEqual(granted_rate(self.state.budget_grants["probes"]), PROBES.grantable)
        return outcome

    def apply_request(self, kind, *fields) -> RequestOutcome:
        self.last_request_id += 1
        self.log_index += 1
        command = kind(SECOND_US, "op", str(self.last_request_id), *fields)
        return dispatch.apply(self.state, self.log_index, dispatch.encode(command))

    def set_demand(self, name: str, rate: int, incarnation: str = "1") -> None:
        self.apply(commands.SetBudgetDemand(SECOND_US, f"node:{name}:{incarnation}", {"probes": rate}))

    def acknowledge(self, name: str) -> None:
        self.apply(commands.AcknowledgeOrders(SECOND_US, f"node:{name}:1", self.state.orders_epoch))

    def granted_rates(self) -> dict[str, int]:
        return {key.split(":")[1]: grant.rate for key, grant in self.state.budget_grants["probes"].items()}

    def test_lowered_grant_counts_until_holder_acknowledges(self):
        self.set_demand("a", 80_000)
        self.assertEqual(self.granted_rates(), {"a": 80_000})
        self.set_demand("b", 80_000)
        self.assertEqual(
            self.granted_rates(),
            {"a": 40_000, "b": 0},
            "the rate that a may still spend is not granted again",
        )
        self.acknowledge("a")
        self.assertEqual(self.granted_rates(), {"a": 40_000, "b": 40_000})

    def test_grant_of_silent_holder_counts_until_session_expires(self):
        self.set_demand("a", 80_000)
        self.set_demand("b", 80_000)
        self.assertEqual(self.granted_rates()["b"], 0)
        self.apply(commands.ExpireSessions(SECOND_US, ("node:a:1",)))
        self.assertEqual(self.granted_rates(), {"b": 80_000})

    def test_returning_member_receives_zero_rate_in_new_orders(self):
        self.set_demand("a", 80_000)
        previous_epoch = self.state.orders_epoch
        self.apply(commands.ExpireSessions(SECOND_US, ("node:a:1",)))
        self.apply(commands.RestoreSession(SECOND_US, "node:a:1"))
        self.assertGreater(self.state.orders_epoch, previous_epoch)
        self.assertEqual(rates_of(self.state, "node:a:1")["probes"], (0, PROBES.floor))

    def test_new_incarnation_gets_no_rate_until_old_incarnation_has_ended(self):
        self.set_demand("a", 80_000)
        member = Member("node", "a", "2")
        self.state.members[member.key] = member
        self.set_demand("a", 80_000, "2")
        self.assertEqual(self.state.budget_grants["probes"]["node:a:2"].rate, 0)
        self.apply(commands.EndMember(SECOND_US, "node:a:1", "its steward"))
        self.assertEqual(self.state.budget_grants["probes"]["node:a:2"].rate, 80_000)

    def test_smaller_budget_counts_previous_grant_until_acknowledged(self):
        self.set_demand("a", 80_000)
        self.apply_request(commands.SetBudgets, (Budget("probes", 50_000, 10),))
        grant = self.state.budget_grants["probes"]["node:a:1"]
        self.assertEqual((grant.rate, grant.counted_rate), (40_000, 80_000))
        self.assertFalse(self.apply_request(commands.SetBudgets, (PROBES, PROBES)).ok)

    def test_nothing_is_granted_before_leases_of_an_older_state_expire(self):
        self.state.budgets_leased_from = 5 * SECOND_US
        self.set_demand("a", 80_000)
        self.assertEqual(self.granted_rates(), {"a": 0})

    def test_random_demands_acknowledgements_and_expiries_stay_within_budget(self):
        generator = random.Random(3)
        for _ in range(2000):
            name = generator.choice("abc")
            key = f"node:{name}:1"
            action = generator.randrange(5)
            if action < 2:
                self.set_demand(name, generator.randrange(120_000))
            elif action == 2:
                self.apply(
                    commands.AcknowledgeOrders(
                        SECOND_US,
                        key,
                        generator.choice((self.state.orders_epoch, self.state.orders_epoch - 3)),
                    )
                )
            elif action == 3:
                self.apply(commands.ExpireSessions(SECOND_US, (key,)))
            else:
                self.apply(commands.RestoreSession(SECOND_US, key))
        self.assertEqual(
            encode_snapshot(decode_snapshot(encode_snapshot(self.state))), encode_snapshot(self.state)
        )
        self.assertTrue(
            all(isinstance(grant, BudgetGrant) for grant in self.state.budget_grants["probes"].values())
        )


class BudgetLeaseSpending(unittest.TestCase):
    """Operations that one lease holder may spend when it asks every millisecond."""

    def spent_operations(self, lease: BudgetLease, first: int, seconds: float, lease_holds: bool) -> int:
        return sum(lease.spend(first + n * 1000, lease_holds) for n in range(int(seconds * 1000)))

    def test_granted_rate_applies_under_lease_and_floor_rate_after_expiry(self):
        lease = BudgetLease(0)
        lease.set_rates(0, True, 20_000, 500)
        self.assertAlmostEqual(self.spent_operations(lease, 0, 10, True), 200, delta=6)
        self.assertAlmostEqual(self.spent_operations(lease, 10 * SECOND_US, 10, False), 5, delta=2)

    def test_accumulated_tokens_are_lost_when_lease_expires_during_a_pause(self):
        lease = BudgetLease(0)
        lease.set_rates(0, True, 50_000, 0)
        lease.spend(0, True)
        self.assertEqual(self.spent_operations(lease, 10 * SECOND_US, 5, False), 0)

    def test_small_rates_are_not_lost_to_rounding(self):
        lease = BudgetLease(0)
        lease.set_rates(0, False, 0, 300)
        self.assertAlmostEqual(self.spent_operations(lease, 0, 100, False), 30, delta=2)

    def test_demand_follows_requested_operations_and_unset_budget_is_unlimited(self):
        leases = BudgetLeases()
        self.assertFalse(leases.spend(0, True, "probes"), "nothing may be spent before the budgets are known")
        leases.set_rates(0, True, {"probes": (1000, 100)})
        for n in range(1000):
            leases.spend(n * 4000, True, "probes")
        self.assertAlmostEqual(leases.demands(4 * SECOND_US)["probes"], 300_000, delta=2000)
        self.assertTrue(leases.spend(0, False, "unbound"), "a budget that is not set imposes no limit")
        leases.set_rates(0, True, {})
        self.assertEqual(leases.by_name, {})


class AdmissionLevelController(unittest.TestCase):
    """Shedding by priority weight in bounded steps, triggered by late requests."""

    def setUp(self):
        self.state = ClusterState("c")

    def step(
        self, demand: dict[int, int], late_share: int, slots: int = 100_000, steps: int = 1
    ) -> SheddingThreshold:
        for _ in range(steps):
            self.state.clock += STEP_US
            controller.advance(self.state, demand, LoadReport(slots, late_share))
        return self.state.admission.threshold

    def test_threshold_rejects_lowest_weight_first_and_a_share_of_the_last_weight(self):
        demand = {1000: 40_000, 3000: 30_000, 5000: 30_000}
        self.assertEqual(threshold_for(demand, 0), SheddingThreshold())
        self.assertEqual(threshold_for(demand, 20_000), SheddingThreshold(1000, 500))
        self.assertEqual(threshold_for(demand, 55_000), SheddingThreshold(3000, 500))
        self.assertEqual(threshold_for(demand, 200_000), SheddingThreshold(5000, 1000))

    def test_excess_demand_without_late_requests_sheds_nothing(self):
        self.assertEqual(self.step({1000: 300_000}, 0, steps=10), SheddingThreshold())

    def test_shedding_grows_in_bounded_steps_and_ends_with_the_excess(self):
        first = self.step({1000: 300_000, 5000: 100_000}, 900)
        three_quarters = SheddingThreshold(1000, 1000)
        self.assertEqual(
            first, three_quarters, "one step of half a second sheds at most three quarters of the demand"
        )
        second = self.step({1000: 300_000, 5000: 100_000}, 900)
        self.assertEqual(second.weight, 5000, "the second step sheds more, so that queues drain")
        self.assertEqual(self.step({1000: 20_000, 5000: 20_000}, 0, steps=12), SheddingThreshold())

    def test_sustained_lateness_with_fitting_demand_causes_logged_deep_cut(self):
        threshold = self.step({1000: 50_000, 5000: 50_000}, 900, steps=8)
        self.assertEqual(threshold.weight, 5000)
        self.assertIn("deep cut", self.state.log[-1])
        self.assertEqual(self.step({1000: 50_000, 5000: 50_000}, 0, steps=12), SheddingThreshold())

    def test_override_requires_reason_and_holds_until_its_end(self):
        without_reason = commands.OverrideAdmission(0, "op", "1", 3000, 0, 5 * SECOND_US, "")
        self.assertFalse(dispatch.apply(self.state, 1, dispatch.encode(without_reason)).ok)
        with_reason = commands.OverrideAdmission(0, "op", "2", 3000, 0, 5 * SECOND_US, "expected overload")
        self.assertTrue(dispatch.apply(self.state, 2, dispatch.encode(with_reason)).ok)
        self.assertEqual(self.step({1000: 1000}, 0), SheddingThreshold(3000, 0))
        self.assertEqual(self.step({1000: 1000}, 0, steps=10), SheddingThreshold())

    def test_gate_enforces_threshold_under_lease_and_fades_out_after_expiry(self):
        gate = AdmissionGate()
        gate.set_thresholds(SheddingThreshold(3000, 250))
        self.assertTrue(gate.rejects(0, True, 1000, 0.99))
        self.assertEqual([gate.rejects(0, True, 3000, n / 4) for n in range(4)], [True, False, False, False])
        self.assertFalse(gate.rejects(0, True, 5000, 0.0))
        self.assertTrue(gate.rejects(SECOND_US, False, 1000, 0.5))
        self.assertFalse(gate.rejects(SECOND_US + FADE_OUT_US // 2, False, 1000, 0.6))
        self.assertFalse(gate.rejects(SECOND_US + FADE_OUT_US, False, 1000, 0.0))

    def test_zone_bound_requests_are_shed_in_the_zone_without_capacity_only(self):
        for late_share in (900, 900, 900):
            self.state.clock += STEP_US
            controller.advance_scope(self.state, "a/zone", {1000: 40_000, 5000: 20_000}, 40_000, late_share)
        self.assertEqual(threshold_of(self.state, "a", "zone").weight, 1000)
        self.assertEqual(threshold_of(self.state, "a", "any"), SheddingThreshold())
        self.assertEqual(threshold_of(self.state, "b", "zone"), SheddingThreshold())
        for _ in range(12):
            self.state.clock += STEP_US
            controller.advance_scope(self.state, "a/zone", {1000: 10_000}, 10_000, 0)
        self.assertEqual(self.state.scoped_admission, {})

    def test_shedding_ends_when_overstated_demand_leaves_slots_idle(self):
        demand = {1000: 2_000_000, 5000: 40_000}
        self.step(demand, 900)
        for _ in range(30):
            self.state.clock += STEP_US
            controller.advance(self.state, demand, LoadReport(100_000, 0, 30_000))
        self.assertEqual(self.state.admission.threshold, SheddingThreshold())


class QueueingAndFillShare(unittest.TestCase):
    """Adjustment of the fill share by current queueing, which late responses lag behind."""

    DEMAND = {1000: 150_000, 5000: 150_000}

    def setUp(self):
        self.state = ClusterState("c")

    def fill_shares(
        self,
        queueing: int,
        late_share: int = 600,
        slots_in_use: int = 60_000,
        rejected_locally: int = 0,
        steps: int = 1,
    ) -> list[int]:
        shares = []
        for _ in range(steps):
            self.state.clock += STEP_US
            report = LoadReport(100_000, late_share, slots_in_use, 0, queueing, rejected_locally)
            controller.advance(self.state, self.DEMAND, report)
            shares.append(self.state.admission.fill_share)
        return shares

    def test_fill_share_falls_with_long_queues_holds_while_draining_and_rises_with_short_queues(self):
        falling = self.fill_shares(2000, steps=4)
        self.assertEqual(falling, sorted(falling, reverse=True))
        self.assertLess(falling[-1], 850)
        self.assertEqual(
            self.fill_shares(1600),
            falling[-1:],
            "the fill share holds while the queue drains, despite late responses",
        )
        self.assertEqual(self.fill_shares(900), falling[-1:])
        rising = self.fill_shares(500, steps=4)
        self.assertGreater(rising[-1], 1000, "the fill share rises although earlier requests still end late")

    def test_fill_share_rises_slowly_without_idle_slots(self):
        self.fill_shares(2000, steps=4)
        before = self.state.admission.fill_share
        self.assertLess(self.fill_shares(500, late_share=100, slots_in_use=95_000)[0], before * 105 // 100)

    def test_local_rejections_hold_the_fill_share_and_lower_it_when_frequent(self):
        self.fill_shares(2000)
        before = self.state.admission.fill_share
        self.assertEqual(self.fill_shares(500, rejected_locally=160), [before])
        self.assertLess(self.fill_shares(500, rejected_locally=300)[0], before)

    def test_fill_share_rises_without_queueing_despite_local_rejections(self):
        falling = self.fill_shares(2000, steps=3)[-1]
        self.assertGreater(self.fill_shares(300, rejected_locally=400)[0], falling)

    def test_same_assessment_changes_fill_share_once(self):
        fill_shares = []
        for assessed_at in (1, 1, 1, 2):
            self.state.clock += STEP_US
            report = LoadReport(100_000, 600, 60_000, 0, 2000, 0)
            controller.advance(self.state, self.DEMAND, report, assessed_at)
            fill_shares.append(self.state.admission.fill_share)
        self.assertEqual(
            fill_shares[:3], fill_shares[:1] * 3, "an assessment that is not newer changes nothing"
        )
        self.assertLess(fill_shares[3], fill_shares[2])

    def test_late_requests_with_short_queues_cause_no_deep_cut(self):
        self.fill_shares(600, late_share=900, steps=12)
        self.assertEqual(self.state.log, [])


class AssessmentSimilarity(unittest.TestCase):
    """Assessments that are similar enough need no new log entry."""

    def make_assessment(
        self, *demand_rows: tuple[int, int], slots_occupied: int = 40_000
    ) -> ClusterAssessment:
        demand_by_weight = {"any": dict(demand_rows)}
        demand = {"any": 40_000}
        assessment = ZoneAssessment(
            "well", 50_000, demand=demand, demand_by_weight=demand_by_weight, slots_occupied=slots_occupied
        )
        return ClusterAssessment({"a": assessment})

    def test_small_changes_of_demand_by_weight_and_occupied_slots_are_similar(self):
        first = self.make_assessment((1000, 20_000), (5000, 20_000))
        self.assertTrue(
            are_similar(first, self.make_assessment((1000, 22_000), (5000, 18_000), slots_occupied=46_000))
        )
        self.assertFalse(are_similar(first, self.make_assessment((1000, 30_000), (5000, 10_000))))
        self.assertFalse(
            are_similar(first, self.make_assessment((1000, 20_000), (5000, 20_000), slots_occupied=80_000))
        )


class RetriesAndQuotas(unittest.TestCase):
    """The retry budget, and the quota that a tenant's requests share by priority weight."""

    def test_retries_are_limited_to_a_tenth_of_first_attempts_and_a_bounded_burst(self):
        retry_budget = RetryBudget()
        self.assertEqual(sum(retry_budget.spend(0) for _ in range(50)), 10)
        self.assertEqual(
            sum(retry_budget.spend(1000) for _ in range(50)), 10, "the burst is limited to ten retries"
        )
        self.assertEqual(sum(retry_budget.spend(1000 + n) for n in range(501)), 50)

    def test_exhausted_quota_keeps_reserve_for_higher_priority_weight(self):
        leases = BudgetLeases()
        leases.set_rates(0, True, {"tenant:a": (10_000, 0)})
        low_weight_count = sum(leases.spend(n * 10_000, True, "tenant:a", 800) for n in range(300))
        high_weight_count = sum(
            leases.spend(3 * SECOND_US + n * 1000, True, "tenant:a", 0) for n in range(10)
        )
        self.assertGreater(low_weight_count, 20)
        self.assertGreaterEqual(high_weight_count, 3)

    def test_balancer_does_not_retry_an_attempt_limited_to_one_try(self):
        driver = Driver(tells_start=False)
        driver.report(1, 4.0)
        driver.report(2, 4.0)
        sent = send_actions(driver.arrive(0))[0]
        ended = api.AttemptEnded(sent.request, 0, sent.executor, api.Outcome.RESET, False, max_attempts=1)
        self.assertEqual(send_actions(driver.feed(ended)), [])
        self.assertNotIn(sent.request, driver.balancer.requests)


class GossipPlanAndReports(unittest.TestCase):
    """Assignment of executors to nodes, and the load reports shared between them."""

    def test_removed_node_changes_only_the_executors_that_it_used(self):
        nodes, executors = [f"n{n}" for n in range(40)], [f"e{n}" for n in range(100)]
        plan = GossipPlan()
        plan.update(nodes, executors)
        before = dict(plan.users)
        self.assertTrue(plan.update(nodes[1:], executors))
        after = plan.users
        self.assertEqual({len(users) for users in before.values()}, {4})
        reassigned = [executor for executor in executors if before[executor] != after[executor]]
        self.assertEqual(reassigned, [executor for executor in executors if "n0" in before[executor]])
        self.assertTrue(all(len(plan.executors_of(node)) >= 6 for node in nodes))
        plan.update(nodes, executors[1:])
        plan.update(nodes, executors)
        self.assertEqual(plan.users, before, "the assignment depends only on the current members")
        self.assertFalse(plan.update(nodes, executors))

    def test_node_with_high_traffic_share_uses_additional_executors(self):
        nodes, executors = [f"n{n}" for n in range(40)], [f"e{n}" for n in range(100)]
        plan = GossipPlan()
        plan.update(nodes, executors)
        average_node, busy_node = plan.executors_of("n7", 1 / 40), plan.executors_of("n7", 0.2)
        self.assertEqual(average_node, plan.executors_of("n7"))
        self.assertGreaterEqual(len(busy_node), 80)
        self.assertLessEqual(set(average_node), set(busy_node))
        self.assertEqual(
            busy_node, plan.executors_of("n7", 0.19), msg="a small change of the share has no effect"
        )

    def test_older_report_is_ignored_and_own_requests_are_added_to_the_newest(self):
        board = ReportBoard()
        self.assertTrue(board.accept(ExecutorReport("e", 2.0, 3, 4)))
        self.assertFalse(board.accept(ExecutorReport("e", 1.0, 0, 4)))
        board.on_sent("e")
        self.assertAlmostEqual(board.estimated_load("e", 2.0, 1), 4.0)
        self.assertAlmostEqual(
            board.estimated_load("e", 2.0, 3), 6.0, msg="own requests count once per user of the executor"
        )
        board.accept(ExecutorReport("e", 2.1, 0, 4))
        self.assertEqual(board.estimated_load("e", 2.1, 3), 0.0)

    def test_expired_report_is_ignored_and_sharing_is_rate_limited(self):
        board = ReportBoard()
        board.accept(ExecutorReport("e", 0.0, 40, 4))
        self.assertLess(board.estimated_load("e", MAX_AGE_S + 0.1, 1), 20)
        shared = [board.may_share(ExecutorReport("e", n / 20, 0, 4)) for n in range(6)]
        self.assertEqual(shared, [True, False, False, False, True, False])


class OverloadInvariants(unittest.TestCase):
    """The invariants hold in every overload scenario and detect every mutant."""

    def test_every_scenario_keeps_its_invariants(self):
        for name in OVERLOAD_INVARIANTS:
            with self.subTest(name):
                self.assertEqual(violations(play("fleet", name, 2), name), [])

    def test_every_mutant_is_detected(self):
        for name in overload_mutants.MUTANTS:
            with self.subTest(name):
                self.assertGreater(overload_mutants.hunt(name, (1, 2)).seed, 0)


class OverloadSimulation(unittest.TestCase):
    """Simulated overloads: nodes that cooperate as a cluster compared with independent nodes."""

    def play_both(self, scenario: str) -> tuple:
        return tuple(play(policy, scenario, 1) for policy in ("alone", "fleet"))

    def test_only_the_cluster_ends_an_overload_that_outlives_its_trigger(self):
        alone, cluster = self.play_both("outlives")
        self.assertEqual(alone.recovery, -1.0)
        self.assertGreater(cluster.recovery, 0.0)
        self.assertGreater(cluster.value, 3 * alone.value)

    def test_cluster_serves_more_value_with_fewer_attempts_in_a_lasting_overload(self):
        alone, cluster = self.play_both("month-end")
        self.assertGreater(cluster.value, max(0.9, alone.value))
        self.assertLess(cluster.attempts, 1.1)
        self.assertLess(cluster.probes, alone.probes / 4)

    def test_cluster_limits_the_effect_of_a_flooding_tenant_on_others(self):
        alone, cluster = self.play_both("flood")
        self.assertGreater(cluster.jain, max(0.95, alone.jain))

    def test_real_processes_stay_within_budgets_under_faults(self):
        with tempfile.TemporaryDirectory() as folder:
            record = run_cluster(read_scenario("storm-rounds"), 1, Path(folder))
            logs = [path.read_text() for path in Path(folder).glob("node-*.log")]
        self.assertEqual(
            {invariant: violated for invariant, violated in check_invariants(record).items() if violated}, {}
        )
        self.assertEqual({budget for _, budget in record.executor_spending}, {"probes", "connects"})
        self.assertTrue(any(visit.outcome == "done" for visit in record.visits))
        followed = [int(count) for log in logs for count in re.findall(r"peers (\d+) reports followed", log)]
        self.assertGreater(sum(followed), 0, "nodes use the reports of other nodes")

    def test_nothing_is_shed_without_overload(self):
        self.assertEqual(play("fleet", "calm", 1).shed_in_calm, 0.0)
