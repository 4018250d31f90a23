"""A scenario file to plain values; those that the package ships go by their name."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from lxml import etree  # type: ignore[import-untyped]

from cedarmill.conf.document import ConfError, load_document, parse_duration, parse_percent
from cedarmill.lab.history import ClassRules
from cedarmill.lab.load import Habits

SHIPPED = Path(__file__).parent / "scenarios"
PARTS_TOLERANCE = 1e-9  # by which the parts of the classes may differ from 1

Element = Any  # of lxml, which brings no types


@dataclass(frozen=True, slots=True)
class ExecutorPool:
    """The executors: their speeds are drawn evenly between two bounds (1: the yardstick)."""

    executors: int
    zones: int
    cores: int
    slots: int
    queue: int
    slowest: float
    fastest: float


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on the timeline; `every` 0: once. `executors` is a share of the pool, `size` its strength."""

    kind: str
    at: int
    lasts: int
    every: int
    executors: float
    node: int
    size: float


@dataclass(frozen=True, slots=True)
class Side:
    """One of the things compared: our settings for the nodes, and whether executors honour cancellation."""

    name: str
    honours: bool
    settings: bytes  # a cedarmill.xml, or empty


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of a scenario but its seed."""

    name: str
    about: str
    length: int
    pool: ExecutorPool
    nodes: int
    rate: float
    trace: tuple[int, ...]  # when calls are due, where the file gives them; else they come by the rate
    leave_by: str
    habits: tuple[Habits, ...]
    rules: dict[str, ClassRules]
    priority_weights: dict[str, float]
    faults: tuple[Fault, ...]
    sides: tuple[Side, ...]


class RequestClasses(NamedTuple):
    """What a scenario says of its classes of requests, by name."""

    habits: tuple[Habits, ...]
    rules: dict[str, ClassRules]
    priority_weights: dict[str, float]


def shipped_scenarios(folder: Path = SHIPPED) -> list[str]:
    """The names of the scenarios that the package ships."""
    return sorted(path.stem for path in folder.glob("*.xml"))


def locate(name: str, folder: Path = SHIPPED) -> Path:
    """A shipped scenario by its name, or a file by its path; raises ConfError."""
    path = folder / f"{name}.xml"
    if name not in shipped_scenarios(folder):
        path = Path(name)
        if not path.exists():
            raise ConfError(f"{name}: neither a file nor one of {', '.join(shipped_scenarios(folder))}")
    return path


def read_scenario(name: str) -> Scenario:
    """A shipped scenario by its name, or a file by its path; raises ConfError or OSError."""
    path = locate(name)
    root = load_document(path, "scenario")
    _check_parts(path, root)
    chain = root.find("chain")
    nodes = int(chain.get("nodes")) if chain is not None else 1
    clients = root.find("load")
    return Scenario(
        path.stem,
        root.get("about"),
        parse_duration(root.get("length")),
        _pool(root.find("fleet")),
        nodes,
        float(clients.get("rate")),
        _trace(path, clients),
        clients.get("leave-by"),
        *request_classes(root),
        _faults(path, root, nodes),
        _sides(path, root),
    )


def request_classes(root: Element) -> RequestClasses:
    """The `<class>` elements of a scenario."""
    elements = root.findall("load/class")
    return RequestClasses(
        tuple(map(_habits, elements)),
        {element.get("name"): _rules(element) for element in elements},
        {element.get("name"): float(element.get("worth")) for element in elements},
    )


def _habits(element: Element) -> Habits:
    """What the clients of a `<class>` do."""
    get = element.get
    return Habits(
        get("name"),
        parse_percent(get("part")),
        parse_duration(get("budget")),
        parse_duration(get("work")),
        float(get("spread")),
        parse_percent(get("leave")),
        parse_duration(get("patience")),
        int(get("retries")),
        get("effect") != "unsafe",
    )


def _rules(element: Element) -> ClassRules:
    """What may be repeated of a `<class>`."""
    return ClassRules(element.get("effect"), "zone", parse_duration(element.get("window", "0s")))


def _check_parts(path: Path, root: Element) -> None:
    classes = root.findall("load/class")
    whole = sum(parse_percent(element.get("part")) for element in classes)
    if abs(whole - 1) > PARTS_TOLERANCE:
        raise ConfError(f"{path}:{classes[0].sourceline}: <class> part: the parts add up to {whole:.0%}")


def _pool(element: Element) -> ExecutorPool:
    executors, zones, cores, slots, queue = (
        int(element.get(name)) for name in ("boxes", "zones", "cores", "slots", "queue")
    )
    slowest, fastest = float(element.get("slowest")), float(element.get("fastest"))
    return ExecutorPool(executors, zones, cores, slots, queue, slowest, fastest)


def _trace(path: Path, element: Element) -> tuple[int, ...]:
    """The times of a trace: a file next to the scenario with one duration a line, in order."""
    if (name := element.get("trace")) is None:
        return ()
    times: list[int] = []
    file = path.parent / name
    for number, line in enumerate(file.read_text().split(), 1):
        try:
            times.append(parse_duration(line))
        except ValueError as error:
            raise ConfError(f"{file}:{number}: {error}") from None
        if times[-2:] != sorted(times[-2:]):
            raise ConfError(f"{file}:{number}: {line} comes before the line above it")
    return tuple(times)


def _faults(path: Path, root: Element, nodes: int) -> tuple[Fault, ...]:
    faults = []
    for element in root.findall("fault"):
        fault = _fault(element)
        if fault.kind == "kill-node" and fault.node >= nodes:
            raise ConfError(f"{path}:{element.sourceline}: <fault> node: there are {nodes}, counted from 0")
        faults.append(fault)
    return tuple(faults)


def _fault(element: Element) -> Fault:
    get = element.get
    return Fault(
        get("kind"),
        parse_duration(get("at")),
        parse_duration(get("for", "0s")),
        parse_duration(get("every", "0s")),
        parse_percent(get("boxes", "100%")),
        int(get("node", "0")),
        parse_percent(get("size", "100%")),
    )


def _sides(path: Path, root: Element) -> tuple[Side, ...]:
    sides = tuple(map(_side, root.findall("side")))
    if len({side.name for side in sides}) < len(sides):
        raise ConfError(f"{path}:{root.find('side').sourceline}: <side> name: one is named twice")
    return sides


def _side(element: Element) -> Side:
    settings = element.find("cedarmill")
    text = etree.tostring(settings, with_tail=False) if settings is not None else b""
    return Side(element.get("name"), element.get("honours") == "on", text)
