"""The XML files of a replica and of a process supervisor to the value types."""

import shlex
from pathlib import Path
from typing import NamedTuple

from cedarmill.conf.document import ConfError, load, microseconds, share
from cedarmill.conf.elements import (
    Element,
    attribute,
    attribute_or,
    place,
    read_address,
    read_cluster_settings,
    read_named_addresses,
)
from cedarmill.values import (
    UNUSED,
    BudgetOptions,
    LimitOptions,
    ReplicaOptions,
    SupervisorOptions,
    UnitOptions,
)

DEFAULT_SAFE_SHARE = "90%"
DEFAULT_FLOORS = "64"  # nodes that may hold a floor of a budget


class ZoneSettings(NamedTuple):
    """A `<zones>` element, with the fields of `ReplicaOptions`, whose defaults hold without the element."""

    regions: dict[str, tuple[str, ...]]
    costs: dict[str, int]
    safe_share: int
    sheds_load: bool
    gossip: bool


def read_limit(path: str | Path, element: Element) -> LimitOptions:
    """A `<limit>`; raises ConfError for one that says nothing."""
    most, part, left = (element.get(name) for name in ("most", "share", "capacity-left"))
    if most is None and part is None and left is None:
        raise ConfError(f"{place(path, element)}: <limit>: one of most, share, capacity-left is needed")
    return LimitOptions(
        attribute(element, "kind"),
        attribute(element, "per"),
        UNUSED if most is None else int(most),
        UNUSED if part is None else _thousandths(part),
        UNUSED if left is None else _thousandths(left),
    )


def _thousandths(percentage: str) -> int:
    return round(share(percentage) * 1000)


def read_budget(element: Element) -> BudgetOptions:
    """A `<budget>`."""
    rate = round(float(attribute(element, "per-second")) * 1000)
    return BudgetOptions(
        attribute(element, "name"), rate, int(attribute_or(element, "nodes", DEFAULT_FLOORS))
    )


def read_replica_settings(path: str | Path) -> ReplicaOptions:
    """A replica's file; raises ConfError or OSError."""
    root: Element = load(path, "keeper")
    peers, name = read_named_addresses(path, root.findall("peer")), attribute(root, "name")
    if name not in peers:
        raise ConfError(f"{place(path, root)}: <keeper> name: no <peer> of the name {name!r}")
    defaults = ReplicaOptions("", "", "", "", {})
    zones = _read_zones(path, root.find("zones"), defaults)
    slow_start_us, slow_start_share = _read_slow_start(root.find("cold"), defaults)
    return ReplicaOptions(
        attribute(root, "cluster"),
        name,
        read_address(path, root, "listen"),
        attribute(root, "data"),
        peers,
        tuple(read_limit(path, one) for one in root.findall("limit")),
        _read_budgets(path, root),
        *zones,
        slow_start_us,
        slow_start_share,
    )


def _read_slow_start(element: Element | None, defaults: ReplicaOptions) -> tuple[int, int]:
    """How long a returned executor counts in part (microseconds), and its share of slots (thousandths)."""
    if element is None:
        return defaults.slow_start_us, defaults.slow_start_share
    return microseconds(attribute(element, "lasts")), _thousandths(attribute(element, "share"))


def _read_budgets(path: str | Path, root: Element) -> tuple[BudgetOptions, ...]:
    elements = root.findall("budget")
    budgets = tuple(map(read_budget, elements))
    if len({budget.name for budget in budgets}) < len(budgets):
        raise ConfError(f"{place(path, elements[-1])}: <budget> name: one is named twice")
    return budgets


def _read_zones(path: str | Path, element: Element | None, defaults: ReplicaOptions) -> ZoneSettings:
    """A `<zones>` element; raises ConfError."""
    if element is None:
        return ZoneSettings(*(getattr(defaults, name) for name in ZoneSettings._fields))
    regions = {
        attribute(region, "name"): tuple(attribute(zone, "name") for zone in region.findall("zone"))
        for region in element.findall("region")
    }
    names = [name for zones in regions.values() for name in zones]
    if len(set(names)) < len(names) or len(regions) < len(element.findall("region")):
        raise ConfError(f"{place(path, element)}: <zones>: a zone or a region is named twice")
    return ZoneSettings(
        regions,
        _read_costs(path, element, names),
        _thousandths(attribute_or(element, "safe", DEFAULT_SAFE_SHARE)),
        element.get("sheds") == "on",
        element.get("news") == "on",
    )


def _read_costs(path: str | Path, element: Element, zones: list[str]) -> dict[str, int]:
    """The costs of sending from zone to zone, by `FROM>TO`; raises ConfError for a zone that is not laid."""
    costs = {}
    for cost in element.findall("cost"):
        ends = attribute(cost, "from"), attribute(cost, "to")
        for end, zone in zip(("from", "to"), ends, strict=True):
            if zone not in zones:
                raise ConfError(f"{place(path, cost)}: <cost> {end}: no zone {zone!r}")
        costs[">".join(ends)] = int(attribute(cost, "is"))
    return costs


def read_supervisor_settings(path: str | Path) -> SupervisorOptions:
    """A process supervisor's file; raises ConfError or OSError."""
    root: Element = load(path, "steward")
    units = tuple(_read_unit(path, element) for element in root.findall("unit"))
    if len({unit.name for unit in units}) < len(units):
        raise ConfError(f"{place(path, root)}: <unit> name: one is named twice")
    membership = root.find("fleet")
    assert membership is not None, "the schema requires <fleet>"
    cluster = read_cluster_settings(path, membership)
    return SupervisorOptions(attribute(root, "name"), attribute(root, "data"), cluster, units)


def _read_unit(path: str | Path, element: Element) -> UnitOptions:
    name, version = attribute(element, "name"), attribute(element, "version")
    where = f"{place(path, element)}: <unit {name}>"
    commands: dict[str, tuple[str, ...]] = {}
    for run in element.findall("run"):
        run_version = attribute(run, "version")
        if run_version in commands:
            raise ConfError(f"{where}: <run> version: {run_version!r} is named twice")
        commands[run_version] = _read_command(path, run)
    if version not in commands:
        raise ConfError(f"{where} version: no <run> of the version {version!r}")
    env = {attribute(one, "name"): attribute(one, "value") for one in element.findall("env")}
    return UnitOptions(name, version, read_address(path, element, "listen"), commands, env)


def _read_command(path: str | Path, run: Element) -> tuple[str, ...]:
    try:
        words = tuple(shlex.split(attribute(run, "command")))
    except ValueError as error:
        raise ConfError(f"{place(path, run)}: <run> command: {error}") from None
    if not words:
        raise ConfError(f"{place(path, run)}: <run> command: empty")
    return words
