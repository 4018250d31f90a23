"""Invariants of drains and permits: nothing reaches what is drained, nothing is lost or forgotten."""

from collections import defaultdict
from collections.abc import Iterator

from cedarmill.lab.cluster.history import Event
from cedarmill.lab.cluster.record import Record

NEVER = 1 << 62  # later than any time of a run


def no_work_after_drained(record: Record) -> Iterator[str]:
    """Once it was said that an executor is drained, nothing reaches it till it is back."""
    spans = _drained_spans(record)
    for visit in record.visits:
        for start, end in (*spans.get(visit.executor, ()), *spans.get(visit.zone, ())):
            if start < visit.at < end:
                after = (visit.at - start) / 1e6
                yield f"{visit.executor} got {visit.id} {after:.3f} s after it was drained"


def _drained_spans(record: Record) -> dict[str, list[tuple[int, int]]]:
    """From when to when each executor or zone was drained."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    for event in record.events:
        if event.what == "drained":
            since.setdefault(event.target, event.at)
        elif event.what == "returning" and event.target in since:
            spans[event.target].append((since.pop(event.target), event.at))
    for name, at in since.items():
        spans[name].append((at, NEVER))
    return spans


def no_job_lost_by_plan(record: Record) -> Iterator[str]:
    """A target that was drained before it was stopped had nothing left to lose."""
    for event in record.events:
        if event.what == "down" and event.note == "planned" and event.number:
            yield f"{event.time_text()}: {event.target} was stopped by plan with {event.number:.0f} jobs"


def permits_accounted_for(record: Record) -> Iterator[str]:
    """At the end every permit that was used is returned, or named as still out."""
    open_permits: dict[str, Event] = {}
    for event in record.events:
        if event.what == "taken":
            open_permits[event.target] = event
        elif event.what in ("back", "named"):
            open_permits.pop(event.target, None)
    for target, event in open_permits.items():
        yield f"{target}, taken by {event.who} at {event.time_text()}, is neither back nor named"
