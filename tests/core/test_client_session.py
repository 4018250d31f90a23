"""Tests of the client session's state machine: transition table, time limits and random event sequences."""

import dataclasses
import itertools
import unittest
from random import Random

from cedarmill.core.client_session import SessionLifecycle
from cedarmill.core.client_session_events import SessionAction, SessionEvent, SessionState, SessionTimes
from cedarmill.net.clients import limits

TIMES = limits.TIMES
SECOND = 1_000_000
MAX_WRITE_DELAY = 150_000  # assumed maximum delay between reading the clock and writing
STALLED_CLIENT_LIMIT = 3 * SECOND  # a stalled client gets an error or the close within this time
A, E, S = SessionAction, SessionEvent, SessionState

# Expected action and next state, by state and event; all other events are ignored.
OUTCOMES = {
    S.IDLE: {
        E.REQUEST_BEGUN: (None, S.RECEIVING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVE_REQUESTED: (None, S.IDLE),
        E.WRITING_BLOCKED: (None, S.IDLE),
        E.WRITING_RESUMED: (None, S.IDLE),
        E.READING_PAUSED: (None, S.IDLE),
        E.READING_RESUMED: (None, S.IDLE),
        E.READING_BROKEN: (A.END_SENDING, S.CLOSING),
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.IDLE),
        E.DEADLINE_PASSED: (A.CHECK_UNREAD, S.IDLE),
        E.BYTES_UNREAD: (None, S.IDLE),
        E.NOTHING_UNREAD: (A.END_SENDING, S.CLOSING),
        E.PRESENCE_CHECK_DUE: (None, S.IDLE),
        E.END_IF_IDLE: (A.END_SENDING, S.CLOSING),
        E.EVICT_IDLE: (A.END_SENDING, S.CLOSING),
        E.EVICTION_REQUESTED: (A.CHECK_EVICTABLE, S.IDLE),
        E.EVICTION_CONFIRMED: (A.ABORT, S.GONE),
        E.ANSWER_ALL: (A.END_SENDING, S.CLOSING),
    },
    S.RECEIVING: {
        E.REQUEST_BEGUN: (None, S.RECEIVING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVE_REQUESTED: (None, S.RECEIVING),
        E.WRITING_BLOCKED: (None, S.RECEIVING),
        E.WRITING_RESUMED: (None, S.RECEIVING),
        E.READING_PAUSED: (None, S.RECEIVING),
        E.READING_RESUMED: (None, S.RECEIVING),
        E.READING_BROKEN: (A.END_SENDING, S.CLOSING),
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.RECEIVING),
        E.DEADLINE_PASSED: (A.CHECK_UNREAD, S.RECEIVING),
        E.BYTES_UNREAD: (None, S.RECEIVING),
        E.NOTHING_UNREAD: (A.ANSWER_TIMED_OUT, S.RECEIVING),
        E.PRESENCE_CHECK_DUE: (None, S.RECEIVING),
        E.EVICTION_REQUESTED: (A.CHECK_EVICTABLE, S.RECEIVING),
        E.EVICTION_CONFIRMED: (A.ANSWER_TIMED_OUT, S.RECEIVING),
        E.ANSWER_ALL: (A.ANSWER_ALL_WITH_ERRORS, S.ANSWERING),
    },
    S.ANSWERING: {
        E.REQUEST_BEGUN: (None, S.ANSWERING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVE_REQUESTED: (None, S.ANSWERING),
        E.ANSWER_WRITTEN: (None, S.IDLE),
        E.LAST_ANSWER_WRITTEN: (A.END_SENDING, S.CLOSING),
        E.WRITING_BLOCKED: (None, S.ANSWERING),
        E.WRITING_RESUMED: (None, S.ANSWERING),
        E.READING_PAUSED: (None, S.ANSWERING),
        E.READING_RESUMED: (None, S.ANSWERING),
        E.READING_BROKEN: (None, S.ANSWERING),  # requests that were read are still answered
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.ANSWERING),
        E.DEADLINE_PASSED: (A.CHECK_UNREAD, S.ANSWERING),
        E.BYTES_UNREAD: (None, S.ANSWERING),
        E.NOTHING_UNREAD: (A.ANSWER_ALL_WITH_ERRORS, S.ANSWERING),  # the client does not read its answers
        E.PRESENCE_CHECK_DUE: (None, S.ANSWERING),
        E.ANSWER_ALL: (A.ANSWER_ALL_WITH_ERRORS, S.ANSWERING),
    },
    S.CLOSING: {
        E.READING_PAUSED: (None, S.CLOSING),
        E.READING_RESUMED: (None, S.CLOSING),
        E.READING_BROKEN: (None, S.CLOSING),
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.CLOSING),
        E.DEADLINE_PASSED: (A.CHECK_READER, S.CLOSING),
        E.READER_PROGRESSED: (None, S.CLOSING),
        E.READER_STALLED: (A.ABORT, S.GONE),
        E.PRESENCE_CHECK_DUE: (None, S.CLOSING),
        E.EVICTION_REQUESTED: (None, S.CLOSING),
        E.EVICT_IDLE: (None, S.CLOSING),
    },
    S.GONE: {
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.GONE),
        E.DEADLINE_PASSED: (A.CHECK_READER, S.GONE),
        E.READER_PROGRESSED: (A.ABORT, S.GONE),  # the limit for slow readers has passed
        E.READER_STALLED: (A.ABORT, S.GONE),
        E.EVICTION_REQUESTED: (None, S.GONE),
        E.EVICT_IDLE: (None, S.GONE),
    },
    S.CLOSED: {},
}
EVENTS_TO_REACH = {  # events that lead from a new connection to a state
    S.IDLE: (),
    S.RECEIVING: (E.REQUEST_BEGUN,),
    S.ANSWERING: (E.REQUEST_BEGUN, E.REQUEST_READ, E.SERVE_REQUESTED),
    S.CLOSING: (E.END_IF_IDLE,),
    S.GONE: (E.CLIENT_LEFT,),
    S.CLOSED: (E.CONNECTION_LOST,),
}


