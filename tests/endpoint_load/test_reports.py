"""Values that an endpoint reports wrongly never become load figures."""

from __future__ import annotations

import math

import pytest

from jujubewharf.endpoint_load import reports

FAULT = reports.LoadFault


@pytest.mark.parametrize(
    ("values", "report"),
    [
        ((3, 0, 8, None), reports.LoadReport(3, 0, 8, None)),
        ((3, 0, 8, 250), reports.LoadReport(3, 0, 8, 2.5)),
        ((0, 0, 1, 1), reports.LoadReport(0, 0, 1, 0.01)),
        (
            (100_000, 100_000, 100_000, 10_000),
            reports.LoadReport(100_000, 100_000, 100_000, 100.0),
        ),
        # More requests than slots: the endpoint has just reduced its slots.
        ((9, 4, 2, 100), reports.LoadReport(9, 4, 2, 1.0)),
    ],
)
def test_valid_reports(values, report):
    assert reports.validated(*values) == report


@pytest.mark.parametrize(
    ("values", "fault"),
    [
        ((-1, 0, 8, None), FAULT.NEGATIVE),
        ((0, -1, 8, None), FAULT.NEGATIVE),
        ((0, 0, -8, None), FAULT.NEGATIVE),
        ((0, 0, 8, -100), FAULT.NEGATIVE),
        ((-math.inf, 0, 8, None), FAULT.NEGATIVE),
        ((0, 0, 0, None), FAULT.TOO_SMALL),
        ((0, 0, 8, 0), FAULT.TOO_SMALL),
        ((0, 0, 8, 0.9), FAULT.TOO_SMALL),
        ((100_001, 0, 8, None), FAULT.TOO_LARGE),
        ((0, 10**30, 8, None), FAULT.TOO_LARGE),
        ((0, 0, math.inf, None), FAULT.TOO_LARGE),
        ((0, 0, 8, 10_001), FAULT.TOO_LARGE),
        ((math.nan, 0, 8, None), FAULT.NOT_A_NUMBER),
        ((0, math.nan, 8, None), FAULT.NOT_A_NUMBER),
        ((0, 0, 8, math.nan), FAULT.NOT_A_NUMBER),
        ((0.5, 0, 8, None), FAULT.NOT_A_NUMBER),
        ((None, 0, 8, None), FAULT.INCOMPLETE),
        ((0, None, 8, None), FAULT.INCOMPLETE),
        ((0, 0, None, 100), FAULT.INCOMPLETE),
    ],
)
def test_invalid_reports_are_rejected_with_their_reason(values, fault):
    """An unchecked value would let an endpoint attract or repel all calls."""
    assert reports.validated(*values) is fault
    assert reports.accepted(*values) is None


def test_slowdown_in_percent():
    assert reports.LoadReport(0, 0, 1).slowdown_percent is None
    assert reports.LoadReport(0, 0, 1, 2.5).slowdown_percent == 250
    assert reports.LoadReport(0, 0, 1, 0.29).slowdown_percent == 29
