"""Seeded histories of moving demand, and what endpoints see of retries."""

from __future__ import annotations

import asyncio
import bisect
import dataclasses
import random

from jujubewharf.standins import store as stores
from tests.forwarding import deployments

# As in the settings of ``deployments``.
RATIO = 0.2
SLACK = 40.0
WINDOW_MS = 10_000.0
DOMAINS = "abc"
_STEP_MS = 20.0
_SERVICE = deployments.PLAIN


@dataclasses.dataclass(slots=True)
class Seen:
    """Times in ms at which endpoints saw first attempts and retries."""

    requests: list[float] = dataclasses.field(default_factory=list)
    retries: list[float] = dataclasses.field(default_factory=list)
    denied: int = 0
    # Highest sum of the shares that instances had within one window.
    highest_sum: float = 0.0

    @property
    def from_allowance(self) -> float:
        """Retries beyond the usable ratio of the requests."""
        return len(self.retries) - 0.85 * RATIO * len(self.requests)

    def check(self) -> None:
        """Checks all windows that begin with a retry."""
        for index, begin_ms in enumerate(self.retries):
            end_ms = begin_ms + WINDOW_MS
            retries = bisect.bisect_left(self.retries, end_ms) - index
            requests = bisect.bisect_left(
                self.requests, end_ms
            ) - bisect.bisect_left(self.requests, begin_ms)
            allowed = RATIO * requests + SLACK
            assert retries <= allowed, (begin_ms, retries, allowed)


class History:
    """Demand that moves between instances, with faults of the fleet.

    Args:
        seed: Seed of all that happens.
        count: Number of instances.
        has_faults: Whether there are partitions and leader changes.
        is_equal: Whether all instances have equal shares at all times.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        *,
        has_faults: bool = True,
        is_equal: bool = False,
    ) -> None:
        self._is_equal = is_equal
        self._rng = random.Random(seed)
        self._names = [f"e{n}" for n in range(1, count + 1)]
        self._has_faults = has_faults
        self._busy: list[str] = []
        # Falling shares and the times in ms at which each was last used.
        self._shares: dict[int, list[tuple[float, float]]] = {}
        self.world = deployments.Deployment(deployments.plain_endpoint("s1"))
        self.seen = Seen()

    async def run(
        self,
        *,
        for_ms: float = 90_000.0,
        restart_all_after_ms: float = float("inf"),
    ) -> Seen:
        """Plays the history and returns what endpoints saw."""
        world = self.world
        await world.start_together(DOMAINS, *self._names)
        if self._is_equal:
            for instance in world.instances.values():
                instance.fleet_retries.share = lambda: 1.0 / len(self._names)
        now_ms = world.clock.now_ms
        until_ms = now_ms() + for_ms
        restart_all_at_ms = now_ms() + restart_all_after_ms
        demand_ms = fault_ms = now_ms()
        restarting: asyncio.Future[None] | None = None
        while now_ms() < until_ms:
            if restart_all_after_ms < float("inf"):
                self._busy = self._names
            elif now_ms() >= demand_ms:
                count = self._rng.choice((1, 1, 2, 3))
                self._busy = self._rng.sample(self._names, count)
                demand_ms = now_ms() + self._rng.uniform(3_000.0, 25_000.0)
            if self._has_faults and now_ms() >= fault_ms:
                if restarting is None or restarting.done():
                    restarting = self._act()
                fault_ms = now_ms() + self._rng.uniform(500.0, 12_000.0)
            if now_ms() >= restart_all_at_ms:
                restart_all_at_ms = float("inf")
                await asyncio.gather(*(world.restart(n) for n in self._names))
            self._request()
            self._sum_shares()
            await world.clock.sleep_ms(_STEP_MS)
        if restarting is not None:
            await restarting
        await world.stop()
        return self.seen

    def _sum_shares(self) -> None:
        """Adds up the highest share of each process within the window."""
        now_ms = self.world.clock.now_ms()
        for instance in self.world.instances.values():
            shares = self._shares.setdefault(id(instance), [])
            share = instance.fleet_retries.share()
            while shares and shares[-1][1] <= share:
                shares.pop()
            shares.append((now_ms, share))
        for shares in self._shares.values():
            while shares and shares[0][0] < now_ms - WINDOW_MS:
                shares.pop(0)
        total = sum(shares[0][1] for shares in self._shares.values() if shares)
        self.seen.highest_sum = max(total, self.seen.highest_sum)

    def _request(self) -> None:
        """Sends requests to the busy instances, of which most fail."""
        now_ms = self.world.clock.now_ms()
        for name in self._busy:
            instance = self.world.instances.get(name)
            if instance is None or self._rng.random() > 0.4:
                continue
            instance.budget.record_request(_SERVICE)
            self.seen.requests.append(now_ms)
            if self._rng.random() > 0.8:
                continue
            if instance.budget.take(_SERVICE):
                self.seen.retries.append(now_ms)
            else:
                self.seen.denied += 1

    def _act(self) -> asyncio.Future[None] | None:
        world = self.world
        match self._rng.randrange(6):
            case 0 | 1:
                domain, *others = self._rng.sample(DOMAINS, len(DOMAINS))
                for other in others:
                    world.network.cut(domain, other)
                if self._rng.random() < 0.5:
                    for name, instance in world.instances.items():
                        if instance.domain == domain:
                            world.store.cut_off[name] = stores.Outage.RESET
            case 2 | 3:
                world.store.cut_off.clear()
                world.network.heal()
            case 4:
                if world.leader is not None:
                    world.store.cut_off[world.leader] = stores.Outage.SILENT
            case 5:
                name = world.leader or self._rng.choice(self._names)
                return asyncio.ensure_future(world.restart(name))
        return None