def new_session(
    now: int = 0, ends_on_half_close: bool = True, times: SessionTimes = TIMES
) -> SessionLifecycle:
    return SessionLifecycle(now, times, is_half_close_disconnect=ends_on_half_close)


def session_after(*events: SessionEvent, now: int = 0, ends_on_half_close: bool = True) -> SessionLifecycle:
    lifecycle = new_session(ends_on_half_close=ends_on_half_close)
    for event in events:
        lifecycle.step(now, event)
    return lifecycle


def proven_session(now: int = 0) -> SessionLifecycle:
    """Return a connection whose first valid request was answered at `now`."""
    lifecycle = session_after(*EVENTS_TO_REACH[S.ANSWERING], now=now)
    lifecycle.has_sent_request = True
    lifecycle.step(now, E.ANSWER_WRITTEN)
    return lifecycle


def field_values(lifecycle: SessionLifecycle) -> dict:
    return {name: getattr(lifecycle, name) for name in SessionLifecycle.__slots__}


class TransitionTableTest(unittest.TestCase):
    def test_each_event_in_each_state_has_the_expected_outcome(self):
        for state, event in itertools.product(SessionState, SessionEvent):
            with self.subTest(state=state.name, event=event.name):
                lifecycle = session_after(*EVENTS_TO_REACH[state])
                self.assertIs(lifecycle.state, state)
                before = field_values(lifecycle)
                # `SECOND` is longer than `eviction_grace`, so that an incomplete request counts as stalled.
                action = lifecycle.step(SECOND, event)
                if event in OUTCOMES[state]:
                    self.assertEqual((action, lifecycle.state), OUTCOMES[state][event])
                else:
                    self.assertEqual((action, field_values(lifecycle)), (None, before))

    def test_no_event_reopens_a_connection(self):
        for state, event in itertools.product((S.CLOSING, S.GONE, S.CLOSED), SessionEvent):
            lifecycle = session_after(*EVENTS_TO_REACH[state])
            lifecycle.step(SECOND, event)
            self.assertGreaterEqual(lifecycle.state, state)

    def test_only_closed_or_serving_connections_have_no_deadline(self):
        """Every connection must time out; a request that is being served has the dispatch's deadline."""
        for state in SessionState:
            lifecycle = session_after(*EVENTS_TO_REACH[state])
            has_no_deadline = state in (S.ANSWERING, S.CLOSED)
            self.assertEqual(lifecycle.deadline is None, has_no_deadline, state)

    def test_half_closed_client_gets_its_answer_if_configured(self):
        lifecycle = session_after(*EVENTS_TO_REACH[S.ANSWERING], ends_on_half_close=False)
        self.assertIsNone(lifecycle.step(0, E.CLIENT_ENDED_SENDING))
        self.assertTrue(lifecycle.is_open)
        self.assertTrue(lifecycle.is_last_answer(keep_alive=True, draining=False))
        idle = session_after(ends_on_half_close=False)
        self.assertEqual(idle.step(0, E.CLIENT_ENDED_SENDING), A.WITHDRAW)

    def test_last_answer_follows_all_pending_requests(self):
        """A draining node answers queued and incomplete requests before the connection ends."""
        single = session_after(*EVENTS_TO_REACH[S.ANSWERING])
        self.assertFalse(single.is_last_answer(keep_alive=True, draining=False))
        self.assertTrue(single.is_last_answer(keep_alive=False, draining=False))
        self.assertTrue(single.is_last_answer(keep_alive=True, draining=True))
        for later_events in ((E.REQUEST_BEGUN,), (E.REQUEST_BEGUN, E.REQUEST_READ)):
            pipelined = session_after(*EVENTS_TO_REACH[S.ANSWERING], *later_events)
            self.assertFalse(pipelined.is_last_answer(keep_alive=True, draining=True))

    def test_reading_pauses_while_pipelined_requests_wait(self):
        lifecycle = session_after(*EVENTS_TO_REACH[S.ANSWERING], E.REQUEST_BEGUN, E.REQUEST_READ)
        self.assertEqual(lifecycle.step(0, E.SERVE_REQUESTED), A.PAUSE_READING)
        lifecycle.step(0, E.READING_PAUSED)
        self.assertEqual(lifecycle.presence_check_at, TIMES.presence_check_interval)
        self.assertEqual(lifecycle.step(TIMES.presence_check_interval, E.PRESENCE_CHECK_DUE), A.CHECK_CLIENT)
        self.assertEqual(lifecycle.presence_check_at, 2 * TIMES.presence_check_interval)
        lifecycle.step(SECOND, E.ANSWER_WRITTEN)
        self.assertEqual(lifecycle.step(SECOND, E.SERVE_REQUESTED), A.SERVE_IF_PRESENT)
        self.assertEqual(lifecycle.step(SECOND, E.SERVE_REQUESTED), A.RESUME_READING)

    def test_client_with_a_valid_request_is_listed_as_idle_between_requests(self):
        lifecycle = session_after(*EVENTS_TO_REACH[S.ANSWERING])
        lifecycle.has_sent_request = True
        self.assertEqual(lifecycle.step(0, E.ANSWER_WRITTEN), A.LIST_AS_IDLE)
        blocked = session_after(*EVENTS_TO_REACH[S.ANSWERING], E.WRITING_BLOCKED)
        blocked.has_sent_request = True
        self.assertIsNone(blocked.step(0, E.ANSWER_WRITTEN))  # the answer is not completely sent
        self.assertEqual(blocked.step(0, E.WRITING_RESUMED), A.LIST_AS_IDLE)


