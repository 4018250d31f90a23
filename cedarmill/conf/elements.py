"""Readers for attributes and elements that several kinds of XML configuration files share."""

import ipaddress
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

from cedarmill.conf.document import ConfError
from cedarmill.values import ClusterOptions

MAX_PORT = 65_535


class Element(Protocol):
    """The part of the interface of an lxml element that cedarmill uses; lxml has no type annotations."""

    tag: str
    sourceline: int

    def get(self, name: str) -> str | None:
        """Return the value of an attribute, or None if the attribute is missing."""

    def find(self, path: str) -> "Element | None":
        """Return the first element at a path, or None."""

    def findall(self, path: str) -> "list[Element]":
        """Return all elements at a path."""


def location(path: str | Path, element: Element) -> str:
    """Return FILE:LINE of an element, the prefix of error messages."""
    return f"{path}:{element.sourceline}"


def attribute(element: Element, name: str) -> str:
    """Return the value of an attribute that the schema requires."""
    text = element.get(name)
    assert text is not None, f"<{element.tag}> {name}: the schema does not require this attribute"
    return text


def attribute_or(element: Element, name: str, default: str) -> str:
    """Return the value of an attribute, or the default if the attribute is missing."""
    text = element.get(name)
    return default if text is None else text


def is_address(text: str) -> bool:
    """Return whether the text is HOST:PORT with an IP address as host; host names are not resolved."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) <= MAX_PORT


def read_address(path: str | Path, element: Element, name: str) -> str:
    """Return an address with a numeric host from an attribute; raise ConfError if it is invalid."""
    text = attribute(element, name)
    if not is_address(text):
        raise ConfError(f"{location(path, element)}: <{element.tag}> {name}: {text!r} is not ADDRESS:PORT")
    return text


def read_named_addresses(path: str | Path, elements: Iterable[Element]) -> dict[str, str]:
    """Return the address of each element by its name; raise ConfError for a duplicate name."""
    addresses: dict[str, str] = {}
    for element in elements:
        name = attribute(element, "name")
        if name in addresses:
            raise ConfError(f"{location(path, element)}: <{element.tag}> name: duplicate name {name!r}")
        addresses[name] = read_address(path, element, "address")
    return addresses


def read_cluster_settings(path: str | Path, element: Element) -> ClusterOptions:
    """Read the cluster membership from a `<fleet>` element; raise ConfError if it is invalid."""
    defaults = ClusterOptions("", {})
    return ClusterOptions(
        attribute(element, "cluster"),
        read_named_addresses(path, element.findall("keeper")),
        read_address(path, element, "listen") if element.get("listen") else "",
        attribute_or(element, "cut-off", defaults.cut_off),
        attribute_or(element, "start", defaults.start),
        _read_routing_scopes(path, element),
    )


def _read_routing_scopes(path: str | Path, element: Element) -> dict[str, str]:
    """Return the zone or region to which requests of a class or tenant are confined.

    Raise ConfError for a duplicate or ambiguous `<stay>` element.
    """
    scopes: dict[str, str] = {}
    for stay in element.findall("stay"):
        selectors = [f"{kind}:{stay.get(kind)}" for kind in ("class", "tenant") if stay.get(kind)]
        if len(selectors) != 1 or selectors[0] in scopes:
            reason = (
                "exactly one of class and tenant is required"
                if len(selectors) != 1
                else f"duplicate {selectors[0]}"
            )
            raise ConfError(f"{location(path, stay)}: <stay>: {reason}")
        scopes[selectors[0]] = attribute(stay, "within")
    return scopes
