"""Answers whose HTTP message ends in a later read than their final line, and the use of their connection.

The executors write the final line of an answer first, and the last chunk when the client has its answer.
"""

import time
import unittest
from unittest.mock import Mock, patch

from cedarmill.decisions.interface import Outcome
from cedarmill.net.config import Address
from cedarmill.net.upstream.connection import (
    ANSWER_END_TIMEOUT_US,
    DUPLICATE_ANSWER_WINDOW_US,
    IDLE_TIMEOUT_FRACTION,
    UpstreamConnection,
)
from cedarmill.net.upstream.exchange import Exchange
from cedarmill.net.upstream.exchange_end import ExchangeEnd
from cedarmill.net.upstream.pool import UpstreamPool, UpstreamPools
from cedarmill.net.upstream.probe_exchange import ProbeExchange
from cedarmill.values import KindOptions, Options
from tests.support.builders import settings
from tests.support.clocked_driver import ClockedDriver
from tests.support.node_case import WAIT, NodeCase
from tests.support.recording_transport import RecordingTransport

FINAL_LINE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"  # with all before it
LAST_CHUNK = "0\r\n\r\n"
BEGUN_LINE, LATER_PART = FINAL_LINE[:-8], FINAL_LINE[-8:-5]  # neither has a body
SETTLED_S = 1.2 * DUPLICATE_ANSWER_WINDOW_US / 1e6  # after this, any request may reuse the connection
PAST_ANSWER_END_S = 1.3 * ANSWER_END_TIMEOUT_US / 1e6
LONGEST_WAIT_S = ANSWER_END_TIMEOUT_US / 1e6 + WAIT


class ReusedConnection(NodeCase):
    """A node whose executor ends the first answer late, while the connection goes on to serve."""

    def entry(self, number: int, **changes) -> dict:
        return super().entry(number, weight=100.0, **changes)

    def serve_with_late_end(self, job_class: str):
        """Serve a request and return its connection, which has received the last chunk late, and the time.

        The time is that of the final line, by the monotonic clock.
        """
        client = self.client().ask(job_class)
        received = self.executors[0].next_request()
        received.send_head()
        final_line_at = time.monotonic()
        received.send_state("done", result="first")
        self.assertEqual(client.answer(), (200, b"first"))
        received.connection.send(LAST_CHUNK)
        self.wait_until(time.monotonic() + SETTLED_S)
        return received.connection, final_line_at

    def wait_until(self, due: float) -> None:
        """Wait until a time of the monotonic clock."""
        self.wait_for(lambda: time.monotonic() >= due)

    def check_request_on(self, connection, job_class: str, answer_at: float = 0.0) -> None:
        """Send a request, which has to use this connection, and let it be answered at this time."""
        client = self.client().ask(job_class)
        received = self.executors[0].next_request()
        self.assertIs(received.connection, connection)
        self.wait_until(answer_at)
        self.assertFalse(connection.ended.is_set(), "the node closed the connection of a request in flight")
        received.done("second")
        self.assertEqual(client.answer(), (200, b"second"))
        self.assertTrue(self.executors[0].received.empty(), "the request was sent a second time")

    def test_request_that_must_not_repeat_outlasts_the_end_timeout_of_the_previous_answer(self):
        connection, final_line_at = self.serve_with_late_end("issue")
        self.check_request_on(connection, "issue", final_line_at + PAST_ANSWER_END_S)

    def test_repeatable_request_outlasts_the_end_timeout_of_the_previous_answer(self):
        connection, final_line_at = self.serve_with_late_end("pin")
        self.check_request_on(connection, "pin", final_line_at + PAST_ANSWER_END_S)

    def test_idle_connection_outlasts_the_end_timeout_of_its_last_answer(self):
        connection, final_line_at = self.serve_with_late_end("pin")
        self.wait_until(final_line_at + PAST_ANSWER_END_S)
        self.assertFalse(connection.ended.is_set(), "the node closed a connection that was idle for 1 s")
        self.check_request_on(connection, "pin")

    def test_connection_whose_answer_never_ends_is_closed(self):
        """The timeout itself still applies."""
        client = self.client().ask("pin")
        received = self.executors[0].next_request()
        received.send_head()
        received.send_state("done", result="first")
        self.assertEqual(client.answer(), (200, b"first"))
        self.assertTrue(received.connection.ended.wait(LONGEST_WAIT_S))


