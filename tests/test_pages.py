"""Checks of the pages for engineers and operators: named paths and class members exist."""

import ast
import re
import tomllib
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    ROOT / "README.md",
    ROOT / "docs/ARCHITECTURE.md",
    *sorted((ROOT / "docs/design").glob("*.md")),
    *sorted((ROOT / "docs/operators").glob("*.md")),
]
CODE_SPAN = re.compile(r"`([^`\n]+)`")
MODULE_PATH = re.compile(r"[\w/.]+\.py")
CLASS_MEMBER = re.compile(r"([A-Z]\w+)\.([a-z_]\w*)(?:\(\))?")
FOLDER_PATH = re.compile(r"(?:[a-z]\w*/)+")
TEST_CLASS = re.compile(r"(test_\w+)\.([A-Z]\w+)")
CODE_FOLDERS = ("cedarmill", "tests", "benchmarks", "example", "tools")


@cache
def modules() -> frozenset[str]:
    """Return the paths of all modules, relative to the repository root."""
    return frozenset(
        str(path.relative_to(ROOT)) for name in CODE_FOLDERS for path in (ROOT / name).rglob("*.py")
    )


def module_exists(name: str) -> bool:
    """Return whether a module exists: a path from the root or the package, or a bare name in any folder."""
    if "/" in name:
        return name in modules() or f"cedarmill/{name}" in modules()
    return any(Path(path).name == name for path in modules())


def folder_exists(name: str) -> bool:
    """Return whether a folder exists: a path from the root or the package, or a bare name in the package."""
    if name.count("/") == 1 and any(path.is_dir() for path in (ROOT / "cedarmill").rglob(name[:-1])):
        return True
    return (ROOT / name).is_dir() or (ROOT / "cedarmill" / name).is_dir()


@cache
def class_members() -> dict[str, set[str]]:
    """Return the members of each class: methods, fields, attributes set on self, and inherited members."""
    members: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for path in modules():
        for node in ast.walk(ast.parse((ROOT / path).read_text())):
            if isinstance(node, ast.ClassDef):
                members.setdefault(node.name, set()).update(defined_members(node))
                bases.setdefault(node.name, set()).update(map(ast.unparse, node.bases))
    for name in members:
        pending, visited = list(bases[name]), {name}
        while pending:
            base = pending.pop().split(".")[-1]
            if base in members and base not in visited:
                visited.add(base)
                members[name] |= members[base]
                pending += bases[base]
    return members


def defined_members(definition: ast.ClassDef) -> set[str]:
    """Return the names defined in a class body, and the attributes assigned on self."""
    names = set()
    for node in definition.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            names |= {
                name.id for target in targets for name in ast.walk(target) if isinstance(name, ast.Name)
            }
    for node in ast.walk(definition):
        is_assigned = isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store)
        if is_assigned and ast.unparse(node.value) == "self":
            names.add(node.attr)
    return names


def missing_names(text: str) -> list[str]:
    """Return the paths and members in code spans of a page that do not exist in the repository."""
    missing = []
    for code_span in CODE_SPAN.findall(text):
        if MODULE_PATH.fullmatch(code_span):
            exists = module_exists(code_span)
        elif FOLDER_PATH.fullmatch(code_span):
            exists = folder_exists(code_span)
        elif match := CLASS_MEMBER.fullmatch(code_span):
            exists = match[2] in class_members().get(match[1], ())
        elif match := TEST_CLASS.fullmatch(code_span):
            exists = module_exists(f"{match[1]}.py") and match[2] in class_members()
        else:
            continue
        if not exists:
            missing.append(code_span)
    return missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_page_names_only_existing_modules_folders_and_members(page):
    assert missing_names(page.read_text()) == []


# tests/cli/test_operators_pages.py checks the words of the operators' pages.
ENGINEERS_PAGES = [page for page in PAGES if page.parent.name != "operators"]


@pytest.mark.parametrize("page", ENGINEERS_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_page_uses_no_withdrawn_word_outside_code(page):
    """Code spans, code blocks and link targets may hold withdrawn words, as names of files and XML do."""
    words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    text = re.sub(r"```.*?```|`[^`]*`|\]\([^)]*\)", " ", page.read_text(), flags=re.DOTALL)
    assert sorted(words & set(re.findall(r"[a-z]+", text.lower()))) == []


def test_missing_names_returns_exactly_the_names_that_do_not_exist():
    existing = (
        "core/dispatch.py",
        "dispatch.py",
        "docs/design/",
        "net/clients/",
        "Dispatch.withdraw",
        "test_node.AbusiveClients",
    )
    nonexistent = (
        "core/nowhere.py",
        "nowhere.py",
        "net/nowhere/",
        "Dispatch.nothing",
        "Nobody.withdraw",
        "test_node.Nobody",
    )
    assert missing_names(" ".join(f"`{name}`" for name in existing)) == []
    assert missing_names(" ".join(f"`{name}`" for name in existing + nonexistent)) == list(nonexistent)
