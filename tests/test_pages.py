"""The pages for engineers and operators: each path and each member of a class that they name exists."""

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
QUOTED = re.compile(r"`([^`\n]+)`")
MODULE = re.compile(r"[\w/.]+\.py")
MEMBER = re.compile(r"([A-Z]\w+)\.([a-z_]\w*)(?:\(\))?")
FOLDER = re.compile(r"(?:[a-z]\w*/)+")
TEST_CLASS = re.compile(r"(test_\w+)\.([A-Z]\w+)")
CODE = ("cedarmill", "tests", "benchmarks", "example", "tools")


@cache
def modules() -> frozenset[str]:
    """All modules, as paths from the root."""
    return frozenset(str(path.relative_to(ROOT)) for name in CODE for path in (ROOT / name).rglob("*.py"))


def module_exists(name: str) -> bool:
    """A path from the root or from the package; a bare file name may be of any folder."""
    if "/" in name:
        return name in modules() or f"cedarmill/{name}" in modules()
    return any(Path(path).name == name for path in modules())


def folder_exists(name: str) -> bool:
    """A path from the root or from the package; a bare folder name may be anywhere in the package."""
    if name.count("/") == 1 and any(path.is_dir() for path in (ROOT / "cedarmill").rglob(name[:-1])):
        return True
    return (ROOT / name).is_dir() or (ROOT / "cedarmill" / name).is_dir()


@cache
def members() -> dict[str, set[str]]:
    """Members of each class: methods, fields, attributes set on self, and names of its bases' members."""
    found: dict[str, set[str]] = {}
    bases: dict[str, set[str]] = {}
    for path in modules():
        for node in ast.walk(ast.parse((ROOT / path).read_text())):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, set()).update(names_set_in(node))
                bases.setdefault(node.name, set()).update(map(ast.unparse, node.bases))
    for name in found:
        pending, known = list(bases[name]), {name}
        while pending:
            base = pending.pop().split(".")[-1]
            if base in found and base not in known:
                known.add(base)
                found[name] |= found[base]
                pending += bases[base]
    return found


def names_set_in(definition: ast.ClassDef) -> set[str]:
    """Names of the class body (methods, fields, constants), and attributes assigned on self."""
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
        stored = isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store)
        if stored and ast.unparse(node.value) == "self":
            names.add(node.attr)
    return names


def missing(text: str) -> list[str]:
    """What a page names between backticks and nothing in the tree bears."""
    lost = []
    for quoted in QUOTED.findall(text):
        if MODULE.fullmatch(quoted):
            exists = module_exists(quoted)
        elif FOLDER.fullmatch(quoted):
            exists = folder_exists(quoted)
        elif match := MEMBER.fullmatch(quoted):
            exists = match[2] in members().get(match[1], ())
        elif match := TEST_CLASS.fullmatch(quoted):
            exists = module_exists(f"{match[1]}.py") and match[2] in members()
        else:
            continue
        if not exists:
            lost.append(quoted)
    return lost


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_modules_and_members_that_a_page_names_exist(page):
    assert missing(page.read_text()) == []


ENGINEERS_PAGES = [page for page in PAGES if page.parent.name != "operators"]  # tests/cli holds those


@pytest.mark.parametrize("page", ENGINEERS_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_uses_no_withdrawn_word_but_in_quotations(page):
    """Names of files, calls and XML stand between backticks; what the words meant is the glossary's."""
    words = set(tomllib.loads((ROOT / "tools/readability.toml").read_text())["withdrawn_words"])
    text = re.sub(r"```.*?```|`[^`]*`|\]\([^)]*\)", " ", page.read_text(), flags=re.DOTALL)
    assert sorted(words & set(re.findall(r"[a-z]+", text.lower()))) == []


def test_a_planted_path_or_member_is_found():
    """The check itself: what stands is passed over, what does not is named."""
    good = (
        "core/dispatch.py",
        "dispatch.py",
        "docs/design/",
        "net/clients/",
        "Dispatch.withdraw",
        "test_node.AbusiveClients",
    )
    bad = (
        "core/nowhere.py",
        "nowhere.py",
        "net/nowhere/",
        "Dispatch.nothing",
        "Nobody.withdraw",
        "test_node.Nobody",
    )
    assert missing(" ".join(f"`{name}`" for name in good)) == []
    assert missing(" ".join(f"`{name}`" for name in good + bad)) == list(bad)
