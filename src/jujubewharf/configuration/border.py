"""Checks resources that come from outside and turns them into data classes.

The checked shapes are derived from the data classes of ``resources`` by
pydantic, so that a field is declared once.
"""

from __future__ import annotations

import json

import pydantic
import result

from jujubewharf.configuration import resources

_CONFIG = pydantic.ConfigDict(extra="forbid")

_TYPES: dict[resources.Kind, type] = {
    kind: cls for cls, kind in resources.KIND_OF.items()
}


def _adapter(cls: type) -> pydantic.TypeAdapter[resources.Resource]:
    cls.__pydantic_config__ = _CONFIG  # type: ignore[attr-defined]
    return pydantic.TypeAdapter(cls)


resources.Capabilities.__pydantic_config__ = _CONFIG  # type: ignore[attr-defined]
_ADAPTERS = {kind: _adapter(cls) for kind, cls in _TYPES.items()}


def parse(
    kind: resources.Kind, data: object
) -> result.Result[resources.Resource, list[str]]:
    """Checks one resource given as JSON data.

    Returns:
        The resource, or one line an error, each opening with a field path.
    """
    text = json.dumps(data)
    try:
        return result.Ok(_ADAPTERS[kind].validate_json(text))
    except pydantic.ValidationError as error:
        return result.Err(
            [
                f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
                for item in error.errors()
            ]
        )


def dump(resource: resources.Resource) -> dict[str, object]:
    """A resource as JSON data; ``parse`` takes it back."""
    kind = resources.KIND_OF[type(resource)]
    return _ADAPTERS[kind].dump_python(resource, mode="json")
