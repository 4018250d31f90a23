"""Permits and releases, entry by entry: who is granted, who waits and why, and how a release goes and comes
back.
"""

import unittest

from cedarmill.cluster.canary_comparison import (
    CanaryComparison,
    RequestCounts,
    chance_if_alike,
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

S = 1_000_000


class Fleet(unittest.TestCase):
    """Entries are applied one after the other to a world, as every keeper does."""

    limits: tuple[Limit, ...] = (Limit("executor", "fleet", most=2), Limit("executor", "zone", most=1),
                                 Limit("node", "fleet", most=1))  # fmt: skip

    def setUp(self):
        self.world = ClusterState("c", slow_start_us=10 * S)
        self.now, self.index, self.ids = S, 0, 0
        self.apply(commands.SetLimits, "op", "limits", self.limits)
        self.see(*(Target("executor", f"b{n}", f"z{n % 3}", slots=4) for n in range(9)))
        for n in range(3):
            self.apply(commands.RegisterMember, "node", f"n{n}", "1", f"z{n}", "", "v1", False)
            self.apply(commands.RegisterMember, "steward", f"s{n}", "1", "", "", "", False)
            self.apply(commands.UpdateUnits, f"s{n}", {f"n{n}": ("v1", "ready", 0, 0)})

    def apply(self, kind, *fields):
        self.index += 1
        return dispatch.apply(self.world, self.index, dispatch.encode(kind(self.now, *fields)))

    def see(self, *targets: Target) -> None:
        self.apply(commands.UpdateTargets, targets)

    def ask(self, *names: str, who: str = "op", kind: str = "executor", **more) -> list:
        self.ids += 1
        priority, wait_us = more.get("priority", 0), more.get("wait", 60 * S)
        done = self.apply(commands.RequestPermits, who, str(self.ids), kind, names, "", priority, wait_us)
        return [self.world.permits[number] for number in done.created_ids]

    def give(self, name: str, kind: str = "executor") -> RequestOutcome:
        self.ids += 1
        return self.apply(commands.ReturnPermit, "op", str(self.ids), kind, name)

    def clear(self, name: str, *nodes: int) -> None:
        permit = next(p for p in self.world.permits.values() if p.out and p.target == name)
        for n in nodes:
            self.apply(commands.ConfirmDrained, f"node:n{n}:1", {name: permit.epoch})

    def pass_time(self, us: int) -> None:
        self.now += us
        self.apply(commands.AdvanceTime)

    def states(self, asked: list) -> list[str]:
        return [permit.state for permit in asked]


class Granting(Fleet):
    def test_ten_in_one_turn_with_room_for_two(self):
        asked = self.ask(*(f"b{n}" for n in range(9)))
        self.assertEqual(self.states(asked).count("granted"), 2)
        self.assertEqual(self.states(asked).count("waiting"), 7)
        self.assertTrue(all(p.notes for p in asked if p.state == "waiting"), "each says what it waits for")

    def test_two_operators_and_the_last_two_of_a_zone(self):
        (first,), (second,) = self.ask("b0", who="a"), self.ask("b3", who="b")
        self.assertEqual((first.state, second.state), ("granted", "waiting"))
        self.assertIn("executor per zone", second.notes[0])
        self.clear("b0", 0, 1, 2)
        self.give("b0")
        self.assertEqual(second.state, "waiting", "the one that came back is cold, and counts in part")
        self.pass_time(10 * S)
        self.assertEqual(second.state, "granted")

    def test_the_same_request_again_has_the_same_outcome_and_does_nothing(self):
        once = self.apply(commands.RequestPermits, "op", "x", "executor", ("b0",), "", 0, S)
        again = self.apply(commands.RequestPermits, "op", "x", "executor", ("b0",), "", 0, S)
        self.assertEqual(once, again)
        self.assertEqual(len(self.world.permits), 1)

    def test_a_budget_of_nothing_says_so(self):
        self.apply(commands.SetLimits, "op", "none", (Limit("executor", "fleet", share=50),))
        (permit,) = self.ask("b0")  # 5 % of 9: rounded down
        self.assertEqual(permit.state, "refused")
        self.assertIn("none of 9 may be out", permit.notes[0])

    def test_capacity_left_counts_slots(self):
        self.apply(commands.SetLimits, "op", "cap", (Limit("executor", "fleet", capacity_left=700),))
        self.see(Target("executor", "b0", "z0", slots=40))
        (big,), (small,) = self.ask("b0"), self.ask("b1")
        self.assertEqual((big.state, small.state), ("refused", "granted"))
        self.assertIn("slots", big.notes[0])

    def test_losses_count_and_the_wave_goes_on_by_itself(self):
        self.see(Target("executor", "b1", "z1", slots=4, health="ill"))
        self.see(Target("executor", "b2", "z2", slots=4, health="gone"))
        (permit,) = self.ask("b0")
        self.assertEqual(permit.state, "waiting")
        self.see(Target("executor", "b1", "z1", slots=4))
        self.assertEqual(permit.state, "granted")

    def test_unknown_and_twice(self):
        self.assertEqual(self.states(self.ask("b99")), ["refused"])
        self.ask("b0")
        (again,) = self.ask("b0", who="other")
        self.assertEqual(again.state, "refused")
        self.assertIn("is out already", again.notes[0])

    def test_priority_then_who_holds_least_then_who_asked_first(self):
        self.apply(commands.SetLimits, "op", "two", (Limit("executor", "fleet", most=2),))
        much = self.ask("b0", "b1", "b2", "b3", who="much")
        (little,), (urgent,) = self.ask("b4", who="little"), self.ask("b5", who="urgent", priority=5)
        self.assertEqual(self.states(much), ["granted", "granted", "waiting", "waiting"])
        for name, wanted in (("b0", urgent), ("b5", little)):
            self.world.slow_start_us = 0
            self.clear(name, 0, 1, 2)
            self.give(name)
            self.assertEqual(wanted.state, "granted")

    def test_one_that_waits_is_not_passed_by_for_its_room(self):
        self.ask("b0", "b1")  # fleet: two of two
        (first,) = self.ask("b2", who="a")
        (later,) = self.ask("b5", who="b")
        self.world.slow_start_us = 0
        self.clear("b0", 0, 1, 2)
        self.give("b0")
        self.assertEqual((first.state, later.state), ("granted", "waiting"))

    def test_a_request_that_waited_long_enough_expires(self):
        self.ask("b0", "b1")
        (late,) = self.ask("b2", wait=2 * S)
        self.pass_time(3 * S)
        self.assertEqual(late.state, "expired")

    def test_a_dry_run_changes_nothing(self):
        before = encode_snapshot(self.world)
        words = [
            verdict.word
            for _, verdict in limits.dry_run(self.world, "executor", ("b0", "b3", "b99", "b1", "b2"))
        ]
        self.assertEqual(words, ["now", "later", "never", "now", "later"])
        self.assertEqual(encode_snapshot(self.world), before)

    def test_a_flapping_node_counts_as_out(self):
        for _ in range(3):
            self.apply(commands.ExpireSessions, ("node:n1:1",))
            self.apply(commands.RestoreSession, "node:n1:1")
        self.assertEqual(self.states(self.ask("n0", kind="node", wait=600 * S)), ["waiting"])
        self.pass_time(61 * S)
        self.assertEqual(self.world.permits[1].state, "granted")

    def test_what_is_frozen_thaws_to_the_same(self):
        self.ask("b0", "b1", "b2")
        text = encode_snapshot(self.world)
        self.assertEqual(encode_snapshot(decode_snapshot(text)), text)


class Draining(Fleet):
    def test_drained_is_said_after_the_last_ack_of_that_epoch(self):
        (permit,) = self.ask("b0")
        self.clear("b0", 0, 1)
        self.assertFalse(permit.drained_at)
        self.apply(commands.ConfirmDrained, "node:n2:1", {"b0": permit.epoch - 1})
        self.assertFalse(permit.drained_at, "an ack of an older grant says nothing of this one")
        self.clear("b0", 2)
        self.assertTrue(permit.drained_at)

    def test_a_silent_member_is_waited_for_and_one_known_to_have_ended_is_not(self):
        (permit,) = self.ask("b0")
        self.clear("b0", 0, 1)
        self.apply(commands.ExpireSessions, ("node:n2:1",))
        self.assertFalse(permit.drained_at)
        self.apply(commands.EndMember, "node:n2:1", "steward s2")
        self.assertTrue(permit.drained_at)

    def test_one_that_stops_by_its_lease_is_done_when_that_is_sure(self):
        self.apply(commands.RegisterMember, "node", "n9", "1", "z0", "", "v1", True)
        (permit,) = self.ask("b0")
        self.clear("b0", 0, 1, 2)
        self.apply(commands.ExpireSessions, ("node:n9:1",), (), ("node:n9:1",))
        self.assertTrue(permit.drained_at)

    def test_an_operator_s_word_takes_a_reason_and_a_member_that_lives_is_not_ended_by_it(self):
        (permit,) = self.ask("b0")
        self.assertFalse(self.apply(commands.OperatorStatement, "op", "w1", "drained", "b0", " ").ok)
        self.assertFalse(self.apply(commands.OperatorStatement, "op", "w2", "ended", "n2", "power cut").ok)
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w3", "drained", "b0", "I looked").ok)
        self.assertTrue(permit.drained_at)
        self.assertIn("without node:n0:1", permit.notes[0])

    def test_a_life_that_joins_meanwhile_is_waited_for_too(self):
        (permit,) = self.ask("b0")
        self.apply(commands.RegisterMember, "node", "n7", "2", "z0", "", "v1", False)
        self.clear("b0", 0, 1, 2)
        self.assertFalse(permit.drained_at)

    def test_grants_unknown_after_a_restore_count_as_out(self):
        self.world.generation = 2
        self.apply(commands.AdoptUnknownGrants, "node:n0:1", {"executor:b4": 1 << 40 | 7})
        self.assertEqual(self.states(list(self.world.permits.values())), ["lost"])
        self.assertEqual(self.states(self.ask("b1")), ["waiting"], "its zone has one out")
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w", "found", "b4", "seen").ok)

    def test_halted_by_mass_nothing_is_granted_till_it_is_over(self):
        self.apply(commands.HaltGrants, "9 of 9 members fell silent at once")
        (permit,) = self.ask("b0")
        self.assertEqual(permit.state, "waiting")
        self.assertIn("fell silent", permit.notes[0])
        self.assertTrue(self.apply(commands.OperatorStatement, "op", "w", "go-on", "", "a broken switch").ok)
        self.assertEqual(permit.state, "granted")


class Releasing(Fleet):
    def setUp(self):
        super().setUp()
        plan = ReleasePlan("v2", (("n0",), ("n1", "n2")), 2, 0, 5 * S, 10 * S, 1)
        self.number = self.apply(commands.PlanRelease, "op", "p", plan).created_ids[0]
        self.release = self.world.releases[self.number]

    def act(self, word: str) -> RequestOutcome:
        self.ids += 1
        return self.apply(commands.ControlRelease, "op", str(self.ids), self.number, word)

    def unit(self, n: int, state: str = "ready", exits: int = 0, version: str = "") -> None:
        unit = self.world.units[f"n{n}"]
        told = (version or unit.ordered_version, state, exits, unit.ordered_epoch)
        self.apply(commands.UpdateUnits, f"s{n}", {f"n{n}": told})

    def steps(self) -> list[str]:
        return [step.state for step in self.release.steps]

    def bake(self) -> None:
        self.apply(commands.RecordComparison, self.number, "", 100)
        self.pass_time(6 * S)

    def to_the_second_group(self) -> None:
        self.act("start")
        self.unit(0)
        self.bake()

    def test_a_good_release_goes_group_by_group_under_permits(self):
        self.act("start")
        self.assertEqual(self.steps(), ["changing", "old", "old"])
        self.unit(0)
        self.assertEqual(self.steps(), ["new", "old", "old"])
        self.bake()
        self.assertEqual(self.steps(), ["new", "changing", "asking"], "one node may be out, and width is two")
        self.unit(1)
        self.assertEqual(self.steps(), ["new", "new", "changing"])
        self.unit(2)
        self.bake()
        self.assertEqual(self.release.state, "done")
        self.assertFalse([p for p in self.world.permits.values() if p.out])

    def test_a_canary_that_never_comes_up_halts_and_goes_back_under_its_own_permit(self):
        self.act("start")
        self.unit(0, "starting")
        self.pass_time(11 * S)
        self.assertEqual((self.release.state, self.steps()), ("halted", ["failed", "old", "old"]))
        self.assertEqual(len([p for p in self.world.permits.values() if p.out]), 1)
        self.act("back")
        self.assertEqual(self.steps(), ["back-changing", "old", "old"])
        self.unit(0)
        self.assertEqual((self.release.state, self.world.units["n0"].ordered_version), ("backed", "v1"))

    def test_one_that_ends_by_itself_halts(self):
        self.act("start")
        self.unit(0, "failing", exits=2)
        self.assertEqual(self.release.state, "halted")
        self.assertIn("ended 2 times by itself", self.release.reasons[-1])

    def test_worse_halts_and_units_on_their_way_come_to_their_end(self):
        self.to_the_second_group()
        self.apply(commands.RecordComparison, self.number, "failed 9 of 40 against 0 of 200", 40)
        self.assertEqual((self.release.state, self.steps()), ("halted", ["new", "changing", "old"]))
        self.unit(1)
        self.assertEqual(self.steps(), ["new", "new", "old"])

    def test_back_is_possible_from_every_state_that_is_no_end_of_it(self):
        for state in {state for state, _ in release_states.STATES}:
            self.assertTrue((state, "back") in release_states.STATES or state == "backing", state)

    def test_the_way_back_failing_on_one_machine_halts_and_names_it(self):
        self.to_the_second_group()
        self.act("back")
        self.unit(1)
        self.unit(0, "starting")
        self.pass_time(11 * S)
        self.assertEqual(self.release.state, "back-halted")
        self.assertIn("n0", self.release.reasons[-1])
        touched = [step.unit for step in self.release.steps if step.state not in ("old", "restored")]
        self.assertEqual(touched, ["n0"])
        self.act("resume")
        self.unit(0)
        self.assertEqual(self.release.state, "backed")

    def test_halt_and_resume_by_two_at_once_have_one_order(self):
        self.act("start")
        self.assertTrue(self.act("halt").ok)
        self.assertTrue(self.act("resume").ok)
        self.assertFalse(self.act("resume").ok)
        self.assertIn("resume is not possible", self.act("resume").text)

    def test_only_one_release_of_a_target_at_a_time(self):
        self.act("start")
        done = self.apply(commands.PlanRelease, "op", "q", ReleasePlan("v3", (("n0",),)))
        self.assertFalse(done.ok)
        self.assertIn(f"release {self.number} is not at its end", done.text)

    def test_a_steward_that_falls_silent_in_a_change_loses_its_permit_and_finds_it_again(self):
        self.act("start")
        self.apply(commands.ExpireSessions, ("steward:s0:1",))
        self.assertEqual([p.state for p in self.world.permits.values()], ["lost"])
        self.assertEqual(self.states(self.ask("n1", kind="node")), ["waiting"])
        self.apply(commands.RestoreSession, "steward:s0:1")
        self.assertEqual(self.world.permits[2].state, "granted")

    def test_what_cannot_be_planned_is_said(self):
        for groups, words in (
            ((("n9",),), "no steward runs"),
            ((("n0",), ("n0",)), "one group"),
            ((), "no group"),
        ):
            done = self.apply(commands.PlanRelease, "op", f"r{groups}", ReleasePlan("v3", groups))
            self.assertFalse(done.ok)
            self.assertIn(words, done.text)


class Comparing(unittest.TestCase):
    PLAN = ReleasePlan("v2", (("n0",),))

    def test_a_fifth_failing_is_seen_and_noise_is_not(self):
        counts = RequestCounts
        self.assertIn("failed", reason_to_halt(self.PLAN, counts(60, 12), counts(600, 3)))
        self.assertEqual(reason_to_halt(self.PLAN, counts(60, 2), counts(600, 6)), "")
        self.assertEqual(reason_to_halt(self.PLAN, counts(49, 40), counts(600, 0)), "", "too few")
        self.assertEqual(
            reason_to_halt(self.PLAN, counts(90_000, 1_800), counts(900_000, 16_000)), "", "too small"
        )

    def test_the_chance_is_fisher_s(self):
        self.assertAlmostEqual(chance_if_alike(3, 4, 1, 4), 0.242857, 6)  # the lady tasting tea
        self.assertAlmostEqual(chance_if_alike(0, 10, 5, 10), 1.0, 9)

    def test_a_node_that_turns_new_keeps_what_it_did_before_with_the_rest(self):
        counts = RequestCounts
        sides = CanaryComparison({"a": counts(10), "b": counts(10)})
        sides.update({"a": counts(30, 1), "b": counts(30)}, set())
        sides.update({"a": counts(5), "b": counts(40)}, {"a"})
        sides.update({"a": counts(25, 8), "b": counts(50)}, {"a"})
        self.assertEqual((sides.new, sides.rest), (counts(20, 8), counts(60, 1)))


if __name__ == "__main__":
    unittest.main()
