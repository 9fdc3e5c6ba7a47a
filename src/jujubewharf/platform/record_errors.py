"""Logs records of a table that can't be decoded, once per record."""

from __future__ import annotations

import dataclasses

from opentelemetry import metrics
import structlog

from jujubewharf.platform import epochs

_SKIPPED = metrics.get_meter("jujubewharf").create_counter(
    "forwarding.skipped_records",
    description="Records of the store that could not be used, by table.",
)

_MOST_DETAIL_CHARS = 300
_MOST_KEY_CHARS = 256
# Keys whose logged offsets are remembered.
_MOST_KEYS = 10_000


class RecordErrors:
    """Logs undecodable records and remembers which have been logged.

    Args:
        table: Name of the table in log lines.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        # Newest logged offset of each key.
        self._logged: dict[str, int] = {}
        self._logger = structlog.get_logger()

    def log_once(self, key: str, offset: int, error: Exception) -> None:
        """Logs a record that can't be decoded, unless done before.

        Args:
            key: Key of the record.
            offset: Offset of the record.
            error: Error that the decoder raised.
        """
        if self._logged.get(key, -1) >= offset:
            return
        if len(self._logged) >= _MOST_KEYS and key not in self._logged:
            del self._logged[next(iter(self._logged))]
        self._logged[key] = offset
        _SKIPPED.add(1, {"table": self._table})
        self._logger.error(
            "record_not_understood",
            table=self._table,
            key=key[:_MOST_KEY_CHARS],
            **dataclasses.asdict(epochs.split(offset)),
            error=type(error).__name__,
            detail=str(error)[:_MOST_DETAIL_CHARS],
        )

    def clear(self, key: str) -> None:
        """Forgets the logged offset of a key that has a good or no record."""
        self._logged.pop(key, None)
