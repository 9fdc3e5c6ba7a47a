"""Callers of instances that are cut off from their leader.

The leader's failure domain is cut off from the others. All reach the store and
the endpoints, and the leader keeps its lease, so that the others have no leader
for as long as the cut lasts.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

from jujubewharf import bearer
from jujubewharf.forwarding import accounts
from tests.forwarding import deployments

NAMES = tuple(f"e{number}" for number in range(1, 9))
DOMAINS = "abcd"
LEADER_LOST_MS = 4_000.0
# Units of one plain request, and what the account may use in a second.
UNITS = 200.0
RATE_PER_S = 20_000.0
LIMIT_PER_S = 6.0
# The users' rules fail a day on which more than 60 in 100 are refused.
LEAST_SERVED_SHARE = 0.4


@contextlib.asynccontextmanager
async def _cut_off_after(prepare, *behind):
    """A deployment whose leader's domain is cut off from the others.

    Args:
        prepare: Called with the deployment before the cut.
        *behind: Stand-in endpoints.

    Yields:
        The deployment, and the names of the instances without a leader.
    """
    world = deployments.Deployment(*behind)
    await world.start_in(DOMAINS, *NAMES)
    try:
        await prepare(world)
        leader_domain = world.instances[world.leader].domain
        for domain in DOMAINS:
            if domain != leader_domain:
                world.network.cut(leader_domain, domain)
        await world.clock.sleep_ms(LEADER_LOST_MS)
        others = [
            name
            for name in NAMES
            if world.instances[name].domain != leader_domain
        ]
        yield world, others
    finally:
        await world.stop()


async def _ask_in_turn(world, names, path, *, count, every_ms, **more):
    asked = []
    for number in range(count):
        name = names[number % len(names)]
        asked.append(
            asyncio.ensure_future(world.ask(path, instance=name, **more))
        )
        await world.clock.sleep_ms(every_ms)
    return await asyncio.gather(*asked)


def _served_share(answers) -> float:
    return sum(answer.status == 200 for answer in answers) / len(answers)


def _endpoints():
    return [deployments.plain_endpoint(f"s{number}") for number in range(3)]


async def _configure_account(world) -> None:
    quota = accounts.Quota(
        RATE_PER_S, RATE_PER_S, accounts.QuotaUnit.TOKENS, UNITS
    )
    account = accounts.Account("a", (bearer.token_digest("a"),), quota=quota)
    configuration = dataclasses.replace(
        deployments.configuration(2), accounts=(account,)
    )
    world.configurations.put("config", configuration)
    await world.clock.sleep_ms(6_000.0)


# Instances without a leader grant a 64th of a quota each, so most requests of
# an account were refused that uses half of its quota.
def test_account_within_its_quota_is_served_without_a_leader():
    async def main():
        async with _cut_off_after(_configure_account, *_endpoints()) as (
            world,
            names,
        ):
            answers = await _ask_in_turn(
                world,
                names,
                "/sale/1",
                count=500,
                every_ms=UNITS / RATE_PER_S * 1_000.0 * 2.0,
                headers=(("Authorization", "Bearer a"),),
                work=None,
            )
        assert _served_share(answers) > LEAST_SERVED_SHARE

    deployments.run(main())


# The same where the callers of an account come back at other instances than
# before the cut, as they do when theirs are killed.
def test_account_that_moves_is_served_without_a_leader():
    async def main():
        async with _cut_off_after(_configure_account, *_endpoints()) as (
            world,
            names,
        ):
            answers = await _ask_in_turn(
                world,
                names[1:3],
                "/sale/1",
                count=500,
                every_ms=UNITS / RATE_PER_S * 1_000.0 * 2.0,
                headers=(("Authorization", "Bearer a"),),
                work=None,
            )
        assert _served_share(answers) > LEAST_SERVED_SHARE

    deployments.run(main())


async def _limit_endpoints(world) -> None:
    for backend in world.backends.by_name.values():
        backend.rate_limit_per_s = LIMIT_PER_S
    await world.flood("/lookup/1", for_ms=3_000.0, every_ms=200.0)


# Instances without a leader grant a 48th of an endpoint's rate limit each, so
# most requests found no endpoint, at ten a second where 18 are allowed.
def test_rate_limited_endpoints_serve_without_a_leader():
    async def main():
        async with _cut_off_after(_limit_endpoints, *_endpoints()) as (
            world,
            names,
        ):
            answers = await _ask_in_turn(
                world, names, "/lookup/1", count=100, every_ms=100.0
            )
        assert _served_share(answers) > LEAST_SERVED_SHARE

    deployments.run(main())
