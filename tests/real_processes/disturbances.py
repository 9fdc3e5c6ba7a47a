"""Pauses, changes of the configuration and signals, drawn from a seed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import signal
import time

from tests.real_processes import children
from tests.real_processes import configurations
from tests.real_processes import crowds
from tests.real_processes import deployment as deployments

# Shortest and longest pause of an engine or an instance.
PAUSES_S = (0.5, 1.5)
# Share of the engines that are paused when most are.
_MOST = 0.7
# Time within which a change may begin before or after a pause.
_BESIDE_S = 0.5
_CROWD = 12
# Time after which a restarted instance isn't waited for any longer.
_READY_S = 30.0


@dataclasses.dataclass(frozen=True)
class Pause:
    """A process that was stopped and continued, on the monotonic clock."""

    name: str
    from_s: float
    until_s: float


class Disturbances:
    """Disturbs a deployment.

    Args:
        deployment: The deployment.
        rng: Random numbers.

    Attributes:
        pauses: Pauses of engines and instances that are over.
        done: What was done, in order.
    """

    def __init__(
        self, deployment: deployments.Deployment, rng: random.Random
    ) -> None:
        self.pauses: list[Pause] = []
        self.done: list[str] = []
        self._deployment = deployment
        self._rng = rng
        self._stopping = asyncio.Lock()

    async def beside(
        self, pause: Awaitable[None], change: Awaitable[None]
    ) -> None:
        """Does a change a little before or after a pause begins."""
        offset_s = (2 * self._rng.random() - 1) * _BESIDE_S
        await asyncio.gather(
            _after(max(0.0, -offset_s), pause),
            _after(max(0.0, offset_s), change),
        )

    async def pause_engines(self, how_many: str) -> None:
        """Pauses ``one``, ``most`` or ``all`` engines for the same time."""
        engines = self._deployment.engines
        count = {"one": 1, "most": round(len(engines) * _MOST)}
        chosen = self._rng.sample(engines, count.get(how_many, len(engines)))
        self._note(f"pause of {how_many} engines")
        await self._pause(chosen)

    async def pause_instances(self, how_many: str) -> None:
        """Pauses ``one`` or ``all`` instances for the same time."""
        running = [i for i in self._deployment.instances if i.child.is_running]
        chosen = [self._rng.choice(running)] if how_many == "one" else running
        self._note(f"pause of {how_many} instances")
        await self._pause([instance.child for instance in chosen])

    async def _pause(self, chosen: Sequence[children.Child]) -> None:
        began_s = time.monotonic()
        for child in chosen:
            child.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._rng.uniform(*PAUSES_S))
        finally:
            for child in chosen:
                child.send(signal.SIGCONT)
        ended_s = time.monotonic()
        self.pauses += [Pause(c.name, began_s, ended_s) for c in chosen]

    async def change(self, kind: str) -> None:
        """Writes a configuration with one change."""
        self._note(f"change: {kind}")
        configuration = self._deployment.configuration
        await self._deployment.configure(
            configurations.changed(configuration, kind, self._rng)
        )

    async def change_settings(self) -> None:
        """Changes the settings file of an instance, with SIGHUP."""
        instance = self._rng.choice(self._deployment.instances)
        self._note(f"SIGHUP of {instance.name}")
        instance.change_settings()

    async def stop_instance(self) -> None:
        """Stops an instance with SIGTERM and starts it again."""
        async with self._stopping:
            instance = self._rng.choice(self._deployment.instances)
            self._note(f"SIGTERM of {instance.name}")
            await instance.stop()
            await self._restart(instance)

    async def kill_leader(self) -> None:
        """Kills the leader and starts it again."""
        async with self._stopping:
            instance = await self._deployment.leader()
            if instance is None:
                return
            self._note(f"SIGKILL of {instance.name}, which leads")
            await instance.kill()
            await self._restart(instance)

    async def crowd(self, kind: str) -> None:
        """Has a crowd that doesn't behave come to one instance, and leave."""
        instance = self._rng.choice(self._deployment.instances)
        self._note(f"crowd of {kind} at {instance.name}")
        crowd = crowds.Crowd(instance.callers, crowds.KINDS[kind])
        try:
            await crowd.send_all(_CROWD)
            await asyncio.sleep(self._rng.uniform(*PAUSES_S))
        finally:
            crowd.close()

    async def _restart(self, instance: deployments.Instance) -> None:
        """Starts an instance, and waits until the others aren't alone."""
        instance.start()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(instance.in_rotation.wait(), _READY_S)

    def _note(self, what: str) -> None:
        self.done.append(what)


async def _after(wait_s: float, action: Awaitable[None]) -> None:
    await asyncio.sleep(wait_s)
    await action


def changes(disturbances: Disturbances) -> dict[str, Callable[[], Awaitable]]:
    """Returns all that can be done beside a pause, by name."""

    def change(kind: str) -> Callable[[], Awaitable[None]]:
        return lambda: disturbances.change(kind)

    found = {kind: change(kind) for kind in configurations.KINDS}
    found["SIGHUP"] = disturbances.change_settings
    found["SIGTERM of an instance"] = disturbances.stop_instance
    found["SIGKILL of the leader"] = disturbances.kill_leader
    return found
