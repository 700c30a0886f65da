"""Policies that the model compares: the product's, and ones without a mechanism of it."""

from __future__ import annotations

import contextlib
import math
import typing
from unittest import mock

from goldcrestgrade_node.mesh.endpoint import admission, concurrency, decision, estimates
from goldcrestgrade_node.mesh.entry import dispatch, distances, offers, placement, returning
from goldcrestgrade_node.mesh.state import directory
from goldcrestgrade_node.mesh.transport import requests

Policy = typing.Callable[[], contextlib.AbstractContextManager[object]]
"""Puts a policy in force while its context is entered."""


def replaced(owner: object, name: str, value: object) -> Policy:
    """Return a policy that replaces an attribute of the product's code."""
    return lambda: mock.patch.object(owner, name, value)


def no_late_admission() -> contextlib.AbstractContextManager[object]:
    """Admit no request that is expected to miss its latency target."""
    evaluate = decision.rejection

    def rejection(
        state: decision.State, request: decision.Request, *terms: typing.Any
    ) -> decision.Rejected | None:
        return evaluate(state, request._replace(late_allowed=False), *terms)

    return mock.patch.object(decision, "rejection", rejection)


def no_forwarding() -> contextlib.AbstractContextManager[object]:
    """Return each request that an endpoint's node rejects to its entry node."""

    async def forward(
        _dispatcher: dispatch.Dispatcher, _call: requests.Call, rejected: requests.Served
    ) -> requests.Served:
        return rejected

    return mock.patch.object(dispatch.Dispatcher, "forward", forward)


def own_region_only() -> contextlib.AbstractContextManager[object]:
    """Offer no request to another region."""
    choose = placement.choose

    def choose_near(
        own: directory.Location,
        instances: typing.Sequence[directory.Instance],
        *terms: typing.Any,
    ) -> placement.Choice | None:
        near = [each for each in instances if each.row.place.region == own.region]
        return choose(own, near, *terms)

    return mock.patch.object(placement, "choose", choose_near)


POLICIES: dict[str, Policy] = {
    "current": contextlib.nullcontext,
    "all slots": replaced(concurrency.LimitSearch, "limit", property(lambda search: search.slots)),
    "target from each attempt": replaced(returning.UsualTimeouts, "elapsed_s", lambda *_: 0.0),
    "no late admission": no_late_admission,
    "no backoff after a rejection": replaced(dispatch, "REJECTION_BACKOFF_LIMIT_S", 0.0),
    "no check before admission": replaced(
        admission.AdmissionController, "is_pace_outdated", lambda _: False
    ),
    "no pace by silence": replaced(estimates, "STALL_THRESHOLD", math.inf),
    "no service time margin": replaced(estimates, "SERVICE_TIME_MARGIN", 1.0),
    "own region only": own_region_only,
    "no forwarding": no_forwarding,
    "reported load of the own endpoint": replaced(
        offers.Offers, "_refresh_own_load", lambda *_: None
    ),
    "assumed distances": replaced(distances.RoundTrips, "known_s", lambda *_: None),
}
"""Policies by name."""
