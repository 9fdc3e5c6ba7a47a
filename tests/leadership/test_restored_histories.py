"""Histories of restores, cuts and starts, with the rules they keep."""

from __future__ import annotations

import pytest

from tests.forwarding import deployments
from tests.leadership import restored_histories

SEEDS = [(seed, count) for seed in range(6) for count in (1, 3, 6, 12)]
# Each of these has shown a fault.
SEEDS += [(12, 3), (16, 3), (20, 1), (14, 6), (159, 6)]
SEEDS += [(22, 1), (34, 1), (31, 3), (42, 3), (56, 3), (33, 6)]
SEEDS += [(222, 3), (222, 6), (22, 3), (28, 6), (37, 3), (56, 6)]


@pytest.mark.parametrize(("seed", "count"), SEEDS)
def test_rules_hold_over_restores_cuts_and_starts(seed, count):
    """Versions and fences never go back, leavers get no work, one leads."""
    deployments.run(restored_histories.History(seed, count).run())
