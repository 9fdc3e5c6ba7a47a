"""A few seeds of the randomized fault injection; ``make soak`` runs more."""

from __future__ import annotations

import pytest

from tests import soak


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_random_faults_cause_no_violation(seed):
    assert soak.run_seed(seed).violations == []


def test_a_seed_gives_the_same_run_twice():
    first, second = soak.run_seed(5), soak.run_seed(5)
    assert (first.faults, first.ends) == (second.faults, second.ends)
