"""Virtual times of accounts."""

from __future__ import annotations

from jujubewharf.admission import fair_share
from jujubewharf.admission import tickets


def _ticket(account, cost=1.0):
    return tickets.Ticket(0, account, cost, False, False, 1_000.0)


def _queued(shares, account, cost=1.0):
    ticket = _ticket(account, cost)
    shares.queued(ticket)
    return ticket


def test_idle_time_is_no_credit():
    """An account that was idle must not block the others when it returns."""
    shares = fair_share.FairShare()
    waiting = [_queued(shares, "busy") for _ in range(100)]
    _queued(shares, "other")
    for ticket in waiting[:50]:
        shares.served(ticket)
    back = _queued(shares, "idle")
    other = _queued(shares, "other")
    assert shares.virtual_time(back) == shares.virtual_time(other)


def test_use_of_idle_capacity_is_no_debt():
    """An account must not pay for what nobody else wanted."""
    shares = fair_share.FairShare()
    for _ in range(1_000):
        shares.served(_queued(shares, "busy", cost=9.0))
    busy, other = _queued(shares, "busy"), _queued(shares, "other")
    assert shares.virtual_time(busy) == shares.virtual_time(other)


def test_account_that_leaves_and_returns_keeps_its_debt():
    """Emptying its queue for a moment must not reset a greedy account."""
    shares = fair_share.FairShare()
    other = _queued(shares, "other")
    for _ in range(10):
        shares.served(_queued(shares, "greedy"))
    greedy = _queued(shares, "greedy")
    assert shares.virtual_time(greedy) == shares.virtual_time(other) + 10.0


def test_memory_is_bounded():
    """Accounts that come and go must not accumulate."""
    shares = fair_share.FairShare()
    waiting = _queued(shares, "waiting")
    for number in range(20_000):
        shares.served(_queued(shares, f"a{number}"))
        if number % 50 == 0:
            following = _queued(shares, "waiting")
            shares.served(waiting)
            waiting = following
            assert shares.account_count < 300
    shares.left(waiting)
    assert shares.account_count == 0
    assert not shares.is_active


def test_single_account_is_inactive():
    """The order must stay the former one while nobody competes."""
    shares = fair_share.FairShare()
    tickets_of_one = [_queued(shares, "a") for _ in range(3)]
    shares.served(tickets_of_one[0])
    assert not shares.is_active
    assert shares.virtual_time(tickets_of_one[1]) == 0.0
    shares.left(tickets_of_one[1])
    _queued(shares, None)
    assert shares.is_active
