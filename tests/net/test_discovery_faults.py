"""Discovery faults on the real program: silence, incomplete or indented lists, invalid entries, reloads."""

import json
import time
import unittest

from tests.support.node_case import WAIT, NodeCase, StandInServer

# A change of the list must be applied within this time once discovery has it and is reachable.
MAX_UPDATE_DELAY_S = 6.0


class DiscoveryFaults(NodeCase):
    executor_count = 2

    def accept_call(self, index: int, server: StandInServer | None = None):
        """Take the next call, check the version it asks from, and send the answer's head."""
        call = (server or self.discovery).next_request()
        self.assertEqual(call.path, f"/v1/endpoints?watch=1&from={index}")
        call.send_head()
        return call

    def send_chunk(self, call, text: str) -> None:
        """Send one chunk of the answer's body."""
        call.connection.send(f"{len(text.encode()):x}\r\n{text}\r\n")

    def drain_list(self, number: int, index: int) -> dict:
        return {"index": index, "snapshot": False, "endpoints": [self.entry(number, status="DRAINING")]}

    def check_new_call_in_time(self, began: float, index: int) -> None:
        """Check that the watch is renewed in time, and that the drain that it brings is applied."""
        call = self.accept_call(index)
        self.assertLess(time.monotonic() - began, MAX_UPDATE_DELAY_S)
        call.send_line(self.drain_list(0, index + 1))
        self.wait_log(f"watching from index {index + 1}")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_watch_without_any_data_is_renewed(self):
        """The answer begins and no data follows, while the connection stays open."""
        began = time.monotonic()
        self.accept_call(7)
        self.check_new_call_in_time(began, 7)

    def test_unanswered_call_is_renewed(self):
        began = time.monotonic()
        self.discovery.next_request()
        self.check_new_call_in_time(began, 7)

    def test_watch_that_stops_within_a_line_is_renewed(self):
        """The incomplete list is discarded, and the next call asks from the previous version."""
        call, began = self.accept_call(7), time.monotonic()
        self.send_chunk(call, json.dumps(self.drain_list(1, 8))[:-9])
        self.check_new_call_in_time(began, 7)

    def test_incomplete_list_followed_by_empty_lines_is_given_up(self):
        """Empty lines must not keep a watch alive whose list never completes."""
        call, began = self.accept_call(7), time.monotonic()
        self.send_chunk(call, '{"index": 8,\n')
        while not call.connection.ended.wait(0.2):
            self.assertLess(time.monotonic() - began, MAX_UPDATE_DELAY_S)
            call.send_line(None)
        self.check_new_call_in_time(began, 7)

    def test_list_indented_over_many_lines_is_applied(self):
        """Guards against rejecting the list as malformed, and renewing the watch forever."""
        call = self.accept_call(7)
        text = json.dumps(self.drain_list(0, 8), indent=2) + "\n"
        for offset in range(0, len(text), 11):
            self.send_chunk(call, text[offset : offset + 11])
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})
        self.assertFalse(call.connection.ended.is_set())

    def test_invalid_entry_does_not_hide_drain_in_same_list(self):
        """Guards against rejecting the whole list, so that the drain is never applied."""
        call = self.accept_call(7)
        invalid_entry = {**self.entry(1), "name": "s-9", "weight": "heavy"}
        call.send_line(
            {"index": 8, "snapshot": False, "endpoints": [invalid_entry, self.entry(0, status="DRAINING")]}
        )
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_executor_with_unusable_address_gets_no_requests(self):
        """Guards against ignoring the entry, so that the executor stays in use at its previous address."""
        call = self.accept_call(7)
        call.send_line({"index": 8, "snapshot": False, "endpoints": [self.entry(0, address="nowhere")]})
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_executor_missing_in_full_list_finishes_its_attempt(self):
        """The removed executor finishes its attempt and gets no new one."""
        client = self.client().ask("issue")
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(client.answered(0.01))
        removed = 0 if not self.executors[0].received.empty() else 1
        request = self.executors[removed].next_request()
        call = self.accept_call(7)
        call.send_line({"index": 8, "snapshot": True, "endpoints": [self.entry(1 - removed)]})
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1 - removed})
        request.done("kept")
        self.assertEqual(client.answer(), (200, b"kept"))

    def test_two_reloads_while_watch_reopens(self):
        """The first address is never used, and the drain in the second one's first list is applied."""
        # The watch is lost and waits to retry.
        self.discovery.next_request().send_head("503 Service Unavailable")
        self.wait_log("watch lost")
        first, second = StandInServer(), StandInServer()
        for server in (first, second):
            self.addCleanup(server.close)
            self.reload(json.dumps({**self.config(), "discovery": server.address}))
            self.wait_log(f"reloaded: discovery is at 127.0.0.1 port {server.address.split(':')[1]}")
        call = self.accept_call(0, second)
        endpoints = [self.entry(0, status="DRAINING"), self.entry(1)]
        call.send_line({"index": 3, "snapshot": True, "endpoints": endpoints})
        self.wait_log("watching from index 3")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})
        for connection in first.connections:
            self.assertTrue(connection.ended.wait(WAIT))


class PushedList(NodeCase):
    """A site where an agent on the machine pushes the endpoint list."""

    executor_count = 2

    def config(self) -> dict:
        config = super().config()
        config["settings"]["registry_mode"] = "push"
        return config

    def test_agent_is_watched_from_start_and_after_reload(self):
        """Guards against opening a watch only where the list is requested."""
        call = self.discovery.next_request()
        call.send_head()
        call.send_line({"index": 9, "snapshot": False, "endpoints": [self.entry(0, status="DRAINING")]})
        self.wait_log("watching from index 9")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})
        agent = StandInServer()
        self.addCleanup(agent.close)
        self.reload(json.dumps({**self.config(), "discovery": agent.address}))
        call = agent.next_request()
        call.send_head()
        endpoints = [self.entry(0), self.entry(1, status="DRAINING")]
        call.send_line({"index": 2, "snapshot": True, "endpoints": endpoints})
        self.wait_log("watching from index 2")
        self.assertEqual({self.served_by() for _ in range(8)}, {0})


if __name__ == "__main__":
    unittest.main()
