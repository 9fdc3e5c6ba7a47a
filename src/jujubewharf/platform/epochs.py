"""Epoch of the platform's store, which rises when it is restored from a copy.

A restored store has lost its newest records, and assigns their offsets again.
An offset therefore orders records within one epoch only. All offsets inside the
router are positions: epoch and offset in one number, the epoch in the upper
bits, so that positions of different epochs compare as well. Group generations
are combined with the epoch in the same way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TypeVar

from opentelemetry import metrics
import structlog

from jujubewharf.platform import log

T = TypeVar("T")

_RESTORES = metrics.get_meter("jujubewharf").create_counter(
    "forwarding.store_restores",
    description="Restores of the store from a copy that were noticed.",
)


_OFFSET_BITS = 32
# Positions fit into 64 bits with epochs of so many digits.
_MAX_EPOCH_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Epoch and offset of a record, as shown in log lines."""

    epoch: int
    offset: int


def combine(epoch: int, offset: int) -> int:
    """Returns the position of an offset in an epoch."""
    return epoch << _OFFSET_BITS | offset


def split(position: int) -> Position:
    """Returns the epoch and the offset of a position."""
    return Position(
        position >> _OFFSET_BITS, position & ((1 << _OFFSET_BITS) - 1)
    )


def parse(text: str) -> int | None:
    """Parses an epoch; returns ``None`` for anything but a small number."""
    if not text.isdecimal() or len(text) > _MAX_EPOCH_DIGITS:
        return None
    return int(text)


class FirstEpoch:
    """Epoch of a log as its client used it first.

    A log of another epoch has lost records that the client has seen.

    Attributes:
        epoch: The epoch; ``None`` until an answer has stated one.
    """

    def __init__(self) -> None:
        self.epoch: int | None = None

    def is_same(self, epoch: int | None) -> bool:
        """Returns whether an answer is of the log that was used first.

        Args:
            epoch: Epoch that the answer states; ``None`` if it states none.
        """
        if self.epoch is None:
            self.epoch = epoch
        return epoch is None or epoch == self.epoch


class StoreEpoch:
    """Highest epoch of the store that this instance has seen.

    Attributes:
        current: The epoch; 0 if the store has never stated one.
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_known = False
        self._restored = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._logger = structlog.get_logger()

    def observe(self, epoch: int | None, *, call: str) -> None:
        """Records the epoch that an answer of the store states.

        Args:
            epoch: The epoch; ``None`` if the answer states none.
            call: Name of the call, for the log line.

        Raises:
            LogUnavailableError: The answer is from before a restore, and was
                overtaken by one from after it.
        """
        if epoch is None:
            return
        if epoch < self.current:
            raise log.LogUnavailableError(f"answer of epoch {epoch}")
        self._raise_to(epoch, call)

    def learn(self, position: int) -> None:
        """Records the epoch of a position that another instance has read."""
        self._raise_to(split(position).epoch, "peer")

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for each restore that is noticed."""
        self._listeners.append(listener)

    def _raise_to(self, epoch: int, noticed_by: str) -> None:
        if self._is_known and epoch <= self.current:
            return
        former, self.current = self.current, max(epoch, self.current)
        if self._is_known:
            _RESTORES.add(1)
            self._logger.warning(
                "store_restored",
                epoch=epoch,
                former=former,
                noticed_by=noticed_by,
            )
            self._restored.set()
            self._restored = asyncio.Event()
            for listener in self._listeners:
                listener()
        self._is_known = True

    def require(self, position: int) -> None:
        """Checks that a position is of the current epoch.

        Raises:
            LogRestoredError: It is of another one.
        """
        if split(position).epoch != self.current:
            raise log.LogRestoredError(f"epoch is {self.current}")

    def current_offset(self, position: int) -> int:
        """Returns the offset of a position; 0 if it is of another epoch."""
        parts = split(position)
        return parts.offset if parts.epoch == self.current else 0

    async def until_restored(self, reading: Awaitable[T]) -> T:
        """Awaits a read, which a restore ends at once.

        A long poll that the store held open when it went away may otherwise
        hang until its timeout.

        Raises:
            LogRestoredError: The store was restored meanwhile.
        """
        read = asyncio.ensure_future(reading)
        restored = asyncio.ensure_future(self._restored.wait())
        try:
            await asyncio.wait(
                [read, restored], return_when=asyncio.FIRST_COMPLETED
            )
            if not read.done():
                raise log.LogRestoredError(f"epoch is {self.current}")
            return read.result()
        finally:
            restored.cancel()
            read.cancel()
            await asyncio.gather(read, restored, return_exceptions=True)
