"""Reader for cedarmill.xml, which also lists each effective setting with its origin."""

import dataclasses
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from cedarmill.conf.document import ConfError, format_duration, load_document, parse_duration, parse_percent
from cedarmill.conf.elements import (
    Element,
    attribute,
    attribute_or,
    is_address,
    location,
    read_cluster_settings,
)
from cedarmill.values import ClusterOptions, DeadlineOptions, HealthOptions, KindOptions, Options

MIN_WASTE_LOG_INTERVAL_US = 1_000_000


class EffectiveSetting(NamedTuple):
    """An effective setting: its name, its value as text, and its origin (FILE:LINE or `default`)."""

    name: str
    value: str
    origin: str


class _Attribute(NamedTuple):
    """The XML attribute of a setting, with the functions that parse and format its value."""

    path: str
    name: str
    parse: Callable[[str], Any] = str
    to_text: Callable[[Any], str] = str


_parse_on_or_off = {"on": True, "off": False}.__getitem__


def _format_on_or_off(value: bool) -> str:
    return "on" if value else "off"


def _format_percentage(value: float) -> str:
    return f"{100 * value:g}%"


_DEADLINE_ATTRIBUTES = {
    "on_leave": _Attribute("deadlines", "on-leave"),
    "half_close": _Attribute("deadlines", "half-close"),
    "cancel_calls": _Attribute("deadlines", "cancel-calls", _parse_on_or_off, _format_on_or_off),
    "skew_us": _Attribute("deadlines/skew", "bound", parse_duration, format_duration),
    "margin": _Attribute("deadlines/margin", "kind"),
    "margin_us": _Attribute("deadlines/margin", "most", parse_duration, format_duration),
    "margin_floor_us": _Attribute("deadlines/margin", "least", parse_duration, format_duration),
    "worth_quantile": _Attribute("deadlines/worth", "quantile", parse_percent, _format_percentage),
}


class Settings:
    """Settings of one file on top of the defaults; `effective` lists each with its origin.

    Without a file, every setting has its default. Raises ConfError, or OSError if the file cannot be read.
    """

    def __init__(self, path: str | Path | None) -> None:
        self.path = path
        self.effective: list[EffectiveSetting] = []
        self._root: Element | None = load_document(path, "cedarmill") if path is not None else None
        self.options = Options(
            self._read_deadlines(),
            self._read_health(),
            self._read_kinds(),
            self._read_waste_log_interval(),
            self._read_cluster(),
        )

    def _find(self, path: str) -> Element | None:
        return None if self._root is None else self._root.find(path)

    def _find_all(self, path: str) -> list[Element]:
        return [] if self._root is None else self._root.findall(path)

    def _error(self, element: Element, text: str) -> ConfError:
        return ConfError(f"{location(self._path, element)}: {text}")

    @property
    def _path(self) -> str | Path:
        return self.path if self.path is not None else "default"

    def _record(self, name: str, value: str, element: Element | None) -> None:
        origin = "default" if element is None else location(self._path, element)
        self.effective.append(EffectiveSetting(name, value, origin))

    def _read_attribute(self, spec: _Attribute, default: Any) -> Any:
        element = self._find(spec.path)
        text = None if element is None else element.get(spec.name)
        value = default if text is None else spec.parse(text)
        name = f"{spec.path.replace('/', '.')}.{spec.name}"
        self._record(name, spec.to_text(value), None if text is None else element)
        return value

    def _read_deadlines(self) -> DeadlineOptions:
        default, values = DeadlineOptions(), {}
        for name, spec in _DEADLINE_ATTRIBUTES.items():
            values[name] = self._read_attribute(spec, getattr(default, name))
        sources = self._find_all("deadlines/source")
        headers = [attribute(element, "header") for element in sources]
        if len(set(headers)) < len(headers):
            raise self._error(sources[-1], "<source>: duplicate header")
        values["sources"] = tuple(headers) or default.sources
        self._record("deadlines.source", ", ".join(values["sources"]), sources[0] if sources else None)
        margin = self._find("deadlines/margin")
        if margin is not None and values["margin_floor_us"] > values["margin_us"]:
            raise self._error(margin, "<margin>: least is greater than most")
        return dataclasses.replace(default, **values)

    def _read_kinds(self) -> dict[str, KindOptions]:
        kinds: dict[str, KindOptions] = {}
        default = KindOptions()
        for element in self._find_all("backends/kind"):
            name = attribute(element, "name")
            if name in kinds:
                raise self._error(element, f"<kind> name: duplicate name {name!r}")
            kind = kinds[name] = KindOptions(
                attribute_or(element, "cancel", default.cancel),
                attribute_or(element, "speaks", default.speaks),
            )
            for field, value in (("cancel", kind.cancel), ("speaks", kind.speaks)):
                self._record(f"backends.kind[{name}].{field}", value, element if element.get(field) else None)
        return kinds

    def _read_health(self) -> HealthOptions:
        """Return the listener addresses for health checks; a host must be an IP address."""
        addresses = {}
        for kind in ("agent", "http", "grpc"):
            spec = _Attribute(f"health/{kind}", "listen", str, lambda value: value or "off")
            addresses[kind] = self._read_attribute(spec, "")
            element = self._find(spec.path)
            if element is not None and addresses[kind] and not is_address(addresses[kind]):
                raise self._error(element, f"<{kind}> listen: {addresses[kind]!r} is not ADDRESS:PORT")
        return HealthOptions(**addresses)

    def _read_cluster(self) -> ClusterOptions | None:
        element = self._find("fleet")
        if element is None:
            self._record("fleet", "off", None)
            return None
        cluster = read_cluster_settings(self._path, element)
        for name in ("cluster", "listen", "cut_off", "start"):
            self._record(f"fleet.{name.replace('_', '-')}", getattr(cluster, name), element)
        self._record("fleet.keeper", ", ".join(sorted(cluster.replicas)), element)
        for name, scope in sorted(cluster.stays.items()):
            self._record(f"fleet.stay[{name}]", scope, element)
        return cluster

    def _read_waste_log_interval(self) -> int:
        """Return the interval between `wasted-work` events in microseconds."""
        interval_us = int(
            self._read_attribute(
                _Attribute("ledger", "every", parse_duration, format_duration),
                Options().waste_log_interval_us,
            )
        )
        element = self._find("ledger")
        if element is not None and interval_us < MIN_WASTE_LOG_INTERVAL_US:
            raise self._error(element, "<ledger> every: must be at least 1s")
        return interval_us
