"""Errors of a settings file, with the values that a field accepts."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import pydantic

_UNKNOWN_FIELD = "extra_forbidden"
# Longer values are not repeated in an error.
_MAX_VALUE_LENGTH = 40

_Schema = dict[str, Any]


def lines(
    model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> list[str]:
    """Returns one line per error, which starts with the path of the field."""
    schema = model.model_json_schema()
    return [_line(schema, item) for item in error.errors()]


def _line(schema: _Schema, item: Any) -> str:
    location: Sequence[str | int] = item["loc"]
    path = ".".join(str(part) for part in location) or "(top)"
    if item["type"] == _UNKNOWN_FIELD:
        parent = _find(schema, location[:-1])
        known = ", ".join(sorted((parent or {}).get("properties", ())))
        return f"{path}: unknown field; accepted: {known}"
    text = f"{path}: {item['msg']}"
    value = item.get("input")
    is_shown = isinstance(value, str | int | float)
    if is_shown and len(repr(value)) <= _MAX_VALUE_LENGTH:
        text += f", not {value!r}"
    node = _find(schema, location)
    accepted = "" if node is None else ", ".join(_accepted(node))
    return f"{text}; accepted: {accepted}" if accepted else text


def _find(schema: _Schema, location: Sequence[str | int]) -> _Schema | None:
    """Returns the schema of a field; ``None`` if there is none."""
    node = _resolved(schema, schema)
    for part in location:
        properties = node.get("properties", {})
        further = node.get("additionalProperties")
        if part in properties:
            node = properties[part]
        elif isinstance(further, dict):
            node = further
        else:
            return None
        node = _resolved(schema, node)
    return node


def _resolved(schema: _Schema, node: _Schema) -> _Schema:
    """Returns a schema without references and without ``null``."""
    for choice in node.get("anyOf", ()):
        if choice.get("type") != "null":
            return _resolved(schema, choice)
    reference = node.get("$ref")
    if reference is None:
        return node
    definition: _Schema = schema["$defs"][reference.rpartition("/")[2]]
    return definition


def _accepted(node: _Schema) -> Iterator[str]:
    """Yields what a field accepts, in words."""
    if "enum" in node:
        yield " or ".join(str(value) for value in node["enum"])
        return
    kinds = {
        "boolean": "true or false",
        "integer": "a whole number",
        "number": "a number",
        "object": "an object",
        "string": "a string",
    }
    if node.get("type") in kinds:
        yield kinds[node["type"]]
    for keyword, words in (
        ("exclusiveMinimum", "above {}"),
        ("minimum", "at least {}"),
        ("maximum", "at most {}"),
        ("minLength", "at least {} characters"),
        ("maxLength", "at most {} characters"),
        ("maxProperties", "at most {} fields"),
    ):
        if keyword in node:
            yield words.format(f"{node[keyword]:g}")
