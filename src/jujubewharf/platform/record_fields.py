"""Types of the fields in records that other writers store, with both bounds.

The bounds lie far outside what operators and endpoints write; within them every
part of the router can compute with a value, and send it to other instances.
"""

from __future__ import annotations

from typing import Annotated
from typing import TypeGuard
from typing import TypeVar

import pydantic

_MAX_NAME_CHARS = 256
_MAX_TEXT_CHARS = 4_096
_MAX_PATH_CHARS = 16_384
_MAX_ITEMS = 100_000
_MAX_SLOTS = 1_000_000
_MAX_RANK = 1_000_000
_MAX_COUNT = 1_000_000_000
_MAX_TOKENS = 1_000_000_000_000
# Whole numbers up to here are exact in a float, as other writers may read them.
_MAX_WHOLE = 2**53
# Of any unit of time.
_MAX_DURATION = 1e12
_MAX_WEIGHT = 1e12
# Last Unix millisecond of a four-digit year.
_MAX_UNIX_MS = 253_402_300_799_999

T = TypeVar("T")

Name = Annotated[str, pydantic.Field(min_length=1, max_length=_MAX_NAME_CHARS)]
Text = Annotated[str, pydantic.Field(max_length=_MAX_TEXT_CHARS)]
Path = Annotated[str, pydantic.Field(max_length=_MAX_PATH_CHARS)]
Rank = Annotated[int, pydantic.Field(ge=0, le=_MAX_RANK)]
Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
Slots = Annotated[int, pydantic.Field(ge=1, le=_MAX_SLOTS)]
Tokens = Annotated[int, pydantic.Field(ge=1, le=_MAX_TOKENS)]
Whole = Annotated[int, pydantic.Field(ge=0, le=_MAX_WHOLE)]
UnixMs = Annotated[int, pydantic.Field(ge=0, le=_MAX_UNIX_MS)]
UnixTime = Annotated[
    float, pydantic.Field(ge=0.0, le=_MAX_UNIX_MS, allow_inf_nan=False)
]
Duration = Annotated[
    float, pydantic.Field(ge=0.0, le=_MAX_DURATION, allow_inf_nan=False)
]
# A time until something that may be over.
Difference = Annotated[
    float,
    pydantic.Field(ge=-_MAX_DURATION, le=_MAX_DURATION, allow_inf_nan=False),
]
Weight = Annotated[
    float, pydantic.Field(ge=0.0, le=_MAX_WEIGHT, allow_inf_nan=False)
]
# Fails at its first wrong item: a megabyte of them would make an error of many
# times that size.
List = Annotated[list[T], pydantic.Field(max_length=_MAX_ITEMS, fail_fast=True)]


def check_size(value: bytes, max_bytes: int) -> None:
    """Checks the size of a record before it is parsed.

    Raises:
        ValueError: It is too large.
    """
    if len(value) > max_bytes:
        raise ValueError(f"record of {len(value)} bytes")


def check_name(key: str) -> None:
    """Checks that a key can be sent in a header.

    Raises:
        ValueError: It can't.
    """
    if not 0 < len(key) <= _MAX_NAME_CHARS or not key.isprintable():
        raise ValueError("the key is not a name")


def is_token(value: object) -> TypeGuard[str]:
    """Returns whether a value can be sent in a header and in a path."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= _MAX_NAME_CHARS
        and value.isascii()
        and value.isprintable()
        and " " not in value
    )
