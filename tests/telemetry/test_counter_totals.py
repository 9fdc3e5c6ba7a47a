"""Totals for operators are read from the metrics' counters."""

from __future__ import annotations

from opentelemetry.sdk import metrics as sdk_metrics

from jujubewharf.telemetry import counter_totals


def test_totals_by_reason_sum_over_other_attributes(monkeypatch):
    monkeypatch.setattr(counter_totals, "_readers", [])
    assert counter_totals.by_reason("callers.refusals") is None
    provider = sdk_metrics.MeterProvider([counter_totals.make_reader()])
    counter = provider.get_meter("m").create_counter("callers.refusals")
    assert counter_totals.by_reason("callers.refusals") == {}
    counter.add(2, {"reason": "queue_full", "service": "a"})
    counter.add(1, {"reason": "queue_full", "service": "b"})
    counter.add(4, {"reason": "rate_limited"})
    counter.add(9, {"outcome": "ok"})
    expected = {"queue_full": 3, "rate_limited": 4}
    assert counter_totals.by_reason("callers.refusals") == expected
    assert counter_totals.by_reason("callers.refusals") == expected
    provider.shutdown()
