"""A prefill engine's queue and link, as the senders told its keeper."""

from __future__ import annotations

from jujubewharf.routing import read_ledger
from jujubewharf.routing import slot_ledger

_LONG_AGO_MS = -60_000.0


def _holder(number):
    return slot_ledger.Holder("e1", number)


def test_reports_count_only_soon_after_the_keeper_changed():
    ledger = read_ledger.ReadLedger(kept_since_ms=0.0)
    ledger.begin(_holder(1), 500, 0.0, 1_000.0)
    assert ledger.queued_tokens(9_000, 1_000.0) == 9_000
    assert ledger.queued_tokens(9_000, 6_000.0) == 500


def test_the_link_is_busy_with_what_was_read_and_what_will_be():
    # Two prompts of 800 ms of transfer each; the first has been read. The
    # link needs 1.6 s for both, and less as time goes on.
    ledger = read_ledger.ReadLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 5_000, 800.0, 0.0)
    ledger.begin(_holder(2), 5_000, 800.0, 0.0)
    ledger.end(_holder(1), 0.0, is_read=True)
    assert ledger.link_ms(0.0) == 1_600
    assert ledger.link_ms(500.0) == 1_100


def test_a_prompt_that_was_not_read_needs_no_link():
    ledger = read_ledger.ReadLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 5_000, 800.0, 0.0)
    ledger.end(_holder(1), 0.0, is_read=False)
    assert ledger.link_ms(0.0) == 0


def test_a_lost_instances_prompts_are_forgotten():
    ledger = read_ledger.ReadLedger(_LONG_AGO_MS)
    ledger.begin(_holder(1), 500, 10.0, 0.0)
    ledger.forget_instance("e1")
    assert ledger.queued_tokens(0, 1.0) == 0
