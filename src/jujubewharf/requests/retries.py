"""When a request may be tried again: a budget, a backoff, a rule for faults."""

from __future__ import annotations

import random

from jujubewharf.configuration import resources
from jujubewharf.engines import client

MAX_ATTEMPTS = 24
# When a caller may come back where nothing tells how soon that helps: engines
# that failed and claims that can't be made mostly take a second or two.
COME_BACK_MS = 1_000.0
# Engines that one request may lose while they write its answer. It may be what
# they crash of, and each takes with it all that it runs.
MAX_LOST_ENGINES = 3
_FIRST_DELAY_MS = 20.0
_LONGEST_DELAY_MS = 1_000.0
_BURST_RETRIES = 10.0
_EXCLUDED_MS = 1_000.0
_FULL_EXCLUDED_MS = 100.0

# The engine's own word that it did nothing, or no connection to it at all.
DID_NOTHING = frozenset(
    {
        client.EngineFault.UNREACHABLE,
        client.EngineFault.REFUSED_FULL,
        client.EngineFault.REFUSED_LEAVING,
        client.EngineFault.REFUSED_MODEL,
        client.EngineFault.REFUSED_FENCE,
        client.EngineFault.REFUSED_IDENTITY,
        client.EngineFault.REFUSED_ROLE,
        client.EngineFault.DEFERRED,
        client.EngineFault.UNSUPPORTED,
        client.EngineFault.UNKNOWN_ATTEMPT,
    }
)


class RetryBudget:
    """Retries in proportion to requests, for each service.

    Without it a sick pool gets each request many times over, and the retries
    keep it sick. Every request adds ``retry_ratio`` of a retry, up to a small
    stock, and a retry takes one.
    """

    def __init__(self) -> None:
        self._left: dict[str, float] = {}

    def accepted(self, service: resources.Service) -> None:
        """A request of the service came."""
        left = self._left.get(service.name, _BURST_RETRIES)
        self._left[service.name] = min(
            _BURST_RETRIES, left + service.retry_ratio
        )

    def take(self, service: resources.Service) -> bool:
        """Takes one retry, if there is one."""
        left = self._left.get(service.name, _BURST_RETRIES)
        if left < 1.0:
            return False
        self._left[service.name] = left - 1.0
        return True


class Backoff:
    """Doubling delays with full jitter.

    Args:
        rng: Seeded random numbers, so that a run can be repeated.
        first_ms: Longest first delay.
        longest_ms: Longest delay.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        first_ms: float = _FIRST_DELAY_MS,
        longest_ms: float = _LONGEST_DELAY_MS,
    ) -> None:
        self._rng = rng
        self._ceiling_ms = first_ms
        self._longest_ms = longest_ms

    def next_ms(self) -> float:
        """The next delay; never none, so that time passes between tries."""
        delay_ms = self._ceiling_ms * (0.5 + 0.5 * self._rng.random())
        self._ceiling_ms = min(self._longest_ms, self._ceiling_ms * 2)
        return delay_ms


class Exclusions:
    """Engines that failed a request, for a while.

    They lapse, because in a pool of one engine a request would otherwise be
    refused for good over one refusal of a full engine.
    """

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def add(self, error: client.EngineError, now_ms: float) -> None:
        """Excludes the engine that an error names."""
        if not error.engine:
            return
        is_full = error.fault is client.EngineFault.REFUSED_FULL
        for_ms = _FULL_EXCLUDED_MS if is_full else _EXCLUDED_MS
        self._until_ms[error.engine] = now_ms + for_ms

    def at(self, now_ms: float) -> frozenset[str]:
        """Engines excluded now."""
        return frozenset(
            name
            for name, until_ms in self._until_ms.items()
            if until_ms > now_ms
        )

    def next_lapse_ms(self, now_ms: float) -> float | None:
        """When the next exclusion lapses; ``None`` when there is none."""
        return min(
            (until for until in self._until_ms.values() if until > now_ms),
            default=None,
        )
