"""Tests of the replicated state machine: grants of permits, drains, releases and version comparisons."""

import unittest

from cedarmill.cluster.canary_comparison import (
    CanaryComparison,
    RequestCounts,
    fisher_p_value,
    reason_to_halt,
)
from cedarmill.cluster.state import (
    ClusterState,
    Limit,
    ReleasePlan,
    RequestOutcome,
    Target,
    decode_snapshot,
    encode_snapshot,
)
from cedarmill.cluster.state_machine import commands, dispatch, limits, release_states

SECOND_US = 1_000_000


class StateMachineCase(unittest.TestCase):
    """Base of tests that apply log entries one after the other to a cluster state, as each replica does."""

    limits: tuple[Limit, ...] = (
        Limit("executor", "fleet", max_targets=2),
        Limit("executor", "zone", max_targets=1),
        Limit("node", "fleet", max_targets=1),
    )

    def setUp(self):
        self.cluster_state = ClusterState("c", slow_start_us=10 * SECOND_US)
        self.now, self.index, self.last_request_id = SECOND_US, 0, 0
        self.apply(commands.SetLimits, "op", "limits", self.limits)
        self.observe(*(Target("executor", f"b{n}", f"z{n % 3}", slots=4) for n in range(9)))
        for n in range(3):
            self.apply(commands.RegisterMember, "node", f"n{n}", "1", f"z{n}", "", "v1", False)
            self.apply(commands.RegisterMember, "steward", f"s{n}", "1", "", "", "", False)
            self.apply(commands.UpdateUnits, f"s{n}", {f"n{n}": ("v1", "ready", 0, 0)})

    def apply(self, command_type, *fields):
        self.index += 1
        return dispatch.apply(
            self.cluster_state, self.index, dispatch.encode(command_type(self.now, *fields))
        )

    def observe(self, *targets: Target) -> None:
        self.apply(commands.UpdateTargets, targets)

    def request(self, *names: str, requester: str = "op", kind: str = "executor", **options) -> list:
        self.last_request_id += 1
        priority, wait_us = options.get("priority", 0), options.get("wait", 60 * SECOND_US)
        outcome = self.apply(
            commands.RequestPermits, requester, str(self.last_request_id), kind, names, "", priority, wait_us
        )
        return [self.cluster_state.permits[permit_id] for permit_id in outcome.created_ids]

    def return_permit(self, name: str, kind: str = "executor") -> RequestOutcome:
        self.last_request_id += 1
        return self.apply(commands.ReturnPermit, "op", str(self.last_request_id), kind, name)

    def confirm_drained(self, name: str, *nodes: int) -> None:
        permit = next(
            p for p in self.cluster_state.permits.values() if p.is_out_of_service and p.target == name
        )
        for n in nodes:
            self.apply(commands.ConfirmDrained, f"node:n{n}:1", {name: permit.epoch})

    def pass_time(self, us: int) -> None:
        self.now += us
        self.apply(commands.AdvanceTime)

    def permit_states(self, permits: list) -> list[str]:
        return [permit.state for permit in permits]


