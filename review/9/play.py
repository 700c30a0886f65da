"""A desired state adds a route whose name holds a no-break space."""

from __future__ import annotations

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import support_2 as support  # noqa: E402

REQUESTS = 20
"""Requests on the added route at each machine."""

APPLY_S = 2.0
"""Time within which a desired state is in force: `config_apply` of the site."""

CALM_S = 5.0
"""Time for which nothing happens before the change; above `contact`, so machines are in touch."""

PLAIN_NAME, SPACED_NAME = "moderation desk", "moderation\u00a0desk"


async def play(deployment: support.Deployment, trouble: bool) -> None:
    """Use the added route later than `config_apply` after the store has confirmed it."""
    for number, service in ((1, "archive"), (2, "corrections")):
        upstream = support.Upstream(f"i-{number}", service, "khomas-a")
        instance = await deployment.add(f"side-{number}", "khomas-a", "khomas", upstream)
        deployment.start_node(instance)
        upstream.send_heartbeats(instance.address("heartbeats"))
    rules = [
        support.rule("read", "/archive/", "archive"),
        support.rule("check", "/check/", "corrections"),
    ]
    deployment.configure(10, rules)
    await deployment.wait_ready()
    await deployment.wait_served(["/archive/0", "/check/0"])
    await asyncio.sleep(CALM_S)
    added = support.rule(SPACED_NAME if trouble else PLAIN_NAME, "/desk/", "corrections")
    deployment.configure(17, [*rules, added])
    await asyncio.sleep(APPLY_S + 0.5)
    refused = 0
    for number in range(REQUESTS):
        for instance in deployment.instances:
            _, answer = await deployment.request(instance, "GET", f"/desk/{number}")
            refused += answer is not None and answer.status == 404
            _, answer = await deployment.request(instance, "GET", f"/archive/{number}")
            if answer is None or answer.status != 200:
                raise support.Unusable("a route of the first desired state is not served")
    if refused:
        raise support.Broken(
            f"CONFIG: {refused} of {REQUESTS * len(deployment.instances)} requests on the added "
            f"route were refused with 404 more than {APPLY_S} s after its confirmation"
        )


sys.exit(support.main(CASE, play))
