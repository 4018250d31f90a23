"""Requests that are preempted before their last byte has left the node."""

import signal
import unittest
from pathlib import Path

from cedarmill.net.upstream.connection import DUPLICATE_ANSWER_WINDOW_US
from tests.support.node_case import WAIT, NodeCase
from tests.support.node_client import Client
from tests.support.slow_clock import SlowClock


class UnsentVictim(NodeCase):
    """An executor with one slot; a request that must not be repeated is preempted before it is sent whole.

    The node's clock is slow, so that the time for which it holds back a last byte cannot run out unnoticed.
    """

    settings_changes = {"family_info.tells_start": True}

    def prepare(self) -> None:
        super().prepare()
        self.clock = SlowClock(f"{self.tmpdir.name}/clock")

    def command(self, module: str, *arguments: str) -> list[str]:
        return self.clock.command(module, *arguments)

    def setUp(self) -> None:
        super().setUp()
        self.victim, self.preemptor = self.kept_client(), self.kept_client()
        client = self.client().ask("issue")
        received = self.executors[0].next_request()
        received.send_head()
        received.send_state("started")
        # No further slot is free. The message ends in the same write: the connection is idle once the client
        # has its answer, and the time for a second answer counts from then.
        received.send_state("done", "0\r\n\r\n", result="fine", load={"x0": 0, "x1": 100})
        self.assertEqual(client.answer()[0], 200)
        self.first_connection = received.connection

    def kept_client(self) -> Client:
        """Return a client whose connection is open, so that its next request is read at once."""
        client = self.client()
        client.request("GET", "/ready")
        client.answer()
        return client

    def stop_process(self) -> None:
        self.process.send_signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        self.wait_for(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")

    def check_victim_is_refused(self) -> None:
        """Let both requests arrive in one turn of the event loop, the one of lower priority first."""
        self.stop_process()
        self.victim.ask("issue")
        self.preemptor.ask("pin")
        self.process.send_signal(signal.SIGCONT)
        received = self.executors[0].next_request()
        self.assertEqual(received.headers["X-Call-Class"], "pin")
        self.assertEqual(self.victim.answer()[0], 503)
        self.assertIn("Retry-After", self.victim.headers)
        received.done()
        self.assertEqual(self.preemptor.answer()[0], 200)
        self.assertTrue(self.executors[0].received.empty(), "the preempted request has reached the executor")

    def test_request_whose_last_byte_is_held_back_is_refused(self):
        """Guards against 502, which says that a request may have run that provably has not."""
        self.clock.advance(DUPLICATE_ANSWER_WINDOW_US)
        self.check_victim_is_refused()
        self.assertTrue(self.first_connection.ended.wait(WAIT))  # it carried the victim but for its last byte

    def test_request_whose_connection_opens_is_refused(self):
        """Guards against 502, which says that a request may have run that provably has not."""
        self.first_connection.close()
        self.assertTrue(self.first_connection.ended.wait(1))
        self.check_victim_is_refused()


if __name__ == "__main__":
    unittest.main()
