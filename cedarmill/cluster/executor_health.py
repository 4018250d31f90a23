"""The health of executors, from what all nodes observe, so that no single node outvotes the rest. No I/O."""

from cedarmill.cluster import session_tracker
from cedarmill.cluster.messages import ExecutorObservation
from cedarmill.cluster.session_tracker import AT_ONCE, SessionTracker
from cedarmill.cluster.state import ClusterState, Target
from cedarmill.cluster.states import TargetHealth

FAILING_SHARE = 0.5  # of the nodes that have tried an executor lately: more have to find it failing
MASS_SHARE = 0.34  # of all executors that may become worse between two rounds and be believed
MASS_FEW = 2
SAME_START_MS = 20  # by which two nodes may differ on when an executor started


class ExecutorHealth:
    """What nodes report of executors, merged for the agreed state."""

    def __init__(self) -> None:
        self.changed: set[str] = set()  # names of which something was reported since the last round

    def merged(self, now: int, sessions: SessionTracker, name: str) -> Target | None:
        """One executor as most nodes observe it that report now; None where none reports it."""
        reports = _reports(now, sessions, name)
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
            _health(reports, listed),
            started_ms=newest.started_ms,
        )

    def changes(
        self, now: int, sessions: SessionTracker, state: ClusterState
    ) -> tuple[tuple[Target, ...], str]:
        """Targets that differ from the agreed ones; and why not all are believed, if too many got worse."""
        found, worse = [], 0
        for name in sorted(self.changed):
            target = self.merged(now, sessions, name)
            known = state.targets.get(f"executor:{name}")
            if target is None or (known is not None and _same(target, known)):
                continue
            worse += (
                known is not None
                and known.health == TargetHealth.WELL
                and target.health in (TargetHealth.ILL, TargetHealth.GONE)
            )
            found.append(target)
        self.changed.clear()
        count = sum(target.kind == "executor" for target in state.targets.values())
        if worse <= MASS_FEW or worse <= MASS_SHARE * count:
            return tuple(found), ""
        self.changed.update(target.name for target in found)  # to be looked at again
        well = tuple(target for target in found if target.health == TargetHealth.WELL)
        return well, f"{worse} of {count} executors seem ill or gone {AT_ONCE}"


def _reports(now: int, sessions: SessionTracker, name: str) -> list[ExecutorObservation]:
    """Of nodes that were heard lately and did not stand still."""
    return [
        session.executors[name]
        for key, session in sessions.by_key.items()
        if name in session.executors
        and not session.was_suspended
        and now - session.heard_at < session_tracker.LEASE_US
        and key.startswith("node:")
    ]


def _health(reports: list[ExecutorObservation], listed: list[ExecutorObservation]) -> TargetHealth:
    if not listed or len(listed) * 2 < len(reports):
        return TargetHealth.GONE
    if sum(report.listing == "draining" for report in reports) * 2 > len(reports):
        return TargetHealth.DRAINING
    return TargetHealth.ILL if _failing(reports) else TargetHealth.WELL


def _failing(reports: list[ExecutorObservation]) -> bool:
    """Most of those that have tried it lately say so, and more than one, where there are more."""
    recent = [report for report in reports if report.recently_tried]
    failing = sum(report.failing for report in recent)
    return failing > FAILING_SHARE * len(recent) and failing >= min(2, len(reports))


def _same(a: Target, b: Target) -> bool:
    same_start = abs(a.started_ms - b.started_ms) < SAME_START_MS
    fields = ("zone", "type", "group", "slots", "health")
    return same_start and all(getattr(a, name) == getattr(b, name) for name in fields)
