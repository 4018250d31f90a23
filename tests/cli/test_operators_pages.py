"""What operators read: the commands on their pages exist, links lead somewhere, terms are current."""

import re
import tomllib
from pathlib import Path

import click
import pytest

from cedarmill.cli import main
from tests.cli.test_help import OLD_NAMES

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "docs/on-call.md", *sorted((ROOT / "docs/operators").glob("*.md"))]
IDS = [path.name for path in PAGES]
TRANSLATIONS = ("log-events.md",)  # its purpose is to name old words
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
COMMAND = re.compile(r"\bcedarmill ((?:[a-z<-][^\n`#|]*)?)")
OPTIONS_WITH_VALUE = {"-c", "--conf", "--replicas", "--cluster", "--as"}


def named_command(words: list[str]) -> str:
    """The command that the words name, as far as they name one."""
    path, command, skip = "cedarmill", main, False
    for word in words:
        if skip or word.startswith("-"):
            skip = word in OPTIONS_WITH_VALUE and not skip
            continue
        if not isinstance(command, click.Group):
            break
        assert word in command.commands, f"{path}: no command {word}"
        path, command = f"{path} {word}", command.commands[word]
    return path


@pytest.mark.parametrize("page", PAGES, ids=IDS)
def test_commands_on_the_page_exist_and_are_not_old_names(page):
    for match in COMMAND.finditer(page.read_text()):
        words = match[1].split()
        if words and words[0].strip(",.:;)") in main.commands:
            path = named_command([word.strip(",.:;()") for word in words])
            assert not any(path.startswith(old) for old in OLD_NAMES), match[0]


@pytest.mark.parametrize("page", [*PAGES, ROOT / "README.md", ROOT / "docs/glossary.md"], ids=str)
def test_links_lead_to_files(page):
    for target in LINK.findall(page.read_text()):
        if not target.startswith("http"):
            assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=IDS)
def test_the_page_uses_no_withdrawn_word_but_in_quotations(page):
    """Names in XML, calls, log lines that are kept and the output of commands stand between backticks."""
    if page.name in TRANSLATIONS:
        return
    words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    text = re.sub(r"```.*?```|`[^`]*`|^    .*?$|\]\([^)]*\)", " ", page.read_text(), flags=re.S | re.M)
    assert sorted(words & set(re.findall(r"[a-z]+", text.lower()))) == []


def test_the_glossary_is_in_alphabetical_order():
    """A reader who meets an old word looks it up by its first letter."""
    tables: list[list[str]] = []
    for line in (ROOT / "docs/glossary.md").read_text().splitlines():
        if line.startswith("| ---"):
            tables.append([])
        elif line.startswith("| ") and not line.startswith("| old "):
            tables[-1].append(re.sub("[^a-z ]", "", line.split("|")[1].strip().lower()))
    assert len(tables) == 3
    for rows in tables:
        assert rows == sorted(rows)
