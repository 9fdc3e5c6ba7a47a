"""One part of prompts crashes each engine that begins to write on it.

No two requests with that part are alike; sound ones share all their other
parts.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from jujubewharf import errors
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_table
from tests.forwarding import deployments

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
FIRST_PART = "m/5c1e07a2:200"
BAD_PART = "m/badbadba:1500"
# Time from the fifth crash on from which the users' bounds hold, and half of
# the time for the bound on sound requests.
STABLE_MS = 3_000.0
# Requests with the part that may reach engines later than that.
MAX_LATER = 3
# The users' bound for sound requests is half; there is to be no difference.
SOUND_SHARE = 0.9


@contextlib.asynccontextmanager
async def _deployed(
    names=NAMES,
    *,
    crash_after_ms: float,
    engines: int = 8,
    is_framed: bool = True,
):
    behind = [
        deployments.prefill_engine("p1"),
        deployments.prefill_engine("p2"),
    ]
    behind += [
        deployments.decode_engine(f"d{n}", "abcd"[n % 4])
        for n in range(engines)
    ]
    for backend in behind:
        backend.memory_tokens = 400_000
        backend.events = 30
        backend.is_framed = is_framed
    world = deployments.Deployment(*behind)
    world.revive_crashed()
    world.backends.crash_after_ms = crash_after_ms
    await world.start_in("abcd", *names)
    await world.clock.sleep_ms(2_000.0)
    try:
        yield world
    finally:
        await world.stop()


async def _ask(world, parts, number: int, rng) -> deployments.Answer:
    body = b"request %d" % number
    return await world.ask(
        "/verdicts/1",
        instance=rng.choice(sorted(world.instances)),
        body=body,
        shared_parts=parts,
        work=calls.ModelWork(2_000, 30, 30),
        caller_timeout_ms=10_000.0,
    )


async def _send(
    world, parts, *, count: int, every_ms: float, rng, numbers_from: int
) -> list[tuple[float, deployments.Answer]]:
    """Sends requests; returns when each was sent, and its answer."""
    asked, times = [], []
    for number in range(count):
        times.append(world.clock.now_ms())
        ask = _ask(world, parts, numbers_from + number, rng)
        asked.append(asyncio.ensure_future(ask))
        await world.clock.sleep_ms(every_ms * rng.uniform(0.5, 1.5))
    return list(zip(times, await asyncio.gather(*asked), strict=True))


def _fifth_crash_ms(world, part=BAD_PART) -> float:
    """Time of the fifth crash of a part, or of the last if there are fewer."""
    times = [c.at_ms for c in world.backends.crashes if part in c.shared_parts]
    return times[min(4, len(times) - 1)]


def _reached(world, *, after_ms: float, part=BAD_PART) -> set[str]:
    """Ids of requests with a part that reached engines after a time."""
    return {
        asked.request_id
        for backend in world.backends.by_name.values()
        for asked in backend.received_requests
        if part in asked.shared_parts and asked.at_ms > after_ms
    }


def _begun_share(answers, *, after_ms: float) -> float:
    found = [
        a.status == 200 and a.body != b"" for t, a in answers if t >= after_ms
    ]
    return sum(found) / len(found)


async def _send_both(
    world, rng, *, bad=BAD_PART, first=FIRST_PART, bad_count=75
):
    """Sends requests with a bad part, and sound ones beside them."""
    return await asyncio.gather(
        _send(
            world,
            (first, bad),
            count=bad_count,
            every_ms=400.0,
            rng=rng,
            numbers_from=0,
        ),
        _send(
            world,
            (first,),
            count=250,
            every_ms=120.0,
            rng=rng,
            numbers_from=1_000,
        ),
    )


async def _send_sound(world, rng, *, first=FIRST_PART) -> None:
    """Sends sound requests for some seconds."""
    await _send(
        world,
        (first,),
        count=40,
        every_ms=100.0,
        rng=rng,
        numbers_from=5_000,
    )


def _check_bounds(world, sound, *, part=BAD_PART) -> None:
    """Checks the users' bounds on a bad part and on sound requests."""
    fifth_ms = _fifth_crash_ms(world, part)
    later = _reached(world, after_ms=fifth_ms + STABLE_MS, part=part)
    assert len(later) <= MAX_LATER
    share = _begun_share(sound, after_ms=fifth_ms + 2 * STABLE_MS)
    assert share >= SOUND_SHARE


