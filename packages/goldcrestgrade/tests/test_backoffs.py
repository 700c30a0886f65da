"""Exponential backoffs."""

import pytest

from goldcrestgrade import backoffs


def test_backoff_doubles_up_to_its_limit():
    values = [backoffs.exponential_s(failures, 0.1, 1.0) for failures in range(1, 7)]
    assert values == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.0, 1.0])


@pytest.mark.parametrize("failures", [0, 64, 1024, 1025, 10**6])
def test_backoff_never_overflows(failures):
    """Guards against a process that ends after some 20 minutes without the store."""
    assert backoffs.exponential_s(failures, 0.1, 1.0) == (1.0 if failures else 0.1)
