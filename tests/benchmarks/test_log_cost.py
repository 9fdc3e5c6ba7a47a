"""Smoke tests of the log cost benchmark."""

from __future__ import annotations

import pytest

from benchmarks import log_cost


@pytest.mark.parametrize("outcome", list(log_cost.Outcome))
def test_lines_are_counted_only_when_logging(outcome):
    silent = log_cost.measure(outcome, has_lines=False, requests=32)
    spoken = log_cost.measure(outcome, has_lines=True, requests=32)
    assert silent.lines == 0
    assert spoken.lines > 0
    assert silent.request_us > 0


def test_refused_request_is_always_logged():
    refused = log_cost.measure(
        log_cost.Outcome.REFUSED, has_lines=True, requests=32
    )
    assert refused.lines >= 2
