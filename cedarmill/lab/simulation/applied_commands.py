"""A cluster's state to which commands are applied one after the other, as every replica does."""

import copy
from typing import Self

import msgspec

from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.command import Command
from cedarmill.cluster.state_machine.dispatch import apply, encode, next_due
from cedarmill.cluster.state_machine.setup import AdvanceTime
from cedarmill.lab.simulation.clock import SECOND


class AppliedCommands:
    """The state, its time (us) and the index of the last entry."""

    def __init__(self, world: ClusterState) -> None:
        self.world, self.now, self.index = world, SECOND, 0

    def apply(self, command: Command) -> RequestOutcome:
        """Apply one command; what came of it."""
        self.index += 1
        return apply(self.world, self.index, encode(command))

    def pass_time(self, us: int) -> None:
        """Let it pass, with what is due meanwhile."""
        end = self.now + us
        while (at := next_due(self.world)) is not None and at <= end:
            self.now = max(at, self.now)
            self.apply(AdvanceTime(self.now))
        self.now = end
        self.apply(AdvanceTime(self.now))

    def copy(self) -> Self:
        """The same, to be changed by itself."""
        return copy.deepcopy(self)

    def encoded_state(self) -> bytes:
        """All that is agreed, but for words to people."""
        return msgspec.msgpack.encode(msgspec.structs.replace(self.world, log=[]))
