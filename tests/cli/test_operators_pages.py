"""Operators' documentation: commands exist, links resolve, terms are current."""

import re
import tomllib
from pathlib import Path

import click
import pytest

from cedarmill.cli import main
from tests.cli.test_help import OLD_NAMES

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "docs/on-call.md", *sorted((ROOT / "docs/operators").glob("*.md"))]
PAGE_NAMES = [path.name for path in PAGES]
TRANSLATION_PAGES = ("log-events.md",)  # these pages list old words
LINK_PATTERN = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
COMMAND_PATTERN = re.compile(r"\bcedarmill ((?:[a-z<-][^\n`#|]*)?)")
OPTIONS_WITH_VALUE = {"-c", "--conf", "--replicas", "--cluster", "--as"}


def command_path(words: list[str]) -> str:
    """Return the path of the command at the start of the words, without options and arguments."""
    path, command, is_option_value = "cedarmill", main, False
    for word in words:
        if is_option_value or word.startswith("-"):
            is_option_value = word in OPTIONS_WITH_VALUE and not is_option_value
            continue
        if not isinstance(command, click.Group):
            break
        assert word in command.commands, f"{path}: no command {word}"
        path, command = f"{path} {word}", command.commands[word]
    return path


@pytest.mark.parametrize("page", PAGES, ids=PAGE_NAMES)
def test_commands_on_the_page_exist_under_current_names(page):
    for match in COMMAND_PATTERN.finditer(page.read_text()):
        words = match[1].split()
        if words and words[0].strip(",.:;)") in main.commands:
            path = command_path([word.strip(",.:;()") for word in words])
            assert not any(path.startswith(old) for old in OLD_NAMES), match[0]


@pytest.mark.parametrize("page", [*PAGES, ROOT / "README.md", ROOT / "docs/glossary.md"], ids=str)
def test_links_lead_to_existing_files(page):
    for target in LINK_PATTERN.findall(page.read_text()):
        if not target.startswith("http"):
            assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=PAGE_NAMES)
def test_the_page_contains_withdrawn_words_only_in_code(page):
    """XML names, API calls, parsed log lines and command output are in code spans or code blocks."""
    if page.name in TRANSLATION_PAGES:
        return
    withdrawn_words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    text = re.sub(r"```.*?```|`[^`]*`|^    .*?$|\]\([^)]*\)", " ", page.read_text(), flags=re.S | re.M)
    assert sorted(withdrawn_words & set(re.findall(r"[a-z]+", text.lower()))) == []


def test_glossary_tables_are_in_alphabetical_order():
    """Readers look up old words by their first letter."""
    tables: list[list[str]] = []
    for line in (ROOT / "docs/glossary.md").read_text().splitlines():
        if line.startswith("| ---"):
            tables.append([])
        elif line.startswith("| ") and not line.startswith("| old "):
            tables[-1].append(re.sub("[^a-z ]", "", line.split("|")[1].strip().lower()))
    assert len(tables) == 3
    for terms in tables:
        assert terms == sorted(terms)
