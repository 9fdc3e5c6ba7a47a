"""Data classes match the schema and survive a round trip."""

from __future__ import annotations

import dataclasses
import enum
import typing

from hypothesis import given
from hypothesis import strategies
import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import call_errors
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import values

_RESOURCES = {
    "Service": resources.Service,
    "Capabilities": resources.Capabilities,
    "Endpoint": resources.Endpoint,
    "Model": resources.Model,
    "Account": resources.Account,
    "Operator": resources.Operator,
}
_VALUES = {
    cls.__name__: cls
    for cls in vars(values).values()
    if dataclasses.is_dataclass(cls)
}
_ENUMS = {
    "Kind": resources.Kind,
    "ServiceKind": resources.ServiceKind,
    "Role": resources.Role,
    "OperatorRole": resources.OperatorRole,
    "Effect": values.Effect,
    "OperationState": values.OperationState,
}


@pytest.mark.parametrize("name", [*_RESOURCES, *_VALUES])
def test_a_message_has_the_fields_of_its_data_class(name: str):
    cls = (_RESOURCES | _VALUES)[name]
    described = pb.DESCRIPTOR.message_types_by_name[name].fields
    fields = [field.name for field in dataclasses.fields(cls)]
    assert sorted(field.name for field in described) == sorted(fields)


@pytest.mark.parametrize("name", list(_ENUMS))
def test_an_enumeration_has_the_members_of_its_class(name: str):
    numbers = pb.DESCRIPTOR.enum_types_by_name[name].values_by_number
    cls: type[enum.Enum] = _ENUMS[name]
    found = [
        messages.enum_of(pb.DESCRIPTOR.enum_types_by_name[name], number, cls)
        for number in numbers
        if number > 0
    ]
    assert sorted(one.name for one in found) == sorted(cls.__members__)


@pytest.mark.parametrize("name", list(_RESOURCES))
def test_a_field_with_a_default_can_be_left_out(name: str):
    described = pb.DESCRIPTOR.message_types_by_name[name]
    for field in dataclasses.fields(_RESOURCES[name]):
        if field.default in (dataclasses.MISSING, ()):
            continue
        assert described.fields_by_name[field.name].has_presence, field.name


_PARTS = {
    int: strategies.integers(-(2**63), 2**63 - 1),
    float: strategies.floats(allow_nan=False),
    str: strategies.text(),
}
_ANY_RESOURCE = strategies.one_of(
    [
        strategies.builds(
            cls,
            **{
                name: _PARTS[hint]
                for name, hint in typing.get_type_hints(cls).items()
                if hint in _PARTS
            },
        )
        for cls in resources.KIND_OF
    ]
)


@given(_ANY_RESOURCE)
def test_a_resource_survives_the_wire(resource: resources.Resource):
    sent = messages.resource_to_message(resource).SerializeToString()
    read = messages.resource_from_message(pb.Resource.FromString(sent))
    assert read.unwrap() == resource


def test_unset_fields_take_their_default():
    message = pb.Resource(
        service=pb.Service(name="shop-api", kind=pb.SERVICE_KIND_PLAIN)
    )
    read = messages.resource_from_message(message)
    assert read.unwrap() == resources.Service(
        "shop-api", resources.ServiceKind.PLAIN
    )


def test_violations_have_their_path():
    message = pb.Resource(endpoint=pb.Endpoint(name="d1", role=9))
    [unknown] = messages.resource_from_message(message).unwrap_err()
    assert str(unknown) == "role: value 9 is unknown here"
    message = pb.Resource(endpoint=pb.Endpoint(name="d1"))
    [absent] = messages.resource_from_message(message).unwrap_err()
    assert str(absent) == "role: is required"
    [fault] = messages.resource_from_message(pb.Resource()).unwrap_err()
    assert fault.message == "names no known kind"


def test_an_unknown_field_is_rejected():
    """A change must not be accepted if one of its fields is ignored."""
    newer_field = b"\xfa\x01\x01x"  # Field 31, one byte of text.
    service = pb.Service(name="a", kind=pb.SERVICE_KIND_PLAIN)
    service.MergeFromString(newer_field)
    read = messages.resource_from_message(pb.Resource(service=service))
    [fault] = read.unwrap_err()
    assert fault.message == "field number 31 is unknown here"


def test_an_unknown_error_kind_keeps_ran():
    detail = values.ErrorDetail(
        kind="not_known_yet",
        ran=errors.Ran.UNKNOWN,
        operation_id="op-1",
    )
    error = call_errors.from_detail(detail)
    assert error.ran is errors.Ran.UNKNOWN
    assert error.operation_id == "op-1"
    assert "not_known_yet" in error.detail
