"""Figures that are old, late or of an endpoint that is gone are not used."""

from __future__ import annotations

import pytest

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.experiments import virtual_time

SLOW = reports.LoadReport(8, 20, 8, 2.5)
IDLE = reports.LoadReport(0, 0, 8)


def _run(check):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await check(table.LoadTable(clock), clock)

    virtual_time.run(main())


def test_load_of_an_endpoint_that_never_reported_is_unknown():
    async def check(loads, clock):
        assert loads.get("s1") is None
        assert loads.slowdown("s1") == 1.0
        assert not loads.reports_load("s1")

    _run(check)


def test_figures_age_and_expire():
    """An old figure would keep calls off an endpoint that is idle again."""

    async def check(loads, clock):
        loads.record("s1", SLOW)
        await clock.sleep_ms(250.0)
        known = loads.get("s1")
        assert known.report == SLOW
        assert known.age_ms == pytest.approx(250.0)
        assert loads.slowdown("s1") == 2.5
        await clock.sleep_ms(100.0)
        assert loads.slowdown("s1") == 1.0
        assert loads.get("s1").report == SLOW
        await clock.sleep_ms(700.0)
        assert loads.get("s1") is None
        assert loads.reports_load("s1")

    _run(check)


def test_report_without_slowdown_is_usual():
    """A slowdown is not carried over from an earlier report."""

    async def check(loads, clock):
        loads.record("s1", SLOW)
        loads.record("s1", IDLE)
        assert loads.slowdown("s1") == 1.0

    _run(check)


def test_older_figure_does_not_replace_a_newer_one():
    """A digest that was delayed must not undo what an answer has told."""

    async def check(loads, clock):
        await clock.sleep_ms(1_000.0)
        loads.record("s1", IDLE)
        await clock.sleep_ms(100.0)
        loads.record("s1", SLOW, age_ms=400.0)
        assert loads.get("s1").report == IDLE
        loads.record("s1", SLOW, age_ms=50.0)
        assert loads.get("s1").report == SLOW
        assert loads.get("s1").age_ms == pytest.approx(50.0)

    _run(check)


def test_age_below_zero_counts_as_new():
    """A figure from the future would never be replaced."""

    async def check(loads, clock):
        loads.record("s1", SLOW, age_ms=-60_000.0)
        loads.record("s1", IDLE)
        assert loads.get("s1").report == IDLE

    _run(check)


def test_figures_of_an_earlier_start_are_dropped_with_its_name():
    async def check(loads, clock):
        loads.record("s1+1", SLOW)
        loads.retain({"s1+2"})
        assert not loads.reports_load("s1+1")
        assert loads.get("s1+2") is None
        assert loads.slowdown("s1+2") == 1.0

    _run(check)
