"""Roles of a replica and the allowed transitions (Raft, figure 4, with an additional pre-candidate role)."""

import enum


class RaftError(Exception):
    """Base class of the errors of the replicated log."""


class InvalidTransition(RaftError):
    """An attempted role transition that Raft does not allow; indicates a bug in this package."""


class Role(enum.Enum):
    """Role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # requests pre-votes before it raises its term
    CANDIDATE = "candidate"
    LEADER = "leader"


NEXT_ROLES = {
    Role.FOLLOWER: {
        Role.FOLLOWER,  # another leader or a newer term
        Role.PRE_CANDIDATE,  # election timeout
        Role.CANDIDATE,  # TimeoutNow from a leader that transfers its leadership
    },
    Role.PRE_CANDIDATE: {
        Role.FOLLOWER,  # a leader or a newer term
        Role.PRE_CANDIDATE,  # another election timeout
        Role.CANDIDATE,  # a majority granted the pre-vote
    },
    Role.CANDIDATE: {
        Role.FOLLOWER,  # a leader or a newer term
        Role.PRE_CANDIDATE,  # election timeout after a split vote
        Role.LEADER,  # a majority granted the vote
    },
    Role.LEADER: {
        Role.FOLLOWER,  # a newer term, lost contact with a majority, or removal from the cluster
    },
}


def check_transition(before: Role, after: Role) -> None:
    """Raise InvalidTransition if the role `after` must not follow the role `before`."""
    if after not in NEXT_ROLES[before]:
        raise InvalidTransition(f"invalid role transition: {before.value} -> {after.value}")
