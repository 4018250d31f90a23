"""What a run comes to: `verdict.json`, and one HTML file with a plot of what was out, granted and served."""

import html
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import msgspec

from cedarmill.lab.cluster.invariants import check_invariants
from cedarmill.lab.cluster.record import OutOverTime, Record, call_zones, most_out
from cedarmill.lab.figures import count_outcomes
from cedarmill.lab.html_page import BREACHES_SHOWN, US_PER_S, Axes, Row, picture, sum_by_second
from cedarmill.lab.html_page import page as html_page
from cedarmill.lab.load import SERVED

COUNTS = (
    "calls",
    "served",
    "refused",
    "failed",
    "broken",
    "granted",
    "refused_permits",
    "drained",
    "most_out_by_plan",
    "most_out_in_all",
    "crossed",
    "plans",
)


class Verdict(msgspec.Struct):
    """The counts of one run. Times in seconds."""

    scenario: str
    seed: int
    invariants: dict[str, list[str]] = msgspec.field(name="laws")
    most_out_by_plan: int
    most_out_in_all: int
    calls: int
    served: int
    refused: int
    failed: int
    broken: int  # a connection broke under them, as where a node was killed
    granted: int
    refused_permits: int
    drained: int
    wait_for_grant: list[float]  # from asked to taken
    wait_for_drained: list[float]  # from taken to drained
    crossed: float = 0.0  # share of attempts at executors of another zone than that to which the call came
    plans: int = 0  # of traffic, that any node followed

    @property
    def kept(self) -> bool:
        """Whether no invariant was broken."""
        return not any(self.invariants.values())


def make_verdict(record: Record) -> Verdict:
    """The invariants and the counts."""
    history = record.played()
    kinds = [event.what for event in record.events]
    outcomes, (by_plan, in_all) = count_outcomes(history.calls), most_out(record)
    return Verdict(
        scenario=history.scenario,
        seed=history.seed,
        invariants=check_invariants(record),
        most_out_by_plan=by_plan,
        most_out_in_all=in_all,
        calls=len(history.calls),
        served=outcomes.served,
        refused=outcomes.refused,
        failed=outcomes.failed,
        broken=sum(call.broken for call in history.calls),
        granted=kinds.count("taken"),
        refused_permits=kinds.count("refused"),
        drained=kinds.count("drained"),
        wait_for_grant=_waits(record, "asked", "taken"),
        wait_for_drained=_waits(record, "taken", "drained"),
        crossed=_crossed(record),
        plans=len({event.epoch for event in record.events if event.what == "follows" and event.epoch}),
    )


def _waits(record: Record, first: str, then: str) -> list[float]:
    """Seconds from one kind of event to another, target by target."""
    since: dict[str, int] = {}
    waits = []
    for event in record.events:
        if event.what == first:
            since[event.target] = event.at
        elif event.what == then and event.target in since:
            waits.append(round((event.at - since.pop(event.target)) / 1e6, 3))
    return waits


def _crossed(record: Record) -> float:
    zones = call_zones(record)
    known = [visit for visit in record.visits if zones.get(visit.id)]
    away = sum(visit.zone != zones[visit.id] for visit in known)
    return round(away / max(1, len(known)), 4)


def _row(invariant: str, texts: list[str]) -> str:
    shown = "<br>".join(map(html.escape, texts[:BREACHES_SHOWN]))
    mark = "bad" if texts else "good"
    return f"<tr class={mark}><td>{invariant}</td><td>{len(texts)}</td><td>{shown}</td></tr>"


def _draw_out(record: Record, axes: Axes) -> None:
    out = OutOverTime(record)
    times, planned, in_all = [], [], []
    for event in record.events:
        out.apply(event)
        times.append(event.at / 1e6)
        planned.append(len(out.planned))
        in_all.append(len(out.all_out()))
    axes.step(times, planned, where="post", label="out by plan")
    axes.step(times, in_all, where="post", label="out in all, with losses", linestyle="--")
    for event in record.events:
        if event.who == "lab":
            axes.axvline(event.at / 1e6, color="0.85", linewidth=0.8)


def _draw_permits(record: Record, axes: Axes) -> None:
    for kind in ("asked", "taken", "drained", "back"):
        times = [event.at / 1e6 for event in record.events if event.what == kind]
        axes.step(times, range(1, len(times) + 1), where="post", label=kind)


def _bins(record: Record) -> int:
    return record.played().length // US_PER_S + 2


def _draw_calls(record: Record, axes: Axes) -> None:
    bins = _bins(record)
    calls = record.played().calls
    for label, served in (("served", True), ("refused, failed or broken", False)):
        due = ((call.due, 1) for call in calls if (call.status == SERVED) == served)
        axes.step(range(bins), sum_by_second(due, bins), where="post", label=label)


def _draw_zones(record: Record, axes: Axes) -> None:
    bins = _bins(record)
    for zone in sorted({visit.zone for visit in record.visits}):
        visits = ((visit.at, 1) for visit in record.visits if visit.zone == zone)
        axes.step(range(bins), sum_by_second(visits, bins), where="post", label=zone)


def page(record: Record, verdict: Verdict) -> str:
    """The report as one file."""
    plots: list[tuple[Callable[[Record, Axes], None], str, str]] = [
        (_draw_out, "Out at once (grey: a fault begins)", "targets"),
        (_draw_permits, "Permits", "so far"),
        (_draw_calls, "Calls by the second in which they were due", "calls"),
        (_draw_zones, "Attempts by zone", "attempts"),
    ]
    rows = "".join(_row(invariant, texts) for invariant, texts in verdict.invariants.items())
    pictures = [picture(partial(draw, record), title, "seconds", up) for draw, title, up in plots]
    table = f"<table><tr><th>law</th><th>breaches</th><th></th></tr>{rows}</table>"
    return html_page(f"{verdict.scenario}, seed {verdict.seed}", table + "".join(pictures))


def write_report(record: Record, folder: Path) -> Verdict:
    """`verdict.json` and `report.html` into the folder; raises OSError."""
    verdict = make_verdict(record)
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict), indent=1))
    (folder / "report.html").write_text(page(record, verdict))
    return verdict


def verdict_rows(verdicts: Sequence[Verdict]) -> list[Row]:
    """A row a figure, a column a run."""
    rows = [(name, [str(getattr(verdict, name)) for verdict in verdicts]) for name in COUNTS]
    broken = [str(sum(map(bool, verdict.invariants.values()))) for verdict in verdicts]
    return [*rows, ("laws broken", broken)]
