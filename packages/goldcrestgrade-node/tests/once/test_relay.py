from __future__ import annotations

import asyncio
import contextlib

import pytest

from goldcrestgrade import headers, http_client, instants, outcomes, reasons, sheet
from goldcrestgrade_node import requests, servers
from goldcrestgrade_node.once import messages, relay

KIND = sheet.Kind("POST /*", run_once=True, timeout_s=5.0)
VERDICTS = [
    messages.Resolved(outcomes.Ran(outcomes.Answer(201, (("x-letter", "1"),), b"whole"))),
    messages.Resolved(outcomes.NotRun(reasons.Refusal.KEY_REUSED)),
    messages.Resolved(outcomes.Unknown(reasons.Uncertainty.ENDPOINT_DIED)),
    messages.Released(),
    messages.Running(),
    messages.Gone(),
]


class StubGuard:
    """Records the messages that it receives and replies with the same verdict to each."""

    def __init__(self, verdict: messages.Verdict) -> None:
        self.verdict = verdict
        self.received: list[messages.Message] = []

    async def receive(self, message):
        self.received.append(message)
        return messages.Reply(message.attempt_id, self.verdict)


@contextlib.asynccontextmanager
async def serving(app):
    server = servers.create(app, {"host": "127.0.0.1", "port": 0})
    task = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    async with http_client.open_session(4, 5.0) as session:
        yield f"http://127.0.0.1:{port}", session
    server.should_exit = True
    await task


def make_messages(deadline: float) -> list[messages.Message]:
    request = requests.Request(
        "r", "intake", KIND, "POST", "/x?y", (("a", "é"),), b"\x00body", "k", deadline, False
    )
    return [
        messages.Run("a1", request, 7),
        messages.ResolveAttempt("a2", 7, deadline, deadline),
        messages.Release("a3", "row", "token", 7, deadline),
    ]


@pytest.mark.parametrize("verdict", VERDICTS)
async def test_message_and_verdict_are_unchanged_by_the_relay(verdict):
    clocks = instants.system_clocks()
    stub = StubGuard(verdict)
    deadline = clocks.monotonic() + 5
    async with serving(relay.RelayApp(stub, clocks)) as (url, session):
        guard_client = relay.HttpGuardClient(session, "shared", clocks)
        for message in make_messages(deadline):
            reply = await guard_client.exchange(url, message, deadline)
            assert reply == messages.Reply(message.attempt_id, verdict)
    run, resolve, release = stub.received
    assert run.request.body == b"\x00body"
    assert run.request.headers == (("a", "é"),)
    assert run.request.deadline == pytest.approx(deadline, abs=0.1)
    assert resolve.guard_incarnation == release.guard_incarnation == 7
    assert (release.row_key, release.token) == ("row", "token")


async def test_malformed_message_is_refused():
    async def send(session, url):
        fields = {relay.MESSAGE_HEADER: '{"message":"run"}'}
        async with session.post(url + relay.PATH, headers=fields) as response:
            return response.status, response.headers.get(headers.ATTEMPT_ID)

    stub = StubGuard(messages.Gone())
    async with serving(relay.RelayApp(stub, instants.system_clocks())) as (url, session):
        assert await send(session, url) == (400, None)
    assert stub.received == []


async def test_guard_that_does_not_listen_is_unreachable():
    clocks = instants.system_clocks()
    async with http_client.open_session(4, 5.0) as session:
        guard_client = relay.HttpGuardClient(session, "shared", clocks)
        deadline = clocks.monotonic() + 5
        with pytest.raises(messages.Unreachable):
            await guard_client.exchange("http://127.0.0.1:1", make_messages(deadline)[1], deadline)


async def test_reply_without_a_verdict_is_lost():
    async def app(_scope, _receive, send):
        await send({"type": "http.response.start", "status": 500, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    clocks = instants.system_clocks()
    deadline = clocks.monotonic() + 5
    async with serving(app) as (url, session):
        guard_client = relay.HttpGuardClient(session, "shared", clocks)
        with pytest.raises(messages.ReplyLost):
            await guard_client.exchange(url, make_messages(deadline)[0], deadline)
