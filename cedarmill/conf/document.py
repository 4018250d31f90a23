"""Loading of an XML file and its validation against a bundled schema; errors are one line long."""

import re
from pathlib import Path
from typing import Any

from lxml import etree  # type: ignore[import-untyped]

SCHEMA_DIRECTORY = Path(__file__).parent / "schema"
MAX_DOCUMENT_BYTES = 1024 * 1024
_MICROSECONDS_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|min)")
_SCHEMA_ERROR = re.compile(r"Element '([^']*)'(?:, attribute '([^']*)')?: (?:\[facet '(\w+)'\] )?(.*)", re.S)
_REJECTED_VALUE = re.compile(r"The value '([^']*)'")


class ConfError(ValueError):
    """An invalid configuration file (the message names file, line and element) or command-line setting."""


def parse_duration(text: str) -> int:
    """Return a duration such as `20ms`, `6s` or `1min` in whole microseconds; raise ValueError if invalid."""
    if (match := _DURATION.fullmatch(text)) is None:
        raise ValueError(f"{text!r} is not a duration: expected a number with the unit us, ms, s or min")
    return round(float(match[1]) * _MICROSECONDS_PER_UNIT[match[2]])


def format_duration(duration_us: int) -> str:
    """Format microseconds in the largest unit that divides them; `parse_duration` is the inverse."""
    unit = next(unit for unit in ("min", "s", "ms", "us") if duration_us % _MICROSECONDS_PER_UNIT[unit] == 0)
    return f"{duration_us // _MICROSECONDS_PER_UNIT[unit]}{unit}"


def parse_percent(text: str) -> float:
    """Return a percentage such as `95%` as a fraction from 0 to 1; raise ValueError if invalid."""
    return float(text.removesuffix("%")) / 100


def _describe_schema_error(message: str) -> str:
    """Rewrite a schema error message; a missing unit gets a message of its own."""
    if (match := _SCHEMA_ERROR.match(message)) is None:
        return message
    element, attribute, facet, detail = match.groups()
    location = f"<{element}>" + (f" {attribute}" if attribute else "")
    value = _REJECTED_VALUE.search(detail)
    if facet == "pattern" and value and re.fullmatch(r"[0-9.]+", value[1]):
        unit = "%" if "%" in detail else "ms"
        return f"{location}: {value[1]!r} has no unit (is {value[1]}{unit} meant?)"
    if facet == "pattern" and value:
        return f"{location}: {value[1]!r} is not of the form {'50%' if '%' in detail else '20ms, 6s or 1min'}"
    return f"{location}: {detail.strip().rstrip('.')}"


def load_schema(name: str) -> etree.XMLSchema:
    """Load a bundled schema by its file name without the suffix."""
    return etree.XMLSchema(etree.parse(SCHEMA_DIRECTORY / f"{name}.xsd", _parser()))


def _parser() -> etree.XMLParser:
    return etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        huge_tree=False,
        load_dtd=False,
        remove_comments=True,
        remove_pis=True,
    )


def load_document(path: str | Path, name: str) -> Any:
    """Return the root of a validated file (see `elements.Element`); raise ConfError or OSError."""
    with open(path, "rb") as file:
        text = file.read(MAX_DOCUMENT_BYTES + 1)
    if len(text) > MAX_DOCUMENT_BYTES:
        raise ConfError(f"{path}: larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        root = etree.fromstring(text, _parser(), base_url=str(path))
    except etree.XMLSyntaxError as error:
        raise ConfError(f"{path}:{error.lineno or 1}: not well-formed XML: {error.msg}") from None
    if root.getroottree().docinfo.internalDTD is not None:
        raise ConfError(f"{path}:1: a document type declaration is not allowed")
    validator = load_schema(name)
    if not validator.validate(root):
        first_error = validator.error_log[0]
        raise ConfError(f"{path}:{first_error.line}: {_describe_schema_error(first_error.message)}")
    return root
