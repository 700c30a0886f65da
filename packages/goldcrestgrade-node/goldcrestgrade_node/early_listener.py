"""Listening sockets that are opened before a node's modules are imported.

Connections wait in the kernel until the node serves them. Otherwise they would be refused during
the imports, and clients would retry with a growing delay.

Imports only the standard library, so that the sockets listen as early as possible.
"""

from __future__ import annotations

import json
import pathlib
import socket
import typing

BACKLOG = 64
"""Largest number of connections that wait for the node to serve them."""


def open_listeners(path: pathlib.Path, names: typing.Sequence[str]) -> dict[str, socket.socket]:
    """Return listening sockets by address for the settings `names` in the file at `path`.

    Leaves out what can't be read or opened: the node reports such errors once it starts.
    """
    try:
        document = json.loads(path.read_bytes())
        addresses = [document[name] for name in names]
    except (OSError, ValueError, KeyError, TypeError):
        return {}
    opened = ((address, _open_listener(address)) for address in addresses)
    return {address: listening for address, listening in opened if listening is not None}


def _open_listener(address: typing.Any) -> socket.socket | None:
    host, _, port = str(address).rpartition(":")
    listening = socket.socket()
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except (OSError, ValueError, OverflowError):
        listening.close()
        return None
    return listening
