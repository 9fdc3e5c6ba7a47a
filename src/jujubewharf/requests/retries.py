"""Retry budget, backoff and exclusions for failed attempts."""

from __future__ import annotations

import random

from jujubewharf.configuration import resources
from jujubewharf.engines import client

MAX_ATTEMPTS = 24
# Default retry-after where no better estimate is available. Failed engines and
# unavailable claims mostly recover within a second or two.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Maximum number of engines that a request may lose during decode. The request
# itself may crash them, and each crash ends all requests of the engine.
MAX_LOST_ENGINES = 3
_FIRST_DELAY_MS = 20.0
_LONGEST_DELAY_MS = 1_000.0
_BURST_RETRIES = 10.0
_EXCLUSION_MS = 1_000.0
_FULL_EXCLUSION_MS = 100.0

# Faults after which the engine did no work: it refused, or it could not be
# reached.
NO_EFFECT_FAULTS = frozenset(
    {
        client.EngineFault.UNREACHABLE,
        client.EngineFault.NO_PATH,
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
    """Limits retries to a share of the requests of each service.

    Without a limit, retries multiply the load on a pool that is failing and
    keep it from recovering. Every request adds ``retry_ratio`` tokens up to a
    fixed burst size, and a retry takes one token.
    """

    def __init__(self) -> None:
        self._left: dict[str, float] = {}

    def accepted(self, service: resources.Service) -> None:
        """Adds the share of a retry for one request of a service."""
        left = self._left.get(service.name, _BURST_RETRIES)
        self._left[service.name] = min(
            _BURST_RETRIES, left + service.retry_ratio
        )

    def take(self, service: resources.Service) -> bool:
        """Takes one retry from the budget, if available."""
        left = self._left.get(service.name, _BURST_RETRIES)
        if left < 1.0:
            return False
        self._left[service.name] = left - 1.0
        return True


class Backoff:
    """Exponential backoff with jitter.

    Args:
        rng: Random numbers; seeded for reproducible runs.
        first_ms: Maximum of the first delay in ms.
        longest_ms: Maximum of all delays in ms.
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
        """Returns the next delay in ms, at least half of its maximum."""
        delay_ms = self._ceiling_ms * (0.5 + 0.5 * self._rng.random())
        self._ceiling_ms = min(self._longest_ms, self._ceiling_ms * 2)
        return delay_ms


class Exclusions:
    """Engines that a request avoids for a while after a failure.

    Exclusions expire, because a request to a pool with a single engine would
    otherwise fail for good after one refusal.
    """

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def add(self, error: client.EngineError, now_ms: float) -> None:
        """Excludes the engine of an error."""
        if not error.engine:
            return
        is_full = error.fault is client.EngineFault.REFUSED_FULL
        duration_ms = _FULL_EXCLUSION_MS if is_full else _EXCLUSION_MS
        self._until_ms[error.engine] = now_ms + duration_ms

    def active_at(self, now_ms: float) -> frozenset[str]:
        """Returns the engines that are excluded at a time."""
        return frozenset(
            name
            for name, until_ms in self._until_ms.items()
            if until_ms > now_ms
        )

    def next_expiry_ms(self, now_ms: float) -> float | None:
        """Returns when the next exclusion expires; ``None`` without any."""
        return min(
            (until for until in self._until_ms.values() if until > now_ms),
            default=None,
        )
