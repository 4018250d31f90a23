"""Applies entries of the replicated log to the agreed state, by a table of command types.

The agreed clock is the greatest time that any leader has written; it never goes back. A request with the
idempotency key of an earlier one gets that one's outcome.
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

OUTCOMES_KEPT = 5000  # of requests, the oldest of which are forgotten first
OUTCOME_KEPT_US = 3_600_000_000  # how long an outcome is remembered
OUTCOMES_CHECKED = 4  # of the oldest, that are looked at after each request


def _answering(handler: Handler) -> Handler:
    """The same handler, with a rejection as its outcome."""

    def answer(state: ClusterState, request: OperatorRequest) -> RequestOutcome:
        try:
            outcome = handler(state, request)
        except RequestRejected as error:
            return RequestOutcome(state.clock, False, str(error))
        return outcome or RequestOutcome(state.clock, True, "")

    return answer


_BY_CONCERN: dict[type[Command], Handler] = {
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
    command_type: _answering(handler) if issubclass(command_type, OperatorRequest) else handler
    for command_type, handler in _BY_CONCERN.items()
}

_DECODER = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: Command) -> bytes:
    """A command as the log holds it."""
    return msgspec.msgpack.encode(command)


def apply(state: ClusterState, index: int, data: bytes) -> RequestOutcome:
    """Apply the entry at that index; the outcome.

    Raises msgspec.MsgspecError where the data is no command, UnknownCommand where the type has no handler.
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
        raise UnknownCommand(f"no handler for commands of the type {type(command).__name__}")
    return handler


def _apply_request(state: ClusterState, request: OperatorRequest) -> RequestOutcome:
    """Carry a request out once; a repeated one gets the first outcome."""
    key = f"{request.requester}/{request.request_id}"
    if (known := state.outcomes.get(key)) is not None:
        return known
    outcome = _handler_of(request)(state, request) or RequestOutcome(state.clock, True, "")
    advance(state)
    state.outcomes[key] = outcome
    _forget_outcomes(state)
    return outcome


def _forget_outcomes(state: ClusterState) -> None:
    excess = max(0, len(state.outcomes) - OUTCOMES_KEPT)
    for key in list(state.outcomes)[:excess]:
        del state.outcomes[key]
    for key, outcome in list(state.outcomes.items())[:OUTCOMES_CHECKED]:
        if state.clock - outcome.time_us > OUTCOME_KEPT_US:
            del state.outcomes[key]


def advance(state: ClusterState) -> None:
    """What follows of any change: waiting permits may be granted, releases and the traffic plan move on."""
    permit_queue.expire_waiting(state)
    permit_queue.grant_waiting(state)
    rollout.advance(state)
    schedule.review(state)
    shedding.update_admission(state)


def next_due(state: ClusterState) -> int | None:
    """When something changes by itself, in the cluster's time (us); None: not before another command."""
    times = [*rollout.due_times(state), *schedule.due_times(state)]
    if (time_us := permit_queue.next_due(state)) is not None:
        times.append(time_us)
    return min(times, default=None)
