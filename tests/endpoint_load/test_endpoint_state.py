"""Load reports in answers reach the load table of the asked instance."""

from __future__ import annotations

from jujubewharf.endpoint_load import reports
from tests.forwarding import deployments

BUSY = reports.LoadReport(6, 3, 6, 2.5)


def test_answers_of_plain_endpoints_and_engines_report_load():
    async def main():
        backends = deployments.mixed_backends()
        for backend in backends:
            backend.load = BUSY
        async with deployments.deployed(*backends) as world:
            loads = world.instances["e1"].loads
            await world.ask("/lookup/1")
            (plain,) = [b.name for b in backends if loads.reports_load(b.name)]
            assert loads.get(plain).report == BUSY
            assert loads.slowdown(plain) == 2.5
            await world.ask("/verdicts/1")
            reported = {b.name for b in backends if loads.reports_load(b.name)}
            assert {name[0] for name in reported} == {"s", "p", "d"}

    deployments.run(main())


def test_refusal_reports_load():
    """The load of an endpoint that refuses all calls must be known too."""

    async def main():
        full = deployments.plain_endpoint("s1", load=BUSY, backoff_ms=500.0)
        async with deployments.deployed(full) as world:
            await world.ask("/sale/1")
            assert world.instances["e1"].loads.reports_load("s1")

    deployments.run(main())


def test_load_of_an_endpoint_that_is_gone_is_dropped():
    """Names are unique to a start, so the table would grow with restarts."""

    async def main():
        first = deployments.plain_endpoint("s1", load=BUSY)
        other = deployments.plain_endpoint("s2", "b", load=BUSY)
        async with deployments.deployed(first, other) as world:
            loads = world.instances["e1"].loads
            await world.ask("/lookup/1")
            assert loads.reports_load("s1")
            world.endpoints.put("s1", None)
            await world.clock.sleep_ms(5_000.0)
            assert not loads.reports_load("s1")
            await world.ask("/lookup/1")
            assert loads.reports_load("s2")

    deployments.run(main())


def test_load_of_a_draining_endpoint_is_kept():
    """It still works on calls that count, until it is gone."""

    async def main():
        leaving = deployments.plain_endpoint("s1", load=BUSY)
        async with deployments.deployed(leaving) as world:
            await world.ask("/lookup/1")
            leaving.is_leaving = True
            await world.ask("/lookup/1")
            assert not world.instances["e1"].registry.takes_work("s1")
            assert world.instances["e1"].loads.get("s1").report == BUSY

    deployments.run(main())
