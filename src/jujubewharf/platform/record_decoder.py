"""Decodes records of a table, and logs those that can't be decoded."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from jujubewharf.platform import record_errors
from jujubewharf.platform import tables

T = TypeVar("T")


class RecordDecoder(Generic[T]):
    """Decodes the records of one table.

    Args:
        table: Name of the table in log lines.
        decode: Converts key and bytes of a record to its value. Records for
            which it raises are logged and marked unreadable: ``ValueError`` is
            its own judgement, and any other failure costs this record only.
    """

    def __init__(self, table: str, decode: Callable[[str, bytes], T]) -> None:
        self._decode = decode
        self._errors = record_errors.RecordErrors(table)

    def decode(
        self, key: str, offset: int, value: bytes
    ) -> tables.TableRecord[T]:
        """Decodes a record; one without a value removes its key."""
        if not value:
            self._errors.clear(key)
            return tables.TableRecord(key, offset, None)
        try:
            decoded = self._decode(key, value)
        except Exception as error:
            return self.reject(key, offset, error)
        self._errors.clear(key)
        return tables.TableRecord(key, offset, decoded)

    def decode_text(
        self, key: str, offset: int, text: object
    ) -> tables.TableRecord[T]:
        """Decodes a record given in base64; ``None`` removes its key."""
        if text is None:
            return self.decode(key, offset, b"")
        try:
            if not isinstance(text, str):
                raise TypeError("no base64")
            value = base64.b64decode(text)
        except (ValueError, TypeError) as error:
            return self.reject(key, offset, error)
        return self.decode(key, offset, value)

    def reject(
        self, key: str, offset: int, error: Exception
    ) -> tables.TableRecord[T]:
        """Logs a record that can't be decoded and marks it unreadable."""
        self._errors.log_once(key, offset, error)
        return tables.TableRecord(key, offset, None, is_unreadable=True)
