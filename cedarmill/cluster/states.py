"""The states of members, targets, permits and releases; the values are those of snapshots and of JSON.

The state holds them as plain strings, as it always has: a snapshot with a value that is not known here is
still read.
"""

import enum


class MemberState(enum.StrEnum):
    """Of one incarnation of a process that has a session."""

    LIVE = "live"
    SILENT = "silent"  # its lease has expired
    UNREACHABLE = "cut-off"  # its lease has expired, and others reach it: it serves on
    ENDED = "ended"


class TargetHealth(enum.StrEnum):
    """Of an executor, a node, a replica or a zone."""

    WELL = "well"
    ILL = "ill"  # most nodes that tried it find it failing
    SILENT = "silent"
    DRAINING = "draining"  # as discovery lists it
    GONE = "gone"  # no longer listed


class PermitState(enum.StrEnum):
    """Of a permit; `permit_states.STATES` has the transitions."""

    WAITING = "waiting"
    GRANTED = "granted"
    LOST = "lost"  # its holder fell silent: the target counts as out until it is found
    RETURNED = "returned"
    REFUSED = "refused"
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"


class ReleaseState(enum.StrEnum):
    """Of a release; `release_states.STATES` has the transitions."""

    PLANNED = "planned"
    RUNNING = "running"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "backing"
    ROLL_BACK_HALTED = "back-halted"
    ROLLED_BACK = "backed"


class StepState(enum.StrEnum):
    """Of a unit within a release; `release_states.STEPS` has the transitions."""

    OLD = "old"
    REQUESTING = "asking"  # waits for its permit
    CHANGING = "changing"
    NEW = "new"
    FAILED = "failed"
    ROLL_BACK_REQUESTING = "back-asking"
    ROLLING_BACK = "back-changing"
    RESTORED = "restored"
    STUCK = "stuck"  # failed on the way back
