"""Bursts of plain calls under random faults, by seed."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.forwarding import deployments
from tests.leadership import plain_bursts

SEEDS = range(8)


class _Faults:
    """Faults that begin and end at random times."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self._loop = asyncio.get_running_loop()
        self._kinds = [
            self._slow,
            self._errors,
            self._silent,
            self._unreachable,
            self._lost_answers,
            self._limited,
            self._cut,
            self._frozen,
            self._drop_links,
            self._kill,
            self._switch,
        ]

    async def run(self, until_ms):
        while self.world.clock.now_ms() < until_ms:
            await self.world.clock.sleep_ms(self.rng.uniform(50.0, 400.0))
            await self.rng.choice(self._kinds)()
        self.world.network.heal()

    def _endpoint(self):
        return self.rng.choice(sorted(self.world.backends.by_name.items()))[1]

    async def _pause(self):
        await self.world.clock.sleep_ms(self.rng.uniform(20.0, 700.0))

    async def _with(self, **changes):
        behind = self._endpoint()
        before = {name: getattr(behind, name) for name in changes}
        for name, value in changes.items():
            setattr(behind, name, value)
        await self._pause()
        for name, value in before.items():
            setattr(behind, name, value)

    async def _slow(self):
        behind = self._endpoint()
        behind.slots.slowdown = 2.5
        await self._pause()
        behind.slots.slowdown = 1.0

    async def _errors(self):
        await self._with(status=500)

    async def _silent(self):
        await self._with(is_silent=True)

    async def _unreachable(self):
        await self._with(is_unreachable=True)

    async def _lost_answers(self):
        await self._with(loses_answers=True)

    async def _limited(self):
        await self._with(rate_limit_per_s=3.0)

    async def _cut(self):
        self.world.network.cut("a", "b", one_way=self.rng.random() < 0.5)
        await self._pause()
        self.world.network.heal()

    async def _frozen(self):
        self._loop.hold("e0")
        await self._pause()
        self._loop.release("e0")

    async def _drop_links(self):
        self.world.network.drop_streams(
            self.rng.choice(sorted(self.world.instances))
        )

    async def _kill(self):
        """Ends an instance that gets no calls, which may be the leader."""
        names = [n for n in self.world.instances if n in ("e0", "e1")]
        if names and self.rng.random() < 0.3:
            name = self.rng.choice(names)
            self.world.network.drop_instance(name)
            await self.world.instances.pop(name).stop()

    async def _switch(self):
        name = self.rng.choice(sorted(self.world.instances))
        permits = self.world.instances[name].plain_permits
        permits.is_enabled = not permits.is_enabled


@pytest.mark.parametrize("seed", SEEDS)
def test_answers_are_true_and_nothing_is_left(seed):
    async def main():
        rng = random.Random(seed)
        world = await plain_bursts.started(*plain_bursts.endpoints())
        names = [n for n in sorted(world.instances) if n not in ("e0", "e1")]
        bursts = [
            plain_bursts.burst(
                world,
                per_s=rng.uniform(0.3, 1.0) * plain_bursts.CAPACITY_PER_S,
                for_ms=5_000.0,
                path=path,
                seed=10 * seed + number,
                instances=names,
            )
            for number, path in enumerate(("/sale/1", "/lookup/1"))
        ]
        faults = _Faults(world, rng)
        await faults.run(world.clock.now_ms() + 5_000.0)
        for calls in bursts:
            answers = await calls
            plain_bursts.check_answers(world, answers)
            longest_ms = max(a.took_ms for a in answers)
            assert longest_ms <= deployments.SALE.timeout_ms + 50.0
        await world.clock.sleep_ms(6_000.0)
        plain_bursts.check_nothing_left(world)
        for instance in world.instances.values():
            if instance.fleet.is_leading:
                links = instance.fleet.followers._links
                assert not any(link.running_handlers for link in links)
        again = await plain_bursts.burst(
            world,
            per_s=0.5 * plain_bursts.CAPACITY_PER_S,
            for_ms=1_000.0,
            seed=99,
            instances=names,
        )
        assert plain_bursts.in_time_share(again) > 0.9
        await world.stop()

    deployments.run(main())
