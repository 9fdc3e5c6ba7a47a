"""Configuration records as they stand on the log.

A record is a msgpack map with at least an integer ``schema_version``. An
older instance that meets a record it does not understand keeps its bytes
whole; nothing is ever re-encoded from a partial reading.
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
    """What a change does.

    ``RULES`` raises the version of the fold's rules to ``body["version"]``,
    for every instance from that offset on.
    """

    PUT = "put"
    DELETE = "delete"
    RULES = "rules"


RULES_KIND = "rules"
RULES_NAME = "fold"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One operator's change of one resource.

    Attributes:
        operation_id: Names the change for all time; it resolves an append
            whose answer was lost.
        actor: Operator who asked for it.
        verb: What the change does.
        kind: Resource kind, by its value.
        name: Resource name.
        expected_generation: Generation the operator saw; 0 expects that the
            resource does not exist, ``None`` takes any.
        body: The resource as JSON data; empty for a delete.
        wall_ms: When the change was asked for, for history only.
        schema_version: Rules that must be in force to judge the record.
        force: Whether sanity bounds are set aside.
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
        """Digest of what is asked for, whoever asks and whenever."""
        asked = [
            self.verb.value,
            self.kind,
            self.name,
            self.expected_generation,
            _sorted(self.body),
            self.force,
        ]
        return hashing.digest(msgpack.packb(asked))


class UnknownRecordError(Exception):
    """The record is for rules that are not in force yet."""


class MalformedRecordError(Exception):
    """The bytes are no record of any version."""


def encode(change: Change) -> bytes:
    """A change as bytes for the log."""
    data = {
        field.name: getattr(change, field.name)
        for field in dataclasses.fields(Change)
    }
    return msgpack.packb(data | {"verb": change.verb.value})


def decode(payload: bytes, *, rules_version: int = SCHEMA_VERSION) -> Change:
    """A change from the log's bytes; unknown fields are left aside.

    Args:
        payload: The record.
        rules_version: Version of the rules in force.

    Raises:
        UnknownRecordError: The record waits for newer rules.
        MalformedRecordError: No version can have written this.
    """
    data = _map(payload)
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
    """A body in one canonical form, so that equal bodies have equal bytes."""
    return msgpack.packb(_sorted(body))


def _map(payload: bytes) -> dict[str, Any]:
    try:
        data = msgpack.unpackb(payload)
    except Exception as error:
        # msgpack raises several unrelated types on hostile bytes.
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


def _sorted(value: Any) -> Any:
    match value:
        case dict():
            return {key: _sorted(value[key]) for key in sorted(value, key=str)}
        case list() | tuple():
            return [_sorted(item) for item in value]
        case _:
            return value
