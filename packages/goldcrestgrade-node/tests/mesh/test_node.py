"""When a node of the mesh writes its first row."""

import asyncio
import types

import pytest

from goldcrestgrade_node.mesh import node
from goldcrestgrade_node.mesh.state import replica

KEY = "instance/n1"


def stub(source_id="n0", registered=False, endpoint_known=False):
    known = asyncio.Event()
    if endpoint_known:
        known.set()
    return types.SimpleNamespace(
        sync=types.SimpleNamespace(source_id=source_id),
        registration=types.SimpleNamespace(key=KEY),
        replica=types.SimpleNamespace(rows={(replica.MESH, KEY): None} if registered else {}),
        endpoint_known=known,
    )


async def test_row_of_a_follower_without_an_endpoint_is_dispensable():
    assert node.MeshNode._is_row_dispensable(stub())


@pytest.mark.parametrize(
    "changes", [{"source_id": None}, {"registered": True}, {"endpoint_known": True}]
)
async def test_row_of_a_watcher_a_restarted_node_or_a_node_with_an_endpoint_is_needed(changes):
    assert not node.MeshNode._is_row_dispensable(stub(**changes))
