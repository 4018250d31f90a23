"""Measure how the packages and the tests read, and hold them to the bounds that they have reached.

`python tools/readability.py` prints a table by package: lines, longest module, longest function, public
items with a docstring, withdrawn words left (`docs/glossary.md` explains them). Of the tests it measures
lines, the longest helper (a function that is no test) and withdrawn words. With `--check` it exits with 1
where a package or the tests are over a bound in `tools/readability.toml`; a bound may only be lowered.
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
class PackageFigures:
    """What was measured of one package."""

    lines: int = 0
    longest_module: int = 0  # lines
    longest_function: int = 0  # lines
    public_items: int = 0
    documented: int = 0
    withdrawn: Counter[str] = field(default_factory=Counter)

    @property
    def undocumented(self) -> int:
        """Public items without a docstring."""
        return self.public_items - self.documented


@dataclass
class TestFigures:
    """What was measured of the tests."""

    lines: int = 0
    longest_helper: int = 0  # lines
    longest_helper_name: str = ""
    withdrawn: Counter[str] = field(default_factory=Counter)


def count_withdrawn(text: str, words: frozenset[str]) -> Counter[str]:
    """Withdrawn words among the names, comments and docstrings of a module; other strings are data."""
    found: Counter[str] = Counter()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type == tokenize.NAME:
            parts = NAME_PART.findall(token.string)
        elif token.type == tokenize.COMMENT or _is_docstring(token):
            parts = PROSE_WORD.findall(token.string)
        else:
            continue
        found.update(part.lower() for part in parts if part.lower() in words)
    return found


def _is_docstring(token: tokenize.TokenInfo) -> bool:
    """Whether a string token stands alone on its line, in three quotation marks."""
    return (
        token.type == tokenize.STRING
        and token.string.startswith('"""')
        and not token.line[: token.start[1]].strip()
    )


def measure_module(path: Path, words: frozenset[str], figures: PackageFigures) -> None:
    """Add one module to its package's figures."""
    text = path.read_text()
    tree = ast.parse(text)
    lines = text.count("\n")
    figures.lines += lines
    figures.longest_module = max(figures.longest_module, lines)
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            length = (node.end_lineno or node.lineno) - node.lineno + 1
            figures.longest_function = max(figures.longest_function, length)
    for documented in public_items(tree):
        figures.public_items += 1
        figures.documented += documented
    figures.withdrawn += count_withdrawn(text, words)


def public_items(tree: ast.Module) -> Iterator[bool]:
    """For the module, and each public class, function and method: whether it has a docstring."""
    yield bool(ast.get_docstring(tree))
    pending: list[ast.AST] = list(tree.body)
    while pending:
        node = pending.pop()
        if not isinstance(node, DEFINITIONS) or node.name.startswith("_"):
            continue
        yield bool(ast.get_docstring(node))
        if isinstance(node, ast.ClassDef):
            pending += node.body


def packages() -> dict[str, list[Path]]:
    """The modules of each package of the first level; those beside the packages count as `.`."""
    found: dict[str, list[Path]] = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        parts = path.relative_to(PACKAGE).parts
        found.setdefault(parts[0] if len(parts) > 1 else ".", []).append(path)
    return found


def measure(words: frozenset[str]) -> dict[str, PackageFigures]:
    """The figures of each package."""
    result = {}
    for name, paths in packages().items():
        result[name] = PackageFigures()
        for path in paths:
            measure_module(path, words, result[name])
    return result


def measure_tests(words: frozenset[str], folder: Path = TESTS) -> TestFigures:
    """The figures of all modules under the tests' folder."""
    figures = TestFigures()
    for path in sorted(folder.rglob("*.py")):
        text = path.read_text()
        figures.lines += text.count("\n")
        figures.withdrawn += count_withdrawn(text, words)
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and not node.name.startswith("test_"):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                if length > figures.longest_helper:
                    figures.longest_helper = length
                    figures.longest_helper_name = f"{path.relative_to(folder)}: {node.name}"
    return figures


def breaches_of_tests(figures: TestFigures, bounds: dict[str, int]) -> list[str]:
    """One line for each bound that the tests are over."""
    values = {"longest_helper": figures.longest_helper, "withdrawn": figures.withdrawn.total()}
    return [
        f"tests: {key} is {value}, at most {bounds[key]} is allowed"
        for key, value in values.items()
        if value > bounds[key]
    ]


def breaches(measured: dict[str, PackageFigures], bounds: dict[str, dict[str, int]]) -> list[str]:
    """One line for each bound that a package is over, and for each package without bounds."""
    lines = []
    for name, figures in measured.items():
        if name not in bounds:
            lines.append(f"{name}: has no bounds in {BOUNDS.name}")
            continue
        values = {
            "longest_module": figures.longest_module,
            "longest_function": figures.longest_function,
            "undocumented": figures.undocumented,
            "withdrawn": figures.withdrawn.total(),
        }
        for key, value in values.items():
            if value > bounds[name][key]:
                lines.append(f"{name}: {key} is {value}, at most {bounds[name][key]} is allowed")
    return lines


def main() -> int:
    """Print the table; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="exit with 1 where a package is over a bound")
    parser.add_argument(
        "--words", metavar="PACKAGE", help="also print the withdrawn words of this package, or of `tests`"
    )
    options = parser.parse_args()
    settings = tomllib.loads(BOUNDS.read_text())
    words = frozenset(settings["withdrawn_words"])
    measured = measure(words)
    print("| package | lines | longest module | longest function | documented | withdrawn words |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, figures in measured.items():
        documented = f"{figures.documented} of {figures.public_items}"
        cells = (name, figures.lines, figures.longest_module, figures.longest_function, documented)
        print(f"| {' | '.join(map(str, cells))} | {figures.withdrawn.total()} |")
    tests = measure_tests(words)
    helper = f"longest helper {tests.longest_helper} lines ({tests.longest_helper_name})"
    print(f"\ntests: {tests.lines} lines, {helper}, {tests.withdrawn.total()} withdrawn words")
    withdrawn = {name: figures.withdrawn for name, figures in measured.items()} | {"tests": tests.withdrawn}
    if options.words in withdrawn:
        print(*(f"{word}: {count}" for word, count in withdrawn[options.words].most_common()), sep="\n")
    found = breaches(measured, settings["bounds"]) + breaches_of_tests(tests, settings["tests"])
    print(*found, sep="\n", end="\n" if found else "")
    return 1 if options.check and found else 0


if __name__ == "__main__":
    sys.exit(main())
