from __future__ import annotations

import importlib.metadata
import tomllib

import packaging.requirements
import packaging.utils
import pytest
from uvicorn.protocols.http import httptools_impl

from goldcrestgrade_node import servers
from goldcrestgrade_testing import reference

ROOT = reference.DOCS.parent
PROJECTS = sorted(ROOT.glob("packages/*/pyproject.toml"))
OWN_PACKAGES = {path.parent.name for path in PROJECTS}

EVENT_LOOPS = {"uvloop", "winloop", "rloop", "leviathan", "trio", "curio", "gevent", "eventlet"}
"""Libraries with an event loop other than that of asyncio."""


def declared_dependencies(path) -> set[str]:
    project = tomllib.loads(path.read_text("utf-8"))["project"]
    names = {packaging.requirements.Requirement(text).name for text in project["dependencies"]}
    return {packaging.utils.canonicalize_name(name) for name in names} - OWN_PACKAGES


def pinned_versions() -> dict[str, str]:
    lines = (ROOT / "constraints.txt").read_text("utf-8").split()
    pairs = (line.split("==") for line in lines)
    return {packaging.utils.canonicalize_name(name): version for name, version in pairs}


def transitive_dependencies(names: set[str]) -> set[str]:
    """Return `names` and all their dependencies, direct and indirect, without extras."""
    visited: set[str] = set()
    pending = set(names)
    while pending:
        name = pending.pop()
        visited.add(name)
        requirements = map(
            packaging.requirements.Requirement, importlib.metadata.requires(name) or ()
        )
        dependencies = {
            packaging.utils.canonicalize_name(requirement.name)
            for requirement in requirements
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        }
        pending |= dependencies - visited
    return visited


@pytest.mark.parametrize("path", PROJECTS, ids=lambda path: path.parent.name)
def test_dependencies_of_a_package_are_pinned_and_installed_at_the_pinned_versions(path):
    pins = pinned_versions()
    dependencies = transitive_dependencies(declared_dependencies(path))
    assert sorted(dependencies - pins.keys()) == []
    installed = {name: importlib.metadata.version(name) for name in dependencies}
    assert installed == {name: pins[name] for name in dependencies}


def test_no_dependency_brings_another_event_loop():
    dependencies = set().union(
        *(transitive_dependencies(declared_dependencies(path)) for path in PROJECTS)
    )
    assert (dependencies | pinned_versions().keys()) & EVENT_LOOPS == set()


def test_servers_run_on_the_event_loop_of_asyncio():
    config = servers.create(None, {"host": "127.0.0.1", "port": 1}).config
    assert (config.loop, config.http, config.ws) == ("asyncio", servers.NodeProtocol, "none")
    assert issubclass(servers.NodeProtocol, httptools_impl.HttpToolsProtocol)


def test_packages_install_two_commands():
    scripts = [
        tomllib.loads(path.read_text("utf-8"))["project"].get("scripts", {}) for path in PROJECTS
    ]
    assert sorted(name for group in scripts for name in group) == [
        "goldcrestgrade",
        "goldcrestgrade-node",
    ]
