"""Deadlines end to end, without sockets: sources, margins, claims, the ledger, and the races of leaving."""

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
from cedarmill.deadlines.sources import ClocksDiffer, InvalidDeadline, granted_budget
from cedarmill.deadlines.waste_ledger import Cause, WasteRow
from cedarmill.deadlines.worth_starting import RunningTimeQuantile
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import DeduplicationScope, Outcome
from cedarmill.values import SOURCES, DeadlineOptions
from tests.core.test_dispatch import Ports
from tests.support.builders import entry, keyed, settings

ALL = DeadlineOptions(sources=SOURCES, skew_us=50_000)
LONGEST = 6_000_000
UNIX = 1_800_000_000_000_000


def read(**headers: str) -> int:
    named = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    return granted_budget(named, ALL, LONGEST, UNIX)


class SourceTest(unittest.TestCase):
    def test_each_header_says_what_its_page_says(self):
        """A unit mistaken by a factor of a thousand would let work go on for hours, or never start it."""
        for headers, expected in (
            ({"x_budget_ms": "480"}, 480_000), ({"grpc_timeout": "1S"}, 1_000_000),
            ({"grpc_timeout": "250m"}, 250_000), ({"grpc_timeout": "99999999n"}, 99_999),
            ({"grpc_timeout": "700u"}, 700), ({"grpc_timeout": "1H"}, LONGEST), ({"grpc_timeout": "0n"}, 0),
            ({"x_envoy_expected_rq_timeout_ms": "15"}, 15_000),
            ({"x_deadline_unix_ms": str(UNIX // 1000 + 1000)}, 950_000),
        ):  # fmt: skip
            with self.subTest(headers):
                self.assertEqual(read(**headers), expected)

    def test_of_contradictory_ones_the_tightest_holds(self):
        """Each hop may have shortened one of them only."""
        headers = {"x_budget_ms": "900", "grpc_timeout": "2S", "x_envoy_expected_rq_timeout_ms": "300"}
        self.assertEqual(read(**headers), 300_000)

    def test_a_malformed_one_is_refused_whatever_else_is_there(self):
        """To pass over what cannot be read would be to guess how long a client waits."""
        for name, value in (("grpc_timeout", "5"), ("grpc_timeout", "123456789S"), ("grpc_timeout", "-1S"),
                            ("x_budget_ms", "1e3"), ("x_budget_ms", ""),
                            ("x_deadline_unix_ms", "soon"),
                            ("x_envoy_expected_rq_timeout_ms", "9" * 16)):  # fmt: skip
            with (
                self.subTest(name, value=value),
                self.assertRaisesRegex(InvalidDeadline, name.replace("_", "-")),
            ):
                read(**{"x_budget_ms": "100", name: value})
        with self.assertRaises(InvalidDeadline):
            read()

    def test_a_front_whose_clock_is_5_s_off_makes_nobody_late_unseen(self):
        """5 s behind: past, nothing starts. 5 s ahead: refused once it shows, else the relative one holds."""
        unix_ms = UNIX // 1000
        self.assertEqual(read(x_deadline_unix_ms=str(unix_ms + 4000 - 5000)), 0)
        with self.assertRaisesRegex(ClocksDiffer, "clocks"):
            read(x_deadline_unix_ms=str(unix_ms + 2000 + 5000))
        self.assertEqual(read(x_deadline_unix_ms=str(unix_ms + 500 + 5000), x_budget_ms="500"), 500_000)

    @given(st.integers(-50_000, 50_000), st.integers(0, LONGEST))
    def test_within_the_bound_no_clock_makes_a_request_run_past_its_deadline(self, off: int, rest: int):
        """An absolute deadline is worth as much as the bound on the clocks: it is taken off in full."""
        at_front = UNIX + off + rest  # what the front writes for a rest that is true
        headers = {b"x-deadline-unix-ms": str(at_front // 1000).encode()}
        self.assertLessEqual(granted_budget(headers, ALL, LONGEST, UNIX), rest)


class MarginsTest(unittest.TestCase):
    def learned(self, **changes) -> Margins:
        return Margins(DeadlineOptions(margin="learned", **changes))

    @given(st.lists(st.integers(0, 2_000_000)), st.integers(0, LONGEST))
    def test_never_more_is_passed_on_than_was_given(self, trips: list[int], rest: int):
        """Whatever was measured, a margin is bounded, and a tenth of a short budget at most."""
        margins = self.learned()
        for trip in trips:
            margins.record_round_trip(1, trip)
        passed = margins.remaining_for_executor(1, rest)
        self.assertLessEqual(passed, rest)
        self.assertGreaterEqual(passed, rest - min(margins.options.margin_us, rest // 10))

    def test_a_chain_of_three_gives_away_its_measured_margins_and_is_not_late(self):
        """Each hop keeps back its own lag and its trip to the next, once: no side takes it twice."""
        trips, lag, rest, given_away = (3_000, 9_000), 4_000, 1_000_000, 0
        for trip in (*trips, 0):
            margins = self.learned()
            for _ in range(50):
                margins.record_lag(lag)
                margins.record_round_trip(1, trip)
            due = rest - margins.for_answer(rest)
            passed = margins.remaining_for_executor(1, due)
            self.assertLessEqual(passed + trip + lag, rest)  # its answer is back before this hop's own ends
            given_away += rest - passed
            rest = passed
        floor = 2_000
        self.assertLessEqual(given_away, 1.05 * (3 * lag + sum(max(floor, trip) for trip in trips) + floor))

    def test_fixed_margins_are_the_platforms(self):
        """20 ms, a tenth of a short budget, and nothing more kept back from a executor."""
        margins = Margins(DeadlineOptions())
        margins.record_round_trip(1, 9_000)
        self.assertEqual([margins.for_answer(1_000_000), margins.for_answer(50_000)], [20_000, 5_000])
        self.assertEqual(margins.remaining_for_executor(1, 700), 700)


class WorthTest(unittest.TestCase):
    def test_a_quantile_is_near_the_true_one_and_follows_a_change(self):
        """Turned away by a quantile of last month, every request of a faster fleet would be refused."""
        draw, quantile = random.Random(5), RunningTimeQuantile(0.9)
        for mean in (500_000, 50_000):
            for _ in range(4_000):
                quantile.add_sample(int(draw.expovariate(1 / mean)))
            self.assertAlmostEqual(quantile.value() / (2.303 * mean), 1, delta=0.35)

    def test_few_samples_turn_nobody_away(self):
        """A first slow job must not close a class."""
        quantile = RunningTimeQuantile(0.9)
        for _ in range(19):
            quantile.add_sample(5_000_000)
        self.assertEqual(quantile.value(), 0)


class CoreCase(unittest.TestCase):
    """The core, driven: a balancer that does as it is told, and ports that note what they are asked for."""

    options = DeadlineOptions()

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.begin()

    def begin(self) -> None:
        self.ports, self.timers = Ports(), Timers()
        deadline_tracker = propagation.DeadlineTracker(self.options, 1)
        self.dispatch = Dispatch(self.ports, self.timers, self.ports, self.ports, deadline_tracker)
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1), entry(2)]))

    def arrive(self, *replies, due: int = 5_000_000):
        self.ports.replies[api.RequestArrived] = list(replies)
        return self.dispatch.arrive(0, self.ports, None, due, api.RequestArrived(0, 0, due))

    def out(self, at: int = 0):
        """A request with one attempt whose last byte has left."""
        request = self.arrive(api.Send(self.dispatch._last_request_id + 1, 1))
        self.dispatch.attempt_written(at, request.attempts[0])
        return request

    def rows(self) -> list[WasteRow]:
        return self.dispatch.deadline_tracker.ledger.take()

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)


class LeavingTest(CoreCase):
    def test_what_has_not_gone_out_whole_never_ran_once_its_client_left(self):
        """Connecting, or but for the held last byte: told as never sent, nothing charged, nothing resent."""
        request = self.arrive(api.Send(1, 1), api.Send(1, 2))
        self.ports.replies[api.AttemptEnded] = deque([api.Send(1, 1)])
        self.dispatch.withdraw(1_000, request)
        self.assertEqual([a.outcome for a in request.attempts[:2]], [Outcome.MOOT] * 2)
        self.assertEqual((len(self.ports.sent), self.ports.answers, self.rows()), (2, [], []))
        self.assertFalse(self.dispatch.may_write(1_000, request.attempts[0]))
        self.dispatch.attempt_written(1_001, request.attempts[0])  # a byte that crossed: too late to matter
        self.assertFalse(request.attempts[0].written)

    def test_a_probe_for_its_sake_alone_is_taken_back(self):
        """A probe costs the executor work; one that other requests asked for, or that is out, goes on."""
        self.arrive(api.Probe(1, 1), api.Probe(2, 1))
        first, second = self.ports.probes
        second.written = True
        self.dispatch.withdraw(1, self.dispatch.requests[1])
        self.assertEqual(self.ports.recalled, [first])
        told = [api.RequestWithdrawn(1), api.ProbeEnded(1, Outcome.MOOT)]
        self.assertEqual(self.ports.events[-2:], told)  # in this order: the balancer would place it once more
        self.assertEqual((self.dispatch.may_probe(first), self.dispatch.may_probe(second)), (False, False))
        self.ports.replies[api.ProbeEnded] = [api.Probe(2)]
        self.dispatch.probe_ended(2, second, Outcome.OK)
        self.assertTrue(self.dispatch.may_probe(self.ports.probes[-1]))

    def test_leaving_and_a_retry_in_one_turn_a_thousand_times_in_both_orders(self):
        """The real balancer: a timer, an end or a probe's answer may send again in the turn of the close."""
        for seed in range(1_000):
            draw = random.Random(seed)
            self.begin()
            balancer = Balancer(
                settings(keyed(DeduplicationScope.ALL), can_probe=seed % 3 == 0, tells_start=False), seed
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
            if draw.random() < 0.7:
                self.dispatch.attempt_written(1, first)
            outcome = draw.choice((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET))
            both = [
                lambda: self.dispatch.withdraw(300_000, request),  # noqa: B023
                lambda: self.dispatch.attempt_ended(300_000, first, outcome),  # noqa: B023
            ]
            leaves_first = bool(seed % 2)
            for event in both if leaves_first else reversed(both):
                event()
            sent = len(self.ports.sent)
            self.assertLessEqual(sent, 1 if leaves_first else 2)
            self.sweep(6_000_000)
            self.assertEqual(len(self.ports.sent), sent, f"seed {seed}: a send after the client left")
            self.assertFalse([a for a in request.attempts if a.outcome is None])
            self.assertLessEqual(len(self.ports.answers), 1)  # one that was given before it left, at most

    def test_the_first_answer_counts_where_a_client_leaves_with_two_copies_out(self):
        """Both orders: nobody is answered after leaving, and the loser is charged to its cause."""
        for leaves_first, cause in ((True, Cause.CLIENT_LEFT), (False, Cause.LOST_RACE)):
            self.begin()
            request = self.arrive(api.Send(1, 1), api.Send(1, 2))
            for attempt in request.attempts:
                self.dispatch.attempt_written(0, attempt)
            both = [
                lambda: self.dispatch.withdraw(1_000_000, request),  # noqa: B023
                lambda: self.dispatch.attempt_ended(1_000_000, request.attempts[0], Outcome.OK, None, b"x"),  # noqa: B023
            ]
            for event in both if leaves_first else reversed(both):
                event()
            self.dispatch.attempt_ended(1_500_000, request.attempts[1], Outcome.OK, None, b"y")
            self.assertEqual(self.ports.answers, [] if leaves_first else [("served", b"x")])
            rows = self.rows()
            self.assertEqual([row.cause for row in rows], [cause])
            self.assertEqual(rows[0].after, 500_000)
            self.assertEqual(self.dispatch.requests, {})

    def test_what_cannot_be_cancelled_counts_as_running_till_it_ends(self):
        """Slots believed free that are not would draw new work to a executor that is full."""
        request = self.out()
        self.ports.cancel = lambda attempt, now_or_never=False: now_or_never
        self.ports.replies[api.RequestWithdrawn] = [api.Cancel(1, 0)]
        self.dispatch.withdraw(1_000_000, request)
        self.assertIsNone(request.attempts[0].outcome)
        self.dispatch.attempt_ended(1_800_000, request.attempts[0], Outcome.OK, None, b"for nobody")
        self.assertEqual(self.rows(), [WasteRow(0, Cause.CLIENT_LEFT, 1, 1_000_000, 800_000, 0)])
        self.assertEqual((self.ports.answers, self.dispatch.requests), ([], {}))

    def test_one_that_could_not_be_cut_and_answers_was_spent_for_somebody(self):
        """The module cuts, the executor goes on, and its answer serves: nothing to charge."""
        request = self.out()
        self.ports.cancel = lambda attempt, now_or_never=False: now_or_never
        self.dispatch.actions.cancel(300_000, api.Cancel(request.id, 0))
        self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"x")
        self.assertEqual((self.ports.answers, self.rows()), ([("served", b"x")], []))

    def test_the_ledger_tells_each_cause_and_begins_anew(self):
        """Cut by the module, and overdue; what a blind cancel leaves running is guessed by the mean."""
        for _ in range(20):
            request = self.out()
            self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"")
        request = self.out()
        self.dispatch.actions.cancel(300_000, api.Cancel(request.id, 0))
        late = self.out(at=100_000)
        self.sweep(5_000_000)
        rows = {row.cause: row for row in self.rows()}
        self.assertEqual(set(rows), {Cause.ABANDONED, Cause.DEADLINE_PASSED})
        self.assertEqual((rows[Cause.ABANDONED].before, rows[Cause.ABANDONED].after), (300_000, 0))
        self.assertAlmostEqual(rows[Cause.ABANDONED].guessed, 500_000, delta=1_000)
        self.assertEqual(
            (rows[Cause.DEADLINE_PASSED].before, rows[Cause.DEADLINE_PASSED].guessed), (4_900_000, 0)
        )
        self.assertEqual((late.attempts[0].outcome, self.rows()), (Outcome.TIMEOUT, []))

    def test_a_deadline_that_is_past_or_shorter_than_a_probe_starts_nothing_slow(self):
        """Past on arrival: refused in the same turn. Shorter than a probe's wait: no probe is asked."""
        for due, answered in ((0, True), (30_000, False)):
            self.begin()
            self.dispatch.balancer = Balancer(
                settings(keyed(DeduplicationScope.ALL), can_probe=True, report_by_probe=True), 1
            )
            self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1)]))
            self.arrive(due=due)
            self.assertEqual((self.ports.probes, bool(self.ports.answers)), ([], answered))
            self.sweep(due)
            self.assertEqual(len(self.ports.answers), 1)


class WorthStartingTest(CoreCase):
    options = DeadlineOptions(worth_quantile=0.5)

    def test_what_cannot_end_in_time_is_refused_at_once_or_failed_where_it_ran(self):
        """The balancer hears nothing of the first; a hopeless retry may only fail what may have run."""
        for _ in range(30):
            request = self.out()
            self.dispatch.attempt_ended(800_000, request.attempts[0], Outcome.OK, None, b"")
        told = len(self.ports.events)
        self.ports.answers.clear()
        self.arrive(api.Send(31, 1), due=500_000)
        self.assertEqual((self.ports.answers, len(self.ports.events)), ([("refused", 0)], told))
        for outcome, answer in ((Outcome.RESET, "failed"), (Outcome.FULL, "refused")):
            self.ports.answers.clear()
            number = self.dispatch._last_request_id + 1
            request = self.arrive(api.Send(number, 1))
            self.ports.replies[api.AttemptEnded] = deque([api.Send(number, 2)])
            self.dispatch.attempt_ended(4_500_000, request.attempts[0], outcome)
            self.assertEqual([kind for kind, *_ in self.ports.answers], [answer])


if __name__ == "__main__":
    unittest.main()
