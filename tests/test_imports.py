"""Dependencies between the project's modules: no import cycles, and the product does not import yewlab."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from importlib.util import resolve_name
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("hopshed", "yewhook", "yewlab")


def modules() -> dict[str, Path]:
    """The paths of all modules by dotted name."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


MODULES = modules()


def imports(name: str) -> set[str]:
    """The modules of the project that a module imports when it is loaded (not in functions or for types)."""
    path = MODULES[name]
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            origin = resolve_name("." * node.level + (node.module or ""), package)
            candidates = [f"{origin}.{alias.name}" for alias in node.names]
            found |= {candidate if candidate in MODULES else origin for candidate in candidates}
    return {module for module in found if module in MODULES and module != name}


def import_graph() -> dict[str, set[str]]:
    """The imports of each module."""
    return {name: imports(name) for name in MODULES}


def find_cycle(graph: dict[str, set[str]]) -> list[str] | None:
    """The modules of one import cycle, if there is any."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return None


def test_there_are_no_import_cycles() -> None:
    assert find_cycle(import_graph()) is None


def test_an_import_cycle_is_detected() -> None:
    graph = import_graph()
    assert "hopshed.state" in graph["hopshed.control"]
    graph["hopshed.state"].add("hopshed.control")
    cycle = find_cycle(graph)
    assert cycle is not None and {"hopshed.state", "hopshed.control"} <= set(cycle)


@pytest.mark.parametrize(
    ("package", "forbidden"), [("hopshed", ("yewhook", "yewlab")), ("yewhook", ("yewlab",))]
)
def test_packages_depend_one_way(package: str, forbidden: tuple[str, ...]) -> None:
    own = [name for name in MODULES if name.split(".")[0] == package]
    assert own
    for name in own:
        assert not {module for module in imports(name) if module.split(".")[0] in forbidden}, name
