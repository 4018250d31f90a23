"""Lines of an executor's answer that lack a field: nothing is served or repeated on their word."""

import json
import unittest

from tests.support.node_case import NodeCase, ReceivedRequest

LOG_LINE = "the connection of an attempt in flight broke: closed by the node: "
NO_RESULT = LOG_LINE + "the last line of the answer has no result"
NO_ID = LOG_LINE + "a line of the answer names no request"


class IncompleteLines(NodeCase):
    """Guards against a default in place of a field that is not there, which was served: review/7."""

    executor_count = 2

    def send_line(self, request: ReceivedRequest, ended: bool = True, **fields: object) -> None:
        """Answer a request with one line of these fields; `ended`: with a newline."""
        text = json.dumps(fields) + "\n" * ended
        request.connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}")

    def check_failed(self, log_line: str, ended: bool = True, **fields: object) -> None:
        """Check that a request which must not run twice fails with this line and is not sent again."""
        client = self.client().ask("issue")
        request = self.next_request()
        if "id" in fields:
            fields["id"] = request.headers["X-Call-Id"]
        self.send_line(request, ended, **fields)
        self.assertEqual(client.answer(), (502, b"failed\n"))
        self.assertIn(log_line, self.wait_log(LOG_LINE))
        self.assertEqual([executor.received.qsize() for executor in self.executors], [0, 0])

    def test_done_without_a_result_is_not_served(self):
        self.check_failed(NO_RESULT, id="", state="done")

    def test_done_without_a_result_and_line_end_is_not_served(self):
        self.check_failed(NO_RESULT, ended=False, id="", state="done")

    def test_done_with_null_as_its_result_is_not_served(self):
        self.check_failed(NO_RESULT, id="", state="done", result=None)

    def test_done_without_an_id_is_not_served(self):
        self.check_failed(NO_ID, state="done", result="of which request?")

    def test_returned_without_an_id_does_not_prove_that_the_request_never_ran(self):
        self.check_failed(NO_ID, state="returned")

    def test_an_empty_result_is_a_result(self):
        client = self.client().ask("issue")
        self.next_request().done("")
        self.assertEqual(client.answer(), (200, b""))

    def test_a_request_that_may_run_twice_is_sent_again(self):
        client = self.client().ask("pin")
        first = self.next_request()
        self.send_line(first, id=first.headers["X-Call-Id"], state="done")
        self.next_request().done("whole")
        self.assertEqual(client.answer(), (200, b"whole"))


if __name__ == "__main__":
    unittest.main()