class LineExchange(Exchange):
    """An exchange that ends with the first line of its answer, as an attempt does."""

    outcome: Outcome | None = None

    def outcome_if_blocked(self, now: int) -> Outcome | None:
        return None

    def encode_request(self, now: int) -> bytes:
        return b"GET / HTTP/1.1\r\n\r\n"

    def on_body(self, data: bytes) -> None:
        self.pending_end = ExchangeEnd(Outcome.OK)

    def on_complete(self) -> None:
        self.pending_end = self.pending_end or ExchangeEnd(Outcome.OK)

    def report_end(self, now: int, end: ExchangeEnd) -> None:
        self.outcome = end.outcome


class EndTimeoutOfThePreviousAnswer(unittest.TestCase):
    """The timeout for the end of an answer affects no later state of the connection."""

    gap = ANSWER_END_TIMEOUT_US - 200_000  # from the final line to the end of the message, us

    def setUp(self) -> None:
        self.driver = ClockedDriver()
        self.pools = UpstreamPools(self.driver, settings(), 10, Options())
        self.pools.dispatch = Mock()
        self.pool = UpstreamPool(self.pools, 1, Address("127.0.0.1", 1), KindOptions())
        self.connection = UpstreamConnection(self.pool, LineExchange(self.pools, self.pool))
        self.pool.connections.add(self.connection)
        self.connection.connection_made(RecordingTransport())
        self.receive_answer()

    def receive_answer(self) -> None:
        """Receive the final line and, `gap` later, the last chunk."""
        self.connection.data_received(FINAL_LINE)
        self.driver.advance(self.gap)
        self.connection.data_received(LAST_CHUNK.encode())
        self.assertEqual(self.pool.idle, [self.connection])

    def send_next(self) -> LineExchange:
        exchange = LineExchange(self.pools, self.pool)
        self.pool.submit(exchange)
        self.assertIs(exchange.connection, self.connection)
        return exchange

    def check_open_for(self, span: int) -> None:
        self.driver.advance(span - 1)
        self.assertFalse(self.connection.transport.aborted)

    def test_next_exchange_is_not_ended(self):
        exchange = self.send_next()
        self.check_open_for(2 * ANSWER_END_TIMEOUT_US)
        self.assertIsNone(exchange.outcome)

    def test_idle_connection_closes_only_after_its_idle_timeout(self):
        idle_us = int(self.pools.settings.conn_idle_us * IDLE_TIMEOUT_FRACTION)
        self.assertGreater(idle_us, ANSWER_END_TIMEOUT_US)
        self.check_open_for(idle_us)
        self.driver.advance(1)
        self.assertTrue(self.connection.transport.aborted)

    def test_next_probe_is_not_ended(self):
        probe = ProbeExchange(self.pools, self.pool, Mock(executor=1))
        self.pool.submit(probe)
        self.assertIs(probe.connection, self.connection)
        self.check_open_for(2 * self.pools.settings.connect_timeout_us)  # a probe's own time limit
        self.pools.dispatch.probe_ended.assert_not_called()

    def test_half_closed_connection_keeps_its_full_timeout(self):
        self.send_next()
        self.connection.half_close()
        self.check_open_for(ANSWER_END_TIMEOUT_US)
        self.driver.advance(1)
        self.assertTrue(self.connection.transport.aborted)

    def test_time_for_an_overlong_line_ends_with_the_line(self):
        """Guards against a long progress line that ends its attempt although it has ended in time."""
        exchange = self.send_next()
        with patch.object(LineExchange, "is_overlong", True):
            self.connection.data_received(BEGUN_LINE)
        self.connection.data_received(LATER_PART)
        self.check_open_for(2 * ANSWER_END_TIMEOUT_US)
        self.assertIsNone(exchange.outcome)

    def test_overlong_line_that_does_not_end_breaks_the_connection(self):
        exchange = self.send_next()
        with patch.object(LineExchange, "is_overlong", True):
            self.connection.data_received(BEGUN_LINE)
            self.connection.data_received(LATER_PART)
            self.check_open_for(ANSWER_END_TIMEOUT_US)
            self.driver.advance(1)
        self.assertTrue(self.connection.transport.aborted)
        self.assertEqual(exchange.outcome, Outcome.RESET)

    def test_discarded_connection_leaves_no_timer(self):
        """Guards against a timer that fires for a connection that a cancelled attempt has closed."""
        self.send_next()
        self.connection.discard()
        self.assertIsNone(self.driver.timers.next_due)

    def test_second_late_end_gets_its_full_timeout(self):
        self.send_next()
        self.connection.data_received(FINAL_LINE)
        self.check_open_for(ANSWER_END_TIMEOUT_US)
        self.driver.advance(1)
        self.assertTrue(self.connection.transport.aborted)


if __name__ == "__main__":
    unittest.main()
