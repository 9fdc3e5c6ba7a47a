"""The retry allowance follows demand and is never exceeded."""

from __future__ import annotations

import types

import pytest

from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_retries
from jujubewharf.peers import demand_messages
from tests.forwarding import deployments
from tests.leadership import retry_histories


@pytest.mark.parametrize("count", [3, 6, 12])
@pytest.mark.parametrize("seed", range(8))
def test_retries_stay_within_the_budget_of_the_fleet(seed, count):
    """Moving shares, partitions and leader changes must add no retries.

    The checker knows only the first attempts and the retries that endpoints
    saw. Retries may use up to 0.85 of the budget, which would hide a share
    that is used twice, so the sum of the shares is checked as well.
    """
    seen = deployments.run(retry_histories.History(seed, count).run())
    assert len(seen.retries) > 100
    seen.check()
    assert seen.highest_sum <= 1.0 + 1e-9


class _Follower:
    """An instance whose leader divides among four instances."""

    def __init__(self):
        self.at_ms = 0.0
        self.link = types.SimpleNamespace(link_count=1, tell=lambda m: None)
        self.fleet = types.SimpleNamespace(
            link=self.link,
            role=fleets.Role.FOLLOWING,
            equal_share=lambda: 0.25,
        )
        self.retries = fleet_retries.FleetRetries(
            self.fleet,
            types.SimpleNamespace(wanted=lambda: 0.0),
            types.SimpleNamespace(now_ms=lambda: self.at_ms),
            window_ms=10_000.0,
            name="e1",
        )

    def run(self, for_ms):
        until_ms = self.at_ms + for_ms
        while self.at_ms < until_ms:
            self.at_ms += 1_000.0
            share = self.retries.share()
        return share

    def change_leader(self):
        self.link.link_count += 1


@pytest.mark.parametrize(("held", "at_first"), [(0.01, 0.01), (0.9, 0.25)])
def test_equal_share_of_an_older_leader_waits_for_shares_by_demand(
    held, at_first
):
    """Rising at once added to what others had used within the window."""
    follower = _Follower()
    follower.run(1_000.0)
    follower.link.on_retry_share(demand_messages.RetryShare(1, held))
    assert follower.run(2_000.0) == held
    follower.change_leader()
    assert follower.run(6_000.0) == at_first
    assert follower.run(16_000.0) == at_first
    assert follower.run(4_000.0) == 0.25


def test_restart_of_all_instances_adds_no_retries():
    """Each process of the restarted fleet had its share a second time."""
    seen = deployments.run(
        retry_histories.History(1, 6, has_faults=False).run(
            for_ms=60_000.0, restart_all_after_ms=30_000.0
        )
    )
    assert seen.denied > 100
    seen.check()
    assert seen.highest_sum <= 1.0 + 1e-9


@pytest.mark.parametrize("seed", range(4))
def test_busy_instances_use_the_allowance_of_idle_ones(seed):
    """With equal shares, busy instances were denied what others had unused.

    Of 12 instances at most three are busy at a time. The demand is the same
    in both histories.
    """
    by_demand, equal = (
        deployments.run(
            retry_histories.History(
                seed, 12, has_faults=False, is_equal=is_equal
            ).run()
        )
        for is_equal in (False, True)
    )
    by_demand.check()
    assert by_demand.from_allowance > 2.0 * equal.from_allowance
