"""Base types of all commands, and the type of the functions that apply them.

Commands are encoded as MessagePack arrays, so field names may change while the order of fields and the tags
may not.
"""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from cedarmill.cluster.state import ClusterState, RequestOutcome

DEFAULT_WAIT_US = 600_000_000  # how long a request for a permit waits to be granted


class Command(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log. `time_us` is the cluster's time at the leader that proposed it."""

    time_us: int


class OperatorRequest(Command, frozen=True):
    """A command that an operator, or a node on its behalf, has asked for.

    The pair of `requester` and `request_id` is the idempotency key: a repeated request gets the outcome of
    the first and changes nothing.
    """

    requester: str
    request_id: str


Handler = Callable[[ClusterState, Any], RequestOutcome | None]
Handlers = Mapping[type[Command], Handler]


def accepted(state: ClusterState, text: str, created_ids: list[int] | None = None) -> RequestOutcome:
    """The outcome of a request that was carried out."""
    return RequestOutcome(state.clock, True, text, created_ids or [])
