"""Reads the JSON answers of the platform's services and of engines.

An answer of another shape than expected counts as none: the store may be
restarting, or something on the way may have answered in its place.
"""

from __future__ import annotations

from typing import Any

import orjson

from jujubewharf.platform import log

# Offsets take the lower bits of a position, see ``epochs``.
_MAX_OFFSET = 2**32 - 1


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


def rows(
    value: object, kind: type[dict[Any, Any] | list[Any]], *, min_size: int = 0
) -> list[Any]:
    """Returns a list whose items are of one kind.

    Args:
        value: The list.
        kind: Type of the items, ``dict`` or ``list``.
        min_size: Least number of values in an item.

    Raises:
        LogUnavailableError: It is none.
    """
    if isinstance(value, list) and all(
        isinstance(item, kind) and len(item) >= min_size for item in value
    ):
        return value
    raise log.LogUnavailableError("answer not understood")
