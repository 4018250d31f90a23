"""The admin API as a table: method and path in, what to do out; no I/O.

The API is HTTP/1.1 with one request for each connection; success is 2xx, failure 4xx or 5xx. The requests are
those of the operators' page: `GET /api/ready`, `PUT /api/exclude/ID`, `PUT /api/include/ID`,
`PUT /api/evacuate`, `PUT /api/rejoin`.
"""

import enum
import re
from dataclasses import dataclass
from http import HTTPStatus

from cedarmill.admin.errors import RequestRejectedError


class AdminAction(enum.Enum):
    """What a request asks of the node."""

    READY = "ready"
    EXCLUDE = "exclude"
    INCLUDE = "include"
    DRAIN_CLIENTS = "evacuate"  # the name on the wire
    REJOIN = "rejoin"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A valid request: what to do, and to which executor where one is named."""

    action: AdminAction
    executor: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The answer to a request; `body` is plain text, one line."""

    status: HTTPStatus
    body: bytes


@dataclass(frozen=True, slots=True)
class Route:
    """The method that a path takes, and what it does."""

    method: bytes
    action: AdminAction


READY_PATH = b"/api/ready"
FIXED_ROUTES = {
    READY_PATH: Route(b"GET", AdminAction.READY),
    b"/api/evacuate": Route(b"PUT", AdminAction.DRAIN_CLIENTS),
    b"/api/rejoin": Route(b"PUT", AdminAction.REJOIN),
}
EXECUTOR_ROUTES = {  # by the part of the path before the executor's id
    b"/api/exclude/": Route(b"PUT", AdminAction.EXCLUDE),
    b"/api/include/": Route(b"PUT", AdminAction.INCLUDE),
}
# discovery's names: printable, no slash; a longer one is no executor's
EXECUTOR_ID = re.compile(rb"[!-.0-~]{1,256}")


def parse_request(method: bytes, target: bytes) -> AdminRequest:
    """Parse a request line; raises RequestRejectedError: 404 (no such path or executor id) or 405."""
    path = target.partition(b"?")[0]
    if path in FIXED_ROUTES:
        route = FIXED_ROUTES[path]
        _check_method(method, route)
        return AdminRequest(route.action)
    for prefix, route in EXECUTOR_ROUTES.items():
        if path.startswith(prefix):
            executor = path[len(prefix) :]
            if not EXECUTOR_ID.fullmatch(executor):
                raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such executor")
            _check_method(method, route)
            return AdminRequest(route.action, executor.decode("ascii"))
    raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such call")


def _check_method(method: bytes, route: Route) -> None:
    """Raise RequestRejectedError for another method than the route's; HEAD goes with GET."""
    if method != route.method and not (route.method == b"GET" and method == b"HEAD"):
        raise RequestRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, f"{route.method.decode()} only")


def allowed_methods(target: bytes) -> bytes:
    """The `Allow` header's value for a path that was requested with the wrong method."""
    path = target.partition(b"?")[0]
    return b"GET, HEAD" if path == READY_PATH else b"PUT"
