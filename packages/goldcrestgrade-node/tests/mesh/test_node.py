"""When a node of the mesh writes its first row, and when it sends its endpoint requests."""

import asyncio
import types

import pytest

from goldcrestgrade import instants
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


@pytest.mark.parametrize(
    ("slack", "table", "complete", "refused"),
    [
        (8, None, False, True),
        (8, "old", False, True),
        (8, "new", True, False),
        (0, None, False, False),
    ],
)
async def test_endpoint_gets_no_request_before_the_shared_rows_were_read(
    slack, table, complete, refused
):
    """Guards against a restarted node that serves by the configuration of a peer that is cut off.

    That peer may not know of an evacuation that began before the restart.
    """
    read = asyncio.Event()
    if complete:
        read.set()
    stub = types.SimpleNamespace(
        config=types.SimpleNamespace(warm_up_slack=slack, failure_domain="khomas-a"),
        table=table,
        sync=types.SimpleNamespace(complete=read),
        quarantine=types.SimpleNamespace(crashes={}),
        handing_over=asyncio.Event(),
        evacuations=types.SimpleNamespace(domains=set()),
        withdrawals=types.SimpleNamespace(concerns=lambda *_: False),
        is_region_allowed=lambda _: True,
        clocks=instants.system_clocks(),
    )
    stub.is_state_read = lambda: node.MeshNode.is_state_read(stub)
    call = types.SimpleNamespace(workspace="", configuration=0)
    assert (node.MeshNode.refusal_for(stub, call) is not None) == refused
