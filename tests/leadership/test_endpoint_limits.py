"""An endpoint that names a rate limit gets no more from all instances.

Two of four endpoints of a plain service named limits of 1.8 and 1.5 requests a
second in all their answers, and went on to get some ten a second from instances
that had passed such answers on: 48 and 23 requests in four seconds. An
endpoint in need would be pushed further by what it had asked to be spared. The
first fault was that no instance read the word: arrivals were 1 to 13 a second
before and 2 to 14 after, and no log line told of a limit. An instance that
kept to the limit by itself would still let six times as much through.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

shop = deployments.shop
reader = deployments.reader
writer = deployments.writer

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
WINDOW_MS = 4_000.0
# An instance that was told heeds it from then on.
HEEDED_AFTER_MS = 500.0


def _allowed(limit_per_s: float) -> float:
    """What users allow in a window: half as much again, and five more."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000.0 + 5


def _most(times: list[float]) -> int:
    """The most requests within a window that slides."""
    return max(
        (sum(t <= u < t + WINDOW_MS for u in times) for t in times), default=0
    )


def _of_all(backend) -> list[float]:
    """Requests of all instances, from when the first one has to heed it."""
    since_ms = min(backend.told_ms.values()) + HEEDED_AFTER_MS
    return [a.at_ms for a in backend.asked if a.at_ms >= since_ms]


def _of_told(backend) -> list[float]:
    """Requests of those instances that were told in time."""
    return [
        asked.at_ms
        for asked in backend.asked
        if asked.at_ms
        >= backend.told_ms.get(asked.instance, float("inf")) + HEEDED_AFTER_MS
    ]


def _deployed(*behind, names=NAMES):
    return deployments.deployed(*behind, names=names, is_led=True)


@pytest.mark.parametrize("path", ["/lookup/1", "/sale/1"])
def test_endpoints_that_name_limits_get_no_more_from_all_instances(path):
    async def main():
        weak, weaker = shop("s3"), shop("s4")
        async with _deployed(shop("s1"), shop("s2"), weak, weaker) as w:
            await w.clock.sleep_ms(2_000.0)
            weak.rate_limit_per_s = 1.8
            weaker.rate_limit_per_s = 1.5
            answers = await w.flood(path, for_ms=20_000.0)
            for backend in (weak, weaker):
                limit = backend.rate_limit_per_s
                assert _most(_of_all(backend)) <= _allowed(limit)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


