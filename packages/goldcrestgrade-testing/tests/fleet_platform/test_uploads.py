"""Large bodies and pipelined requests through real node processes."""

import asyncio
import re

from goldcrestgrade_testing.fleet_platform import fleet

PLACEMENTS = {
    "east-1": fleet.Placement("east", "r1", "archive"),
    "east-2": fleet.Placement("east", "r1", "intake"),
}
BODY = b"u" * 60_000


async def test_upload_is_asked_for_and_reaches_the_endpoint_of_another_node_whole():
    """Guards against parts of the exchange between nodes that work only in isolation."""
    async with fleet.running(PLACEMENTS) as running_fleet:
        east_1, east_2 = running_fleet.instances
        for number in range(3):
            headers = {
                "host": fleet.ROUTE_HOSTNAME,
                "x-attempt-id": f"upload-{number}",
                "x-deadline-ms": "2000",
            }
            url = f"http://{east_2.address('calls')}/archive/file/x"
            async with running_fleet.session.post(url, headers=headers, data=BODY) as response:
                assert response.status == 200
            assert running_fleet.run_count(f"upload-{number}") == 1
        uploads = [r for r in east_1.endpoint.raw.requests if r.method == "POST"]
        assert [request.body for request in uploads] == [BODY] * 3
        url = f"http://{east_2.address('metrics')}/metrics"
        async with running_fleet.session.get(url) as response:
            metrics = await response.text()
        # The node is asked from the second request on, since an answer says that it may be.
        asked = re.search(r'goldcrestgrade_events_total{event="body_asked"} (\S+)', metrics)
        assert asked is not None
        assert float(asked[1]) in (2.0, 3.0)


async def test_pipelined_requests_of_a_client_are_answered_in_order():
    """Guards against a node that serves its clients with the protocol for other nodes."""
    async with fleet.running(PLACEMENTS) as running_fleet:
        east_1, east_2 = running_fleet.instances
        east_1.endpoint.behaviour.service_time_s = 0.3
        host, _, port = east_2.address("calls").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        started = asyncio.get_running_loop().time()
        writer.write(
            b"".join(
                f"GET /archive/x HTTP/1.1\r\nhost: {fleet.ROUTE_HOSTNAME}\r\n"
                f"x-attempt-id: piped-{number}\r\nx-deadline-ms: 2000\r\n\r\n".encode()
                for number in range(3)
            )
        )
        received = b""
        async with asyncio.timeout(3.0):
            while received.count(b"body of ") < 3:
                received += await reader.read(65536)
        assert asyncio.get_running_loop().time() - started < 0.8
        places = [received.index(f"body of piped-{number}".encode()) for number in range(3)]
        assert places == sorted(places)
        writer.close()
