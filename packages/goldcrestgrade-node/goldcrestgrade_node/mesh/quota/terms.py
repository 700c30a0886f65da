"""Terms of a quota: the flow of tokens and the time for which a token may be used.

Load pattern: a few large workspaces use their quota up for seconds, hundreds of small ones seldom
use theirs, and a third of the nodes may be out of contact. The bound must hold without agreement
between nodes, so it rests on the age of tokens alone: all nodes together accrue `flow` tokens a
second, and a token is void once it is older than `lifetime_s`. The tokens spent in a window were
accrued in the window or in the lifetime before it, wherever they were meanwhile, so there are at
most flow x (window + lifetime) of them. Used oldest first, such tokens act like a token bucket that
holds flow x lifetime.
"""

from __future__ import annotations

import typing

MEMBERSHIP_RESERVE = 0.03
"""Share by which the shares of the flow may add up to more than 1 for a moment.

Nodes out of contact that do not know of new nodes cause it: with 30% of the nodes out of contact
while the fleet grows by 10%, the shares add up to 1 + 0.3 x 0.1 / 1.1 = 1.027.
"""

USED_OVERAGE = 0.5
"""Largest share of the allowed overage that is added to the flow.

It makes up for tokens that become void at nodes that cannot hand them over.
"""

MIN_FLOW = 0.95
"""Smallest flow as a multiple of the rate, whatever the lifetime."""

TRANSFER_LIFETIME_S = 1.5
"""Lifetime up to which a part of the flow is given up for a longer lifetime.

A token that is collected every half second and moves twice arrives within it.
"""


class Rules(typing.NamedTuple):
    """What the deployment allows above a quota."""

    window_s: float
    overage: float
    slack: float


class Terms(typing.NamedTuple):
    """Terms of the quota of one workspace."""

    rate: float
    """Requests a second that the configuration names."""
    flow: float
    """Tokens a second that all nodes accrue together."""
    lifetime_s: float
    """Age from which a token is void."""


def allowed(rate: float, burst: float, rules: Rules) -> float:
    """Return how many requests may be sent and run in any window."""
    return (rate * rules.window_s + burst) * (1 + rules.overage) + rules.slack


def derive(rate: float, burst: float, rules: Rules) -> Terms:
    """Return the terms with the largest useful flow that keep the bound in every window."""
    reserve = 1 + min(MEMBERSHIP_RESERVE, USED_OVERAGE * rules.overage)
    usable = allowed(rate, burst, rules) / reserve
    with_transfers = usable / (rules.window_s + TRANSFER_LIFETIME_S)
    flow = min(rate * (1 + USED_OVERAGE * rules.overage), max(with_transfers, rate * MIN_FLOW))
    return Terms(rate, flow, usable / flow - rules.window_s)


def most_tokens(quota: Terms) -> float:
    """Return how many tokens all nodes together can have at an instant."""
    return quota.flow * quota.lifetime_s
