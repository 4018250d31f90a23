"""Discovery at its worst, on the real program: quiet, half a line, indented, bad entries, two reloads."""

import json
import time
import unittest

from tests.support.node_case import WAIT, NodeCase, StandInServer

LATEST = 6.0  # seconds: a change counts as told so long after discovery had it and could be reached


class Quiet(NodeCase):
    executor_count = 2

    def answer(self, index: int, server: StandInServer | None = None):
        """Take the next call, which has to ask from that version, and begin to answer it."""
        call = (server or self.discovery).next_request()
        self.assertEqual(call.path, f"/v1/endpoints?watch=1&from={index}")
        call.send_head()
        return call

    def send(self, call, text: str) -> None:
        """One chunk."""
        call.connection.send(f"{len(text.encode()):x}\r\n{text}\r\n")

    def drain(self, number: int, index: int) -> dict:
        return {"index": index, "snapshot": False, "endpoints": [self.entry(number, status="DRAINING")]}

    def asked_anew_in_time(self, began: float, index: int) -> None:
        """The next call comes in time, and the drain that it brings is obeyed."""
        call = self.answer(index)
        self.assertLess(time.monotonic() - began, LATEST)
        call.send_line(self.drain(0, index + 1))
        self.wait_log(f"watching from index {index + 1}")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_a_watch_that_is_silent_from_its_first_second(self):
        """The call is taken and its answer begun, and not a byte follows: it is dead, and nothing says so."""
        began = time.monotonic()
        self.answer(7)
        self.asked_anew_in_time(began, 7)

    def test_a_call_that_is_never_answered(self):
        began = time.monotonic()
        self.discovery.next_request()
        self.asked_anew_in_time(began, 7)

    def test_half_a_line_is_the_last_sign_of_life(self):
        """What has come of it counts for nothing, and the next call asks from the version before it."""
        call, began = self.answer(7), time.monotonic()
        self.send(call, json.dumps(self.drain(1, 8))[:-9])
        self.asked_anew_in_time(began, 7)

    def test_half_a_list_with_signs_of_life_after_it(self):
        """Empty lines go on coming behind half a list: it never becomes whole, so the watch is given up."""
        call, began = self.answer(7), time.monotonic()
        self.send(call, '{"index": 8,\n')
        while not call.connection.ended.wait(0.2):
            self.assertLess(time.monotonic() - began, LATEST)
            call.send_line(None)
        self.asked_anew_in_time(began, 7)

    def test_a_list_that_is_indented_over_many_lines(self):
        """Read line by line it was malformed, and the watch was lost and asked anew for ever."""
        call = self.answer(7)
        text = json.dumps(self.drain(0, 8), indent=2) + "\n"
        for at in range(0, len(text), 11):
            self.send(call, text[at : at + 11])
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})
        self.assertFalse(call.connection.ended.is_set())

    def test_a_bad_entry_does_not_hide_the_drain_beside_it(self):
        """The list was refused as a whole, as often as it was asked for: the drain was never told."""
        call = self.answer(7)
        bad = {**self.entry(1), "name": "s-9", "weight": "heavy"}
        call.send_line({"index": 8, "snapshot": False, "endpoints": [bad, self.entry(0, status="DRAINING")]})
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_an_address_that_cannot_be_used_takes_its_executor_out(self):
        """Passed over, the entry left the executor in use at the address that it had before."""
        call = self.answer(7)
        call.send_line({"index": 8, "snapshot": False, "endpoints": [self.entry(0, address="nowhere")]})
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})

    def test_a_whole_list_without_an_executor_in_use(self):
        """What it holds is finished there, and nothing new goes to it."""
        held = self.client().ask("issue")
        while all(server.received.empty() for server in self.executors):
            self.assertFalse(held.answered(0.01))
        lost = 0 if not self.executors[0].received.empty() else 1
        asked = self.executors[lost].next_request()
        call = self.answer(7)
        call.send_line({"index": 8, "snapshot": True, "endpoints": [self.entry(1 - lost)]})
        self.wait_log("watching from index 8")
        self.assertEqual({self.served_by() for _ in range(8)}, {1 - lost})
        asked.done("kept")
        self.assertEqual(held.answer(), (200, b"kept"))

    def test_two_reloads_in_a_row_while_the_watch_reopens(self):
        """The first address is never served from, and the drain in the second's first list is obeyed."""
        self.discovery.next_request().send_head("503 Service Unavailable")  # lost: it waits to ask again
        self.wait_log("watch lost")
        first, second = StandInServer(), StandInServer()
        for server in (first, second):
            self.addCleanup(server.close)
            self.reload(json.dumps({**self.config(), "discovery": server.address}))
            self.wait_log(f"reloaded: discovery is at 127.0.0.1 port {server.address.split(':')[1]}")
        call = self.answer(0, second)
        whole = [self.entry(0, status="DRAINING"), self.entry(1)]
        call.send_line({"index": 3, "snapshot": True, "endpoints": whole})
        self.wait_log("watching from index 3")
        self.assertEqual({self.served_by() for _ in range(8)}, {1})
        for wire in first.connections:
            self.assertTrue(wire.ended.wait(WAIT))


class Pushed(NodeCase):
    """A site whose agent pushes the list."""

    executor_count = 2

    def config(self) -> dict:
        config = super().config()
        config["settings"]["registry_mode"] = "push"
        return config

    def test_the_agent_is_watched_from_the_start_and_again_after_a_reload(self):
        """Only a site whose list is asked for ever opened a watch: here no change was told, ever."""
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
        whole = [self.entry(0), self.entry(1, status="DRAINING")]
        call.send_line({"index": 2, "snapshot": True, "endpoints": whole})
        self.wait_log("watching from index 2")
        self.assertEqual({self.served_by() for _ in range(8)}, {0})


if __name__ == "__main__":
    unittest.main()
