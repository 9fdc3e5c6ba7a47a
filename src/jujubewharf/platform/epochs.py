"""Epoch of the platform's store, which rises when it is restored from a copy.

A restored store has lost its newest records, and assigns their offsets again.
"""

from __future__ import annotations

from opentelemetry import metrics
import structlog

_RESTORES = metrics.get_meter("jujubewharf").create_counter(
    "forwarding.store_restores",
    description="Restores of the store from a copy that were noticed.",
)


class StoreEpoch:
    """Highest epoch of the store that this instance has seen.

    Attributes:
        current: The epoch; 0 if the store has never stated one.
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_known = False
        self._logger = structlog.get_logger()

    def observe(self, epoch: int | None, *, call: str) -> None:
        """Records the epoch that an answer of the store states.

        Args:
            epoch: The epoch; ``None`` if the answer states none.
            call: Name of the call, for the log line.
        """
        if epoch is None or (self._is_known and epoch <= self.current):
            return
        former, self.current = self.current, epoch
        if self._is_known:
            _RESTORES.add(1)
            self._logger.warning(
                "store_restored", epoch=epoch, former=former, noticed_by=call
            )
        self._is_known = True
