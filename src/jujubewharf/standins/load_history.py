"""What an engine's load was, so that its reports can lag behind."""

from __future__ import annotations

import collections

from jujubewharf.engines import client

_KEPT_MS = 60_000.0


class LoadHistory:
    """Loads in the order they were measured."""

    def __init__(self) -> None:
        self._loads: collections.deque[client.LoadReport] = collections.deque()

    def add(self, load: client.LoadReport, *, lag_ms: float) -> None:
        """Adds the latest load and forgets those no report needs."""
        self._loads.append(load)
        oldest_ms = load.measured_ms - max(_KEPT_MS, lag_ms * 2)
        while len(self._loads) > 1 and self._loads[1].measured_ms < oldest_ms:
            self._loads.popleft()

    def at(self, at_ms: float) -> client.LoadReport:
        """The load as last measured by some moment, or the oldest known."""
        found = self._loads[0]
        for load in reversed(self._loads):
            if load.measured_ms <= at_ms:
                return load
        return found