# Engines were lost as fast as they came back: each request counted as another
# one with one crash, and sound ones broke off beside them.
@pytest.mark.parametrize("crash_after_ms", [20.0, 60.0, 130.0])
def test_part_that_crashes_engines_is_quarantined(crash_after_ms):
    async def main():
        rng = random.Random(1)
        async with _deployed(crash_after_ms=crash_after_ms) as world:
            await _send_sound(world, rng)
            world.backends.crashing_parts.add(BAD_PART)
            bad, sound = await _send_both(world, rng)
            _check_bounds(world, sound)
            for _, answer in bad[-10:]:
                assert answer.error is not None
                assert answer.error.kind is errors.ErrorKind.QUARANTINED
                assert answer.took_ms < 50.0

    deployments.run(main())


# Such answers end with the connection, as if they were whole, and so cleared
# the part that had crashed their engine.
@pytest.mark.parametrize("crash_after_ms", [20.0, 130.0])
def test_crash_that_ends_an_unframed_answer_counts(crash_after_ms):
    async def main():
        rng = random.Random(1)
        async with _deployed(
            crash_after_ms=crash_after_ms, is_framed=False
        ) as world:
            await _send_sound(world, rng)
            world.backends.crashing_parts.add(BAD_PART)
            _, sound = await _send_both(world, rng)
            _check_bounds(world, sound)

    deployments.run(main())


# Nobody has written on the first part before, so it has no good name.
@pytest.mark.parametrize("engines", [2, 4, 8])
def test_new_first_part_is_not_taken_for_the_bad_one(engines):
    async def main():
        rng = random.Random(2)
        async with _deployed(crash_after_ms=60.0, engines=engines) as world:
            world.backends.crashing_parts.add(BAD_PART)
            _, sound = await _send_both(world, rng)
            _check_bounds(world, sound)

    deployments.run(main())


def test_two_bad_parts_are_quarantined():
    async def main():
        rng = random.Random(3)
        other = "m/0therbad:900"
        async with _deployed(crash_after_ms=60.0) as world:
            await _send_sound(world, rng)
            world.backends.crashing_parts |= {BAD_PART, other}
            (_, sound), _ = await asyncio.gather(
                _send_both(world, rng),
                _send(
                    world,
                    (FIRST_PART, other),
                    count=75,
                    every_ms=400.0,
                    rng=rng,
                    numbers_from=9_000,
                ),
            )
            _check_bounds(world, sound)
            _check_bounds(world, sound, part=other)

    deployments.run(main())


# All that instances know was lost with them, but for the store's table.
def test_quarantine_outlives_a_restart_of_all_instances():
    async def main():
        rng = random.Random(4)
        async with _deployed(crash_after_ms=60.0) as world:
            await _send_sound(world, rng)
            world.backends.crashing_parts.add(BAD_PART)
            await _send(
                world,
                (FIRST_PART, BAD_PART),
                count=10,
                every_ms=400.0,
                rng=rng,
                numbers_from=0,
            )
            await asyncio.gather(*(world.restart(n) for n in NAMES))
            await world.clock.sleep_ms(4_000.0)
            restarted_ms = world.clock.now_ms()
            _, sound = await _send_both(world, rng, bad_count=40)
            later = _reached(world, after_ms=restarted_ms)
            assert len(later) <= 1
            assert _begun_share(sound, after_ms=restarted_ms) >= SOUND_SHARE

    deployments.run(main())


