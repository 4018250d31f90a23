"""The log tells why the connection of an attempt in flight broke, and who closed it."""

import unittest

from tests.support.node_case import NodeCase

EVENT = "the connection of an attempt in flight broke: "


class BreakReasons(NodeCase):
    def check_reason(self, reason: str, break_connection) -> None:
        """Break the connection of a request that must not be repeated; check the log and the answer."""
        client = self.client().ask("issue")
        break_connection(self.executors[0].next_request())
        self.assertIn(EVENT + reason, self.wait_log(EVENT))
        self.assertEqual(client.answer()[0], 502)

    def test_close_by_the_executor(self):
        self.check_reason("closed by the executor", lambda request: request.connection.close())

    def test_reset_by_the_executor(self):
        self.check_reason("reset or failed", lambda request: request.connection.reset())

    def test_malformed_answer(self):
        reason = "closed by the node: the answer is malformed"
        self.check_reason(reason, lambda request: request.connection.send("nonsense\r\n\r\n"))

    def test_answer_without_final_state(self):
        def end_early(request) -> None:
            request.send_head()
            request.connection.send("0\r\n\r\n")

        self.check_reason("the answer ended without a final state", end_early)


class JsonLog(NodeCase):
    log_format = "json"

    def test_the_executor_is_named(self):
        client = self.client().ask("issue")
        self.executors[0].next_request().connection.close()
        self.assertIn(f'"executor": "{self.executors[0].address}"', self.wait_log(EVENT))
        self.assertEqual(client.answer()[0], 502)


if __name__ == "__main__":
    unittest.main()
