"""Tests named in `KNOWN-RED.txt` do not decide the result of a run, and every other test does."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support import known_failures

ROOT = Path(__file__).parent.parent
NAMED = "test_sample.py::test_named | pytest -k named | none | 1 is not 2 | an open issue\n"
FAILING = "def test_named():\n    assert 1 == 2\n\n\ndef test_other():\n    assert 1 == {value}\n"


def run_pytest(folder: Path, known: str, sample: str, *options: str) -> subprocess.CompletedProcess:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(known)
    (folder / "test_sample.py").write_text(sample)
    command = [sys.executable, "-B", "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:xdist"]
    plugin = ["-p", "tests.support.known_failures", f"--rootdir={folder}", str(folder), *options]
    return subprocess.run([*command, *plugin], cwd=ROOT, capture_output=True, text=True)


def test_a_named_test_is_passed_over_and_printed(tmp_path):
    run = run_pytest(tmp_path, NAMED, FAILING.format(value=1))
    assert run.returncode == 0, run.stdout
    assert "1 passed, 1 skipped" in run.stdout
    assert "known failure, passed over: test_sample.py::test_named (an open issue)" in run.stdout


def test_a_failing_test_that_is_not_named_fails_the_run(tmp_path):
    run = run_pytest(tmp_path, NAMED, FAILING.format(value=2))
    assert run.returncode == 1, run.stdout
    assert "1 failed, 1 skipped" in run.stdout


def test_without_the_file_every_failing_test_fails_the_run(tmp_path):
    run = run_pytest(tmp_path, "", FAILING.format(value=1))
    assert run.returncode == 1 and "1 failed, 1 passed" in run.stdout


@pytest.mark.parametrize("known", ["test_sample.py::test_named\n", NAMED.replace("none", "")])
def test_an_incomplete_line_fails_the_run(tmp_path, known):
    run = run_pytest(tmp_path, known, FAILING.format(value=1))
    assert run.returncode not in (0, 1) and "KNOWN-RED.txt" in run.stderr


def test_the_option_runs_just_the_named_tests(tmp_path):
    """The command of an entry shows its failure, though a run without the option passes over it."""
    run = run_pytest(tmp_path, NAMED, FAILING.format(value=2), known_failures.OPTION)
    assert run.returncode == 1, run.stdout
    assert "1 failed, 1 deselected" in run.stdout and "passed over" not in run.stdout


def test_each_command_uses_the_option():
    for failure in known_failures.read_known_failures(ROOT / known_failures.FILE_NAME):
        assert known_failures.OPTION in failure.command, failure.test


def test_each_named_test_exists():
    for failure in known_failures.read_known_failures(ROOT / known_failures.FILE_NAME):
        path, *names = failure.test.partition("[")[0].split("::")
        body = ast.parse((ROOT / path).read_text()).body
        for name in names:
            found = [node for node in body if getattr(node, "name", None) == name]
            assert found, f"{failure.test}: no {name} in {path}"
            body = found[0].body
