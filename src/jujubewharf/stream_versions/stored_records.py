"""What the platform's store keeps of streams, for when no instance remembers.

There are two kinds of records, and none is ever changed. One tells where some
streams began. The other names the versions at which the streams of all services
may have begun that may still be taken up.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import Annotated

import msgpack
import pydantic

from jujubewharf.platform import record_fields as fields
from jujubewharf.stream_versions import origins

# Version of a service, with the service's name first.
ServiceVersion = tuple[str, str]

_MAX_RECORD_BYTES = 1_048_576
_MAX_KEY_BYTES = 64
_Key = Annotated[bytes, pydantic.Field(max_length=_MAX_KEY_BYTES)]


class _Began(pydantic.BaseModel):
    """Streams that began at one version."""

    service: fields.Name
    version: fields.Text | None
    keys: fields.List[_Key]


class _Record(pydantic.BaseModel):
    """Either kind of record; fields of the other one are empty."""

    model_config = pydantic.ConfigDict(hide_input_in_errors=True)

    began: fields.List[_Began] = pydantic.Field(default_factory=list)
    keep_ms: fields.Duration = 0.0
    versions: fields.List[tuple[fields.Name, fields.Text]] | None = None
    is_complete: bool = False
    epoch: fields.Whole = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredStreams:
    """Where some streams began.

    Attributes:
        origins: Where they began, by ``origins.stream_key``.
        keep_ms: Time from the writing for which they may be taken up, in ms.
    """

    origins: dict[bytes, origins.StreamOrigin]
    keep_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredVersions:
    """Versions at which streams may have begun.

    Attributes:
        versions: The versions.
        is_complete: Whether the writer knows that there are no others. Together
            with records that were written since, they are all.
        epoch: Epoch of the store in which it was written. A store that was
            restored since may lack newer records.
    """

    versions: frozenset[ServiceVersion]
    is_complete: bool
    epoch: int


def encode_streams(
    records: Iterable[origins.OriginRecord], *, now_ms: float
) -> bytes:
    """Encodes where streams began; there must be one at least."""
    keys: dict[tuple[str, str | None], list[bytes]] = {}
    keep_ms = 0.0
    for record in records:
        keys.setdefault((record.service, record.version), []).append(record.key)
        keep_ms = max(keep_ms, record.keep_until_ms - now_ms)
    began = [
        {"service": service, "version": version, "keys": of_version}
        for (service, version), of_version in keys.items()
    ]
    data: bytes = msgpack.packb({"began": began, "keep_ms": keep_ms})
    return data


def encode_versions(stored: StoredVersions) -> bytes:
    """Encodes the versions at which streams may have begun."""
    data: bytes = msgpack.packb(
        {
            "versions": sorted(stored.versions),
            "is_complete": stored.is_complete,
            "epoch": stored.epoch,
        }
    )
    return data


def decode(value: bytes) -> StoredStreams | StoredVersions:
    """Decodes a record.

    Raises:
        ValueError: It is invalid.
    """
    fields.check_size(value, _MAX_RECORD_BYTES)
    try:
        unpacked = msgpack.unpackb(value)
    except (msgpack.UnpackException, RecursionError, TypeError) as error:
        raise ValueError("not msgpack") from error
    record = _Record.model_validate(unpacked)
    if record.versions is not None:
        return StoredVersions(
            frozenset(record.versions), record.is_complete, record.epoch
        )
    return StoredStreams(
        {
            key: origins.StreamOrigin(
                began.service, began.version, origins.KnownBy.STORE
            )
            for began in record.began
            for key in began.keys
        },
        record.keep_ms,
    )
