"""Executor health merged from the observations of all nodes by majority. This module performs no I/O."""

from cedarmill.cluster import session_tracker
from cedarmill.cluster.messages import ExecutorObservation
from cedarmill.cluster.session_tracker import MASS_LOSS_MARKER, SessionTracker
from cedarmill.cluster.state import ClusterState, Target
from cedarmill.cluster.states import TargetHealth

FAILING_SHARE = 0.5  # of the nodes with recent attempts; a larger share marks an executor as ill
# Bounds on executors that turn ill or gone between two rounds. Beyond both, only improvements are accepted.
MAX_WORSENED_SHARE = 0.34  # of all executors
MAX_WORSENED_COUNT = 2
START_TIME_TOLERANCE_MS = 20  # difference between reported start times of the same start


class ExecutorHealth:
    """Merges the nodes' reports on executors for the agreed state."""

    def __init__(self) -> None:
        self.changed_names: set[str] = set()  # names of executors reported on since the last round

    def merge_reports(self, now: int, sessions: SessionTracker, name: str) -> Target | None:
        """Return one executor as the majority of current reports describes it, or None without reports."""
        reports = _current_reports(now, sessions, name)
        if not reports:
            return None
        listed = [report for report in reports if report.listing != "gone"]
        newest = max(listed or reports, key=lambda report: report.started_ms)
        return Target(
            "executor",
            name,
            newest.zone,
            newest.type,
            newest.group,
            newest.slots,
            _merged_health(reports, listed),
            started_ms=newest.started_ms,
        )

    def changes(
        self, now: int, sessions: SessionTracker, state: ClusterState
    ) -> tuple[tuple[Target, ...], str]:
        """Return the changed targets, and a reason if too many worsened and these are withheld."""
        changed_targets, worsened = [], 0
        for name in sorted(self.changed_names):
            target = self.merge_reports(now, sessions, name)
            agreed = state.targets.get(f"executor:{name}")
            if target is None or (agreed is not None and _are_equal(target, agreed)):
                continue
            worsened += (
                agreed is not None
                and agreed.health == TargetHealth.HEALTHY
                and target.health in (TargetHealth.FAILING, TargetHealth.UNLISTED)
            )
            changed_targets.append(target)
        self.changed_names.clear()
        executor_count = sum(target.kind == "executor" for target in state.targets.values())
        if worsened <= MAX_WORSENED_COUNT or worsened <= MAX_WORSENED_SHARE * executor_count:
            return tuple(changed_targets), ""
        # These are checked again in the next round.
        self.changed_names.update(target.name for target in changed_targets)
        healthy_targets = tuple(target for target in changed_targets if target.health == TargetHealth.HEALTHY)
        return (
            healthy_targets,
            f"{worsened} of {executor_count} executors seem ill or gone {MASS_LOSS_MARKER}",
        )


def _current_reports(now: int, sessions: SessionTracker, name: str) -> list[ExecutorObservation]:
    """Return the reports on one executor from nodes with a valid lease that were not suspended."""
    return [
        session.executors[name]
        for key, session in sessions.by_key.items()
        if name in session.executors
        and not session.was_suspended
        and now - session.last_heartbeat_at < session_tracker.LEASE_US
        and key.startswith("node:")
    ]


def _merged_health(reports: list[ExecutorObservation], listed: list[ExecutorObservation]) -> TargetHealth:
    if not listed or len(listed) * 2 < len(reports):
        return TargetHealth.UNLISTED
    if sum(report.listing == "draining" for report in reports) * 2 > len(reports):
        return TargetHealth.DRAINING
    return TargetHealth.FAILING if _is_failing(reports) else TargetHealth.HEALTHY


def _is_failing(reports: list[ExecutorObservation]) -> bool:
    """Return whether most nodes with recent attempts, and at least two if two report, report failures."""
    recent = [report for report in reports if report.recently_tried]
    failing_reports = sum(report.failing for report in recent)
    return failing_reports > FAILING_SHARE * len(recent) and failing_reports >= min(2, len(reports))


def _are_equal(first: Target, second: Target) -> bool:
    has_same_start = abs(first.started_ms - second.started_ms) < START_TIME_TOLERANCE_MS
    fields = ("zone", "type", "group", "slots", "health")
    return has_same_start and all(getattr(first, name) == getattr(second, name) for name in fields)
