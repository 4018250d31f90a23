"""A node in a cluster with a real replica: waiting for the first orders, drains, leases and budgets."""

import time
import unittest
from pathlib import Path

from cedarmill.lab.cluster.ports import free_port
from tests.support.node_case import NodeCase, call_admin_api
from tests.support.replica_case import LONG, ReplicaCase


class ClusterNode(ReplicaCase, NodeCase):
    """Starts one replica, and a node with two executors."""

    replicas = 1
    executor_count = 2
    xml_attributes = ""  # further attributes of <fleet>
    limits = ('<limit kind="executor" per="fleet" most="1"/>', '<limit kind="node" per="fleet" most="1"/>')
    has_running_replica = True

    def setUp(self) -> None:
        ReplicaCase.setUp(self)
        if not self.has_running_replica:
            self.kill("k0")
        self.xml_settings = (f'<fleet cluster="main" listen="127.0.0.1:{free_port()}" {self.xml_attributes}>'
                     f'<keeper name="k0" address="127.0.0.1:{self.ports["k0"]}"/></fleet>')  # fmt: skip
        NodeCase.setUp(self)
        self.admin_api = self.admin_port()

    def wait_for(self, condition, wait: float = LONG):
        return ReplicaCase.wait_for(self, condition, wait)

    def config(self) -> dict:
        return {**NodeCase.config(self), "mgmt": "127.0.0.1:0"}

    def wait_until_joined(self) -> None:
        """Wait until the node holds a lease and the leader grants permits for both executors."""
        self.wait_log("the lease holds")
        self.wait_for(lambda: sum(row["kind"] == "executor" for row in self.look("targets")) == 2)
        self.wait_for(lambda: not self.look("status")["halted"])  # the leader can grant permits

    def is_rejected(self) -> bool:
        """Send a request and serve it if it reaches an executor; return whether the node rejected it."""
        client = self.client().ask()
        self.wait_for(
            lambda: client.answered(0) or any(not server.received.empty() for server in self.executors)
        )
        for server in self.executors:
            if not server.received.empty():
                server.next_request().done()
        return client.answer()[0] == 503


class JoinedNode(ClusterNode):
    def test_an_exclusion_is_granted_queued_or_refused_by_the_cluster(self):
        self.wait_until_joined()
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0"), (200, b"granted\n"))
        status, text = call_admin_api(self.admin_api, "PUT", "/api/exclude/s-1")
        self.assertEqual(status, 202)
        self.assertIn(b"waiting: executor per fleet: at most 1", text)
        self.assertEqual(
            call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")[0], 200, "a repeated exclusion succeeds"
        )
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/exclude/s-9")[0], 404)
        self.wait_log("excluded: s-0")
        self.assertEqual({self.served_by() for _ in range(4)}, {1})
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-0")[0], 200)
        self.wait_log("excluded: s-1")
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-1")[0], 200)
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/include/s-1")[0], 200)

    def test_an_executor_counts_as_drained_only_after_its_request_has_ended(self):
        self.wait_until_joined()
        client = self.client().ask()
        number = self.wait_received()
        self.assertEqual(call_admin_api(self.admin_api, "PUT", f"/api/exclude/s-{number}")[0], 200)
        self.wait_log(f"excluded: s-{number}")
        self.assertEqual([row["drained"] for row in self.look("permits")], [0])
        self.executors[number].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.wait_for(lambda: self.look("permits")[0]["drained"])

    def test_the_node_drains_its_clients_on_orders_and_accepts_clients_after_rejoining(self):
        self.wait_until_joined()
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/evacuate")[0], 200)
        self.wait_log("draining clients: yes")
        self.wait_for(lambda: call_admin_api(self.admin_api, "GET", "/api/ready")[0] == 503)
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertEqual(call_admin_api(self.admin_api, "PUT", "/api/rejoin")[0], 200)
        self.wait_log("draining clients: no")
        self.wait_for(lambda: call_admin_api(self.admin_api, "GET", "/api/ready")[0] == 200)

    def test_without_replicas_the_node_keeps_serving_and_the_admin_api_answers_503(self):
        self.wait_until_joined()
        self.kill("k0")
        self.wait_log("the lease has run out")
        self.assertFalse(any(self.is_rejected() for _ in range(4)))
        started_at = time.monotonic()
        status, text = call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")
        self.assertEqual(status, 503)
        self.assertIn(b"no keeper answered in time", text)
        self.assertLess(time.monotonic() - started_at, 5, "the admin API must answer within 1 s")
        self.start_replica("k0")
        self.wait_for(lambda: call_admin_api(self.admin_api, "PUT", "/api/exclude/s-0")[0] == 200)
        self.assertEqual(len([permit for permit in self.look("permits") if permit["state"] == "granted"]), 1)

    def test_a_terminated_node_is_reported_as_ended(self):
        self.wait_until_joined()
        self.terminate()
        self.wait_for(lambda: [row["state"] for row in self.look("members")] == ["ended"])


