"""Reservations of memory on decode engines."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from typing import Protocol

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import runs


def _do_nothing() -> None:
    pass


class NoPathError(errors.WharfError):
    """Neither this instance nor a peer can ask an engine for memory.

    Args:
        engine: The engine that was to be asked.
    """

    def __init__(self, engine: str) -> None:
        super().__init__(
            errors.ErrorKind.NO_FITTING_ENGINE,
            f"no path to {engine}",
            retry_after_ms=runs.RETRY_AFTER_MS,
        )


class Reservation:
    """Memory reserved for a request on a decode engine.

    Args:
        engine: Engine that made the reservation.
        reservation_id: Id of the reservation.
        reserved_at_ms: Clock reading at which it was made, in milliseconds.
        tokens: Reserved memory, in tokens.
        memory_share: Reserved share of the engine's memory, 0 to 1.
        has_permit: Whether a rate limit permit was taken for the engine.

    Attributes:
        engine: Engine that made the reservation.
        reservation_id: Id of the reservation.
        reserved_at_ms: Clock reading at which it was made, in milliseconds.
        tokens: Reserved memory, in tokens.
        memory_share: Reserved share of the engine's memory, 0 to 1.
        has_permit: Whether a rate limit permit was taken for the engine.
        prefill_engines: Prefill engines for the prompt, the preferred one
            first.
        ahead: Number of requests that preceded it in the wait queue, for logs;
            ``None`` if unknown.
        on_prefill_done: Called when the prompt is prefilled or prefill is
            skipped.
    """

    def __init__(
        self,
        engine: resources.Endpoint,
        reservation_id: str,
        *,
        reserved_at_ms: float,
        tokens: int,
        memory_share: float,
        has_permit: bool = False,
    ) -> None:
        self.engine = engine
        self.reservation_id = reservation_id
        self.reserved_at_ms = reserved_at_ms
        self.tokens = tokens
        self.memory_share = memory_share
        self.has_permit = has_permit
        self.prefill_engines: Sequence[resources.Endpoint] = ()
        self.ahead: int | None = None
        self.on_prefill_done: Callable[[], None] = _do_nothing
        self._is_taken = False

    def take_id(self) -> str | None:
        """Returns the reservation's id once, and ``None`` from then on.

        An attempt consumes the reservation.
        """
        if self._is_taken:
            return None
        self._is_taken = True
        return self.reservation_id


class Placer(Protocol):
    """Reserves memory on decode engines."""

    def place(
        self, run: runs.Run
    ) -> contextlib.AbstractAsyncContextManager[Reservation]:
        """Waits for a reservation and holds it while the block runs.

        Raises:
            WharfError: No memory came free in time. Nothing was run in this
                attempt.
        """
        ...
