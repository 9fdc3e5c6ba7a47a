"""Rate limits of operator calls and the limit on open watches.

All operators share the append capacity of the log. Per-operator limits at
each instance keep a script that sends changes in a loop from using it up.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

import aiolimiter
from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.operators import values
from jujubewharf.settings import models

_RATE_WINDOW_S = 10.0

_calls = metrics.get_meter("jujubewharf").create_counter(
    "operators.calls",
    description="Calls of operators, by call and outcome.",
)

CHANGE_CALLS = frozenset(
    {
        "Create",
        "Change",
        "Delete",
        "Rollback",
        "Drain",
        "Undrain",
        "Apply",
        "AcceptLoss",
    }
)


class CallLimiter:
    """Limits and counts operator calls at this instance.

    Args:
        settings: Limits to enforce.
    """

    def __init__(self, settings: models.OperatorSettings) -> None:
        self._settings = settings
        self._limiters: dict[tuple[str, bool], aiolimiter.AsyncLimiter] = {}
        self._open_watches = 0

    async def admit(self, identity: values.Identity, call: str) -> None:
        """Admits a call within the rate limit of its operator.

        Raises:
            WharfError: ``RATE_LIMITED`` if the limit is exceeded.
        """
        is_change = call in CHANGE_CALLS
        limiter = self._limiter(identity.name, is_change)
        if not limiter.has_capacity():
            raise errors.WharfError(
                errors.ErrorKind.RATE_LIMITED,
                f"{identity.name} calls too often",
                retry_after_ms=clocks.MS_PER_S / self._rate_per_s(is_change),
            )
        await limiter.acquire()

    @contextlib.contextmanager
    def watch_slot(self) -> Iterator[None]:
        """Reserves one of the watch slots for the duration of the block.

        Raises:
            WharfError: ``TOO_MANY_IN_FLIGHT`` if all slots are in use.
        """
        if self._open_watches >= self._settings.max_watches:
            detail = "no more watches at this instance"
            kind = errors.ErrorKind.TOO_MANY_IN_FLIGHT
            raise errors.WharfError(kind, detail)
        self._open_watches += 1
        try:
            yield
        finally:
            self._open_watches -= 1

    def count(self, call: str, outcome: str) -> None:
        """Counts a finished call by its outcome."""
        _calls.add(1, {"call": call, "outcome": outcome})

    def _limiter(self, name: str, is_change: bool) -> aiolimiter.AsyncLimiter:
        key = (name, is_change)
        limiter = self._limiters.get(key)
        if limiter is None:
            burst = max(1.0, self._rate_per_s(is_change) * _RATE_WINDOW_S)
            limiter = aiolimiter.AsyncLimiter(burst, _RATE_WINDOW_S)
            self._limiters[key] = limiter
        return limiter

    def _rate_per_s(self, is_change: bool) -> float:
        if is_change:
            return self._settings.max_changes_per_s
        return self._settings.max_reads_per_s
