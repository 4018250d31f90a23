"""Elements that several of our XML files share: attributes, addresses, and membership of a cluster."""

import ipaddress
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

from cedarmill.conf.document import ConfError
from cedarmill.values import ClusterOptions

MOST_PORT = 65_535


class Element(Protocol):
    """What is used of lxml's elements, which come without types."""

    tag: str
    sourceline: int

    def get(self, name: str) -> str | None:
        """An attribute, or None where it is left out."""

    def find(self, path: str) -> "Element | None":
        """The first element there."""

    def findall(self, path: str) -> "list[Element]":
        """All elements there."""


def place(path: str | Path, element: Element) -> str:
    """FILE:LINE of an element, as error messages begin."""
    return f"{path}:{element.sourceline}"


def attribute(element: Element, name: str) -> str:
    """An attribute that the schema requires."""
    text = element.get(name)
    assert text is not None, f"<{element.tag}> {name}: the schema lets it be left out"
    return text


def attribute_or(element: Element, name: str, default: str) -> str:
    """An attribute, or the default where it is left out."""
    text = element.get(name)
    return default if text is None else text


def is_address(text: str) -> bool:
    """Whether it is HOST:PORT with a numeric host: nothing of ours looks names up."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) <= MOST_PORT


def read_address(path: str | Path, element: Element, name: str) -> str:
    """A numeric address in an attribute; raises ConfError."""
    text = attribute(element, name)
    if not is_address(text):
        raise ConfError(f"{place(path, element)}: <{element.tag}> {name}: {text!r} is not ADDRESS:PORT")
    return text


def read_named_addresses(path: str | Path, elements: Iterable[Element]) -> dict[str, str]:
    """Elements with a name and an address each; raises ConfError where a name comes twice."""
    addresses: dict[str, str] = {}
    for element in elements:
        name = attribute(element, "name")
        if name in addresses:
            raise ConfError(f"{place(path, element)}: <{element.tag}> name: {name!r} is named twice")
        addresses[name] = read_address(path, element, "address")
    return addresses


def read_cluster_settings(path: str | Path, element: Element) -> ClusterOptions:
    """A `<fleet>` element: membership of a cluster; raises ConfError."""
    defaults = ClusterOptions("", {})
    return ClusterOptions(
        attribute(element, "cluster"),
        read_named_addresses(path, element.findall("keeper")),
        read_address(path, element, "listen") if element.get("listen") else "",
        attribute_or(element, "cut-off", defaults.cut_off),
        attribute_or(element, "start", defaults.start),
        _read_stays(path, element),
    )


def _read_stays(path: str | Path, element: Element) -> dict[str, str]:
    """How far requests of a class or a tenant may go; raises ConfError."""
    found: dict[str, str] = {}
    for stay in element.findall("stay"):
        names = [f"{what}:{stay.get(what)}" for what in ("class", "tenant") if stay.get(what)]
        if len(names) != 1 or names[0] in found:
            why = "one of class and tenant is needed" if len(names) != 1 else f"{names[0]} is named twice"
            raise ConfError(f"{place(path, stay)}: <stay>: {why}")
        found[names[0]] = attribute(stay, "within")
    return found