class TimeLimitsTest(unittest.TestCase):
    """Tests the time limits in the order of `docs/design/endings.md`."""

    def send_partial_request(self, lifecycle: SessionLifecycle, now: int) -> None:
        lifecycle.last_byte_at = now
        lifecycle.step(now, E.REQUEST_BEGUN)
        lifecycle.step(now, E.SERVE_REQUESTED)

    def test_stalled_client_is_answered_in_time_despite_two_write_delays(self):
        for lifecycle in (new_session(), proven_session()):
            self.send_partial_request(lifecycle, now=100)
            self.assertLessEqual(lifecycle.deadline, 100 + STALLED_CLIENT_LIMIT - 2 * MAX_WRITE_DELAY)
            self.assertLessEqual(
                TIMES.unread_extension + MAX_WRITE_DELAY, STALLED_CLIENT_LIMIT - TIMES.stalled_request
            )

    def test_client_is_answered_in_time_although_three_steps_are_delayed(self):
        """Guards against an error later than the limit where the node accepts, times out and answers late."""
        connected_at, accepted_at = 0, MAX_WRITE_DELAY
        for sends_bytes in (False, True):
            lifecycle = new_session(accepted_at)
            if sends_bytes:
                self.send_partial_request(lifecycle, now=accepted_at)
            timed_out_at = lifecycle.deadline + MAX_WRITE_DELAY
            answered_at = timed_out_at + MAX_WRITE_DELAY
            self.assertLess(answered_at, connected_at + STALLED_CLIENT_LIMIT)

    def test_bytes_extend_the_deadline_up_to_the_limit_for_slow_requests(self):
        lifecycle = proven_session()
        self.send_partial_request(lifecycle, now=0)
        for now in range(0, 20 * SECOND, SECOND):
            lifecycle.last_byte_at = now
            lifecycle.step(now, E.SERVE_REQUESTED)
            self.assertEqual(lifecycle.deadline, min(now + TIMES.stalled_request, TIMES.slow_request))

    def test_first_request_times_out_from_the_opening_or_the_last_answer(self):
        lifecycle = new_session()
        self.assertEqual(lifecycle.deadline, TIMES.first_request)
        self.send_partial_request(lifecycle, now=2 * SECOND)
        self.assertEqual(lifecycle.deadline, TIMES.first_request)
        lifecycle.step(2 * SECOND, E.REQUEST_READ)
        lifecycle.step(2 * SECOND, E.SERVE_REQUESTED)
        lifecycle.step(3 * SECOND, E.ANSWER_WRITTEN)  # an error, so the client has sent no valid request
        self.assertEqual(lifecycle.deadline, 3 * SECOND + TIMES.first_request)

    def test_idle_and_closing_connections_time_out(self):
        lifecycle = proven_session(SECOND)
        self.assertEqual(lifecycle.deadline, SECOND + TIMES.idle)
        lifecycle.step(2 * SECOND, E.END_IF_IDLE)
        self.assertEqual(lifecycle.deadline, 2 * SECOND + TIMES.linger)
        lifecycle.step(2 * SECOND, E.EVICTION_REQUESTED)
        self.assertEqual(lifecycle.deadline, 2 * SECOND + TIMES.eviction_error_linger)
        evicted = proven_session()
        evicted.step(0, E.EVICT_IDLE)
        self.assertEqual(evicted.deadline, TIMES.eviction_linger)

    def test_deadline_is_extended_once_for_unread_bytes(self):
        lifecycle = proven_session()
        self.send_partial_request(lifecycle, now=0)
        timed_out_at = lifecycle.deadline
        self.assertEqual(lifecycle.step(timed_out_at, E.DEADLINE_PASSED), A.CHECK_UNREAD)
        self.assertIsNone(lifecycle.step(timed_out_at, E.BYTES_UNREAD))
        self.assertEqual(lifecycle.deadline, timed_out_at + TIMES.unread_extension)
        self.assertEqual(
            lifecycle.step(timed_out_at + TIMES.unread_extension, E.DEADLINE_PASSED), A.ANSWER_TIMED_OUT
        )

    def test_slow_reader_may_finish_while_it_progresses_up_to_the_limit(self):
        lifecycle, now = proven_session(), 0
        lifecycle.step(now, E.END_IF_IDLE)
        while True:
            now = lifecycle.deadline
            self.assertEqual(lifecycle.step(now, E.DEADLINE_PASSED), A.CHECK_READER)
            if lifecycle.step(now, E.READER_PROGRESSED) is A.ABORT:
                break
            self.assertEqual(lifecycle.deadline, now + TIMES.linger)
        self.assertEqual(now, TIMES.slow_reader)

    def test_only_stalled_requests_are_evicted(self):
        lifecycle = new_session()
        self.send_partial_request(lifecycle, now=SECOND)
        self.assertIsNone(lifecycle.step(SECOND + TIMES.eviction_grace - 1, E.EVICTION_CONFIRMED))
        self.assertEqual(
            lifecycle.step(SECOND + TIMES.eviction_grace, E.EVICTION_CONFIRMED), A.ANSWER_TIMED_OUT
        )

    def test_failed_abort_is_retried(self):
        lifecycle = session_after(E.CLIENT_LEFT)
        for now in (0, SECOND):
            lifecycle.step(now, E.ABORT_FAILED)
            self.assertEqual(lifecycle.deadline, now + TIMES.abort_retry_interval)
            self.assertEqual(lifecycle.step(lifecycle.deadline, E.DEADLINE_PASSED), A.CHECK_READER)
            self.assertEqual(lifecycle.step(SECOND, E.READER_STALLED), A.ABORT)

    def test_times_are_configurable(self):
        short = dataclasses.replace(TIMES, first_request=7)
        self.assertEqual(new_session(now=1, times=short).deadline, 8)


