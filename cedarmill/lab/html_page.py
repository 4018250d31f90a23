"""Reports as one HTML file: tables, and plots as pictures within it."""

import base64
import html
import io
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  what draws without a screen is chosen first

BREACHES_SHOWN = 20  # of a rule or an invariant
DOTS_PER_INCH = 110
FIGURE_INCHES = (9, 4)
US_PER_S = 1_000_000
STYLE = """body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}.bad{background:#fdd}img{max-width:100%}"""

Axes = Any  # of matplotlib
Row = tuple[str, list[str]]  # its name, and a cell for each column


def page(title: str, body: str) -> str:
    """The whole file; `body` is HTML."""
    title = html.escape(title)
    head = f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>"
    return f"{head}<h1>{title}</h1>{body}"


def table(head: Sequence[str], rows: Iterable[Row]) -> str:
    """A table of texts."""
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    lines = ""
    for name, row in rows:
        lines += f"<tr><td>{html.escape(name)}</td>"
        lines += "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
    return f"<table><tr>{cells}</tr>{lines}</table>"


def picture(draw: Callable[[Axes], None], title: str, across: str, up: str) -> str:
    """One plot as an element of the page; `draw` is given its axes, the others are labels."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    draw(axes)
    axes.set(title=title, xlabel=across, ylabel=up)
    axes.legend()
    axes.grid(alpha=0.3)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH, bbox_inches="tight")
    pyplot.close(figure)
    code = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="{html.escape(title)}" src="data:image/png;base64,{code}">'


def sum_by_second(values: Iterable[tuple[int, float]], bins: int) -> list[float]:
    """Values at their times (us), summed by second; what comes later counts in the last one."""
    sums = [0.0] * bins
    for at, value in values:
        sums[min(bins - 1, max(0, at // US_PER_S))] += value
    return sums
