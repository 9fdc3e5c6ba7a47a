"""Tests of the capacity tables and of linear fits."""

from __future__ import annotations

from benchmarks import capacity
from benchmarks import slopes


def test_page_matches_measured_inputs():
    page = capacity.PAGE.read_text(encoding="utf-8")
    measured = capacity.Measured.from_file()
    assert page == capacity.update_tables(page, capacity.Size(), measured)
    assert "| Role |" in page


def test_exceeded_budget_is_reported():
    measured = capacity.Measured.from_file()
    fits = capacity.Size(memory_mb=1e6, bytes_per_s=1e9, core_percent=1e5)
    assert "not met" not in capacity.budget_table(fits, measured)
    over = capacity.Size(memory_mb=1)
    assert "**not met**" in capacity.budget_table(over, measured)


def test_slope_reports_largest_residual():
    slope = slopes.Slope.fit([0, 1, 2], [1.0, 3.0, 5.0])
    assert round(slope.at(10), 6) == 21.0
    assert round(slope.largest_residual, 6) == 0.0
    bent = slopes.Slope.fit([0, 1, 2], [1.0, 4.0, 5.0])
    assert bent.largest_residual > 0.5
