"""Counts and logs what was skipped at the border, or failed behind it.

Whoever sends such values may send any number of them. Lines are therefore
logged at the first, tenth, hundredth and so on of a kind; counters count all.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib

from opentelemetry import metrics
import structlog

_METER = metrics.get_meter("jujubewharf")
_CONTAINED = _METER.create_counter(
    "forwarding.contained_failures",
    description="Failures that cost one record, message or round, by part.",
)
_SKIPPED = _METER.create_counter(
    "border.skipped_values",
    description="Values from outside that lie out of their bounds, by field.",
)

_MAX_DETAIL_CHARS = 100
# Kinds that are told apart; further ones are logged as one.
_MAX_KINDS = 256


class _RareLines:
    """Decides which of many equal lines are logged."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, kind: str) -> int | None:
        """Counts a line; returns the count if the line is to be logged."""
        if kind not in self._counts and len(self._counts) >= _MAX_KINDS:
            kind = ""
        self._counts[kind] += 1
        count = self._counts[kind]
        is_power_of_ten = str(count).strip("0") == "1"
        return count if is_power_of_ten else None


_failure_lines = _RareLines()
_value_lines = _RareLines()
_logger = structlog.get_logger()


@contextlib.contextmanager
def contained(part: str, **details: object) -> Iterator[None]:
    """Ends a block that fails, and reports the failure; see there."""
    try:
        yield
    except Exception as error:
        report_failure(part, error, **details)


def report_failure(part: str, error: Exception, **details: object) -> None:
    """Counts and logs a failure that ends neither its service nor the process.

    Args:
        part: Part of the router that failed.
        error: The failure; its message is not logged, as it may quote input.
        **details: What the failure was about.
    """
    _CONTAINED.add(1, {"part": part})
    count = _failure_lines.count(f"{part} {type(error).__name__}")
    if count is None:
        return
    _logger.error(
        "failure_contained",
        part=part,
        count=count,
        exc_info=error,
        **{name: _shortened(value) for name, value in details.items()},
    )


def report_skipped(field: str, value: str) -> None:
    """Counts and logs a value that lies outside the bounds of its field."""
    _SKIPPED.add(1, {"field": field})
    count = _value_lines.count(field)
    if count is not None:
        _logger.warning(
            "value_skipped", field=field, count=count, length=len(value)
        )


def _shortened(value: object) -> object:
    if isinstance(value, str):
        return value[:_MAX_DETAIL_CHARS]
    return value
