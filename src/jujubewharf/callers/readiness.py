"""Readiness of this instance, and refusals while it is not ready."""

from __future__ import annotations

from typing import Protocol

from jujubewharf import errors
from jujubewharf.leaving import shutdown

_RETRY_AFTER_MS = 1_000.0


class _Event(Protocol):
    def is_set(self) -> bool: ...


class Readiness:
    """Readiness during startup and shutdown.

    A starting instance refuses all requests until it has read the whole
    configuration: before, it may know a service but not the accounts that may
    call it. An instance that shuts down first reports that it is not ready,
    and still serves requests until the load balancer has noticed.

    Args:
        caught_up: Event that is set when the configuration has been read.
        admission: Admission state, which a shutdown closes.
    """

    def __init__(
        self, caught_up: _Event, admission: shutdown.AdmissionState
    ) -> None:
        self._caught_up = caught_up
        self._admission = admission

    @property
    def is_ready(self) -> bool:
        """Whether ``/readyz`` reports this instance as ready."""
        is_serving = self._admission.is_ready and self._admission.is_accepting
        return is_serving and self._caught_up.is_set()

    def check(self) -> None:
        """Raises if this instance does not accept requests.

        Raises:
            WharfError: ``NOT_READY`` or ``SHUTTING_DOWN``.
        """
        self._admission.check()
        if not self._caught_up.is_set():
            kind = errors.ErrorKind.NOT_READY
            raise errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)
