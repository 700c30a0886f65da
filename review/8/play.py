"""Tenants get new keys by a desired state, one of them with letters beyond ASCII in its name."""

from __future__ import annotations

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import support_2 as support  # noqa: E402

REQUESTS = 20
"""Requests of each tenant at each machine and for each service."""

APPLY_S = 3.0
"""Time within which a desired state is in force: `config_apply` of the site with tenants."""

PLAIN_NAME, ACCENTED_NAME = "Ensemble Pena", "Ensemble Peña"


async def play(deployment: support.Deployment, trouble: bool) -> None:
    """Compare the tenant that upstreams are told with the one that holds the key."""
    for number, service in ((1, "player"), (2, "desk")):
        upstream = support.Upstream(f"i-{number}", service, "luzon-a")
        instance = await deployment.add(f"side-{number}", "luzon-a", "luzon", upstream)
        deployment.start_node(instance)
        upstream.send_heartbeats(instance.address("heartbeats"))
    rules = [
        support.rule("play", "/play/", "player"),
        support.rule("buy", "/buy/", "desk", "non_idempotent"),
        support.rule("look", "/look/", "desk"),
    ]
    tenants = [{"name": "Cebu Strings", "api_keys": ["key-1"], "priority": 1}]
    deployment.configure(10, rules, tenants=tenants)
    await deployment.wait_ready()
    await deployment.wait_served(["/play/0", "/look/0"], authorization="Token key-1")
    added = ACCENTED_NAME if trouble else PLAIN_NAME
    tenants = [*tenants, {"name": added, "api_keys": ["key-2"], "priority": 1}]
    deployment.configure(17, rules, tenants=tenants)
    await asyncio.sleep(APPLY_S)
    names = {"key-1": "Cebu Strings", "key-2": added}
    expected: dict[str, str] = {}
    for number in range(REQUESTS):
        for instance in deployment.instances:
            for key, name in names.items():
                for method, target in (("GET", "/play/"), ("POST", "/buy/")):
                    attempt_id, _ = await deployment.request(
                        instance, method, f"{target}{number}", authorization=f"Token {key}"
                    )
                    expected[attempt_id] = name
    wrong = 0
    judged = [run for run in deployment.runs() if run.attempt_id in expected]
    for run in judged:
        name, told = expected[run.attempt_id], run.request.field("x-tenant-id") or b""
        # The pages name no character encoding of the header; either usual one is right.
        is_right = told in (name.encode("utf-8"), name.encode("latin-1"))
        wrong += not is_right
        deployment.record(
            f"{run.attempt_id} at {run.upstream}: tenant {name!r}, told {told!r}"
            f"{'' if is_right else ' WRONG'}"
        )
    if len(judged) < len(expected) // 2:
        raise support.Unusable(f"only {len(judged)} of {len(expected)} requests ran")
    if wrong:
        raise support.Broken(f"UNASKED: {wrong} of {len(judged)} runs were told another tenant")


sys.exit(support.main(CASE, play))
