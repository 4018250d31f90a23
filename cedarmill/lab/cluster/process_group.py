"""All processes of a run: replicas, supervisors and nodes; their files, starts and ends."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from cedarmill.conf.document import ConfError
from cedarmill.lab.cluster.ports import free_port
from cedarmill.lab.cluster.process_logs import ProcessLogs
from cedarmill.lab.cluster.processes import MAX_LINES, FaultableProcess
from cedarmill.lab.cluster.replica_disks import OWN_DISK, ReplicaDisk
from cedarmill.lab.cluster.settings_files import (
    ClusterAccess,
    UnitSettings,
    node_settings,
    replica_settings,
    supervisor_settings,
)
from cedarmill.lab.cluster.units import UnitFiles
from cedarmill.lab.listener import LOOPBACK
from cedarmill.lab.processes import ADMIN_SERVES, SERVES, ProcessOptions, environment, trailing_port

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

START_S = 30.0  # for a process to start, on a machine that starts thirty at once
END_S = 25.0  # for a process to end after SIGTERM
DISK_FAULT_US = 1_000_000  # of a disk whose fault has no duration, till its replica is started anew
REPLICA_SERVES = '"replica-serves"'  # events of JSON logs
SUPERVISOR_SERVES = '"supervisor-serves"'
SUPERVISOR_READY = '"supervisor-ready"'


class ProcessGroup:
    """All real processes of one run."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self.by_name: dict[str, FaultableProcess] = {}
        self.client_ports: dict[str, int] = {}  # of nodes that serve
        self.admin_ports: dict[str, int] = {}  # of nodes
        self.unit_ports: dict[str, int] = {}  # clients' ports of nodes under supervisors
        self.entry_zones: dict[int, str] = {}  # by clients' port: the zone to which calls come there
        self.logs = ProcessLogs(run.history)
        self._replica_ports = {f"keeper-{n}": free_port() for n in range(run.scenario.layout.replicas)}
        self._starting: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False

    @property
    def leader(self) -> str:
        """The replica that leads; empty where none is known."""
        return self.logs.leader

    @property
    def replica_addresses(self) -> list[str]:
        """Of all replicas, for operators."""
        return [f"{LOOPBACK}:{port}" for port in self._replica_ports.values()]

    def disk(self, replica: str) -> ReplicaDisk:
        """Of a replica."""
        return ReplicaDisk(self.run.folder / replica)

    def _unit_files(self, node: str) -> UnitFiles:
        return UnitFiles(self.run.folder / node.replace("node", "steward"), node)

    def unit_pids(self, node: str) -> list[int]:
        """Of the processes of a node that its supervisor has started."""
        return self._unit_files(node).pids()

    def admin_port(self, node: str) -> int:
        """Of the admin API of a node's current process; 0 where it is not known."""
        return self.admin_ports.get(node) or self._unit_files(node).admin_port()

    # First starts.

    async def start_replicas(self) -> None:
        """Format their disks and start them; raises ConfError or OSError."""
        await asyncio.gather(*map(self._start_replica, self._replica_ports))

    async def _start_replica(self, name: str) -> None:
        disk = self.disk(name)
        disk.folder.mkdir(parents=True, exist_ok=True)
        access = await self._access(name, self._replica_ports[name])
        disk.settings.write_text(replica_settings(name, access, disk.data, self.run.scenario))
        await disk.format()
        module = "cedarmill.lab.cluster.disks"
        command = [sys.executable, "-m", module, str(disk.settings), str(disk.control)]
        self._add(ProcessOptions(name, command, environment(), self._on_change, self.logs.on_line, MAX_LINES))
        await self._start(name)

    async def _access(self, name: str, port: int) -> ClusterAccess:
        """How a process reaches the replicas: by links, where those are faulty."""
        replicas = {}
        for replica, replica_port in self._replica_ports.items():
            address = f"{LOOPBACK}:{replica_port}"
            replicas[replica] = await self.run.address_from(name, replica, "keeper", address)
        return ClusterAccess(f"{LOOPBACK}:{port}", replicas)

    async def start_node(self, name: str, config: Path) -> None:
        """Start a node with its configuration document, or a supervisor with it as its unit.

        Raises ConfError or OSError.
        """
        words = []
        if self.run.scenario.layout.replicas:
            settings = config.parent / "cedarmill.xml"
            settings.write_text(node_settings(await self._access(name, 0), self.run.scenario))
            if self.run.scenario.layout.supervised:
                await self._start_supervisor(UnitSettings(name, config, settings, free_port()))
                return
            words = ["-c", str(settings)]
        env = environment(LB_CONFIG=str(config), TMPDIR=str(config.parent))
        command = [sys.executable, "-m", "cedarmill.cli", "node", *words]
        self._add(ProcessOptions(name, command, env, self._on_change, self._on_node_line, MAX_LINES))
        await self._start(name)

    async def _start_supervisor(self, unit: UnitSettings) -> None:
        self.unit_ports[unit.node] = unit.port
        name = unit.node.replace("node", "steward")
        folder = self.run.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        access = await self._access(name, free_port())
        settings = folder / "steward.xml"
        settings.write_text(supervisor_settings(name, access, folder / "data", unit))
        command = [sys.executable, "-m", "cedarmill.cli", "steward"]
        command += ["-c", str(settings), "--log-format", "json"]
        options = ProcessOptions(name, command, environment(), self._on_change, self.logs.on_line, MAX_LINES)
        process = self._add(options)
        await process.start()
        await process.wait_for_line(SUPERVISOR_READY, START_S)
        self.client_ports[unit.node] = unit.port

    def _add(self, options: ProcessOptions) -> FaultableProcess:
        process = self.by_name[options.name] = FaultableProcess(options)
        return process

    async def _start(self, name: str) -> None:
        """Start a process, and learn where it serves; raises ConfError or OSError."""
        process = self.by_name[name]
        since = len(process.lines)
        await process.start()
        if name.startswith("node"):
            line = await process.wait_for_line(SERVES, START_S, since)
            port = self.client_ports[name] = trailing_port(line)
            self.entry_zones[port] = self.run.zone_of(name)
            line = await process.wait_for_line(ADMIN_SERVES, START_S, since)
            self.admin_ports[name] = trailing_port(line)
        elif name.startswith("keeper"):
            await process.wait_for_line(REPLICA_SERVES, START_S, since)
        elif name.startswith("steward"):
            await process.wait_for_line(SUPERVISOR_SERVES, START_S, since)

    def _on_change(self, name: str, change: str, note: str) -> None:
        self.run.history.tell(name, change, name, note=note)
        if change == "ended":
            self.client_ports.pop(name, None)

    def _on_node_line(self, name: str, line: str) -> None:
        incarnation = f"{name}/{self.by_name[name].starts}"
        self.logs.on_node_line(incarnation, self.run.zone_of(name), line)

    # Further starts.

    async def start_again(self, name: str, disk: str = OWN_DISK) -> None:
        """Start a process that has ended, with the disk that is asked for."""
        if self.by_name[name].alive or name in self._starting:
            return
        self._starting.add(name)
        try:
            if name.startswith("keeper"):
                self.disk(name).heal()
                self.disk(name).put_in(disk)
            await self._start(name)
        except ConfError:  # one that does not start, or is killed meanwhile, says so in its log
            pass
        finally:
            self._starting.discard(name)

    async def start_all_again(self) -> None:
        """Start the replicas and supervisors that have ended."""
        ours = [name for name in self.by_name if not name.startswith("node")]
        await asyncio.gather(*map(self.start_again, ours))

    def begin_disk_fault(self, name: str, fault: str, duration: int) -> None:
        """A fault of a replica's disk (us; 0: a second); the replica is started anew when it is over."""
        if fault == "flip":
            self.by_name[name].kill()
        self.disk(name).begin_fault(fault)
        loop = asyncio.get_running_loop()
        loop.call_later((duration or DISK_FAULT_US) / 1e6, self._end_disk_fault, name)

    def _end_disk_fault(self, name: str) -> None:
        self.disk(name).heal()
        if not self.by_name[name].alive and not self._ending:
            task = asyncio.ensure_future(self.start_again(name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    # The end.

    def end_starts(self) -> None:
        """Nothing is started any longer."""
        self._ending = True
        for task in list(self._tasks):
            task.cancel()

    async def stop(self) -> None:
        """End all processes; their logs go into the run's folder."""
        units = [pid for node in self.unit_ports for pid in self.unit_pids(node)]
        await asyncio.gather(*(process.stop(END_S) for process in self.by_name.values()))
        for pid in units:  # they outlive their supervisors; each was started by one of ours
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        for process in self.by_name.values():
            (self.run.folder / f"{process.name}.log").write_text("\n".join(process.lines) + "\n")
