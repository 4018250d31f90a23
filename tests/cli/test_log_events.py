"""The table of log events against the pages that explain it, and against every place that logs one."""

import ast
import logging
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from string import Formatter

import pytest

from cedarmill.log_events import EVENTS, Event

ROOT = Path(__file__).parents[2]
ON_CALL = ROOT / "docs/on-call.md"
TRANSLATED = ROOT / "docs/operators/log-events.md"
KEPT_LINES = {"serves", "admin-listening"}  # read by other programs, maybe of another version
LOGGED_BY_THE_LOG = {"log-lost"}  # `cedarmill/log.py` makes this line itself


def line_of(event: Event) -> str:
    """An event's line as the pages write it: `{seconds:.1f}` is `{seconds}` there."""
    parts = Formatter().parse(event.line)
    return "".join(text + (f"{{{name}}}" if name else "") for text, name, _, _ in parts)


def rows(page: Path, columns: int) -> Iterator[list[str]]:
    """The cells of each row of a page's one table, without its head."""
    for line in page.read_text().splitlines():
        if line.startswith("| `"):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            assert len(cells) == columns, line
            yield cells


def explained() -> dict[str, tuple[str, str, tuple[str, ...]]]:
    """What the on-call page says of each event: its line, its level and its fields."""
    found = {}
    for event, line, level, fields, meaning, action in rows(ON_CALL, 6):
        name = event.strip("`")
        assert name not in found, f"{name} stands on the page twice"
        assert meaning and action, f"{name} is not explained"
        assert fields == "none" or re.fullmatch(r"`\w+`(, `\w+`)*", fields), f"{name}: {fields}"
        found[name] = (line.strip("`"), level, tuple(re.findall(r"`(\w+)`", fields)))
    return found


def log_event_calls() -> Iterator[tuple[str, str, set[str]]]:
    """Every call of `log_event` in the package: where it stands, the event's id, the fields that it gives."""
    for path in sorted((ROOT / "cedarmill").rglob("*.py")):
        for call in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(call, ast.Call) and getattr(call.func, "id", "") == "log_event"):
                continue
            given, where = (
                {word.arg for word in call.keywords if word.arg != "error"},
                f"{path}:{call.lineno}",
            )
            first = call.args[0]
            for one in (first.body, first.orelse) if isinstance(first, ast.IfExp) else (first,):
                assert isinstance(one, ast.Constant), f"{where}: the id has to be written out"
                yield where, one.value, given


def test_the_on_call_page_and_the_table_say_the_same():
    """What the page does not explain, or explains otherwise, costs time at the worst moment."""
    in_table = {
        name: (line_of(event), logging.getLevelName(event.level), event.fields)
        for name, event in EVENTS.items()
    }
    assert explained() == in_table


def test_every_call_gives_the_fields_of_the_table():
    """A field that is missing is an exception where something has gone wrong already."""
    used = set()
    for where, name, given in log_event_calls():
        assert given == set(EVENTS[name].fields), f"{where}: {name}"
        used.add(name)
    assert used == EVENTS.keys() - LOGGED_BY_THE_LOG


def test_the_translation_leads_to_events_lines_and_fields_that_there_are():
    """Those who match the log by an earlier version's words find what to match now."""
    for old, new, fields, old_line, new_line in rows(TRANSLATED, 5):
        event = EVENTS[new.strip("`")]
        line = (old_line if new_line == "the same" else new_line).strip("`")
        assert line == line_of(event), old
        for name in re.findall(r"`\w+` -> `(\w+)`(?:;|$)", fields):
            assert name in event.fields, f"{old}: {name}"


@pytest.mark.parametrize("name", sorted(EVENTS))
def test_ids_lines_and_fields_hold_no_withdrawn_word(name):
    """But for lines that other programs read."""
    words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    text = [name, *EVENTS[name].fields, "" if name in KEPT_LINES else line_of(EVENTS[name])]
    assert sorted(words & set(re.findall(r"[a-z]+", " ".join(text).lower()))) == []


def test_the_lines_that_other_programs_read_are_as_they_were():
    """A process supervisor or a laboratory of an earlier version finds a node by them."""
    assert EVENTS["serves"].line == "node {name} serves on {host} port {port}"
    assert EVENTS["admin-listening"].line == "operators' door on {host} port {port}"
