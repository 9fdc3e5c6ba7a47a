"""Whether this instance takes traffic, and what it says when it doesn't."""

from __future__ import annotations

from typing import Protocol

from jujubewharf import errors
from jujubewharf.leaving import shutdown

_RETRY_AFTER_MS = 1_000.0


class _Event(Protocol):
    def is_set(self) -> bool: ...


class Readiness:
    """The two steps of taking traffic and of leaving it.

    A starting instance has folded only part of the configuration: it may
    know a service but not yet the accounts that guard it, so it refuses
    everything until it has caught up. A leaving instance first tells the
    balancer, then still serves what comes until the balancer has noticed.

    Args:
        caught_up: Set once the configuration was read to its end.
        admission: Closed by a shutdown.
    """

    def __init__(
        self, caught_up: _Event, admission: shutdown.AdmissionState
    ) -> None:
        self._caught_up = caught_up
        self._admission = admission

    @property
    def is_ready(self) -> bool:
        """What ``/readyz`` says."""
        is_serving = self._admission.is_ready and self._admission.is_accepting
        return is_serving and self._caught_up.is_set()

    def check(self) -> None:
        """Refuses a new request unless this instance takes traffic.

        Raises:
            WharfError: ``NOT_READY`` or ``SHUTTING_DOWN``.
        """
        self._admission.check()
        if not self._caught_up.is_set():
            kind = errors.ErrorKind.NOT_READY
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)
