"""Division of the retry allowance by demand."""

from __future__ import annotations

import random

import pytest

from jujubewharf.leadership import retry_shares

WINDOW_MS = 10_000.0
SETTLED_MS = 2.0 * WINDOW_MS + 2_500.0


class Fleet:
    """A leader's division, and followers that confirm each share at once."""

    def __init__(
        self,
        *names: str,
        held: float | None = None,
        is_first_term: bool = True,
    ) -> None:
        self.shares = retry_shares.RetryShares(WINDOW_MS)
        self.holders = {name: retry_shares.Holder(name) for name in names}
        self.now_ms = 0.0
        own, *others = self.holders.values()
        self.shares.begin(own, held, self.now_ms, is_first_term=is_first_term)
        for holder in others:
            self.shares.add(holder)
            self.shares.report(holder, 0, held, 0.0, self.now_ms)

    def run(self, for_ms: float, **wanted: float) -> None:
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += 1_000.0
            for name, holder in self.holders.items():
                self.shares.report(
                    holder,
                    holder.number,
                    None,
                    wanted.get(name, 0.0),
                    self.now_ms,
                )
            self.shares.divide(self.now_ms)
            assert self.total <= 1.0 + 1e-9

    @property
    def total(self) -> float:
        return sum(h.counted(self.now_ms) for h in self.holders.values())

    def share(self, name: str) -> float:
        return self.holders[name].share


def test_first_fleet_shares_equally_within_seconds():
    """A fleet that has just started may retry without demand being known."""
    fleet = Fleet("e1", "e2", "e3", "e4")
    fleet.run(2_000.0)
    assert fleet.total == 0.0
    fleet.run(2_000.0)
    assert [fleet.share(n) for n in fleet.holders] == pytest.approx(
        [0.85 * 0.25] * 4
    )


def test_restarted_fleet_waits_for_the_shares_of_former_processes():
    """A restarted domain that is cut off took itself for a new fleet.

    Instances elsewhere, or the killed processes, may have used all shares.
    """
    fleet = Fleet("e1", "e2", "e3", is_first_term=False)
    fleet.run(SETTLED_MS - 1_500.0, e1=30.0)
    assert fleet.total == 0.0
    fleet.run(4_000.0, e1=30.0)
    assert fleet.total > 0.8


def test_share_follows_demand():
    """Instances with few callers kept retries that others were denied."""
    fleet = Fleet("e1", "e2", "e3", "e4")
    fleet.run(5_000.0)
    fleet.run(15_000.0, e2=30.0)
    assert fleet.share("e2") == pytest.approx(
        0.85 * (0.25 / 4 + 0.75), rel=0.12
    )
    fleet.run(15_000.0, e3=30.0)
    assert fleet.share("e3") > 0.6
    assert fleet.share("e2") < 0.1


def test_even_demand_gets_nearly_the_whole_allowance():
    """The reserve for demand that moves was denied to demand that doesn't."""
    names = [f"e{number}" for number in range(12)]
    fleet = Fleet(*names)
    rng = random.Random(1)
    for _ in range(40):
        fleet.run(1_000.0, **{n: rng.uniform(25.0, 35.0) for n in names})
    assert fleet.total > 0.98
    assert max(map(fleet.share, names)) == min(map(fleet.share, names))


def test_instance_that_joins_even_demand_gets_an_equal_share():
    """Without a reserve it got nothing, as each other share changes little."""
    names = [f"e{number}" for number in range(12)]
    fleet = Fleet(*names)
    fleet.run(30_000.0, **dict.fromkeys(names, 30.0))
    fleet.holders["new"] = retry_shares.Holder("new")
    fleet.shares.add(fleet.holders["new"])
    names.append("new")
    fleet.run(1_000.0, **dict.fromkeys(names, 30.0))
    assert fleet.share("new") >= 0.2 / 13
    fleet.run(14_000.0, **dict.fromkeys(names, 30.0))
    assert fleet.share("new") == pytest.approx(1.0 / 13, rel=0.03)


def test_allowance_moves_once_demand_is_no_longer_even():
    fleet = Fleet("e1", "e2", "e3", "e4")
    fleet.run(30_000.0, e1=30.0, e2=30.0, e3=30.0, e4=30.0)
    assert fleet.share("e1") == pytest.approx(0.95 / 4)
    fleet.run(15_000.0, e1=30.0)
    assert fleet.share("e1") > 0.6


def test_share_is_not_raised_before_the_former_holder_window_is_over():
    """Retries of the former holder still count in the window."""
    fleet = Fleet("e1", "e2")
    fleet.run(5_000.0)
    fleet.run(30_000.0, e1=30.0)
    held = fleet.share("e1")
    fleet.run(9_000.0, e2=30.0)
    assert fleet.share("e1") < 0.2
    assert fleet.share("e2") <= 1.0 - held + 1e-9
    fleet.run(4_000.0, e2=30.0)
    assert fleet.share("e2") > 0.6


