from __future__ import annotations

from goldcrestgrade import http_client, instants, outcomes, sheet
from goldcrestgrade_node import requests
from goldcrestgrade_node.once import messages, relay
from goldcrestgrade_testing import raw_endpoint


async def test_headers_of_a_relayed_answer_keep_their_bytes():
    fields = (
        "goldcrestgrade-attempt-id: a1\r\ngoldcrestgrade-outcome: ran\r\n"
        "connection: close\r\nx-shop: Půjčovna\r\n"
    )

    async def respond(_, writer):
        writer.write(raw_endpoint.answer(b"whole", fields=fields))

    clocks = instants.system_clocks()
    kind = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)
    request = requests.Request(
        "r1", "s", kind, "POST", "/x", (), b"", "key", clocks.monotonic() + 10.0, True
    )
    async with (
        raw_endpoint.serving(respond) as guard,
        http_client.open_session(4, 5.0) as session,
    ):
        guard_client = relay.HttpGuardClient(session, "key", clocks)
        url = f"http://127.0.0.1:{guard.port}"
        reply = await guard_client.exchange(url, messages.Run("a1", request, 1), request.deadline)
    assert isinstance(reply.verdict, messages.Resolved)
    assert isinstance(reply.verdict.outcome, outcomes.Ran)
    ((name, value),) = reply.verdict.outcome.answer.headers
    assert (name, value.encode("latin-1")) == ("x-shop", "Půjčovna".encode())


async def test_query_to_a_guard_uses_a_new_connection_when_the_pooled_one_is_silent():
    silent: set[int] = set()

    async def respond(request, writer):
        if request.connection not in silent:
            writer.write(
                raw_endpoint.answer(
                    fields="goldcrestgrade-attempt-id: a1\r\ngoldcrestgrade-outcome: running\r\n"
                )
            )

    clocks = instants.system_clocks()
    deadline = clocks.monotonic() + 10.0
    kind = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)
    request = requests.Request("r1", "s", kind, "POST", "/x", (), b"", "key", deadline, True)
    async with (
        raw_endpoint.serving(respond) as guard,
        http_client.open_session(4, 5.0) as session,
        http_client.open_session(4, 0.0) as fresh_session,
    ):
        guard_client = relay.HttpGuardClient(session, "key", clocks, fresh_session)
        url = f"http://127.0.0.1:{guard.port}"
        await guard_client.exchange(url, messages.Run("a1", request, 1), deadline)
        silent.update(guard.open_connections)
        query = messages.ResolveAttempt("a1", 1, deadline, clocks.monotonic() + 2.0)
        replies = [await guard_client.exchange(url, query, deadline) for _ in range(2)]
    assert [reply.verdict for reply in replies] == [messages.Running()] * 2
    assert guard.connections == 3
