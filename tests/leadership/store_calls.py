"""A fleet whose store refuses a third of it, and then a partition."""

from __future__ import annotations

import collections
import dataclasses

from jujubewharf.standins import store as stores
from tests.forwarding import deployments

INSTANCES = 30
DOMAINS = "abc"
REFUSED_MS = 8_000.0
CUT_MS = 6_000.0
# Time after the last fault within which calls still count as caused by it.
AFTER_MS = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls to the store by table or group and kind.

    Attributes:
        start: During the start of all instances and the first election.
        faults: From the first refusal to ``AFTER_MS`` after the partition.
    """

    start: collections.Counter[str]
    faults: collections.Counter[str]


async def start_fleet() -> deployments.Deployment:
    """Starts all instances within a second, spread over the domains."""
    world = deployments.Deployment(
        deployments.prefill_engine("p1"),
        deployments.decode_engine("d1"),
        deployments.plain_endpoint("s1"),
    )
    names = [f"e{n}" for n in range(1, INSTANCES + 1)]
    for number, name in enumerate(names):
        world.cores[name] = (0.4, 0.5, 1.0, 2.0)[number % 4]
    await world.start_together(DOMAINS, *names)
    return world


def domain_members(world: deployments.Deployment, domain: str) -> list[str]:
    """Returns the names of the instances in a domain."""
    return [n for n, i in world.instances.items() if i.domain == domain]


def refuse_third(world: deployments.Deployment) -> None:
    """Lets the store refuse a third of the instances of each domain."""
    for domain in DOMAINS:
        members = domain_members(world, domain)
        for name in members[: len(members) // 3 + (domain == DOMAINS[0])]:
            world.store.cut_off[name] = stores.Outage.RESET


def cut_leaders_domain(
    world: deployments.Deployment, outage: stores.Outage = stores.Outage.RESET
) -> str:
    """Cuts the leader's domain off from the others and from the store.

    Returns:
        The domain.
    """
    leader = world.leader
    domain = world.instances[leader].domain if leader else DOMAINS[0]
    for other in DOMAINS:
        if other != domain:
            world.network.cut(domain, other)
    for name in domain_members(world, domain):
        world.store.cut_off[name] = outage
    return domain


async def count_calls() -> CallCounts:
    """Plays all phases and counts the calls to the store."""
    world = await start_fleet()
    await world.clock.sleep_ms(4_000.0)
    start = world.store.calls.copy()
    refuse_third(world)
    await world.clock.sleep_ms(REFUSED_MS)
    world.store.cut_off.clear()
    cut_leaders_domain(world)
    await world.clock.sleep_ms(CUT_MS)
    world.store.cut_off.clear()
    world.network.heal()
    await world.clock.sleep_ms(AFTER_MS)
    await world.stop()
    return CallCounts(start, world.store.calls - start)
