"""Every command's help, read by one who has never seen our pages; old names of commands and options."""

import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from cedarmill.cli import main

ROOT = Path(__file__).parents[2]
WITHDRAWN = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
OLD_NAMES = {
    "cedarmill keeper": "replica",
    "cedarmill steward": "supervisor",
    "cedarmill fleet": "cluster",
    "cedarmill cluster keepers": "replicas",
    "cedarmill cluster cut": "shed",
    "cedarmill lab fleet": "cluster",
}
KEPT_NAMES = ("evacuate-zone",)  # its old name stays the one name


def commands(group: click.Group = main, path: str = "cedarmill") -> Iterator[tuple[str, click.Command]]:
    """Every command with its words, each once: under old names of groups only the group itself."""
    for name, command in group.commands.items():
        words = f"{path} {name}"
        yield words, command
        if isinstance(command, click.Group) and words not in OLD_NAMES:
            yield from commands(command, words)


COMMANDS = dict(commands())
NEW = sorted(COMMANDS.keys() - OLD_NAMES.keys())


def run(*words: str) -> Result:
    return CliRunner().invoke(main, list(words))


def help_of(words: str) -> str:
    found = run(*words.split()[1:], "--help")
    assert found.exit_code == 0, found.output
    return found.output


@pytest.mark.parametrize("words", NEW)
def test_help_says_what_it_does_with_every_option_argument_and_exit_code(words):
    command = COMMANDS[words]
    assert isinstance(command, click.Group) or "Exit codes:" in help_of(words)
    text = command.help or ""
    first = text.split("\n\n")[0].strip()
    assert re.fullmatch(r"[A-Z][^\n]{9,69}\.", first), f"no short first sentence: {first!r}"
    for one in command.params:
        if isinstance(one, click.Option):
            assert one.help, f"{one.opts}: no help"
        else:
            name = (one.metavar or one.name or "").strip("[].").upper()
            assert name in text or getattr(one.type, "choices", ()), (
                f"{name}: the text does not say what it is"
            )


@pytest.mark.parametrize("words", ["cedarmill", *NEW])
def test_help_uses_no_withdrawn_word_but_to_name_an_old_name(words):
    text = help_of(words)
    text = re.sub(r"\w+ +Old name of `\w+`\.", "", text)
    text = re.sub(r"--keepers\b|keeper is\s+the\s+old\s+word|\|keeper\]", "", text)
    for name in KEPT_NAMES:
        text = text.replace(name, "")
    assert sorted(WITHDRAWN & set(re.findall(r"[a-z]+", text.lower()))) == []


@pytest.mark.parametrize(("old", "new"), OLD_NAMES.items())
def test_an_old_name_works_and_its_help_says_that_it_is_one(old, new):
    path, _, name = old.rpartition(" ")
    assert re.search(rf"^  {name} +Old name of `{new}`\.$", help_of(path), re.M)
    assert f"Old name of `{new}`, which does the same." in help_of(old)
    before, now = COMMANDS[old], COMMANDS[f"{path} {new}"]
    assert before.callback is now.callback and before.params is now.params
    assert getattr(before, "commands", None) is getattr(now, "commands", None)


@pytest.mark.parametrize(
    ("words", "wrong"),
    [
        (("cluster", "--replicas", "127.0.0.1:1", "status"), "--replicas takes --cluster"),
        (("fleet", "--keepers", "127.0.0.1:1", "status"), "--replicas takes --cluster"),
        (("cluster", "status"), "give -c FILE, or --replicas and --cluster"),
        (("cluster", "shed", "set", "--share", "50%"), "--below: needed with set"),
        (("fleet", "cut", "set", "--part", "50%"), "--below: needed with set"),
        (("lab", "cluster", "--replicas", "3"), "name a scenario, or ask with --list"),
        (("lab", "fleet", "--keepers", "3"), "name a scenario, or ask with --list"),
        (("replica", "-c", "/nowhere.xml"), "No such file or directory"),
        (("keeper", "-c", "/nowhere.xml"), "No such file or directory"),
        (("supervisor", "-c", "/nowhere.xml"), "No such file or directory"),
        (("steward", "-c", "/nowhere.xml"), "No such file or directory"),
    ],
)
def test_old_and_new_names_end_bad_input_alike(words, wrong):
    found = run(*words)
    assert found.exit_code == 2
    assert wrong in found.output and found.output.count("\n") == 1


def test_the_old_kind_of_a_replica_is_asked_for_under_both_names(monkeypatch):
    """Stored data hold the old word."""
    from cedarmill.cluster.messages import ReadReply
    from cedarmill.net.cluster.operator import OperatorClient

    asked = []
    monkeypatch.setattr(OperatorClient, "ask", lambda _, request: asked.append(request) or ReadReply(b"[]"))
    for kind in ("replica", "keeper"):
        words = ("cluster", "--replicas", "127.0.0.1:1", "--cluster", "c", "drain", "k0", "--kind", kind)
        assert run(*words, "--dry-run").exit_code == 0
    assert [request.kind for request in asked] == ["keeper", "keeper"]
