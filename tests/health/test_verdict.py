"""Tests of the verdicts: precedence of evidence, flap damping, panic mode and slow start."""

import random
import unittest

from cedarmill.health.codecs import agent
from cedarmill.health.codecs.agent import AgentReply, Status
from cedarmill.health.events import (
    AgentReplied,
    AttemptEnded,
    CheckEnded,
    ExecutorListed,
    ExecutorRemoved,
    TimeAdvanced,
    VerdictAction,
    VerdictChanged,
    VerdictEvent,
)
from cedarmill.health.verdict import VerdictOptions, Verdicts

S = 1_000_000  # Microseconds in a second.


class VerdictCase(unittest.TestCase):
    """Verdicts on ten executors, and their reported eligibility."""

    options = VerdictOptions()

    def setUp(self) -> None:
        self.now = 100 * S
        self.verdicts = Verdicts(self.options)
        self.eligibility: dict[int, bool] = {}  # Last reported, by executor.
        self.changes = 0  # Of the eligibility of all executors.
        for executor in range(10):
            self.feed(ExecutorListed(executor))

    def feed(self, event: VerdictEvent, after: int = 0) -> list[VerdictAction]:
        """Process an event, `after` microseconds later."""
        self.now += after
        actions = self.verdicts.step(self.now, event)
        for action in actions:
            if isinstance(action, VerdictChanged):
                self.changes += (
                    self.eligibility.get(action.executor, action.is_eligible) != action.is_eligible
                )
                self.eligibility[action.executor] = action.is_eligible
        return actions

    def reply(self, executor: int, text: bytes, after: int = 0) -> list[VerdictAction]:
        """Process a reply line of the executor's agent."""
        return self.feed(AgentReplied(executor, agent.parse(text)), after)

    def ineligible_executors(self) -> set[int]:
        """Return the executors that get no new requests."""
        return {executor for executor, is_eligible in self.eligibility.items() if not is_eligible}


class VerdictTest(VerdictCase):
    """The rules of precedence, damping, panic mode and slow start."""

    def test_lost_attempts_eject_an_executor_whose_checks_pass_until_a_probation_attempt_succeeds(self):
        """Two of ten executors fail at once; a second ejection is longer than the first."""
        for executor in (0, 1):
            for _ in range(self.options.losses_to_eject):
                self.assertNotIn(executor, self.ineligible_executors())
                self.feed(CheckEnded(executor, True))
                self.feed(AttemptEnded(executor, False), 100_000)
        self.assertEqual(self.ineligible_executors(), {0, 1})
        for _ in range(10):
            self.feed(CheckEnded(0, True), 100_000)
            self.reply(0, b"up 100%")
        self.assertEqual(self.ineligible_executors(), {0, 1})
        self.feed(TimeAdvanced(), 2 * S)
        self.assertEqual(self.ineligible_executors(), set())  # One probation attempt each, at minimum weight.
        self.feed(AttemptEnded(0, False), 100_000)
        self.feed(AttemptEnded(1, True))
        self.assertEqual(self.ineligible_executors(), {0})
        self.feed(TimeAdvanced(), 2 * S)
        self.assertEqual(self.ineligible_executors(), {0})  # The second ejection is longer.
        self.feed(TimeAdvanced(), 2 * S)
        self.feed(AttemptEnded(0, True))
        self.assertEqual(self.ineligible_executors(), set())

    def test_all_agents_down_at_once_changes_nothing_while_attempts_succeed_or_in_panic_mode(self):
        """Probably the network to the agents has failed, and not the executors."""
        for executor in range(10):
            self.feed(AttemptEnded(executor, True))
        for executor in range(10):
            self.reply(executor, b"down")
        self.assertEqual(self.ineligible_executors(), set())
        self.feed(TimeAdvanced(), 4 * S)  # Without recent answers panic mode starts.
        self.assertTrue(self.verdicts.is_panicking)
        self.assertEqual(self.ineligible_executors(), set())

    def test_drain_maint_and_zero_weight_take_effect_at_once(self):
        """Administrative states override answered attempts and panic mode."""
        self.feed(AttemptEnded(3, True))
        for executor, word in ((3, b"drain"), (4, b"maint"), (5, b"0%")):
            changed = [action for action in self.reply(executor, word) if isinstance(action, VerdictChanged)]
            self.assertEqual(
                [(change.executor, change.is_eligible) for change in changed], [(executor, False)]
            )
        for executor in range(10):
            self.reply(executor, b"drain")
        self.assertEqual(self.ineligible_executors(), set(range(10)))
        self.reply(3, b"up ready")
        self.assertNotIn(3, self.ineligible_executors())

    def test_consecutive_check_results_change_the_state_and_the_check_interval(self):
        """Three failures or two successes change the state; an opposite result resets the count."""
        results = [(False, True, 0.5), (False, True, 0.5), (True, True, 2), (False, True, 0.5),
                   (False, True, 0.5), (False, False, 5), (True, False, 0.5), (False, False, 5),
                   (True, False, 0.5), (True, True, 2)]  # fmt: skip
        for passed, is_eligible, interval in results:
            self.feed(CheckEnded(7, passed), S)
            self.assertEqual(
                (7 not in self.ineligible_executors(), self.verdicts.check_interval_us(7)),
                (is_eligible, interval * S),
            )

    def test_flapping_executor_is_suppressed_until_stable_and_at_most_for_the_maximum_time(self):
        """170 state changes, each 200 to 500 ms after the last, cause at most 4 verdict changes."""
        generator = random.Random(3)
        for change in range(170):
            self.reply(2, b"down" if change % 2 == 0 else b"up", generator.randint(200_000, 500_000))
        self.assertLessEqual(self.changes, 4)
        self.assertEqual(self.ineligible_executors(), {2})
        stable_since = self.now
        while 2 in self.ineligible_executors():
            self.feed(TimeAdvanced(), S)
            self.assertLessEqual(self.now - stable_since, self.options.damping.max_suppress_us + S)
        self.assertGreater(self.now - stable_since, self.options.damping.half_life_us)

    def test_weight_of_a_recovered_executor_grows_slowly(self):
        """Slow start applies even if the agent reports `up 100%` at once."""
        for _ in range(3):
            self.feed(CheckEnded(1, False))
        weights = [
            action.weight for action in self.reply(1, b"up 100%", S) if isinstance(action, VerdictChanged)
        ]
        for _ in range(11):
            weights += [
                action.weight for action in self.feed(TimeAdvanced(), S) if isinstance(action, VerdictChanged)
            ]
        self.assertEqual(weights, sorted(weights))
        self.assertEqual((weights[0], weights[-1]), (0.1, 1.0))

    def test_late_events_of_a_removed_executor_are_ignored(self):
        """Late evidence must not restore the executor."""
        self.feed(ExecutorRemoved(1))
        for event in (CheckEnded(1, True), AttemptEnded(1, False),
                      AgentReplied(1, AgentReply(Status.UP)), ExecutorRemoved(1)):  # fmt: skip
            self.assertEqual(self.feed(event), [])
