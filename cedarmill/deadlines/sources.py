"""Where a deadline comes from: the headers that say how long a client waits, read into one budget.

X-Budget-Ms is the platform's (protocol page). The others serve other installations: `grpc-timeout` as the
gRPC over HTTP/2 page defines it (at most 8 digits and a unit), `X-Envoy-Expected-Rq-Timeout-Ms` as Envoy's
router sets it (whole milliseconds), and `X-Deadline-Unix-Ms`, an absolute time.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cedarmill.values import DeadlineOptions

_GRPC = re.compile(rb"([0-9]{1,8})([HMSmun])")
_GRPC_NS = {b"H": 3_600 * 10**9, b"M": 60 * 10**9, b"S": 10**9, b"m": 10**6, b"u": 10**3, b"n": 1}
MAX_DIGITS = 15  # of a whole number in a header: more is no time that a client waits


class InvalidDeadline(ValueError):
    """A header holds no deadline; the text names it in one line."""


class ClocksDiffer(InvalidDeadline):
    """An absolute deadline that only a clock out of step can have written."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a reader of a header needs beside it."""

    options: DeadlineOptions
    longest_us: int  # the class's give-up time
    unix_us: int  # Unix time when the request came


def _whole(name: str, text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise InvalidDeadline(f"bad {name}")
    return int(text)


def _milliseconds(name: str, text: bytes, bounds: Bounds) -> int:
    return _whole(name, text) * 1000


def _grpc(name: str, text: bytes, bounds: Bounds) -> int:
    if (match := _GRPC.fullmatch(text)) is None:
        raise InvalidDeadline(f"bad {name}")
    return int(match[1]) * _GRPC_NS[match[2]] // 1000


def _absolute(name: str, text: bytes, bounds: Bounds) -> int:
    """Return the rest by our clock, less the bound on the clocks' difference: a fast front makes nobody late.

    A rest that no request of the class can have shows that the clocks differ by more than the bound, and says
    nothing else.
    """
    rest = _whole(name, text) * 1000 - bounds.unix_us
    if rest > bounds.longest_us + bounds.options.skew_us:
        raise ClocksDiffer(f"bad {name}: {rest // 1000} ms ahead, are the clocks set?")
    return max(0, rest - bounds.options.skew_us)


_READERS: dict[str, Callable[[str, bytes, Bounds], int]] = {
    "x-budget-ms": _milliseconds,
    "grpc-timeout": _grpc,
    "x-envoy-expected-rq-timeout-ms": _milliseconds,
    "x-deadline-unix-ms": _absolute,
}


def granted_budget(
    headers: Mapping[bytes, bytes], options: DeadlineOptions, longest_us: int, unix_us: int
) -> int:
    """Return the microseconds that the client still waits: the tightest of what its headers say.

    `longest_us` is the class's give-up time and bounds it; `unix_us` the time when the request came, read
    for absolute deadlines only. 0 says that the deadline is past. Raises InvalidDeadline for one that is
    malformed, or where no header says anything; ClocksDiffer, one of its kind, where clocks are out of step.
    """
    bounds = Bounds(options, longest_us, unix_us)
    budgets = [
        _READERS[name](name, text, bounds)
        for name in options.sources
        if (text := headers.get(name.encode())) is not None
    ]
    if not budgets:
        raise InvalidDeadline(f"bad {options.sources[0]}")
    return min(longest_us, *budgets)
