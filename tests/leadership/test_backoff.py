"""Guards against requests to an endpoint during its backoff period.

An overloaded endpoint asks a single instance to back off. Another instance
places that instance's requests, so the leader has to learn of the backoff.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from jujubewharf import errors
from jujubewharf.engines import notices
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint
prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

NAMES = ("e1", "e2", "e3", "e4")
BACKOFF_MS = 3_000.0
# Allowance in ms for requests that were already being sent.
IN_FLIGHT_MS = 500.0


def _deployed(*backends, names=NAMES):
    return deployments.deployed(*backends, names=names, is_led=True)


def _during_backoff(backend, backoff_ms: float = BACKOFF_MS) -> list:
    """Requests within the backoff period of the instance that sent them."""
    found = []
    for asked in (*backend.received_requests, *backend.received_reservations):
        told_ms = backend.announced_ms.get(asked.instance)
        if told_ms is None:
            continue
        if told_ms + IN_FLIGHT_MS <= asked.at_ms < told_ms + backoff_ms:
            found.append(asked)
    return found


@pytest.mark.parametrize(
    ("path", "busy"),
    [("/sale/1", "s1"), ("/lookup/1", "s1"), ("/verdicts/1", "d1")],
)
def test_no_requests_during_backoff(path, busy):
    """No requests arrive during the period, and some arrive after it."""

    async def main():
        async with _deployed(*deployments.mixed_backends()) as world:
            await world.clock.sleep_ms(2_000.0)
            overloaded = world.backends.by_name[busy]
            overloaded.backoff_ms = BACKOFF_MS
            flood = asyncio.ensure_future(world.flood(path, for_ms=6_000.0))
            await world.clock.sleep_ms(1_000.0)
            overloaded.backoff_ms = 0.0
            answers = await flood
            assert overloaded.announced_ms
            assert _during_backoff(overloaded) == []
            # A sale has a single attempt, which the refusal uses up: at most
            # one caller of each instance fails, with an error that nothing ran.
            refused = [a.error for a in answers if a.error is not None]
            assert len(refused) <= (len(NAMES) if path == "/sale/1" else 0)
            assert all(error.ran is errors.Ran.NO for error in refused)
            last_ms = max(overloaded.announced_ms.values()) + BACKOFF_MS
            assert any(a.at_ms >= last_ms for a in overloaded.received_requests)

    deployments.run(main())


def test_no_prefill_calls_during_backoff():
    """The leader offers the engine to all; each checks its own backoff."""

    async def main():
        overloaded = prefill_engine("p1")
        backends = [overloaded, prefill_engine("p2"), decode_engine("d1")]
        backends[2].memory_tokens = 400_000
        async with _deployed(*backends, names=NAMES[:3]) as world:
            await world.clock.sleep_ms(2_000.0)
            flood = asyncio.ensure_future(
                world.flood("/verdicts/1", for_ms=6_000.0, every_ms=47.0)
            )
            await world.clock.sleep_ms(500.0)
            overloaded.backoff_ms = BACKOFF_MS
            await world.clock.sleep_ms(1_000.0)
            overloaded.backoff_ms = 0.0
            await flood
            assert overloaded.announced_ms
            assert _during_backoff(overloaded) == []

    deployments.run(main())


def test_leader_respects_backoffs_of_followers():
    """A follower's backoff reaches the leader with its placement request.

    Otherwise the leader would keep reserving memory that the follower must not
    use.
    """

    async def main():
        backends = [
            prefill_engine("p1"),
            decode_engine("d1"),
            decode_engine("d2"),
        ]
        for backend in backends:
            backend.memory_tokens = 400_000
        async with _deployed(*backends) as world:
            await world.clock.sleep_ms(2_000.0)
            follower = next(n for n in NAMES if n != world.leader)
            # The follower received a backoff for its own request.
            instance = world.instances[follower]
            instance.backpressure.apply_notice(
                backends[1].endpoint,
                notices.Notice(world.clock.now_ms(), backoff_ms=BACKOFF_MS),
            )
            answers = await world.ask_all(
                *["/verdicts/1"] * 8, instance=follower
            )
            assert {a.status for a in answers} == {200}
            asked = [a.instance for a in backends[1].received_requests]
            assert follower not in asked
            assert len(backends[2].received_requests) == 8

    deployments.run(main())


@pytest.mark.parametrize("path", ["/sale/1", "/lookup/1"])
def test_callers_are_refused_at_once_while_all_endpoints_back_off(path):
    """Retry-after is the time until the first backoff ends."""

    async def main():
        backends = [plain_endpoint("s1", backoff_ms=2_000.0)]
        async with _deployed(*backends, names=("e1",)) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.ask(path)
            await world.clock.sleep_ms(500.0)
            answer = await world.ask(path, caller_timeout_ms=8_000.0)
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.NO_FITTING_ENGINE
            assert answer.error.ran is errors.Ran.NO
            assert answer.took_ms < 50.0
            assert 1_400.0 <= answer.error.retry_after_ms <= 1_600.0
            assert len(backends[0].received_requests) == 1

    deployments.run(main())


def test_stream_is_refused_at_once_while_all_engines_back_off():
    async def main():
        backends = [
            prefill_engine("p1"),
            decode_engine("d1", backoff_ms=5_000.0),
        ]
        async with _deployed(*backends) as world:
            await world.clock.sleep_ms(2_000.0)
            await world.ask("/verdicts/1")
            answers = await world.ask_all(*["/verdicts/1"] * 4)
            for answer in answers:
                assert answer.error is not None
                assert answer.error.ran is errors.Ran.NO
                assert answer.took_ms < 100.0
                assert answer.error.retry_after_ms > 4_000.0

    deployments.run(main())


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_respect_backoffs(seed):
    """Random backoffs, while some endpoints lose answers.

    Retries and requests in the wait queue must respect backoffs as well.
    """

    async def main():
        rng = random.Random(seed)
        backends = [plain_endpoint(f"s{n}") for n in range(4)]
        backends += [prefill_engine("p1"), prefill_engine("p2")]
        backends += [decode_engine(f"d{n}") for n in range(3)]
        async with _deployed(*backends) as world:
            await world.clock.sleep_ms(2_000.0)
            floods = [
                asyncio.ensure_future(world.flood(path, for_ms=24_000.0))
                for path in ("/lookup/1", "/sale/1")
            ]
            floods.append(
                asyncio.ensure_future(
                    world.flood("/verdicts/1", for_ms=24_000.0, every_ms=150.0)
                )
            )
            for _ in range(5):
                overloaded = rng.choice(backends)
                overloaded.announced_ms.clear()
                overloaded.received_requests.clear()
                overloaded.received_reservations.clear()
                backoff_ms = rng.choice([1_000.0, 2_000.0, 4_000.0])
                overloaded.backoff_ms = backoff_ms
                await world.clock.sleep_ms(rng.uniform(50.0, 400.0))
                overloaded.backoff_ms = 0.0
                lossy = rng.choice(backends[:4])
                lossy.loses_answers = True
                await world.clock.sleep_ms(backoff_ms)
                lossy.loses_answers = False
                assert _during_backoff(overloaded, backoff_ms) == []
            await asyncio.gather(*floods)

    deployments.run(main())
