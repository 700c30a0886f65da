"""Whether and when a second attempt is sent while the first has not been answered."""

from __future__ import annotations

import math

from goldcrestgrade import instants
from goldcrestgrade_node import requests
from goldcrestgrade_node.routing import endpoint_stats, views

MIN_DELAY_S = 0.002
"""Shortest delay before a hedge."""

LATE_FACTOR = 10.0
"""Factor on the hedging delay: time from a due hedge until the unhedged attempt is late."""

MIN_LATE_S = 0.5
"""Shortest time from a due hedge until the unhedged attempt is late."""


def late_after_s(delay_s: float) -> float:
    """Return the seconds from a hedge due after `delay_s` until the unhedged attempt is late.

    A late attempt is not cancelled, since some requests take long. A second attempt, charged
    to the retry budget, is sent in case the connection of the first is silent.
    """
    return max(MIN_LATE_S, LATE_FACTOR * delay_s)


def hedge_at(
    request: requests.Request,
    view: views.ServiceView,
    endpoint: endpoint_stats.EndpointStats,
    now: instants.Instant,
) -> instants.Instant:
    """Return when a hedge of an attempt sent to `endpoint` at `now` is due; `NEVER` for none."""
    if request.kind.run_once or not request.retries_allowed or len(view.endpoints) < 2:
        return instants.NEVER
    delay_s = MIN_DELAY_S if endpoint.on_trial else max(MIN_DELAY_S, view.hedge_delay_s)
    at = now + delay_s if math.isfinite(delay_s) else instants.NEVER
    return at if at < request.deadline else instants.NEVER
