"""The core without sockets: one final answer for each request, whatever the balancer or a port does."""

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
from tests.support.builders import entry, keyed, settings


class Ports:
    """A balancer that does as it is told, and ports that note what they are asked for."""

    def __init__(self) -> None:
        self.settings = settings(keyed(DeduplicationScope.ALL, window=1_000_000))
        self.events: list[api.Event] = []
        self.replies: dict[type, object] = {}
        self.answers: list[tuple] = []
        self.sent: list = []
        self.cancelled: list = []
        self.probes: list = []
        self.recalled: list = []
        self.broken: set[str] = set()

    def handle(self, now: int, event: api.Event):
        self.events.append(event)
        reply = self.replies.get(type(event), [])
        if isinstance(reply, Exception):
            raise reply
        if isinstance(reply, deque):  # once each, then nothing
            return [reply.popleft()] if reply else []
        return reply

    def _note(self, name: str, notes: list, value) -> None:
        notes.append(value)
        if name in self.broken:
            raise OSError(name)

    def send(self, attempt) -> None:
        self._note("send", self.sent, attempt)

    def cancel(self, attempt, now_or_never: bool = False) -> None:
        self._note("cancel", self.cancelled, attempt)

    def probe(self, probe) -> None:
        self._note("probe", self.probes, probe)

    def recall(self, probe) -> None:
        self._note("recall", self.recalled, probe)

    def watch(self) -> None:
        self._note("watch", [], None)

    def served(self, result) -> None:
        self._note("served", self.answers, ("served", result))

    def refused(self, retry_after_us: int) -> None:
        self._note("refused", self.answers, ("refused", retry_after_us))

    def present(self) -> bool:
        return True

    def failed(self) -> None:
        self._note("failed", self.answers, ("failed",))


class DispatchTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.ports, self.timers = Ports(), Timers()
        self.dispatch = Dispatch(self.ports, self.timers, self.ports, self.ports)
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1)]))

    def arrive(self, *replies, due: int = 5_000_000):
        self.ports.replies[api.RequestArrived] = list(replies)
        return self.dispatch.arrive(0, self.ports, None, due, api.RequestArrived(0, 0, due))

    def sweep(self, now: int) -> None:
        for call in self.timers.sweep(now):
            call(now)

    def check_over(self, *answers: tuple) -> None:
        self.assertEqual(self.ports.answers, list(answers))
        self.assertEqual((self.dispatch.requests, self.dispatch.unanswered), ({}, 0))

    def test_a_balancer_that_fails_on_a_request_leaves_it_failed_not_unanswered(self):
        """An exception of the decisions must cost that request only."""
        self.ports.replies[api.RequestArrived] = ZeroDivisionError()
        self.dispatch.arrive(0, self.ports, None, 5_000_000, api.RequestArrived(0, 0, 5_000_000))
        self.check_over(("failed",))
        self.assertEqual(self.ports.events[-1], api.RequestWithdrawn(1))

    def test_a_balancer_that_fails_on_an_outcome_leaves_the_request_failed(self):
        """Its answer would otherwise wait for the end of the budget."""
        self.arrive(api.Send(1, 1))
        self.ports.replies[api.AttemptEnded] = ZeroDivisionError()
        self.dispatch.attempt_ended(1, self.ports.sent[0], Outcome.RESET)
        self.check_over(("failed",))

    def test_the_first_final_answer_counts(self):
        """Whatever follows, also another attempt's result, reaches no client."""
        self.arrive(api.Send(1, 1), api.Send(1, 1))
        self.dispatch.attempt_ended(1, self.ports.sent[0], Outcome.OK, None, b"first")
        self.ports.replies[api.AttemptEnded] = [api.Fail(1)]
        self.dispatch.attempt_ended(2, self.ports.sent[1], Outcome.OK, None, b"second")
        self.dispatch.attempt_ended(3, self.ports.sent[1], Outcome.RESET)
        self.check_over(("served", b"first"))
        outcomes = [(e.attempt, e.final) for e in self.ports.events if isinstance(e, api.AttemptEnded)]
        self.assertEqual(outcomes, [(0, True), (1, True)])

    def test_a_balancer_that_says_nothing_leaves_no_request_past_its_budget(self):
        """Attempts time out first, so that the balancer may answer; then the request is failed here."""
        self.arrive(api.Send(1, 1), due=1_000)
        self.sweep(999)
        self.assertEqual(self.ports.answers, [])
        self.ports.broken.add("cancel")  # a port that fails must not stop it
        self.sweep(1_000)
        self.check_over(("failed",))
        told = [type(event).__name__ for event in self.ports.events[-2:]]
        self.assertEqual(told, ["AttemptEnded", "RequestWithdrawn"])

    def test_a_port_that_fails_on_a_send_ends_the_attempt(self):
        """How far it came is not known: it may have run."""
        self.ports.broken.add("send")
        self.ports.replies[api.AttemptEnded] = [api.Fail(1)]
        self.arrive(api.Send(1, 1))
        self.check_over(("failed",))
        self.assertEqual(self.ports.events[-1].outcome, Outcome.RESET)

    def test_what_the_fleet_has_no_room_for_is_not_started_and_the_balancer_hears_so(self):
        """A probe without a place in the fleet's budget never leaves; the list is asked for again later."""
        spent = []
        self.dispatch.observer.may_spend = lambda now, budget: bool(spent.append(budget))
        self.arrive(api.Probe(1), api.Subscribe())
        self.assertEqual((spent, self.ports.probes), (["probes", "lists"], []))
        told = [api.ProbeEnded(1, Outcome.MOOT), api.EndpointList(api.EndpointListKind.FAILED, [])]
        self.assertEqual(self.ports.events[-2:], told)

    def test_a_probe_or_a_watch_that_cannot_start_is_told_as_failed(self):
        """The balancer keeps an executor for the answer to a probe, and asks for the list only when told."""
        self.ports.broken |= {"probe", "watch"}
        self.arrive(api.Probe(1), api.Subscribe())
        told = [api.ProbeEnded(1, Outcome.CONNECT_FAILED), api.EndpointList(api.EndpointListKind.FAILED, [])]
        self.assertEqual(self.ports.events[-2:], told)

    def test_a_client_port_that_fails_does_not_stop_the_rest(self):
        """A session may be gone while its answer is given."""
        self.ports.broken.add("refused")
        self.arrive(api.Refuse(1, 20))
        self.check_over(("refused", 20))

    def test_a_send_that_comes_too_late_is_moot(self):
        """Rule 1: nothing is sent for a request that is finished, or whose time has run out."""
        request = self.arrive(api.Send(1, 1), due=0)
        self.assertEqual((self.ports.sent, request.attempts[0].outcome), ([], Outcome.MOOT))

    def test_an_attempt_can_lose_its_right_while_it_connects(self):
        """Up to a connect time-out passes before it is written: drains, windows and budgets do not wait."""
        self.arrive(api.Send(1, 1), api.Send(1, 1))
        first, second = self.ports.sent
        self.assertTrue(self.dispatch.may_write(839_999, second))
        self.assertFalse(
            self.dispatch.may_write(840_000, second)
        )  # held up, it would arrive as the window ends
        self.dispatch.attempt_ended(1, first, Outcome.FULL)
        self.assertTrue(self.dispatch.may_write(1_000_000, second))
        self.assertFalse(self.dispatch.may_write(5_000_000, second))
        drained = [entry(1, api.ExecutorState.DRAINING)]
        self.dispatch.on_endpoint_list(2, api.EndpointList(api.EndpointListKind.DELTA, drained))
        self.assertFalse(self.dispatch.may_write(2, second))

    def test_what_may_not_be_sent_tells_why(self):
        """MOOT where no other may be sent either: the module answers at once. Else no executor is blamed."""
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

    def test_a_repeat_past_its_window_is_answered_at_once(self):
        """The module was told of a failed connect, tried as often as it may, and struck sound executors."""
        balancer = Balancer(settings(keyed(DeduplicationScope.ZONE, window=1_000_000)), 1)
        self.dispatch.balancer = balancer
        self.dispatch.on_endpoint_list(0, api.EndpointList(api.EndpointListKind.CACHED, [entry(1), entry(2)]))
        request = self.arrive(due=5_000_000)
        self.dispatch.attempt_written(0, self.ports.sent[0])
        self.dispatch.attempt_ended(900_000, self.ports.sent[0], Outcome.RESET)
        self.assertEqual(len(self.ports.sent), 1)
        self.check_over(("failed",))
        self.assertTrue(request.answered)
        self.assertEqual([executor.consecutive_failures for executor in balancer.executors.values()], [0, 0])

    def test_what_is_open_when_the_process_has_to_end_is_answered_before(self):
        """Its own deadline may lie behind the kill: an executor that hangs would hold it till then."""
        self.arrive(api.Send(1, 1), due=5_000_000)
        self.arrive(due=1_000)
        self.dispatch.answer_by(2_000_000)
        self.sweep(1_000)
        self.assertEqual(self.ports.answers, [("failed",)])
        self.sweep(1_999_999)
        self.assertEqual(len(self.ports.answers), 1)
        self.sweep(2_000_000)
        self.check_over(("failed",), ("failed",))

    def test_a_client_that_leaves_is_owed_nothing(self):
        """The attempt is still out: its outcome is told later, and nobody is answered."""
        request = self.arrive(api.Send(1, 1))
        self.dispatch.attempt_written(0, request.attempts[0])
        self.dispatch.withdraw(1, request)
        self.assertEqual((self.dispatch.unanswered, len(self.dispatch.requests)), (0, 1))
        self.dispatch.attempt_ended(2, self.ports.sent[0], Outcome.OK, None, b"late")
        self.check_over()


class TimersTest(unittest.TestCase):
    def test_a_sweep_calls_what_is_due_in_order_and_nothing_that_was_cancelled(self):
        """A call may cancel a later one, or add one at once: that one waits, or the sweep might never end."""
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
    def test_starts_are_told_on_the_clock_of_the_balancer(self):
        """0 stays 0 (long ago), and the same start is the same number in each list: no false restart."""
        reader = EndpointReader(settings())
        unix_ms = time.time_ns() // 1_000_000
        endpoint = Endpoint("s-1", "SERVING", since_ms=unix_ms)
        now = time.monotonic_ns() // 1000
        since = reader.entry(endpoint, now).started_at
        self.assertAlmostEqual(since, now, delta=2_000_000)
        self.assertEqual(reader.entry(endpoint, now + 5_000_000).started_at, since)
        self.assertEqual(reader.entry(Endpoint("s-2", "SERVING", since_ms=0), now).started_at, 0)

    def test_each_zone_that_the_settings_do_not_name_is_one_of_its_own(self):
        """Repeats of a keyed job are dropped within a zone only: two zones must not look like one."""
        reader = EndpointReader(settings(zones=("here",)))
        zones = [
            reader.entry(Endpoint("s", "SERVING", zone=zone), 1).zone for zone in ("here", "x", "y", "x")
        ]
        self.assertEqual(zones, [0, 1, 2, 1])


if __name__ == "__main__":
    unittest.main()
