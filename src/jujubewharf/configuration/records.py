"""Encoding of configuration records in the log.

A record is a msgpack map with at least an integer ``schema_version``. Records
of a newer schema are kept as bytes and never re-encoded, so that no unknown
fields are lost.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgpack

from jujubewharf import hashing

STREAM = "configuration"
SCHEMA_VERSION = 1
MAX_RECORD_BYTES = 65_536


class Verb(enum.Enum):
    """Type of a change.

    ``RULES`` raises the version of the rules to ``body["version"]`` for all
    instances, from the offset of the record on.
    """

    PUT = "put"
    DELETE = "delete"
    RULES = "rules"


RULES_KIND = "rules"
RULES_NAME = "fold"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of one resource by an operator.

    Attributes:
        operation_id: Unique ID of the change, by which its verdict is found
            if the reply to the append was lost.
        actor: Operator who requested the change.
        verb: Type of the change.
        kind: Value of the resource kind.
        name: Resource name.
        expected_generation: Generation that must be in force; 0 if the
            resource must not exist, ``None`` for any.
        body: The resource as JSON data; empty for a delete.
        wall_ms: Wall clock time of the request in milliseconds; used in the
            history only.
        schema_version: Version of the rules required to evaluate the record.
        force: Whether to skip the safety checks.
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
    force: bool = False

    def digest(self) -> str:
        """Returns a digest of the change without its actor and time."""
        content = [
            self.verb.value,
            self.kind,
            self.name,
            self.expected_generation,
            _sort_keys(self.body),
            self.force,
        ]
        return hashing.digest(msgpack.packb(content))


class UnknownRecordError(Exception):
    """The record requires rules that are not in force yet."""


class MalformedRecordError(Exception):
    """The bytes are not a valid record in any version."""


def encode(change: Change) -> bytes:
    """Encodes a change for the log."""
    data = {
        field.name: getattr(change, field.name)
        for field in dataclasses.fields(Change)
    }
    return msgpack.packb(data | {"verb": change.verb.value})


def decode(payload: bytes, *, rules_version: int = SCHEMA_VERSION) -> Change:
    """Decodes a change from the log; unknown fields are ignored.

    Args:
        payload: Encoded record.
        rules_version: Version of the rules in force.

    Returns:
        The change.

    Raises:
        UnknownRecordError: The record requires newer rules.
        MalformedRecordError: The record is invalid in all versions.
    """
    data = _unpack_map(payload)
    version = data.get("schema_version")
    if not isinstance(version, int):
        raise MalformedRecordError("no schema version")
    if version > rules_version:
        raise UnknownRecordError(f"schema version {version}")
    try:
        known = {
            field.name: data[field.name]
            for field in dataclasses.fields(Change)
            if field.name in data
        }
        verb = data["verb"]
    except KeyError as error:
        raise MalformedRecordError(f"no field {error}") from error
    if verb not in Verb._value2member_map_:
        raise UnknownRecordError(f"verb {verb}")
    try:
        change = Change(**known | {"verb": Verb(verb)})
    except TypeError as error:
        raise MalformedRecordError(str(error)) from error
    _check_types(change)
    return change


def pack_body(body: dict[str, Any]) -> bytes:
    """Encodes a body canonically: equal bodies have equal bytes."""
    return msgpack.packb(_sort_keys(body))


def _unpack_map(payload: bytes) -> dict[str, Any]:
    try:
        data = msgpack.unpackb(payload)
    except Exception as error:
        # msgpack raises unrelated exception types for invalid input.
        raise MalformedRecordError(str(error)) from error
    if not isinstance(data, dict):
        raise MalformedRecordError("not a map")
    return data


def _check_types(change: Change) -> None:
    texts = (change.operation_id, change.actor, change.kind, change.name)
    if not all(isinstance(text, str) for text in texts):
        raise MalformedRecordError("a name is not text")
    if not change.operation_id:
        raise MalformedRecordError("no operation id")
    if not isinstance(change.body, dict):
        raise MalformedRecordError("the body is not a map")
    if not all(isinstance(key, str) for key in change.body):
        raise MalformedRecordError("a field name is not text")
    expected = change.expected_generation
    if expected is not None and not isinstance(expected, int):
        raise MalformedRecordError("the generation is not a number")


def _sort_keys(value: Any) -> Any:
    match value:
        case dict():
            return {
                key: _sort_keys(value[key]) for key in sorted(value, key=str)
            }
        case list() | tuple():
            return [_sort_keys(item) for item in value]
        case _:
            return value
