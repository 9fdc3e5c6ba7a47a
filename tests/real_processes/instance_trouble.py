"""Signals and cuts of instances, pauses of the store, and when these were."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random
import signal
import time

from tests.real_processes import cut_streams
from tests.real_processes import deployment as deployments
from tests.real_processes import http_io
from tests.real_processes import spans

# Time without disturbance after which instances and the store count as calm.
CALM_S = 4.0
# A leader loses its lease after 3 s.
_LEADER_PAUSES_S = (4.0, 7.0)
_PAUSES_S = (1.0, 4.0)
_CUTS_S = (5.0, 9.0)
_STORE_PAUSES_S = (2.0, 5.0)
_DOWN_S = (0.0, 1.0)
_ASK_STORE_S = 0.5
# Time after which a restarted instance isn't waited for any longer.
_READY_S = 30.0
# Share of the instances that may be disturbed at the same time.
_MOST = 0.5


class InstanceTrouble:
    """Disturbs instances and the store; its actions may overlap.

    Args:
        deployment: The deployment.
        rng: Random numbers.

    Attributes:
        done: What was done, in order.
        leader_pauses: When an instance stood still that led.
        cuts: When the zones were cut from each other.
        store_pauses: When the store stood still.
        kills_of_all: When all instances were killed.
    """

    def __init__(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> None:
        self.done: list[str] = []
        self.leader_pauses: list[spans.Span] = []
        self.cuts: list[spans.Span] = []
        self.store_pauses: list[spans.Span] = []
        self.kills_of_all: list[float] = []
        self._deployment = deployment
        self._rng = rng
        self._disturbed: dict[str, list[spans.Span]] = collections.defaultdict(
            list
        )
        self._has_cut = False
        self._busy: set[deployments.Instance] = set()
        self._last_leader: deployments.Instance | None = None

    def is_calm(
        self, instance: deployments.Instance, from_s: float, until_s: float
    ) -> bool:
        """Whether nothing disturbed an instance in a span, or right before.

        A restart lasts until the balancer sends callers again.
        """
        disturbed = self._disturbed[instance.name]
        return not spans.any_meets(disturbed, from_s - CALM_S, until_s)

    def is_store_calm(self, from_s: float, until_s: float) -> bool:
        """Whether the store was up in a span, and right before."""
        return not spans.any_meets(self.store_pauses, from_s - CALM_S, until_s)

    def is_leader_paused(self, from_s: float, until_s: float) -> bool:
        """Whether an instance that led stood still in a span."""
        return spans.any_meets(self.leader_pauses, from_s, until_s)

    def has_cut(self, from_s: float, until_s: float) -> bool:
        """Whether the zones were cut from each other in a span."""
        return spans.any_meets(self.cuts, from_s, until_s)

    def were_all_killed(self, from_s: float, until_s: float) -> bool:
        """Whether all instances were killed within a span."""
        return any(from_s < at_s < until_s for at_s in self.kills_of_all)

    async def pause_leader(self) -> None:
        """Stops the leader for longer than its lease lasts."""
        leader = await self._leader()
        if leader is not None and self._free([leader]):
            await self._pause(leader, self._rng.uniform(*_LEADER_PAUSES_S))

    async def pause_one(self) -> None:
        """Stops any instance for a while."""
        await self._leader()
        for instance in self._draw(1):
            await self._pause(instance, self._rng.uniform(*_PAUSES_S))

    async def kill_leader(self) -> None:
        """Kills the leader."""
        leader = await self._leader()
        if leader is not None:
            await self._kill(self._free([leader]))

    async def kill_one(self) -> None:
        """Kills an instance."""
        await self._kill(self._draw(1))

    async def kill_several(self) -> None:
        """Kills several instances at once."""
        count = len(self._deployment.instances) // 3
        await self._kill(self._draw(max(2, count)))

    async def kill_all(self) -> None:
        """Kills all instances at once, unless some are disturbed already."""
        if not self._busy:
            self.kills_of_all.append(time.monotonic())
            await self._kill(list(self._deployment.instances))

    async def stop_one(self) -> None:
        """Has an instance drain, and starts it again."""
        for instance in self._draw(1):
            self.done.append(f"SIGTERM of {instance.name}")
            with self._disturbing([instance]):
                await instance.stop()
                await self._restart(instance)

    async def cut_zones(self) -> None:
        """Cuts the zones from each other; all reach the store and engines."""
        if self._has_cut:
            return
        lasts_s = self._rng.uniform(*_CUTS_S)
        self.done.append(f"cut between zones for {lasts_s:.1f} s")
        folder = self._deployment.children.folder
        self._has_cut = True
        with spans.recorded(self.cuts):
            cut_streams.write_cuts(folder, self._others())
            try:
                await asyncio.sleep(lasts_s)
            finally:
                cut_streams.write_cuts(folder, {})
                self._has_cut = False

    def _others(self) -> dict[str, list[str]]:
        """Returns the addresses in other zones by address of an instance."""
        instances = self._deployment.instances
        return {
            one.peers: [i.peers for i in instances if i.zone != one.zone]
            for one in instances
        }

    async def pause_store(self) -> None:
        """Stops the store for a while."""
        if self.store_pauses and self.store_pauses[-1].until_s == float("inf"):
            return
        self.done.append("SIGSTOP of the store")
        store = self._deployment.store
        with spans.recorded(self.store_pauses):
            store.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(self._rng.uniform(*_STORE_PAUSES_S))
            finally:
                store.send(signal.SIGCONT)

    async def _pause(
        self, instance: deployments.Instance, lasts_s: float
    ) -> None:
        paused = [self.leader_pauses] if instance is self._last_leader else []
        what = "leading " if paused else ""
        self.done.append(
            f"SIGSTOP of {what}{instance.name} for {lasts_s:.1f} s"
        )
        with self._disturbing([instance]), spans.recorded(*paused):
            instance.child.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(lasts_s)
            finally:
                instance.child.send(signal.SIGCONT)

    async def _kill(self, instances: list[deployments.Instance]) -> None:
        if not instances:
            return
        names = ", ".join(instance.name for instance in instances)
        self.done.append(f"SIGKILL of {names}")
        with self._disturbing(instances):
            await asyncio.gather(*(i.kill() for i in instances))
            await asyncio.sleep(self._rng.uniform(*_DOWN_S))
            await asyncio.gather(*(self._restart(i) for i in instances))

    async def _restart(self, instance: deployments.Instance) -> None:
        """Starts an instance, and waits until callers are sent to it."""
        instance.in_rotation.clear()
        instance.start()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(instance.in_rotation.wait(), _READY_S)

    async def _leader(self) -> deployments.Instance | None:
        """Returns the leader; the last known one while the store is silent."""
        asking = self._deployment.leader()
        with contextlib.suppress(TimeoutError, OSError, http_io.ClosedError):
            self._last_leader = await asyncio.wait_for(asking, _ASK_STORE_S)
        return self._last_leader

    def _draw(self, count: int) -> list[deployments.Instance]:
        free = self._free(self._deployment.instances)
        return self._rng.sample(free, min(count, len(free)))

    def _free(
        self, instances: Iterable[deployments.Instance]
    ) -> list[deployments.Instance]:
        """Returns those that can be disturbed; none if most already are."""
        if len(self._busy) >= _MOST * len(self._deployment.instances):
            return []
        return [i for i in instances if i not in self._busy]

    @contextlib.contextmanager
    def _disturbing(
        self, instances: list[deployments.Instance]
    ) -> Iterator[None]:
        self._busy.update(instances)
        try:
            with spans.recorded(*(self._disturbed[i.name] for i in instances)):
                yield
        finally:
            self._busy.difference_update(instances)
