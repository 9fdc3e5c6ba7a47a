"""Guards against new work for an endpoint that announced that it leaves.

Its answers announce it before the store does, or while the store is
unavailable. The endpoint's end would cut off the answers of later requests.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from jujubewharf import errors
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint
prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

NAMES = ("e1", "e2", "e3", "e4")
# Time in ms after which an informed instance must send no more requests.
RESPECTED_MS = 2_000.0
# Time in ms until all instances know of the notice.
PROPAGATION_MS = 100.0


def _deployed(*backends, names=NAMES):
    return deployments.deployed(*backends, names=names, is_led=True)


def _calls_after(backend, at_ms: float) -> list:
    return [asked for asked in backend.received_requests if asked.at_ms > at_ms]


@pytest.mark.parametrize(
    ("path", "leaving"),
    [("/sale/1", "s1"), ("/verdicts/1", "p1"), ("/verdicts/1", "d1")],
)
def test_no_instance_sends_work_after_first_notice(path, leaving):
    """Plain, prefill and decode calls go to other endpoints from then on."""

    async def main():
        async with _deployed(*deployments.mixed_backends()) as world:
            await world.clock.sleep_ms(2_000.0)
            leaving_backend = world.backends.by_name[leaving]
            leaving_backend.is_leaving = True
            answers = await world.flood(path, for_ms=6_000.0)
            heard_ms = min(leaving_backend.announced_ms.values())
            assert (
                _calls_after(leaving_backend, heard_ms + PROPAGATION_MS) == []
            )
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_return_and_removal_in_one_read_reach_followers():
    """An endpoint that returned and left between two reads got work.

    The leader compared both records with the one before the read, so it sent
    the return and left out the removal.
    """

    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1"),
            deployments.plain_endpoint("s2"),
            names=("e1", "e2", "e3"),
            is_led=True,
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            endpoint = world.backends.by_name["s2"].endpoint
            world.endpoints.put("s2", None)
            await world.clock.sleep_ms(2_000.0)
            world.endpoints.put("s2", endpoint)
            world.endpoints.put("s2", None)
            await world.clock.sleep_ms(2_000.0)
            for instance in world.instances.values():
                assert not instance.registry.takes_work("s2")

    deployments.run(main())


def test_single_instance_respects_notice():
    async def main():
        leaving_backend = plain_endpoint("s1")
        async with deployments.deployed(
            leaving_backend, plain_endpoint("s2")
        ) as world:
            leaving_backend.is_leaving = True
            await world.flood("/sale/1", for_ms=4_000.0)
            assert (
                _calls_after(
                    leaving_backend, min(leaving_backend.announced_ms.values())
                )
                == []
            )

    deployments.run(main())


def test_waiting_request_is_not_sent_to_leaving_engine():
    """The notice arrives after placement, during prefill elsewhere."""

    async def main():
        leaving_backend = decode_engine("d1")
        slow = prefill_engine("p1", prefill_token_ms=0.1)
        async with _deployed(slow, leaving_backend, names=("e1",)) as world:
            await world.clock.sleep_ms(2_000.0)
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(100.0)
            leaving_backend.is_leaving = True
            await world.ask("/verdicts/2", instance="e1")
            await asked
            heard_ms = min(leaving_backend.announced_ms.values())
            assert _calls_after(leaving_backend, heard_ms) == []

    deployments.run(main())


def test_callers_are_refused_at_once_when_last_endpoint_leaves():
    async def main():
        leaving_backend = plain_endpoint("s1")
        async with _deployed(leaving_backend) as world:
            await world.clock.sleep_ms(2_000.0)
            leaving_backend.is_leaving = True
            await world.ask("/sale/1")
            await world.clock.sleep_ms(PROPAGATION_MS)
            answers = await world.flood("/sale/1", for_ms=1_000.0)
            for answer in answers:
                assert answer.error is not None
                assert answer.error.kind is errors.ErrorKind.NO_FITTING_ENGINE
                assert answer.error.ran is errors.Ran.NO
                assert answer.took_ms < 50.0

    deployments.run(main())


def test_later_heartbeat_does_not_revoke_notice():
    """A heartbeat written before the notice arrives after it."""

    async def main():
        leaving_backend = plain_endpoint("s1")
        async with _deployed(leaving_backend, plain_endpoint("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            leaving_backend.is_leaving = True
            await world.flood("/sale/1", for_ms=500.0)
            world.register(leaving_backend, slots=7)
            await world.clock.sleep_ms(1_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            heard_ms = min(leaving_backend.announced_ms.values())
            assert (
                _calls_after(leaving_backend, heard_ms + PROPAGATION_MS) == []
            )

    deployments.run(main())


def test_new_instance_learns_of_notice():
    """The record that a new process reads still says ready."""

    async def main():
        leaving_backend = plain_endpoint("s1")
        async with _deployed(leaving_backend, plain_endpoint("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            leaving_backend.is_leaving = True
            await world.flood("/sale/1", for_ms=500.0)
            await world.start("e5", declare=False, is_led=True)
            await world.clock.sleep_ms(2_000.0)
            await world.flood("/sale/1", for_ms=3_000.0)
            heard_ms = min(leaving_backend.announced_ms.values())
            assert (
                _calls_after(leaving_backend, heard_ms + PROPAGATION_MS) == []
            )

    deployments.run(main())


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_bring_leaving_endpoints_no_work(seed):
    """Endpoints leave during random partitions, kills and lost links.

    Requests count from the notice that their instance received; a restarted
    process counts from its own first answer on.
    """

    async def main():
        rng = random.Random(seed)
        backends = [plain_endpoint(f"s{n}", "abcd"[n % 4]) for n in range(6)]
        world = deployments.Deployment(*backends)
        await world.start_in("abcd", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        flood = asyncio.ensure_future(world.flood("/sale/1", for_ms=30_000.0))
        for leaving in backends[:4]:
            await world.clock.sleep_ms(rng.uniform(1_000.0, 4_000.0))
            leaving.is_leaving = True
            await world.clock.sleep_ms(rng.uniform(100.0, 2_000.0))
            await _disturb(world, rng, backends[:4])
        await flood
        for backend in backends[:4]:
            for asked in backend.received_requests:
                told_ms = backend.announced_ms.get(asked.instance, float("inf"))
                assert asked.at_ms <= told_ms + RESPECTED_MS
        await world.stop()

    deployments.run(main())


async def _disturb(world, rng: random.Random, backends) -> None:
    name = rng.choice(sorted(world.instances))
    match rng.choice(["kill", "cut", "unlink", "entry", "heal"]):
        case "kill":
            await world.restart(name)
        case "cut":
            world.network.cut("a", rng.choice("bcd"))
        case "unlink":
            link = world.instances[name].fleet.link._link
            if link is not None:
                link.close()
        case "entry":
            backend = rng.choice(backends)
            # The record expires and is registered again unchanged.
            world.endpoints.put(backend.name, None)
            await world.clock.sleep_ms(rng.uniform(0.0, 1_500.0))
            world.register(backend)
        case "heal":
            world.network.heal()


def test_next_start_of_endpoint_takes_work():
    """A notice applies to one start of an endpoint, not to the next."""

    async def main():
        leaving_backend = plain_endpoint("s1")
        async with _deployed(leaving_backend, plain_endpoint("s2")) as world:
            await world.clock.sleep_ms(2_000.0)
            leaving_backend.is_leaving = True
            await world.flood("/sale/1", for_ms=500.0)
            next_start = plain_endpoint("s1-next")
            next_start.endpoint = dataclasses.replace(
                next_start.endpoint, name="s1-next"
            )
            world.backends.by_name["s1-next"] = next_start
            world.endpoints.put("s1", next_start.endpoint)
            await world.clock.sleep_ms(1_500.0)
            await world.flood("/sale/1", for_ms=1_000.0)
            assert next_start.received_requests

    deployments.run(main())
