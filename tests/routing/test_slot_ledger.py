"""Slot accounting of one engine: holders, promises and the wait queue."""

from __future__ import annotations

import pytest

from jujubewharf.routing import hold_times
from jujubewharf.routing import slot_ledger


def _ledger(slots=2, hold_ms=1_000.0):
    times = hold_times.HoldTimes(hold_ms)
    for _ in range(50):
        times.add(hold_ms)
    return slot_ledger.SlotLedger(slots, times)


def _request(number, *, ready_in_ms=500, latest_at_ms=5_000, **fields):
    holder = slot_ledger.Holder("e1", number)
    return slot_ledger.SlotRequest(holder, ready_in_ms, latest_at_ms, **fields)


def _granted(ledger, now_ms):
    numbers = []
    while (request := ledger.grant_next(now_ms)) is not None:
        numbers.append(request.holder.number)
    return numbers


def test_promises_do_not_exceed_slots():
    ledger = _ledger(slots=2)
    for number in (1, 2, 3):
        ledger.enqueue(_request(number))
    assert _granted(ledger, 0) == [1, 2]


def test_slot_is_promised_before_it_is_free():
    ledger = _ledger(slots=1)
    ledger.record_held(slot_ledger.Holder("e2", 9), since_ms=0)
    ledger.enqueue(_request(1, ready_in_ms=300))
    assert _granted(ledger, 200) == []
    assert _granted(ledger, 900) == [1]
    assert ledger.free == 0


def test_completed_prefill_precedes_promises_and_priorities():
    ledger = _ledger(slots=1)
    ledger.enqueue(_request(1, priority=9))
    ledger.enqueue(_request(2, ready_in_ms=0, is_ready=True))
    assert _granted(ledger, 0) == [2]


def test_order_by_priority_then_deadline():
    ledger = _ledger(slots=3)
    ledger.enqueue(_request(1, latest_at_ms=900))
    ledger.enqueue(_request(2, latest_at_ms=800))
    ledger.enqueue(_request(3, latest_at_ms=4_000, priority=1))
    assert _granted(ledger, 0) == [3, 2, 1]


def test_unreachable_deadline_is_rejected_immediately():
    # Two requests wait for one slot with a mean hold time of 1 s. The second
    # cannot be granted within its 1.5 s.
    ledger = _ledger(slots=1)
    ledger.record_held(slot_ledger.Holder("e2", 9), since_ms=0)
    ledger.enqueue(_request(1, latest_at_ms=1_400))
    ledger.enqueue(_request(2, latest_at_ms=1_500))
    assert [w.holder.number for w in ledger.reject_late(0)] == [2]


def test_unused_promise_expires():
    ledger = _ledger(slots=1)
    ledger.enqueue(_request(1))
    assert _granted(ledger, 0) == [1]
    ledger.enqueue(_request(2, latest_at_ms=20_000))
    assert _granted(ledger, 1_000) == []
    later_ms = 500 + slot_ledger.PROMISE_LASTS_MS + 1
    assert _granted(ledger, later_ms) == [2]


def test_end_frees_slot_and_is_idempotent():
    ledger = _ledger(slots=1)
    ledger.enqueue(_request(1, ready_in_ms=0, is_ready=True))
    assert _granted(ledger, 0) == [1]
    ledger.release(slot_ledger.Holder("e1", 1), 100)
    ledger.release(slot_ledger.Holder("e1", 1), 100)
    assert ledger.free == 1


@pytest.mark.parametrize("reports", [[20], [20, 20, 20]])
def test_new_coordinator_counts_reported_slots(reports):
    # A new coordinator must not promise slots granted by its predecessor. It
    # learns of their end from the holders.
    ledger = _ledger(slots=20)
    for used in reports:
        ledger.apply_report(20, used)
    assert ledger.free == 0
    ledger.release(slot_ledger.Holder("e2", 5), 100)
    assert ledger.free == 0
    ledger.release(slot_ledger.Holder("e2", 6), 100, was_held=True)
    assert ledger.free == 1


def test_single_lagging_report_is_ignored():
    ledger = _ledger(slots=20)
    ledger.apply_report(20, 0)
    ledger.apply_report(20, 20)
    assert ledger.free == 20


def test_promises_of_lost_instance_are_removed():
    ledger = _ledger(slots=1)
    ledger.enqueue(_request(1))
    assert _granted(ledger, 0) == [1]
    ledger.remove_instance("e1")
    assert ledger.net_free == 1
