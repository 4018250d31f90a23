"""Tests of the dispatch, the timers and the endpoint reader, without sockets."""

import logging
import time
import unittest
from collections import deque

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.timers import Timers
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import DeduplicationScope, Outcome
from cedarmill.net.discovery.endpoints import Endpoint, EndpointReader
from tests.support.builders import entry, keyed_class, settings


class FakePorts:
    """Fake balancer with preset replies, and fake ports that record their calls and can be made to fail."""

    def __init__(self) -> None:
        self.settings = settings(keyed_class(DeduplicationScope.ALL, window_us=1_000_000))
        self.events: list[api.Event] = []
        self.replies: dict[type, object] = {}
        self.answers: list[tuple] = []
        self.sent: list = []
        self.cancelled: list = []
        self.probes: list = []
        self.recalled: list = []
        self.unsent: list = []  # attempts whose last byte has not been sent
        self.failing_calls: set[str] = set()

    def handle(self, now: int, event: api.Event):
        self.events.append(event)
        reply = self.replies.get(type(event), [])
        if isinstance(reply, Exception):
            raise reply
        if isinstance(reply, deque):  # a queue of actions that are each returned once
            return [reply.popleft()] if reply else []
        return reply

    def _record(self, name: str, calls: list, value) -> None:
        calls.append(value)
        if name in self.failing_calls:
            raise OSError(name)

    def send(self, attempt) -> None:
        self._record("send", self.sent, attempt)

    def cancel(self, attempt, force: bool = False) -> None:
        self._record("cancel", self.cancelled, attempt)

    def is_unsent(self, attempt) -> bool:
        return attempt in self.unsent

    def probe(self, probe) -> None:
        self._record("probe", self.probes, probe)

    def withdraw_probe(self, probe) -> None:
        self._record("withdraw_probe", self.recalled, probe)

    def watch(self) -> None:
        self._record("watch", [], None)

    def send_result(self, result) -> None:
        self._record("send_result", self.answers, ("served", result))

    def send_refusal(self, retry_after_us: int) -> None:
        self._record("send_refusal", self.answers, ("refused", retry_after_us))

    def is_connected(self) -> bool:
        return True

    def send_failure(self) -> None:
        self._record("send_failure", self.answers, ("failed",))


class DispatchTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.ports, self.timers = FakePorts(), Timers()
        self.dispatch = Dispatch(self.ports, self.timers, self.ports, self.ports)
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1)]))

    def arrive(self, *replies, due: int = 5_000_000):
        self.ports.replies[api.RequestArrived] = list(replies)
        return self.dispatch.arrive(0, self.ports, None, due, api.RequestArrived(0, 0, due))

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)

    def assert_all_finished(self, *answers: tuple) -> None:
        self.assertEqual(self.ports.answers, list(answers))
        self.assertEqual((self.dispatch.requests, self.dispatch.unanswered), ({}, 0))

    def test_exception_on_arrival_fails_the_request(self):
        """An exception in the balancer affects the current request only."""
        self.ports.replies[api.RequestArrived] = ZeroDivisionError()
        self.dispatch.arrive(0, self.ports, None, 5_000_000, api.RequestArrived(0, 0, 5_000_000))
        self.assert_all_finished(("failed",))
        self.assertEqual(self.ports.events[-1], api.RequestWithdrawn(1))

    def test_exception_on_an_outcome_fails_the_request(self):
        """Otherwise the request would stay open until its deadline."""
        self.arrive(api.Send(1, 1))
        self.ports.replies[api.AttemptEnded] = ZeroDivisionError()
        self.dispatch.attempt_ended(1, self.ports.sent[0], Outcome.RESET)
        self.assert_all_finished(("failed",))

    def test_only_the_first_final_answer_is_sent(self):
        """Later results, also those of other attempts, are not sent to the client."""
        self.arrive(api.Send(1, 1), api.Send(1, 1))
        self.dispatch.attempt_ended(1, self.ports.sent[0], Outcome.OK, None, b"first")
        self.ports.replies[api.AttemptEnded] = [api.Fail(1)]
        self.dispatch.attempt_ended(2, self.ports.sent[1], Outcome.OK, None, b"second")
        self.dispatch.attempt_ended(3, self.ports.sent[1], Outcome.RESET)
        self.assert_all_finished(("served", b"first"))
        outcomes = [(e.attempt, e.final) for e in self.ports.events if isinstance(e, api.AttemptEnded)]
        self.assertEqual(outcomes, [(0, True), (1, True)])

    def test_cancelled_attempt_counts_as_never_run_only_if_its_last_byte_has_not_been_sent(self):
        """Guards against failing a request that is preempted before it is sent, and against the reverse."""
        for is_unsent, outcome in ((True, Outcome.RECALLED), (False, Outcome.CANCELLED)):
            with self.subTest(is_unsent=is_unsent):
                request = self.arrive()
                self.dispatch.actions.run(1, api.Send(request.id, 1))
                attempt = request.attempts[0]
                self.ports.unsent = [attempt] if is_unsent else []
                self.dispatch.actions.run(2, api.Cancel(request.id, 0))
                self.assertEqual(attempt.outcome, outcome)
                self.assertEqual(outcome in api.NEVER_RAN, is_unsent)

    def test_request_may_have_run_once_the_transport_has_its_last_byte_written_or_not(self):
        """Guards against answering 503 before a kill for a request whose bytes may just have left."""
        request = self.arrive(api.Send(1, 1))
        (attempt,) = request.attempts
        self.ports.unsent = [attempt]
        self.assertFalse(self.dispatch.may_have_run(request))
        self.ports.unsent = []
        self.assertFalse(attempt.written)
        self.assertTrue(self.dispatch.may_have_run(request))

    def test_request_whose_attempts_all_ended_as_never_run_has_not_run(self):
        for outcome in Outcome:
            with self.subTest(outcome):
                request = self.arrive()
                self.dispatch.actions.run(1, api.Send(request.id, 1))
                self.dispatch.attempt_ended(2, request.attempts[0], outcome)
                self.assertEqual(self.dispatch.may_have_run(request), outcome not in api.NEVER_RAN)

    def test_unanswered_request_fails_at_its_deadline(self):
        """Attempts time out first, so that the balancer can answer; then the dispatch fails the request."""
        self.arrive(api.Send(1, 1), due=1_000)
        self.sweep(999)
        self.assertEqual(self.ports.answers, [])
        self.ports.failing_calls.add("cancel")  # must not prevent the time-out
        self.sweep(1_000)
        self.assert_all_finished(("failed",))
        event_names = [type(event).__name__ for event in self.ports.events[-2:]]
        self.assertEqual(event_names, ["AttemptEnded", "RequestWithdrawn"])

    def test_exception_in_send_ends_the_attempt(self):
        """The attempt ends with RESET, because the executor may have received it."""
        self.ports.failing_calls.add("send")
        self.ports.replies[api.AttemptEnded] = [api.Fail(1)]
        self.arrive(api.Send(1, 1))
        self.assert_all_finished(("failed",))
        self.assertEqual(self.ports.events[-1].outcome, Outcome.RESET)

    def test_probe_and_watch_without_cluster_budget_are_not_started(self):
        """The balancer learns of both, so that it does not wait for the probe and asks for the list later."""
        spent = []
        self.dispatch.observer.may_spend = lambda now, budget: bool(spent.append(budget))
        self.arrive(api.Probe(1), api.Subscribe())
        self.assertEqual((spent, self.ports.probes), (["probes", "lists"], []))
        failures = [api.ProbeEnded(1, Outcome.MOOT), api.EndpointList(api.EndpointListKind.FAILED, [])]
        self.assertEqual(self.ports.events[-2:], failures)

    def test_exceptions_in_probe_and_watch_are_reported_as_failures(self):
        """Otherwise the balancer would wait for the probe forever and never request the list again."""
        self.ports.failing_calls |= {"probe", "watch"}
        self.arrive(api.Probe(1), api.Subscribe())
        failures = [
            api.ProbeEnded(1, Outcome.CONNECT_FAILED),
            api.EndpointList(api.EndpointListKind.FAILED, []),
        ]
        self.assertEqual(self.ports.events[-2:], failures)

    def test_exception_in_the_client_port_does_not_leave_the_request_open(self):
        """A session may be closed while its answer is written."""
        self.ports.failing_calls.add("send_refusal")
        self.arrive(api.Refuse(1, 20))
        self.assert_all_finished(("refused", 20))

    def test_send_after_the_deadline_is_moot(self):
        """Nothing is sent for a request whose deadline has passed."""
        request = self.arrive(api.Send(1, 1), due=0)
        self.assertEqual((self.ports.sent, request.attempts[0].outcome), ([], Outcome.MOOT))

    def test_attempt_may_become_forbidden_while_it_connects(self):
        """Drains, repeat windows and deadlines still apply when the connection is established."""
        self.arrive(api.Send(1, 1), api.Send(1, 1))
        first, second = self.ports.sent
        self.assertTrue(self.dispatch.may_write(839_999, second))
        self.assertFalse(
            self.dispatch.may_write(840_000, second)
        )  # with the maximum delays, the attempt would arrive at the end of the window
        self.dispatch.attempt_ended(1, first, Outcome.FULL)
        self.assertTrue(self.dispatch.may_write(1_000_000, second))
        self.assertFalse(self.dispatch.may_write(5_000_000, second))
        drained = [entry(1, api.ExecutorState.DRAINING)]
        self.dispatch.on_endpoint_list(2, api.EndpointList(api.EndpointListKind.DELTA, drained))
        self.assertFalse(self.dispatch.may_write(2, second))

    def test_blocking_outcome_gives_the_reason(self):
        """MOOT forbids further attempts; DROPPED allows another executor and blames none."""
        self.arrive(api.Send(1, 1), api.Send(1, 1))
        second = self.ports.sent[1]
        self.assertIs(self.dispatch.blocking_outcome(840_000, second), Outcome.MOOT)
        self.assertIs(self.dispatch.blocking_outcome(5_000_000, second), Outcome.MOOT)
        self.dispatch.observer.may_send = lambda now: False
        self.assertIs(self.dispatch.blocking_outcome(1, second), Outcome.DROPPED)
        del self.dispatch.observer.may_send
        self.dispatch.on_endpoint_list(
            2, api.EndpointList(api.EndpointListKind.DELTA, [entry(1, api.ExecutorState.DRAINING)])
        )
        self.assertIs(self.dispatch.blocking_outcome(2, second), Outcome.DROPPED)

    def test_retry_after_the_repeat_window_fails_the_request_at_once(self):
        """Reporting a failed connect instead would cause retries and count failures of healthy executors."""
        balancer = Balancer(settings(keyed_class(DeduplicationScope.ZONE, window_us=1_000_000)), 1)
        self.dispatch.balancer = balancer
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1), entry(2)]))
        request = self.arrive(due=5_000_000)
        self.dispatch.attempt_written(0, self.ports.sent[0])
        self.dispatch.attempt_ended(900_000, self.ports.sent[0], Outcome.RESET)
        self.assertEqual(len(self.ports.sent), 1)
        self.assert_all_finished(("failed",))
        self.assertTrue(request.answered)
        self.assertEqual([executor.consecutive_failures for executor in balancer.executors.values()], [0, 0])

    def test_answer_by_shortens_the_deadlines_of_open_requests(self):
        """A request on a hanging executor would otherwise stay open until the process is killed."""
        self.arrive(api.Send(1, 1), due=5_000_000)
        self.arrive(due=1_000)
        self.dispatch.limit_deadlines(2_000_000)
        self.sweep(1_000)
        self.assertEqual(self.ports.answers, [("failed",)])
        self.sweep(1_999_999)
        self.assertEqual(len(self.ports.answers), 1)
        self.sweep(2_000_000)
        self.assert_all_finished(("failed",), ("failed",))

    def test_withdrawn_request_gets_no_answer(self):
        """The outcome of its running attempt is still recorded, but no answer is sent."""
        request = self.arrive(api.Send(1, 1))
        self.dispatch.attempt_written(0, request.attempts[0])
        self.dispatch.withdraw(1, request)
        self.assertEqual((self.dispatch.unanswered, len(self.dispatch.requests)), (0, 1))
        self.dispatch.attempt_ended(2, self.ports.sent[0], Outcome.OK, None, b"late")
        self.assert_all_finished()


