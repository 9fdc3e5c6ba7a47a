"""Conversion between resources and JSON data, with validation.

The pydantic validators are derived from the data classes of ``resources``, so
each field is declared only once. Unknown fields are an error in input from
operators (``parse``). In a stored body they belong to a newer version of the
schema and are preserved unread (``decode_body``).
"""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import pydantic
import result

from jujubewharf.configuration import resources

_PYDANTIC_CONFIG = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False)
_CAPABILITIES = "capabilities"

_TYPES: dict[resources.Kind, type] = {
    kind: cls for cls, kind in resources.KIND_OF.items()
}
_FIELDS: dict[resources.Kind, frozenset[str]] = {
    kind: frozenset(field.name for field in dataclasses.fields(cls))
    for kind, cls in _TYPES.items()
}
_CAPABILITY_FIELDS = frozenset(
    field.name for field in dataclasses.fields(resources.Capabilities)
)


def _make_adapter(cls: type) -> pydantic.TypeAdapter[resources.Resource]:
    cls.__pydantic_config__ = _PYDANTIC_CONFIG  # type: ignore[attr-defined]
    return pydantic.TypeAdapter(cls)


resources.Capabilities.__pydantic_config__ = _PYDANTIC_CONFIG  # type: ignore[attr-defined]
_ADAPTERS = {kind: _make_adapter(cls) for kind, cls in _TYPES.items()}


def parse(
    kind: resources.Kind, data: object
) -> result.Result[resources.Resource, list[str]]:
    """Validates a resource given as JSON data.

    Returns:
        The resource, or one line for each error, starting with a field path.
    """
    try:
        text = json.dumps(data)
    except (TypeError, ValueError) as error:
        return result.Err([f"not JSON data: {error}"])
    try:
        return result.Ok(_ADAPTERS[kind].validate_json(text))
    except pydantic.ValidationError as error:
        return result.Err(
            [
                f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
                for item in error.errors()
            ]
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedBody:
    """A decoded body from the log.

    Attributes:
        resource: Resource made of the fields that this version knows.
        extra: Unknown fields, written by newer versions.
    """

    resource: resources.Resource
    extra: dict[str, Any]


def decode_body(
    kind: resources.Kind, body: dict[str, Any]
) -> result.Result[DecodedBody, list[str]]:
    """Decodes a body from the log and keeps unknown fields separate."""
    known, extra = _split_fields(body, _FIELDS[kind])
    capabilities = known.get(_CAPABILITIES)
    if isinstance(capabilities, dict):
        known[_CAPABILITIES], extra_capabilities = _split_fields(
            capabilities, _CAPABILITY_FIELDS
        )
        if extra_capabilities:
            extra[_CAPABILITIES] = extra_capabilities
    return parse(kind, known).map(lambda resource: DecodedBody(resource, extra))


def dump(resource: resources.Resource) -> dict[str, Any]:
    """Converts a resource to JSON data that ``parse`` accepts."""
    kind = resources.KIND_OF[type(resource)]
    return _ADAPTERS[kind].dump_python(resource, mode="json")


def dump_with_extra(
    resource: resources.Resource, extra: dict[str, Any]
) -> dict[str, Any]:
    """Converts a resource and its unknown fields to a body for the log."""
    body = dump(resource)
    for name, value in extra.items():
        is_nested = name == _CAPABILITIES and name in body
        body[name] = body[name] | value if is_nested else value
    return body


def _split_fields(
    body: dict[str, Any], known: frozenset[str]
) -> tuple[dict[str, Any], dict[str, Any]]:
    known_fields = {key: value for key, value in body.items() if key in known}
    unknown_fields = {
        key: value for key, value in body.items() if key not in known
    }
    return known_fields, unknown_fields
