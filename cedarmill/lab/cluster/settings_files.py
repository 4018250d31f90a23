"""The XML files with which replicas, supervisors and nodes of a run are started."""

import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from xml.sax.saxutils import quoteattr

from cedarmill.lab.cluster.scenario import ClusterLayout, ClusterScenario
from cedarmill.lab.listener import LOOPBACK
from cedarmill.values import LimitOptions

CLUSTER = "lab"
FIRST_VERSION = "v1"
GOOD_VERSIONS = (FIRST_VERSION, "v2", "v3")
BAD_VERSIONS = ("late", "exiting", "failing")  # of faulty_releases.py
COLD_S = 2  # that executors of the laboratory are warming up
COLD_SHARE = "30%"


@dataclass(frozen=True, slots=True)
class ClusterAccess:
    """How a member reaches the replicas: where it listens itself, and their addresses by name."""

    listen: str
    replicas: Mapping[str, str]


def replica_settings(name: str, access: ClusterAccess, data: Path, scenario: ClusterScenario) -> str:
    """The file of a replica."""
    parts = [
        *(f'<peer name="{peer}" address="{address}"/>' for peer, address in access.replicas.items()),
        *map(_limit, scenario.limits),
        *(
            f'<budget name="{budget}" per-second="{rate / 1000:g}" nodes="{nodes}"/>'
            for budget, rate, nodes in scenario.budgets
        ),
        _zones(scenario.layout),
        f'<cold lasts="{COLD_S}s" share="{COLD_SHARE}"/>',
    ]
    return (
        f'<keeper version="1" cluster="{CLUSTER}" name="{name}" listen="{access.listen}" '
        f"data={quoteattr(str(data))}>\n" + "\n".join(parts) + "\n</keeper>\n"
    )


def _limit(limit: LimitOptions) -> str:
    values = {"most": f"{limit.most}"} if limit.most >= 0 else {}
    shares = {"share": limit.share, "capacity-left": limit.capacity_left}  # thousandths
    values |= {name: f"{value / 10:g}%" for name, value in shares.items() if value >= 0}
    attributes = " ".join(f'{name}="{value}"' for name, value in values.items())
    return f'<limit kind="{limit.kind}" per="{limit.per}" {attributes}/>'


def _zones(layout: ClusterLayout) -> str:
    """The `<zones>` element, where zones are planned."""
    regions = []
    for region, zones in layout.zones_by_region().items():
        inner = "".join(f'<zone name="{zone}"/>' for zone in zones)
        regions.append(f'<region name="{region}">{inner}</region>')
    switches = ' sheds="on"' if layout.sheds else ""
    switches += ' news="on"' if layout.news else ""
    return f"<zones{switches}>{''.join(regions)}</zones>" if regions else ""


def node_settings(access: ClusterAccess, scenario: ClusterScenario) -> str:
    """A node's cedarmill.xml with its membership of the cluster."""
    residency = scenario.residency if scenario.layout.regions else {}
    stays = [f'<stay class="{job_class}" within="{within}"/>' for job_class, within in residency.items()]
    return f'<cedarmill version="1">{_membership(access, *stays)}</cedarmill>'


def _membership(access: ClusterAccess, *more: str) -> str:
    """The `<fleet>` element."""
    replicas = [f'<keeper name="{name}" address="{address}"/>' for name, address in access.replicas.items()]
    return f'<fleet cluster="{CLUSTER}" listen="{access.listen}">{"".join([*replicas, *more])}</fleet>'


@dataclass(frozen=True, slots=True)
class UnitSettings:
    """A node as the unit of a supervisor."""

    node: str
    config: Path  # the node's configuration document
    settings: Path  # its cedarmill.xml
    port: int  # at which it serves

    def element(self) -> str:
        """The `<unit>` element."""
        good = f"{sys.executable} -m cedarmill.cli node -c {self.settings}"
        bad = f"{sys.executable} -m cedarmill.lab.cluster.faulty_releases"
        commands = dict.fromkeys(GOOD_VERSIONS, good)
        commands |= {version: f"{bad} {version} {self.settings}" for version in BAD_VERSIONS}
        environment = {"LB_CONFIG": str(self.config), "TMPDIR": str(self.config.parent)}
        inner = [f'<env name="{name}" value={quoteattr(value)}/>' for name, value in environment.items()]
        inner += [f'<run version="{name}" command={quoteattr(line)}/>' for name, line in commands.items()]
        return (
            f'<unit name="{self.node}" version="{FIRST_VERSION}" listen="{LOOPBACK}:{self.port}">'
            f"{''.join(inner)}</unit>"
        )


def supervisor_settings(name: str, access: ClusterAccess, data: Path, unit: UnitSettings) -> str:
    """The file of a supervisor with one node as its unit."""
    return (
        f'<steward version="1" name="{name}" data={quoteattr(str(data))}>'
        f"{_membership(access)}{unit.element()}</steward>"
    )
