"""A node with a fleet, over real replicas: it waits to be told, drains by orders, and keeps or loses its
lease.
"""

import time
import unittest
from pathlib import Path

from cedarmill.lab.cluster.ports import free_port
from tests.support.node_case import NodeCase, call_admin_api
from tests.support.replica_case import LONG, ReplicaCase


class FleetNode(ReplicaCase, NodeCase):
    """One replica, and a node with two executors in zones of their own."""

    replicas = 1
    executor_count = 2
    part = ""  # more words of <fleet>
    limits = ('<limit kind="executor" per="fleet" most="1"/>', '<limit kind="node" per="fleet" most="1"/>')
    replica_runs = True

    def setUp(self) -> None:
        ReplicaCase.setUp(self)
        if not self.replica_runs:
            self.kill("k0")
        self.xml_settings = (f'<fleet cluster="main" listen="127.0.0.1:{free_port()}" {self.part}>'
                     f'<keeper name="k0" address="127.0.0.1:{self.ports["k0"]}"/></fleet>')  # fmt: skip
        NodeCase.setUp(self)
        self.admin_api = self.admin_port()

    def wait_for(self, condition, wait: float = LONG):
        return ReplicaCase.wait_for(self, condition, wait)

    def config(self) -> dict:
        return {**NodeCase.config(self), "mgmt": "127.0.0.1:0"}

    def joined(self) -> None:
        """The replicas know both executors."""
        self.wait_log("the lease holds")
        self.wait_for(lambda: sum(row["kind"] == "executor" for row in self.look("targets")) == 2)
        self.wait_for(lambda: not self.look("status")["halted"])  # a leader that has heard enough to grant

    def refused(self) -> bool:
        """Whether a request is refused now; one that is not is served."""
        client = self.client().ask()
        self.wait_for(
            lambda: client.answered(0) or any(not server.received.empty() for server in self.executors)
        )
        for server in self.executors:
            if not server.received.empty():
                server.next_request().done()
        return client.answer()[0] == 503


class Joined(FleetNode):
    def test_a_call_at_the_admin_api_is_granted_waits_or_is_refused_by_the_fleet(self):
        self.joined()
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0"), (200, b"granted\n"))
        status, text = call_admin_api(self.admin_api, "PUT", "/api/exclude/s-1")
        self.assertEqual(status, 202)
        self.assertIn(b"waiting: executor per fleet: at most 1", text)
        self.assertEqual(
            call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")[0], 200, "two calls out are one"
        )
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/exclude/s-9")[0], 404)
        self.wait_log("excluded: s-0")
        self.assertEqual({self.served_by() for _ in range(4)}, {1})
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-0")[0], 200)
        self.wait_log("excluded: s-1")
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-1")[0], 200)
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-1")[0], 200)

    def test_drained_waits_for_the_job_that_is_out_there(self):
        self.joined()
        client = self.client().ask()
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        number = next(n for n, server in enumerate(self.executors) if not server.received.empty())
        self.assertEqual(call_admin_api(self.admin_api, "PUT", f"/api/exclude/s-{number}")[0], 200)
        self.wait_log(f"excluded: s-{number}")
        self.assertEqual([row["drained"] for row in self.look("permits")], [0])
        self.executors[number].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.wait_for(lambda: self.look("permits")[0]["drained"])

    def test_the_node_itself_is_drained_by_the_fleet_and_takes_clients_again(self):
        self.joined()
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/evacuate")[0], 200)
        self.wait_log("draining clients: yes")
        self.wait_for(lambda: call_admin_api(self.admin_api, "GET", "/api/ready")[0] == 503)
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/rejoin")[0], 200)
        self.wait_log("draining clients: no")
        self.wait_for(lambda: call_admin_api(self.admin_api, "GET", "/api/ready")[0] == 200)

    def test_with_all_replicas_dead_it_serves_on_and_the_admin_api_says_that_it_cannot_know(self):
        self.joined()
        self.kill("k0")
        self.wait_log("the lease has run out")
        self.assertFalse(any(self.refused() for _ in range(4)))
        began = time.monotonic()
        status, text = call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")
        self.assertEqual(status, 503)
        self.assertIn(b"no keeper answered in time", text)
        self.assertLess(time.monotonic() - began, 5, "the page owes an answer within 1 s")
        self.start_replica("k0")
        self.wait_for(lambda: call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")[0] == 200)
        self.assertEqual(len([p for p in self.look("permits") if p["state"] == "granted"]), 1)

    def test_a_node_that_ends_says_so(self):
        self.joined()
        self.terminate()
        self.wait_for(lambda: [row["state"] for row in self.look("members")] == ["ended"])


class Stopping(FleetNode):
    part = 'cut-off="stop"'

    def test_it_sends_nothing_once_its_lease_has_run_out(self):
        self.joined()
        self.assertFalse(self.refused())
        self.kill("k0")
        self.wait_log("the lease has run out")
        self.assertTrue(all(self.refused() for _ in range(4)))
        self.start_replica("k0")
        self.wait_for(lambda: not self.refused())

    def test_it_was_paused_beyond_its_lease_and_sends_nothing_by_what_it_knew(self):
        """The request comes while it stands still: what it does first must ask the lease, not a timer."""
        self.joined()
        client = self.client().ask()  # a first request is served: a session without one is ended after 2.8 s
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        for server in self.executors:
            if not server.received.empty():
                server.next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.process.send_signal(19)
        stat = Path(f"/proc/{self.process.pid}/stat")
        self.wait_for(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")
        client.ask()
        self.kill("k0")  # or its first beat might be answered before the request is read
        lease_s = 3.2
        time.sleep(lease_s)  # its lease has to run out while it stands still: no condition tells that
        self.process.send_signal(18)
        self.assertEqual(client.answer()[0], 503)
        self.assertEqual(
            [server.next_request().path for server in self.executors if not server.received.empty()], []
        )


class Alone(FleetNode):
    replica_runs = False

    def test_it_sends_nothing_before_it_has_heard_what_is_out(self):
        self.assertEqual(call_admin_api(self.admin_api, "GET", "/api/ready")[0], 503)
        self.assertTrue(self.refused())
        self.start_replica("k0")
        self.wait_log("the lease holds")
        self.wait_for(lambda: not self.refused())


class AloneByWord(FleetNode):
    replica_runs = False
    part = 'start="alone"'

    def test_where_an_installation_says_so_it_serves_at_once(self):
        self.assertFalse(self.refused())


if __name__ == "__main__":
    unittest.main()


class Budgeted(FleetNode):
    """A node that spends by the fleet's budgets."""

    settings_changes = {"caps.probes": True}
    limits = (*FleetNode.limits, '<budget name="probes" per-second="0.001" nodes="1"/>')

    def test_a_node_probes_no_more_than_the_fleet_lets_it(self):
        """A budget of one in a thousand seconds: requests are placed by what is known, and served."""
        self.joined()
        rows = self.wait_for(lambda: self.look("budgets"))
        self.assertEqual((rows[0]["name"], rows[0]["rate"]), ("probes", 1))
        for _ in range(8):
            client = self.client().ask()
            self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
            for server in self.executors:
                while not server.received.empty():
                    asked = server.next_request()
                    self.assertEqual(asked.method, "POST", "no probe without a place in the budget")
                    asked.done()
            self.assertEqual(client.answer()[0], 200)
