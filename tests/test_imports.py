"""Imports between the project's modules run one way: no cycles, and the product never imports the lab."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from importlib.util import resolve_name
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("hopshed", "yewhook", "yewlab")


def modules() -> dict[str, Path]:
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = modules()


def imports(name: str) -> set[str]:
    """The project's modules that one imports as it is loaded, not in functions or for types alone."""
    path = MODULES[name]
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            origin = resolve_name("." * node.level + (node.module or ""), package)
            names = [f"{origin}.{alias.name}" for alias in node.names]
            found |= {one if one in MODULES else origin for one in names}
    return {one for one in found if one in MODULES and one != name}


def graph() -> dict[str, set[str]]:
    return {name: imports(name) for name in MODULES}


def cycle(imported: dict[str, set[str]]) -> list[str] | None:
    try:
        TopologicalSorter(imported).prepare()
    except CycleError as error:
        return list(error.args[1])
    return None


def test_no_two_modules_import_each_other_by_whatever_way() -> None:
    assert cycle(graph()) is None


def test_a_cycle_is_found() -> None:
    imported = graph()
    assert "hopshed.state" in imported["hopshed.control"]
    imported["hopshed.state"].add("hopshed.control")
    found = cycle(imported)
    assert found is not None and {"hopshed.state", "hopshed.control"} <= set(found)


@pytest.mark.parametrize(
    ("package", "others"), [("hopshed", ("yewhook", "yewlab")), ("yewhook", ("yewlab",))]
)
def test_packages_depend_one_way(package: str, others: tuple[str, ...]) -> None:
    own = [name for name in MODULES if name.split(".")[0] == package]
    assert own
    for name in own:
        assert not {one for one in imports(name) if one.split(".")[0] in others}, name