@pytest.mark.parametrize("limited", ["p1", "d1"])
def test_engines_that_name_limits_get_no_more_prompts_and_answers(limited):
    """An engine in need isn't spared by being asked for its memory first.

    Prompts are read at one engine and answers written at another; who places
    a request is the leader, who sends it another instance.
    """

    async def main():
        engines = [reader("p1"), reader("p2"), writer("d1"), writer("d2")]
        for engine in engines:
            engine.memory_tokens = 200_000
        async with _deployed(*engines) as world:
            await world.clock.sleep_ms(2_000.0)
            weak = world.backends.by_name[limited]
            weak.rate_limit_per_s = 1.5
            answers = await world.flood(
                "/verdicts/1", for_ms=20_000.0, every_ms=60.0
            )
            assert _most(_of_all(weak)) <= _allowed(1.5)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_what_was_placed_before_the_limit_needs_a_permit_too():
    """Prompts are being read for a second when the engine names its limit.

    Their runs were placed without a permit, and would all reach the engine
    after every instance knows of the limit.
    """

    async def main():
        slow = reader("p1", prefill_token_ms=0.3)
        weak, other = writer("d1"), writer("d2")
        for engine in (slow, weak, other):
            engine.memory_tokens = 4_000_000
        async with _deployed(slow, weak, other) as world:
            await world.clock.sleep_ms(2_000.0)
            flood = asyncio.ensure_future(
                world.flood("/verdicts/1", for_ms=4_000.0, every_ms=20.0)
            )
            await world.clock.sleep_ms(1_600.0)
            weak.rate_limit_per_s = 0.5
            answers = await flood
            assert _most(_of_all(weak)) <= _allowed(0.5)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_second_tries_count_as_well():
    """The endpoints that are well lose answers, and repeats look elsewhere.

    Each repeat that went to the limited endpoint would be one more than its
    limit, just while it is the only one that answers.
    """

    async def main():
        weak = shop("s3", "c", rate_limit_per_s=1.5)
        async with _deployed(
            shop("s1", loses_answers=True), shop("s2", "b"), weak
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/lookup/1", for_ms=12_000.0, every_ms=40.0)
            assert _most(_of_all(weak)) <= _allowed(1.5)

    deployments.run(main())


def test_callers_that_no_endpoint_may_take_are_told_when_to_come_back():
    """With limits at all endpoints most callers are refused, at once.

    They are told different times, so that they don't come back together, and
    what the endpoints take is used up.
    """

    async def main():
        weak = [shop("s1", rate_limit_per_s=5.0), shop("s2", "b")]
        weak[1].rate_limit_per_s = 5.0
        async with _deployed(*weak) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            answers = await world.flood("/sale/1", for_ms=10_000.0)
            for backend in weak:
                assert _most(_of_all(backend)) <= _allowed(5.0)
            served = sum(a.status == 200 for a in answers)
            # Both together take ten a second.
            assert served >= 0.7 * 100
            refused = [a for a in answers if a.error is not None]
            assert refused
            assert all(a.error.ran is errors.Ran.NO for a in refused)
            assert all(a.took_ms < 100.0 for a in refused)
            times = {round(a.error.retry_after_ms) for a in refused}
            assert min(times) > 0
            assert len(times) > len(refused) / 4

    deployments.run(main())


def test_a_stream_that_no_engine_may_take_is_refused_at_once():
    """A caller isn't kept waiting for a permit that comes after its target."""

    async def main():
        engines = [reader("p1"), writer("d1", rate_limit_per_s=0.5)]
        async with _deployed(*engines) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.ask("/verdicts/1")
            answers = await world.ask_all(*["/verdicts/1"] * 4)
            refused = [a for a in answers if a.error is not None]
            assert refused
            for answer in refused:
                assert answer.took_ms < 100.0
                assert answer.error.ran is errors.Ran.NO
                assert answer.error.retry_after_ms > 500.0

    deployments.run(main())


def test_a_limit_ends_when_the_endpoint_no_longer_names_it():
    async def main():
        weak = shop("s1", rate_limit_per_s=1.5)
        async with _deployed(weak) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            weak.rate_limit_per_s = None
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=1_000.0, every_ms=50.0)
            answers = await world.flood("/sale/1", for_ms=3_000.0)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_endpoints_without_a_limit_come_first_among_equals():
    """Callers don't wait for a permit while another endpoint is free."""

    async def main():
        weak = shop("s1", rate_limit_per_s=50.0)
        async with _deployed(weak, shop("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            for name in NAMES:
                await world.ask("/sale/1", instance=name)
            before = len(weak.asked)
            for _ in range(5):
                for name in NAMES:
                    await world.ask("/sale/1", instance=name)
            assert len(weak.asked) == before

    deployments.run(main())


def test_an_instance_that_starts_knows_the_limits_of_the_others():
    async def main():
        weak = shop("s1", rate_limit_per_s=1.5)
        async with _deployed(weak, shop("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            await world.start("e7", declare=False, is_led=True)
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=8_000.0)
            assert _most(_of_all(weak)) <= _allowed(1.5)

    deployments.run(main())


def test_a_new_leader_knows_the_limits():
    """No request more than the bound when the leader dies with what it knew."""

    async def main():
        weak = shop("s1", rate_limit_per_s=3.0)
        async with _deployed(weak, shop("s2", "b")) as world:
            await world.clock.sleep_ms(2_000.0)
            flood = asyncio.ensure_future(
                world.flood("/sale/1", for_ms=24_000.0)
            )
            await world.clock.sleep_ms(6_000.0)
            old = world.leader
            await world.instances.pop(old).stop()
            world.network.drop_instance(old)
            await flood
            assert world.leader not in (None, old)
            assert _most(_of_all(weak)) <= _allowed(3.0)

    deployments.run(main())


@pytest.mark.parametrize("limited", [2, 3])
@pytest.mark.parametrize("seed", range(8))
def test_no_history_of_cuts_and_restarts_exceeds_a_limit(seed, limited):
    """Instances are cut off, killed and started anew, in any order.

    Limits change and end meanwhile. Whoever was told half a second before
    counts, a process that was started anew only from its own first answer on.
    With limits at all three endpoints nobody has another one to go to.
    """

    async def main():
        rng = random.Random(seed)
        behind = [shop(f"s{n}", "abcd"[n % 4]) for n in range(3)]
        limits = [rng.choice([0.5, 1.5, 4.0]) for _ in behind[:limited]]
        world = deployments.Deployment(*behind)
        await world.start_in("abcd", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for backend, limit in zip(behind, limits, strict=False):
            backend.rate_limit_per_s = limit
        flood = asyncio.ensure_future(world.flood("/sale/1", for_ms=40_000.0))
        for _ in range(8):
            await world.clock.sleep_ms(rng.uniform(1_000.0, 5_000.0))
            await _trouble(world, rng)
        await flood
        for backend, limit in zip(behind, limits, strict=False):
            assert _most(_of_told(backend)) <= _allowed(limit)
        await world.stop()

    deployments.run(main())


async def _trouble(world, rng: random.Random) -> None:
    """Something befalls the instances."""
    name = rng.choice(sorted(world.instances))
    match rng.choice(["kill", "cut", "store", "unlink", "heal"]):
        case "kill":
            await world.restart(name)
        case "cut":
            world.network.cut("a", rng.choice("bcd"))
        case "store":
            world.leaders.cut_off.add(f"{name}:1")
        case "unlink":
            link = world.instances[name].fleet.link._link
            if link is not None:
                link.close()
        case "heal":
            world.network.heal()
            world.leaders.cut_off.clear()
