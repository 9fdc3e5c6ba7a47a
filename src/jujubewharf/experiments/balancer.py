"""The platform's balancer: each call goes to any instance it holds for live."""

from __future__ import annotations

import numpy as np

from jujubewharf.experiments import instances


class Balancer:
    """Picks instances at random.

    Args:
        running: The latest run of each instance, by name.
        rng: Random numbers.

    Attributes:
        withdrawn: Names it sends nothing to.
    """

    def __init__(
        self,
        running: dict[str, instances.Instance],
        rng: np.random.Generator,
    ) -> None:
        self.withdrawn: list[str] = []
        self._running = running
        self._rng = rng

    def pick(self, avoided: str = "") -> instances.Instance:
        """An instance, if possible not the one to avoid."""
        names = [
            name for name in self._running if name not in self.withdrawn
        ] or list(self._running)
        others = [name for name in names if name != avoided] or names
        return self._running[others[self._rng.integers(len(others))]]
