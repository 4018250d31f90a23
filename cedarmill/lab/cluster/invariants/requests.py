"""Invariants of clients' requests: answered once, and kept where they may not leave."""

from collections.abc import Iterator

from cedarmill.lab.checker import no_forbidden_repeat, one_final_answer, true_results
from cedarmill.lab.cluster.record import Record, call_zones


def residents_stay(record: Record) -> Iterator[str]:
    """What may not leave its zone or region never reaches an executor beyond it, whatever is lost."""
    if record.history is None or not record.residency:
        return
    regions = {name: target["group"] for name, target in record.targets.items() if target["kind"] == "zone"}
    zones = call_zones(record)
    for visit in record.visits:
        within, home = record.residency.get(visit.job_class), zones.get(visit.id, "")
        if within is None or not home:
            continue
        here, there = (home, visit.zone) if within == "zone" else (regions[home], regions[visit.zone])
        if here != there:
            where = f"{visit.executor} in {visit.zone}"
            yield f"{visit.id} ({visit.job_class}) came to {home} and reached {where}"


def one_answer(record: Record) -> Iterator[str]:
    """Each call that stayed has one final answer, unless its connection broke; no forbidden repeat."""
    if record.history is not None:
        for rule in (one_final_answer, true_results, no_forbidden_repeat):
            yield from rule(record.history)
