"""The roles of a replica, and which may follow which (Raft, figure 4, with the role that pre-vote adds)."""

import enum


class RaftError(Exception):
    """Base of the errors of the replicated log."""


class InvalidTransition(RaftError):
    """A replica was about to take a role that cannot follow its present one: a defect of this package."""


class Role(enum.Enum):
    """What a replica is at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether it would be elected, before it raises its term
    CANDIDATE = "candidate"
    LEADER = "leader"


NEXT_ROLES = {
    Role.FOLLOWER: {
        Role.FOLLOWER,  # another leader, or a newer term
        Role.PRE_CANDIDATE,  # the election timeout
        Role.CANDIDATE,  # TimeoutNow: the leader transfers its leadership
    },
    Role.PRE_CANDIDATE: {
        Role.FOLLOWER,  # a leader or a newer term
        Role.PRE_CANDIDATE,  # the election timeout, once more
        Role.CANDIDATE,  # a majority would vote for it
    },
    Role.CANDIDATE: {
        Role.FOLLOWER,  # a leader or a newer term
        Role.PRE_CANDIDATE,  # the election timeout: the vote was split
        Role.LEADER,  # a majority has voted for it
    },
    Role.LEADER: {
        Role.FOLLOWER,  # a newer term, no contact to a majority, or no member of the cluster any longer
    },
}


def check_transition(before: Role, after: Role) -> None:
    """Raise InvalidTransition where `after` is not one of the roles that may follow `before`."""
    if after not in NEXT_ROLES[before]:
        raise InvalidTransition(f"a {before.value} cannot become a {after.value}")
