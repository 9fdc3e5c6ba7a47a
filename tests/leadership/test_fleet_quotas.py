"""Guards against exceeding account quotas, also when the leader changes."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from jujubewharf import bearer
from jujubewharf import errors
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import settings
from jujubewharf.leadership import fleet as fleets
from tests.forwarding import deployments

NAMES = ("e1", "e2", "e3", "e4")
SMALL = accounts.Quota(20_000.0, 20_000.0, accounts.QuotaUnit.TOKENS, 200.0)
USUAL = dataclasses.replace(SMALL, rate_per_s=90_000.0, burst=90_000.0)
LARGE = dataclasses.replace(SMALL, rate_per_s=1e9, burst=1e9)
# Tokens that the requirement allows beyond any quota.
SLACK = 120_000.0
WINDOW_MS = 8_000.0
# One model request.
WORK = calls.ModelWork(3_000, 2_000, 1_000)


def _account(name: str, quota: accounts.Quota) -> accounts.Account:
    return accounts.Account(name, (bearer.token_digest(name),), quota=quota)


async def _started(world, *quotas: tuple[str, accounts.Quota]) -> None:
    configuration = dataclasses.replace(
        deployments.configuration(2),
        accounts=tuple(_account(name, quota) for name, quota in quotas),
    )
    world.configurations.put("config", configuration)
    await world.clock.sleep_ms(4_000.0)


def _ask(world, account: str, path: str, instance: str, **more):
    headers = (("Authorization", f"Bearer {account}"),)
    more.setdefault("work", None)
    return world.ask(path, instance=instance, headers=headers, **more)


def _shops():
    return [deployments.plain_endpoint(f"s{n}") for n in range(4)]


def _engines():
    return [
        deployments.prefill_engine("p1"),
        *(
            deployments.decode_engine(f"d{n}", memory_tokens=10**7)
            for n in range(3)
        ),
    ]


def _max_units_in_window(world, account: str, units: float) -> float:
    """The most units that an account has run in any sliding window."""
    times = [r.at_ms for r in world.backends.runs if r.account == account]
    return max(
        (
            units * sum(1 for t in times if start <= t <= start + WINDOW_MS)
            for start in times
        ),
        default=0.0,
    )


async def _flood(world, account, path, *, for_ms, every_ms, units_work=None):
    """Sends requests to all instances in turn; returns the answers."""
    asked = []
    until_ms = world.clock.now_ms() + for_ms
    count = 0
    while world.clock.now_ms() < until_ms:
        names = sorted(world.instances)
        count += 1
        asked.append(
            asyncio.ensure_future(
                _ask(
                    world,
                    account,
                    path,
                    names[count % len(names)],
                    work=units_work,
                    request_id=f"{account}-{path}-{count}-{until_ms}",
                )
            )
        )
        await world.clock.sleep_ms(every_ms)
    return await asyncio.gather(*asked)


def _allowed(quota: accounts.Quota, slack: float = 0.0) -> float:
    """Requirement: 1.1 times the quota per window, plus slack."""
    whole = quota.rate_per_s * WINDOW_MS / 1_000.0 + quota.burst
    return whole * 1.1 + slack


@pytest.mark.parametrize(
    ("path", "work", "units"),
    [("/sale/1", None, 200.0), ("/verdicts/1", WORK, 5_000.0)],
)
def test_flood_is_limited_to_quota(path, work, units):
    """An account sends five times its quota, to all instances.

    It gets nearly its quota; the rest is refused at once with a retry-after.
    """

    async def main():
        async with deployments.deployed(
            *_shops(), *_engines(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL))
            every_ms = units / SMALL.rate_per_s * 1_000.0 / 5.0
            answers = await _flood(
                world,
                "hot",
                path,
                for_ms=16_000.0,
                every_ms=every_ms,
                units_work=work,
            )
            used = _max_units_in_window(world, "hot", units)
            assert used <= _allowed(SMALL)
            assert used >= SMALL.rate_per_s * WINDOW_MS / 1_000.0 * 0.9
            refused = [a.error for a in answers if a.error is not None]
            assert refused
            assert {e.kind for e in refused} == {errors.ErrorKind.RATE_LIMITED}
            assert all(e.retry_after_ms > 0.0 for e in refused)
            assert all(e.ran is errors.Ran.NO for e in refused)
            assert all(a.took_ms < 50.0 for a in answers if a.error is not None)

    deployments.run(main())


def test_flood_does_not_affect_other_accounts():
    async def main():
        async with deployments.deployed(
            *_shops(), *_engines(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL), ("calm", SMALL))
            flood = asyncio.ensure_future(
                _flood(
                    world,
                    "hot",
                    "/verdicts/1",
                    for_ms=8_000.0,
                    every_ms=40.0,
                    units_work=WORK,
                )
            )
            calm = await _flood(
                world,
                "calm",
                "/verdicts/2",
                for_ms=8_000.0,
                every_ms=400.0,
                units_work=WORK,
            )
            await flood
            assert all(answer.status == 200 for answer in calm)

    deployments.run(main())


def test_caller_is_served_after_retry_after():
    async def main():
        async with deployments.deployed(
            *_shops(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL))
            answers = await _flood(
                world, "hot", "/sale/1", for_ms=2_000.0, every_ms=2.0
            )
            wait_ms = max(
                a.error.retry_after_ms for a in answers if a.error is not None
            )
            await world.clock.sleep_ms(wait_ms)
            again = await _ask(world, "hot", "/sale/2", "e2")
            assert again.status == 200

    deployments.run(main())


def test_request_without_engine_is_not_counted():
    """A refusal for lack of memory must not use up the quota.

    Otherwise callers that got nothing would be refused a second time.
    """

    async def main():
        full = deployments.decode_engine("d1", memory_tokens=10)
        async with deployments.deployed(
            deployments.prefill_engine("p1"), full, names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL))
            answers = await asyncio.gather(
                *(
                    _ask(world, "hot", "/verdicts/1", name, work=WORK)
                    for name in NAMES * 8
                )
            )
            kinds = {a.error.kind for a in answers}
            assert errors.ErrorKind.QUEUE_FULL in kinds
            leader = world.instances[world.leader]
            await world.clock.sleep_ms(500.0)
            left = leader.quotas._buckets.balance(
                "hot", SMALL, world.clock.now_ms()
            )
            assert left == pytest.approx(SMALL.burst)

    deployments.run(main())


def test_resumed_stream_is_counted_once():
    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1", breaks_after=2),
            deployments.decode_engine("d2"),
            deployments.decode_engine("d3"),
            names=NAMES,
            is_led=True,
        ) as world:
            await _started(world, ("hot", SMALL))
            leader = world.instances[world.leader]
            runs = 0
            while runs < 2:
                world.backends.runs.clear()
                before = leader.quotas._buckets.balance(
                    "hot", SMALL, world.clock.now_ms()
                )
                answer = await _ask(
                    world, "hot", "/verdicts/1", "e1", work=WORK
                )
                runs = len(world.backends.runs)
                after = leader.quotas._buckets.balance(
                    "hot", SMALL, world.clock.now_ms()
                )
                gained = SMALL.rate_per_s * answer.took_ms / 1_000.0
                assert answer.numbers == [1, 2, 3, 4, 5]
                assert after >= min(SMALL.burst, before + gained) - 5_100.0
                await world.clock.sleep_ms(1_000.0)

    deployments.run(main())


def test_small_requests_are_served_during_debt():
    """Lookups are served while streams of the same account are in debt."""

    async def main():
        async with deployments.deployed(
            *_shops(), *_engines(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", USUAL))
            for instance in world.instances.values():
                instance.quotas.quota_settings = settings.QuotaSettings(
                    slack=SLACK
                )
            streams = asyncio.ensure_future(
                _flood(
                    world,
                    "hot",
                    "/verdicts/1",
                    for_ms=6_000.0,
                    every_ms=40.0,
                    units_work=WORK,
                )
            )
            lookups = await _flood(
                world, "hot", "/sale/1", for_ms=6_000.0, every_ms=50.0
            )
            assert all(answer.status == 200 for answer in lookups)
            limited = [a for a in await streams if a.error is not None]
            assert limited

    deployments.run(main())


def test_instance_without_leader_grants_observed_share():
    """An account's connections end at one instance, which loses its leader.

    With an equal share of the quota its caller would be refused although it is
    far within its quota.
    """

    async def main():
        async with deployments.deployed(
            *_shops(), *_engines(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("shop", SMALL))
            (other, *_) = sorted(set(NAMES) - {world.leader})
            for _ in range(10):
                await _ask(world, "shop", "/verdicts/1", other, work=WORK)
                await world.clock.sleep_ms(200.0)
            instance = world.instances[other]
            instance.fleet.link._link.close()
            instance.fleet.link._link = None
            assert instance.quotas.role is fleets.Role.ALONE
            granted = instance.quotas._local_quota("shop", SMALL).rate_per_s
            assert granted >= SMALL.rate_per_s * 0.4

    deployments.run(main())


def test_low_account_gets_no_extra_request_per_instance():
    """The leader stops while an account is at its quota.

    If each instance admitted one request at once, the excess would grow with
    the number of instances.
    """

    async def main():
        names = tuple(f"e{n}" for n in range(12))
        async with deployments.deployed(
            *_shops(), *_engines(), names=names, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL))
            flood = asyncio.ensure_future(
                _flood(
                    world,
                    "hot",
                    "/verdicts/1",
                    for_ms=12_000.0,
                    every_ms=25.0,
                    units_work=WORK,
                )
            )
            await world.clock.sleep_ms(7_000.0)
            await world.instances.pop(world.leader).stop()
            since_ms = world.clock.now_ms()
            await world.clock.sleep_ms(900.0)
            until_ms = world.clock.now_ms()
            ran = [
                run
                for run in world.backends.runs
                if since_ms <= run.at_ms <= until_ms
            ]
            await flood
            # The rate allows four requests per second; eleven instances are
            # left.
            assert len(ran) <= 8

    deployments.run(main())


def test_flood_without_leader_gets_no_request_per_instance():
    """An idle account floods all instances while there is no leader.

    Each instance has a twelfth of the burst, less than one request, and must
    not admit a whole one in debt.
    """

    async def main():
        names = tuple(f"e{n}" for n in range(12))
        async with deployments.deployed(
            *_shops(), *_engines(), names=names, is_led=True
        ) as world:
            await _started(world, ("hot", SMALL))
            for name in names:
                await _ask(world, "hot", "/verdicts/1", name, work=WORK)
            await world.clock.sleep_ms(12_000.0)
            await world.instances.pop(world.leader).stop()
            since_ms = world.clock.now_ms()
            flood = asyncio.ensure_future(
                _flood(
                    world,
                    "hot",
                    "/verdicts/1",
                    for_ms=900.0,
                    every_ms=15.0,
                    units_work=WORK,
                )
            )
            await flood
            ran = [r for r in world.backends.runs if r.at_ms >= since_ms]
            # The burst and the rate of one second are eight requests.
            assert len(ran) <= 8

    deployments.run(main())


@pytest.mark.parametrize("seed", range(6))
def test_random_leader_changes_keep_within_quota(seed):
    """The bound holds in a flood with random leader stops and lost links."""

    async def main():
        rng = random.Random(seed)
        async with deployments.deployed(
            *_shops(), *_engines(), names=NAMES, is_led=True
        ) as world:
            await _started(world, ("hot", USUAL))
            flood = asyncio.ensure_future(
                _flood(
                    world,
                    "hot",
                    "/verdicts/1",
                    for_ms=20_000.0,
                    every_ms=12.0,
                    units_work=WORK,
                )
            )
            for _ in range(3):
                await world.clock.sleep_ms(rng.uniform(1_000.0, 6_000.0))
                leader = world.leader
                if leader is None:
                    continue
                if rng.random() < 0.5 and len(world.instances) > 2:
                    await world.instances.pop(leader).stop()
                else:
                    for name, instance in world.instances.items():
                        if name != leader and instance.fleet.link._link:
                            instance.fleet.link._link.close()
            answers = await flood
            used = _max_units_in_window(world, "hot", 5_000.0)
            assert used <= _allowed(USUAL, slack=SLACK)
            assert any(a.status == 200 for a in answers)

    deployments.run(main())