# A request that waits for memory would reach an engine when it is its turn.
def test_requests_that_wait_are_refused_as_their_part_is_quarantined():
    async def main():
        rng = random.Random(5)
        async with _deployed(crash_after_ms=60.0, engines=4) as world:
            await _send_sound(world, rng)
            for backend in world.backends.by_name.values():
                backend.memory_tokens = 1
            world.backends.crashing_parts.add(BAD_PART)
            waiting = [
                asyncio.ensure_future(
                    _ask(world, (FIRST_PART, BAD_PART), number, rng)
                )
                for number in range(6)
            ]
            await world.clock.sleep_ms(100.0)
            call = world.call(
                "/verdicts/1", shared_parts=(FIRST_PART, BAD_PART)
            )
            for number in range(3):
                crashed = dataclasses.replace(call, body=b"%d" % number)
                world.instances["e2"].crashes.record_crash(
                    crashed, f"x{number}", stage="run"
                )
            answers = await asyncio.gather(*waiting)
            refused = [a for a in answers if a.error is not None]
            kinds = {a.error.kind for a in refused}
            assert kinds <= {
                errors.ErrorKind.QUARANTINED,
                errors.ErrorKind.QUEUE_FULL,
            }
            quarantined = [
                a
                for a in refused
                if a.error.kind is errors.ErrorKind.QUARANTINED
            ]
            # One of them may go through as the trial.
            assert len(quarantined) >= len(waiting) - 1
            assert max(a.took_ms for a in quarantined) < 300.0

    deployments.run(main())


# An operator mends the engines, or loads another model.
def test_mended_part_is_served_again():
    async def main():
        rng = random.Random(6)
        parts = (FIRST_PART, BAD_PART)
        async with _deployed(crash_after_ms=60.0) as world:
            world.backends.crashing_parts.add(BAD_PART)
            await _send(
                world, parts, count=10, every_ms=400.0, rng=rng, numbers_from=0
            )
            world.backends.crashing_parts.clear()
            answer = await _ask(world, parts, 100, rng)
            assert answer.error is not None
            await world.clock.sleep_ms(crash_table.RETENTION_MS)
            first, second = [
                await _ask(world, parts, 200 + number, rng)
                for number in range(2)
            ]
            assert first.error is None
            assert second.error is None

    deployments.run(main())


@pytest.mark.parametrize("seed", range(4))
def test_bounds_hold_over_kills_and_cuts(seed):
    """Instances that were disturbed of late may send some more."""

    async def main():
        rng = random.Random(seed)
        async with _deployed(crash_after_ms=rng.choice([20.0, 90.0])) as world:
            await _send_sound(world, rng)
            world.backends.crashing_parts.add(BAD_PART)
            both = asyncio.ensure_future(_send_both(world, rng))
            disturbed_ms: dict[str, float] = {}
            while not both.done():
                await world.clock.sleep_ms(rng.uniform(1_500.0, 5_000.0))
                for name in await _disturb(world, rng):
                    disturbed_ms[name] = world.clock.now_ms()
            world.network.heal()
            await both
            fifth_ms = _fifth_crash_ms(world)
            later = [
                asked.request_id
                for backend in world.backends.by_name.values()
                for asked in backend.received_requests
                if BAD_PART in asked.shared_parts
                and asked.at_ms > fifth_ms + STABLE_MS
                and asked.at_ms
                > disturbed_ms.get(asked.instance, -1e12) + STABLE_MS
            ]
            assert len(set(later)) <= MAX_LATER

    deployments.run(main())


async def _disturb(world, rng) -> list[str]:
    """Kills or cuts off instances and returns their names."""
    names = sorted(world.instances)
    match rng.choice(["kill", "leader", "cut", "unlink"]):
        case "kill":
            name = rng.choice(names)
            await world.restart(name)
            return [name]
        case "leader" if world.leader is not None:
            leader = world.leader
            await world.restart(leader)
            return [leader]
        case "cut":
            domain = rng.choice("bcd")
            world.network.cut("a", domain)
            await world.clock.sleep_ms(rng.uniform(500.0, 3_000.0))
            world.network.heal()
            of_name = world.instances
            return [n for n in names if of_name[n].domain in ("a", domain)]
        case _:
            name = rng.choice(names)
            link = world.instances[name].fleet.link.link
            if link is not None:
                link.close()
            return [name]
