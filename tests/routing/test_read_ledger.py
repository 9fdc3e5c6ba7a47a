"""Prefill queue and network link of an engine, as its coordinator sees them."""

from __future__ import annotations

from jujubewharf.routing import read_ledger
from jujubewharf.routing import slot_ledger

_LONG_AGO_MS = -60_000.0


def _holder(number):
    return slot_ledger.Holder("e1", number)


def test_reports_count_only_after_coordinator_change():
    ledger = read_ledger.PrefillLedger(coordinator_since_ms=0.0)
    ledger.begin(_holder(1), 500, 0.0, 1_000.0)
    assert ledger.queued_tokens(9_000, 1_000.0) == 9_000
    assert ledger.queued_tokens(9_000, 6_000.0) == 500


def test_link_time_includes_current_and_future_transfers():
    # Two prompts with transfers of 800 ms each; prefill of the first is
    # complete.
    ledger = read_ledger.PrefillLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 5_000, 800.0, 0.0)
    ledger.begin(_holder(2), 5_000, 800.0, 0.0)
    ledger.end(_holder(1), 0.0, is_prefilled=True)
    assert ledger.link_ms(0.0) == 1_600
    assert ledger.link_ms(500.0) == 1_100


def test_failed_prefill_needs_no_transfer():
    ledger = read_ledger.PrefillLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 5_000, 800.0, 0.0)
    ledger.end(_holder(1), 0.0, is_prefilled=False)
    assert ledger.link_ms(0.0) == 0


def test_prompts_of_lost_instance_are_removed():
    ledger = read_ledger.PrefillLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 500, 10.0, 0.0)
    ledger.remove_instance("e1")
    assert ledger.queued_tokens(0, 1.0) == 0
