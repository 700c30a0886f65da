"""Collection of garbage in a node."""

import gc

import pytest

from goldcrestgrade_node import garbage

MAX_COLLECTED = 10_000
"""Objects that one collection may free, which takes some 20 ms."""


@pytest.fixture
def collector():
    """Restore the thresholds of the collector, which goes on leaving out the modules."""
    thresholds = gc.get_threshold()
    yield
    gc.set_threshold(*thresholds)


def test_garbage_is_collected_in_small_steps(collector):
    """Guards against a collection that holds the event loop for 0.1 s."""
    collected = []

    def record(phase, info):
        if phase == "stop":
            collected.append(info["collected"])

    garbage.configure_collector()
    gc.callbacks.append(record)
    try:
        for _ in range(200_000):
            cycle = []
            cycle.append(cycle)
    finally:
        gc.callbacks.remove(record)
    assert sum(collected) > 100_000
    assert max(collected) <= MAX_COLLECTED
