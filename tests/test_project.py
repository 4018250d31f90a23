"""The decision modules: their size, names and imports; the deploy file; lint."""

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tools import readability

ROOT = Path(__file__).parent.parent
DECISIONS = ROOT / "cedarmill/decisions"
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
RECORDS = [f"cedarmill/decisions/{name}.py" for name in ("state", "learned", "interface", "settings_types")]
NOT_DECISIONS = ("__init__", "settings", "snapshot")  # input, stored form
LONGEST_MODULE, LONGEST_FUNCTION = 300, 40  # lines
STANDARD = {"collections.abc", "dataclasses", "enum", "itertools", "math", "random", "typing"}

pure = pytest.mark.parametrize("path", POLICY + RECORDS)


def tree(path: str) -> ast.Module:
    return ast.parse((ROOT / path).read_text())


def test_the_deploy_file_names_all_modules_that_decide():
    modules = {
        str(path.relative_to(ROOT)) for path in DECISIONS.glob("*.py") if path.stem not in NOT_DECISIONS
    }
    assert len(POLICY) == len(set(POLICY)) and set(POLICY) | set(RECORDS) == modules


@pytest.mark.parametrize("path", sorted([*DECISIONS.glob("*.py"), *(ROOT / "cedarmill/sim").glob("*.py")]))
def test_modules_and_functions_are_short(path):
    lines = path.read_text().splitlines()
    assert len(lines) <= LONGEST_MODULE and max(map(len, lines)) <= 110
    functions = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)]
    assert [node.name for node in functions if node.end_lineno - node.lineno >= LONGEST_FUNCTION] == []


def test_first_lines_name_the_interface():
    first = (ROOT / POLICY[0]).read_text().splitlines()[:3]
    assert "cedarmill/decisions/interface.py" in "\n".join(first)


@pure
def test_imports_are_pure(path):
    names = set()
    for node in ast.walk(tree(path)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            own = node.module == "cedarmill.decisions"
            names |= {f"{node.module}.{alias.name}" for alias in node.names} if own else {node.module}
    own = {path.removesuffix(".py").replace("/", ".") for path in POLICY + RECORDS}
    assert names <= own | STANDARD


@pure
def test_no_input_but_the_events(path):
    functions = [node.func for node in ast.walk(tree(path)) if isinstance(node, ast.Call)]
    calls = {function.id for function in functions if isinstance(function, ast.Name)}
    assert not calls & {"open", "print", "input", "hash", "set", "eval", "exec", "globals"}


@pure
def test_settings_names_are_not_acted_on(path):
    attributes = {node.attr for node in ast.walk(tree(path)) if isinstance(node, ast.Attribute)}
    assert "name" not in attributes


def test_deploy_file():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert "cedarmill.sim.simhost" in deploy["sim"]


def test_ruff():
    subprocess.run([sys.executable, "-m", "ruff", "check", "--no-cache", "."], cwd=ROOT, check=True)


def test_ruff_format():
    command = [sys.executable, "-m", "ruff", "format", "--check", "--no-cache", "."]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout


def test_imports_go_only_where_the_architecture_lets_them():
    command = [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout


def test_readme_example_prints_what_the_readme_says():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    printed = text.split("then nothing more to do:\n\n```\n")[1].split("```")[0]
    command = [sys.executable, "-B", "-c", code]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert run.stdout == printed


def test_types_of_control_and_state():
    run = subprocess.run(
        [sys.executable, "-m", "mypy", "--cache-dir=/dev/null"], cwd=ROOT, capture_output=True, text=True
    )
    assert run.returncode == 0, run.stdout


def test_old_words_and_long_helpers_of_tests_are_measured(tmp_path):
    """A planted helper and word are counted; tests themselves may be long, and strings are data."""
    body = "    pass\n" * 30
    text = f'def test_long():\n{body}{body}\n\ndef ask_the_box():\n{body}\n\nDATA = "a box"\n'
    (tmp_path / "test_planted.py").write_text(text)
    figures = readability.measure_tests(frozenset(["box"]), tmp_path)
    assert (figures.longest_helper, figures.longest_helper_name) == (31, "test_planted.py: ask_the_box")
    assert figures.withdrawn == {"box": 1}
    assert readability.breaches_of_tests(figures, {"longest_helper": 31, "withdrawn": 1}) == []
    over = [
        "tests: longest_helper is 31, at most 30 is allowed",
        "tests: withdrawn is 1, at most 0 is allowed",
    ]
    assert readability.breaches_of_tests(figures, {"longest_helper": 30, "withdrawn": 0}) == over


def test_packages_stay_as_readable_as_they_are():
    """Old words, long modules, undocumented items: no more than the bounds that were reached."""
    command = [sys.executable, "-B", "tools/readability.py", "--check"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout
