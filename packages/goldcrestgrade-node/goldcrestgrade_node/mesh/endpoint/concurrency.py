"""Concurrency limit of an endpoint, found by trials of limits above and below the current one.

Load pattern: an endpoint is full from its first second on, and completes fewer requests per second
than with some slots free. While it is always full, all of its requests take equally long, so only
a trial of another limit shows what the contention costs. Endpoints differ, and what slows them down
changes, so the limit is tried again from time to time.
"""

from __future__ import annotations

import collections
import math
import statistics
import typing

from goldcrestgrade import instants

MIN_SERVICE_TIME_S = 0.001
"""Shortest service time; the resolution of the endpoints' clocks."""

MIN_LIMIT_SHARE = 0.5
"""Smallest limit, as a share of the slots."""

TRIAL_SAMPLES = 32
"""Requests at a limit before its throughput is compared; their mean varies by about a tenth."""

MIN_TRIAL_SAMPLES = 16
"""Requests after which a trial ends if its throughput is below `ABANDONED_THROUGHPUT`."""

ABANDONED_THROUGHPUT = 0.8
"""Share of the throughput needed to prefer a limit below which its trial ends early."""

TRIAL_TIME_S = 2.0
"""Time after which a trial ends without a result if too few requests ran at its limit."""

MIN_TRIAL_INTERVAL_S = 2.0
"""Time between a trial and the next one once the limit has changed."""

MAX_TRIAL_INTERVAL_S = 8.0
"""Longest time between trials; it doubles with each that did not change the limit."""

MIN_RAISED_THROUGHPUT = 1.0
"""Throughput of a higher limit, relative to the current one, from which it is preferred."""

MIN_LOWERED_THROUGHPUT = 1.08
"""Throughput of a lower limit, relative to the current one, from which it is preferred.

It is above the noise of the averages.
"""

TRIAL_SHARES = (-0.25, 0.08, -0.08, 0.16, -0.25, 0.25, -0.16, -0.5)
"""Distances of the limits that are tried in turn, as shares of the slots; one request at least.

Wide ones leave a limit that only its neighbours make look best. The first one is wide, since an
endpoint that slows down when nearly full is to be relieved at once.
"""

HIGHER_INDEX, LOWER_INDEX = 1, 2
"""Indexes in `TRIAL_SHARES` of the next trial after one that raised or lowered the limit."""


class Sample(typing.NamedTuple):
    """A request that has completed."""

    route_key: str
    service_time_s: float


class Period:
    """Requests that ran with as many in flight as a limit allowed."""

    def __init__(self, limit: int, begun_at: instants.Instant) -> None:
        self.limit = limit
        self.begun_at = begun_at
        self.samples: collections.deque[Sample] = collections.deque(maxlen=TRIAL_SAMPLES)
        """The latest requests."""

    def log_times(self) -> dict[str, list[float]]:
        """Return the logarithms of the service times by route."""
        by_route = collections.defaultdict(list)
        for sample in self.samples:
            by_route[sample.route_key].append(math.log(sample.service_time_s))
        return by_route


def throughput_gain(trial: Period, base: Period) -> float | None:
    """Return the throughput in one period relative to another, by Little's law.

    Service times are compared by route, since routes differ, and by geometric means, which hardly
    depend on single requests that take several times as long. None if the periods share no route.
    """
    in_trial, in_base = trial.log_times(), base.log_times()
    weights = {
        route: 1 / (1 / len(in_trial[route]) + 1 / len(in_base[route]))
        for route in in_trial.keys() & in_base.keys()
    }
    if not weights:
        return None
    difference = sum(
        weight * (statistics.fmean(in_trial[route]) - statistics.fmean(in_base[route]))
        for route, weight in weights.items()
    ) / sum(weights.values())
    return trial.limit / base.limit / math.exp(difference)


