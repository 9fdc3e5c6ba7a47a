"""Authentication of callers, and what endpoints receive of it."""

from __future__ import annotations

import asyncio
import dataclasses
import math

import pytest

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import calls
from tests.forwarding import deployments

KEY = "k1-secret"
SHOP = accounts.Account("shop", (bearer.token_digest(KEY),))


def _put_configuration(world, version, *found, routes=()):
    configuration = deployments.configuration(version, *routes)
    world.configurations.put(
        "config", dataclasses.replace(configuration, accounts=found)
    )


def _with(*values: str) -> calls.Headers:
    return (("X-Own", "1"), *(("Authorization", value) for value in values))


async def _send(world, path="/sale/1", *values, **more):
    return await world.ask(path, headers=_with(*values), **more)


@pytest.mark.parametrize(
    "values",
    [
        (),
        ("Bearer other",),
        (KEY,),
        (f"Basic {KEY}",),
        (f"Bearer {KEY}", f"Bearer {KEY}"),
        (f"Bearer {KEY}, Bearer {KEY}",),
    ],
)
def test_unknown_key_is_rejected(values):
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            _put_configuration(world, 2, SHOP)
            await world.clock.sleep_ms(300.0)
            answer = await _send(world, "/sale/1", *values)
            assert answer.error.kind is errors.ErrorKind.UNAUTHENTICATED
            assert "configuration 2" in answer.error.detail
            assert KEY not in answer.error.detail
            assert world.backends.runs == []

    deployments.run(main())


def test_endpoints_get_the_account_but_not_the_key():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1"),
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1"),
        ) as world:
            _put_configuration(world, 2, SHOP)
            await world.clock.sleep_ms(300.0)
            for path in ("/sale/1", "/verdicts/1"):
                answer = await _send(world, path, f"Bearer {KEY}")
                assert answer.status == 200
            assert [run.account for run in world.backends.runs] == ["shop"] * 2
            assert all(
                run.headers == (("X-Own", "1"),) for run in world.backends.runs
            )

    deployments.run(main())


def test_authorization_is_forwarded_without_accounts():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            await _send(world, "/sale/1", "Bearer theirs")
            (run,) = world.backends.runs
            assert ("Authorization", "Bearer theirs") in run.headers
            assert run.account is None

    deployments.run(main())


def test_public_route_needs_no_key_and_forwards_none():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            public = dataclasses.replace(deployments.SALE, is_public=True)
            _put_configuration(world, 2, SHOP, routes=(public,))
            await world.clock.sleep_ms(300.0)
            for values in ((), ("Bearer other",), (f"Bearer {KEY}",)):
                answer = await _send(world, "/sale/1", *values)
                assert answer.status == 200
            told = [run.account for run in world.backends.runs]
            assert told == [None, None, "shop"]
            assert all(
                run.headers == (("X-Own", "1"),) for run in world.backends.runs
            )

    deployments.run(main())


def test_removed_key_is_rejected_but_running_stream_continues():
    """Removing a key rejects new requests but does not end running streams.

    An older configuration that arrives late must not restore the key.
    """

    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1", events=40),
        ) as world:
            _put_configuration(world, 2, SHOP)
            await world.clock.sleep_ms(300.0)
            running = asyncio.ensure_future(
                _send(world, "/verdicts/1", f"Bearer {KEY}")
            )
            await world.clock.sleep_ms(500.0)
            _put_configuration(world, 5)
            await world.clock.sleep_ms(300.0)
            refused = await _send(world, "/verdicts/2", f"Bearer {KEY}")
            assert refused.error.kind is errors.ErrorKind.UNAUTHENTICATED
            _put_configuration(world, 3, SHOP)
            await world.clock.sleep_ms(1_500.0)
            refused = await _send(world, "/verdicts/3", f"Bearer {KEY}")
            assert refused.error.kind is errors.ErrorKind.UNAUTHENTICATED
            assert (await running).numbers == list(range(1, 41))

    deployments.run(main())


def test_account_priority_overrides_route_priority():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            first = dataclasses.replace(SHOP, priority=0)
            _put_configuration(world, 2, first)
            await world.clock.sleep_ms(300.0)
            call = world.call("/sale/1", headers=_with(f"Bearer {KEY}"))
            run = world.instances["e1"]._forwarder._new_run(call)
            assert run.priority == 0
            assert run.route.priority == 5

    deployments.run(main())


@pytest.mark.parametrize("rate_per_s", [0.0, -3.0, math.nan, math.inf])
def test_invalid_rate_means_no_quota(rate_per_s):
    assert (
        accounts.Quota.from_limits(
            rate_per_s=rate_per_s,
            burst=5.0,
            counts_tokens=True,
            unsized_tokens=200.0,
        )
        is None
    )


@pytest.mark.parametrize("burst", [0.0, -1.0, math.nan])
def test_rate_without_burst_gets_default_burst(burst):
    quota = accounts.Quota.from_limits(
        rate_per_s=2.0**54, burst=burst, counts_tokens=False, unsized_tokens=1.0
    )
    assert quota is not None
    assert quota.burst > 0.0


def test_units_of_requests():
    tokens = accounts.Quota(1.0, 1.0, accounts.QuotaUnit.TOKENS, 200.0)
    requests = accounts.Quota(1.0, 1.0)
    work = calls.ModelWork(3_000, 70)
    assert tokens.units_of(work) == 3_070
    assert tokens.units_of(None) == 200
    assert requests.units_of(work) == requests.units_of(None) == 1
