"""Rejections that may be a second answer to the request before on the same connection."""

import unittest

from tests.support.node_case import NodeCase
from tests.support.slow_clock import SlowClock

REJECTION = "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class AmbiguousRejections(NodeCase):
    """A clock that is slow, so that a second answer to the request before is never ruled out."""

    def prepare(self) -> None:
        super().prepare()
        self.clock = SlowClock(f"{self.tmpdir.name}/clock")

    def command(self, module: str, *arguments: str) -> list[str]:
        return self.clock.command(module, *arguments)

    def entry(self, number: int, **changes) -> dict:
        return super().entry(number, weight=100.0, **changes)

    def test_request_is_repeated_once_on_another_connection_which_tells_that_the_executor_is_full(self):
        """Guards against five repeats within milliseconds, and then 502, at an executor that is full."""
        clients = [self.client().ask("pin") for _ in range(3)]
        served = [self.executors[0].next_request() for _ in clients]
        for received in served:  # they may arrive in another order than they were sent
            received.done()
        self.assertEqual([client.answer()[0] for client in clients], [200] * 3)
        client = clients[0].ask("pin")
        first = self.executors[0].next_request()
        used_connections = [received.connection for received in served]
        self.assertIn(first.connection, used_connections)
        first.connection.send(REJECTION)
        second = self.executors[0].next_request()
        self.assertNotIn(second.connection, used_connections)
        self.assertTrue(first.connection.ended.wait(1))
        second.connection.send(REJECTION)
        self.assertFalse(client.answered(0.1))  # it waits for room
        self.assertTrue(self.executors[0].received.empty())


if __name__ == "__main__":
    unittest.main()
