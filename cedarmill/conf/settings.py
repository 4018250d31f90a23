"""cedarmill.xml to the value types, and back to a list of what holds and where it came from."""

import dataclasses
import ipaddress
from pathlib import Path
from typing import NamedTuple

from cedarmill.conf.document import ConfError, duration, load, microseconds, share
from cedarmill.values import ClusterOptions, DeadlineOptions, HealthOptions, KindOptions, Options


class Held(NamedTuple):
    """One setting that holds: its name, its value as written, and its file and line, or `default`."""

    name: str
    value: str
    origin: str


class _Place(NamedTuple):
    """Where a setting stands in the file, and how its text is read and written."""

    path: str
    attribute: str
    read: object
    write: object


_TEXT = str
_SWITCH = {"on": True, "off": False}.__getitem__


def _on(value: bool) -> str:
    return "on" if value else "off"


def _percent(value: float) -> str:
    return f"{100 * value:g}%"


_DEADLINES = {
    "on_leave": _Place("deadlines", "on-leave", _TEXT, _TEXT),
    "half_close": _Place("deadlines", "half-close", _TEXT, _TEXT),
    "cancel_calls": _Place("deadlines", "cancel-calls", _SWITCH, _on),
    "skew_us": _Place("deadlines/skew", "bound", microseconds, duration),
    "margin": _Place("deadlines/margin", "kind", _TEXT, _TEXT),
    "margin_us": _Place("deadlines/margin", "most", microseconds, duration),
    "margin_floor_us": _Place("deadlines/margin", "least", microseconds, duration),
    "worth_quantile": _Place("deadlines/worth", "quantile", share, _percent),
}


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def address(path, element, attribute: str) -> str:
    """A numeric address of an element: nothing of ours looks names up; raises ConfError."""
    text = element.get(attribute)
    host, _, port = text.rpartition(":")
    if not (_is_address(host.strip("[]")) and int(port) < 65536):
        where = f"{path}:{element.sourceline}"
        raise ConfError(f"{where}: <{element.tag}> {attribute}: {text!r} is not ADDRESS:PORT")
    return text


def named_addresses(path, elements) -> dict[str, str]:
    """Elements with a name and an address each; raises ConfError where a name comes twice."""
    found: dict[str, str] = {}
    for element in elements:
        if element.get("name") in found:
            where = f"{path}:{element.sourceline}"
            raise ConfError(f"{where}: <{element.tag}> name: {element.get('name')!r} is named twice")
        found[element.get("name")] = address(path, element, "address")
    return found


def fleet_part(path, element) -> ClusterOptions:
    """A `<fleet>` element; raises ConfError."""
    keepers = named_addresses(path, element.findall("keeper"))
    listen = address(path, element, "listen") if element.get("listen") else ""
    return ClusterOptions(element.get("cluster"), keepers, listen, element.get("cut-off", "serve"),
                        element.get("start", "wait"), _stays(path, element))  # fmt: skip


def _stays(path, element) -> dict[str, str]:
    """How far reqs of a class or a tenant may go; raises ConfError."""
    found: dict[str, str] = {}
    for one in element.findall("stay"):
        names = [f"{what}:{one.get(what)}" for what in ("class", "tenant") if one.get(what)]
        if len(names) != 1 or names[0] in found:
            why = "one of class and tenant is needed" if len(names) != 1 else f"{names[0]} is named twice"
            raise ConfError(f"{path}:{one.sourceline}: <stay>: {why}")
        found[names[0]] = one.get("within")
    return found


class Settings:
    """What one file sets, on top of the defaults; `held` lists all of it."""

    def __init__(self, path: str | Path | None) -> None:
        self.path = path
        self.held: list[Held] = []
        self._root = load(path, "cedarmill") if path is not None else None
        self.options = Options(
            self._deadlines(), self._health(), self._kinds(), self._ledger(), self._fleet()
        )

    def _find(self, place: str):
        return None if self._root is None else self._root.find(place)

    def _origin(self, element) -> str:
        return f"{self.path}:{element.sourceline}"

    def _hold(self, name: str, value: str, element) -> None:
        self.held.append(Held(name, value, "default" if element is None else self._origin(element)))

    def _value(self, place: _Place, default):
        element = self._find(place.path)
        text = None if element is None else element.get(place.attribute)
        value = default if text is None else place.read(text)
        name = f"{place.path.replace('/', '.')}.{place.attribute}"
        self._hold(name, place.write(value), None if text is None else element)
        return value

    def _deadlines(self) -> DeadlineOptions:
        default, values = DeadlineOptions(), {}
        for name, place in _DEADLINES.items():
            values[name] = self._value(place, getattr(default, name))
        listed = [] if self._root is None else self._root.findall("deadlines/source")
        names = [element.get("header") for element in listed]
        if len(set(names)) < len(names):
            raise ConfError(f"{self._origin(listed[-1])}: <source>: a header is named twice")
        values["sources"] = tuple(names) or default.sources
        self._hold("deadlines.source", ", ".join(values["sources"]), listed[0] if listed else None)
        if values["margin_floor_us"] > values["margin_us"]:
            where = self._origin(self._find("deadlines/margin"))
            raise ConfError(f"{where}: <margin>: least is more than most")
        return dataclasses.replace(default, **values)

    def _kinds(self) -> dict[str, KindOptions]:
        kinds: dict[str, KindOptions] = {}
        default = KindOptions()
        for element in [] if self._root is None else self._root.findall("backends/kind"):
            name = element.get("name")
            if name in kinds:
                raise ConfError(f"{self._origin(element)}: <kind> name: {name!r} is named twice")
            kinds[name] = KindOptions(
                element.get("cancel", default.cancel), element.get("speaks", default.speaks)
            )
            for field in ("cancel", "speaks"):
                self._hold(f"backends.kind[{name}].{field}", getattr(kinds[name], field),
                           element if element.get(field) else None)  # fmt: skip
        return kinds

    def _health(self) -> HealthOptions:
        """The listeners for checkers: numeric addresses, since a node looks no names up."""
        found = {}
        for name in ("agent", "http", "grpc"):
            place = _Place(f"health/{name}", "listen", _TEXT, lambda value: value or "off")
            found[name] = self._value(place, "")
            host, _, port = found[name].rpartition(":")
            if found[name] and not (_is_address(host.strip("[]")) and int(port) < 65536):
                where = self._origin(self._find(place.path))
                raise ConfError(f"{where}: <{name}> listen: {found[name]!r} is not ADDRESS:PORT")
        return HealthOptions(**found)

    def _fleet(self) -> ClusterOptions | None:
        element = self._find("fleet")
        if element is None:
            self._hold("fleet", "off", None)
            return None
        found = fleet_part(self.path, element)
        for name in ("cluster", "listen", "cut_off", "start"):
            self._hold(f"fleet.{name.replace('_', '-')}", getattr(found, name), element)
        self._hold("fleet.keeper", ", ".join(sorted(found.keepers)), element)
        for name, within in sorted(found.stays.items()):
            self._hold(f"fleet.stay[{name}]", within, element)
        return found

    def _ledger(self) -> int:
        place = _Place("ledger", "every", microseconds, duration)
        every = self._value(place, Options().ledger_every_us)
        if every < 1_000_000:
            raise ConfError(f"{self._origin(self._find('ledger'))}: <ledger> every: at least 1s")
        return every
