"""The calls of the operators' door as a table: method and path in, what to do out; no I/O.

The door is HTTP/1.1 with one call for each connection; yes is 2xx, no is 4xx or 5xx. The calls are those
of the operators' page: `GET /api/ready`, `PUT /api/exclude/ID`, `PUT /api/include/ID`, `PUT /api/evacuate`,
`PUT /api/rejoin`.
"""

import enum
import re
from dataclasses import dataclass


class Act(enum.Enum):
    """What a call asks of the node."""

    READY = "ready"
    EXCLUDE = "exclude"
    INCLUDE = "include"
    EVACUATE = "evacuate"
    REJOIN = "rejoin"


@dataclass(frozen=True, slots=True)
class Call:
    """A call understood: what to do, and to which executor where one is named."""

    act: Act
    executor: str = ""


class Refused(Exception):
    """A call that gets a no before anything is done: its status, and a line for the operator."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


# (path or prefix, whether an executor's id follows) -> method, act
_FIXED = {b"/api/ready": (b"GET", Act.READY), b"/api/evacuate": (b"PUT", Act.EVACUATE),
          b"/api/rejoin": (b"PUT", Act.REJOIN)}  # fmt: skip
_NAMED = {b"/api/exclude/": Act.EXCLUDE, b"/api/include/": Act.INCLUDE}
# discovery's names: printable, no slash; longer ones are no executor's
EXECUTOR_ID = re.compile(rb"[!-.0-~]{1,256}")


def understand(method: bytes, target: bytes) -> Call:
    """The call behind a request line; raises Refused with 404 (no such path or executor id) or 405."""
    path = target.partition(b"?")[0]
    if path in _FIXED:
        wanted, act = _FIXED[path]
        _method(method, wanted)
        return Call(act)
    for prefix, act in _NAMED.items():
        if path.startswith(prefix):
            name = path[len(prefix) :]
            if not EXECUTOR_ID.fullmatch(name):
                raise Refused(404, "no such executor")
            _method(method, b"PUT")
            return Call(act, name.decode("ascii"))
    raise Refused(404, "no such call")


def _method(method: bytes, wanted: bytes) -> None:
    if method != wanted and not (wanted == b"GET" and method == b"HEAD"):
        raise Refused(405, f"{wanted.decode()} only")


def allowed(target: bytes) -> bytes:
    """The `Allow` header's value for a path that was asked with the wrong method."""
    path = target.partition(b"?")[0]
    return b"GET, HEAD" if path == b"/api/ready" else b"PUT"
