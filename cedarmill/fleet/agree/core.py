"""Old names of `node.py` and `state.py`, for modules that still use them."""

from typing import NamedTuple

from cedarmill.fleet.agree.node import RaftNode
from cedarmill.fleet.agree.roles import Role
from cedarmill.fleet.agree.state import PersistentState as Saved
from cedarmill.fleet.agree.state import Timing

__all__ = ["Agree", "Follower", "Saved", "Timing"]


class Follower(NamedTuple):
    """Old names of fields of FollowerProgress: `match_index` and `last_contact`."""

    match: int
    heard: int


class Agree(RaftNode):
    """RaftNode with the old names of its properties."""

    @property
    def part(self) -> Role:
        """The old name of `role`."""
        return self.role

    @property
    def due(self) -> int:
        """The old name of `deadline`."""
        return self.deadline

    @property
    def commit(self) -> int:
        """The old name of `commit_index`."""
        return self.commit_index

    @property
    def applied(self) -> int:
        """The old name of `commit_index`: what is committed is applied in the same step."""
        return self.commit_index

    @property
    def doubtful(self) -> bool:
        """The old name of `needs_catch_up`."""
        return self.needs_catch_up

    @property
    def followers(self) -> dict[str, Follower]:
        """The old name of `progress`."""
        return {name: Follower(one.match_index, one.last_contact) for name, one in self.progress.items()}
