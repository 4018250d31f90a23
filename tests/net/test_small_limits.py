"""Less room: halved limits, a crowd of idle and half-written connections, and a job on a new connection."""

import socket

from tests.support.node_case import WAIT, NodeCase


class LessRoom(NodeCase):
    sockets = 64  # half of 128, the least that the configuration takes
    descriptor_limit = 64
    memory_mb = 32  # the least a node is given

    def test_a_job_on_a_new_connection_is_served_behind_a_crowd(self):
        crowd = [socket.create_connection(("127.0.0.1", self.port), timeout=WAIT) for _ in range(300)]
        for number, sock in enumerate(crowd):
            self.addCleanup(sock.close)
            if number % 2:
                sock.sendall(b"POST /api HTTP/1.1\r\nX-Call-Class: pi")  # half-written, and never more
        self.wait_log("client sessions at their bound")
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.assertLessEqual(self.descriptors(), self.descriptor_limit)
