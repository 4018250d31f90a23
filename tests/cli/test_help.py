"""Help texts of all commands, and old names of commands and options."""

import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from cedarmill.cli import main

ROOT = Path(__file__).parents[2]
WITHDRAWN_WORDS = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
OLD_NAMES = {
    "cedarmill keeper": "replica",
    "cedarmill steward": "supervisor",
    "cedarmill fleet": "cluster",
    "cedarmill cluster keepers": "replicas",
    "cedarmill cluster cut": "shed",
    "cedarmill lab fleet": "cluster",
}
UNRENAMED_COMMANDS = ("evacuate-zone",)  # command names that still hold a withdrawn word


def walk_commands(group: click.Group = main, path: str = "cedarmill") -> Iterator[tuple[str, click.Command]]:
    """Yield each command with its full path; skip the sub-commands of groups under an old name."""
    for name, command in group.commands.items():
        command_path = f"{path} {name}"
        yield command_path, command
        if isinstance(command, click.Group) and command_path not in OLD_NAMES:
            yield from walk_commands(command, command_path)


COMMANDS = dict(walk_commands())
CURRENT_COMMANDS = sorted(COMMANDS.keys() - OLD_NAMES.keys())


def run_command(*words: str) -> Result:
    return CliRunner().invoke(main, list(words))


def help_text(words: str) -> str:
    result = run_command(*words.split()[1:], "--help")
    assert result.exit_code == 0, result.output
    return result.output


@pytest.mark.parametrize("words", CURRENT_COMMANDS)
def test_help_describes_the_command_and_all_options_arguments_and_exit_codes(words):
    command = COMMANDS[words]
    assert isinstance(command, click.Group) or "Exit codes:" in help_text(words)
    text = command.help or ""
    first_sentence = text.split("\n\n")[0].strip()
    assert re.fullmatch(r"[A-Z][^\n]{9,69}\.", first_sentence), (
        f"the first sentence is not short: {first_sentence!r}"
    )
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            assert parameter.help, f"{parameter.opts}: no help"
        else:
            name = (parameter.metavar or parameter.name or "").strip("[].").upper()
            assert name in text or getattr(parameter.type, "choices", ()), (
                f"{name}: the help does not describe the argument"
            )


@pytest.mark.parametrize("words", ["cedarmill", *CURRENT_COMMANDS])
def test_help_contains_withdrawn_words_only_as_old_names(words):
    text = help_text(words)
    text = re.sub(r"\w+ +Old name of `\w+`\.", "", text)
    text = re.sub(r"--keepers\b|keeper is\s+the\s+old\s+word|\|keeper\]", "", text)
    for name in UNRENAMED_COMMANDS:
        text = text.replace(name, "")
    assert sorted(WITHDRAWN_WORDS & set(re.findall(r"[a-z]+", text.lower()))) == []


@pytest.mark.parametrize(("old", "new"), OLD_NAMES.items())
def test_old_name_runs_the_same_command_and_its_help_names_the_new_one(old, new):
    path, _, name = old.rpartition(" ")
    assert re.search(rf"^  {name} +Old name of `{new}`\.$", help_text(path), re.M)
    assert f"Old name of `{new}`, which does the same." in help_text(old)
    old_command, new_command = COMMANDS[old], COMMANDS[f"{path} {new}"]
    assert old_command.callback is new_command.callback and old_command.params is new_command.params
    assert getattr(old_command, "commands", None) is getattr(new_command, "commands", None)


@pytest.mark.parametrize(
    ("words", "error"),
    [
        (("cluster", "--replicas", "127.0.0.1:1", "status"), "--replicas requires --cluster"),
        (("fleet", "--keepers", "127.0.0.1:1", "status"), "--replicas requires --cluster"),
        (("cluster", "status"), "-c FILE is required, or --replicas and --cluster"),
        (("cluster", "shed", "set", "--share", "50%"), "--below is required with set"),
        (("fleet", "cut", "set", "--part", "50%"), "--below is required with set"),
        (("lab", "cluster", "--replicas", "3"), "SCENARIO is required; --list shows the scenarios"),
        (("lab", "fleet", "--keepers", "3"), "SCENARIO is required; --list shows the scenarios"),
        (("replica", "-c", "/nowhere.xml"), "No such file or directory"),
        (("keeper", "-c", "/nowhere.xml"), "No such file or directory"),
        (("supervisor", "-c", "/nowhere.xml"), "No such file or directory"),
        (("steward", "-c", "/nowhere.xml"), "No such file or directory"),
    ],
)
def test_invalid_input_is_one_line_with_exit_code_2_under_old_and_new_names(words, error):
    result = run_command(*words)
    assert result.exit_code == 2
    assert error in result.output and result.output.count("\n") == 1


def test_drain_sends_the_stored_kind_keeper_for_replica_and_keeper(monkeypatch):
    """The replicated log stores the old word."""
    from cedarmill.cluster.messages import ReadReply
    from cedarmill.net.cluster.operator import OperatorClient

    requests = []
    monkeypatch.setattr(
        OperatorClient, "send", lambda _, request: requests.append(request) or ReadReply(b"[]")
    )
    for kind in ("replica", "keeper"):
        words = ("cluster", "--replicas", "127.0.0.1:1", "--cluster", "c", "drain", "k0", "--kind", kind)
        assert run_command(*words, "--dry-run").exit_code == 0
    assert [request.kind for request in requests] == ["keeper", "keeper"]
