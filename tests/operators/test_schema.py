"""Snapshot of the schema, in which an incompatible change removes a line."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf import descriptor as descriptors

from jujubewharf.operators import jujubewharf_pb2 as pb


def test_the_schema_is_the_committed_one(snapshot):
    assert "\n".join(_lines()) == snapshot


def _lines() -> Iterator[str]:
    for service in pb.DESCRIPTOR.services_by_name.values():
        for method in service.methods:
            stream = "stream " if method.server_streaming else ""
            yield (
                f"{service.full_name}.{method.name}({method.input_type.name})"
                f" -> {stream}{method.output_type.name}"
            )
    for name, enum_type in sorted(pb.DESCRIPTOR.enum_types_by_name.items()):
        for value in enum_type.values:
            yield f"{name} {value.number} {value.name}"
    for name, message in sorted(pb.DESCRIPTOR.message_types_by_name.items()):
        for field in message.fields:
            yield f"{name} {field.number} {_type(field)} {field.name}"


def _type(field: descriptors.FieldDescriptor) -> str:
    words = ["repeated"] if field.is_repeated else []
    if field.has_presence and field.message_type is None:
        words.append("optional")
    typed = field.message_type or field.enum_type
    words.append(typed.name if typed else f"type{field.type}")
    return " ".join(words)
