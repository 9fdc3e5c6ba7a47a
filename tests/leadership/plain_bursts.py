"""Plain calls in bursts on deployments of stand-ins."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import random

from jujubewharf.experiments import virtual_time
from jujubewharf.standins import plain_slots
from tests.forwarding import deployments

# Calls per second that three endpoints with 6 slots and 80 ms of work serve.
CAPACITY_PER_S = 225.0
SETTLED_MS = 2_000.0


def endpoints(count: int = 3, *, work_ms: float = 80.0, domains: str = "ab"):
    """Plain endpoints with slots, which report their load."""
    behind = [
        deployments.plain_endpoint(
            f"s{i}",
            domains[i % len(domains)],
            work_ms=work_ms,
            slots=plain_slots.PlainSlots(),
        )
        for i in range(count)
    ]
    for backend in behind:
        backend.endpoint = dataclasses.replace(backend.endpoint, slots=6)
    return behind


async def started(
    *behind,
    count: int = 12,
    domains: str = "ab",
    leader: str = "e0",
    first_callers: Sequence[str] | None = None,
) -> deployments.Deployment:
    """Instances with a leader that know that endpoints report their load.

    Args:
        *behind: Endpoints.
        count: Number of instances.
        domains: Failure domains of the instances, in turn.
        leader: Name of the leader.
        first_callers: Instances that send the first calls; all by default.
    """
    world = deployments.Deployment(*behind)
    world.cores[leader] = 16.0
    names = [f"e{i}" for i in range(count)]
    # ``VirtualLoop.hold`` can freeze the leader by its name.
    token = virtual_time.OWNER.set(leader)
    await world.start(leader, domain=domains[0], is_led=True)
    virtual_time.OWNER.reset(token)
    for position, name in enumerate(names):
        if name != leader:
            domain = domains[position % len(domains)]
            await _start(world, name, domain)
    await world.clock.sleep_ms(SETTLED_MS)
    assert world.leader == leader
    # The first answers, and the next digests, tell all instances of the loads.
    for _ in range(2):
        await asyncio.gather(
            *(
                world.ask("/sale/1", instance=name)
                for name in first_callers or names
            )
        )
        await world.clock.sleep_ms(700.0)
    return world


async def _start(world, name, domain):
    clock, sleep = world.clock, world.clock.sleep_ms

    async def nap(duration_ms):
        await sleep(min(duration_ms, 1.0))

    clock.sleep_ms = nap
    try:
        await world.start(name, domain=domain, declare=False, is_led=True)
    finally:
        clock.sleep_ms = sleep


def burst(
    world: deployments.Deployment,
    *,
    per_s: float,
    for_ms: float,
    path: str = "/sale/1",
    seed: int = 1,
    instances=None,
    **more,
) -> asyncio.Task[list[deployments.Answer]]:
    """Sends calls at random times to random instances."""
    rng = random.Random(seed)

    async def send():
        asked = []
        until_ms = world.clock.now_ms() + for_ms
        while world.clock.now_ms() < until_ms:
            await world.clock.sleep_ms(rng.expovariate(per_s / 1_000.0))
            names = instances or sorted(world.instances)
            name = rng.choice(names)
            # Seeds tell the calls of several bursts apart.
            request_id = f"burst{seed}-{len(asked)}"
            ask = _ask(world, path, name, request_id, **more)
            asked.append(asyncio.ensure_future(ask))
        return list(await asyncio.gather(*asked))

    return asyncio.ensure_future(send())


async def _ask(world, path, name, request_id, **more) -> deployments.Answer:
    answer = await world.ask(path, instance=name, request_id=request_id, **more)
    answer.request_id = request_id
    answer.path = path
    return answer


def in_time_share(
    answers, target_ms: float = deployments.SALE.target_ms
) -> float:
    """Returns the share of calls answered within the target."""
    in_time = [a for a in answers if a.status == 200 and a.took_ms <= target_ms]
    return len(in_time) / len(answers)


def check_nothing_left(world) -> None:
    """Checks that no call is counted anywhere any more."""
    for name, instance in world.instances.items():
        permits = instance.plain_permits
        assert permits.in_flight == 0, name
        assert permits.queues.in_flight == 0, name
        assert permits.queues.waiting == 0, name


def check_answers(world, answers) -> None:
    """Checks that each caller got one answer, and that it is true."""
    runs = collections.Counter(r.request_id for r in world.backends.runs)
    for answer in answers:
        assert (answer.status is None) != (answer.error is None)
        count = runs[answer.request_id]
        if answer.path.startswith("/sale"):
            assert count <= 1
        if answer.error is not None and answer.error.ran.value == "no":
            assert answer.error.retry_after_ms is not None
            assert count == 0
