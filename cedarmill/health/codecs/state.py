"""Header-borne health: HAProxy's `X-Haproxy-Server-State` and ORCA's `endpoint-load-metrics`; no I/O.

Sources: the HAProxy configuration manual, `http-check send-state`: the header that a checker adds to an
HTTP check, `STATE [RISE/FALL]; name=BACKEND/SERVER; node=NODE; weight=W/TOTAL; scur=CUR/TOTAL; qcur=N`,
where STATE is UP, DOWN, NOLB or MAINT and `a/b` after it counts checks of a change under way. The xDS
ORCA load report (`xds.data.orca.v3.OrcaLoadReport`), sent by an executor in the header
`endpoint-load-metrics` as `TEXT name=value, ...`, `JSON {...}` or `BIN base64`; the binary form, which also
comes in `endpoint-load-metrics-bin`, is `orca.py`'s, loaded when one comes.
"""

import json
import math
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from cedarmill.health.codecs.load import MAX_HEADER, MAX_METRICS, LoadReport, StateError


class ServerState(StrEnum):
    """What the balancer believes of the server that it checks."""

    UP = "UP"
    DOWN = "DOWN"
    NOLB = "NOLB"  # up, but takes no new load: a drain
    MAINT = "MAINT"


@dataclass(frozen=True, slots=True)
class CheckerView:
    """One `X-Haproxy-Server-State`. Fractions are (value, total); None where not named.

    `going` counts the checks of a change under way, and those that it needs, where the header says so.
    """

    state: ServerState
    going: tuple[int, int] | None = None
    name: str = ""
    node: str = ""
    weight: tuple[int, int] | None = None
    sessions: tuple[int, int] | None = None
    queued: int | None = None


_GOING = re.compile(r"([0-9]{1,9})/([0-9]{1,9})")
_FRACTION = re.compile(r"([0-9]{1,12})/([0-9]{1,12})")
_FIELDS = {"weight": "weight", "scur": "sessions"}


def parse_server_state(value: str) -> CheckerView:
    """Read the header's value; raises StateError for one without a known state or with a broken field."""
    if len(value) > MAX_HEADER:
        raise StateError("the header is over 4 KiB")
    first, *rest = [part.strip() for part in value.split(";")]
    words = first.split()
    if not words or words[0].upper() not in ServerState.__members__:
        raise StateError(f"no known state in {first[:40]!r}")
    going = _fraction(words[1], _GOING, "state") if len(words) > 1 else None
    found: dict[str, Any] = {"state": ServerState(words[0].upper()), "going": going}
    for part in filter(None, rest):
        key, equals, text = part.partition("=")
        key = key.strip().lower()
        if not equals:
            raise StateError(f"{part[:40]!r} is not NAME=VALUE")
        if key in ("name", "node"):
            found[key] = text.strip()
        elif key in _FIELDS:
            found[_FIELDS[key]] = _fraction(text.strip(), _FRACTION, key)
        elif key == "qcur":
            found["queued"] = _whole(text.strip(), key)
    return CheckerView(**found)  # fields not known here are passed over: later versions add some


def _fraction(text: str, pattern: re.Pattern[str], key: str) -> tuple[int, int]:
    match = pattern.fullmatch(text)
    if match is None:
        raise StateError(f"{key}: {text[:40]!r} is not N/M")
    return int(match[1]), int(match[2])


def _whole(text: str, key: str) -> int:
    if not text.isdecimal() or len(text) > 12:
        raise StateError(f"{key}: {text[:40]!r} is not a whole number")
    return int(text)


_TOP = ("cpu_utilization", "mem_utilization", "application_utilization", "rps_fractional", "eps")
_MAPS = ("named_metrics", "utilization")


def parse_load_report(value: str) -> LoadReport:
    """Read `endpoint-load-metrics`, TEXT, JSON or BIN; raises StateError for another form or a bad value."""
    if len(value) > MAX_HEADER:
        raise StateError("the header is over 4 KiB")
    form, _, body = value.strip().partition(" ")
    if form.upper() == "TEXT":
        pairs = _text_pairs(body)
    elif form.upper() == "JSON":
        pairs = _json_pairs(body)
    elif form.upper() == "BIN":
        from cedarmill.health.codecs.orca import parse_binary  # protobuf: only where an executor sends it

        return parse_binary(body.strip())
    else:
        raise StateError(f"form {form[:10]!r} is none of TEXT, JSON and BIN")
    found: dict[str, Any] = {name: {} for name in _MAPS}
    for key, number in pairs:
        if key in _TOP:
            found[key] = number
        elif (group := key.partition(".")[0]) in _MAPS and "." in key and len(found[group]) < MAX_METRICS:
            found[group][key.partition(".")[2]] = number
    return LoadReport(**found)  # names not known here are passed over


def _text_pairs(body: str) -> list[tuple[str, float]]:
    pairs = []
    for part in filter(None, (part.strip() for part in body.split(","))):
        key, equals, text = part.partition("=")
        if not equals:
            raise StateError(f"{part[:40]!r} is not NAME=VALUE")
        pairs.append((key.strip(), _number(text.strip(), key.strip())))
    return pairs


def _json_pairs(body: str) -> list[tuple[str, float]]:
    try:
        document = json.loads(body)
    except ValueError:
        raise StateError("JSON that cannot be read") from None
    if not isinstance(document, dict):
        raise StateError("JSON that is not an object")
    pairs = []
    for key, value in document.items():
        if key in _MAPS and isinstance(value, dict):
            pairs += [(f"{key}.{name}", _number(inner, name)) for name, inner in value.items()]
        elif key in _TOP:
            pairs.append((key, _number(value, key)))
    return pairs


def _number(value: Any, key: str) -> float:
    try:
        number = float(value) if not isinstance(value, bool) else math.nan
    except (TypeError, ValueError):
        number = math.nan
    if not (0 <= number < math.inf):
        raise StateError(f"{key}: {str(value)[:40]!r} is no number of 0 or more")
    return number
