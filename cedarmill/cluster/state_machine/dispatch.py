"""Applies entries of the replicated log to the agreed state through a table of handlers by command type.

The agreed clock is the latest time of any applied command and never goes back. A request whose idempotency
key was used before gets the stored outcome.
"""

import msgspec

from cedarmill.cluster.errors import RequestRejected, UnknownCommand
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine import (
    budgets,
    operator_statements,
    permit_queue,
    releases,
    rollout,
    sessions,
    setup,
    targets,
    zones,
)
from cedarmill.cluster.state_machine import permits as permit_commands
from cedarmill.cluster.state_machine import traffic as traffic_commands
from cedarmill.cluster.state_machine.command import Command, Handler, OperatorRequest
from cedarmill.cluster.state_machine.commands import AnyCommand
from cedarmill.cluster.traffic_control import schedule, shedding

MAX_OUTCOMES = 5000  # oldest outcomes are removed first
OUTCOME_RETENTION_US = 3_600_000_000
EXPIRY_CHECKS_PER_REQUEST = 4  # oldest outcomes checked for expiry after each request


def _with_rejection_as_outcome(handler: Handler) -> Handler:
    """Wrap a handler so that RequestRejected becomes the outcome of the request."""

    def handle(state: ClusterState, request: OperatorRequest) -> RequestOutcome:
        try:
            outcome = handler(state, request)
        except RequestRejected as error:
            return RequestOutcome(state.clock, False, str(error))
        return outcome or RequestOutcome(state.clock, True, "")

    return handle


_RAW_HANDLERS: dict[type[Command], Handler] = {
    **setup.HANDLERS,
    **sessions.HANDLERS,
    **targets.HANDLERS,
    **permit_commands.HANDLERS,
    **operator_statements.HANDLERS,
    **releases.HANDLERS,
    **budgets.HANDLERS,
    **traffic_commands.HANDLERS,
    **zones.HANDLERS,
}
HANDLERS: dict[type[Command], Handler] = {
    command_type: _with_rejection_as_outcome(handler)
    if issubclass(command_type, OperatorRequest)
    else handler
    for command_type, handler in _RAW_HANDLERS.items()
}

_DECODER = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: Command) -> bytes:
    """Return a command as encoded in the log."""
    return msgspec.msgpack.encode(command)


def apply(state: ClusterState, index: int, data: bytes) -> RequestOutcome:
    """Apply the log entry at `index` and return its outcome.

    Raise msgspec.MsgspecError if the data is not a valid command, and UnknownCommand if its type has no
    handler.
    """
    state.index = index
    command = _DECODER.decode(data)
    state.clock = max(state.clock, command.time_us)
    if isinstance(command, OperatorRequest):
        return _apply_request(state, command)
    _handler_of(command)(state, command)
    advance(state)
    return RequestOutcome(state.clock, True, "")


def _handler_of(command: Command) -> Handler:
    handler = HANDLERS.get(type(command))
    if handler is None:
        raise UnknownCommand(f"no handler for command type {type(command).__name__}")
    return handler


def _apply_request(state: ClusterState, request: OperatorRequest) -> RequestOutcome:
    """Apply a request, or return the stored outcome if its idempotency key was used before."""
    key = f"{request.requester}/{request.request_id}"
    if (previous_outcome := state.outcomes.get(key)) is not None:
        return previous_outcome
    outcome = _handler_of(request)(state, request) or RequestOutcome(state.clock, True, "")
    advance(state)
    state.outcomes[key] = outcome
    _evict_outcomes(state)
    return outcome


def _evict_outcomes(state: ClusterState) -> None:
    """Remove outcomes in excess of the maximum, and expired ones among the oldest."""
    excess = max(0, len(state.outcomes) - MAX_OUTCOMES)
    for key in list(state.outcomes)[:excess]:
        del state.outcomes[key]
    for key, outcome in list(state.outcomes.items())[:EXPIRY_CHECKS_PER_REQUEST]:
        if state.clock - outcome.time_us > OUTCOME_RETENTION_US:
            del state.outcomes[key]


def advance(state: ClusterState) -> None:
    """Re-evaluate permits, releases, the traffic plan and the admission level after a change of the state."""
    permit_queue.expire_waiting(state)
    permit_queue.grant_waiting(state)
    rollout.advance(state)
    schedule.review(state)
    shedding.update_admission(state)


def next_due(state: ClusterState) -> int | None:
    """Return the next cluster time (us) at which the state changes without a command; None if never."""
    times = [*rollout.due_times(state), *schedule.due_times(state)]
    if (time_us := permit_queue.next_due(state)) is not None:
        times.append(time_us)
    return min(times, default=None)
