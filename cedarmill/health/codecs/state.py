"""Codecs of the headers `X-Haproxy-Server-State` (HAProxy) and `endpoint-load-metrics` (ORCA); no I/O.

Sources: the HAProxy configuration manual, `http-check send-state`, for the header that a checker adds to an
HTTP check: `STATE [RISE/FALL]; name=BACKEND/SERVER; node=NODE; weight=W/TOTAL; scur=CUR/TOTAL; qcur=N`.
STATE is UP, DOWN, NOLB or MAINT; the fraction after it counts the checks of a state change in progress.
An executor sends the xDS ORCA load report (`xds.data.orca.v3.OrcaLoadReport`) in the header
`endpoint-load-metrics` as `TEXT name=value, ...`, `JSON {...}` or `BIN base64`. The binary form, also sent in
`endpoint-load-metrics-bin`, is decoded by `orca.py`, which is imported on first use.
"""

import json
import math
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from cedarmill.health.codecs.load import MAX_HEADER_BYTES, MAX_METRICS, HealthHeaderError, LoadReport


class ServerState(StrEnum):
    """State of a checked server in the view of the balancer that checks it."""

    UP = "UP"
    DOWN = "DOWN"
    NOLB = "NOLB"  # Up, but draining.
    MAINT = "MAINT"


@dataclass(frozen=True, slots=True)
class CheckerView:
    """Fields of one `X-Haproxy-Server-State` header, None if absent; fractions are (value, total).

    `transition` holds the completed and the required checks of a state change in progress.
    """

    state: ServerState
    transition: tuple[int, int] | None = None
    name: str = ""
    node: str = ""
    weight: tuple[int, int] | None = None
    sessions: tuple[int, int] | None = None
    queued: int | None = None


_TRANSITION = re.compile(r"([0-9]{1,9})/([0-9]{1,9})")
_FRACTION = re.compile(r"([0-9]{1,12})/([0-9]{1,12})")
_FRACTION_FIELDS = {"weight": "weight", "scur": "sessions"}


def parse_server_state(value: str) -> CheckerView:
    """Parse the header's value; raise HealthHeaderError for an unknown state or an invalid field."""
    if len(value) > MAX_HEADER_BYTES:
        raise HealthHeaderError("the header is over 4 KiB")
    first, *rest = [part.strip() for part in value.split(";")]
    words = first.split()
    if not words or words[0].upper() not in ServerState.__members__:
        raise HealthHeaderError(f"unknown state in {first[:40]!r}")
    transition = _fraction(words[1], _TRANSITION, "state") if len(words) > 1 else None
    values: dict[str, Any] = {"state": ServerState(words[0].upper()), "transition": transition}
    for part in filter(None, rest):
        key, equals, text = part.partition("=")
        key = key.strip().lower()
        if not equals:
            raise HealthHeaderError(f"{part[:40]!r} is not NAME=VALUE")
        if key in ("name", "node"):
            values[key] = text.strip()
        elif key in _FRACTION_FIELDS:
            values[_FRACTION_FIELDS[key]] = _fraction(text.strip(), _FRACTION, key)
        elif key == "qcur":
            values["queued"] = _whole_number(text.strip(), key)
    return CheckerView(**values)  # Unknown fields of newer versions are ignored.


def _fraction(text: str, pattern: re.Pattern[str], key: str) -> tuple[int, int]:
    match = pattern.fullmatch(text)
    if match is None:
        raise HealthHeaderError(f"{key}: {text[:40]!r} is not N/M")
    return int(match[1]), int(match[2])


def _whole_number(text: str, key: str) -> int:
    if not text.isdecimal() or len(text) > 12:
        raise HealthHeaderError(f"{key}: {text[:40]!r} is not a whole number")
    return int(text)


_NUMBER_FIELDS = ("cpu_utilization", "mem_utilization", "application_utilization", "rps_fractional", "eps")
_TABLES = ("named_metrics", "utilization")


def parse_load_report(value: str) -> LoadReport:
    """Parse the value of `endpoint-load-metrics`; raise HealthHeaderError if it is invalid."""
    if len(value) > MAX_HEADER_BYTES:
        raise HealthHeaderError("the header is over 4 KiB")
    form, _, body = value.strip().partition(" ")
    if form.upper() == "TEXT":
        pairs = _text_pairs(body)
    elif form.upper() == "JSON":
        pairs = _json_pairs(body)
    elif form.upper() == "BIN":
        from cedarmill.health.codecs.orca import parse_binary  # Imports protobuf.

        return parse_binary(body.strip())
    else:
        raise HealthHeaderError(f"form {form[:10]!r} is not one of TEXT, JSON and BIN")
    values: dict[str, Any] = {name: {} for name in _TABLES}
    for key, number in pairs:
        if key in _NUMBER_FIELDS:
            values[key] = number
        elif (group := key.partition(".")[0]) in _TABLES and "." in key and len(values[group]) < MAX_METRICS:
            values[group][key.partition(".")[2]] = number
    return LoadReport(**values)  # Unknown names are ignored.


def _text_pairs(body: str) -> list[tuple[str, float]]:
    pairs = []
    for part in filter(None, (part.strip() for part in body.split(","))):
        key, equals, text = part.partition("=")
        if not equals:
            raise HealthHeaderError(f"{part[:40]!r} is not NAME=VALUE")
        pairs.append((key.strip(), _number(text.strip(), key.strip())))
    return pairs


def _json_pairs(body: str) -> list[tuple[str, float]]:
    try:
        document = json.loads(body)
    except ValueError:
        raise HealthHeaderError("the load report is not valid JSON") from None
    if not isinstance(document, dict):
        raise HealthHeaderError("the load report is not a JSON object")
    pairs = []
    for key, value in document.items():
        if key in _TABLES and isinstance(value, dict):
            pairs += [(f"{key}.{name}", _number(inner, name)) for name, inner in value.items()]
        elif key in _NUMBER_FIELDS:
            pairs.append((key, _number(value, key)))
    return pairs


def _number(value: Any, key: str) -> float:
    try:
        number = float(value) if not isinstance(value, bool) else math.nan
    except (TypeError, ValueError):
        number = math.nan
    if not (0 <= number < math.inf):
        raise HealthHeaderError(f"{key}: {str(value)[:40]!r} is not a finite number of 0 or more")
    return number
