"""Workspaces of requests, found by the keys that clients send.

Keys are looked up by digest, which takes the same time for known and unknown keys.
"""

from __future__ import annotations

from goldcrestgrade import routes

MAX_KEY_CHARS = 256
"""Longest key that is looked up."""


def holder(table: routes.RouteTable, text: str | None, scheme: str) -> routes.Workspace | None:
    """Return the workspace that holds the key in an authorization header, or none."""
    if text is None or not table.workspaces:
        return None
    given_scheme, _, key = text.strip().partition(" ")
    key = key.strip()
    if given_scheme.lower() != scheme.lower() or not key or len(key) > MAX_KEY_CHARS:
        return None
    name = table.workspace_by_key.get(routes.key_digest(key))
    return None if name is None else table.workspaces.get(name)