class SimulatedAdapter:
    """Simulates the adapter `net/clients/session.py` with random events, and counts requests and answers."""

    def __init__(self, seed: int) -> None:
        self.random, self.now = Random(seed), 0
        self.lifecycle = new_session(ends_on_half_close=self.random.random() < 0.7)
        self.lifecycle.has_sent_request = self.random.random() < 0.5
        self.requests_read = self.end_count = 0
        self.closing_request = 0  # number of the request that closes the connection, or 0
        self.queue: list[int] = []
        self.serving: int | None = None
        self.answers: list[int] = []
        self.draining = self.has_left = False

    def event(self, event: SessionEvent) -> None:
        action = self.lifecycle.step(self.now, event)
        if action is not None:
            getattr(self, f"on_{action.name.lower()}")()

    def read_request(self) -> None:
        """Read one more request."""
        self.requests_read += 1
        self.queue.append(self.requests_read)
        self.event(E.REQUEST_READ)

    def serve_requests(self) -> None:
        while True:
            action = self.lifecycle.step(self.now, E.SERVE_REQUESTED)
            if action not in (A.SERVE, A.SERVE_IF_PRESENT):
                break
            assert self.serving is None
            self.serving = self.queue.pop(0)
            if self.random.random() < 0.3:  # answered immediately
                self.answer()
        if action is not None:
            getattr(self, f"on_{action.name.lower()}")()

    def answer(self) -> None:
        number, self.serving = self.serving, None
        last = self.lifecycle.is_last_answer(number != self.closing_request, self.draining)
        self.write_answer(number, last)

    def write_answer(self, number: int, last: bool) -> None:
        assert self.lifecycle.is_open, "answer after the end of the connection"
        self.answers.append(number)
        self.event(E.LAST_ANSWER_WRITTEN if last else E.ANSWER_WRITTEN)

    def on_answer_timed_out(self) -> None:
        self.read_request()
        self.closing_request = self.requests_read
        self.serve_requests()

    def on_answer_all_with_errors(self) -> None:
        if self.lifecycle.is_receiving:
            self.read_request()
        elif self.lifecycle.queued_requests > len(self.queue):  # ANSWER_ALL has queued the incomplete request
            self.requests_read += 1
            self.queue.append(self.requests_read)
        while self.serving is not None or self.queue:
            if self.serving is None:
                self.lifecycle.step(self.now, E.SERVE_REQUESTED)
                self.serving = self.queue.pop(0)
            number, self.serving = self.serving, None
            self.write_answer(number, last=not self.queue)

    def on_end_sending(self) -> None:
        assert not self.queue and self.serving is None, "connection ended with unanswered requests"
        self.end_count += 1

    def on_withdraw(self) -> None:
        self.has_left = True
        self.queue.clear()
        self.serving = None

    def on_abort(self) -> None:
        self.on_withdraw()

    def on_pause_reading(self) -> None:
        self.event(E.READING_PAUSED)

    def on_resume_reading(self) -> None:
        self.event(E.READING_RESUMED if self.random.random() < 0.95 else E.READING_BROKEN)

    def on_list_as_idle(self) -> None:
        assert self.lifecycle.state is S.IDLE

    def on_check_unread(self) -> None:
        self.event(E.BYTES_UNREAD if self.random.random() < 0.3 else E.NOTHING_UNREAD)

    def on_check_evictable(self) -> None:
        if self.random.random() < 0.7:
            self.event(E.EVICTION_CONFIRMED)

    def on_check_reader(self) -> None:
        self.event(E.READER_PROGRESSED if self.random.random() < 0.5 else E.READER_STALLED)

    def on_check_client(self) -> None:
        if self.random.random() < 0.1:
            self.event(E.CLIENT_LEFT)

    # Random events.

    def receive_bytes(self) -> None:
        lifecycle = self.lifecycle
        if (
            not lifecycle.is_open
            or lifecycle.is_reading_paused
            or lifecycle.is_half_closed
            or self.closing_request
        ):
            return
        lifecycle.last_byte_at = self.now
        for _ in range(self.random.randrange(1, 4)):
            if not lifecycle.is_receiving:
                self.event(E.REQUEST_BEGUN)
            if self.random.random() < 0.7:
                self.read_request()
                if self.random.random() < 0.1:
                    self.closing_request = self.requests_read
                    break
        self.serve_requests()

    def finish_request(self) -> None:
        if self.serving is not None:
            self.answer()
            self.serve_requests()

    def advance_time(self) -> None:
        due = [at for at in (self.lifecycle.deadline, self.lifecycle.presence_check_at) if at is not None]
        if not due:
            return
        self.now = max(self.now, min(due))
        if self.lifecycle.deadline is not None and self.lifecycle.deadline <= self.now:
            self.event(E.DEADLINE_PASSED)
        if self.lifecycle.presence_check_at is not None and self.lifecycle.presence_check_at <= self.now:
            self.event(E.PRESENCE_CHECK_DUE)

    def toggle_write_blocked(self) -> None:
        if self.lifecycle.is_write_blocked:
            self.event(E.WRITING_RESUMED)
            self.serve_requests()
        else:
            self.event(E.WRITING_BLOCKED)

    def drain_node(self) -> None:
        self.draining = True
        self.event(E.END_IF_IDLE)

    def request_eviction(self) -> None:
        self.event(self.random.choice((E.EVICTION_REQUESTED, E.EVICT_IDLE)))

    def announce_kill(self) -> None:
        self.event(E.ANSWER_ALL)

    def disconnect_client(self) -> None:
        self.event(self.random.choice((E.CLIENT_ENDED_SENDING, E.CLIENT_LEFT, E.CONNECTION_LOST)))

    def run(self) -> None:
        frequent = (self.receive_bytes, self.finish_request, self.advance_time, self.toggle_write_blocked)
        rare = (self.drain_node, self.request_eviction, self.announce_kill, self.disconnect_client)
        for _ in range(self.random.randrange(5, 60)):
            self.now += self.random.randrange(0, 400_000)
            self.random.choice(rare if self.random.random() < 0.06 else frequent)()
            self.check_state()
        self.finish()

    def check_state(self) -> None:
        lifecycle = self.lifecycle
        assert lifecycle.queued_requests == len(self.queue) or not lifecycle.is_open
        assert lifecycle.is_serving == (self.serving is not None) or not lifecycle.is_open
        if lifecycle.is_open and self.serving is None:
            assert lifecycle.deadline is not None, "open connection without a deadline"

    def finish(self) -> None:
        """Answer all requests, and let the deadlines close the connection."""
        for _ in range(200):
            if self.lifecycle.state is S.CLOSED:
                break
            self.finish_request()
            self.advance_time()
            if self.lifecycle.state is S.GONE:
                self.event(E.CONNECTION_LOST)


class RandomSequencesTest(unittest.TestCase):
    def test_each_request_has_one_answer_and_each_connection_ends_once(self):
        for seed in range(3000):
            adapter = SimulatedAdapter(seed)
            adapter.run()
            self.assertIs(adapter.lifecycle.state, S.CLOSED, seed)
            self.assertEqual(adapter.answers, list(range(1, len(adapter.answers) + 1)), seed)
            self.assertLessEqual(adapter.end_count, 1, seed)
            if not adapter.has_left or adapter.end_count:
                self.assertEqual(len(adapter.answers), adapter.requests_read, seed)


if __name__ == "__main__":
    unittest.main()
