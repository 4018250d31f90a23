"""Invariants of acting on orders: never older ones after newer, never after the lease."""

from collections.abc import Iterator

from cedarmill.lab.cluster.record import Record


def epochs_only_grow(record: Record) -> Iterator[str]:
    """What an actor acts on never has an older epoch than what it acted on before, for one target."""
    newest: dict[tuple[str, str], int] = {}
    for event in record.events:
        if not event.epoch or event.what not in ("acts", "taken", "follows"):
            continue
        key = event.who, event.target
        if event.epoch < (before := newest.get(key, 0)):
            acted = f"{event.who} acted on {event.target}"
            yield f"{event.time_text()}: {acted} by {event.epoch} after {before}"
        newest[key] = max(event.epoch, before)


def nothing_on_a_dead_lease(record: Record) -> Iterator[str]:
    """An actor that tells how old its lease was when it acted never acted on one that had run out."""
    for event in record.events:
        if event.what == "acts" and event.number < 0:
            late = f"{-event.number:.3f} s after its lease"
            yield f"{event.time_text()}: {event.who} acted on {event.target} {late}"
