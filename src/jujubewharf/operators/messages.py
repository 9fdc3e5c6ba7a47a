"""Converts data classes to protobuf messages and back.

Fields are matched by name. A test checks that each data class has the same
fields as its message in the schema.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import re
import types
import typing
from typing import Any
from typing import TypeVar

from google.protobuf import descriptor as descriptors
from google.protobuf import message as protobuf
from google.protobuf import unknown_fields
import result

from jujubewharf.configuration import resources
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import values

_Value = TypeVar("_Value")
_Message = TypeVar("_Message", bound=protobuf.Message)

_Enum = TypeVar("_Enum", bound=enum.Enum)

_MISSING = object()


class MessageError(Exception):
    """A message cannot be converted to the data class.

    Args:
        violations: Invalid fields with their paths.
    """

    def __init__(self, violations: list[values.Violation]) -> None:
        super().__init__("; ".join(str(violation) for violation in violations))
        self.violations = tuple(violations)


def to_message(value: Any, message_class: type[_Message]) -> _Message:
    """Converts a data class to a message; ``None`` fields stay unset."""
    message = message_class()
    _fill(message, value)
    return message


def from_message(message: protobuf.Message, cls: type[_Value]) -> _Value:
    """Converts a message to a data class; unset fields get their default.

    Raises:
        MessageError: A required field is missing or a field is unknown.
    """
    violations: list[values.Violation] = []
    value = _read(message, cls, "", violations)
    if violations:
        raise MessageError(violations)
    return value


def resource_to_message(resource: resources.Resource) -> pb.Resource:
    """Wraps a resource in the ``Resource`` message."""
    message = pb.Resource()
    _fill_resource(message, resource)
    return message


def resource_from_message(
    message: pb.Resource,
) -> result.Result[resources.Resource, tuple[values.Violation, ...]]:
    """Unwraps the resource of a ``Resource`` message.

    Returns:
        The resource, or all its violations.
    """
    violations: list[values.Violation] = []
    resource = _read_resource(message, "", violations)
    if violations:
        return result.Err(tuple(violations))
    return result.Ok(typing.cast("resources.Resource", resource))


def enum_of(
    enum_type: descriptors.EnumDescriptor, number: int, cls: type[_Enum]
) -> _Enum | None:
    """Returns the member with a number; ``None`` if unspecified or unknown."""
    found = enum_type.values_by_number.get(number)
    if found is None:
        return None
    name = found.name.removeprefix(_prefix(enum_type))
    return cls.__members__.get(name)


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldMapping:
    """Conversion of one field between a data class and a message.

    Attributes:
        name: Name of the field in the data class and the message.
        is_repeated: Whether the field is repeated.
        has_presence: Whether the message tracks if the field is set.
        is_message: Whether the type of the field is a message.
        numbers: Number by member, if the type is an enumeration.
        members: Member by number, if the type is an enumeration.
        cls: Python type of the field, or of its elements if repeated.
        is_required: Whether the field has no default in the data class.
    """

    name: str
    is_repeated: bool
    has_presence: bool
    is_message: bool
    numbers: dict[enum.Enum, int] | None
    members: dict[int, enum.Enum] | None
    cls: Any
    is_required: bool


@functools.cache
def _field_mappings(cls: Any, message_class: Any) -> tuple[_FieldMapping, ...]:
    """Returns the cached conversions of the fields of a data class."""
    described = message_class.DESCRIPTOR.fields_by_name
    hints = typing.get_type_hints(cls)
    return tuple(
        _field_mapping(field, described[field.name], hints[field.name])
        for field in dataclasses.fields(cls)
    )


def _field_mappings_of(cls: Any, message: Any) -> tuple[_FieldMapping, ...]:
    message_class: Any = type(message)
    return _field_mappings(cls, message_class)


def _field_mapping(
    field: dataclasses.Field[Any], described: Any, hint: Any
) -> _FieldMapping:
    element = typing.get_args(hint)[0] if described.is_repeated else hint
    cls = _without_none(element)
    members: dict[int, enum.Enum] | None = None
    numbers: dict[enum.Enum, int] | None = None
    if described.enum_type is not None:
        known = described.enum_type.values_by_number
        found = {n: enum_of(described.enum_type, n, cls) for n in known}
        members = {n: one for n, one in found.items() if one is not None}
        numbers = {one: n for n, one in members.items()}
    return _FieldMapping(
        name=field.name,
        is_repeated=described.is_repeated,
        has_presence=described.has_presence,
        is_message=described.message_type is not None,
        numbers=numbers,
        members=members,
        cls=cls,
        is_required=_is_required(field),
    )


def _fill(message: protobuf.Message, value: Any) -> None:
    for mapping in _field_mappings_of(type(value), message):
        part = getattr(value, mapping.name)
        if part is None:
            continue
        if mapping.is_repeated:
            _fill_repeated(getattr(message, mapping.name), mapping, part)
        elif mapping.is_message:
            _fill_message(getattr(message, mapping.name), part)
        else:
            setattr(message, mapping.name, _scalar(mapping, part))


def _fill_repeated(
    repeated: Any, mapping: _FieldMapping, parts: tuple[Any, ...]
) -> None:
    if not mapping.is_message:
        repeated.extend(_scalar(mapping, part) for part in parts)
        return
    for part in parts:
        _fill_message(repeated.add(), part)


def _fill_message(message: protobuf.Message, part: Any) -> None:
    # Marks the message as set even if all its fields are unset.
    message.SetInParent()
    if isinstance(message, pb.Resource):
        _fill_resource(message, part)
    else:
        _fill(message, part)


def _fill_resource(message: pb.Resource, resource: resources.Resource) -> None:
    oneof_field = resources.KIND_OF[type(resource)].value
    _fill_message(getattr(message, oneof_field), resource)


def _scalar(mapping: _FieldMapping, part: Any) -> Any:
    return part if mapping.numbers is None else mapping.numbers[part]


def _prefix(enum_type: descriptors.EnumDescriptor) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", enum_type.name).upper() + "_"


def _read(
    message: protobuf.Message,
    cls: Any,
    path: str,
    violations: list[values.Violation],
) -> Any:
    before = len(violations)
    unknown_set: Any = unknown_fields.UnknownFieldSet(message)
    for unknown in unknown_set:
        # Ignoring the field would accept a change that is never applied.
        detail = f"field number {unknown.field_number} is unknown here"
        violations.append(values.Violation(path, detail))
    found: dict[str, Any] = {}
    for mapping in _field_mappings_of(cls, message):
        field_path = f"{path}.{mapping.name}" if path else mapping.name
        part = _read_field(message, mapping, field_path, violations)
        if part is not _MISSING:
            found[mapping.name] = part
        elif mapping.is_required and field_path not in [
            v.path for v in violations
        ]:
            violations.append(values.Violation(field_path, "is required"))
    return cls(**found) if len(violations) == before else None


def _read_field(
    message: protobuf.Message,
    mapping: _FieldMapping,
    field_path: str,
    violations: list[values.Violation],
) -> Any:
    held = getattr(message, mapping.name)
    if mapping.is_repeated:
        if not mapping.is_message and mapping.members is None:
            return tuple(held)
        return tuple(
            _read_one(mapping, part, f"{field_path}.{index}", violations)
            for index, part in enumerate(held)
        )
    if mapping.has_presence and not message.HasField(mapping.name):
        return _MISSING
    return _read_one(mapping, held, field_path, violations)


def _read_one(
    mapping: _FieldMapping,
    part: Any,
    field_path: str,
    violations: list[values.Violation],
) -> Any:
    if mapping.members is not None:
        return _read_enum(mapping.members, part, field_path, violations)
    if not mapping.is_message:
        return part
    if isinstance(part, pb.Resource):
        return _read_resource(part, field_path, violations)
    return _read(part, mapping.cls, field_path, violations)


def _read_resource(
    message: pb.Resource, field_path: str, violations: list[values.Violation]
) -> resources.Resource | None:
    oneof_field = message.WhichOneof("resource")
    if oneof_field is None:
        violations.append(values.Violation(field_path, "names no known kind"))
        return None
    path = f"{field_path}.{oneof_field}" if field_path else ""
    cls = _CLASS_BY_KIND[resources.Kind(oneof_field)]
    return _read(getattr(message, oneof_field), cls, path, violations)


def _read_enum(
    members: dict[int, enum.Enum],
    number: int,
    field_path: str,
    violations: list[values.Violation],
) -> Any:
    if number == 0:
        return _MISSING
    if number not in members:
        message = f"value {number} is unknown here"
        violations.append(values.Violation(field_path, message))
        return _MISSING
    return members[number]


def _is_required(field: dataclasses.Field[Any]) -> bool:
    has_default = field.default is not dataclasses.MISSING
    return not has_default and field.default_factory is dataclasses.MISSING


def _without_none(hint: Any) -> Any:
    if isinstance(hint, types.UnionType):
        return next(arg for arg in hint.__args__ if arg is not types.NoneType)
    return hint


_CLASS_BY_KIND = {kind: cls for cls, kind in resources.KIND_OF.items()}
