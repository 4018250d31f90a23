"""Routes of the admin API: parsing of a method and a path into an action; no I/O.

The API is HTTP/1.1 with one request per connection; success is 2xx, failure 4xx or 5xx. The requests are
`GET /api/ready`, `PUT /api/exclude/ID`, `PUT /api/include/ID`,
`PUT /api/evacuate`, `PUT /api/rejoin`.
"""

import enum
import re
from dataclasses import dataclass
from http import HTTPStatus

from cedarmill.admin.errors import RequestRejectedError


class AdminAction(enum.Enum):
    """Action that a request asks the node to perform."""

    READY = "ready"
    EXCLUDE = "exclude"
    INCLUDE = "include"
    DRAIN_CLIENTS = "evacuate"  # Name on the wire.
    REJOIN = "rejoin"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A valid request: the action, and the executor's id if the action has one."""

    action: AdminAction
    executor: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Response to a request; the body is one line of plain text."""

    status: HTTPStatus
    body: bytes


@dataclass(frozen=True, slots=True)
class Route:
    """Allowed method of a path, and the action of the request."""

    method: bytes
    action: AdminAction


READY_PATH = b"/api/ready"
FIXED_ROUTES = {
    READY_PATH: Route(b"GET", AdminAction.READY),
    b"/api/evacuate": Route(b"PUT", AdminAction.DRAIN_CLIENTS),
    b"/api/rejoin": Route(b"PUT", AdminAction.REJOIN),
}
EXECUTOR_ROUTES = {  # Keyed by the path's prefix before the executor's id.
    b"/api/exclude/": Route(b"PUT", AdminAction.EXCLUDE),
    b"/api/include/": Route(b"PUT", AdminAction.INCLUDE),
}
# Printable ASCII without a slash; discovery has no longer names.
EXECUTOR_ID_PATTERN = re.compile(rb"[!-.0-~]{1,256}")


def parse_request(method: bytes, target: bytes) -> AdminRequest:
    """Parse a request line; raise RequestRejectedError for an unknown path, invalid id or wrong method."""
    path = target.partition(b"?")[0]
    if path in FIXED_ROUTES:
        route = FIXED_ROUTES[path]
        _check_method(method, route)
        return AdminRequest(route.action)
    for prefix, route in EXECUTOR_ROUTES.items():
        if path.startswith(prefix):
            executor = path[len(prefix) :]
            if not EXECUTOR_ID_PATTERN.fullmatch(executor):
                raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such executor")
            _check_method(method, route)
            return AdminRequest(route.action, executor.decode("ascii"))
    raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such call")


def _check_method(method: bytes, route: Route) -> None:
    """Raise RequestRejectedError if the route does not allow the method; GET routes also allow HEAD."""
    if method != route.method and not (route.method == b"GET" and method == b"HEAD"):
        raise RequestRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, f"{route.method.decode()} only")


def allowed_methods(target: bytes) -> bytes:
    """Return the `Allow` header's value for a path that was requested with the wrong method."""
    path = target.partition(b"?")[0]
    return b"GET, HEAD" if path == READY_PATH else b"PUT"
