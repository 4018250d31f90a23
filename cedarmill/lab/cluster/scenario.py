"""A scenario file of many processes to plain values; those that the package ships go by their name."""

from dataclasses import dataclass, field
from pathlib import Path

from cedarmill.conf.cluster import read_budget, read_limit
from cedarmill.conf.document import ConfError, load_document, parse_duration
from cedarmill.lab import scenario as single
from cedarmill.lab.history import ClassRules
from cedarmill.lab.load import Habits
from cedarmill.lab.scenario import Element, request_classes
from cedarmill.values import LimitOptions

SHIPPED = Path(__file__).parent / "scenarios"


@dataclass(frozen=True, slots=True)
class ClusterLayout:
    """Which processes and executors there are."""

    nodes: int
    replicas: int
    executors: int
    zones: int
    supervised: bool
    cores: int
    slots: int
    queue: int
    slowest: float
    fastest: float
    regions: int = 0  # into which the zones are laid; 0: nothing is planned
    sheds: bool = False  # whether the cluster agrees on a level of admission
    news: bool = False  # whether nodes tell each other what they hear of executors

    @property
    def zone_names(self) -> list[str]:
        """All zones."""
        return [f"zone-{number}" for number in range(self.zones)]

    def zones_by_region(self) -> dict[str, list[str]]:
        """Each region about as large as the others; empty where nothing is planned."""
        regions: dict[str, list[str]] = {}
        for number, name in enumerate(self.zone_names if self.regions else []):
            regions.setdefault(f"region-{number * self.regions // self.zones}", []).append(name)
        return regions


@dataclass(frozen=True, slots=True)
class ScenarioEvent:
    """One entry of the timeline: an element's name, when, how long (0: for good), its other attributes."""

    kind: str
    at: int
    duration: int
    attributes: dict[str, str] = field(default_factory=dict)
    line: int = 0


@dataclass(frozen=True, slots=True)
class ClusterScenario:
    """All of a scenario but its seed."""

    name: str
    about: str
    length: int
    layout: ClusterLayout
    rate: float
    habits: tuple[Habits, ...]
    rules: dict[str, ClassRules]
    priority_weights: dict[str, float]
    limits: tuple[LimitOptions, ...]
    timeline: tuple[ScenarioEvent, ...]
    residency: dict[str, str] = field(default_factory=dict)  # classes that may not leave their zone or region
    budgets: tuple[tuple[str, int, int], ...] = ()  # name, rate (thousandths/s), nodes with a floor


def shipped_scenarios() -> list[str]:
    """The names of the scenarios that the package ships."""
    return single.shipped_scenarios(SHIPPED)


def read_scenario(name: str) -> ClusterScenario:
    """A shipped scenario by its name, or a file by its path; raises ConfError or OSError."""
    path = single.locate(name, SHIPPED)
    root = load_document(path, "fleet-scenario")
    return ClusterScenario(
        path.stem,
        root.get("about"),
        parse_duration(root.get("length")),
        _layout(root.find("fleet")),
        float(root.find("load").get("rate")),
        *request_classes(root),
        tuple(read_limit(path, element) for element in root.findall("limit")),
        tuple(_event(path, element) for element in root if element.tag in _NEEDED_ATTRIBUTES),
        {element.get("class"): element.get("within") for element in root.findall("stay")},
        tuple(map(read_budget, root.findall("budget"))),
    )


def _layout(element: Element) -> ClusterLayout:
    nodes, replicas, executors, zones = (
        int(element.get(name)) for name in ("nodes", "keepers", "executors", "zones")
    )
    cores, slots, queue = (int(element.get(name)) for name in ("cores", "slots", "queue"))
    return ClusterLayout(
        nodes,
        replicas,
        executors,
        zones,
        element.get("stewards") == "on",
        cores,
        slots,
        queue,
        float(element.get("slowest")),
        float(element.get("fastest")),
        int(element.get("regions", "0")),
        element.get("sheds") == "on",
        element.get("news") == "on",
    )


# what an entry needs besides what the schema asks for, by its element: where its fault or act is this, these
_NEEDED_ATTRIBUTES: dict[str, dict[str, tuple[str, ...]]] = {
    "process": {"slow": ("size",)},
    "link": {"drop": ("share",), "delay": ("delay",), "trickle": ("bytes-per-s",)},
    "partition": {},
    "disk": {},
    "executor": {},
    "chance": {},
    "operator": {"restart": ("target",), "release": ("version",), "leave": ("target",), "stay": ("target",)},
}


def _event(path: Path, element: Element) -> ScenarioEvent:
    attributes = {name: value for name, value in element.attrib.items() if name not in ("at", "for")}
    action = attributes.get("fault", attributes.get("act", ""))
    for needed in _NEEDED_ATTRIBUTES[element.tag].get(action, ()):
        if needed not in attributes:
            raise ConfError(f"{path}:{element.sourceline}: <{element.tag}> {needed}: needed here")
    duration = parse_duration(element.get("for", "0s"))
    return ScenarioEvent(
        element.tag, parse_duration(element.get("at")), duration, attributes, element.sourceline
    )
