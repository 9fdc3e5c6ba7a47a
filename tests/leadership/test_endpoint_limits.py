"""Guards against exceeding an endpoint's rate limit across all instances.

A limit that each instance enforced on its own would be exceeded by a factor of
the number of instances.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint
prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
WINDOW_MS = 4_000.0
# Time in ms until an instance must respect a limit that it received.
RESPECTED_AFTER_MS = 500.0


def _allowed(limit_per_s: float) -> float:
    """Requirement: 1.5 times the limit plus five requests per window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000.0 + 5


def _max_in_window(times: list[float]) -> int:
    """The largest number of requests in any sliding window."""
    return max(
        (sum(t <= u < t + WINDOW_MS for u in times) for t in times), default=0
    )


def _from_all(backend) -> list[float]:
    """Requests of all instances since the first one must know the limit."""
    since_ms = min(backend.announced_ms.values()) + RESPECTED_AFTER_MS
    return [a.at_ms for a in backend.received_requests if a.at_ms >= since_ms]


def _from_informed(backend) -> list[float]:
    """Requests of instances that had received the limit in time."""
    return [
        asked.at_ms
        for asked in backend.received_requests
        if asked.at_ms
        >= backend.announced_ms.get(asked.instance, float("inf"))
        + RESPECTED_AFTER_MS
    ]


def _deployed(*backends, names=NAMES):
    return deployments.deployed(*backends, names=names, is_led=True)


@pytest.mark.parametrize("path", ["/lookup/1", "/sale/1"])
def test_limit_holds_across_instances(path):
    async def main():
        weak, weaker = plain_endpoint("s3"), plain_endpoint("s4")
        async with _deployed(
            plain_endpoint("s1"), plain_endpoint("s2"), weak, weaker
        ) as w:
            await w.clock.sleep_ms(2_000.0)
            weak.rate_limit_per_s = 1.8
            weaker.rate_limit_per_s = 1.5
            answers = await w.flood(path, for_ms=20_000.0)
            for backend in (weak, weaker):
                limit = backend.rate_limit_per_s
                assert _max_in_window(_from_all(backend)) <= _allowed(limit)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


