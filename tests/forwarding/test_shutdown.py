"""Graceful shutdown: running requests complete, new ones move elsewhere."""

from __future__ import annotations

import asyncio
import dataclasses

from jujubewharf import errors
from tests.forwarding import deployments


def test_streams_complete_and_new_requests_are_served_at_first():
    """New requests are served until the load balancer reacts."""

    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1", events=60),
            deployments.plain_endpoint("s1"),
        ) as world:
            instance = world.instances["e1"]
            stream = asyncio.create_task(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(200.0)
            shutdown = asyncio.create_task(instance.new_shutdown().run())
            await world.clock.sleep_ms(100.0)
            assert not instance.is_ready
            assert (await world.ask("/sale/1")).status == 200
            await world.clock.sleep_ms(2_700.0)
            late = await world.ask("/sale/2")
            assert late.error is not None
            assert late.error.kind is errors.ErrorKind.SHUTTING_DOWN
            assert late.error.ran is errors.Ran.NO
            assert len((await stream).numbers) == 60
            assert (await shutdown).cut == 0

    deployments.run(main())


def test_shutdown_ends_before_sigkill():
    async def main():
        endless = deployments.decode_engine("d1", events=10_000)
        async with deployments.deployed(
            deployments.prefill_engine("p1"), endless
        ) as world:
            stream = asyncio.create_task(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(200.0)
            summary = await world.instances["e1"].new_shutdown().run()
            assert summary.cut == 1
            assert summary.duration_ms < 8_000.0
            stream.cancel()

    deployments.run(main())


def test_share_is_released():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1"), names=("e1", "e2")
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.instances["e1"].new_shutdown().run()
            await world.clock.sleep_ms(2_000.0)
            assert world.instances["e1"].share.fraction < 0.1
            assert world.instances["e2"].share.fraction == 1.0

    deployments.run(main())


def test_share_that_cant_be_released_cuts_nothing():
    """Its failure crashed all services while requests were still running."""

    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1", events=60),
        ) as world:
            instance = world.instances["e1"]

            async def fail() -> None:
                raise OverflowError("bad")

            instance.share.leave = fail
            stream = asyncio.create_task(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(200.0)
            summary = await instance.new_shutdown().run()
            assert not instance.crashed
            assert len((await stream).numbers) == 60
            assert summary.cut == 0

    deployments.run(main())


def test_short_shutdown_takes_no_request_that_it_has_to_cut():
    """Requests were taken until the end of a short grace, and cut there."""

    async def main():
        slow = deployments.plain_endpoint("s1", work_ms=1_000.0)
        async with deployments.deployed(slow) as world:
            instance = world.instances["e1"]
            settings = instance._settings
            instance.apply_settings(
                settings.model_copy(update={"stop_within_s": 3.0})
            )
            shutdown = asyncio.create_task(instance.new_shutdown().run())
            asked = []
            for number in range(12):
                asked.append(asyncio.create_task(world.ask(f"/sale/{number}")))
                await world.clock.sleep_ms(200.0)
            assert (await shutdown).cut == 0
            answers = await asyncio.gather(*asked)
        assert answers[0].status == 200
        for answer in answers:
            if answer.error is not None:
                assert answer.error.ran is errors.Ran.NO

    deployments.run(main())


def test_request_that_comes_late_in_a_shutdown_is_answered_and_not_cut():
    """It was passed on for longer than the process ran, and cut."""

    async def main():
        slow = deployments.plain_endpoint("s1", work_ms=6_000.0)
        long = dataclasses.replace(deployments.SALE, timeout_ms=14_000.0)
        async with deployments.deployed(slow) as world:
            configuration = deployments.configuration(2, long)
            world.configurations.put("config", configuration)
            await world.clock.sleep_ms(1_000.0)
            instance = world.instances["e1"]
            shutdown = asyncio.create_task(instance.new_shutdown().run())
            await world.clock.sleep_ms(2_400.0)
            late = asyncio.create_task(
                world.ask("/sale/1", caller_timeout_ms=14_000.0)
            )
            assert (await shutdown).cut == 0
            answer = await late
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert answer.error.ran is errors.Ran.UNKNOWN

    deployments.run(main())