class LimitSearch:
    """Search for the concurrency limit of one endpoint; owned by the node's event loop."""

    def __init__(self, now: instants.Instant) -> None:
        self.slots = 1
        self.base = Period(1, now)
        """Period at the limit that is kept unless a trial shows a better one."""
        self.trial: Period | None = None
        self.trial_index = 0
        """Index in `TRIAL_SHARES` of the next trial."""
        self.next_trial_at = now
        self.trial_interval_s = MIN_TRIAL_INTERVAL_S
        """Time until the next trial if the current one does not change the limit."""

    @property
    def limit(self) -> int:
        """Number of requests that may be at the endpoint now."""
        return (self.trial or self.base).limit

    def set_slots(self, slots: int, now: instants.Instant) -> None:
        """Set the number of slots, and begin again if it has changed."""
        if slots != self.slots:
            self.slots = slots
            self.base, self.trial = Period(slots, now), None
            self.trial_index, self.next_trial_at = 0, now
            self.trial_interval_s = MIN_TRIAL_INTERVAL_S

    def record(
        self,
        route_key: str,
        in_flight: int,
        service_time_s: float,
        now: instants.Instant,
        slowdown: float = math.inf,
    ) -> None:
        """Record a request that ran with `in_flight` in flight; it may begin or end a trial.

        `slowdown` is the factor by which requests slow each other down then, infinite if unknown.
        """
        self.end_overdue_trial(now)
        if in_flight != self.limit:
            return
        sample = Sample(route_key, max(MIN_SERVICE_TIME_S, service_time_s))
        if self.trial is None:
            self.base.samples.append(sample)
            if len(self.base.samples) == TRIAL_SAMPLES and now >= self.next_trial_at:
                self._begin_trial(now, slowdown)
            return
        self.trial.samples.append(sample)
        if len(self.trial.samples) >= MIN_TRIAL_SAMPLES:
            self._compare(self.trial, now, slowdown)

    def _compare(self, trial: Period, now: instants.Instant, slowdown: float) -> None:
        """End a trial with enough requests, and keep the limit with the higher throughput."""
        raised = trial.limit > self.base.limit
        needed = MIN_RAISED_THROUGHPUT if raised else MIN_LOWERED_THROUGHPUT
        gain = throughput_gain(trial, self.base)
        is_complete = len(trial.samples) == TRIAL_SAMPLES
        if gain is None or gain < (needed if is_complete else ABANDONED_THROUGHPUT * needed):
            self._end_trial(now)
            return
        if not is_complete:
            return
        self.trial_interval_s = MIN_TRIAL_INTERVAL_S
        self.base, self.trial = trial, None
        self.trial_index = HIGHER_INDEX if raised else LOWER_INDEX
        self._begin_trial(now, slowdown)

    def _begin_trial(self, now: instants.Instant, slowdown: float) -> None:
        """Try the next limit that may raise the throughput, if there is one."""
        for _ in TRIAL_SHARES:
            limit = self._limit_at_distance(TRIAL_SHARES[self.trial_index])
            if self._may_raise_throughput(limit, slowdown):
                self.trial = Period(limit, now)
                return
            self.trial_index = (self.trial_index + 1) % len(TRIAL_SHARES)

    def _limit_at_distance(self, share: float) -> int:
        distance = max(1, round(abs(share) * self.slots))
        limit = self.base.limit + (distance if share > 0 else -distance)
        lowest = max(1, math.ceil(MIN_LIMIT_SHARE * self.slots))
        return min(self.slots, max(lowest, limit))

    def _may_raise_throughput(self, limit: int, slowdown: float) -> bool:
        """Return whether a limit is worth a trial; at a lower one nothing may slow down at best."""
        if limit < self.base.limit:
            return slowdown * limit >= MIN_LOWERED_THROUGHPUT * self.base.limit
        return limit > self.base.limit

    def end_overdue_trial(self, now: instants.Instant) -> None:
        """End a trial during which too few requests ran at its limit."""
        if self.trial is not None and now >= self.trial.begun_at + TRIAL_TIME_S:
            self._end_trial(now)

    def _end_trial(self, now: instants.Instant) -> None:
        """Return to the limit before the trial, whose period begins again."""
        self.trial = None
        self.base = Period(self.base.limit, now)
        self.trial_index = (self.trial_index + 1) % len(TRIAL_SHARES)
        self.next_trial_at = now + self.trial_interval_s
        self.trial_interval_s = min(MAX_TRIAL_INTERVAL_S, 2 * self.trial_interval_s)
