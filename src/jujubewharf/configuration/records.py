"""Configuration records as they stand on the log.

A record is a msgpack map. An older instance that meets a record it does not
understand keeps its bytes whole; nothing is ever re-encoded from a partial
reading.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgpack

STREAM = "configuration"
SCHEMA_VERSION = 1


class Verb(enum.Enum):
    """What a change does."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One operator's change of one resource.

    Attributes:
        operation_id: Names the change for all time; it resolves an append
            whose answer was lost.
        actor: Operator who asked for it.
        verb: Put or delete.
        kind: Resource kind, by its value.
        name: Resource name.
        expected_generation: Generation the operator saw; 0 expects that the
            resource does not exist, ``None`` takes any.
        body: The resource as JSON data; empty for a delete.
        wall_ms: When the change was asked for, for history only.
        schema_version: Version of the record's rules.
    """

    operation_id: str
    actor: str
    verb: Verb
    kind: str
    name: str
    expected_generation: int | None
    body: dict[str, Any]
    wall_ms: float = 0.0
    schema_version: int = SCHEMA_VERSION


class UnknownRecordError(Exception):
    """The record is from a newer version or is not a change."""


def encode(change: Change) -> bytes:
    """A change as bytes for the log."""
    data = dataclasses.asdict(change) | {"verb": change.verb.value}
    return msgpack.packb(data)


def decode(payload: bytes) -> Change:
    """A change from the log's bytes; unknown fields are left aside.

    Raises:
        UnknownRecordError: The bytes are no change that this version knows.
    """
    try:
        data = msgpack.unpackb(payload)
        known = {f.name: data[f.name] for f in dataclasses.fields(Change)}
        known["verb"] = Verb(known["verb"])
    except (ValueError, KeyError, TypeError) as error:
        raise UnknownRecordError(str(error)) from error
    if known["schema_version"] > SCHEMA_VERSION:
        raise UnknownRecordError(f"schema version {known['schema_version']}")
    return Change(**known)
