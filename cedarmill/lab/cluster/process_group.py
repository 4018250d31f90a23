"""Keepers, stewards and nodes with a fleet, as processes of a run: their files, their starts, what their
logs tell.
"""

import asyncio
import contextlib
import json
import shutil
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from xml.sax.saxutils import quoteattr

from cedarmill.lab.cluster.disks import flip
from cedarmill.lab.cluster.ports import free_port
from cedarmill.lab.cluster.processes import Process, environment

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

CLUSTER = "lab"
FIRST_VERSION = "v1"
START_S = 30.0
DOOR_WORDS = "operators' door on "
BAD_VERSIONS = ("late", "exiting", "failing")
COLD_S = 2  # that executors of the laboratory are cold


class ProcessGroup:
    """All of a run that agree, and the nodes that follow."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self.ports = {f"keeper-{n}": free_port() for n in range(run.scenario.layout.replicas)}
        self.leading = ""
        self.acting: dict[str, int] = {}  # by unit: the epoch of the order that is being acted on
        self.listens: dict[str, int] = {}  # clients' ports of nodes under stewards
        self.told = {
            "replica-role": self._role,
            "supervisor-acts": self._acts,
            "supervisor-starts": self._starts,
            "supervisor-ready": self._ready,
            "supervisor-process-ended": self._ended,
        }

    @property
    def addresses(self) -> list[str]:
        """Of the keepers, for operators."""
        return [f"127.0.0.1:{port}" for port in self.ports.values()]

    async def address(self, source: str, keeper: str) -> str:
        """Of a keeper as another process reaches it: by a link, where links are faulty."""
        plain = f"127.0.0.1:{self.ports[keeper]}"
        if self.run.linked & {"keeper", "*"}:
            return await self.run.links.address(source, keeper, plain)
        return plain

    # Keepers.

    async def start_keepers(self) -> None:
        """Format their disks and start them; raises ConfError."""
        await asyncio.gather(*(self._start_keeper(name) for name in self.ports))

    async def _start_keeper(self, name: str) -> None:
        folder = self.run.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        peers = [
            f'<peer name="{other}" address="{await self.address(name, other)}"/>' for other in self.ports
        ]
        limits = [self._limit(limit) for limit in self.run.scenario.limits]
        conf = folder / "keeper.xml"
        conf.write_text(
            f'<keeper version="1" cluster="{CLUSTER}" name="{name}" listen="127.0.0.1:{self.ports[name]}" '
            f'data={quoteattr(str(folder / "data"))}>\n' + "\n".join(peers + limits + self._budgets())
            + self._zones() + f'\n<cold lasts="{COLD_S}s" share="30%"/>\n</keeper>\n')  # fmt: skip
        await self._format(name)
        command = [sys.executable, "-m", "cedarmill.lab.cluster.disks", str(conf), str(folder / "fault")]
        self.run.processes[name] = Process(name, command, environment(), self.run.process_told, self.heard)
        await self.run.start(name)

    @staticmethod
    def _limit(limit) -> str:
        words = {"most": limit.most, "share": limit.share, "capacity-left": limit.capacity_left}
        text = {k: str(v) if k == "most" else f"{v / 10:g}%" for k, v in words.items() if v >= 0}
        return (
            f'<limit kind="{limit.kind}" per="{limit.per}" '
            + " ".join(f'{k}="{v}"' for k, v in text.items())
            + "/>"
        )

    def _zones(self) -> str:
        """The `<zones>` element, where zones are planned."""
        laid = self.run.scenario.layout.laid()
        regions = []
        for region, zones in laid.items():
            inner = "".join(f'<zone name="{zone}"/>' for zone in zones)
            regions.append(f'<region name="{region}">{inner}</region>')
        sheds = ' sheds="on"' if self.run.scenario.layout.sheds else ""
        sheds += ' news="on"' if self.run.scenario.layout.news else ""
        return f"\n<zones{sheds}>{''.join(regions)}</zones>" if regions else ""

    def _budgets(self) -> list[str]:
        return [f'<budget name="{name}" per-second="{rate / 1000:g}" nodes="{nodes}"/>'
                for name, rate, nodes in self.run.scenario.budgets]  # fmt: skip

    async def _format(self, name: str) -> None:
        conf = str(self.run.folder / name / "keeper.xml")
        command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", conf, "--init"]
        child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
        if await child.wait():
            raise OSError(f"{name}: its disk could not be formatted")

    def disk(self, name: str, disk: str) -> None:
        """Before a start: an empty disk, or an old copy of it."""
        data, old = self.run.folder / name / "data", self.run.folder / name / "old"
        if disk != "own":
            shutil.rmtree(data, ignore_errors=True)
        if disk == "old" and old.exists():
            shutil.copytree(old, data)

    def copy_disk(self, name: str) -> None:
        """A copy that may come back later as an old disk."""
        data, old = self.run.folder / name / "data", self.run.folder / name / "old"
        if data.exists() and not old.exists():
            shutil.copytree(data, old)

    def fault(self, name: str, fault: str) -> None:
        """What befalls a keeper's next write or sync; a flipped bit waits for its next start."""
        control = self.run.folder / name / "fault"
        if fault == "flip":
            self.run.processes[name].kill()
            with contextlib.suppress(OSError):
                flip(self.run.folder / name / "data" / "log", 3)
        else:
            control.write_text(fault)

    def well(self, name: str) -> None:
        """The disk is well again."""
        (self.run.folder / name / "fault").unlink(missing_ok=True)

    # Nodes and stewards.

    async def node_settings(self, node: str, folder: Path) -> Path:
        """A node's cedarmill.xml with its part in the fleet."""
        path = folder / "cedarmill.xml"
        path.write_text(f'<cedarmill version="1">{await self._part(node)}</cedarmill>')
        return path

    async def _part(self, name: str) -> str:
        keepers = [f'<keeper name="{one}" address="{await self.address(name, one)}"/>' for one in self.ports]
        listen = f"127.0.0.1:{free_port()}" if name.startswith("steward") else "127.0.0.1:0"
        if name.startswith("node") and self.run.scenario.layout.regions:
            stays = self.run.scenario.stays.items()
            keepers += [f'<stay class="{job_class}" within="{within}"/>' for job_class, within in stays]
        return f'<fleet cluster="{CLUSTER}" listen="{listen}">{"".join(keepers)}</fleet>'

    async def start_steward(self, number: int, node: str, config: Path, settings: Path) -> None:
        """A steward with one node as its unit; raises ConfError."""
        name = f"steward-{number}"
        folder = self.run.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        good = f"{sys.executable} -m cedarmill.cli node -c {settings}"
        runs = {FIRST_VERSION: good, "v2": good, "v3": good}
        runs |= {
            bad: f"{sys.executable} -m cedarmill.lab.cluster.faulty_releases {bad} {settings}"
            for bad in BAD_VERSIONS
        }
        lines = [
            f'<run version="{version}" command={quoteattr(command)}/>' for version, command in runs.items()
        ]
        env = {"LB_CONFIG": str(config), "TMPDIR": str(config.parent)}
        words = [f'<env name="{key}" value={quoteattr(value)}/>' for key, value in env.items()]
        self.listens[node] = free_port()
        conf = folder / "steward.xml"
        conf.write_text(
            f'<steward version="1" name="{name}" data={quoteattr(str(folder / "data"))}>'
            + await self._part(name)
            + f'<unit name="{node}" version="{FIRST_VERSION}" listen="127.0.0.1:{self.listens[node]}">'
            + "".join(words + lines)
            + "</unit></steward>"
        )
        command = [sys.executable, "-m", "cedarmill.cli", "steward", "-c", str(conf), "--log-format", "json"]
        process = Process(name, command, environment(), self.run.process_told, self.heard)
        self.run.processes[name] = process
        await process.start()
        await process.said('"supervisor-ready"', START_S)
        self.run.ports[node] = self.listens[node]

    def unit(self, node: str) -> dict:
        """What a node's steward has kept of it; empty where nothing can be read."""
        path = self.run.folder / node.replace("node", "steward") / "data" / "units.json"
        try:
            return json.loads(path.read_text()).get(node, {})
        except (OSError, ValueError):
            return {}

    def pids(self, node: str) -> list[int]:
        """Of the processes of a node that its steward has started."""
        return [life["pid"] for life in self.unit(node).get("lives", {}).values() if life["pid"]]

    def door(self, node: str) -> int:
        """The port of the door of a node's current process; 0 where it is not known."""
        if node in self.run.doors:
            return self.run.doors[node]
        life = self.unit(node).get("current", "")
        path = self.run.folder / node.replace("node", "steward") / "data" / f"{node}-{life}.log"
        try:
            _, found, rest = path.read_text().partition(DOOR_WORDS)
        except OSError:
            return 0
        return int(rest.split()[2]) if found else 0

    # What logs tell.

    def followed(self, name: str, line: str) -> None:
        """A line of a node's log: which plan of traffic it follows now."""
        _, found, rest = line.partition("fleet: plan of epoch ")
        if found:
            epoch, _, what = rest.partition(": ")
            life = f"{name}/{self.run.processes[name].starts}"
            self.run.history.tell(life, "follows", self.run.zone_of(name), epoch=int(epoch), note=what)

    def heard(self, name: str, line: str) -> None:
        """A line of a keeper's or a steward's log."""
        if not line.startswith("{"):
            return
        try:
            event = json.loads(line)
        except ValueError:
            return
        told = self.told.get(event.get("event"))
        if told is not None:
            told(name, event)

    def _role(self, name: str, event: dict) -> None:
        if event["part"] == "leader":
            self.leading = name
            self.run.history.tell(name, "leads", epoch=event["term"])

    def _acts(self, name: str, event: dict) -> None:
        self.acting[event["unit"]] = event["epoch"]
        self.run.history.tell(name, "acts", event["unit"], epoch=event["epoch"], number=event["left"])

    def _starts(self, name: str, event: dict) -> None:
        epoch = self.acting.pop(event["unit"], 0)
        if epoch:
            self.run.history.tell(name, "taken", event["unit"], epoch=epoch, note=event["version"])
        self.run.history.tell(name, "starts", event["unit"], note=event["version"])

    def _ready(self, name: str, event: dict) -> None:
        self.run.history.tell(name, "back", event["unit"], note=event["version"])

    def _ended(self, name: str, event: dict) -> None:
        self.run.history.tell(name, "unit-ended", event["unit"], note=str(event["code"]))
