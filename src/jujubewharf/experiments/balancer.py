"""The platform's load balancer, which picks a random live instance."""

from __future__ import annotations

import numpy as np

from jujubewharf.experiments import instances


class Balancer:
    """Random load balancer.

    Args:
        running: The latest run of each instance, by name.
        rng: Random number generator.

    Attributes:
        withdrawn: Names of the instances out of rotation.
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
        """Picks an instance, excluding ``avoided`` if there is another."""
        names = [
            name for name in self._running if name not in self.withdrawn
        ] or list(self._running)
        others = [name for name in names if name != avoided] or names
        return self._running[others[self._rng.integers(len(others))]]
