"""Tests of the probe budget: shared probes, rate limits and jitter."""

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

S = 1_000_000  # Microseconds in a second.


class ProbeBudgetTest(unittest.TestCase):
    """Rate limits, sharing and jitter of probes."""

    def test_sources_share_a_probe_and_recent_evidence_replaces_it(self):
        """One answer serves all sources, since each probe costs the executor work."""
        budget = ProbeBudget(1.0, 100.0, 10.0, 1)
        self.assertEqual(budget.step(0, ProbeRequested(1, "agent", 0)), [SendProbe(1, ("agent",))])
        self.assertEqual(budget.step(1, ProbeRequested(1, "balancer", 0)), [])
        budget.step(2, EvidenceReceived(1, from_probe=True))
        self.assertEqual(budget.step(S, ProbeRequested(1, "agent", 2 * S)), [])
        budget.step(2 * S, EvidenceReceived(1))  # Evidence from traffic.
        self.assertEqual(budget.step(3 * S, ProbeRequested(1, "agent", 2 * S)), [])
        self.assertEqual((budget.sent, budget.shared, budget.avoided), (1, 1, 2))

    def test_frequent_requests_do_not_exceed_the_probe_rate_of_an_executor(self):
        """A flapping agent, which requests a probe at each change, must not cause a flood."""
        budget, sent_at = ProbeBudget(0.5, 100.0, 10.0, 1), []
        for now in range(0, 60 * S, 50_000):
            for action in budget.step(now, ProbeRequested(1, "flap", 0)):
                if isinstance(action, SendProbe):
                    sent_at.append(now)
                    budget.step(now, ProbeFailed(1) if now % 2 else EvidenceReceived(1, from_probe=True))
        self.assertLessEqual(len(sent_at), 31)
        self.assertGreaterEqual(len(sent_at), 29)

    def test_probes_of_a_thousand_executors_listed_at_once_are_spread(self):
        """No interval of 100 ms has more than twice the mean number of probes."""
        budget, due, slots = ProbeBudget(2.0, 600.0, 30.0, 1), {}, {}
        for executor in range(1000):
            due[executor] = (
                budget.next_request_at(0, 2 * S) - 2 * S + executor * 2_000
            )  # A source spreads its first requests.
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

    def test_queued_probe_of_a_removed_executor_is_not_sent(self):
        """The executor is removed while its probe waits for a token."""
        budget = ProbeBudget(0.1, 100.0, 10.0, 1)
        budget.step(0, ProbeRequested(1, "a", 0))
        budget.step(1, EvidenceReceived(1, from_probe=True))
        self.assertIsInstance(budget.step(2, ProbeRequested(1, "a", 0))[0], WakeAt)
        budget.step(3, ExecutorRemoved(1))
        self.assertEqual(budget.step(60 * S, TimeAdvanced()), [])
