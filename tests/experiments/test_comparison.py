"""Tests of the aggregated rows and the plot of a comparison."""

from __future__ import annotations

import dataclasses

import pytest

from jujubewharf.experiments import comparison
from jujubewharf.experiments import plot
from jujubewharf.experiments import report


def _report(policy: str, seed: int, goodput: float, *, lost: int = 0):
    service = report.ServiceReport(
        1, 0, 0, 0.5, 0, {}, {}, lost, 0, 0, 0, {}, {}
    )
    return report.Report(
        "e", policy, seed, goodput, 0.1, {"app": service}, 0, {}, 0, 1, 0, {}
    )


def test_rows_aggregate_each_policy_over_seeds():
    reports = [
        _report("a", 1, 0.8),
        _report("a", 2, 0.6, lost=2),
        _report("b", 1, 0.5),
    ]
    first, second = comparison.rows(reports, ["app"])
    assert first.policy == "a"
    assert first.goodput.mean == pytest.approx(0.7)
    assert first.goodput.deviation == pytest.approx(0.1414, abs=1e-4)
    assert first.plain_goodput == 0.5
    assert first.broken == {"lost": 2}
    assert second.broken == {}


def test_plot_is_deterministic(tmp_path):
    row = next(iter(comparison.rows([_report("a", 1, 0.8)], ["app"])))
    worse = dataclasses.replace(row, goodput=comparison.Spread(0.4, 0.1))
    paths = [tmp_path / "one.svg", tmp_path / "two.svg"]
    for path in paths:
        plot.draw({1.0: [row], 1.3: [worse]}, path, title="a plot")
    assert b"<svg" in paths[0].read_bytes()
    assert paths[0].read_bytes() == paths[1].read_bytes()
