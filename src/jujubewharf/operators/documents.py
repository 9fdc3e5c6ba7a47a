"""Configuration file read by ``ctl apply`` and written by ``ctl export``.

The file is a JSON object with one list per kind: ``models``, ``services``,
``endpoints``, ``accounts`` and ``operators``. Each list is optional.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import json

import result

from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.operators import differences

_KIND_BY_LIST = {
    "models": resources.Kind.MODEL,
    "services": resources.Kind.SERVICE,
    "endpoints": resources.Kind.ENDPOINT,
    "accounts": resources.Kind.ACCOUNT,
    "operators": resources.Kind.OPERATOR,
}


def parse(text: str) -> result.Result[list[resources.Resource], list[str]]:
    """Parses and checks a configuration file.

    Returns:
        The resources in the order of the file, or one line per error, each
        starting with the path of the invalid field.
    """
    try:
        data = json.loads(text)
    except ValueError as error:
        return result.Err([f"(top): not JSON: {error}"])
    if not isinstance(data, dict):
        return result.Err(["(top): must be an object with one list per kind"])
    found: list[resources.Resource] = []
    violations: list[str] = []
    for name, items in data.items():
        kind = _KIND_BY_LIST.get(name)
        if kind is None:
            violations.append(
                f"{name}: no such list; it may be {_list_names()}"
            )
        elif not isinstance(items, list):
            violations.append(f"{name}: must be a list")
        else:
            for index, item in enumerate(items):
                _parse_one(kind, item, f"{name}.{index}", found, violations)
    violations.extend(_duplicates(found))
    return result.Err(violations) if violations else result.Ok(found)


def dump(held: Sequence[resources.Resource]) -> str:
    """Returns resources as the text of a configuration file.

    Resources are sorted by name; fields at their default are omitted.
    """
    by_name = sorted(held, key=lambda resource: resource.name)
    data = {
        name: [
            differences.without_defaults(resource)
            for resource in by_name
            if resources.KIND_OF[type(resource)] is kind
        ]
        for name, kind in _KIND_BY_LIST.items()
    }
    return json.dumps(data, indent=2, ensure_ascii=False) + "\n"


def _parse_one(
    kind: resources.Kind,
    item: object,
    path: str,
    found: list[resources.Resource],
    violations: list[str],
) -> None:
    parsed = resource_codec.parse(kind, item)
    if parsed.is_ok():
        found.append(parsed.unwrap())
        return
    violations.extend(f"{path}.{line}" for line in parsed.unwrap_err())


def _duplicates(found: Sequence[resources.Resource]) -> Iterator[str]:
    seen = set()
    for resource in found:
        key = differences.key_of(resource)
        if key in seen:
            yield f"{key[0].value} {key[1]}: is listed twice"
        seen.add(key)


def _list_names() -> str:
    return ", ".join(_KIND_BY_LIST)
