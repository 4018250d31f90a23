"""One HTML file for one run or several side by side: the tables, and plots as pictures within it."""

import base64
import dataclasses
import html
import io
from collections.abc import Callable, Sequence

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend without a screen comes first

from cedarmill.lab.checker import check_history  # noqa: E402
from cedarmill.lab.figures import Figures, figures, latencies  # noqa: E402
from cedarmill.lab.history import History  # noqa: E402

PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
SHOWN = 20  # breaches of a rule in a report
_SHARES = ("served", "refused", "failed", "for_nobody")
STYLE = """body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}.bad{background:#fdd}img{max-width:100%}"""


def text_of(name: str, value: float) -> str:
    """One figure as people read it."""
    if name in _SHARES:
        return f"{value:.2%}"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def rows(stories: Sequence[History]) -> list[tuple[str, list[str]]]:
    """The table of figures: a row a figure, a column a run."""
    found = [figures(story) for story in stories]
    table = [(field.name, [text_of(field.name, getattr(one, field.name)) for one in found])
             for field in dataclasses.fields(Figures)]  # fmt: skip
    return [*table, ("loop_lag_ms", [f"{story.lag / 1000:.1f}" for story in stories])]


def _label(story: History) -> str:
    return f"{story.side} (seed {story.seed})"


def picture(draw: Callable, title: str, across: str, up: str) -> str:
    """One plot as an element of the page; `draw` is given its axes."""
    figure, axes = pyplot.subplots(figsize=(9, 4))
    draw(axes)
    axes.set(title=title, xlabel=across, ylabel=up)
    axes.legend()
    axes.grid(alpha=0.3)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    pyplot.close(figure)
    code = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="{html.escape(title)}" src="data:image/png;base64,{code}">'


def _latency(stories: Sequence[History]) -> str:
    def draw(axes) -> None:
        for story in stories:
            histogram = latencies(story)
            values = [histogram.get_value_at_percentile(part) / 1e6 for part in PERCENTILES]
            axes.plot([str(part) for part in PERCENTILES], values, marker="o", label=_label(story))

    return picture(draw, "Time from due to answer, of what was served", "percentile", "seconds")


def _nobody(stories: Sequence[History]) -> str:
    def draw(axes) -> None:
        for story in stories:
            left = {call.id: call.left for call in story.calls if call.left is not None}
            bins = [0.0] * (story.length // 1_000_000 + 1)
            for visit in story.visits:
                if visit.id in left and visit.began is not None:
                    end = min(visit.ended or story.length, story.length)
                    second = min(len(bins) - 1, max(0, left[visit.id] // 1_000_000))
                    bins[second] += max(0, end - max(visit.began, left[visit.id])) / 1e6
            axes.plot(range(len(bins)), bins, label=_label(story))

    return picture(
        draw, "Slot-time spent for nobody, by the second in which the client left", "second", "slot-seconds"
    )


def _served(stories: Sequence[History]) -> str:
    def draw(axes) -> None:
        for story in stories:
            bins = [0] * (story.length // 1_000_000 + 1)
            for call in story.calls:
                if call.answers and call.answers[0].status == 200:
                    bins[min(len(bins) - 1, call.answers[0].at // 1_000_000)] += 1
            axes.plot(range(len(bins)), bins, label=_label(story))

    return picture(draw, "Calls served", "second", "calls a second")


def _table(head: Sequence[str], body: Sequence[tuple[str, Sequence[str]]]) -> str:
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    lines = ""
    for name, row in body:
        lines += f"<tr><td>{html.escape(name)}</td>"
        lines += "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
    return f"<table><tr>{cells}</tr>{lines}</table>"


def _breaches(story: History) -> str:
    parts = []
    for rule, found in check_history(story).items():
        verdict = "kept" if not found else f"<b class=bad>{len(found)} breaches</b>"
        items = "".join(f"<li>{html.escape(text)}</li>" for text in found[:SHOWN])
        parts.append(f"<li>{html.escape(rule)}: {verdict}<ul>{items}</ul></li>")
    return f"<h3>{html.escape(_label(story))}</h3><ul>{''.join(parts)}</ul>"


def page(stories: Sequence[History]) -> str:
    """The whole report."""
    title = html.escape(", ".join(dict.fromkeys(story.scenario for story in stories)))
    head = ["", *map(_label, stories)]
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
        + _table(head, rows(stories)) + _latency(stories) + _nobody(stories) + _served(stories)
        + "<h2>Rules</h2>" + "".join(map(_breaches, stories))
    )  # fmt: skip
