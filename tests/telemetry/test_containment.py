"""Lines about skipped values and contained failures."""

from __future__ import annotations

import structlog

from jujubewharf.telemetry import containment


def test_failures_are_logged_at_powers_of_ten():
    """Whoever sends wrong records may send any number of them."""
    with structlog.testing.capture_logs() as lines:
        for _ in range(1_234):
            with containment.contained("a_test", key="k" * 1_000):
                raise OverflowError("secret")
    assert [line["count"] for line in lines] == [1, 10, 100, 1_000]
    assert all(len(line["key"]) <= 100 for line in lines)


def test_cancellation_passes():
    """Only failures are contained; a task that is cancelled must end."""
    try:
        with containment.contained("a_test"):
            raise KeyboardInterrupt
    except KeyboardInterrupt:
        return
    raise AssertionError("contained")


def test_kinds_are_bounded():
    """Names of headers may come from callers."""
    with structlog.testing.capture_logs() as lines:
        for number in range(5_000):
            containment.report_skipped(f"field-{number}", "x" * 9)
    assert len(lines) <= 300
    containment._value_lines._counts.clear()
