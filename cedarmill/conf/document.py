"""One XML file, parsed and checked against a schema of ours: wholly good, or refused in one line."""

import re
from pathlib import Path
from typing import Any

from lxml import etree  # type: ignore[import-untyped]

SCHEMAS = Path(__file__).parent / "schema"
MAX_BYTES = 1024 * 1024  # a file of settings is some KB: more is a mistake
_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|min)")
_FACET = re.compile(r"Element '([^']*)'(?:, attribute '([^']*)')?: (?:\[facet '(\w+)'\] )?(.*)", re.S)
_VALUE = re.compile(r"The value '([^']*)'")


class ConfError(ValueError):
    """What is wrong with a file: its name, line and element, or with a setting that a command was given."""


def microseconds(text: str) -> int:
    """A duration such as `20ms`, `6s` or `1min` as whole microseconds; raises ValueError."""
    if (match := _DURATION.fullmatch(text)) is None:
        raise ValueError(f"{text!r} is no duration: give a number and us, ms, s or min")
    return round(float(match[1]) * _UNITS[match[2]])


def duration(us: int) -> str:
    """The shortest text that `microseconds` reads back as the same."""
    unit = next(unit for unit in ("min", "s", "ms", "us") if us % _UNITS[unit] == 0)
    return f"{us // _UNITS[unit]}{unit}"


def share(text: str) -> float:
    """A percentage such as `95%` as a share from 0 to 1; raises ValueError."""
    return float(text.removesuffix("%")) / 100


def _fault(message: str) -> str:
    """A schema's message in plain words; a number without a unit is the most common mistake."""
    if (match := _FACET.match(message)) is None:
        return message
    element, attribute, facet, rest = match.groups()
    where = f"<{element}>" + (f" {attribute}" if attribute else "")
    value = _VALUE.search(rest)
    if facet == "pattern" and value and re.fullmatch(r"[0-9.]+", value[1]):
        unit = "%" if "%" in rest else "ms"
        return f"{where}: {value[1]!r} has no unit (is {value[1]}{unit} meant?)"
    if facet == "pattern" and value:
        return f"{where}: {value[1]!r} is not of the form {'50%' if '%' in rest else '20ms, 6s or 1min'}"
    return f"{where}: {rest.strip().rstrip('.')}"


def schema(name: str) -> etree.XMLSchema:
    """A schema that the package ships, by its name without the ending."""
    return etree.XMLSchema(etree.parse(SCHEMAS / f"{name}.xsd", _parser()))


def _parser() -> etree.XMLParser:
    return etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        huge_tree=False,
        load_dtd=False,
        remove_comments=True,
        remove_pis=True,
    )


def load(path: str | Path, name: str) -> Any:
    """The root of a file that is good by a schema (see `elements.Element`); raises ConfError or OSError."""
    with open(path, "rb") as file:
        text = file.read(MAX_BYTES + 1)
    if len(text) > MAX_BYTES:
        raise ConfError(f"{path}: over {MAX_BYTES} bytes")
    try:
        root = etree.fromstring(text, _parser(), base_url=str(path))
    except etree.XMLSyntaxError as error:
        raise ConfError(f"{path}:{error.lineno or 1}: not whole or not XML: {error.msg}") from None
    if root.getroottree().docinfo.internalDTD is not None:
        raise ConfError(f"{path}:1: a document type is not allowed")
    check = schema(name)
    if not check.validate(root):
        first = check.error_log[0]
        raise ConfError(f"{path}:{first.line}: {_fault(first.message)}")
    return root
