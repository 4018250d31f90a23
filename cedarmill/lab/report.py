"""The report of one run of the laboratory, or of several side by side."""

import dataclasses
import html
from collections.abc import Callable, Iterator, Sequence

from cedarmill.lab.checker import check_history
from cedarmill.lab.figures import Figures, figures, latencies
from cedarmill.lab.history import History
from cedarmill.lab.html_page import BREACHES_SHOWN, US_PER_S, Axes, Row, picture, sum_by_second, table
from cedarmill.lab.html_page import page as html_page
from cedarmill.lab.load import SERVED

PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
_SHARES = ("served", "refused", "failed", "for_nobody")


def text_of(name: str, value: float) -> str:
    """One figure as people read it."""
    if name in _SHARES:
        return f"{value:.2%}"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def rows(histories: Sequence[History]) -> list[Row]:
    """The table of figures: a row a figure, a column a run."""
    columns = [figures(history) for history in histories]
    names = [field.name for field in dataclasses.fields(Figures)]
    figure_rows = [(name, [text_of(name, getattr(column, name)) for column in columns]) for name in names]
    return [*figure_rows, ("loop_lag_ms", [f"{history.lag / 1000:.1f}" for history in histories])]


def _label(history: History) -> str:
    return f"{history.side} (seed {history.seed})"


def _latency_plot(histories: Sequence[History]) -> str:
    def draw(axes: Axes) -> None:
        for history in histories:
            histogram = latencies(history)
            values = [histogram.get_value_at_percentile(part) / 1e6 for part in PERCENTILES]
            axes.plot([str(part) for part in PERCENTILES], values, marker="o", label=_label(history))

    return picture(draw, "Time from due to answer, of what was served", "percentile", "seconds")


def _second_plot(
    histories: Sequence[History],
    values: Callable[[History], Iterator[tuple[int, float]]],
    title: str,
    up: str,
) -> str:
    """A plot of values by second, a line for each run."""

    def draw(axes: Axes) -> None:
        for history in histories:
            bins = sum_by_second(values(history), history.length // US_PER_S + 1)
            axes.plot(range(len(bins)), bins, label=_label(history))

    return picture(draw, title, "second", up)


def _wasted_slot_time(history: History) -> Iterator[tuple[int, float]]:
    left = history.leave_times()
    for visit in history.visits:
        if visit.id in left and visit.began is not None:
            end = min(visit.ended or history.length, history.length)
            yield left[visit.id], max(0, end - max(visit.began, left[visit.id])) / 1e6


def _served(history: History) -> Iterator[tuple[int, float]]:
    return ((call.answers[0].at, 1) for call in history.calls if call.status == SERVED)


def _breaches(history: History) -> str:
    items = []
    for rule, breaches in check_history(history).items():
        verdict = f"<b class=bad>{len(breaches)} breaches</b>" if breaches else "kept"
        shown = "".join(f"<li>{html.escape(text)}</li>" for text in breaches[:BREACHES_SHOWN])
        items.append(f"<li>{html.escape(rule)}: {verdict}<ul>{shown}</ul></li>")
    return f"<h3>{html.escape(_label(history))}</h3><ul>{''.join(items)}</ul>"


def page(histories: Sequence[History]) -> str:
    """The whole report."""
    wasted = "Slot-time spent for nobody, by the second in which the client left"
    body = [
        table(["", *map(_label, histories)], rows(histories)),
        _latency_plot(histories),
        _second_plot(histories, _wasted_slot_time, wasted, "slot-seconds"),
        _second_plot(histories, _served, "Calls served", "calls a second"),
        "<h2>Rules</h2>",
        *map(_breaches, histories),
    ]
    return html_page(", ".join(dict.fromkeys(history.scenario for history in histories)), "".join(body))
