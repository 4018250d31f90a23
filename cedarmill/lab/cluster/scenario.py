"""A scenario file of many processes to plain values; those that the package ships go by their name."""

from dataclasses import dataclass, field
from pathlib import Path

from lxml import etree

from cedarmill.conf.cluster import budget, limit
from cedarmill.conf.document import ConfError, load, microseconds
from cedarmill.lab import scenario as lab
from cedarmill.lab.history import ClassRules
from cedarmill.lab.load import Habits
from cedarmill.lab.scenario import class_habits, class_rules
from cedarmill.values import LimitOptions

SHIPPED = Path(__file__).parent / "scenarios"


@dataclass(frozen=True, slots=True)
class ClusterLayout:
    """Who is there."""

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
    sheds: bool = False  # whether the fleet agrees on a level of admission
    news: bool = False  # whether nodes tell each other what they hear of executors

    @property
    def zone_names(self) -> list[str]:
        return [f"zone-{n}" for n in range(self.zones)]

    def laid(self) -> dict[str, list[str]]:
        """Zones by region, each region about as large as the others."""
        found: dict[str, list[str]] = {}
        for number, name in enumerate(self.zone_names if self.regions else []):
            found.setdefault(f"region-{number * self.regions // self.zones}", []).append(name)
        return found


@dataclass(frozen=True, slots=True)
class ScenarioEvent:
    """One entry of the timeline: an element's name, when, how long (0: for good), and its other words."""

    what: str
    at: int
    lasts: int
    words: dict[str, str] = field(default_factory=dict)
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
    worths: dict[str, float]
    limits: tuple[LimitOptions, ...]
    timeline: tuple[ScenarioEvent, ...]
    stays: dict[str, str] = field(default_factory=dict)  # classes that may not leave their zone or region
    budgets: tuple[tuple[str, int, int], ...] = ()  # name, rate (thousandths/s), nodes with a floor


def shipped() -> list[str]:
    """The names of the scenarios that the package ships."""
    return lab.shipped(SHIPPED)


def read(name: str) -> ClusterScenario:
    """A shipped scenario by its name, or a file by its path; raises ConfError or OSError."""
    path = lab.locate(name, SHIPPED)
    root = load(path, "fleet-scenario")
    classes = root.findall("load/class")
    timeline = tuple(_happening(path, element) for element in root if element.tag in _NEEDS)
    return ClusterScenario(
        path.stem, root.get("about"), microseconds(root.get("length")), _fleet(root.find("fleet")),
        float(root.find("load").get("rate")), tuple(map(class_habits, classes)),
        {element.get("name"): class_rules(element) for element in classes},
        {element.get("name"): float(element.get("worth")) for element in classes},
        tuple(limit(path, element) for element in root.findall("limit")), timeline,
        {element.get("class"): element.get("within") for element in root.findall("stay")},
        tuple(map(budget, root.findall("budget"))),
    )  # fmt: skip


def _fleet(element: etree._Element) -> ClusterLayout:
    numbers = [int(element.get(name)) for name in ("nodes", "keepers", "executors", "zones")]
    places = [int(element.get(name)) for name in ("cores", "slots", "queue")]
    speeds = float(element.get("slowest")), float(element.get("fastest"))
    regions = int(element.get("regions", "0"))
    return ClusterLayout(*numbers, element.get("stewards") == "on", *places, *speeds, regions,
                 element.get("sheds") == "on", element.get("news") == "on")  # fmt: skip


# what an entry needs beside the schema, by its element: (when its word is this), these words
_NEEDS = {
    "process": {"slow": ("size",)},
    "link": {"drop": ("share",), "delay": ("delay",), "trickle": ("bytes-per-s",)},
    "partition": {}, "disk": {}, "executor": {}, "chance": {},
    "operator": {"restart": ("target",), "release": ("version",), "leave": ("target",), "stay": ("target",)},
}  # fmt: skip


def _happening(path: Path, element: etree._Element) -> ScenarioEvent:
    words = {name: value for name, value in element.attrib.items() if name not in ("at", "for")}
    for needed in _NEEDS[element.tag].get(words.get("fault", words.get("act", "")), ()):
        if needed not in words:
            raise ConfError(f"{path}:{element.sourceline}: <{element.tag}> {needed}: needed here")
    lasts = microseconds(element.get("for", "0s"))
    return ScenarioEvent(element.tag, microseconds(element.get("at")), lasts, words, element.sourceline)