def test_unconfirmed_share_counts():
    """A follower behind a slow link may still use its former share."""
    fleet = Fleet("e1", "e2")
    fleet.run(30_000.0, e2=30.0)
    held = fleet.share("e2")
    slow = fleet.holders["e2"]
    for _ in range(40):
        fleet.now_ms += 1_000.0
        fleet.shares.report(
            fleet.holders["e1"],
            fleet.holders["e1"].number,
            None,
            50.0,
            fleet.now_ms,
        )
        slow.wanted = 0.0
        fleet.shares.divide(fleet.now_ms)
        assert fleet.share("e1") <= 1.0 - held + 1e-9


def test_share_of_lost_follower_counts_while_it_may_use_it():
    fleet = Fleet("e1", "e2", "e3")
    fleet.run(30_000.0, e2=30.0)
    lost = fleet.holders.pop("e2")
    held = lost.share
    fleet.shares.remove(lost, fleet.now_ms)
    fleet.run(SETTLED_MS - 1_500.0, e1=30.0)
    assert fleet.total <= 1.0 - held + 1e-9
    fleet.run(4_000.0, e1=30.0)
    assert fleet.total > 0.8


def test_new_leader_divides_only_what_its_followers_hold():
    """Instances that it has not seen may use the rest for a while."""
    fleet = Fleet("e1", "e2", "e3", held=0.1)
    fleet.run(SETTLED_MS - 1_500.0, e2=30.0)
    assert fleet.total <= 0.3 + 1e-9
    assert fleet.share("e2") > 0.12
    fleet.run(4_000.0, e2=30.0)
    assert fleet.total > 0.8


def test_restarted_instance_brings_no_share():
    """Its former process may have used up its share just before."""
    fleet = Fleet("e1", "e2", held=0.5)
    fleet.run(3_000.0)
    lost = fleet.holders.pop("e2")
    fleet.shares.remove(lost, fleet.now_ms)
    again = fleet.holders["e2"] = retry_shares.Holder("e2")
    fleet.shares.add(again)
    fleet.run(9_000.0, e2=30.0)
    assert fleet.total + lost.counted(fleet.now_ms) <= 1.0 + 1e-9
    assert lost.counted(fleet.now_ms) == pytest.approx(0.85 * 0.5)


def test_share_of_a_killed_process_counts_beside_that_of_the_next_one():
    """Both may have retried within the window; only the higher one counted."""
    fleet = Fleet("e1", "e2", held=0.5)
    fleet.run(SETTLED_MS + 5_000.0, e2=30.0)
    killed = fleet.holders.pop("e2")
    fleet.shares.remove(killed, fleet.now_ms)
    restarted = fleet.holders["e2"] = retry_shares.Holder("e2")
    fleet.shares.add(restarted)
    fleet.run(3_000.0, e2=30.0)
    held = restarted.share
    assert held > 0.0
    fleet.shares.remove(restarted, fleet.now_ms)
    again = retry_shares.Holder("e2")
    fleet.shares.add(again)
    fleet.shares.report(again, 0, held, 30.0, fleet.now_ms)
    fleet.holders["e2"] = again
    for _ in range(8):
        fleet.run(1_000.0, e1=30.0)
        used = killed.counted(fleet.now_ms) + held
        assert fleet.share("e1") + used <= 1.0 + 1e-9


def test_new_instance_has_a_share_at_once():
    """It could not retry until a window after it joined."""
    fleet = Fleet("e1", "e2", "e3")
    fleet.run(30_000.0, e2=30.0)
    fleet.holders["e4"] = retry_shares.Holder("e4")
    fleet.shares.add(fleet.holders["e4"])
    fleet.run(1_000.0, e2=30.0)
    assert fleet.share("e4") == pytest.approx(0.85 * 0.25 / 4)


def test_followers_of_older_builds_keep_their_equal_share():
    """They divide by the number of instances and report nothing."""
    fleet = Fleet("e1", "e2", "e3")
    fleet.shares.add(retry_shares.Holder("old"))
    fleet.run(30_000.0, e1=30.0)
    assert fleet.total <= 0.75 + 1e-9


def test_reports_out_of_range_are_bounded():
    fleet = Fleet("e1", "e2")
    odd = retry_shares.Holder("odd")
    fleet.shares.add(odd)
    fleet.shares.report(odd, 10**9, -4.0, -1e9, 0.0)
    fleet.shares.report(odd, -1, 7.0, 1e300, 0.0)
    fleet.holders["odd"] = odd
    fleet.run(40_000.0, e1=3.0)