class Grants(StateMachineCase):
    def test_nine_requests_with_capacity_for_two_grant_two_and_queue_the_rest(self):
        permits = self.request(*(f"b{n}" for n in range(9)))
        self.assertEqual(self.permit_states(permits).count("granted"), 2)
        self.assertEqual(self.permit_states(permits).count("waiting"), 7)
        self.assertTrue(all(p.notes for p in permits if p.state == "waiting"), "each notes what it waits for")

    def test_second_operator_waits_for_zone_limit_until_slow_start_ends(self):
        (first,), (second,) = self.request("b0", requester="a"), self.request("b3", requester="b")
        self.assertEqual((first.state, second.state), ("granted", "waiting"))
        self.assertIn("executor per zone", second.notes[0])
        self.confirm_drained("b0", 0, 1, 2)
        self.return_permit("b0")
        self.assertEqual(second.state, "waiting", "the returned executor is in slow start and counts in part")
        self.pass_time(10 * SECOND_US)
        self.assertEqual(second.state, "granted")

    def test_repeated_request_gets_first_outcome_and_changes_nothing(self):
        first = self.apply(commands.RequestPermits, "op", "x", "executor", ("b0",), "", 0, SECOND_US)
        repeated = self.apply(commands.RequestPermits, "op", "x", "executor", ("b0",), "", 0, SECOND_US)
        self.assertEqual(first, repeated)
        self.assertEqual(len(self.cluster_state.permits), 1)

    def test_limit_rounded_down_to_zero_refuses_with_reason(self):
        self.apply(commands.SetLimits, "op", "none", (Limit("executor", "fleet", share=50),))
        (permit,) = self.request("b0")  # 5% of 9 targets is rounded down to 0
        self.assertEqual(permit.state, "refused")
        self.assertIn("none of 9 may be out", permit.notes[0])

    def test_capacity_limit_counts_slots(self):
        self.apply(commands.SetLimits, "op", "cap", (Limit("executor", "fleet", capacity_left=700),))
        self.observe(Target("executor", "b0", "z0", slots=40))
        (big,), (small,) = self.request("b0"), self.request("b1")
        self.assertEqual((big.state, small.state), ("refused", "granted"))
        self.assertIn("slots", big.notes[0])

    def test_unhealthy_targets_count_as_out_until_they_recover(self):
        self.observe(Target("executor", "b1", "z1", slots=4, health="ill"))
        self.observe(Target("executor", "b2", "z2", slots=4, health="gone"))
        (permit,) = self.request("b0")
        self.assertEqual(permit.state, "waiting")
        self.observe(Target("executor", "b1", "z1", slots=4))
        self.assertEqual(permit.state, "granted")

    def test_request_for_unknown_or_already_out_target_is_refused(self):
        self.assertEqual(self.permit_states(self.request("b99")), ["refused"])
        self.request("b0")
        (again,) = self.request("b0", requester="other")
        self.assertEqual(again.state, "refused")
        self.assertIn("is out already", again.notes[0])

    def test_grants_go_by_priority_then_fewest_permits_out(self):
        self.apply(commands.SetLimits, "op", "two", (Limit("executor", "fleet", max_targets=2),))
        greedy = self.request("b0", "b1", "b2", "b3", requester="much")
        (little,), (urgent,) = (
            self.request("b4", requester="little"),
            self.request("b5", requester="urgent", priority=5),
        )
        self.assertEqual(self.permit_states(greedy), ["granted", "granted", "waiting", "waiting"])
        for name, next_permit in (("b0", urgent), ("b5", little)):
            self.cluster_state.slow_start_us = 0
            self.confirm_drained(name, 0, 1, 2)
            self.return_permit(name)
            self.assertEqual(next_permit.state, "granted")

    def test_later_request_does_not_overtake_waiting_one_in_same_scope(self):
        self.request("b0", "b1")  # the maximum of the cluster
        (first,) = self.request("b2", requester="a")
        (later,) = self.request("b5", requester="b")
        self.cluster_state.slow_start_us = 0
        self.confirm_drained("b0", 0, 1, 2)
        self.return_permit("b0")
        self.assertEqual((first.state, later.state), ("granted", "waiting"))

    def test_waiting_request_expires_after_its_wait_time(self):
        self.request("b0", "b1")
        (permit,) = self.request("b2", wait=2 * SECOND_US)
        self.pass_time(3 * SECOND_US)
        self.assertEqual(permit.state, "expired")

    def test_dry_run_returns_verdicts_and_changes_nothing(self):
        before = encode_snapshot(self.cluster_state)
        answers = [
            verdict.answer
            for _, verdict in limits.dry_run(self.cluster_state, "executor", ("b0", "b3", "b99", "b1", "b2"))
        ]
        self.assertEqual(answers, ["now", "later", "never", "now", "later"])
        self.assertEqual(encode_snapshot(self.cluster_state), before)

    def test_flapping_node_counts_as_out_until_window_passes(self):
        for _ in range(3):
            self.apply(commands.ExpireSessions, ("node:n1:1",))
            self.apply(commands.RestoreSession, "node:n1:1")
        self.assertEqual(
            self.permit_states(self.request("n0", kind="node", wait=600 * SECOND_US)), ["waiting"]
        )
        self.pass_time(61 * SECOND_US)
        self.assertEqual(self.cluster_state.permits[1].state, "granted")

    def test_decoded_snapshot_encodes_to_same_bytes(self):
        self.request("b0", "b1", "b2")
        snapshot = encode_snapshot(self.cluster_state)
        self.assertEqual(encode_snapshot(decode_snapshot(snapshot)), snapshot)