class TimersTest(unittest.TestCase):
    def test_sweep_yields_due_timers_in_order_without_cancelled_ones(self):
        """A timer that a callback adds waits for the next sweep, or a sweep might never end."""
        timers, called = Timers(), []
        last = timers.add(30, lambda now: called.append("cancelled"))

        def first(now: int) -> None:
            called.append("first")
            timers.cancel(last)
            timers.add(now, lambda now: called.append("added"))

        timers.add(20, lambda now: called.append("second"))
        timers.add(10, first)
        for call in timers.sweep(40):
            call(40)
        self.assertEqual(called, ["first", "second"])
        self.assertEqual(timers.next_due, 40)


class EndpointReaderTest(unittest.TestCase):
    def test_executor_starts_are_converted_to_the_monotonic_clock(self):
        """A start time is the same in each list, and 0 stays 0, so that no false restart is detected."""
        reader = EndpointReader(settings())
        unix_ms = time.time_ns() // 1_000_000
        endpoint = Endpoint("s-1", "SERVING", since_ms=unix_ms)
        now = time.monotonic_ns() // 1000
        since = reader.to_entry(endpoint, now).started_at
        self.assertAlmostEqual(since, now, delta=2_000_000)
        self.assertEqual(reader.to_entry(endpoint, now + 5_000_000).started_at, since)
        self.assertEqual(reader.to_entry(Endpoint("s-2", "SERVING", since_ms=0), now).started_at, 0)

    def test_each_unconfigured_zone_gets_its_own_number(self):
        """Repeats of a keyed request are deduplicated within a zone, so zones must not be confused."""
        reader = EndpointReader(settings(zones=("here",)))
        zones = [
            reader.to_entry(Endpoint("s", "SERVING", zone=zone), 1).zone for zone in ("here", "x", "y", "x")
        ]
        self.assertEqual(zones, [0, 1, 2, 1])


if __name__ == "__main__":
    unittest.main()
