"""Where a deadline comes from: the headers that say how long a client waits, read into one budget.

X-Budget-Ms is the platform's (protocol page). The others serve other installations: `grpc-timeout` as the
gRPC over HTTP/2 page defines it (at most 8 digits and a unit), `X-Envoy-Expected-Rq-Timeout-Ms` as Envoy's
router sets it (whole milliseconds), and `X-Deadline-Unix-Ms`, an absolute time.
"""

import re
from collections.abc import Callable, Mapping

from cedarmill.values import DeadlineOptions

_GRPC = re.compile(rb"([0-9]{1,8})([HMSmun])")
_GRPC_NS = {b"H": 3_600 * 10**9, b"M": 60 * 10**9, b"S": 10**9, b"m": 10**6, b"u": 10**3, b"n": 1}
MAX_DIGITS = 15  # of a whole number in a header: more is no time that a client waits


class BadDeadline(ValueError):
    """A header that holds no deadline, named in one line."""


def _whole(name: str, text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise BadDeadline(f"bad {name}")
    return int(text)


def _milliseconds(name: str, text: bytes, unix_us: int, options: DeadlineOptions, longest_us: int) -> int:
    return _whole(name, text) * 1000


def _grpc(name: str, text: bytes, unix_us: int, options: DeadlineOptions, longest_us: int) -> int:
    if (match := _GRPC.fullmatch(text)) is None:
        raise BadDeadline(f"bad {name}")
    return int(match[1]) * _GRPC_NS[match[2]] // 1000


def _absolute(name: str, text: bytes, unix_us: int, options: DeadlineOptions, longest_us: int) -> int:
    """The rest by our clock, less the bound on the clocks' difference: a fast front makes nobody late.

    A rest that no req of the class can have shows that the clocks differ by more than the bound, and says
    nothing else.
    """
    rest = _whole(name, text) * 1000 - unix_us
    if rest > longest_us + options.skew_us:
        raise BadDeadline(f"bad {name}: {rest // 1000} ms ahead, are the clocks set?")
    return max(0, rest - options.skew_us)


_READERS: dict[str, Callable[[str, bytes, int, DeadlineOptions, int], int]] = {
    "x-budget-ms": _milliseconds,
    "grpc-timeout": _grpc,
    "x-envoy-expected-rq-timeout-ms": _milliseconds,
    "x-deadline-unix-ms": _absolute,
}


def granted(headers: Mapping[bytes, bytes], options: DeadlineOptions, longest_us: int, unix_us: int) -> int:
    """The microseconds that the client still waits: the tightest of what its headers say.

    `longest_us` is the class's give-up time and bounds it; `unix_us` the time when the request came, read
    for absolute deadlines only. 0 says that the deadline is past. Raises BadDeadline for one that is
    malformed, or where no header says anything.
    """
    found = [
        _READERS[name](name, text, unix_us, options, longest_us)
        for name in options.sources
        if (text := headers.get(name.encode())) is not None
    ]
    if not found:
        raise BadDeadline(f"bad {options.sources[0]}")
    return min(longest_us, *found)
