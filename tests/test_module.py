"""The decision module's width, names and imports; the deploy file; lint."""

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
BRAIN = (ROOT / "cedarmill/decisions/balancer.py").read_text()


def test_width():
    assert max(map(len, BRAIN.splitlines())) <= 110


def test_first_lines_name_the_interface():
    assert "cedarmill/decisions/interface.py" in "\n".join(BRAIN.splitlines()[:3])


def test_imports_are_pure():
    names = set()
    for node in ast.walk(ast.parse(BRAIN)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    own = {"cedarmill.decisions", "cedarmill.decisions.interface", "cedarmill.decisions.state"}
    assert names <= own | {"itertools", "math", "random"}


def test_no_input_but_the_events():
    functions = [node.func for node in ast.walk(ast.parse(BRAIN)) if isinstance(node, ast.Call)]
    calls = {function.id for function in functions if isinstance(function, ast.Name)}
    assert not calls & {"open", "print", "input", "hash", "set", "eval", "exec", "globals"}


def test_settings_names_are_not_acted_on():
    attributes = {n.attr for n in ast.walk(ast.parse(BRAIN)) if isinstance(n, ast.Attribute)}
    assert "name" not in attributes


def test_deploy_file():
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert deploy["policy"] == ["cedarmill/decisions/balancer.py"]
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
