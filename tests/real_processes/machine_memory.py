"""The memory of a machine, beyond which the platform kills a process."""

from __future__ import annotations

import asyncio
import os
import pathlib

from tests.real_processes import deployment as deployments

_LOOK_S = 0.01
_MB = 1e6


class Watch:
    """Kills instances that exceed the memory of their machine.

    Args:
        deployment: The deployment.
        limit_mb: Memory of a machine.

    Attributes:
        peaks_mb: Largest resident memory by instance.
        kills: Names of the instances that were killed, once for each time.
    """

    def __init__(
        self, deployment: deployments.Deployment, limit_mb: float
    ) -> None:
        self.peaks_mb: dict[str, float] = {}
        self.kills: list[str] = []
        self._deployment = deployment
        self._limit_mb = limit_mb

    async def run(self) -> None:
        """Looks at all instances until it is cancelled."""
        while True:
            for instance in self._deployment.instances:
                self._look(instance)
            await asyncio.sleep(_LOOK_S)

    def _look(self, instance: deployments.Instance) -> None:
        if not instance.child.is_running:
            return
        used_mb = _resident_mb(instance.child.pid)
        peak_mb = self.peaks_mb.get(instance.name, 0.0)
        self.peaks_mb[instance.name] = max(used_mb, peak_mb)
        if used_mb > self._limit_mb:
            self.kills.append(instance.name)
            instance.child.end()
            instance.start()


def _resident_mb(pid: int) -> float:
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / _MB
