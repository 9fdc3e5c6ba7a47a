"""Wire format of peer messages: length-prefixed msgpack arrays.

A frame is a four-byte big-endian length followed by the msgpack array
``[kind, correlation, number, fields]``. Fields are encoded in the order in
which the dataclass declares them, so a newer version may only append fields
with defaults: older receivers ignore additional fields, and fields missing
from an older sender take their defaults. Nested dataclasses are encoded as
maps by field name. ``pydantic`` validates every value against its declared
type and the bounds of ``peers.bounds``, so handlers never receive a field of
the wrong type, or a number with which they can't compute.
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
import pydantic_core

from jujubewharf.peers import bounds
from jujubewharf.peers import counters
from jujubewharf.peers import messages
from jujubewharf.telemetry import containment

MAX_FRAME_BYTES = 4_000_000

_LENGTH = struct.Struct(">I")
_HEADER_ITEMS = 4
_MAX_CORRELATION = 2**32


class FrameKind(enum.IntEnum):
    """Kind of a frame."""

    TELL = 0
    ASK = 1
    ANSWER = 2
    REFUSAL = 3


class DroppedFrameError(Exception):
    """A frame could not be decoded; the stream remains usable.

    Args:
        reason: Reason for the drop counter.
        correlation: Correlation number of the frame, 0 if unreadable.
        kind: Kind of the frame, ``None`` if unreadable.
    """

    def __init__(
        self,
        reason: counters.DropReason,
        *,
        correlation: int = 0,
        kind: FrameKind | None = None,
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.correlation = correlation
        self.kind = kind


class UnencodableError(Exception):
    """A message has a value that the wire format can't express.

    Only this message is lost: nothing of it was sent.
    """


class BrokenStreamError(Exception):
    """The stream ended or lost its framing and can't be read further.

    Args:
        reason: Reason for the drop counter; ``None`` if the stream ended
            between two frames or its connection failed.
    """

    def __init__(self, reason: counters.DropReason | None) -> None:
        super().__init__("ended" if reason is None else reason.value)
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame.

    Attributes:
        kind: Kind of the frame.
        correlation: Matches a reply to its request; 0 for a one-way
            message.
        message: The message; ``None`` for a refusal or an empty reply.
        unknown_fields: Number of fields unknown to this version.
    """

    kind: FrameKind
    correlation: int = 0
    message: messages.Message | None = None
    unknown_fields: int = 0


def encode(frame: Frame) -> bytes:
    """Encodes a frame, including its length prefix.

    Raises:
        UnencodableError: The message has a value that can't be encoded.
    """
    number = 0
    fields: list[Any] = []
    try:
        if frame.message is not None:
            message_type: Any = type(frame.message)
            number = messages.NUMBER_OF_TYPE[message_type]
            dumped = _adapter(message_type).dump_python(
                frame.message, warnings=False
            )
            fields = list(dumped.values())
        parts = [int(frame.kind), frame.correlation, number, fields]
        body = msgpack.packb(parts, default=_encode_default)
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise UnencodableError(type(frame.message).__name__) from error
    return _LENGTH.pack(len(body)) + body


def encode_or_drop(frame: Frame, counts: counters.PeerCounters) -> bytes | None:
    """Encodes a frame; counts one that can't be and returns ``None``."""
    try:
        return encode(frame)
    except UnencodableError as error:
        counts.count_drop(counters.DropReason.UNENCODABLE)
        name = type(frame.message).__name__
        containment.report_failure("peer_message", error, message=name)
        return None


def decode(body: bytes) -> Frame:
    """Decodes a frame from its body, without the length prefix.

    Raises:
        DroppedFrameError: The frame is invalid; the stream remains usable.
    """
    kind, correlation, number, fields = _decode_header(body)
    if number == 0:
        return Frame(kind, correlation)
    message_type: Any = messages.TYPE_OF_NUMBER.get(number)
    if message_type is None:
        raise DroppedFrameError(
            counters.DropReason.UNKNOWN_MESSAGE,
            correlation=correlation,
            kind=kind,
        )
    names = _field_names(message_type)
    named = dict(zip(names, fields, strict=False))
    try:
        message = _validator(message_type).validate_python(named)
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise DroppedFrameError(
            counters.DropReason.MALFORMED, correlation=correlation, kind=kind
        ) from error
    unknown = max(0, len(fields) - len(names))
    return Frame(kind, correlation, message, unknown)


async def read_body(
    reader: asyncio.StreamReader, *, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Reads the body of one frame.

    Checks the length prefix before reading the body, so that a malicious
    length does not allocate memory.

    Raises:
        BrokenStreamError: The stream ended, or the frame is too large.
    """
    size = await read_size(reader, max_bytes=max_bytes)
    return await read_sized(reader, size)


async def read_size(
    reader: asyncio.StreamReader, *, max_bytes: int = MAX_FRAME_BYTES
) -> int:
    """Reads the length prefix of a frame; returns the size of its body.

    Raises:
        BrokenStreamError: The stream ended, or the frame is too large.
    """
    (size,) = _LENGTH.unpack(await read_sized(reader, _LENGTH.size))
    if size > max_bytes:
        raise BrokenStreamError(counters.DropReason.OVERSIZED)
    return int(size)


async def read_sized(reader: asyncio.StreamReader, size: int) -> bytes:
    """Reads as many bytes.

    Raises:
        BrokenStreamError: The stream ended.
    """
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        is_orderly = not error.partial and error.expected == _LENGTH.size
        reason = None if is_orderly else counters.DropReason.TRUNCATED
        raise BrokenStreamError(reason) from error
    except OSError as error:
        raise BrokenStreamError(None) from error


def body_of(data: bytes) -> bytes:
    """Returns the body of one encoded frame, without the length prefix."""
    return data[_LENGTH.size :]


def body_bytes(data: bytes) -> int:
    """Returns the size of the body of one encoded frame."""
    return len(data) - _LENGTH.size


def frame_bytes(body: bytes) -> int:
    """Returns the size of a frame on the stream, in bytes."""
    return _LENGTH.size + len(body)


def _decode_header(body: bytes) -> tuple[FrameKind, int, int, list[Any]]:
    try:
        parts = msgpack.unpackb(body, strict_map_key=False)
    except (
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise DroppedFrameError(counters.DropReason.MALFORMED) from error
    if not isinstance(parts, list) or len(parts) < _HEADER_ITEMS:
        raise DroppedFrameError(counters.DropReason.MALFORMED)
    kind, correlation, number, fields = parts[:_HEADER_ITEMS]
    has_valid_types = (
        type(kind) is int
        and type(correlation) is int
        and type(number) is int
        and isinstance(fields, list)
    )
    if not has_valid_types or not 0 <= correlation < _MAX_CORRELATION:
        raise DroppedFrameError(counters.DropReason.MALFORMED)
    try:
        return FrameKind(kind), correlation, number, fields
    except ValueError as error:
        raise DroppedFrameError(
            counters.DropReason.UNKNOWN_KIND, correlation=correlation
        ) from error


@functools.cache
def _adapter(
    message_type: Any,
) -> pydantic.TypeAdapter[messages.Message]:
    return pydantic.TypeAdapter(message_type)


@functools.cache
def _validator(message_type: Any) -> pydantic_core.SchemaValidator:
    schema = bounds.bounded(_adapter(message_type).core_schema)
    return pydantic_core.SchemaValidator(schema)


@functools.cache
def _field_names(message_type: Any) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(message_type))


def _encode_default(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"{type(value).__name__} can't be encoded as msgpack")
