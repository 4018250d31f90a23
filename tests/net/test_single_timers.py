"""Objects of `net/` keep one timer of each purpose, and none once they have ended or left its state.

Each case guards against a timer that was scheduled beside one of the same purpose, or never cancelled.
"""

import unittest
from unittest.mock import Mock

from cedarmill.net.bounded_sessions import BoundedSession
from cedarmill.net.cluster.node_role import PEERS_REFRESH_DELAY_US, NodeRole
from cedarmill.net.config import Address
from cedarmill.net.listener import ACCEPT_RETRY_US, Acceptor
from cedarmill.net.upstream.connection import ABORT_RETRY_US, UpstreamConnection
from cedarmill.net.upstream.pool import UpstreamPool, UpstreamPools
from cedarmill.values import ClusterOptions, KindOptions, Options
from tests.support.builders import settings
from tests.support.clocked_driver import ClockedDriver


class SingleTimers(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = ClockedDriver()

    def broken_transport(self) -> Mock:
        """Return a transport whose abort fails."""
        transport = Mock()
        transport.abort.side_effect = OSError("no memory")
        return transport

    def test_failed_abort_of_an_executor_connection_is_retried_by_one_timer(self):
        pools = UpstreamPools(self.driver, settings(), 10, Options())
        pools.dispatch = Mock()
        pool = UpstreamPool(pools, 1, Address("127.0.0.1", 1), KindOptions())
        connection = UpstreamConnection(pool, Mock(is_unsafe=False))
        connection.transport = self.broken_transport()
        for _ in range(3):
            connection.discard()
        self.assertEqual(self.driver.advance(ABORT_RETRY_US), 1)
        connection.connection_lost(None)
        self.assertIsNone(self.driver.timers.next_due)

    def test_session_that_is_lost_retries_no_abort(self):
        session = BoundedSession(Mock(driver=self.driver, bounds=Mock(first_request_us=1_000_000)))
        session.connection_made(self.broken_transport())
        session.connection_lost(None)
        session.abort()
        self.assertIsNone(self.driver.timers.next_due)

    def test_acceptor_that_was_resumed_early_is_not_resumed_again(self):
        acceptor = self.acceptor()
        acceptor.resume_later()
        acceptor.resume()  # a session that did not open has freed its slot
        acceptor.pause()  # the listener is full
        self.driver.loop.add_reader.reset_mock()
        self.driver.advance(ACCEPT_RETRY_US)
        self.driver.loop.add_reader.assert_not_called()

    def test_closed_acceptor_leaves_no_timer(self):
        acceptor = self.acceptor()
        acceptor.resume_later()
        acceptor.close()
        self.assertIsNone(self.driver.timers.next_due)

    def test_failed_requests_for_peers_are_repeated_by_one_timer_whatever_orders_come(self):
        role = self.node_role()
        for _ in range(3):  # each of the orders asks at once, and no replica answers
            role._refresh_peers()
            role.membership.ask.call_args.args[2](None)
        self.assertEqual(self.driver.advance(PEERS_REFRESH_DELAY_US), 1)

    def acceptor(self) -> Acceptor:
        sock = Mock()
        sock.getsockname.return_value = ("127.0.0.1", 1)
        return Acceptor(self.driver, sock, Mock(), listener="clients", batch=1)

    def node_role(self) -> NodeRole:
        """Return a node's role with orders of a membership epoch whose peers are not known."""
        options = ClusterOptions("c", {"r1": "127.0.0.1:1"}, start="alone")
        config = Mock(settings=settings())
        config.name = "n0"
        role = NodeRole(self.driver, config, options, Mock(), Mock(), Mock())
        role.orders, role.membership = Mock(membership_epoch=1), Mock()
        return role


if __name__ == "__main__":
    unittest.main()