class Drains(StateMachineCase):
    def test_target_is_drained_after_last_confirmation_of_its_epoch(self):
        (permit,) = self.request("b0")
        self.confirm_drained("b0", 0, 1)
        self.assertFalse(permit.drained_at)
        self.apply(commands.ConfirmDrained, "node:n2:1", {"b0": permit.epoch - 1})
        self.assertFalse(permit.drained_at, "a confirmation of an older grant does not count")
        self.confirm_drained("b0", 2)
        self.assertTrue(permit.drained_at)

    def test_drain_waits_for_silent_member_but_not_for_ended_one(self):
        (permit,) = self.request("b0")
        self.confirm_drained("b0", 0, 1)
        self.apply(commands.ExpireSessions, ("node:n2:1",))
        self.assertFalse(permit.drained_at)
        self.apply(commands.EndMember, "node:n2:1", "steward s2")
        self.assertTrue(permit.drained_at)

    def test_drain_does_not_wait_for_member_certainly_stopped_by_lease_expiry(self):
        self.apply(commands.RegisterMember, "node", "n9", "1", "z0", "", "v1", True)
        (permit,) = self.request("b0")
        self.confirm_drained("b0", 0, 1, 2)
        self.apply(commands.ExpireSessions, ("node:n9:1",), (), ("node:n9:1",))
        self.assertTrue(permit.drained_at)

    def test_operator_statement_requires_reason_and_cannot_end_live_member(self):
        (permit,) = self.request("b0")
        self.assertFalse(self.apply(commands.OperatorStatement, "op", "w1", "drained", "b0", " ").ok)
        self.assertFalse(self.apply(commands.OperatorStatement, "op", "w2", "ended", "n2", "power cut").ok)
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w3", "drained", "b0", "I looked").ok)
        self.assertTrue(permit.drained_at)
        self.assertIn("without node:n0:1", permit.notes[0])

    def test_drain_waits_for_member_that_joins_meanwhile(self):
        (permit,) = self.request("b0")
        self.apply(commands.RegisterMember, "node", "n7", "2", "z0", "", "v1", False)
        self.confirm_drained("b0", 0, 1, 2)
        self.assertFalse(permit.drained_at)

    def test_grants_unknown_after_restore_count_as_out(self):
        self.cluster_state.generation = 2
        self.apply(commands.AdoptUnknownGrants, "node:n0:1", {"executor:b4": 1 << 40 | 7})
        self.assertEqual(self.permit_states(list(self.cluster_state.permits.values())), ["lost"])
        self.assertEqual(
            self.permit_states(self.request("b1")), ["waiting"], "another executor of its zone is out"
        )
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w", "found", "b4", "seen").ok)

    def test_nothing_is_granted_while_grants_are_halted(self):
        self.apply(commands.HaltGrants, "9 of 9 members fell silent at once")
        (permit,) = self.request("b0")
        self.assertEqual(permit.state, "waiting")
        self.assertIn("fell silent", permit.notes[0])
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w", "go-on", "", "a broken switch").ok)
        self.assertEqual(permit.state, "granted")


