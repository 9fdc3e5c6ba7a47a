"""Load history of an engine, for delayed load reports."""

from __future__ import annotations

import collections

from jujubewharf.engines import client

_RETENTION_MS = 60_000.0


class LoadHistory:
    """Load reports in order of measurement."""

    def __init__(self) -> None:
        self._loads: collections.deque[client.LoadReport] = collections.deque()

    def add(self, load: client.LoadReport, *, lag_ms: float) -> None:
        """Adds the latest load and drops those too old to be reported."""
        self._loads.append(load)
        oldest_ms = load.measured_ms - max(_RETENTION_MS, lag_ms * 2)
        while len(self._loads) > 1 and self._loads[1].measured_ms < oldest_ms:
            self._loads.popleft()

    def at(self, at_ms: float) -> client.LoadReport:
        """Returns the last load measured by ``at_ms``, or else the oldest."""
        found = self._loads[0]
        for load in reversed(self._loads):
            if load.measured_ms <= at_ms:
                return load
        return found
