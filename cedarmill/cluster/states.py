"""The states of members, targets, permits and releases, with their values in snapshots and JSON.

`ClusterState` declares these fields as plain strings, so that snapshots with unknown values can be decoded.
"""

import enum


class MemberState(enum.StrEnum):
    """State of a member: one incarnation of a process with a session."""

    LIVE = "live"
    SILENT = "silent"  # The lease has expired.
    UNREACHABLE = "cut-off"  # The lease has expired, but other members reach the process, which still serves.
    ENDED = "ended"


class TargetHealth(enum.StrEnum):
    """Health of a target: an executor, a node, a replica or a zone."""

    HEALTHY = "well"
    FAILING = "ill"  # Most nodes that tried the target report failures.
    SILENT = "silent"
    DRAINING = "draining"  # Discovery lists the target as draining.
    UNLISTED = "gone"  # Discovery no longer lists the target.


class PermitState(enum.StrEnum):
    """State of a permit; `permit_states.TRANSITIONS` defines the transitions."""

    WAITING = "waiting"
    GRANTED = "granted"
    LOST = "lost"  # The holder is lost; the target still counts as out of service.
    RETURNED = "returned"
    REFUSED = "refused"
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"


class ReleaseState(enum.StrEnum):
    """State of a release; `release_states.RELEASE_TRANSITIONS` defines the transitions."""

    PLANNED = "planned"
    RUNNING = "running"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "backing"
    ROLL_BACK_HALTED = "back-halted"
    ROLLED_BACK = "backed"


class StepState(enum.StrEnum):
    """State of a unit within a release; `release_states.STEP_TRANSITIONS` defines the transitions."""

    OLD = "old"
    REQUESTING = "asking"  # The unit waits for its permit.
    CHANGING = "changing"
    NEW = "new"
    FAILED = "failed"
    ROLL_BACK_REQUESTING = "back-asking"
    ROLLING_BACK = "back-changing"
    RESTORED = "restored"
    STUCK = "stuck"  # The unit failed while it was rolled back.