class Releases(StateMachineCase):
    def setUp(self):
        super().setUp()
        plan = ReleasePlan("v2", (("n0",), ("n1", "n2")), 2, 0, 5 * SECOND_US, 10 * SECOND_US, 1)
        self.release_id = self.apply(commands.PlanRelease, "op", "p", plan).created_ids[0]
        self.release = self.cluster_state.releases[self.release_id]

    def control(self, action: str) -> RequestOutcome:
        self.last_request_id += 1
        return self.apply(commands.ControlRelease, "op", str(self.last_request_id), self.release_id, action)

    def report_unit(self, n: int, state: str = "ready", exits: int = 0, version: str = "") -> None:
        unit = self.cluster_state.units[f"n{n}"]
        report = (version or unit.ordered_version, state, exits, unit.ordered_epoch)
        self.apply(commands.UpdateUnits, f"s{n}", {f"n{n}": report})

    def step_states(self) -> list[str]:
        return [step.state for step in self.release.steps]

    def bake(self) -> None:
        self.apply(commands.RecordComparison, self.release_id, "", 100)
        self.pass_time(6 * SECOND_US)

    def advance_to_second_group(self) -> None:
        self.control("start")
        self.report_unit(0)
        self.bake()

    def test_release_proceeds_group_by_group_under_permits(self):
        self.control("start")
        self.assertEqual(self.step_states(), ["changing", "old", "old"])
        self.report_unit(0)
        self.assertEqual(self.step_states(), ["new", "old", "old"])
        self.bake()
        self.assertEqual(
            self.step_states(),
            ["new", "changing", "asking"],
            "the limit is one node, and the plan allows two at once",
        )
        self.report_unit(1)
        self.assertEqual(self.step_states(), ["new", "new", "changing"])
        self.report_unit(2)
        self.bake()
        self.assertEqual(self.release.state, "done")
        self.assertFalse([p for p in self.cluster_state.permits.values() if p.is_out_of_service])

    def test_canary_not_ready_in_time_halts_release_and_rolls_back_under_its_permit(self):
        self.control("start")
        self.report_unit(0, "starting")
        self.pass_time(11 * SECOND_US)
        self.assertEqual((self.release.state, self.step_states()), ("halted", ["failed", "old", "old"]))
        self.assertEqual(len([p for p in self.cluster_state.permits.values() if p.is_out_of_service]), 1)
        self.control("back")
        self.assertEqual(self.step_states(), ["back-changing", "old", "old"])
        self.report_unit(0)
        self.assertEqual(
            (self.release.state, self.cluster_state.units["n0"].ordered_version), ("backed", "v1")
        )

    def test_unexpected_exits_of_unit_halt_release(self):
        self.control("start")
        self.report_unit(0, "failing", exits=2)
        self.assertEqual(self.release.state, "halted")
        self.assertIn("ended 2 times by itself", self.release.reasons[-1])

    def test_worse_version_halts_release_and_units_in_progress_finish(self):
        self.advance_to_second_group()
        self.apply(commands.RecordComparison, self.release_id, "failed 9 of 40 against 0 of 200", 40)
        self.assertEqual((self.release.state, self.step_states()), ("halted", ["new", "changing", "old"]))
        self.report_unit(1)
        self.assertEqual(self.step_states(), ["new", "new", "old"])

    def test_roll_back_is_possible_from_every_state_but_rolling_back(self):
        for state in {state for state, _ in release_states.RELEASE_TRANSITIONS}:
            self.assertTrue(
                (state, "back") in release_states.RELEASE_TRANSITIONS or state == "backing", state
            )

    def test_failed_roll_back_halts_and_names_unit(self):
        self.advance_to_second_group()
        self.control("back")
        self.report_unit(1)
        self.report_unit(0, "starting")
        self.pass_time(11 * SECOND_US)
        self.assertEqual(self.release.state, "back-halted")
        self.assertIn("n0", self.release.reasons[-1])
        unfinished = [step.unit for step in self.release.steps if step.state not in ("old", "restored")]
        self.assertEqual(unfinished, ["n0"])
        self.control("resume")
        self.report_unit(0)
        self.assertEqual(self.release.state, "backed")

    def test_second_resume_is_rejected(self):
        self.control("start")
        self.assertTrue(self.control("halt").ok)
        self.assertTrue(self.control("resume").ok)
        self.assertFalse(self.control("resume").ok)
        self.assertIn("resume is not possible", self.control("resume").text)

    def test_second_release_of_same_unit_is_rejected(self):
        self.control("start")
        outcome = self.apply(commands.PlanRelease, "op", "q", ReleasePlan("v3", (("n0",),)))
        self.assertFalse(outcome.ok)
        self.assertIn(f"release {self.release_id} is not at its end", outcome.text)

    def test_permit_is_lost_while_supervisor_is_silent_during_change(self):
        self.control("start")
        self.apply(commands.ExpireSessions, ("steward:s0:1",))
        self.assertEqual([p.state for p in self.cluster_state.permits.values()], ["lost"])
        self.assertEqual(self.permit_states(self.request("n1", kind="node")), ["waiting"])
        self.apply(commands.RestoreSession, "steward:s0:1")
        self.assertEqual(self.cluster_state.permits[2].state, "granted")

    def test_invalid_plan_is_rejected_with_reason(self):
        for groups, expected_text in (
            ((("n9",),), "no steward runs"),
            ((("n0",), ("n0",)), "one group"),
            ((), "no group"),
        ):
            outcome = self.apply(commands.PlanRelease, "op", f"r{groups}", ReleasePlan("v3", groups))
            self.assertFalse(outcome.ok)
            self.assertIn(expected_text, outcome.text)


class VersionComparison(unittest.TestCase):
    PLAN = ReleasePlan("v2", (("n0",),))

    def test_high_failure_rate_is_detected_and_noise_is_not(self):
        counts = RequestCounts
        self.assertIn("failed", reason_to_halt(self.PLAN, counts(60, 12), counts(600, 3)))
        self.assertEqual(reason_to_halt(self.PLAN, counts(60, 2), counts(600, 6)), "")
        self.assertEqual(reason_to_halt(self.PLAN, counts(49, 40), counts(600, 0)), "", "too few requests")
        self.assertEqual(
            reason_to_halt(self.PLAN, counts(90_000, 1_800), counts(900_000, 16_000)),
            "",
            "difference too small to matter",
        )

    def test_chance_matches_fishers_exact_test(self):
        self.assertAlmostEqual(fisher_p_value(3, 4, 1, 4), 0.242857, 6)  # Fisher's tea-tasting example
        self.assertAlmostEqual(fisher_p_value(0, 10, 5, 10), 1.0, 9)

    def test_requests_before_update_stay_with_the_rest(self):
        counts = RequestCounts
        comparison = CanaryComparison({"a": counts(10), "b": counts(10)})
        comparison.update({"a": counts(30, 1), "b": counts(30)}, set())
        comparison.update({"a": counts(5), "b": counts(40)}, {"a"})
        comparison.update({"a": counts(25, 8), "b": counts(50)}, {"a"})
        self.assertEqual((comparison.new_counts, comparison.rest_counts), (counts(20, 8), counts(60, 1)))


if __name__ == "__main__":
    unittest.main()
