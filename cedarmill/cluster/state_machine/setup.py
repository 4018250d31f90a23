"""Commands that initialize the cluster and advance its clock."""

from cedarmill.cluster.state import ClusterState
from cedarmill.cluster.state_machine.command import Command, Handlers


class AdvanceTime(Command, tag="tick", frozen=True):
    """Advance the cluster's clock, so that timed changes of the state are applied."""


class InitializeCluster(Command, tag="setup", frozen=True):
    """Initialize a new or restored cluster with its name, generation and slow start settings.

    `slow_start_share` is the share of its slots, in thousandths, that a returned executor counts with at the
    beginning of its slow start.
    """

    cluster: str
    generation: int
    slow_start_us: int
    slow_start_share: int


def advance_time(state: ClusterState, command: AdvanceTime) -> None:
    """Do nothing: the dispatcher advances the clock and applies timed changes after every command."""


def initialize(state: ClusterState, command: InitializeCluster) -> None:
    """Store the settings of the cluster; the generation never decreases."""
    state.cluster = command.cluster
    state.generation = max(state.generation, command.generation)
    state.slow_start_us, state.slow_start_share = command.slow_start_us, command.slow_start_share
    state.orders_epoch = state.epoch


HANDLERS: Handlers = {AdvanceTime: advance_time, InitializeCluster: initialize}
