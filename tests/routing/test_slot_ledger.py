"""One engine's books: holders, promises and the line."""

from __future__ import annotations

import pytest

from jujubewharf.routing import hold_times
from jujubewharf.routing import slot_ledger


def _ledger(slots=2, hold_ms=1_000.0):
    times = hold_times.HoldTimes(hold_ms)
    for _ in range(50):
        times.add(hold_ms)
    return slot_ledger.SlotLedger(slots, times)


def _wish(number, *, ready_in_ms=500, latest_at_ms=5_000, **fields):
    holder = slot_ledger.Holder("e1", number)
    return slot_ledger.Wish(holder, ready_in_ms, latest_at_ms, **fields)


def _granted(ledger, now_ms):
    numbers = []
    while (wish := ledger.grant_next(now_ms)) is not None:
        numbers.append(wish.holder.number)
    return numbers


def test_no_more_promises_than_slots():
    ledger = _ledger(slots=2)
    for number in (1, 2, 3):
        ledger.wish(_wish(number))
    assert _granted(ledger, 0) == [1, 2]


def test_a_slot_is_promised_before_it_is_free():
    ledger = _ledger(slots=1)
    ledger.hold(slot_ledger.Holder("e2", 9), since_ms=0)
    ledger.wish(_wish(1, ready_in_ms=300))
    assert _granted(ledger, 200) == []
    assert _granted(ledger, 900) == [1]
    assert ledger.free == 0


def test_a_read_prompt_goes_before_promises_and_priorities():
    ledger = _ledger(slots=1)
    ledger.wish(_wish(1, priority=9))
    ledger.wish(_wish(2, ready_in_ms=0, is_ready=True))
    assert _granted(ledger, 0) == [2]


def test_priority_then_the_nearest_deadline():
    ledger = _ledger(slots=3)
    ledger.wish(_wish(1, latest_at_ms=900))
    ledger.wish(_wish(2, latest_at_ms=800))
    ledger.wish(_wish(3, latest_at_ms=4_000, priority=1))
    assert _granted(ledger, 0) == [3, 2, 1]


def test_what_cannot_be_in_time_is_given_up_at_once():
    # Two wait for one slot that is busy for a mean of a second. The second
    # in the line can't be served within its 1.5 s, so it needn't wait.
    ledger = _ledger(slots=1)
    ledger.hold(slot_ledger.Holder("e2", 9), since_ms=0)
    ledger.wish(_wish(1, latest_at_ms=1_400))
    ledger.wish(_wish(2, latest_at_ms=1_500))
    assert [w.holder.number for w in ledger.take_hopeless(0)] == [2]


def test_a_promise_never_used_lapses():
    ledger = _ledger(slots=1)
    ledger.wish(_wish(1))
    assert _granted(ledger, 0) == [1]
    ledger.wish(_wish(2, latest_at_ms=20_000))
    assert _granted(ledger, 1_000) == []
    later_ms = 500 + slot_ledger.PROMISE_LASTS_MS + 1
    assert _granted(ledger, later_ms) == [2]


def test_ending_frees_and_is_harmless_twice():
    ledger = _ledger(slots=1)
    ledger.wish(_wish(1, ready_in_ms=0, is_ready=True))
    assert _granted(ledger, 0) == [1]
    ledger.end(slot_ledger.Holder("e1", 1), 100)
    ledger.end(slot_ledger.Holder("e1", 1), 100)
    assert ledger.free == 1


@pytest.mark.parametrize("reports", [[20], [20, 20, 20]])
def test_a_new_keeper_counts_what_reports_show(reports):
    # A keeper takes over while 20 slots are held that nobody told it of. It
    # must not promise them, and learns of each end from its holder.
    ledger = _ledger(slots=20)
    for used in reports:
        ledger.reported(20, used)
    assert ledger.free == 0
    ledger.end(slot_ledger.Holder("e2", 5), 100)
    assert ledger.free == 0
    ledger.end(slot_ledger.Holder("e2", 6), 100, was_held=True)
    assert ledger.free == 1


def test_a_lagging_report_alone_blocks_nothing():
    ledger = _ledger(slots=20)
    ledger.reported(20, 0)
    ledger.reported(20, 20)
    assert ledger.free == 20


def test_an_instance_that_is_gone_keeps_no_promise():
    ledger = _ledger(slots=1)
    ledger.wish(_wish(1))
    assert _granted(ledger, 0) == [1]
    ledger.forget_instance("e1")
    assert ledger.balance == 1
