"""A node with minimal resource limits serves new clients despite many idle connections."""

import socket

from tests.support.node_case import WAIT, NodeCase


class MinimalLimits(NodeCase):
    sockets = 64  # the minimum that the configuration accepts
    descriptor_limit = 64
    memory_mb = 32  # the minimum that the configuration accepts

    def test_new_client_is_served_despite_many_idle_connections(self):
        idle_sockets = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(300)]
        for number, sock in enumerate(idle_sockets):
            self.addCleanup(sock.close)
            if number % 2:
                sock.sendall(b"POST /api HTTP/1.1\r\nX-Call-Class: pi")  # an incomplete request
        self.wait_log("client sessions at their bound")
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLessEqual(self.descriptors(), self.descriptor_limit)
