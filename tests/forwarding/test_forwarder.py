"""Routing, configuration versions and deadlines."""

from __future__ import annotations

import dataclasses

from jujubewharf import errors
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import routes
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint


def test_unknown_path_is_an_error():
    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            answer = await world.ask("/nothing/1")
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.UNKNOWN_SERVICE

    deployments.run(main())


def test_not_ready_before_the_first_configuration():
    """An instance without a configuration answers "not ready", not "not found".

    Callers do not retry after "not found".
    """

    async def main():
        world = deployments.Deployment(plain_endpoint("s1"))
        world.configurations.is_down = True
        world.endpoints.is_down = True
        await world.start()
        instance = world.instances["e1"]
        assert not instance.is_ready
        answer = await world.ask("/sale/1")
        assert answer.error is not None
        assert answer.error.kind is errors.ErrorKind.NOT_READY
        world.configurations.is_down = world.endpoints.is_down = False
        await world.clock.sleep_ms(1_000.0)
        assert instance.is_ready
        assert (await world.ask("/sale/1")).status == 200
        await world.stop()

    deployments.run(main())


def test_version_applies_soon_and_is_not_replaced_by_an_older_one():
    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            moved = dataclasses.replace(deployments.SALE, path_prefix="/moved/")
            world.configurations.put(
                "config", deployments.configuration(7, moved)
            )
            await world.clock.sleep_ms(100.0)
            assert (await world.ask("/moved/1")).status == 200
            # A stale read returns an older version after the newer one.
            world.configurations.put(
                "config", deployments.configuration(5, deployments.SALE)
            )
            await world.clock.sleep_ms(1_000.0)
            assert (await world.ask("/moved/1")).status == 200

    deployments.run(main())


def test_same_version_changes_nothing():
    source = forwarder.ActiveConfiguration()
    assert source.apply(deployments.configuration(3))
    assert not source.apply(deployments.configuration(3))
    assert not source.apply(deployments.configuration(2))
    assert source.apply(deployments.configuration(4))


def test_caller_timeout_limits_the_wait():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", is_silent=True)
        ) as world:
            answer = await world.ask("/sale/1", caller_timeout_ms=500.0)
            assert answer.took_ms <= 550.0

    deployments.run(main())


def test_services_are_selected_by_weight():
    async def main():
        split = dataclasses.replace(
            deployments.SALE,
            shares=(
                routes.Share(deployments.PLAIN, 1.0),
                routes.Share("gone", 0.0),
            ),
        )
        async with deployments.deployed(plain_endpoint("s1")) as world:
            world.configurations.put(
                "config", deployments.configuration(2, split)
            )
            await world.clock.sleep_ms(100.0)
            for _ in range(20):
                assert (await world.ask("/sale/1")).status == 200

    deployments.run(main())


def test_change_missed_by_a_long_poll_applies_in_time():
    """A change is in force in time even if a long poll misses it.

    The store does not wake a read that arrives at the same time as the change.
    """

    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            world.configurations.is_late = True
            for number in range(2, 12):
                # At a different point of the long poll each time.
                await world.clock.sleep_ms(330.0)
                moved = dataclasses.replace(
                    deployments.SALE, path_prefix=f"/moved-{number}/"
                )
                world.configurations.put(
                    "config", deployments.configuration(number, moved)
                )
                await world.clock.sleep_ms(1_700.0)
                answer = await world.ask(f"/moved-{number}/1")
                assert answer.status == 200

    deployments.run(main())
