"""What a run comes to: `verdict.json`, and one HTML file with a plot of what was out, granted and served."""

import html
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import msgspec  # noqa: E402  the backend without a screen comes first

from cedarmill.lab.cluster.invariants import check_invariants  # noqa: E402
from cedarmill.lab.cluster.record import OutOverTime, Record, call_zones, most_out  # noqa: E402
from cedarmill.lab.report import STYLE, picture  # noqa: E402

SHOWN = 20  # breaches of a law in the page


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
        return not any(self.invariants.values())


def _waits(record: Record, first: str, then: str) -> list[float]:
    since: dict[str, int] = {}
    found = []
    for event in record.events:
        if event.what == first:
            since[event.target] = event.at
        elif event.what == then and event.target in since:
            found.append(round((event.at - since.pop(event.target)) / 1e6, 3))
    return found


def verdict_of(record: Record) -> Verdict:
    """The laws and the counts."""
    calls = record.history.calls
    statuses = [call.answers[0].status for call in calls if call.answers]
    kinds = [event.what for event in record.events]
    served, refused = statuses.count(200), sum(status in (429, 503) for status in statuses)
    return Verdict(
        record.history.scenario, record.history.seed, check_invariants(record),
        *most_out(record), len(calls), served, refused,
        len(statuses) - served - refused, sum(call.broken for call in calls), kinds.count("taken"),
        kinds.count("refused"), kinds.count("drained"), _waits(record, "asked", "taken"),
        _waits(record, "taken", "drained"), *_crossing(record))  # fmt: skip


def _crossing(record: Record) -> tuple[float, int]:
    came = call_zones(record)
    known = [visit for visit in record.visits if came.get(visit.id)]
    away = sum(visit.zone != came[visit.id] for visit in known)
    plans = {event.epoch for event in record.events if event.what == "follows" and event.epoch}
    return round(away / max(1, len(known)), 4), len(plans)


def _over_time(record: Record) -> tuple[list[float], list[int], list[int]]:
    out, times, planned, all_ = OutOverTime(record), [], [], []
    for event in record.events:
        out.apply(event)
        times.append(event.at / 1e6)
        planned.append(len(out.planned))
        all_.append(len(set(out.planned) | set(out.lost)))
    return times, planned, all_


def _served(record: Record) -> tuple[list[int], list[int], list[int]]:
    """By second: served, and anything else."""
    length = record.history.length // 1_000_000 + 1
    good, bad = [0] * (length + 1), [0] * (length + 1)
    for call in record.history.calls:
        second = min(length, call.due // 1_000_000)
        served = bool(call.answers) and call.answers[0].status == 200
        (good if served else bad)[second] += 1
    return list(range(length + 1)), good, bad


def _row(law: str, texts: list[str]) -> str:
    shown = "<br>".join(map(html.escape, texts[:SHOWN]))
    return f"<tr class={'bad' if texts else 'good'}><td>{law}</td><td>{len(texts)}</td><td>{shown}</td></tr>"


def page(record: Record, found: Verdict) -> str:
    """The report as one file."""

    def out(axes) -> None:
        times, planned, all_ = _over_time(record)
        axes.step(times, planned, where="post", label="out by plan")
        axes.step(times, all_, where="post", label="out in all, with losses", linestyle="--")
        for event in record.events:
            if event.who == "lab":
                axes.axvline(event.at / 1e6, color="0.85", linewidth=0.8)

    def served(axes) -> None:
        seconds, good, bad = _served(record)
        axes.step(seconds, good, where="post", label="served")
        axes.step(seconds, bad, where="post", label="refused, failed or broken")

    def granted(axes) -> None:
        for kind in ("asked", "taken", "drained", "back"):
            times = [event.at / 1e6 for event in record.events if event.what == kind]
            axes.step(times, range(1, len(times) + 1), where="post", label=kind)

    def zones(axes) -> None:
        length = record.history.length // 1_000_000 + 1
        for zone in sorted({visit.zone for visit in record.visits}):
            counts = [0] * (length + 1)
            for visit in record.visits:
                if visit.zone == zone:
                    counts[min(length, visit.at // 1_000_000)] += 1
            axes.step(range(length + 1), counts, where="post", label=zone)

    rows = "".join(_row(law, texts) for law, texts in found.invariants.items())
    pictures = picture(out, "Out at once (grey: a fault begins)", "seconds", "targets")
    pictures += picture(granted, "Permits", "seconds", "so far")
    pictures += picture(served, "Calls by the second in which they were due", "seconds", "calls")
    pictures += picture(zones, "Attempts by zone", "seconds", "attempts")
    title = f"{found.scenario}, seed {found.seed}"
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
        f"<table><tr><th>law</th><th>breaches</th><th></th></tr>{rows}</table>{pictures}"
    )


def write(record: Record, folder: Path) -> Verdict:
    """`verdict.json` and `report.html` into the folder; raises OSError."""
    found = verdict_of(record)
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1))
    (folder / "report.html").write_text(page(record, found))
    return found


def table(verdicts: Sequence[Verdict]) -> list[tuple[str, list[str]]]:
    """A row a figure, a column a run."""
    names = ("calls", "served", "refused", "failed", "broken", "granted", "refused_permits", "drained",
             "most_out_by_plan", "most_out_in_all", "crossed", "plans")  # fmt: skip
    rows = [(name, [str(getattr(one, name)) for one in verdicts]) for name in names]
    return [*rows, ("laws broken", [str(sum(map(bool, one.invariants.values()))) for one in verdicts])]
