"""Seeded histories of claims on a log that is restored from copies."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
import uuid

from jujubewharf import errors
from jujubewharf.experiments import processes
from jujubewharf.requests import claim_shard
from jujubewharf.standins import log as logs
from tests.requests import deployments

INSTANCES = {"e1": "a", "e2": "b", "e3": "c"}
# Short periods, so that keys expire and claims are appended again in a history.
RETENTION = claim_shard.Retention(
    dated_ms=240_000,
    undated_ms=300_000,
    reappend_after_ms=20_000,
    reappend_interval_ms=5_000,
    log_ms=60_000,
)
_FOR_MS = 60_000.0
_COPY_EVERY_MS = 500.0
_COPIES = 8


@dataclasses.dataclass(slots=True)
class _Key:
    """A caller's key.

    Attributes:
        text: The key as it is sent.
        request_ids: Ids of all requests that were sent with it.
    """

    text: str
    request_ids: list[str] = dataclasses.field(default_factory=list)


class History:
    """One history; ``run`` raises ``AssertionError`` for a broken rule.

    Args:
        seed: Seed of all that happens.
    """

    def __init__(self, seed: int) -> None:
        self.served = 0
        self._rng = random.Random(seed)
        self._seed = seed
        self._keys: list[_Key] = []
        self._copies: list[logs.LogCopy] = []
        self._calls: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Plays the history and checks that no key was dispatched twice."""
        self._d = await deployments.Deployment(
            INSTANCES, seed=self._seed, retention=RETENTION
        ).start()
        until_ms = self._d.clock.now_ms() + _FOR_MS
        copying = asyncio.ensure_future(self._take_copies())
        while self._d.clock.now_ms() < until_ms:
            await self._d.clock.sleep_ms(self._rng.choice((30, 200, 900)))
            await self._act()
            self._check()
        copying.cancel()
        await asyncio.gather(*self._calls)
        self._check()
        await self._d.bench.stop()

    async def _take_copies(self) -> None:
        while True:
            self._copies.append(self._d.bench.log.copy())
            await self._d.clock.sleep_ms(_COPY_EVERY_MS)

    async def _act(self) -> None:
        actions = [self._send_new] * 6 + [self._send_again] * 6
        actions += [self._restore, self._restart, self._restart]
        actions += [self._restart_all] * (self._rng.random() < 0.2)
        await self._rng.choice(actions)()

    async def _send_new(self) -> None:
        number = len(self._keys)
        text = f"key-{number}"
        if self._rng.random() < 0.5:
            ahead_ms = self._rng.choice((0, 0, 50_000))
            created_ms = int(self._d.clock.wall_ms() + ahead_ms)
            parts = (created_ms << 80) | (7 << 76) | (2 << 62) | number
            text = str(uuid.UUID(int=parts))
        self._keys.append(_Key(text))
        self._send(self._keys[-1])

    async def _send_again(self) -> None:
        if self._keys:
            self._send(self._rng.choice(self._keys[-12:]))

    def _send(self, key: _Key) -> None:
        name = self._rng.choice(sorted(INSTANCES))
        if not self._d.bench.instances[name].process.is_dead:
            call = asyncio.ensure_future(self._ask(key, name))
            self._calls.append(call)

    async def _ask(self, key: _Key, name: str) -> None:
        request = self._d.request(
            key=key.text, is_repeatable=False, tokens=self._rng.choice((3, 60))
        )
        key.request_ids.append(request.request_id)
        with contextlib.suppress(processes.InstanceLostError):
            end = (await self._d.ask(request, name))[-1]
            if deployments.ran_of(end) is errors.Ran.NO:
                assert not self._dispatches()[request.request_id]
            self.served += deployments.kind_of(end) is None

    async def _restore(self) -> None:
        """The log goes away for a moment and comes back from a copy."""
        log = self._d.bench.log
        former = self._rng.choice(self._copies[-_COPIES:])
        log.is_down = True
        await self._d.clock.sleep_ms(self._rng.choice((1, 300, 2_000)))
        log.restore(former)
        log.is_down = False

    async def _restart(self) -> None:
        await self._restart_instances(self._rng.choice(sorted(INSTANCES)))

    async def _restart_all(self) -> None:
        await self._restart_instances(*INSTANCES)

    async def _restart_instances(self, *names: str) -> None:
        for name in names:
            self._d.bench.kill_instance(name)
        await self._d.clock.sleep_ms(self._rng.choice((10, 600, 4_000)))
        for name in names:
            await self._d.restart(name)

    def _dispatches(self) -> collections.Counter[str]:
        counts: collections.Counter[str] = collections.Counter()
        for engine in self._d.bench.engines.values():
            for attempt_id, count in engine.counts.dispatches.items():
                counts[attempt_id.rpartition(".")[0]] += count
        return counts

    def _check(self) -> None:
        dispatches = self._dispatches()
        for key in self._keys:
            ran = sum(dispatches[sent] for sent in key.request_ids)
            assert ran <= 1, f"{key.text} was dispatched {ran} times"
