"""Test cases with real replica processes on loopback, and a stand-in for a member node."""

import json
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from cedarmill.cluster.messages import ExecutorObservation, Heartbeat, HeartbeatReply, Orders, ReadRequest
from cedarmill.lab.cluster.ports import free_port
from cedarmill.net.cluster.operator import NoReplicaError, OperatorClient
from tests.support.node_case import ROOT, WAIT

LONG = 3 * WAIT  # enough for elections and leases while many tests run on the machine
DEFAULT_LIMITS = (
    '<limit kind="executor" per="fleet" most="2"/>',
    '<limit kind="executor" per="zone" most="1"/>',
    '<limit kind="node" per="fleet" most="1"/>',
)


class ReplicaCase(unittest.TestCase):
    """Starts replicas with one data folder each; `has_faulty_disks` starts them on disks that can fail."""

    replicas = 3
    limits = DEFAULT_LIMITS
    has_faulty_disks = False

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.ports = {f"k{n}": free_port() for n in range(self.replicas)}
        self.running: dict[str, subprocess.Popen] = {}
        for name in self.ports:
            self.write(name)
            self.assertEqual(self.format_disk(name).returncode, 0)
        for name in self.ports:
            self.start_replica(name)
        self.operator = OperatorClient("main", [f"127.0.0.1:{port}" for port in self.ports.values()], "test")
        self.addCleanup(self.end_replicas)

    def write(self, name: str, cluster: str = "main") -> Path:
        """Write the settings file of a replica, and return its path."""
        path = self.folder / f"{name}.xml"
        peers = "".join(f'<peer name="{n}" address="127.0.0.1:{p}"/>' for n, p in self.ports.items())
        path.write_text(f'<keeper version="1" cluster="{cluster}" name="{name}" data="{self.folder / name}" '
                        f'listen="127.0.0.1:{self.ports[name]}">{peers}{"".join(self.limits)}'
                        '<cold lasts="0s" share="30%"/></keeper>')  # fmt: skip
        return path

    def format_disk(self, name: str, *arguments: str) -> subprocess.CompletedProcess:
        return cli("keeper", "-c", str(self.folder / f"{name}.xml"), "--init", *arguments)

    def start_replica(self, name: str) -> None:
        arguments = ["cedarmill.cli", "keeper", "-c", str(self.folder / f"{name}.xml")]
        if self.has_faulty_disks:
            arguments = [
                "cedarmill.lab.cluster.disks",
                str(self.folder / f"{name}.xml"),
                str(self.fault_path(name)),
            ]
        with open(self.folder / f"{name}.log", "a") as log:
            self.running[name] = subprocess.Popen([sys.executable, "-m", *arguments], cwd=ROOT, stderr=log)

    def fault_path(self, name: str) -> Path:
        """Return the path of the file that selects the fault of a replica's disk."""
        return self.folder / f"{name}.fault"

    def replica_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def kill(self, *names: str) -> None:
        for name in names:
            self.running[name].kill()
            self.running[name].wait(WAIT)

    def end_replicas(self) -> None:
        self.kill(*self.running)
        for name in self.running:
            self.assertNotIn("Traceback", self.replica_log(name))

    def delete_data(self, name: str) -> None:
        shutil.rmtree(self.folder / name)

    def look(self, view: str, *names: str):
        """Return a view of the replicated state."""
        return json.loads(self.operator.send(ReadRequest(view, names=list(names)), LONG).body)

    def leader(self) -> str:
        return self.look("status")["leader"]

    def wait_for(self, condition, wait: float = LONG):
        """Wait until a condition returns a true value, and return that value."""
        deadline = time.monotonic() + wait
        while True:
            try:
                if result := condition():
                    return result
            except (NoReplicaError, KeyError, IndexError):
                pass
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            time.sleep(0.05)

    def run_cluster_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run `cedarmill fleet` with the addresses of all replicas."""
        replicas = ",".join(f"127.0.0.1:{port}" for port in self.ports.values())
        return cli("fleet", "--keepers", replicas, "--cluster", "main", *arguments)


class Member:
    """A node that sends heartbeats with the executors that it observes."""

    def __init__(self, test_case: ReplicaCase, name: str, executors: int = 6) -> None:
        self.test_case, self.name, self.sequence_number, self.orders = test_case, name, 0, Orders(0)
        self.term = 0
        self.observations = {
            f"b{n}": ExecutorObservation("ready", zone=f"z{n % 3}") for n in range(executors)
        }

    def send_heartbeat(self, **facts) -> HeartbeatReply:
        """Send a heartbeat, store the orders from the reply, and return the reply."""
        self.sequence_number += 1
        reply = self.test_case.operator.send(
            Heartbeat(
                "node",
                self.name,
                "1",
                self.sequence_number,
                self.orders.epoch,
                self.term,
                executors=self.observations,
                **facts,
            ),
            LONG,
        )
        self.term = reply.term
        if reply.orders is not None:
            self.orders = reply.orders
        return reply

    def join(self) -> None:
        """Send heartbeats until the node has a lease, its executors are listed, and permits are granted."""
        self.test_case.wait_for(
            lambda: (
                self.send_heartbeat().lease_us
                and len(self.test_case.look("targets")) >= len(self.observations)
                and not self.test_case.look("status")["halted"]
            )
        )

    def report_drained(self) -> None:
        """Report all excluded executors as drained."""
        self.send_heartbeat(drained=dict(self.orders.excluded_executors))


def cli(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "cedarmill.cli", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
