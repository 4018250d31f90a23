"""The table of a client's connection without sockets: each event in each state, bounds, seeded runs."""

import dataclasses
import itertools
import unittest
from random import Random

from cedarmill.core.client_session import SessionLifecycle
from cedarmill.core.client_session_events import SessionAction, SessionEvent, SessionState, SessionTimes
from cedarmill.net.clients import limits

TIMES = limits.TIMES
SECOND = 1_000_000
HELD_UP = 150_000  # a node may be held up so long between its clock and its write
BAD_CLIENTS_OWED = 3 * SECOND  # an error or the close, since the last byte of half a request
A, E, S = SessionAction, SessionEvent, SessionState

# By state: what each event leads to. Whatever is not named has no action and changes nothing at all.
OUTCOMES = {
    S.IDLE: {
        E.REQUEST_BEGUN: (None, S.RECEIVING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVICE_WANTED: (None, S.IDLE),
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
        E.HANG_UP_CHECK_DUE: (None, S.IDLE),
        E.END_IF_IDLE: (A.END_SENDING, S.CLOSING),
        E.END_IDLE_FOR_ROOM: (A.END_SENDING, S.CLOSING),
        E.ROOM_WANTED: (A.CHECK_ROOM, S.IDLE),
        E.ROOM_CONFIRMED: (A.ABORT, S.GONE),
        E.ANSWER_ALL: (A.END_SENDING, S.CLOSING),
    },
    S.RECEIVING: {
        E.REQUEST_BEGUN: (None, S.RECEIVING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVICE_WANTED: (None, S.RECEIVING),
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
        E.NOTHING_UNREAD: (A.ANSWER_LATE, S.RECEIVING),
        E.HANG_UP_CHECK_DUE: (None, S.RECEIVING),
        E.ROOM_WANTED: (A.CHECK_ROOM, S.RECEIVING),
        E.ROOM_CONFIRMED: (A.ANSWER_LATE, S.RECEIVING),
        E.ANSWER_ALL: (A.ANSWER_OWED, S.ANSWERING),
    },
    S.ANSWERING: {
        E.REQUEST_BEGUN: (None, S.ANSWERING),
        E.REQUEST_READ: (None, S.ANSWERING),
        E.SERVICE_WANTED: (None, S.ANSWERING),
        E.ANSWER_WRITTEN: (None, S.IDLE),
        E.LAST_ANSWER_WRITTEN: (A.END_SENDING, S.CLOSING),
        E.WRITING_BLOCKED: (None, S.ANSWERING),
        E.WRITING_RESUMED: (None, S.ANSWERING),
        E.READING_PAUSED: (None, S.ANSWERING),
        E.READING_RESUMED: (None, S.ANSWERING),
        E.READING_BROKEN: (None, S.ANSWERING),  # what was read gets its answer
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.ANSWERING),
        E.DEADLINE_PASSED: (A.CHECK_UNREAD, S.ANSWERING),
        E.BYTES_UNREAD: (None, S.ANSWERING),
        E.NOTHING_UNREAD: (A.ANSWER_OWED, S.ANSWERING),  # the client does not read its answers
        E.HANG_UP_CHECK_DUE: (None, S.ANSWERING),
        E.ANSWER_ALL: (A.ANSWER_OWED, S.ANSWERING),
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
        E.HANG_UP_CHECK_DUE: (None, S.CLOSING),
        E.ROOM_WANTED: (None, S.CLOSING),
        E.END_IDLE_FOR_ROOM: (None, S.CLOSING),
    },
    S.GONE: {
        E.CLIENT_ENDED_SENDING: (A.WITHDRAW, S.GONE),
        E.CLIENT_LEFT: (A.ABORT, S.GONE),
        E.CONNECTION_LOST: (A.WITHDRAW, S.CLOSED),
        E.ABORT_FAILED: (None, S.GONE),
        E.DEADLINE_PASSED: (A.CHECK_READER, S.GONE),
        E.READER_PROGRESSED: (A.ABORT, S.GONE),  # it had no time to close
        E.READER_STALLED: (A.ABORT, S.GONE),
        E.ROOM_WANTED: (None, S.GONE),
        E.END_IDLE_FOR_ROOM: (None, S.GONE),
    },
    S.CLOSED: {},
}
WAY_TO = {  # the events that lead from birth to a state
    S.IDLE: (),
    S.RECEIVING: (E.REQUEST_BEGUN,),
    S.ANSWERING: (E.REQUEST_BEGUN, E.REQUEST_READ, E.SERVICE_WANTED),
    S.CLOSING: (E.END_IF_IDLE,),
    S.GONE: (E.CLIENT_LEFT,),
    S.CLOSED: (E.CONNECTION_LOST,),
}


def born(now: int = 0, leaves: bool = True, times: SessionTimes = TIMES) -> SessionLifecycle:
    return SessionLifecycle(now, times, half_close_leaves=leaves)


def after(*events: SessionEvent, now: int = 0, leaves: bool = True) -> SessionLifecycle:
    lifecycle = born(leaves=leaves)
    for event in events:
        lifecycle.step(now, event)
    return lifecycle


def proven(now: int = 0) -> SessionLifecycle:
    """One that has served a good request, answered at that time."""
    lifecycle = after(*WAY_TO[S.ANSWERING], now=now)
    lifecycle.proven = True
    lifecycle.step(now, E.ANSWER_WRITTEN)
    return lifecycle


def fields(lifecycle: SessionLifecycle) -> dict:
    return {name: getattr(lifecycle, name) for name in SessionLifecycle.__slots__}


class Table(unittest.TestCase):
    def test_each_event_in_each_state_has_its_stated_outcome(self):
        for state, event in itertools.product(SessionState, SessionEvent):
            with self.subTest(state=state.name, event=event.name):
                lifecycle = after(*WAY_TO[state])
                self.assertIs(lifecycle.state, state)
                before = fields(lifecycle)
                # after any grace for making room, so that a half request can have stopped
                action = lifecycle.step(SECOND, event)
                if event in OUTCOMES[state]:
                    self.assertEqual((action, lifecycle.state), OUTCOMES[state][event])
                else:
                    self.assertEqual((action, fields(lifecycle)), (None, before))

    def test_no_state_leads_back_to_an_open_one(self):
        for state, event in itertools.product((S.CLOSING, S.GONE, S.CLOSED), SessionEvent):
            lifecycle = after(*WAY_TO[state])
            lifecycle.step(SECOND, event)
            self.assertGreaterEqual(lifecycle.state, state)

    def test_only_what_is_closed_has_no_deadline_but_the_dispatch_s(self):
        """Whoever holds a connection can be ended; a request in service has the dispatch's own deadline."""
        for state in SessionState:
            lifecycle = after(*WAY_TO[state])
            held = state in (S.ANSWERING, S.CLOSED)
            self.assertEqual(lifecycle.deadline is None, held, state)

    def test_a_client_that_ends_its_sending_may_still_read_where_the_settings_say_so(self):
        lifecycle = after(*WAY_TO[S.ANSWERING], leaves=False)
        self.assertIsNone(lifecycle.step(0, E.CLIENT_ENDED_SENDING))
        self.assertTrue(lifecycle.open)
        self.assertTrue(lifecycle.is_last_answer(keep_alive=True, draining=False))
        idle = after(leaves=False)
        self.assertEqual(idle.step(0, E.CLIENT_ENDED_SENDING), A.WITHDRAW)

    def test_the_last_answer(self):
        """What was read has its answer before the end; half a request may become whole; an error ends it."""
        one = after(*WAY_TO[S.ANSWERING])
        self.assertFalse(one.is_last_answer(keep_alive=True, draining=False))
        self.assertTrue(one.is_last_answer(keep_alive=False, draining=False))
        self.assertTrue(one.is_last_answer(keep_alive=True, draining=True))
        for behind in ((E.REQUEST_BEGUN,), (E.REQUEST_BEGUN, E.REQUEST_READ)):
            more = after(*WAY_TO[S.ANSWERING], *behind)
            self.assertFalse(more.is_last_answer(keep_alive=True, draining=True))

    def test_a_client_that_sends_ahead_is_read_no_further(self):
        lifecycle = after(*WAY_TO[S.ANSWERING], E.REQUEST_BEGUN, E.REQUEST_READ)
        self.assertEqual(lifecycle.step(0, E.SERVICE_WANTED), A.PAUSE_READING)
        lifecycle.step(0, E.READING_PAUSED)
        self.assertEqual(lifecycle.hang_up_check_at, TIMES.hang_up_check)
        self.assertEqual(lifecycle.step(TIMES.hang_up_check, E.HANG_UP_CHECK_DUE), A.CHECK_CLIENT)
        self.assertEqual(lifecycle.hang_up_check_at, 2 * TIMES.hang_up_check)
        lifecycle.step(SECOND, E.ANSWER_WRITTEN)
        self.assertEqual(lifecycle.step(SECOND, E.SERVICE_WANTED), A.SERVE_IF_PRESENT)
        self.assertEqual(lifecycle.step(SECOND, E.SERVICE_WANTED), A.RESUME_READING)

    def test_a_proven_client_between_requests_is_listed_as_idle(self):
        lifecycle = after(*WAY_TO[S.ANSWERING])
        lifecycle.proven = True
        self.assertEqual(lifecycle.step(0, E.ANSWER_WRITTEN), A.LIST_AS_IDLE)
        blocked = after(*WAY_TO[S.ANSWERING], E.WRITING_BLOCKED)
        blocked.proven = True
        self.assertIsNone(blocked.step(0, E.ANSWER_WRITTEN))  # its answer has not left
        self.assertEqual(blocked.step(0, E.WRITING_RESUMED), A.LIST_AS_IDLE)


class Bounds(unittest.TestCase):
    """Times in the order of `docs/design/endings.md`."""

    def half(self, lifecycle: SessionLifecycle, now: int) -> None:
        lifecycle.heard_at = now
        lifecycle.step(now, E.REQUEST_BEGUN)
        lifecycle.step(now, E.SERVICE_WANTED)

    def test_who_stops_is_told_in_time_though_the_node_is_held_up_twice(self):
        for lifecycle in (born(), proven()):
            self.half(lifecycle, now=100)
            self.assertLessEqual(lifecycle.deadline, 100 + BAD_CLIENTS_OWED - 2 * HELD_UP)
            self.assertLessEqual(TIMES.unread + HELD_UP, BAD_CLIENTS_OWED - TIMES.stopped)

    def test_bytes_that_keep_coming_put_it_off_up_to_the_bound_of_a_slow_one(self):
        lifecycle = proven()
        self.half(lifecycle, now=0)
        for now in range(0, 20 * SECOND, SECOND):
            lifecycle.heard_at = now
            lifecycle.step(now, E.SERVICE_WANTED)
            self.assertEqual(lifecycle.deadline, min(now + TIMES.stopped, TIMES.slow_request))

    def test_a_first_request_has_its_time_from_birth_or_from_the_last_answer(self):
        lifecycle = born()
        self.assertEqual(lifecycle.deadline, TIMES.first_request)
        self.half(lifecycle, now=2 * SECOND)
        self.assertEqual(lifecycle.deadline, TIMES.first_request)
        lifecycle.step(2 * SECOND, E.REQUEST_READ)
        lifecycle.step(2 * SECOND, E.SERVICE_WANTED)
        lifecycle.step(3 * SECOND, E.ANSWER_WRITTEN)  # an error: it is not proven
        self.assertEqual(lifecycle.deadline, 3 * SECOND + TIMES.first_request)

    def test_idle_and_closing(self):
        lifecycle = proven(SECOND)
        self.assertEqual(lifecycle.deadline, SECOND + TIMES.idle)
        lifecycle.step(2 * SECOND, E.END_IF_IDLE)
        self.assertEqual(lifecycle.deadline, 2 * SECOND + TIMES.linger)
        lifecycle.step(2 * SECOND, E.ROOM_WANTED)
        self.assertEqual(lifecycle.deadline, 2 * SECOND + TIMES.room_error_linger)
        room = proven()
        room.step(0, E.END_IDLE_FOR_ROOM)
        self.assertEqual(room.deadline, TIMES.room_linger)

    def test_what_waits_unread_is_given_its_time_once(self):
        lifecycle = proven()
        self.half(lifecycle, now=0)
        late = lifecycle.deadline
        self.assertEqual(lifecycle.step(late, E.DEADLINE_PASSED), A.CHECK_UNREAD)
        self.assertIsNone(lifecycle.step(late, E.BYTES_UNREAD))
        self.assertEqual(lifecycle.deadline, late + TIMES.unread)
        self.assertEqual(lifecycle.step(late + TIMES.unread, E.DEADLINE_PASSED), A.ANSWER_LATE)

    def test_a_slow_reader_keeps_its_connection_while_it_gets_on_and_no_longer_than_its_bound(self):
        lifecycle, now = proven(), 0
        lifecycle.step(now, E.END_IF_IDLE)
        while True:
            now = lifecycle.deadline
            self.assertEqual(lifecycle.step(now, E.DEADLINE_PASSED), A.CHECK_READER)
            if lifecycle.step(now, E.READER_PROGRESSED) is A.ABORT:
                break
            self.assertEqual(lifecycle.deadline, now + TIMES.linger)
        self.assertEqual(now, TIMES.slow_reader)

    def test_room_is_made_by_those_that_have_stopped(self):
        lifecycle = born()
        self.half(lifecycle, now=SECOND)
        self.assertIsNone(lifecycle.step(SECOND + TIMES.room_grace - 1, E.ROOM_CONFIRMED))
        self.assertEqual(lifecycle.step(SECOND + TIMES.room_grace, E.ROOM_CONFIRMED), A.ANSWER_LATE)

    def test_an_abort_that_failed_is_made_again(self):
        lifecycle = after(E.CLIENT_LEFT)
        for now in (0, SECOND):
            lifecycle.step(now, E.ABORT_FAILED)
            self.assertEqual(lifecycle.deadline, now + TIMES.abort_again)
            self.assertEqual(lifecycle.step(lifecycle.deadline, E.DEADLINE_PASSED), A.CHECK_READER)
            self.assertEqual(lifecycle.step(SECOND, E.READER_STALLED), A.ABORT)

    def test_the_times_are_parameters(self):
        short = dataclasses.replace(TIMES, first_request=7)
        self.assertEqual(born(now=1, times=short).deadline, 8)


class Played:
    """An adapter without sockets: what `net/clients/session.py` does, counted."""

    def __init__(self, seed: int) -> None:
        self.random, self.now = Random(seed), 0
        self.lifecycle = born(leaves=self.random.random() < 0.7)
        self.lifecycle.proven = self.random.random() < 0.5
        self.read = self.ends = 0
        self.final = 0  # the request that closes, if any: what comes behind it is no request
        self.queue: list[int] = []
        self.in_service: int | None = None
        self.answers: list[int] = []
        self.draining = self.left = False

    def event(self, event: SessionEvent) -> None:
        action = self.lifecycle.step(self.now, event)
        if action is not None:
            getattr(self, f"on_{action.name.lower()}")()

    def take(self) -> None:
        """One more request was read."""
        self.read += 1
        self.queue.append(self.read)
        self.event(E.REQUEST_READ)

    def advance(self) -> None:
        while True:
            action = self.lifecycle.step(self.now, E.SERVICE_WANTED)
            if action not in (A.SERVE, A.SERVE_IF_PRESENT):
                break
            assert self.in_service is None
            self.in_service = self.queue.pop(0)
            if self.random.random() < 0.3:  # answered at once
                self.answer()
        if action is not None:
            getattr(self, f"on_{action.name.lower()}")()

    def answer(self) -> None:
        number, self.in_service = self.in_service, None
        last = self.lifecycle.is_last_answer(number != self.final, self.draining)
        self.give(number, last)

    def give(self, number: int, last: bool) -> None:
        assert self.lifecycle.open, "an answer after the end"
        self.answers.append(number)
        self.event(E.LAST_ANSWER_WRITTEN if last else E.ANSWER_WRITTEN)

    def on_answer_late(self) -> None:
        self.take()
        self.final = self.read
        self.advance()

    def on_answer_owed(self) -> None:
        if self.lifecycle.arriving:
            self.take()
        elif self.lifecycle.queued_requests > len(self.queue):  # ANSWER_ALL has counted the half request
            self.read += 1
            self.queue.append(self.read)
        while self.in_service is not None or self.queue:
            if self.in_service is None:
                self.lifecycle.step(self.now, E.SERVICE_WANTED)
                self.in_service = self.queue.pop(0)
            number, self.in_service = self.in_service, None
            self.give(number, last=not self.queue)

    def on_end_sending(self) -> None:
        assert not self.queue and self.in_service is None, "it ends over requests that were read"
        self.ends += 1

    def on_withdraw(self) -> None:
        self.left = True
        self.queue.clear()
        self.in_service = None

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

    def on_check_room(self) -> None:
        if self.random.random() < 0.7:
            self.event(E.ROOM_CONFIRMED)

    def on_check_reader(self) -> None:
        self.event(E.READER_PROGRESSED if self.random.random() < 0.5 else E.READER_STALLED)

    def on_check_client(self) -> None:
        if self.random.random() < 0.1:
            self.event(E.CLIENT_LEFT)

    # What the world does.

    def bytes_come(self) -> None:
        lifecycle = self.lifecycle
        if not lifecycle.open or lifecycle.paused or lifecycle.is_half_closed or self.final:
            return
        lifecycle.heard_at = self.now
        for _ in range(self.random.randrange(1, 4)):
            if not lifecycle.arriving:
                self.event(E.REQUEST_BEGUN)
            if self.random.random() < 0.7:
                self.take()
                if self.random.random() < 0.1:
                    self.final = self.read
                    break
        self.advance()

    def answer_comes(self) -> None:
        if self.in_service is not None:
            self.answer()
            self.advance()

    def time_passes(self) -> None:
        due = [at for at in (self.lifecycle.deadline, self.lifecycle.hang_up_check_at) if at is not None]
        if not due:
            return
        self.now = max(self.now, min(due))
        if self.lifecycle.deadline is not None and self.lifecycle.deadline <= self.now:
            self.event(E.DEADLINE_PASSED)
        if self.lifecycle.hang_up_check_at is not None and self.lifecycle.hang_up_check_at <= self.now:
            self.event(E.HANG_UP_CHECK_DUE)

    def client_reads_or_not(self) -> None:
        if self.lifecycle.is_write_blocked:
            self.event(E.WRITING_RESUMED)
            self.advance()
        else:
            self.event(E.WRITING_BLOCKED)

    def node_drains(self) -> None:
        self.draining = True
        self.event(E.END_IF_IDLE)

    def room_is_wanted(self) -> None:
        self.event(self.random.choice((E.ROOM_WANTED, E.END_IDLE_FOR_ROOM)))

    def kill_is_near(self) -> None:
        self.event(E.ANSWER_ALL)

    def client_goes(self) -> None:
        self.event(self.random.choice((E.CLIENT_ENDED_SENDING, E.CLIENT_LEFT, E.CONNECTION_LOST)))

    def play(self) -> None:
        often = (self.bytes_come, self.answer_comes, self.time_passes, self.client_reads_or_not)
        seldom = (self.node_drains, self.room_is_wanted, self.kill_is_near, self.client_goes)
        for _ in range(self.random.randrange(5, 60)):
            self.now += self.random.randrange(0, 400_000)
            self.random.choice(seldom if self.random.random() < 0.06 else often)()
            self.check()
        self.end()

    def check(self) -> None:
        lifecycle = self.lifecycle
        assert lifecycle.queued_requests == len(self.queue) or not lifecycle.open
        assert lifecycle.is_serving == (self.in_service is not None) or not lifecycle.open
        if lifecycle.open and self.in_service is None:
            assert lifecycle.deadline is not None, "nothing ends it"

    def end(self) -> None:
        """Answer all that is left, and have the deadlines end what is open."""
        for _ in range(200):
            if self.lifecycle.state is S.CLOSED:
                break
            self.answer_comes()
            self.time_passes()
            if self.lifecycle.state is S.GONE:
                self.event(E.CONNECTION_LOST)


class Seeded(unittest.TestCase):
    def test_each_request_that_was_read_has_one_answer_and_each_connection_one_end(self):
        for seed in range(3000):
            played = Played(seed)
            played.play()
            self.assertIs(played.lifecycle.state, S.CLOSED, seed)
            self.assertEqual(played.answers, list(range(1, len(played.answers) + 1)), seed)
            self.assertLessEqual(played.ends, 1, seed)
            if not played.left or played.ends:
                self.assertEqual(len(played.answers), played.read, seed)


if __name__ == "__main__":
    unittest.main()
