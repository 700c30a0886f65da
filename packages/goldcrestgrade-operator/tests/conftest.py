from __future__ import annotations

import asyncio
import socket
import threading

import orjson
import pytest

from goldcrestgrade import headers, outcomes, records, sheet
from goldcrestgrade_node import asgi, servers
from goldcrestgrade_operator import __main__ as command_line
from goldcrestgrade_operator import options
from goldcrestgrade_testing import memory_platform, platform_server

SHARED_KEY = "operators-shared-key"
HOST = "127.0.0.1"


class FakeNode:
    """Fake control address of node `archive-1`, which lists itself and `archive-2` as members."""

    def __init__(self, store: memory_platform.MemoryTables) -> None:
        self.store = store
        self.behind: set[str] = set()
        self.pushed_sheets: list[tuple[str, bytes]] = []
        self.nodes_with_old_record: set[str] = set()
        """Ids of nodes whose record has an older sheet version than the one they have in force."""
        self.state = records.EndpointState.READY
        self.sheet_version: int | None = None
        """Version that the node has in force; none stands for that of the head row."""
        self.in_flight = 0
        self.url = ""

    async def __call__(self, scope, receive, send) -> None:
        request_headers = dict(asgi.headers_of(scope))
        if request_headers.get(headers.CONTROL_KEY) != SHARED_KEY:
            answer = outcomes.Answer(401, (), b"{}")
        elif (scope["method"], scope["path"]) == ("POST", "/v1/drain"):
            self.state = records.EndpointState.LEFT
            answer = outcomes.Answer(202, (), b"")
        elif scope["path"] == "/v1/drain":
            document = {"state": self.state, "in_flight": self.in_flight}
            answer = outcomes.Answer(200, (), orjson.dumps(document))
        elif (scope["method"], scope["path"]) == ("PUT", "/v1/sheet"):
            body = await asgi.read_body(receive)
            self.pushed_sheets.append((request_headers[headers.SHEET_VERSION], body))
            answer = outcomes.Answer(204, (), b"")
        elif scope["path"] == "/v1/adoption":
            document = {"sheet_version": 0 if self.behind else self.status()["sheet_version"]}
            answer = outcomes.Answer(200, (), orjson.dumps(document))
        else:
            answer = outcomes.Answer(200, (), orjson.dumps(self.status()))
        await asgi.send_answer(send, answer, "")

    def status(self) -> dict:
        row = self.store.rows.get((sheet.HEAD_TABLE, sheet.HEAD_KEY))
        version = row.value["version"] if row else 0
        if self.sheet_version is not None:
            version = self.sheet_version
        return {
            "node_id": "archive-1",
            "state": self.state,
            "sheet_version": version,
            "sheet_day": "",
            "in_flight": 0,
            "members": [self.record(name, version) for name in ("archive-1", "archive-2")],
        }

    def record(self, node_id: str, version: int) -> records.NodeRecord:
        _, _, port = self.url.rpartition(":")
        return records.NodeRecord(
            node_id=node_id,
            incarnation=1,
            revision=1,
            region="khomas",
            failure_domain="khomas-a",
            control_host=HOST,
            control_port=int(port),
            state=self.state if node_id == "archive-1" else records.EndpointState.READY,
            endpoint={
                "service": "archive",
                "host": HOST,
                "port": 9,
                "slots": 10,
                "connections": 220,
            },
            sheet_version=0 if node_id in self.behind | self.nodes_with_old_record else version,
            expires_at=0.0,
        )


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return listener.getsockname()[1]


@pytest.fixture
def serve():
    """Serve ASGI applications on loopback, on an event loop in a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    running = []

    def start(app) -> str:
        port = free_port()
        server = servers.create(app, {"host": HOST, "port": port})
        running.append((server, asyncio.run_coroutine_threadsafe(server.serve(), loop)))
        while not server.started:
            threading.Event().wait(0.01)
        return f"http://{HOST}:{port}"

    yield start
    for server, _ in running:
        server.should_exit = True
    for _, done in running:
        done.result(timeout=20)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def store():
    return memory_platform.MemoryTables()


@pytest.fixture
def node(serve, store):
    fake = FakeNode(store)
    fake.url = serve(fake)
    return fake


@pytest.fixture
def command(serve, store, node, monkeypatch, capsys):
    """Run a command line against the fake node and platform; return exit status, output, errors."""
    monkeypatch.setenv(options.KEY_VARIABLE, SHARED_KEY)
    platform_url = serve(platform_server.create(store, memory_platform.MemoryObjects()))

    def run(*arguments: str) -> tuple[int, str, str]:
        defaults = (f"--platform={platform_url}", f"--node={node.url}", "--operator=anna")
        status = command_line.run(["goldcrestgrade", *defaults, *arguments])
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return run
