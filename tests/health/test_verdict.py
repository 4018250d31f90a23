"""Verdicts on executors: which evidence wins, damping, panic, and how an executor comes back."""

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

S = 1_000_000  # microseconds of a second


class VerdictCase(unittest.TestCase):
    """Ten executors, and the verdicts on them as the caller has them."""

    options = VerdictOptions()

    def setUp(self) -> None:
        self.now = 100 * S
        self.verdicts = Verdicts(self.options)
        self.wanted: dict[int, bool] = {}  # the verdict on each executor
        self.changes = 0  # of those verdicts
        for executor in range(10):
            self.feed(ExecutorListed(executor))

    def feed(self, event: VerdictEvent, after: int = 0) -> list[VerdictAction]:
        """Step with an event, so many microseconds later."""
        self.now += after
        actions = self.verdicts.step(self.now, event)
        for action in actions:
            if isinstance(action, VerdictChanged):
                self.changes += self.wanted.get(action.executor, action.is_eligible) != action.is_eligible
                self.wanted[action.executor] = action.is_eligible
        return actions

    def reply(self, executor: int, text: bytes, after: int = 0) -> list[VerdictAction]:
        """The executor's agent replies this line."""
        return self.feed(AgentReplied(executor, agent.parse(text)), after)

    def out(self) -> set[int]:
        """The executors that get no new requests."""
        return {executor for executor, wanted in self.wanted.items() if not wanted}


class VerdictTest(VerdictCase):
    """Each rule of the order of evidence."""

    def test_an_executor_that_loses_attempts_is_out_though_its_checks_pass_and_comes_back(self):
        """A fifth of all at once: out within 3 attempts each, back by one probation attempt."""
        for executor in (0, 1):
            for _ in range(self.options.losses_to_eject):
                self.assertNotIn(executor, self.out())
                self.feed(CheckEnded(executor, True))
                self.feed(AttemptEnded(executor, False), 100_000)
        self.assertEqual(self.out(), {0, 1})
        for _ in range(10):
            self.feed(CheckEnded(0, True), 100_000)
            self.reply(0, b"up 100%")
        self.assertEqual(self.out(), {0, 1})
        self.feed(TimeAdvanced(), 2 * S)
        self.assertEqual(self.out(), set())  # one probation attempt each, at the least weight
        self.feed(AttemptEnded(0, False), 100_000)
        self.feed(AttemptEnded(1, True))
        self.assertEqual(self.out(), {0})
        self.feed(TimeAdvanced(), 2 * S)
        self.assertEqual(self.out(), {0})  # the second ejection is longer
        self.feed(TimeAdvanced(), 2 * S)
        self.feed(AttemptEnded(0, True))
        self.assertEqual(self.out(), set())

    def test_all_agents_down_at_once_while_attempts_succeed_changes_nothing(self):
        """The network between is gone, not the executors: what attempts show wins, while they show it."""
        for executor in range(10):
            self.feed(AttemptEnded(executor, True))
        for executor in range(10):
            self.reply(executor, b"down")
        self.assertEqual(self.out(), set())
        self.feed(TimeAdvanced(), 4 * S)  # no attempts either: but nearly all cannot be dead
        self.assertTrue(self.verdicts.is_panicking)
        self.assertEqual(self.out(), set())

    def test_drain_and_maint_are_obeyed_at_once_whatever_works(self):
        """What operators want is no question of health, nor of panic."""
        self.feed(AttemptEnded(3, True))
        for executor, word in ((3, b"drain"), (4, b"maint"), (5, b"0%")):
            changed = [action for action in self.reply(executor, word) if isinstance(action, VerdictChanged)]
            self.assertEqual(
                [(change.executor, change.is_eligible) for change in changed], [(executor, False)]
            )
        for executor in range(10):
            self.reply(executor, b"drain")
        self.assertEqual(self.out(), set(range(10)))
        self.reply(3, b"up ready")
        self.assertNotIn(3, self.out())

    def test_rise_and_fall_and_the_intervals_between(self):
        """Three failures take an executor out, two successes bring it back; another kind starts anew."""
        results = [(False, True, 0.5), (False, True, 0.5), (True, True, 2), (False, True, 0.5),
                   (False, True, 0.5), (False, False, 5), (True, False, 0.5), (False, False, 5),
                   (True, False, 0.5), (True, True, 2)]  # fmt: skip
        for passed, wanted, interval in results:
            self.feed(CheckEnded(7, passed), S)
            self.assertEqual(
                (7 not in self.out(), self.verdicts.check_interval_us(7)), (wanted, interval * S)
            )

    def test_a_flapping_agent_is_kept_out_until_it_keeps_still_and_no_longer_than_the_ceiling(self):
        """200 to 500 ms a state for 60 s: a few changes of the list, not two hundred."""
        generator = random.Random(3)
        for change in range(170):
            self.reply(2, b"down" if change % 2 == 0 else b"up", generator.randint(200_000, 500_000))
        self.assertLessEqual(self.changes, 4)
        self.assertEqual(self.out(), {2})
        still = self.now
        while 2 in self.out():
            self.feed(TimeAdvanced(), S)
            self.assertLessEqual(self.now - still, self.options.damping.max_suppress_us + S)
        self.assertGreater(self.now - still, self.options.damping.half_life_us)

    def test_an_executor_that_comes_back_is_let_in_slowly(self):
        """An executor that its agent calls `up 100%` at once must not be overloaded while it warms up."""
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

    def test_a_removed_executor_is_forgotten(self):
        """Evidence that crosses its removal must not bring it back."""
        self.feed(ExecutorRemoved(1))
        for event in (CheckEnded(1, True), AttemptEnded(1, False),
                      AgentReplied(1, AgentReply(Status.UP)), ExecutorRemoved(1)):  # fmt: skip
            self.assertEqual(self.feed(event), [])
