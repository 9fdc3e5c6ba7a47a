"""Deployments in which some instances reach no endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import contextlib
import dataclasses
import random

from tests.forwarding import deployments

# Time after the start of a partition from which first tries are judged.
STABLE_MS = 3_000.0
# Paths of all kinds of calls that callers make.
PATHS = ("/lookup/1", "/sale/1", "/verdicts/1", "/once/1")


def endpoints(domains: str = "ab"):
    """Plain endpoints, prefill and decode engines in each domain."""
    behind = []
    for domain in domains:
        behind += [
            deployments.plain_endpoint(f"s-{domain}", domain),
            deployments.plain_endpoint(f"t-{domain}", domain),
            deployments.prefill_engine(f"p-{domain}", domain),
            deployments.decode_engine(f"d-{domain}", domain),
        ]
    for backend in behind:
        backend.memory_tokens = 400_000
    return behind


@contextlib.asynccontextmanager
async def deployed(*names: str, domains: str = "ab"):
    """A deployment with a leader for the block, ready and known to all."""
    world = deployments.Deployment(*endpoints(domains))
    await world.start_in(domains, *names)
    await world.clock.sleep_ms(4_000.0)
    try:
        yield world
    finally:
        await world.stop()


@dataclasses.dataclass(frozen=True, slots=True)
class Tries:
    """First tries at some instances.

    Attributes:
        served: Number of those that were answered with success.
        total: Number of all.
        longest_ms: Longest time until a head arrived.
    """

    served: int
    total: int
    longest_ms: float

    @property
    def share(self) -> float:
        """Share of the tries that were served."""
        return self.served / self.total if self.total else 1.0


async def ask(
    world: deployments.Deployment,
    names: Collection[str],
    *,
    for_ms: float,
    every_ms: float = 120.0,
    seed: int = 1,
) -> dict[str, list[deployments.Answer]]:
    """Sends requests of all kinds to instances and returns the answers."""
    rng = random.Random(seed)
    asked: dict[str, list[asyncio.Task[deployments.Answer]]]
    asked = {name: [] for name in names}
    until_ms = world.clock.now_ms() + for_ms
    while world.clock.now_ms() < until_ms:
        for name in names:
            path = rng.choice(PATHS)
            ask_one = world.ask(path, instance=name, caller_timeout_ms=4_000.0)
            asked[name].append(asyncio.ensure_future(ask_one))
        await world.clock.sleep_ms(every_ms * rng.uniform(0.5, 1.5))
    return {
        name: list(await asyncio.gather(*tasks))
        for name, tasks in asked.items()
    }


def tries(
    answers: dict[str, list[deployments.Answer]], names: Collection[str]
) -> Tries:
    """Counts the first tries at some instances."""
    chosen = [answer for name in names for answer in answers[name]]
    return Tries(
        sum(answer.status == 200 for answer in chosen),
        len(chosen),
        max((answer.first_ms for answer in chosen), default=0.0),
    )
