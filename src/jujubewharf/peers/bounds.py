"""Bounds of the values in peer messages, for every field of every message.

Sums and products of numbers within them are finite, and what has been received
can be sent on. Fields whose own bounds are narrower declare them.
"""

from __future__ import annotations

from typing import Any

# Range of msgpack's integers.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
# Far above any time, rate or count; a fleet's sum of such numbers is finite.
MAX_FLOAT = 1e21
MAX_STRING_CHARS = 262_144
MAX_ITEMS = 500_000

# Bounds by type of a schema. Those that a field declares itself stay in force.
_BOUNDS: dict[str, dict[str, Any]] = {
    "int": {"ge": MIN_INTEGER, "le": MAX_INTEGER},
    "float": {"ge": -MAX_FLOAT, "le": MAX_FLOAT, "allow_inf_nan": False},
    "str": {"max_length": MAX_STRING_CHARS},
    "list": {"max_length": MAX_ITEMS, "fail_fast": True},
    "set": {"max_length": MAX_ITEMS, "fail_fast": True},
    "frozenset": {"max_length": MAX_ITEMS, "fail_fast": True},
    "dict": {"max_length": MAX_ITEMS},
}


def bounded(schema: Any) -> Any:
    """Returns a core schema of ``pydantic`` with bounds for all its values."""
    match schema:
        case dict():
            inner = {name: bounded(part) for name, part in schema.items()}
            kind = schema.get("type")
            defaults = _BOUNDS.get(kind, {}) if isinstance(kind, str) else {}
            return defaults | inner
        case list():
            return [bounded(part) for part in schema]
        case tuple():
            return tuple(bounded(part) for part in schema)
        case _:
            return schema
