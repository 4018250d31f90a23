"""Invariants of what the replicas agree on: one leader, one log, one outcome for one request."""

from collections.abc import Iterator

from cedarmill.lab.cluster import linearizability
from cedarmill.lab.cluster.record import Record


def same_id_same_outcome(record: Record) -> Iterator[str]:
    """A request that is repeated under its id gets the same permit, however often it is asked."""
    first_permits: dict[tuple[str, str], float] = {}
    for event in record.events:
        if event.what == "answer":
            first = first_permits.setdefault((event.who, event.target), event.number)
            if first != event.number:
                permits = f"{first:.0f} and {event.number:.0f}"
                yield f"{event.time_text()}: {event.who} got permits {permits} by one id"


def one_leader_a_term(record: Record) -> Iterator[str]:
    """No two replicas lead in one term."""
    leaders: dict[int, str] = {}
    for event in record.events:
        if event.what == "leads" and (first := leaders.setdefault(event.epoch, event.who)) != event.who:
            yield f"{event.time_text()}: {event.who} leads in term {event.epoch}, and so did {first}"


def replicas_agree(record: Record) -> Iterator[str]:
    """What one replica has applied at an index, no other applies otherwise."""
    yield from record.disagreements


def grants_in_one_order(record: Record) -> Iterator[str]:
    """Grants, refusals and returns fit one order, each between its asking and its answer."""
    if breach := linearizability.find_breach(record):
        yield breach
