"""Starts real replicas on loopback for tests, and speaks with them as operators and members do."""

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

LONG = 3 * WAIT  # for elections and leases on a machine that runs many tests at once
LIMITS = ('<limit kind="executor" per="fleet" most="2"/>', '<limit kind="executor" per="zone" most="1"/>',
          '<limit kind="node" per="fleet" most="1"/>')  # fmt: skip


class ReplicaCase(unittest.TestCase):
    """Replicas, each with a folder of its own; `faulty` runs them on disks that may fail."""

    replicas = 3
    limits = LIMITS
    faulty = False

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.ports = {f"k{n}": free_port() for n in range(self.replicas)}
        self.running: dict[str, subprocess.Popen] = {}
        for name in self.ports:
            self.write(name)
            self.assertEqual(self.init(name).returncode, 0)
        for name in self.ports:
            self.start_replica(name)
        self.operator = OperatorClient("main", [f"127.0.0.1:{port}" for port in self.ports.values()], "test")
        self.addCleanup(self.end_replicas)

    def write(self, name: str, cluster: str = "main") -> Path:
        """A replica's file."""
        path = self.folder / f"{name}.xml"
        peers = "".join(f'<peer name="{n}" address="127.0.0.1:{p}"/>' for n, p in self.ports.items())
        path.write_text(f'<keeper version="1" cluster="{cluster}" name="{name}" data="{self.folder / name}" '
                        f'listen="127.0.0.1:{self.ports[name]}">{peers}{"".join(self.limits)}'
                        '<cold lasts="0s" share="30%"/></keeper>')  # fmt: skip
        return path

    def init(self, name: str, *more: str) -> subprocess.CompletedProcess:
        return cli("keeper", "-c", str(self.folder / f"{name}.xml"), "--init", *more)

    def start_replica(self, name: str) -> None:
        words = ["cedarmill.cli", "keeper", "-c", str(self.folder / f"{name}.xml")]
        if self.faulty:
            words = ["cedarmill.lab.cluster.disks", str(self.folder / f"{name}.xml"), str(self.fault(name))]
        with open(self.folder / f"{name}.log", "a") as log:
            self.running[name] = subprocess.Popen([sys.executable, "-m", *words], cwd=ROOT, stderr=log)

    def fault(self, name: str) -> Path:
        """The file that says what befalls a replica's disk."""
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

    def wipe(self, name: str) -> None:
        shutil.rmtree(self.folder / name)

    def look(self, what: str, *names: str):
        """A part of what is agreed."""
        return json.loads(self.operator.ask(ReadRequest(what, names=list(names)), LONG).body)

    def leader(self) -> str:
        return self.look("status")["leader"]

    def wait_for(self, condition, wait: float = LONG):
        """What a condition comes to, when it comes to something."""
        until = time.monotonic() + wait
        while True:
            try:
                if found := condition():
                    return found
            except (NoReplicaError, KeyError, IndexError):
                pass
            self.assertLess(time.monotonic(), until, "the condition never came")
            time.sleep(0.05)

    def fleet(self, *words: str) -> subprocess.CompletedProcess:
        """The command, as operators use it."""
        replicas = ",".join(f"127.0.0.1:{port}" for port in self.ports.values())
        return cli("fleet", "--keepers", replicas, "--cluster", "main", *words)


class Member:
    """A node as the replicas see it, beat by beat, with executors that it sees."""

    def __init__(self, case: ReplicaCase, name: str, executors: int = 6) -> None:
        self.case, self.name, self.seq, self.orders = case, name, 0, Orders(0)
        self.term = 0
        self.seen = {f"b{n}": ExecutorObservation("ready", zone=f"z{n % 3}") for n in range(executors)}

    def beat(self, **facts) -> HeartbeatReply:
        """One beat; its orders are followed."""
        self.seq += 1
        answer = self.case.operator.ask(
            Heartbeat(
                "node", self.name, "1", self.seq, self.orders.epoch, self.term, executors=self.seen, **facts
            ),
            LONG,
        )
        self.term = answer.term
        if answer.orders is not None:
            self.orders = answer.orders
        return answer

    def join(self) -> None:
        """Beat till the session stands, the executors are known, and the leader has heard enough to grant."""
        self.case.wait_for(lambda: self.beat().lease_us and len(self.case.look("targets")) >= len(self.seen)
                           and not self.case.look("status")["halted"])  # fmt: skip

    def clear(self) -> None:
        """Say that it is done with all that it knows to be out."""
        self.beat(drained=dict(self.orders.excluded_executors))


def cli(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "cedarmill.cli", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
