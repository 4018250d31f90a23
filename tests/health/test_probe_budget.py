"""What probes may cost: shared probes, one rate for each executor, and even spreading."""

import unittest

from cedarmill.health.events import (
    EvidenceReceived,
    ExecutorRemoved,
    ProbeFailed,
    ProbeRequested,
    SendProbe,
    TimeAdvanced,
    WakeAt,
)
from cedarmill.health.probe_budget import ProbeBudget

S = 1_000_000  # microseconds of a second


class ProbeBudgetTest(unittest.TestCase):
    """Rates, sharing and spreading."""

    def test_two_sources_share_one_probe_and_recent_evidence_spares_it(self):
        """Each probe costs the executor work: one answer serves all that ask."""
        budget = ProbeBudget(1.0, 100.0, 10.0, 1)
        self.assertEqual(budget.step(0, ProbeRequested(1, "agent", 0)), [SendProbe(1, ("agent",))])
        self.assertEqual(budget.step(1, ProbeRequested(1, "balancer", 0)), [])
        budget.step(2, EvidenceReceived(1, from_probe=True))
        self.assertEqual(budget.step(S, ProbeRequested(1, "agent", 2 * S)), [])
        budget.step(2 * S, EvidenceReceived(1))  # traffic
        self.assertEqual(budget.step(3 * S, ProbeRequested(1, "agent", 2 * S)), [])
        self.assertEqual((budget.sent, budget.shared, budget.avoided), (1, 1, 2))

    def test_however_often_an_executor_is_asked_for_it_is_probed_at_its_rate(self):
        """A flapping agent that asks for a probe with each change causes no flood of probes."""
        budget, sent_at = ProbeBudget(0.5, 100.0, 10.0, 1), []
        for now in range(0, 60 * S, 50_000):
            for action in budget.step(now, ProbeRequested(1, "flap", 0)):
                if isinstance(action, SendProbe):
                    sent_at.append(now)
                    budget.step(now, ProbeFailed(1) if now % 2 else EvidenceReceived(1, from_probe=True))
        self.assertLessEqual(len(sent_at), 31)
        self.assertGreaterEqual(len(sent_at), 29)

    def test_a_thousand_executors_listed_at_once_are_probed_evenly(self):
        """Every 2 s each, by the node's bucket and jitter: no 100 ms holds more than twice the mean."""
        budget, due, slots = ProbeBudget(2.0, 600.0, 30.0, 1), {}, {}
        for executor in range(1000):
            due[executor] = (
                budget.next_request_at(0, 2 * S) - 2 * S + executor * 2_000
            )  # a source spreads its first round
        for now in range(0, 10 * S, 10_000):
            actions = budget.step(now, TimeAdvanced())
            for executor, at in due.items():
                if at <= now:
                    due[executor] = budget.next_request_at(now, 2 * S)
                    actions += budget.step(now, ProbeRequested(executor, "check", 0))
            for action in actions:
                if isinstance(action, SendProbe):
                    slots[now // 100_000] = slots.get(now // 100_000, 0) + 1
                    budget.step(now, EvidenceReceived(action.executor, from_probe=True))
        busy = [slots.get(n, 0) for n in range(30, 100)]
        self.assertAlmostEqual(sum(busy) / len(busy), 50, delta=5)
        self.assertLess(max(busy), 100)

    def test_a_probe_of_a_removed_executor_is_not_sent(self):
        """It waits for a token when the endpoint list drops it."""
        budget = ProbeBudget(0.1, 100.0, 10.0, 1)
        budget.step(0, ProbeRequested(1, "a", 0))
        budget.step(1, EvidenceReceived(1, from_probe=True))
        self.assertIsInstance(budget.step(2, ProbeRequested(1, "a", 0))[0], WakeAt)
        budget.step(3, ExecutorRemoved(1))
        self.assertEqual(budget.step(60 * S, TimeAdvanced()), [])
