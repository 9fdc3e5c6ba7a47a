"""An instance finds out whether it reaches the endpoints of a service."""

from __future__ import annotations

import structlog

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import reachability
from jujubewharf.standins import endpoint_cuts
from tests.endpoint_paths import cut_offs
from tests.forwarding import deployments


def _group(count: int):
    return [deployments.plain_endpoint(f"s{i}").endpoint for i in range(count)]


def _observed(count: int):
    paths = reachability.Reachability(clocks.Clock(wall_origin_ms=0.0))
    endpoints = _group(count)
    paths.set_endpoints(endpoints)
    return paths, endpoints


def test_one_failed_endpoint_of_several_is_no_cut():
    async def main():
        paths, (first, second, _) = _observed(3)
        paths.record_failure(first)
        paths.record_failure(first)
        assert not paths.is_cut_off(second)
        assert paths.has_failed_recently(first)

    deployments.run(main())


def test_failures_of_a_whole_group_are_a_cut_until_the_next_connection():
    async def main():
        paths, (first, second, third) = _observed(3)
        suspected = []
        paths.on_suspected = suspected.extend
        paths.record_failure(first)
        paths.record_failure(second)
        # Crashes of two endpoints must not keep requests from the third.
        assert not paths.is_cut_off(third)
        assert suspected == [third]
        paths.record_failure(third)
        assert paths.is_cut_off(third)
        assert paths.cut_off_groups == ["shop-api/plain"]
        paths.record_connection(third)
        assert not paths.is_cut_off(first)
        assert not paths.is_avoided(first)

    deployments.run(main())


def test_failures_with_connections_between_them_are_no_cut():
    async def main():
        paths, (first, second, third) = _observed(3)
        paths.record_failure(first)
        paths.record_connection(third)
        paths.record_failure(second)
        assert not paths.is_cut_off(third)

    deployments.run(main())


def test_an_only_endpoint_that_fails_is_a_cut():
    async def main():
        paths, (only,) = _observed(1)
        paths.record_failure(only)
        assert paths.is_cut_off(only)

    deployments.run(main())


def test_failure_of_a_removed_endpoint_is_forgotten():
    async def main():
        paths, (first, second, third) = _observed(3)
        paths.record_failure(first)
        paths.set_endpoints([second, third])
        paths.record_failure(second)
        assert not paths.is_cut_off(third)

    deployments.run(main())


def test_start_and_end_of_a_cut_are_logged_with_evidence():
    async def main():
        with structlog.testing.capture_logs() as lines:
            async with cut_offs.deployed("e0", "e1", "e2") as world:
                world.cuts.begin("e1", endpoint_cuts.CutKind.SILENT)
                await cut_offs.ask(world, ["e1"], for_ms=2_000.0)
                world.cuts.end()
                await cut_offs.ask(world, ["e1"], for_ms=5_000.0)
        changes = [
            (line["event"], line["group"])
            for line in lines
            if line["event"].startswith("endpoints_")
        ]
        plain = "shop-api/plain"
        assert ("endpoints_out_of_reach", plain) in changes
        assert changes.index(("endpoints_in_reach", plain)) > changes.index(
            ("endpoints_out_of_reach", plain)
        )

    deployments.run(main())


def test_new_endpoint_ends_a_cut_until_it_fails_too():
    async def main():
        paths, (first, second, third) = _observed(3)
        paths.set_endpoints([first, second])
        paths.record_failure(first)
        paths.record_failure(second)
        assert paths.is_cut_off(first)
        paths.set_endpoints([first, second, third])
        assert not paths.is_avoided(third)
        paths.record_failure(third)
        assert paths.is_cut_off(third)

    deployments.run(main())


# As most endpoints had ended, each failure between two connections had the rest
# probed again, without end.
def test_a_group_is_suspected_once_in_a_while():
    async def main():
        paths, (first, second, third) = _observed(3)
        suspected = []
        paths.on_suspected = suspected.append
        for _ in range(5):
            paths.record_failure(first)
            paths.record_failure(second)
            paths.record_connection(third)
        assert len(suspected) == 1

    deployments.run(main())
