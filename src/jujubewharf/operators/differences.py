"""Differences between the current and the desired configuration."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json

from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.operators import pacing
from jujubewharf.operators import values

# Referenced kinds are created before and deleted after their referrers.
_KIND_ORDER = (
    resources.Kind.MODEL,
    resources.Kind.SERVICE,
    resources.Kind.ENDPOINT,
    resources.Kind.ACCOUNT,
    resources.Kind.OPERATOR,
)

_Path = tuple[str, ...]


def key_of(resource: resources.Resource) -> states.Key:
    """Returns the kind and name of a resource."""
    return resources.KIND_OF[type(resource)], resource.name


def without_defaults(resource: resources.Resource) -> dict[str, object]:
    """Returns a resource as JSON data without fields at their default."""
    data = resource_codec.dump(resource)
    for field in dataclasses.fields(resource):
        if field.default is dataclasses.MISSING:
            continue
        if getattr(resource, field.name) == field.default:
            del data[field.name]
    return data


def diff_resource(
    before: states.Entry | None, after: resources.Resource | None
) -> values.Difference | None:
    """Returns the difference of one resource; ``None`` if it is unchanged."""
    old = before.resource if before else None
    if old == after:
        return None
    present = old if after is None else after
    assert present is not None
    kind, name = key_of(present)
    return values.Difference(
        kind=kind,
        name=name,
        effect=_effect(old, after),
        generation=before.generation if before else 0,
        fields=tuple(_field_differences(old, after)),
    )


async def diff_state(
    state: states.State,
    desired: Sequence[resources.Resource],
    *,
    is_pruned: Callable[[resources.Resource], bool],
) -> list[values.Difference]:
    """Returns the changes of an apply, in the order of their execution.

    Args:
        state: Current configuration.
        desired: Desired resources.
        is_pruned: Returns whether to delete a resource that is not in
            ``desired``.
    """
    desired_by_key = {key_of(resource): resource for resource in desired}
    differing = [
        diff_resource(state.get(*key), resource)
        async for key, resource in pacing.paced(desired_by_key.items())
    ]
    async for entry in pacing.paced(
        _to_prune(state, desired_by_key, is_pruned)
    ):
        differing.append(diff_resource(entry, None))
    return sorted((item for item in differing if item), key=_sort_key)


def _to_prune(
    state: states.State,
    desired_by_key: dict[states.Key, resources.Resource],
    is_pruned: Callable[[resources.Resource], bool],
) -> Iterator[states.Entry]:
    for kind in _KIND_ORDER:
        for entry in state.of_kind(kind):
            is_desired = (kind, entry.resource.name) in desired_by_key
            if not is_desired and is_pruned(entry.resource):
                yield entry


def _effect(
    old: resources.Resource | None, new: resources.Resource | None
) -> values.Effect:
    if old is None:
        return values.Effect.CREATE
    return values.Effect.DELETE if new is None else values.Effect.CHANGE


def _sort_key(item: values.Difference) -> tuple[int, int, str]:
    place = _KIND_ORDER.index(item.kind)
    if item.effect is values.Effect.DELETE:
        return 1, -place, item.name
    return 0, place, item.name


def _field_differences(
    old: resources.Resource | None, new: resources.Resource | None
) -> Iterator[values.FieldDifference]:
    dump = resource_codec.dump if old and new else without_defaults
    before = dict(_flatten(dump(old))) if old else {}
    after = dict(_flatten(dump(new))) if new else {}
    for path in list(before) + [path for path in after if path not in before]:
        texts = _to_json(before.get(path)), _to_json(after.get(path))
        if texts[0] != texts[1]:
            yield values.FieldDifference(".".join(path), *texts)


def _flatten(data: object, path: _Path = ()) -> Iterator[tuple[_Path, object]]:
    if not isinstance(data, dict):
        yield path, data
        return
    for name, part in data.items():
        yield from _flatten(part, (*path, name))


def _to_json(value: object) -> str:
    return "" if value is None else json.dumps(value, ensure_ascii=False)
