"""Permits of plain calls, as the forwarding of a call uses them."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Protocol

from jujubewharf.configuration import resources
from jujubewharf.forwarding import runs
from jujubewharf.plain_calls import decisions


class NoEndpointError(Exception):
    """No endpoint accepts the call at the moment."""


@dataclasses.dataclass(slots=True)
class Permit:
    """Permission to send one call to an endpoint.

    Attributes:
        endpoint: The endpoint.
        outcome: How the call ended; set before the permit is returned.
    """

    endpoint: resources.Endpoint
    outcome: decisions.Outcome = decisions.Outcome.CANCELLED


class PlainPermits(Protocol):
    """Grants permits of plain calls."""

    def applies_to(self, service: str) -> bool:
        """Whether calls of a service need a permit."""
        ...

    def acquire(
        self, run: runs.Run, *, excluded: frozenset[str]
    ) -> contextlib.AbstractAsyncContextManager[Permit]:
        """Waits for a permit and holds it while the block runs.

        Raises:
            NoEndpointError: No endpoint accepts the call.
            WharfError: The call can't be served in time. Nothing was sent.
        """
        ...


class NoPermits:
    """Implementation for calls that need no permit."""

    def applies_to(self, service: str) -> bool:
        """Returns False; see ``PlainPermits``."""
        return False

    def acquire(
        self, run: runs.Run, *, excluded: frozenset[str]
    ) -> contextlib.AbstractAsyncContextManager[Permit]:
        """Is never called; see ``PlainPermits``."""
        raise NotImplementedError
