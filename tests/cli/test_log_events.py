"""The table of log events agrees with its documentation and with every call that logs an event."""

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
ON_CALL_PAGE = ROOT / "docs/on-call.md"
TRANSLATION_PAGE = ROOT / "docs/operators/log-events.md"
PARSED_EVENTS = {"serves", "admin-listening"}  # lines parsed by other programs, also of other versions
EVENTS_OF_THE_LOG_MODULE = {"log-lost"}  # formatted by `cedarmill/log.py` without a call of log_event


def documented_line(event: Event) -> str:
    """Return an event's line without format specifications, as in the documentation."""
    parts = Formatter().parse(event.line)
    return "".join(text + (f"{{{name}}}" if name else "") for text, name, _, _ in parts)


def table_rows(page: Path, columns: int) -> Iterator[list[str]]:
    """Yield the cells of each row of a page's only table, without the header."""
    for line in page.read_text().splitlines():
        if line.startswith("| `"):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            assert len(cells) == columns, line
            yield cells


def documented_events() -> dict[str, tuple[str, str, tuple[str, ...]]]:
    """Return each event's line, level and fields from the on-call page."""
    events = {}
    for event, line, level, fields, meaning, action in table_rows(ON_CALL_PAGE, 6):
        name = event.strip("`")
        assert name not in events, f"{name} is on the page twice"
        assert meaning and action, f"{name} has no meaning or no action"
        assert fields == "none" or re.fullmatch(r"`\w+`(, `\w+`)*", fields), f"{name}: {fields}"
        events[name] = (line.strip("`"), level, tuple(re.findall(r"`(\w+)`", fields)))
    return events


def log_event_calls() -> Iterator[tuple[str, str, set[str]]]:
    """Yield the place, event id and fields of every call of `log_event` in the package."""
    for path in sorted((ROOT / "cedarmill").rglob("*.py")):
        for call in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(call, ast.Call) and getattr(call.func, "id", "") == "log_event"):
                continue
            fields, place = (
                {keyword.arg for keyword in call.keywords if keyword.arg != "error"},
                f"{path}:{call.lineno}",
            )
            event_id = call.args[0]
            for constant in (
                (event_id.body, event_id.orelse) if isinstance(event_id, ast.IfExp) else (event_id,)
            ):
                assert isinstance(constant, ast.Constant), f"{place}: the event id is not a literal"
                yield place, constant.value, fields


def test_the_on_call_page_lists_the_events_of_the_table():
    """Guards against undocumented events and outdated descriptions."""
    expected = {
        name: (documented_line(event), logging.getLevelName(event.level), event.fields)
        for name, event in EVENTS.items()
    }
    assert documented_events() == expected


def test_every_call_passes_the_fields_of_the_table():
    """A missing field raises an exception while an error is being logged."""
    logged = set()
    for place, name, fields in log_event_calls():
        assert fields == set(EVENTS[name].fields), f"{place}: {name}"
        logged.add(name)
    assert logged == EVENTS.keys() - EVENTS_OF_THE_LOG_MODULE


def test_the_translation_page_names_existing_events_lines_and_fields():
    """Guards against a page that misleads operators who update log filters of an earlier version."""
    for old, new, fields, old_line, new_line in table_rows(TRANSLATION_PAGE, 5):
        event = EVENTS[new.strip("`")]
        line = (old_line if new_line == "the same" else new_line).strip("`")
        assert line == documented_line(event), old
        for name in re.findall(r"`\w+` -> `(\w+)`(?:;|$)", fields):
            assert name in event.fields, f"{old}: {name}"


@pytest.mark.parametrize("name", sorted(EVENTS))
def test_ids_lines_and_fields_contain_no_withdrawn_word(name):
    """Lines parsed by other programs are exempt."""
    withdrawn_words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    texts = [name, *EVENTS[name].fields, "" if name in PARSED_EVENTS else documented_line(EVENTS[name])]
    assert sorted(withdrawn_words & set(re.findall(r"[a-z]+", " ".join(texts).lower()))) == []


def test_lines_parsed_by_other_programs_are_unchanged():
    """Process supervisors and laboratories of earlier versions parse these lines to find a node."""
    assert EVENTS["serves"].line == "node {name} serves on {host} port {port}"
    assert EVENTS["admin-listening"].line == "operators' door on {host} port {port}"
