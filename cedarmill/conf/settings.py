"""cedarmill.xml to the value types, and back to a list of what holds and where it came from."""

import dataclasses
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from cedarmill.conf.document import ConfError, duration, load, microseconds, share
from cedarmill.conf.elements import Element, attribute, attribute_or, is_address, place, read_cluster_settings
from cedarmill.values import ClusterOptions, DeadlineOptions, HealthOptions, KindOptions, Options

LEAST_LEDGER_EVERY_US = 1_000_000


class EffectiveSetting(NamedTuple):
    """One setting that holds: its name, its value as written, and its file and line, or `default`."""

    name: str
    value: str
    origin: str


class _Attribute(NamedTuple):
    """Where a setting stands in the file, and how its text is read and written."""

    path: str
    name: str
    read: Callable[[str], Any] = str
    write: Callable[[Any], str] = str


_SWITCH = {"on": True, "off": False}.__getitem__


def _on_or_off(value: bool) -> str:
    return "on" if value else "off"


def _percent(value: float) -> str:
    return f"{100 * value:g}%"


_DEADLINES = {
    "on_leave": _Attribute("deadlines", "on-leave"),
    "half_close": _Attribute("deadlines", "half-close"),
    "cancel_calls": _Attribute("deadlines", "cancel-calls", _SWITCH, _on_or_off),
    "skew_us": _Attribute("deadlines/skew", "bound", microseconds, duration),
    "margin": _Attribute("deadlines/margin", "kind"),
    "margin_us": _Attribute("deadlines/margin", "most", microseconds, duration),
    "margin_floor_us": _Attribute("deadlines/margin", "least", microseconds, duration),
    "worth_quantile": _Attribute("deadlines/worth", "quantile", share, _percent),
}


class Settings:
    """What one file sets, on top of the defaults; `effective` lists all of it.

    Without a file only defaults hold. Raises ConfError, or OSError where the file cannot be read.
    """

    def __init__(self, path: str | Path | None) -> None:
        self.path = path
        self.effective: list[EffectiveSetting] = []
        self._root: Element | None = load(path, "cedarmill") if path is not None else None
        self.options = Options(
            self._deadlines(), self._health(), self._kinds(), self._ledger(), self._cluster()
        )

    def _find(self, path: str) -> Element | None:
        return None if self._root is None else self._root.find(path)

    def _all(self, path: str) -> list[Element]:
        return [] if self._root is None else self._root.findall(path)

    def _error(self, element: Element, text: str) -> ConfError:
        return ConfError(f"{place(self._path, element)}: {text}")

    @property
    def _path(self) -> str | Path:
        return self.path if self.path is not None else "default"

    def _list(self, name: str, value: str, element: Element | None) -> None:
        origin = "default" if element is None else place(self._path, element)
        self.effective.append(EffectiveSetting(name, value, origin))

    def _value(self, at: _Attribute, default: Any) -> Any:
        element = self._find(at.path)
        text = None if element is None else element.get(at.name)
        value = default if text is None else at.read(text)
        name = f"{at.path.replace('/', '.')}.{at.name}"
        self._list(name, at.write(value), None if text is None else element)
        return value

    def _deadlines(self) -> DeadlineOptions:
        default, values = DeadlineOptions(), {}
        for name, at in _DEADLINES.items():
            values[name] = self._value(at, getattr(default, name))
        sources = self._all("deadlines/source")
        headers = [attribute(element, "header") for element in sources]
        if len(set(headers)) < len(headers):
            raise self._error(sources[-1], "<source>: a header is named twice")
        values["sources"] = tuple(headers) or default.sources
        self._list("deadlines.source", ", ".join(values["sources"]), sources[0] if sources else None)
        margin = self._find("deadlines/margin")
        if margin is not None and values["margin_floor_us"] > values["margin_us"]:
            raise self._error(margin, "<margin>: least is more than most")
        return dataclasses.replace(default, **values)

    def _kinds(self) -> dict[str, KindOptions]:
        kinds: dict[str, KindOptions] = {}
        default = KindOptions()
        for element in self._all("backends/kind"):
            name = attribute(element, "name")
            if name in kinds:
                raise self._error(element, f"<kind> name: {name!r} is named twice")
            kind = kinds[name] = KindOptions(
                attribute_or(element, "cancel", default.cancel),
                attribute_or(element, "speaks", default.speaks),
            )
            for field, value in (("cancel", kind.cancel), ("speaks", kind.speaks)):
                self._list(f"backends.kind[{name}].{field}", value, element if element.get(field) else None)
        return kinds

    def _health(self) -> HealthOptions:
        """The listeners for checkers: numeric addresses, since a node looks no names up."""
        addresses = {}
        for kind in ("agent", "http", "grpc"):
            at = _Attribute(f"health/{kind}", "listen", str, lambda value: value or "off")
            addresses[kind] = self._value(at, "")
            element = self._find(at.path)
            if element is not None and addresses[kind] and not is_address(addresses[kind]):
                raise self._error(element, f"<{kind}> listen: {addresses[kind]!r} is not ADDRESS:PORT")
        return HealthOptions(**addresses)

    def _cluster(self) -> ClusterOptions | None:
        element = self._find("fleet")
        if element is None:
            self._list("fleet", "off", None)
            return None
        cluster = read_cluster_settings(self._path, element)
        for name in ("cluster", "listen", "cut_off", "start"):
            self._list(f"fleet.{name.replace('_', '-')}", getattr(cluster, name), element)
        self._list("fleet.keeper", ", ".join(sorted(cluster.replicas)), element)
        for name, within in sorted(cluster.stays.items()):
            self._list(f"fleet.stay[{name}]", within, element)
        return cluster

    def _ledger(self) -> int:
        """Microseconds between two `wasted-work` events."""
        every_us = int(
            self._value(
                _Attribute("ledger", "every", microseconds, duration), Options().waste_log_interval_us
            )
        )
        element = self._find("ledger")
        if element is not None and every_us < LEAST_LEDGER_EVERY_US:
            raise self._error(element, "<ledger> every: at least 1s")
        return every_us
