"""Readers for the XML configuration files of a replica and of a process supervisor."""

import shlex
from pathlib import Path
from typing import NamedTuple

from cedarmill.conf.document import ConfError, load_document, parse_duration, parse_percent
from cedarmill.conf.elements import (
    Element,
    attribute,
    attribute_or,
    location,
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
DEFAULT_BUDGET_NODES = "64"  # nodes with a guaranteed minimum of a budget


class ZoneSettings(NamedTuple):
    """Values of a `<zones>` element; each field has the name and the default of one in `ReplicaOptions`."""

    regions: dict[str, tuple[str, ...]]
    costs: dict[str, int]
    safe_share: int
    sheds_load: bool
    gossip: bool


def read_limit(path: str | Path, element: Element) -> LimitOptions:
    """Read a `<limit>` element; raise ConfError if it sets no limit."""
    max_count, percentage, capacity_left = (element.get(name) for name in ("most", "share", "capacity-left"))
    if max_count is None and percentage is None and capacity_left is None:
        raise ConfError(f"{location(path, element)}: <limit>: one of most, share, capacity-left is needed")
    return LimitOptions(
        attribute(element, "kind"),
        attribute(element, "per"),
        UNUSED if max_count is None else int(max_count),
        UNUSED if percentage is None else _thousandths(percentage),
        UNUSED if capacity_left is None else _thousandths(capacity_left),
    )


def _thousandths(percentage: str) -> int:
    return round(parse_percent(percentage) * 1000)


def read_budget(element: Element) -> BudgetOptions:
    """Read a `<budget>` element."""
    rate = round(float(attribute(element, "per-second")) * 1000)
    return BudgetOptions(
        attribute(element, "name"), rate, int(attribute_or(element, "nodes", DEFAULT_BUDGET_NODES))
    )


def read_replica_settings(path: str | Path) -> ReplicaOptions:
    """Read the configuration file of a replica; raise ConfError or OSError."""
    root: Element = load_document(path, "keeper")
    peers, name = read_named_addresses(path, root.findall("peer")), attribute(root, "name")
    if name not in peers:
        raise ConfError(f"{location(path, root)}: <keeper> name: no <peer> has the name {name!r}")
    defaults = ReplicaOptions("", "", "", "", {})
    zones = _read_zones(path, root.find("zones"), defaults)
    slow_start_us, slow_start_share = _read_slow_start(root.find("cold"), defaults)
    return ReplicaOptions(
        attribute(root, "cluster"),
        name,
        read_address(path, root, "listen"),
        attribute(root, "data"),
        peers,
        tuple(read_limit(path, child) for child in root.findall("limit")),
        _read_budgets(path, root),
        *zones,
        slow_start_us,
        slow_start_share,
    )


def _read_slow_start(element: Element | None, defaults: ReplicaOptions) -> tuple[int, int]:
    """Return the slow start duration (microseconds) and the initial share of slots (thousandths)."""
    if element is None:
        return defaults.slow_start_us, defaults.slow_start_share
    return parse_duration(attribute(element, "lasts")), _thousandths(attribute(element, "share"))


def _read_budgets(path: str | Path, root: Element) -> tuple[BudgetOptions, ...]:
    elements = root.findall("budget")
    budgets = tuple(map(read_budget, elements))
    if len({budget.name for budget in budgets}) < len(budgets):
        raise ConfError(f"{location(path, elements[-1])}: <budget> name: duplicate name")
    return budgets


def _read_zones(path: str | Path, element: Element | None, defaults: ReplicaOptions) -> ZoneSettings:
    """Read a `<zones>` element; raise ConfError if it is invalid."""
    if element is None:
        return ZoneSettings(*(getattr(defaults, name) for name in ZoneSettings._fields))
    regions = {
        attribute(region, "name"): tuple(attribute(zone, "name") for zone in region.findall("zone"))
        for region in element.findall("region")
    }
    names = [name for zones in regions.values() for name in zones]
    if len(set(names)) < len(names) or len(regions) < len(element.findall("region")):
        raise ConfError(f"{location(path, element)}: <zones>: duplicate zone or region")
    return ZoneSettings(
        regions,
        _read_costs(path, element, names),
        _thousandths(attribute_or(element, "safe", DEFAULT_SAFE_SHARE)),
        element.get("sheds") == "on",
        element.get("news") == "on",
    )


def _read_costs(path: str | Path, element: Element, zones: list[str]) -> dict[str, int]:
    """Return the cost of each zone pair, by `FROM>TO`; raise ConfError for an unknown zone."""
    costs = {}
    for cost in element.findall("cost"):
        zone_names = attribute(cost, "from"), attribute(cost, "to")
        for attribute_name, zone in zip(("from", "to"), zone_names, strict=True):
            if zone not in zones:
                raise ConfError(f"{location(path, cost)}: <cost> {attribute_name}: no zone {zone!r}")
        costs[">".join(zone_names)] = int(attribute(cost, "is"))
    return costs


def read_supervisor_settings(path: str | Path) -> SupervisorOptions:
    """Read the configuration file of a process supervisor; raise ConfError or OSError."""
    root: Element = load_document(path, "steward")
    units = tuple(_read_unit(path, element) for element in root.findall("unit"))
    if len({unit.name for unit in units}) < len(units):
        raise ConfError(f"{location(path, root)}: <unit> name: duplicate name")
    membership = root.find("fleet")
    assert membership is not None, "the schema requires <fleet>"
    cluster = read_cluster_settings(path, membership)
    return SupervisorOptions(attribute(root, "name"), attribute(root, "data"), cluster, units)


def _read_unit(path: str | Path, element: Element) -> UnitOptions:
    name, version = attribute(element, "name"), attribute(element, "version")
    prefix = f"{location(path, element)}: <unit {name}>"
    commands: dict[str, tuple[str, ...]] = {}
    for command_element in element.findall("run"):
        run_version = attribute(command_element, "version")
        if run_version in commands:
            raise ConfError(f"{prefix}: <run> version: duplicate version {run_version!r}")
        commands[run_version] = _read_command(path, command_element)
    if version not in commands:
        raise ConfError(f"{prefix} version: no <run> of the version {version!r}")
    env = {attribute(child, "name"): attribute(child, "value") for child in element.findall("env")}
    return UnitOptions(name, version, read_address(path, element, "listen"), commands, env)


def _read_command(path: str | Path, command_element: Element) -> tuple[str, ...]:
    try:
        arguments = tuple(shlex.split(attribute(command_element, "command")))
    except ValueError as error:
        raise ConfError(f"{location(path, command_element)}: <run> command: {error}") from None
    if not arguments:
        raise ConfError(f"{location(path, command_element)}: <run> command: the command is empty")
    return arguments
