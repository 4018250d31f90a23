"""Checks of the whole repository: decision modules, deploy file, README example, lint, types, readability."""

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tools import readability

ROOT = Path(__file__).parent.parent
DECISIONS = ROOT / "cedarmill/decisions"
POLICY_MODULES = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
TYPE_MODULES = [
    f"cedarmill/decisions/{name}.py"
    for name in ("state", "learned", "interface", "outcomes", "settings_types")
]
NON_DECISION_MODULES = ("__init__", "settings", "snapshot")  # parsing and storage decide nothing
MAX_MODULE_LINES, MAX_FUNCTION_LINES = 300, 40
STANDARD_MODULES = {"collections.abc", "dataclasses", "enum", "itertools", "math", "random", "typing"}

for_each_decision_module = pytest.mark.parametrize("path", POLICY_MODULES + TYPE_MODULES)


def parse(path: str) -> ast.Module:
    """Parse a module that is given by its path from the repository root."""
    return ast.parse((ROOT / path).read_text())


def test_deploy_file_lists_every_decision_module():
    modules = {
        str(path.relative_to(ROOT))
        for path in DECISIONS.glob("*.py")
        if path.stem not in NON_DECISION_MODULES
    }
    assert (
        len(POLICY_MODULES) == len(set(POLICY_MODULES)) and set(POLICY_MODULES) | set(TYPE_MODULES) == modules
    )


@pytest.mark.parametrize("path", sorted([*DECISIONS.glob("*.py"), *(ROOT / "cedarmill/sim").glob("*.py")]))
def test_module_and_its_functions_are_within_the_size_limits(path):
    lines = path.read_text().splitlines()
    assert len(lines) <= MAX_MODULE_LINES and max(map(len, lines)) <= 110
    functions = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)]
    assert [node.name for node in functions if node.end_lineno - node.lineno >= MAX_FUNCTION_LINES] == []


def test_first_policy_module_refers_to_the_interface_in_its_first_lines():
    first_lines = (ROOT / POLICY_MODULES[0]).read_text().splitlines()[:3]
    assert "cedarmill/decisions/interface.py" in "\n".join(first_lines)


@for_each_decision_module
def test_module_imports_only_decision_modules_and_allowed_standard_modules(path):
    imported = set()
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            is_decision_import = node.module == "cedarmill.decisions"
            imported |= (
                {f"{node.module}.{alias.name}" for alias in node.names}
                if is_decision_import
                else {node.module}
            )
    own_modules = {path.removesuffix(".py").replace("/", ".") for path in POLICY_MODULES + TYPE_MODULES}
    assert imported <= own_modules | STANDARD_MODULES


@for_each_decision_module
def test_module_calls_no_forbidden_builtin(path):
    functions = [node.func for node in ast.walk(parse(path)) if isinstance(node, ast.Call)]
    calls = {function.id for function in functions if isinstance(function, ast.Name)}
    assert not calls & {"open", "print", "input", "hash", "set", "eval", "exec", "globals"}


@for_each_decision_module
def test_module_reads_no_attribute_called_name(path):
    attributes = {node.attr for node in ast.walk(parse(path)) if isinstance(node, ast.Attribute)}
    assert "name" not in attributes


def test_deploy_file_runs_the_simulator_module():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert "cedarmill.sim.simhost" in deploy["sim"]


def test_ruff_check_passes():
    subprocess.run([sys.executable, "-m", "ruff", "check", "--no-cache", "."], cwd=ROOT, check=True)


def test_ruff_format_passes():
    command = [sys.executable, "-m", "ruff", "format", "--check", "--no-cache", "."]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout


def test_import_contracts_hold():
    command = [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout


def test_readme_example_prints_the_output_in_the_readme():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    expected_output = text.split("then nothing more to do:\n\n```\n")[1].split("```")[0]
    command = [sys.executable, "-B", "-c", code]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert run.stdout == expected_output


def test_mypy_passes():
    run = subprocess.run(
        [sys.executable, "-m", "mypy", "--cache-dir=/dev/null"], cwd=ROOT, capture_output=True, text=True
    )
    assert run.returncode == 0, run.stdout


def test_readability_counts_withdrawn_words_and_the_longest_helper_of_tests(tmp_path):
    """Only helpers count for the longest function, and words in plain strings do not count."""
    body = "    pass\n" * 30
    text = f'def test_long():\n{body}{body}\n\ndef ask_the_box():\n{body}\n\nDATA = "a box"\n'
    (tmp_path / "test_planted.py").write_text(text)
    metrics = readability.measure_tests(frozenset(["box"]), tmp_path)
    assert (metrics.longest_helper, metrics.longest_helper_name) == (31, "test_planted.py: ask_the_box")
    assert metrics.withdrawn == {"box": 1}
    assert readability.exceeded_test_bounds(metrics, {"longest_helper": 31, "withdrawn": 1}) == []
    expected_messages = [
        "tests: longest_helper is 31, at most 30 is allowed",
        "tests: withdrawn is 1, at most 0 is allowed",
    ]
    assert (
        readability.exceeded_test_bounds(metrics, {"longest_helper": 30, "withdrawn": 0}) == expected_messages
    )


def test_packages_and_tests_are_within_the_readability_bounds():
    """Withdrawn words, long modules and undocumented items stay within the bounds of readability.toml."""
    command = [sys.executable, "-B", "tools/readability.py", "--check"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stdout
