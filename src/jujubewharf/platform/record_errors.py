"""Logs records of a table that can't be decoded, once per record."""

from __future__ import annotations

import dataclasses

import structlog

from jujubewharf.platform import epochs

_MOST_DETAIL_CHARS = 300


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
        self._logged[key] = offset
        self._logger.error(
            "record_not_understood",
            table=self._table,
            key=key,
            **dataclasses.asdict(epochs.split(offset)),
            error=type(error).__name__,
            detail=str(error)[:_MOST_DETAIL_CHARS],
        )

    def clear(self, key: str) -> None:
        """Forgets logged offsets of a key whose newest record was decoded."""
        self._logged.pop(key, None)
