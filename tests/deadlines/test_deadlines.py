"""Tests of deadline headers, margins, claims, the waste ledger and client disconnects, without sockets."""

import logging
import random
import unittest
from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.timers import Timers
from cedarmill.deadlines import propagation
from cedarmill.deadlines.margins import Margins
from cedarmill.deadlines.sources import ClockSkewExceeded, InvalidDeadline, parse_budget
from cedarmill.deadlines.waste_ledger import Cause, WasteRow
from cedarmill.deadlines.worth_starting import RunningTimeQuantile
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import DeduplicationScope, Outcome
from cedarmill.values import SOURCES, DeadlineOptions
from tests.core.test_dispatch import FakePorts
from tests.support.builders import entry, keyed_class, settings

ALL_SOURCES = DeadlineOptions(sources=SOURCES, skew_us=50_000)
MAX_BUDGET_US = 6_000_000
ARRIVED_UNIX_US = 1_800_000_000_000_000


def parse_headers(**headers: str) -> int:
    by_header = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    return parse_budget(by_header, ALL_SOURCES, MAX_BUDGET_US, ARRIVED_UNIX_US)


class DeadlineHeadersTest(unittest.TestCase):
    def test_each_header_is_converted_to_microseconds(self):
        """Guards against a wrong unit, which would start no work or let it run for hours."""
        for headers, expected in (
            ({"x_budget_ms": "480"}, 480_000), ({"grpc_timeout": "1S"}, 1_000_000),
            ({"grpc_timeout": "250m"}, 250_000), ({"grpc_timeout": "99999999n"}, 99_999),
            ({"grpc_timeout": "700u"}, 700), ({"grpc_timeout": "1H"}, MAX_BUDGET_US),
            ({"grpc_timeout": "0n"}, 0),
            ({"x_envoy_expected_rq_timeout_ms": "15"}, 15_000),
            ({"x_deadline_unix_ms": str(ARRIVED_UNIX_US // 1000 + 1000)}, 950_000),
        ):  # fmt: skip
            with self.subTest(headers):
                self.assertEqual(parse_headers(**headers), expected)

    def test_smallest_of_several_budgets_is_used(self):
        """A hop may have shortened only one of the headers."""
        headers = {"x_budget_ms": "900", "grpc_timeout": "2S", "x_envoy_expected_rq_timeout_ms": "300"}
        self.assertEqual(parse_headers(**headers), 300_000)

    def test_malformed_or_missing_header_is_rejected(self):
        """Ignoring a malformed header would mean to guess how long the client waits."""
        for name, value in (("grpc_timeout", "5"), ("grpc_timeout", "123456789S"), ("grpc_timeout", "-1S"),
                            ("x_budget_ms", "1e3"), ("x_budget_ms", ""),
                            ("x_deadline_unix_ms", "soon"),
                            ("x_envoy_expected_rq_timeout_ms", "9" * 16)):  # fmt: skip
            with (
                self.subTest(name, value=value),
                self.assertRaisesRegex(InvalidDeadline, name.replace("_", "-")),
            ):
                parse_headers(**{"x_budget_ms": "100", name: value})
        with self.assertRaises(InvalidDeadline):
            parse_headers()

    def test_absolute_deadline_from_a_clock_5_s_off(self):
        """A clock 5 s behind gives a passed deadline; one 5 s ahead is detected or a relative header wins."""
        unix_ms = ARRIVED_UNIX_US // 1000
        self.assertEqual(parse_headers(x_deadline_unix_ms=str(unix_ms + 4000 - 5000)), 0)
        with self.assertRaisesRegex(ClockSkewExceeded, "clocks"):
            parse_headers(x_deadline_unix_ms=str(unix_ms + 2000 + 5000))
        self.assertEqual(
            parse_headers(x_deadline_unix_ms=str(unix_ms + 500 + 5000), x_budget_ms="500"), 500_000
        )

    @given(st.integers(-50_000, 50_000), st.integers(0, MAX_BUDGET_US))
    def test_clock_skew_within_the_limit_never_extends_a_deadline(self, clock_offset: int, remaining: int):
        """The maximum skew is subtracted from an absolute deadline that a proxy with a wrong clock wrote."""
        proxy_deadline_us = ARRIVED_UNIX_US + clock_offset + remaining
        headers = {b"x-deadline-unix-ms": str(proxy_deadline_us // 1000).encode()}
        self.assertLessEqual(parse_budget(headers, ALL_SOURCES, MAX_BUDGET_US, ARRIVED_UNIX_US), remaining)


class MarginsTest(unittest.TestCase):
    def learned_margins(self, **changes) -> Margins:
        return Margins(DeadlineOptions(margin="learned", **changes))

    @given(st.lists(st.integers(0, 2_000_000)), st.integers(0, MAX_BUDGET_US))
    def test_learned_margin_is_bounded_and_never_negative(self, round_trips: list[int], remaining: int):
        """A learned margin is at most the configured maximum and a tenth of the budget."""
        margins = self.learned_margins()
        for round_trip in round_trips:
            margins.record_round_trip(1, round_trip)
        passed = margins.executor_budget(1, remaining)
        self.assertLessEqual(passed, remaining)
        self.assertGreaterEqual(passed, remaining - min(margins.options.margin_us, remaining // 10))

    def test_chain_of_three_hops_subtracts_each_margin_once_and_answers_in_time(self):
        """Each hop subtracts its own lag and the round trip to the next hop exactly once."""
        round_trips, lag, remaining, total_margin = (3_000, 9_000), 4_000, 1_000_000, 0
        for round_trip in (*round_trips, 0):
            margins = self.learned_margins()
            for _ in range(50):
                margins.record_lag(lag)
                margins.record_round_trip(1, round_trip)
            due = remaining - margins.answer_margin(remaining)
            passed = margins.executor_budget(1, due)
            # The answer returns before this hop's deadline.
            self.assertLessEqual(passed + round_trip + lag, remaining)
            total_margin += remaining - passed
            remaining = passed
        floor = 2_000
        self.assertLessEqual(
            total_margin, 1.05 * (3 * lag + sum(max(floor, round_trip) for round_trip in round_trips) + floor)
        )

    def test_fixed_margins_are_those_of_the_platform(self):
        """The margin is 20 ms or a tenth of a short budget; none is subtracted for an executor."""
        margins = Margins(DeadlineOptions())
        margins.record_round_trip(1, 9_000)
        self.assertEqual([margins.answer_margin(1_000_000), margins.answer_margin(50_000)], [20_000, 5_000])
        self.assertEqual(margins.executor_budget(1, 700), 700)


class RunningTimeQuantileTest(unittest.TestCase):
    def test_quantile_is_accurate_and_follows_a_change(self):
        """An outdated quantile would reject all requests after the executors become faster."""
        rng, quantile = random.Random(5), RunningTimeQuantile(0.9)
        for mean in (500_000, 50_000):
            for _ in range(4_000):
                quantile.add_sample(int(rng.expovariate(1 / mean)))
            self.assertAlmostEqual(quantile.value() / (2.303 * mean), 1, delta=0.35)

    def test_few_samples_give_no_quantile(self):
        """A slow first request must not cause the whole class to be rejected."""
        quantile = RunningTimeQuantile(0.9)
        for _ in range(19):
            quantile.add_sample(5_000_000)
        self.assertEqual(quantile.value(), 0)


class DispatchTestCase(unittest.TestCase):
    """A dispatch with a fake balancer and fake ports."""

    options = DeadlineOptions()

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.create_dispatch()

    def create_dispatch(self) -> None:
        self.ports, self.timers = FakePorts(), Timers()
        deadline_tracker = propagation.DeadlineTracker(self.options, 1)
        self.dispatch = Dispatch(self.ports, self.timers, self.ports, self.ports, deadline_tracker)
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1), entry(2)]))

    def arrive(self, *replies, due: int = 5_000_000):
        self.ports.replies[api.RequestArrived] = list(replies)
        return self.dispatch.arrive(0, self.ports, None, due, api.RequestArrived(0, 0, due))

    def send_attempt(self, at: int = 0):
        """Return a new request with one completely written attempt."""
        request = self.arrive(api.Send(self.dispatch._last_request_id + 1, 1))
        self.dispatch.attempt_written(at, request.attempts[0])
        return request

    def take_waste(self) -> list[WasteRow]:
        return self.dispatch.deadline_tracker.ledger.drain_rows()

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)


class ClientDisconnectTest(DispatchTestCase):
    def test_unwritten_attempts_are_moot_after_the_client_left(self):
        """Such an attempt ends as MOOT, is charged to no cause and is not retried."""
        request = self.arrive(api.Send(1, 1), api.Send(1, 2))
        self.ports.replies[api.AttemptEnded] = deque([api.Send(1, 1)])
        self.dispatch.withdraw(1_000, request)
        self.assertEqual([a.outcome for a in request.attempts[:2]], [Outcome.MOOT] * 2)
        self.assertEqual((len(self.ports.sent), self.ports.answers, self.take_waste()), (2, [], []))
        self.assertFalse(self.dispatch.may_write(1_000, request.attempts[0]))
        self.dispatch.attempt_written(1_001, request.attempts[0])  # a late report, which is ignored
        self.assertFalse(request.attempts[0].written)

    def test_unwritten_probe_for_a_withdrawn_request_is_recalled(self):
        """Only unwritten probes for the withdrawn request alone are cancelled."""
        self.arrive(api.Probe(1, 1), api.Probe(2, 1))
        first, second = self.ports.probes
        second.written = True
        self.dispatch.withdraw(1, self.dispatch.requests[1])
        self.assertEqual(self.ports.recalled, [first])
        expected = [api.RequestWithdrawn(1), api.ProbeEnded(1, Outcome.MOOT)]
        self.assertEqual(self.ports.events[-2:], expected)  # in this order, or the balancer would retry
        self.assertEqual((self.dispatch.may_probe(first), self.dispatch.may_probe(second)), (False, False))
        self.ports.replies[api.ProbeEnded] = [api.Probe(2)]
        self.dispatch.probe_ended(2, second, Outcome.OK)
        self.assertTrue(self.dispatch.may_probe(self.ports.probes[-1]))

    def test_no_retry_follows_when_the_client_leaves_at_the_time_of_a_failure(self):
        """With the real balancer, no attempt is sent after the client has left, in either order of events."""
        for seed in range(1_000):
            rng = random.Random(seed)
            self.create_dispatch()
            balancer = Balancer(
                settings(keyed_class(DeduplicationScope.ALL), can_probe=seed % 3 == 0, tells_start=False),
                seed,
            )
            self.dispatch.balancer = balancer
            self.dispatch.on_endpoint_list(
                0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1), entry(2)])
            )
            request = self.dispatch.arrive(
                0, self.ports, None, 5_000_000, api.RequestArrived(0, 0, 5_000_000)
            )
            self.sweep(200_000)
            if not self.ports.sent:
                continue
            first = self.ports.sent[0]
            if rng.random() < 0.7:
                self.dispatch.attempt_written(1, first)
            outcome = rng.choice((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET))
            events = [
                lambda: self.dispatch.withdraw(300_000, request),  # noqa: B023
                lambda: self.dispatch.attempt_ended(300_000, first, outcome),  # noqa: B023
            ]
            leaves_first = bool(seed % 2)
            for event in events if leaves_first else reversed(events):
                event()
            sent = len(self.ports.sent)
            self.assertLessEqual(sent, 1 if leaves_first else 2)
            self.sweep(6_000_000)
            self.assertEqual(len(self.ports.sent), sent, f"seed {seed}: sent after the client left")
            self.assertFalse([a for a in request.attempts if a.outcome is None])
            self.assertLessEqual(len(self.ports.answers), 1)  # at most the one from before the client left

    def test_client_that_leaves_during_a_hedged_request(self):
        """No answer follows a withdrawal, and the losing attempt is charged to the right cause."""
        for leaves_first, cause in ((True, Cause.CLIENT_LEFT), (False, Cause.LOST_RACE)):
            self.create_dispatch()
            request = self.arrive(api.Send(1, 1), api.Send(1, 2))
            for attempt in request.attempts:
                self.dispatch.attempt_written(0, attempt)
            events = [
                lambda: self.dispatch.withdraw(1_000_000, request),  # noqa: B023
                lambda: self.dispatch.attempt_ended(1_000_000, request.attempts[0], Outcome.OK, None, b"x"),  # noqa: B023
            ]
            for event in events if leaves_first else reversed(events):
                event()
            self.dispatch.attempt_ended(1_500_000, request.attempts[1], Outcome.OK, None, b"y")
            self.assertEqual(self.ports.answers, [] if leaves_first else [("served", b"x")])
            rows = self.take_waste()
            self.assertEqual([row.cause for row in rows], [cause])
            self.assertEqual(rows[0].after, 500_000)
            self.assertEqual(self.dispatch.requests, {})

    def test_uncancellable_attempt_counts_as_running_until_it_ends(self):
        """Counting its slots as free too early would send new work to a full executor."""
        request = self.send_attempt()
        self.ports.cancel = lambda attempt, force=False: force
        self.ports.replies[api.RequestWithdrawn] = [api.Cancel(1, 0)]
        self.dispatch.withdraw(1_000_000, request)
        self.assertIsNone(request.attempts[0].outcome)
        self.dispatch.attempt_ended(1_800_000, request.attempts[0], Outcome.OK, None, b"for nobody")
        self.assertEqual(self.take_waste(), [WasteRow(0, Cause.CLIENT_LEFT, 1, 1_000_000, 800_000, 0)])
        self.assertEqual((self.ports.answers, self.dispatch.requests), ([], {}))

    def test_uncancellable_attempt_that_answers_is_not_waste(self):
        """An attempt that outlives its cancellation and serves the client is not charged as waste."""
        request = self.send_attempt()
        self.ports.cancel = lambda attempt, force=False: force
        self.dispatch.actions.cancel(300_000, api.Cancel(request.id, 0))
        self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"x")
        self.assertEqual((self.ports.answers, self.take_waste()), ([("served", b"x")], []))

    def test_ledger_reports_each_cause_and_resets(self):
        """Unobserved running time after a cancel is estimated from the class's mean running time."""
        for _ in range(20):
            request = self.send_attempt()
            self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"")
        request = self.send_attempt()
        self.dispatch.actions.cancel(300_000, api.Cancel(request.id, 0))
        late = self.send_attempt(at=100_000)
        self.sweep(5_000_000)
        rows = {row.cause: row for row in self.take_waste()}
        self.assertEqual(set(rows), {Cause.ABANDONED, Cause.DEADLINE_PASSED})
        self.assertEqual((rows[Cause.ABANDONED].before, rows[Cause.ABANDONED].after), (300_000, 0))
        self.assertAlmostEqual(rows[Cause.ABANDONED].guessed, 500_000, delta=1_000)
        self.assertEqual(
            (rows[Cause.DEADLINE_PASSED].before, rows[Cause.DEADLINE_PASSED].guessed), (4_900_000, 0)
        )
        self.assertEqual((late.attempts[0].outcome, self.take_waste()), (Outcome.TIMEOUT, []))

    def test_passed_or_short_deadline_sends_no_probe(self):
        """A passed deadline is refused at once, and a short one sends no probe."""
        for due, answered in ((0, True), (30_000, False)):
            self.create_dispatch()
            self.dispatch.balancer = Balancer(
                settings(keyed_class(DeduplicationScope.ALL), can_probe=True, report_by_probe=True), 1
            )
            self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1)]))
            self.arrive(due=due)
            self.assertEqual((self.ports.probes, bool(self.ports.answers)), ([], answered))
            self.sweep(due)
            self.assertEqual(len(self.ports.answers), 1)


class WorthStartingTest(DispatchTestCase):
    options = DeadlineOptions(worth_quantile=0.5)

    def test_request_that_cannot_finish_in_time_is_refused_or_fails(self):
        """A hopeless request is refused without the balancer; a hopeless retry fails if it may have run."""
        for _ in range(30):
            request = self.send_attempt()
            self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"")
        event_count = len(self.ports.events)
        self.ports.answers.clear()
        self.arrive(api.Send(31, 1), due=500_000)
        self.assertEqual((self.ports.answers, len(self.ports.events)), ([("refused", 0)], event_count))
        for outcome, answer in ((Outcome.RESET, "failed"), (Outcome.FULL, "refused")):
            self.ports.answers.clear()
            number = self.dispatch._last_request_id + 1
            request = self.arrive(api.Send(number, 1))
            self.ports.replies[api.AttemptEnded] = deque([api.Send(number, 2)])
            self.dispatch.attempt_ended(4_500_000, request.attempts[0], outcome)
            self.assertEqual([kind for kind, *_ in self.ports.answers], [answer])


if __name__ == "__main__":
    unittest.main()
