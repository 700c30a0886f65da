"""Requests that wait for an endpoint while the key that they came with is withdrawn."""

import pytest

from goldcrestgrade import routes
from goldcrestgrade_node.mesh.state import withdrawals
from goldcrestgrade_node.mesh.transport import requests


def table(version, **keys):
    workspaces = [
        routes.Workspace(name, tuple(routes.key_digest(key) for key in held), 0)
        for name, held in keys.items()
    ]
    return routes.build(version, routes.Limits(), [], [], workspaces)


@pytest.mark.parametrize(
    ("workspace", "version", "after_s", "refused"),
    [
        ("a", 1, 2.0, True),
        ("a", 1, 1.0, False),
        ("a", 2, 2.0, False),
        ("b", 1, 2.0, False),
        ("c", 1, 2.0, True),
    ],
)
def test_only_requests_accepted_before_the_withdrawal_are_refused(
    workspace, version, after_s, refused
):
    """Guards against a queued request that runs long after its key was withdrawn."""
    known = withdrawals.Withdrawals()
    before = table(1, a=["k1", "k2"], b=["k3"], c=["k4"])
    known.record(before, table(2, a=["k2"], b=["k3", "k5"]), 100.0)
    assert known.concerns(workspace, version, 100.0 + after_s) == refused


def test_key_that_moves_to_another_workspace_is_withdrawn_from_the_first():
    known = withdrawals.Withdrawals()
    known.record(table(1, a=["k1"], b=[]), table(2, a=[], b=["k1"]), 0.0)
    assert set(known.by_workspace) == {"a"}


def test_withdrawals_are_forgotten_when_no_request_can_wait_for_them():
    known = withdrawals.Withdrawals()
    known.record(table(1, a=["k1"]), table(2), 0.0)
    known.record(table(2), table(3), withdrawals.RETENTION_S)
    assert known.by_workspace == {}


def test_version_that_accepted_the_key_travels_with_the_request():
    call = requests.Call(
        "", "r", "s", False, 1, "c", "GET", "/", "", (), b"", 1.0, 2.0,
        workspace="a", configuration=7,
    )  # fmt: skip
    message = requests.Message("GET", "/", "", (), b"")
    assert requests.decode(requests.encode(call, 0.0), "", message, 0.0) == call
