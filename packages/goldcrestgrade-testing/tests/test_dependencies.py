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
OWN = {path.parent.name for path in PROJECTS}

EVENT_LOOPS = {"uvloop", "winloop", "rloop", "leviathan", "trio", "curio", "gevent", "eventlet"}
"""Libraries that bring an event loop other than that of asyncio."""


def declared(path) -> set[str]:
    project = tomllib.loads(path.read_text("utf-8"))["project"]
    names = {packaging.requirements.Requirement(text).name for text in project["dependencies"]}
    return {packaging.utils.canonicalize_name(name) for name in names} - OWN


def pinned() -> dict[str, str]:
    lines = (ROOT / "constraints.txt").read_text("utf-8").split()
    pairs = (line.split("==") for line in lines)
    return {packaging.utils.canonicalize_name(name): version for name, version in pairs}


def closure(names: set[str]) -> set[str]:
    """Return `names` and all that they bring when installed without extras."""
    found: set[str] = set()
    waiting = set(names)
    while waiting:
        name = waiting.pop()
        found.add(name)
        wanted = map(packaging.requirements.Requirement, importlib.metadata.requires(name) or ())
        brought = {
            packaging.utils.canonicalize_name(requirement.name)
            for requirement in wanted
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""})
        }
        waiting |= brought - found
    return found


@pytest.mark.parametrize("path", PROJECTS, ids=lambda path: path.parent.name)
def test_all_that_a_package_brings_is_pinned_and_installed_so(path):
    pins = pinned()
    brought = closure(declared(path))
    assert sorted(brought - pins.keys()) == []
    installed = {name: importlib.metadata.version(name) for name in brought}
    assert installed == {name: pins[name] for name in brought}


def test_nothing_brings_another_event_loop():
    brought = set().union(*(closure(declared(path)) for path in PROJECTS))
    assert (brought | pinned().keys()) & EVENT_LOOPS == set()


def test_servers_run_on_the_loop_of_asyncio():
    config = servers.create(None, {"host": "127.0.0.1", "port": 1}).config
    assert (config.loop, config.http, config.ws) == ("asyncio", servers.NodeProtocol, "none")
    assert issubclass(servers.NodeProtocol, httptools_impl.HttpToolsProtocol)


def test_there_are_two_binaries():
    scripts = [
        tomllib.loads(path.read_text("utf-8"))["project"].get("scripts", {}) for path in PROJECTS
    ]
    assert sorted(name for group in scripts for name in group) == [
        "goldcrestgrade",
        "goldcrestgrade-node",
    ]