@pytest.mark.parametrize("limited", ["p1", "d1"])
def test_limit_of_engine_holds_for_prefill_and_decode(limited):
    """Prefill and decode calls are limited, whichever instance places them."""

    async def main():
        engines = [
            prefill_engine("p1"),
            prefill_engine("p2"),
            decode_engine("d1"),
            decode_engine("d2"),
        ]
        for engine in engines:
            engine.memory_tokens = 200_000
        async with _deployed(*engines) as world:
            await world.clock.sleep_ms(2_000.0)
            weak = world.backends.by_name[limited]
            weak.rate_limit_per_s = 1.5
            answers = await world.flood(
                "/verdicts/1", for_ms=20_000.0, every_ms=60.0
            )
            assert _max_in_window(_from_all(weak)) <= _allowed(1.5)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_limit_holds_for_requests_placed_before_it():
    """The engine sends its limit while placed requests are in prefill.

    Their decode calls were placed without a permit and all come later.
    """

    async def main():
        slow = prefill_engine("p1", prefill_token_ms=0.3)
        weak, other = decode_engine("d1"), decode_engine("d2")
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
            assert _max_in_window(_from_all(weak)) <= _allowed(0.5)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_retries_count_against_limit():
    """Retries go to the limited endpoint when the others lose answers."""

    async def main():
        weak = plain_endpoint("s3", "c", rate_limit_per_s=1.5)
        async with _deployed(
            plain_endpoint("s1", loses_answers=True),
            plain_endpoint("s2", "b"),
            weak,
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/lookup/1", for_ms=12_000.0, every_ms=40.0)
            assert _max_in_window(_from_all(weak)) <= _allowed(1.5)

    deployments.run(main())


def test_excess_callers_get_different_retry_after_times():
    """With limits at all endpoints, excess requests are refused at once.

    Retry-after values differ, so that callers don't retry at the same time, and
    the limits are used up.
    """

    async def main():
        weak = [
            plain_endpoint("s1", rate_limit_per_s=5.0),
            plain_endpoint("s2", "b"),
        ]
        weak[1].rate_limit_per_s = 5.0
        async with _deployed(*weak) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            answers = await world.flood("/sale/1", for_ms=10_000.0)
            for backend in weak:
                assert _max_in_window(_from_all(backend)) <= _allowed(5.0)
            served = sum(a.status == 200 for a in answers)
            # Both endpoints together allow ten requests per second.
            assert served >= 0.7 * 100
            refused = [a for a in answers if a.error is not None]
            assert refused
            assert all(a.error.ran is errors.Ran.NO for a in refused)
            assert all(a.took_ms < 100.0 for a in refused)
            times = {round(a.error.retry_after_ms) for a in refused}
            assert min(times) > 0
            assert len(times) > len(refused) / 4

    deployments.run(main())


def test_stream_over_limit_is_refused_at_once():
    """A caller must not wait for a permit that comes after its target."""

    async def main():
        engines = [
            prefill_engine("p1"),
            decode_engine("d1", rate_limit_per_s=0.5),
        ]
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


def test_limit_ends_when_endpoint_withdraws_it():
    async def main():
        weak = plain_endpoint("s1", rate_limit_per_s=1.5)
        async with _deployed(weak) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            weak.rate_limit_per_s = None
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=1_000.0, every_ms=50.0)
            answers = await world.flood("/sale/1", for_ms=3_000.0)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_endpoints_without_limit_are_preferred():
    """Callers don't wait for a permit while another endpoint is free."""

    async def main():
        weak = plain_endpoint("s1", rate_limit_per_s=50.0)
        async with _deployed(weak, plain_endpoint("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            for name in NAMES:
                await world.ask("/sale/1", instance=name)
            before = len(weak.received_requests)
            for _ in range(5):
                for name in NAMES:
                    await world.ask("/sale/1", instance=name)
            assert len(weak.received_requests) == before

    deployments.run(main())


def test_new_instance_respects_known_limits():
    async def main():
        weak = plain_endpoint("s1", rate_limit_per_s=1.5)
        async with _deployed(weak, plain_endpoint("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            await world.start("e7", declare=False, is_led=True)
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=8_000.0)
            assert _max_in_window(_from_all(weak)) <= _allowed(1.5)

    deployments.run(main())


def test_new_leader_respects_known_limits():
    """The limit holds when the leader dies with its count of requests."""

    async def main():
        weak = plain_endpoint("s1", rate_limit_per_s=3.0)
        async with _deployed(weak, plain_endpoint("s2", "b")) as world:
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
            assert _max_in_window(_from_all(weak)) <= _allowed(3.0)

    deployments.run(main())


@pytest.mark.parametrize("limited", [2, 3])
@pytest.mark.parametrize("seed", range(8))
def test_random_faults_keep_within_limits(seed, limited):
    """Random partitions, kills and lost links keep within the limits.

    Requests count from half a second after their instance received the limit; a
    restarted process counts from its own first answer on. With ``limited`` 3 no
    endpoint is without a limit.
    """

    async def main():
        rng = random.Random(seed)
        backends = [plain_endpoint(f"s{n}", "abcd"[n % 4]) for n in range(3)]
        limits = [rng.choice([0.5, 1.5, 4.0]) for _ in backends[:limited]]
        world = deployments.Deployment(*backends)
        await world.start_in("abcd", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for backend, limit in zip(backends, limits, strict=False):
            backend.rate_limit_per_s = limit
        flood = asyncio.ensure_future(world.flood("/sale/1", for_ms=40_000.0))
        for _ in range(8):
            await world.clock.sleep_ms(rng.uniform(1_000.0, 5_000.0))
            await _disturb(world, rng)
        await flood
        for backend, limit in zip(backends, limits, strict=False):
            assert _max_in_window(_from_informed(backend)) <= _allowed(limit)
        await world.stop()

    deployments.run(main())


async def _disturb(world, rng: random.Random) -> None:
    """Disturbs an instance at random."""
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
