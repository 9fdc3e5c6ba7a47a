"""Rules hold in random histories of partitions from endpoints."""

from __future__ import annotations

import pytest

from tests.endpoint_paths import cut_histories


# Partitions from endpoints, beside restarts, drains and stalls, had callers
# refused, requests run twice, or memory held for good.
@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_over_cuts_restarts_and_drains(seed):
    assert cut_histories.play(seed) == []
