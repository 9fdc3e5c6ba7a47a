"""Turns data classes into protobuf messages and back, field by field.

Fields are matched by name, so a field is written down once in the data class
and once in the schema; a test holds the two against each other.
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
    """A message is not a value of the wanted class.

    Args:
        violations: Each fault with the path of its field.
    """

    def __init__(self, violations: list[values.Violation]) -> None:
        super().__init__("; ".join(str(violation) for violation in violations))
        self.violations = tuple(violations)


def to_message(value: Any, message_class: type[_Message]) -> _Message:
    """A data class as a message; fields that are ``None`` stay absent."""
    message = message_class()
    _fill(message, value)
    return message


def from_message(message: protobuf.Message, cls: type[_Value]) -> _Value:
    """A message as a data class; absent fields take the class's defaults.

    Raises:
        MessageError: A field is required and absent, or unknown here.
    """
    violations: list[values.Violation] = []
    value = _read(message, cls, "", violations)
    if violations:
        raise MessageError(violations)
    return value


def resource_to_message(resource: resources.Resource) -> pb.Resource:
    """A resource inside its oneof."""
    message = pb.Resource()
    _fill_resource(message, resource)
    return message


def resource_from_message(
    message: pb.Resource,
) -> result.Result[resources.Resource, tuple[values.Violation, ...]]:
    """The resource inside a oneof.

    Returns:
        The resource, or all its faults.
    """
    violations: list[values.Violation] = []
    resource = _read_resource(message, "", violations)
    if violations:
        return result.Err(tuple(violations))
    return result.Ok(typing.cast("resources.Resource", resource))


def enum_of(
    enum_type: descriptors.EnumDescriptor, number: int, cls: type[_Enum]
) -> _Enum | None:
    """The member with a number; ``None`` for the unspecified and unknown."""
    found = enum_type.values_by_number.get(number)
    if found is None:
        return None
    name = found.name.removeprefix(_prefix(enum_type))
    return cls.__members__.get(name)


def _fill(message: protobuf.Message, value: Any) -> None:
    for field in message.DESCRIPTOR.fields:
        part = getattr(value, field.name)
        if part is None:
            continue
        if field.is_repeated:
            _fill_repeated(message, field, part)
        elif field.message_type is not None:
            _fill_message(getattr(message, field.name), part)
        else:
            setattr(message, field.name, _scalar(field, part))


def _fill_repeated(
    message: protobuf.Message,
    field: Any,
    parts: tuple[Any, ...],
) -> None:
    repeated = getattr(message, field.name)
    for part in parts:
        if field.message_type is not None:
            _fill_message(repeated.add(), part)
        else:
            repeated.append(_scalar(field, part))


def _fill_message(message: protobuf.Message, part: Any) -> None:
    # An empty message leaves no mark of its own that it was set.
    message.SetInParent()
    if isinstance(message, pb.Resource):
        _fill_resource(message, part)
    else:
        _fill(message, part)


def _fill_resource(message: pb.Resource, resource: resources.Resource) -> None:
    arm = resources.KIND_OF[type(resource)].value
    _fill_message(getattr(message, arm), resource)


def _scalar(field: Any, part: Any) -> Any:
    if not isinstance(part, enum.Enum):
        return part
    name = _prefix(field.enum_type) + part.name
    return field.enum_type.values_by_name[name].number


def _prefix(enum_type: descriptors.EnumDescriptor) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", enum_type.name).upper() + "_"


def _read(
    message: protobuf.Message,
    cls: Any,
    path: str,
    violations: list[values.Violation],
) -> Any:
    unknown_set: Any = unknown_fields.UnknownFieldSet(message)
    for unknown in unknown_set:
        # Dropping it would accept a change that is never in force.
        detail = f"field number {unknown.field_number} is unknown here"
        violations.append(values.Violation(path, detail))
    hints = _hints(cls)
    found: dict[str, Any] = {}
    for field in dataclasses.fields(cls):
        at = f"{path}.{field.name}" if path else field.name
        descriptor = message.DESCRIPTOR.fields_by_name[field.name]
        part = _read_field(
            message, descriptor, hints[field.name], at, violations
        )
        if part is not _MISSING:
            found[field.name] = part
        elif _is_required(field) and at not in [v.path for v in violations]:
            violations.append(values.Violation(at, "is required"))
    return cls(**found) if not violations else None


def _read_field(
    message: protobuf.Message,
    field: Any,
    hint: Any,
    at: str,
    violations: list[values.Violation],
) -> Any:
    held = getattr(message, field.name)
    if field.is_repeated:
        element = typing.get_args(hint)[0]
        return tuple(
            _read_one(field, part, element, f"{at}.{i}", violations)
            for i, part in enumerate(held)
        )
    if field.has_presence and not message.HasField(field.name):
        return _MISSING
    return _read_one(field, held, hint, at, violations)


def _read_one(
    field: Any,
    part: Any,
    hint: Any,
    at: str,
    violations: list[values.Violation],
) -> Any:
    if isinstance(part, pb.Resource):
        return _read_resource(part, at, violations)
    wanted = _without_none(hint)
    if field.message_type is not None:
        return _read(part, wanted, at, violations)
    if field.enum_type is not None:
        return _read_enum(field, part, wanted, at, violations)
    return part


def _read_resource(
    message: pb.Resource, at: str, violations: list[values.Violation]
) -> resources.Resource | None:
    arm = message.WhichOneof("resource")
    if arm is None:
        violations.append(values.Violation(at, "names no known kind"))
        return None
    path = f"{at}.{arm}" if at else ""
    cls = _CLASS_OF[resources.Kind(arm)]
    return _read(getattr(message, arm), cls, path, violations)


def _read_enum(
    field: Any,
    number: int,
    cls: type[_Enum],
    at: str,
    violations: list[values.Violation],
) -> Any:
    if number == 0:
        return _MISSING
    found = enum_of(field.enum_type, number, cls)
    if found is None:
        message = f"value {number} is unknown here"
        violations.append(values.Violation(at, message))
        return _MISSING
    return found


def _is_required(field: dataclasses.Field[Any]) -> bool:
    has_default = field.default is not dataclasses.MISSING
    return not has_default and field.default_factory is dataclasses.MISSING


def _without_none(hint: Any) -> Any:
    if isinstance(hint, types.UnionType):
        return next(arg for arg in hint.__args__ if arg is not types.NoneType)
    return hint


@functools.cache
def _hints(cls: Any) -> dict[str, Any]:
    return typing.get_type_hints(cls)


_CLASS_OF = {kind: cls for cls, kind in resources.KIND_OF.items()}
