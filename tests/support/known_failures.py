"""A pytest plugin: passes over the tests that `KNOWN-RED.txt` names, and prints them after the run.

`--known-red` runs just these tests instead, so that the command of an entry shows its failure.

Each line of the file names one test, the command that shows its failure, the seed, what was seen and the open
issue, separated by ` | `. All other tests decide the result of the run as ever.
"""

from dataclasses import dataclass, fields
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
OPTION = "--known-red"


@dataclass(frozen=True)
class KnownFailure:
    """One line of the file."""

    test: str  # pytest's node id
    command: str
    seed: str
    seen: str
    issue: str


class MalformedFile(ValueError):
    """The file has a line without all fields."""


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the failures that a file names; none if it does not exist.

    Raises MalformedFile, which names the file and the line.
    """
    if not path.exists():
        return []
    failures = [_parse(line, number) for number, line in enumerate(path.read_text().splitlines(), start=1)]
    return failures


def _parse(line: str, number: int) -> KnownFailure:
    values = [value.strip() for value in line.split(SEPARATOR)]
    names = [field.name for field in fields(KnownFailure)]
    if len(values) != len(names) or not all(values):
        raise MalformedFile(f"{FILE_NAME}, line {number}: expected {SEPARATOR.join(names)!r}, got {line!r}")
    return KnownFailure(*values)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs just the tests that are known to fail."""
    parser.addoption(OPTION, action="store_true", help=f"run just the tests that {FILE_NAME} names")


def _known_failures(config: pytest.Config) -> list[KnownFailure]:
    try:
        return read_known_failures(config.rootpath / FILE_NAME)
    except MalformedFile as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Skip the tests that are known to fail, or keep only those under the option."""
    issues = {failure.test: failure.issue for failure in _known_failures(config)}
    if config.getoption(OPTION):
        config.hook.pytest_deselected(items=[item for item in items if item.nodeid not in issues])
        items[:] = [item for item in items if item.nodeid in issues]
        return
    for item in items:
        if item.nodeid in issues:
            item.add_marker(pytest.mark.skip(reason=f"{FILE_NAME}: {issues[item.nodeid]}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each test that was passed over."""
    if config.getoption(OPTION):
        return
    for failure in _known_failures(config):
        terminalreporter.write_line(f"known failure, passed over: {failure.test} ({failure.issue})")
