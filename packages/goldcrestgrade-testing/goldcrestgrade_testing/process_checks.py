"""Checks of a running process through /proc.

A process of goldcrestgrade has no child processes, no file open for writing, no writable shared
memory, no io_uring and no uvloop.
"""

from __future__ import annotations

import os
import pathlib
import stat
import typing

_WRITABLE = os.O_WRONLY | os.O_RDWR

_FORBIDDEN_LIBRARIES = ("uvloop", "liburing")

_STANDARD_STREAMS = ("0", "1", "2")
"""Descriptors that a process inherits from its parent; they are not checked."""


def violations(pid: int) -> list[str]:
    """Return each child, file open for writing, shared memory, io_uring and uvloop of `pid`."""
    process = pathlib.Path("/proc") / str(pid)
    return [*_children(process), *_open_files(process), *_mappings(process)]


def _children(process: pathlib.Path) -> typing.Iterator[str]:
    for task in process.glob("task/*/children"):
        for child in task.read_text("ascii").split():
            yield f"child process {child}"


def _open_files(process: pathlib.Path) -> typing.Iterator[str]:
    for link in process.glob("fd/*"):
        if link.name in _STANDARD_STREAMS:
            continue
        try:
            target = link.readlink()
            mode = link.stat().st_mode
            info = (process / "fdinfo" / link.name).read_text("ascii")
        except OSError:
            # The process has closed the file in the meantime.
            continue
        flags = next(int(line.split()[1], 8) for line in info.splitlines() if "flags:" in line)
        if stat.S_ISREG(mode) and flags & _WRITABLE:
            yield f"file open for writing {target}"
        if "io_uring" in str(target):
            yield f"io_uring {target}"


def _mappings(process: pathlib.Path) -> typing.Iterator[str]:
    for line in (process / "maps").read_text("utf-8").splitlines():
        _, permissions, *_ = line.split()
        if permissions[1] == "w" and permissions[3] == "s":
            yield f"shared memory {line}"
        if any(library in line for library in _FORBIDDEN_LIBRARIES):
            yield f"library {line}"