class NodeThatStopsAtLeaseExpiry(ClusterNode):
    xml_attributes = 'cut-off="stop"'

    def test_the_node_sends_nothing_after_its_lease_has_expired(self):
        self.wait_until_joined()
        self.assertFalse(self.is_rejected())
        self.kill("k0")
        self.wait_log("the lease has run out")
        self.assertTrue(all(self.is_rejected() for _ in range(4)))
        self.start_replica("k0")
        self.wait_for(lambda: not self.is_rejected())

    def test_a_node_suspended_past_its_lease_sends_nothing_when_it_resumes(self):
        """The request arrives during the suspension, so the lease must be checked before any timer runs."""
        self.wait_until_joined()
        client = self.client().ask()  # a session without a request ends after 2.5 s
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        for server in self.executors:
            if not server.received.empty():
                server.next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.process.send_signal(19)
        stat_path = Path(f"/proc/{self.process.pid}/stat")
        self.wait_for(lambda: stat_path.read_text().rpartition(")")[2].split()[0] == "T")
        client.ask()
        self.kill("k0")  # else a heartbeat could renew the lease before the request is read
        lease_s = 3.2
        time.sleep(lease_s)  # no condition shows that the lease of a suspended node expires
        self.process.send_signal(18)
        self.assertEqual(client.answer()[0], 503)
        self.assertEqual(
            [server.next_request().path for server in self.executors if not server.received.empty()], []
        )


class NodeWithoutReplica(ClusterNode):
    has_running_replica = False

    def test_the_node_sends_nothing_before_its_first_orders(self):
        self.assertEqual(call_admin_api(self.admin_api, "GET", "/api/ready")[0], 503)
        self.assertTrue(self.is_rejected())
        self.start_replica("k0")
        self.wait_log("the lease holds")
        self.wait_for(lambda: not self.is_rejected())


class NodeStartingAlone(ClusterNode):
    has_running_replica = False
    xml_attributes = 'start="alone"'

    def test_a_node_configured_to_start_alone_serves_at_once(self):
        self.assertFalse(self.is_rejected())


if __name__ == "__main__":
    unittest.main()


class NodeWithProbeBudget(ClusterNode):
    """A node that spends from a budget of the cluster."""

    settings_changes = {"caps.probes": True}
    limits = (*ClusterNode.limits, '<budget name="probes" per-second="0.001" nodes="1"/>')

    def test_a_node_sends_no_probes_beyond_its_probe_budget(self):
        """With a budget of one probe in 1000 s, requests are served without probing."""
        self.wait_until_joined()
        rows = self.wait_for(lambda: self.look("budgets"))
        self.assertEqual((rows[0]["name"], rows[0]["rate"]), ("probes", 1))
        for _ in range(8):
            client = self.client().ask()
            self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
            for server in self.executors:
                while not server.received.empty():
                    request = server.next_request()
                    self.assertEqual(request.method, "POST", "no probe beyond the budget")
                    request.done()
            self.assertEqual(client.answer()[0], 200)
