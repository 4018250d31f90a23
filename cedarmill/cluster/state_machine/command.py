"""Base types of commands, and the type of the functions that apply commands.

Commands are encoded as MessagePack arrays: fields may be renamed, but their order and the tags must not
change.
"""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from cedarmill.cluster.state import ClusterState, RequestOutcome

DEFAULT_PERMIT_WAIT_US = 600_000_000


class Command(msgspec.Struct, array_like=True, frozen=True):
    """A command in the replicated log; `time_us` is the cluster time at which the leader proposed it."""

    time_us: int


class OperatorRequest(Command, frozen=True):
    """A command requested by an operator, or by a node on an operator's behalf.

    The pair of `requester` and `request_id` is the idempotency key: a repeated request changes nothing and
    gets the outcome of the first one.
    """

    requester: str
    request_id: str


Handler = Callable[[ClusterState, Any], RequestOutcome | None]
Handlers = Mapping[type[Command], Handler]


def accepted(state: ClusterState, text: str, created_ids: list[int] | None = None) -> RequestOutcome:
    """Return the outcome of a successful request."""
    return RequestOutcome(state.clock, True, text, created_ids or [])
