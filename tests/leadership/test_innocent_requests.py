"""Guards against refusing a request whose engines ended for other reasons."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

CRASHING = b"crashes each engine that runs it"
INNOCENT = b"runs beside it"
NAMES = ("e1", "e2", "e3")
ENGINE_ENDS = 3
PATHS = ("/once/1", "/sale/1")


@contextlib.asynccontextmanager
async def _deployed():
    backends = [deployments.prefill_engine("p1")]
    backends += [
        deployments.decode_engine(f"d{n}", "abc"[n % 3]) for n in range(6)
    ]
    backends += [
        deployments.plain_endpoint(f"s{n}", "abc"[n % 3]) for n in range(6)
    ]
    for backend in backends:
        backend.memory_tokens = 400_000
        # Long enough for the engine to end while the request runs.
        backend.work_ms = 300.0
        backend.event_ms = 60.0
    world = deployments.Deployment(*backends)
    world.revive_crashed()
    world.backends.crashing_bodies.add(CRASHING)
    await world.start_in("abc", *NAMES)
    await world.clock.sleep_ms(2_000.0)
    try:
        yield world
    finally:
        await world.stop()


def _runs_innocent(world):
    """The engine that runs the innocent request, by its latest arrival."""
    return max(
        world.backends.by_name.values(),
        key=lambda b: max(
            (
                a.at_ms
                for a in b.received_requests
                if a.body == INNOCENT and b.running_requests
            ),
            default=-1.0,
        ),
    )


async def _end_engine_during_request(world, path: str, end) -> None:
    """Sends the innocent request once and ends its engine while it runs."""
    request = asyncio.ensure_future(
        world.ask(path, instance="e1", body=INNOCENT)
    )
    await world.clock.sleep_ms(150.0)
    await end(world, _runs_innocent(world))
    answer = await request
    assert answer.error is not None
    # Wait until the engines have restarted.
    await world.clock.sleep_ms(4_000.0)


async def _check_served(world, path: str) -> None:
    answer = await world.ask(path, instance="e2", body=INNOCENT)
    assert answer.error is None
    assert answer.status == 200


async def _end_by_other_request(world, engine) -> None:
    """Crashes the engine by the crashing request."""
    call = world.call("/crashing", body=CRASHING)
    history = world.instances["e3"].crashes
    world.backends.crash(engine)
    history.record_crash(call, engine.name, stage="run")


async def _end_alone(world, engine) -> None:
    world.backends.crash(engine)


async def _end_with_domain(world, engine) -> None:
    for backend in list(world.backends.by_name.values()):
        if backend.endpoint.domain == engine.endpoint.domain:
            world.backends.crash(backend)


async def _partition(world, engine) -> None:
    engine.is_cut = True
    world.backends.crash(engine)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "end", [_end_by_other_request, _end_alone, _end_with_domain]
)
def test_request_is_served_after_three_unrelated_crashes(path, end):
    """Engines crash under another request, alone or with their domain."""

    async def main():
        async with _deployed() as world:
            for _ in range(ENGINE_ENDS):
                await _end_engine_during_request(world, path, end)
            await _check_served(world, path)

    deployments.run(main())


def test_stream_resumes_after_third_crash():
    """The caller has part of the answer and can't retry."""

    async def main():
        async with _deployed() as world:
            call = world.call("/verdicts/1", body=INNOCENT)
            for engine in ("x1", "x2"):
                world.instances["e2"].crashes.record_crash(
                    call, engine, stage="run"
                )
            await world.clock.sleep_ms(100.0)
            request = asyncio.ensure_future(
                world.ask("/verdicts/1", instance="e1", body=INNOCENT)
            )
            await world.clock.sleep_ms(250.0)
            world.backends.crash(_runs_innocent(world))
            answer = await request
            assert answer.error is None
            assert answer.numbers == [1, 2, 3, 4, 5]

    deployments.run(main())


@pytest.mark.parametrize("path", PATHS)
def test_request_is_served_after_three_partitions(path):
    """A partitioned engine may still run, so it doesn't count as crashed."""

    async def main():
        async with _deployed() as world:
            for _ in range(ENGINE_ENDS):
                await _end_engine_during_request(world, path, _partition)
            call = world.call(path, body=INNOCENT)
            assert world.instances["e1"].crashes.count(call) == 0
            await _check_served(world, path)

    deployments.run(main())


@pytest.mark.parametrize(
    ("path", "event_ms", "pause_ms", "crashing_count"),
    [
        ("/verdicts/1", 400.0, 1_000.0, 3),
        ("/once/1", 400.0, 1_000.0, 5),
        ("/once/1", 800.0, 1_500.0, 3),
        ("/sale/1", 60.0, 1_000.0, 3),
    ],
)
def test_popular_body_is_served_beside_several_crashing_requests(
    path, event_ms, pause_ms, crashing_count
):
    """All callers send one body while other requests crash engines at once.

    It has come through again and again, so it can't be the cause.
    """

    async def main():
        async with _deployed() as world:
            for backend in world.backends.by_name.values():
                backend.event_ms = event_ms
            crashing = [b"crashing %d" % n for n in range(crashing_count)]
            world.backends.crashing_bodies.update(crashing)
            popular = asyncio.ensure_future(
                world.flood(path, for_ms=40_000.0, every_ms=150.0)
            )
            await world.clock.sleep_ms(10_000.0)
            for number in range(12):
                name = NAMES[number % len(NAMES)]
                await asyncio.gather(
                    *(
                        world.ask(path, instance=name, body=body)
                        for body in crashing
                    )
                )
                await world.clock.sleep_ms(pause_ms)
            answers = await popular
            kinds = [a.error.kind for a in answers if a.error is not None]
            assert len(answers) > 200
            assert errors.ErrorKind.QUARANTINED not in kinds
            history = world.instances["e1"].crashes
            for body in crashing:
                assert history.is_quarantined(world.call(path, body=body))

    deployments.run(main())
