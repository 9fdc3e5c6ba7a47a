"""Changes of the configuration while requests run or wait.

A request keeps what it began with. A change that ended answers, or had them
run again, would cost callers on each release of a deployment.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses

import pytest

from jujubewharf import bearer
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import routes
from tests.forwarding import deployments

EVENTS = 20
OTHER = "other-service"
KEY = ("Authorization", "Bearer k1")
ACCOUNT = accounts.Account(
    "team",
    (bearer.token_digest("k1"),),
    priority=3,
    quota=accounts.Quota.from_limits(
        rate_per_s=50.0, burst=50.0, counts_tokens=False, unsized_tokens=1.0
    ),
)
FIRST = dataclasses.replace(deployments.configuration(1), accounts=(ACCOUNT,))

_Change = Callable[[routes.RoutingConfiguration], routes.RoutingConfiguration]


def _routes(**changes) -> _Change:
    def change(old):
        changed = [dataclasses.replace(r, **changes) for r in old.routes]
        return dataclasses.replace(old, routes=tuple(changed))

    return change


def _fields(**changes) -> _Change:
    return lambda old: dataclasses.replace(old, **changes)


def _with_idle_route(old):
    idle = dataclasses.replace(
        deployments.LOOKUP, name="idle", path_prefix="/idle/"
    )
    return dataclasses.replace(old, routes=(*old.routes, idle))


def _without_engines(old):
    services = {n: routes.RoutedService(n) for n in old.services}
    return dataclasses.replace(old, services=services)


def _with_small_engines(old):
    small = routes.EngineTraits(1, 1, 1.0, 1.0, 1.0)
    services = {n: routes.RoutedService(n, small) for n in old.services}
    return dataclasses.replace(old, services=services)


_LOW = dataclasses.replace(
    ACCOUNT,
    quota=accounts.Quota.from_limits(
        rate_per_s=0.01, burst=0.01, counts_tokens=False, unsized_tokens=1.0
    ),
)

CHANGES: dict[str, _Change] = {
    "route_moved": _routes(shares=(routes.Share(OTHER, 1.0),)),
    "routes_removed": _fields(routes=()),
    "weights": _routes(
        shares=(routes.Share(OTHER, 9.0), routes.Share("third", 1.0))
    ),
    "timeout_shorter": _routes(timeout_ms=100.0),
    "timeout_longer": _routes(timeout_ms=90_000.0),
    "attempts": _routes(max_attempts=1),
    "target_shorter": _routes(target_ms=50.0),
    "target_longer": _routes(target_ms=9_000.0),
    "repetition": _routes(repeat=routes.Repeat.NEVER),
    "priority": _routes(priority=9),
    "services_removed": _fields(services={}),
    "services_without_engines": _without_engines,
    "engine_properties": _with_small_engines,
    "account_removed": _fields(accounts=()),
    "quota_lowered": _fields(accounts=(_LOW,)),
    "keys_not_demanded": _fields(accounts=None),
    "limits": _fields(limits=routes.CallerLimits(1, 1, 1.0, 1.0)),
    "idle_route": _with_idle_route,
}


async def _change(world: deployments.Deployment, name: str) -> None:
    changed = CHANGES[name](dataclasses.replace(FIRST, version=2))
    world.configurations.put("config", changed)
    await world.clock.sleep_ms(150.0)
    versions = [i.source.version for i in world.instances.values()]
    assert versions == [2] * len(versions)


def _deployed(*behind):
    return deployments.deployed(*behind, names=("e1", "e2"), is_led=True)


async def _start_first(world: deployments.Deployment) -> None:
    first = dataclasses.replace(FIRST, version=1)
    for instance in world.instances.values():
        instance.source.current = None
        assert instance.source.apply(first)


@pytest.mark.parametrize("name", CHANGES)
def test_running_requests_keep_what_they_began_with(name):
    """Streams and calls run to their end, once, at leader and follower."""

    async def main():
        async with _deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine(
                "d1", events=EVENTS, memory_tokens=400_000
            ),
            deployments.plain_endpoint("s1", work_ms=600.0),
        ) as world:
            await _start_first(world)
            asked = [
                asyncio.ensure_future(
                    world.ask(path, instance=instance, headers=(KEY,))
                )
                for path in ("/verdicts/1", "/once/1", "/sale/1")
                for instance in world.instances
            ]
            await world.clock.sleep_ms(300.0)
            await _change(world, name)
            answers = await asyncio.gather(*asked)
            assert [a.error for a in answers] == [None] * 6
            numbers = [len(a.numbers) for a in answers]
            assert numbers == [EVENTS] * 4 + [0] * 2
            assert len(world.backends.runs) == 6

    deployments.run(main())


@pytest.mark.parametrize("name", CHANGES)
def test_waiting_requests_keep_their_place(name):
    """Requests that wait for memory are served when there is some."""

    async def main():
        full = deployments.decode_engine("d1")
        async with _deployed(deployments.prefill_engine("p1"), full) as world:
            await _start_first(world)
            full.held["others"] = full.memory_tokens
            asked = [
                asyncio.ensure_future(
                    world.ask("/verdicts/1", instance=asked_at, headers=(KEY,))
                )
                for asked_at in world.instances
            ]
            await world.clock.sleep_ms(200.0)
            await _change(world, name)
            del full.held["others"]
            answers = await asyncio.gather(*asked)
            assert [a.error for a in answers] == [None] * 2
            assert [len(a.numbers) for a in answers] == [5] * 2

    deployments.run(main())


@pytest.mark.parametrize("name", CHANGES)
def test_broken_streams_resume_as_their_route_allowed(name):
    """A stream whose engine breaks off after the change goes on elsewhere."""

    async def main():
        async with _deployed(
            deployments.prefill_engine("p1"),
            *(
                deployments.decode_engine(
                    engine, events=EVENTS, memory_tokens=400_000, breaks_after=9
                )
                for engine in ("d1", "d2")
            ),
        ) as world:
            await _start_first(world)
            # The first leader divides the retry allowance by then.
            await world.clock.sleep_ms(4_000.0)
            asked = [
                asyncio.ensure_future(
                    world.ask("/verdicts/1", instance=asked_at, headers=(KEY,))
                )
                for asked_at in world.instances
            ]
            await world.clock.sleep_ms(200.0)
            await _change(world, name)
            answers = await asyncio.gather(*asked)
            assert [a.error for a in answers] == [None] * 2
            assert [len(a.numbers) for a in answers] == [EVENTS] * 2
            assert len(world.backends.runs) == 4

    deployments.run(main())
