"""Tests of the fault layer: a node under it serves and meets only the armed faults."""

from tests.support.faulty_node_case import FaultyNodeCase
from tests.support.system_call_faults import Fault


class FaultLayerOfNode(FaultyNodeCase):
    def test_a_node_without_faults_serves(self):
        self.assertEqual(self.served_by(), 0)
        self.assertEqual(self.plan.hits(), 0)

    def test_an_accept_without_descriptors_is_retried(self):
        self.plan.arm(Fault("accept", "EMFILE"))
        self.assertEqual(self.served_by(), 0)
        self.assertEqual(self.plan.hits("accept"), 1)
        self.wait_log("accept failed")

    def test_a_connect_to_a_matching_address_fails(self):
        self.plan.arm(Fault("connect", "ENETUNREACH", match=self.executors[0].address, times=0))
        client = self.client().ask()
        self.assertIn(client.answer()[0], (502, 503))
        self.assertGreater(self.plan.hits("connect"), 0)
