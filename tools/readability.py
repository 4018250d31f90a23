"""Measure the readability of packages and tests, and check it against the bounds in tools/readability.toml.

`python tools/readability.py` prints a table by package: lines, longest module, longest function, public
items with a docstring, and withdrawn words (`docs/glossary.md` lists their replacements). For the tests it
prints lines, the longest helper (a function that is not a test) and withdrawn words. With `--check` it exits
with 1 if a package or the tests exceed a bound. A bound may only be lowered.
"""

import argparse
import ast
import io
import re
import sys
import tokenize
import tomllib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "cedarmill"
TESTS = ROOT / "tests"
BOUNDS = Path(__file__).with_suffix(".toml")
NAME_PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")
PROSE_WORD = re.compile(r"[A-Za-z]+")
DEFINITIONS = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)


@dataclass
class PackageMetrics:
    """Readability metrics of one package."""

    lines: int = 0
    longest_module: int = 0  # lines
    longest_function: int = 0  # lines
    public_items: int = 0
    documented: int = 0
    withdrawn: Counter[str] = field(default_factory=Counter)

    @property
    def undocumented(self) -> int:
        """Return the number of public items without a docstring."""
        return self.public_items - self.documented


@dataclass
class TestMetrics:
    """Readability metrics of the tests."""

    lines: int = 0
    longest_helper: int = 0  # lines
    longest_helper_name: str = ""
    withdrawn: Counter[str] = field(default_factory=Counter)


def count_withdrawn(text: str, words: frozenset[str]) -> Counter[str]:
    """Count withdrawn words in the names, comments and docstrings of a module, but not in other strings."""
    counts: Counter[str] = Counter()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type == tokenize.NAME:
            parts = NAME_PART.findall(token.string)
        elif token.type == tokenize.COMMENT or _is_docstring(token):
            parts = PROSE_WORD.findall(token.string)
        else:
            continue
        counts.update(part.lower() for part in parts if part.lower() in words)
    return counts


def _is_docstring(token: tokenize.TokenInfo) -> bool:
    """Return whether a token is a triple-quoted string at the start of its line."""
    return (
        token.type == tokenize.STRING
        and token.string.startswith('"""')
        and not token.line[: token.start[1]].strip()
    )


def measure_module(path: Path, words: frozenset[str], metrics: PackageMetrics) -> None:
    """Add the metrics of one module to those of its package."""
    text = path.read_text()
    tree = ast.parse(text)
    lines = text.count("\n")
    metrics.lines += lines
    metrics.longest_module = max(metrics.longest_module, lines)
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            length = (node.end_lineno or node.lineno) - node.lineno + 1
            metrics.longest_function = max(metrics.longest_function, length)
    for has_docstring in public_items(tree):
        metrics.public_items += 1
        metrics.documented += has_docstring
    metrics.withdrawn += count_withdrawn(text, words)


def public_items(tree: ast.Module) -> Iterator[bool]:
    """Yield for the module and each public class, function and method whether it has a docstring."""
    yield bool(ast.get_docstring(tree))
    pending: list[ast.AST] = list(tree.body)
    while pending:
        node = pending.pop()
        if not isinstance(node, DEFINITIONS) or node.name.startswith("_"):
            continue
        yield bool(ast.get_docstring(node))
        if isinstance(node, ast.ClassDef):
            pending += node.body


def modules_by_package() -> dict[str, list[Path]]:
    """Return the modules of each top-level package; modules outside of these packages belong to `.`."""
    modules: dict[str, list[Path]] = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        parts = path.relative_to(PACKAGE).parts
        modules.setdefault(parts[0] if len(parts) > 1 else ".", []).append(path)
    return modules


def measure_packages(words: frozenset[str]) -> dict[str, PackageMetrics]:
    """Return the metrics of each package."""
    measured = {}
    for name, paths in modules_by_package().items():
        measured[name] = PackageMetrics()
        for path in paths:
            measure_module(path, words, measured[name])
    return measured


def measure_tests(words: frozenset[str], folder: Path = TESTS) -> TestMetrics:
    """Return the metrics of all modules in the test folder."""
    metrics = TestMetrics()
    for path in sorted(folder.rglob("*.py")):
        text = path.read_text()
        metrics.lines += text.count("\n")
        metrics.withdrawn += count_withdrawn(text, words)
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and not node.name.startswith("test_"):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                if length > metrics.longest_helper:
                    metrics.longest_helper = length
                    metrics.longest_helper_name = f"{path.relative_to(folder)}: {node.name}"
    return metrics


def exceeded_test_bounds(metrics: TestMetrics, bounds: dict[str, int]) -> list[str]:
    """Return one message for each bound that the tests exceed."""
    values = {"longest_helper": metrics.longest_helper, "withdrawn": metrics.withdrawn.total()}
    return [
        f"tests: {key} is {value}, at most {bounds[key]} is allowed"
        for key, value in values.items()
        if value > bounds[key]
    ]


def exceeded_bounds(measured: dict[str, PackageMetrics], bounds: dict[str, dict[str, int]]) -> list[str]:
    """Return one message for each bound that a package exceeds, and for each package without bounds."""
    messages = []
    for name, metrics in measured.items():
        if name not in bounds:
            messages.append(f"{name}: has no bounds in {BOUNDS.name}")
            continue
        values = {
            "longest_module": metrics.longest_module,
            "longest_function": metrics.longest_function,
            "undocumented": metrics.undocumented,
            "withdrawn": metrics.withdrawn.total(),
        }
        for key, value in values.items():
            if value > bounds[name][key]:
                messages.append(f"{name}: {key} is {value}, at most {bounds[name][key]} is allowed")
    return messages


def main() -> int:
    """Print the table and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check", action="store_true", help="exit with 1 if a package or the tests exceed a bound"
    )
    parser.add_argument(
        "--words", metavar="PACKAGE", help="also print the withdrawn words of this package, or of `tests`"
    )
    options = parser.parse_args()
    settings = tomllib.loads(BOUNDS.read_text())
    words = frozenset(settings["withdrawn_words"])
    measured = measure_packages(words)
    print("| package | lines | longest module | longest function | documented | withdrawn words |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, metrics in measured.items():
        documented = f"{metrics.documented} of {metrics.public_items}"
        cells = (name, metrics.lines, metrics.longest_module, metrics.longest_function, documented)
        print(f"| {' | '.join(map(str, cells))} | {metrics.withdrawn.total()} |")
    tests = measure_tests(words)
    helper_text = f"longest helper {tests.longest_helper} lines ({tests.longest_helper_name})"
    print(f"\ntests: {tests.lines} lines, {helper_text}, {tests.withdrawn.total()} withdrawn words")
    withdrawn = {name: metrics.withdrawn for name, metrics in measured.items()} | {"tests": tests.withdrawn}
    if options.words in withdrawn:
        print(*(f"{word}: {count}" for word, count in withdrawn[options.words].most_common()), sep="\n")
    messages = exceeded_bounds(measured, settings["bounds"]) + exceeded_test_bounds(tests, settings["tests"])
    print(*messages, sep="\n", end="\n" if messages else "")
    return 1 if options.check and messages else 0


if __name__ == "__main__":
    sys.exit(main())
