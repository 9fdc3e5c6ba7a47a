"""Messages as bytes: a length, then a msgpack array.

A frame is a four-byte big-endian length and the msgpack array ``[kind,
correlation, number, fields]``. The fields stand in the order in which the
data class declares them, so a newer version may only add fields at the end,
each with a default: an older receiver leaves the rest of the array aside,
and an older sender's shorter array takes the defaults. Nested data classes
are maps by field name. ``pydantic`` checks every value against the declared
type, so a handler never meets a field of the wrong type.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import functools
import struct
from typing import Any

import msgpack
import pydantic

from jujubewharf.peers import counters
from jujubewharf.peers import messages

MAX_FRAME_BYTES = 4_000_000

_LENGTH = struct.Struct(">I")
_HEADER_ITEMS = 4
_MAX_CORRELATION = 2**32


class FrameKind(enum.IntEnum):
    """What a frame is."""

    TELL = 0
    ASK = 1
    ANSWER = 2
    REFUSAL = 3


class DroppedFrameError(Exception):
    """A frame can't be used.

    Args:
        reason: Why, for the counter.
        correlation: Of the frame, when that much was readable.
        kind: Of the frame, when that much was readable.
    """

    def __init__(
        self,
        reason: counters.Drop,
        *,
        correlation: int = 0,
        kind: FrameKind | None = None,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.correlation = correlation
        self.kind = kind


class BrokenStreamError(Exception):
    """The stream can't be read on: where the next frame starts is unknown.

    Args:
        reason: Why; ``None`` for an orderly end between two frames.
    """

    def __init__(self, reason: counters.Drop | None) -> None:
        super().__init__("ended" if reason is None else reason.value)
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame.

    Attributes:
        kind: What it is.
        correlation: Joins an answer to its ask; 0 for a tell.
        message: The message; ``None`` for a refusal or an empty answer.
        unknown_fields: Fields that this version doesn't know.
    """

    kind: FrameKind
    correlation: int = 0
    message: messages.Message | None = None
    unknown_fields: int = 0


def encode(frame: Frame) -> bytes:
    """A frame as bytes, length included."""
    number = 0
    fields: list[Any] = []
    if frame.message is not None:
        message_type: Any = type(frame.message)
        number = messages.NUMBER_OF_TYPE[message_type]
        dumped = _adapter(message_type).dump_python(
            frame.message, warnings=False
        )
        fields = list(dumped.values())
    parts = [int(frame.kind), frame.correlation, number, fields]
    body = msgpack.packb(parts, default=_plain)
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """A frame from bytes, length left out.

    Raises:
        DroppedFrameError: The frame is to be left aside; the stream goes on.
    """
    kind, correlation, number, fields = _header(body)
    if number == 0:
        return Frame(kind, correlation)
    message_type: Any = messages.TYPE_OF_NUMBER.get(number)
    if message_type is None:
        raise DroppedFrameError(
            counters.Drop.UNKNOWN_MESSAGE, correlation=correlation, kind=kind
        )
    names = _field_names(message_type)
    named = dict(zip(names, fields, strict=False))
    try:
        message = _adapter(message_type).validate_python(named)
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise DroppedFrameError(
            counters.Drop.MALFORMED, correlation=correlation, kind=kind
        ) from error
    unknown = max(0, len(fields) - len(names))
    return Frame(kind, correlation, message, unknown)


async def read_body(
    reader: asyncio.StreamReader, *, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Reads one frame's body.

    The length is checked before a byte of the body is awaited, so a hostile
    length reserves no memory.

    Raises:
        BrokenStreamError: The stream ended, or the frame is too large.
    """
    try:
        head = await reader.readexactly(_LENGTH.size)
        (size,) = _LENGTH.unpack(head)
        if size > max_bytes:
            raise BrokenStreamError(counters.Drop.OVERSIZED)
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        is_orderly = not error.partial and error.expected == _LENGTH.size
        reason = None if is_orderly else counters.Drop.TRUNCATED
        raise BrokenStreamError(reason) from error
    except OSError as error:
        raise BrokenStreamError(None) from error


def body_of(data: bytes) -> bytes:
    """The body of one encoded frame, without its length."""
    return data[_LENGTH.size :]


def frame_bytes(body: bytes) -> int:
    """Size of a frame on the stream."""
    return _LENGTH.size + len(body)


def _header(body: bytes) -> tuple[FrameKind, int, int, list[Any]]:
    try:
        parts = msgpack.unpackb(body, strict_map_key=False)
    except (
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise DroppedFrameError(counters.Drop.MALFORMED) from error
    if not isinstance(parts, list) or len(parts) < _HEADER_ITEMS:
        raise DroppedFrameError(counters.Drop.MALFORMED)
    kind, correlation, number, fields = parts[:_HEADER_ITEMS]
    are_typed = (
        type(kind) is int
        and type(correlation) is int
        and type(number) is int
        and isinstance(fields, list)
    )
    if not are_typed or not 0 <= correlation < _MAX_CORRELATION:
        raise DroppedFrameError(counters.Drop.MALFORMED)
    try:
        return FrameKind(kind), correlation, number, fields
    except ValueError as error:
        raise DroppedFrameError(
            counters.Drop.UNKNOWN_KIND, correlation=correlation
        ) from error


@functools.cache
def _adapter(
    message_type: Any,
) -> pydantic.TypeAdapter[messages.Message]:
    return pydantic.TypeAdapter(message_type)


@functools.cache
def _field_names(message_type: Any) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(message_type))


def _plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"{type(value).__name__} is no type that msgpack carries")
