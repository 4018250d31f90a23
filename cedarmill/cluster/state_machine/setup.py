"""The first entry of a cluster, and the passing of time."""

from cedarmill.cluster.state import ClusterState
from cedarmill.cluster.state_machine.command import Command, Handlers


class AdvanceTime(Command, tag="tick", frozen=True):
    """Something is due at this time: applying any command carries it out."""


class InitializeCluster(Command, tag="setup", frozen=True):
    """The first entry of a new or restored cluster: its name, generation, and slow start of executors.

    `slow_start_share` is the part of its slots, in thousandths, that a returned executor counts at first.
    """

    cluster: str
    generation: int
    slow_start_us: int
    slow_start_share: int


def advance_time(state: ClusterState, command: AdvanceTime) -> None:
    """Nothing of its own."""


def initialize(state: ClusterState, command: InitializeCluster) -> None:
    """Take over the settings of the cluster; the generation never falls."""
    state.cluster = command.cluster
    state.generation = max(state.generation, command.generation)
    state.slow_start_us, state.slow_start_share = command.slow_start_us, command.slow_start_share
    state.orders_epoch = state.epoch


HANDLERS: Handlers = {AdvanceTime: advance_time, InitializeCluster: initialize}
