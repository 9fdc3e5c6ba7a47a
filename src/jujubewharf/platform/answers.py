"""Reads the answers of the platform's services, and the JSON of engines.

An answer of another shape than expected counts as none: the store may be
restarting, or something on the way may have answered in its place.
"""

from __future__ import annotations

import struct
from typing import Any

import orjson

from jujubewharf.platform import log

# Offsets take the lower bits of a position, see ``epochs``.
_MAX_OFFSET = 2**32 - 1
_LENGTH = struct.Struct(">I")


def json_object(body: bytes) -> dict[str, Any]:
    """Parses a JSON object; returns ``{}`` for any other body or none."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def offset(value: object) -> int:
    """Returns an offset, a generation or the number of a partition.

    Raises:
        LogUnavailableError: It is none.
    """
    if type(value) is int and 0 <= value <= _MAX_OFFSET:
        return value
    raise log.LogUnavailableError("answer not understood")


def key_and_offset(item: object) -> tuple[str, int]:
    """Returns key and offset of a record in a list of the newest ones.

    Raises:
        LogUnavailableError: It has none.
    """
    if isinstance(item, dict) and isinstance(item.get("key"), str):
        return item["key"], offset(item.get("offset"))
    raise log.LogUnavailableError("answer not understood")


def rows(value: object, *, min_size: int) -> list[list[Any]]:
    """Returns a list of lists.

    Args:
        value: The list.
        min_size: Least number of values in an item.

    Raises:
        LogUnavailableError: It is none.
    """
    if isinstance(value, list) and all(
        isinstance(item, list) and len(item) >= min_size for item in value
    ):
        return value
    raise log.LogUnavailableError("answer not understood")


def payloads(body: bytes) -> list[bytes]:
    """Splits records with their lengths; drops a truncated last one."""
    found: list[bytes] = []
    position = 0
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + size > len(body):
            break
        found.append(body[position : position + size])
        position += size
    return found
