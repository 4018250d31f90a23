"""Parses the request headers that carry a client's deadline into one time budget.

`X-Budget-Ms` is the platform's own header. Other installations use `grpc-timeout` as defined by gRPC over
HTTP/2 (at most 8 digits and a unit), `X-Envoy-Expected-Rq-Timeout-Ms` as set by Envoy's router (whole
milliseconds), or `X-Deadline-Unix-Ms`, an absolute time.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cedarmill.values import DeadlineOptions

_GRPC_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_GRPC_UNIT_NS = {b"H": 3_600 * 10**9, b"M": 60 * 10**9, b"S": 10**9, b"m": 10**6, b"u": 10**3, b"n": 1}
MAX_INTEGER_DIGITS = 15  # Longer numbers in a header are rejected as implausible times.


class InvalidDeadline(ValueError):
    """A deadline header is missing or malformed; the one-line message names the header."""


class ClockSkewExceeded(InvalidDeadline):
    """An absolute deadline is so far ahead that the sender's clock must be wrong."""


@dataclass(frozen=True, slots=True)
class ParseContext:
    """Parameters of header parsing that are the same for all headers of a request."""

    options: DeadlineOptions
    max_budget_us: int  # maximum budget of the request's class
    arrived_unix_us: int  # Unix time at which the request arrived


def _parse_integer(name: str, text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS:
        raise InvalidDeadline(f"bad {name}")
    return int(text)


def _parse_milliseconds(name: str, text: bytes, context: ParseContext) -> int:
    return _parse_integer(name, text) * 1000


def _parse_grpc_timeout(name: str, text: bytes, context: ParseContext) -> int:
    if (match := _GRPC_TIMEOUT.fullmatch(text)) is None:
        raise InvalidDeadline(f"bad {name}")
    return int(match[1]) * _GRPC_UNIT_NS[match[2]] // 1000


def _parse_absolute_deadline(name: str, text: bytes, context: ParseContext) -> int:
    """Return the time until an absolute deadline by this node's clock, less the maximum clock skew.

    Raise ClockSkewExceeded if more time remains than a request of the class may have, because then the clocks
    differ by more than the maximum skew.
    """
    remaining = _parse_integer(name, text) * 1000 - context.arrived_unix_us
    if remaining > context.max_budget_us + context.options.skew_us:
        raise ClockSkewExceeded(f"bad {name}: {remaining // 1000} ms ahead, are the clocks set?")
    return max(0, remaining - context.options.skew_us)


_PARSERS: dict[str, Callable[[str, bytes, ParseContext], int]] = {
    "x-budget-ms": _parse_milliseconds,
    "grpc-timeout": _parse_grpc_timeout,
    "x-envoy-expected-rq-timeout-ms": _parse_milliseconds,
    "x-deadline-unix-ms": _parse_absolute_deadline,
}


def parse_budget(
    headers: Mapping[bytes, bytes], options: DeadlineOptions, max_budget_us: int, arrived_unix_us: int
) -> int:
    """Return a request's remaining budget (us): the smallest one in its headers, or 0 for a passed deadline.

    The class's `max_budget_us` caps the result. `arrived_unix_us`, the Unix time of the request's arrival, is
    used for absolute deadlines only. Raise InvalidDeadline if a configured header is malformed or none is
    present, and its subclass ClockSkewExceeded if the clocks differ too much.
    """
    context = ParseContext(options, max_budget_us, arrived_unix_us)
    budgets = [
        _PARSERS[name](name, text, context)
        for name in options.sources
        if (text := headers.get(name.encode())) is not None
    ]
    if not budgets:
        raise InvalidDeadline(f"bad {options.sources[0]}")
    return min(max_budget_us, *budgets)
