"""keeper.xml and steward.xml to the value types."""

import shlex
from pathlib import Path

from cedarmill.conf.document import ConfError, load, microseconds, share
from cedarmill.conf.settings import address, fleet_part, named_addresses
from cedarmill.values import LimitOptions, ReplicaOptions, SupervisorOptions, UnitOptions


def limit(path: str | Path, element) -> LimitOptions:
    """A `<limit>`; raises ConfError for one that says nothing."""
    most, part, left = (element.get(name) for name in ("most", "share", "capacity-left"))
    if most is None and part is None and left is None:
        raise ConfError(f"{path}:{element.sourceline}: <limit>: one of most, share, capacity-left is needed")
    return LimitOptions(element.get("kind"), element.get("per"), -1 if most is None else int(most),
                        _thousandths(part), _thousandths(left))  # fmt: skip


def _thousandths(text: str | None) -> int:
    return -1 if text is None else round(share(text) * 1000)


def keeper(path: str | Path) -> ReplicaOptions:
    """A keeper's file; raises ConfError or OSError."""
    root = load(path, "keeper")
    peers = named_addresses(path, root.findall("peer"))
    if root.get("name") not in peers:
        raise ConfError(
            f"{path}:{root.sourceline}: <keeper> name: no <peer> of the name {root.get('name')!r}"
        )
    cold = root.find("cold")
    values = {}
    if cold is not None:
        values = {"cold_us": microseconds(cold.get("lasts")), "cold_share": _thousandths(cold.get("share"))}
    listen = address(path, root, "listen")
    values["budgets"] = tuple(map(budget, root.findall("budget")))
    names = [name for name, _, _ in values["budgets"]]
    if len(set(names)) < len(names):
        raise ConfError(f"{path}:{root.findall('budget')[-1].sourceline}: <budget> name: one is named twice")
    if (zones := root.find("zones")) is not None:
        values |= zoning(path, zones)
    return ReplicaOptions(
        root.get("cluster"),
        root.get("name"),
        listen,
        root.get("data"),
        peers,
        tuple(limit(path, one) for one in root.findall("limit")),
        **values,
    )


def budget(element) -> tuple[str, int, int]:
    """A `<budget>`: its name, its rate in thousandths a second, and how many nodes may hold a floor."""
    rate = round(float(element.get("per-second")) * 1000)
    return element.get("name"), rate, int(element.get("nodes", "64"))


def zoning(path: str | Path, element) -> dict:
    """A `<zones>` element as fields of KeeperOptions; raises ConfError."""
    where = f"{path}:{element.sourceline}: <zones>"
    regions = {one.get("name"): tuple(zone.get("name") for zone in one.findall("zone"))
               for one in element.findall("region")}  # fmt: skip
    names = [name for zones in regions.values() for name in zones]
    if len(set(names)) < len(names) or len(regions) < len(element.findall("region")):
        raise ConfError(f"{where}: a zone or a region is named twice")
    costs = {}
    for one in element.findall("cost"):
        for end in ("from", "to"):
            if one.get(end) not in names:
                raise ConfError(f"{path}:{one.sourceline}: <cost> {end}: no zone {one.get(end)!r}")
        costs[f"{one.get('from')}>{one.get('to')}"] = int(one.get("is"))
    return {
        "regions": regions,
        "costs": costs,
        "safe": round(share(element.get("safe", "90%")) * 1000),
        "sheds": element.get("sheds") == "on",
        "news": element.get("news") == "on",
    }


def steward(path: str | Path) -> SupervisorOptions:
    """A steward's file; raises ConfError or OSError."""
    root = load(path, "steward")
    units = tuple(_unit(path, element) for element in root.findall("unit"))
    if len({unit.name for unit in units}) < len(units):
        raise ConfError(f"{path}:{root.sourceline}: <unit> name: one is named twice")
    return SupervisorOptions(root.get("name"), root.get("data"), fleet_part(path, root.find("fleet")), units)


def _unit(path: str | Path, element) -> UnitOptions:
    where = f"{path}:{element.sourceline}: <unit {element.get('name')}>"
    commands: dict[str, tuple[str, ...]] = {}
    for run in element.findall("run"):
        version = run.get("version")
        if version in commands:
            raise ConfError(f"{where}: <run> version: {version!r} is named twice")
        try:
            commands[version] = tuple(shlex.split(run.get("command")))
        except ValueError as error:
            raise ConfError(f"{path}:{run.sourceline}: <run> command: {error}") from None
        if not commands[version]:
            raise ConfError(f"{path}:{run.sourceline}: <run> command: empty")
    if element.get("version") not in commands:
        raise ConfError(f"{where} version: no <run> of the version {element.get('version')!r}")
    env = {one.get("name"): one.get("value") for one in element.findall("env")}
    listen = address(path, element, "listen")
    return UnitOptions(element.get("name"), element.get("version"), listen, commands, env)
