"""What the answers of spoilt executors may take of the node's memory."""

import contextlib
import queue
import unittest

from tests.net.test_client_memory import short_fields
from tests.support.node_case import POLL_S, NodeCase

ANSWER_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
ANSWER_BYTES = 900_000
REQUESTS = 24


class AnswerMemory(NodeCase):
    """The platform kills a node over its memory limit, with all requests that it holds."""

    executor_count = 4
    memory_mb = 32

    def check_memory(self, answer: str) -> None:
        """Answer many requests with an answer that does not end; each fails, within the memory limit."""
        clients = [self.client().ask("issue", budget=2000) for _ in range(REQUESTS)]
        while not all(client.answered(0) for client in clients):
            for executor in self.executors:
                with contextlib.suppress(queue.Empty, OSError):  # The node closes the connection.
                    executor.received.get(timeout=POLL_S).connection.send(answer)
        self.assertLessEqual({client.answer()[0] for client in clients}, {502, 503})
        self.assertLess(self.peak_private_kib(), self.memory_mb * 1024)

    def test_short_fields_without_an_end_stay_within_the_memory_limit(self):
        """Guards against an answer whose fields are counted by their bytes and all kept."""
        self.check_memory(ANSWER_HEAD + short_fields(ANSWER_BYTES // 6).decode())

    def test_a_field_without_an_end_stays_within_the_memory_limit(self):
        """Guards against a field that the parser keeps up to the limit of a whole answer."""
        self.check_memory(ANSWER_HEAD + "X: " + "a" * ANSWER_BYTES)

    def test_a_trailer_without_an_end_stays_within_the_memory_limit(self):
        self.check_memory(ANSWER_HEAD + "\r\n0\r\nX: " + "a" * ANSWER_BYTES)

    def test_an_answer_with_unknown_fields_and_trailers_is_used(self):
        client = self.client().ask("issue")
        request = self.next_request()
        request.send_head("200 OK", "Server: s", "X-Load-Report: TEXT x0=1")
        request.send_state("done", result="fine")
        request.connection.send("0\r\nX-Trailer: a\r\n\r\n")
        self.assertEqual(client.answer(), (200, b"fine"))


if __name__ == "__main__":
    unittest.main()
