"""Reads the process's own counters, for the operator interface.

Operators can ask an instance for its refusals and retries by reason. The
values are read from the metrics, so that both always agree.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Any

from opentelemetry.sdk.metrics import export

_REASON = "reason"

_readers: list[export.InMemoryMetricReader] = []


def make_reader() -> export.MetricReader:
    """Creates the reader for the process's meter provider; called once."""
    reader = export.InMemoryMetricReader()
    _readers[:] = [reader]
    return reader


def by_reason(instrument: str) -> collections.Counter[str] | None:
    """Returns a counter's totals by reason; ``None`` if metrics are off."""
    if not _readers:
        return None
    totals: collections.Counter[str] = collections.Counter()
    for point in _points(_readers[0].get_metrics_data(), instrument):
        attributes = point.attributes or {}
        if _REASON in attributes:
            totals[str(attributes[_REASON])] += int(point.value)
    return totals


def _points(data: Any, instrument: str) -> Iterator[Any]:
    if data is None:
        return
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                if metric.name == instrument:
                    yield from metric.data.data_points
