"""Differences between wanted resources and those in force."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any

from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states


class Action(enum.Enum):
    """Change that resolves a difference."""

    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldDifference:
    """Difference in one field of a resource.

    Attributes:
        path: Dotted path of the field.
        before: Value in force; ``None`` if there is none.
        after: Wanted value; ``None`` if there is none.
    """

    path: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Difference of one resource.

    Attributes:
        kind: Resource kind.
        name: Resource name.
        action: Change that resolves the difference.
        generation: Generation in force, which that change should expect; 0 if
            the resource does not exist.
        fields: Fields that differ.
    """

    kind: resources.Kind
    name: str
    action: Action
    generation: int
    fields: tuple[FieldDifference, ...] = ()


def find(
    state: states.State,
    wanted: Sequence[resources.Resource],
    *,
    prune: bool = False,
) -> list[Difference]:
    """Compares wanted resources with those in force.

    Args:
        state: Configuration in force.
        wanted: Wanted resources.
        prune: Whether to report resources that are not wanted as well, for
            the kinds that occur in ``wanted``.
    """
    found = [
        difference
        for resource in wanted
        if (difference := _compare_resource(state, resource)) is not None
    ]
    if prune:
        found.extend(_find_unwanted(state, wanted))
    return found


def _compare_resource(
    state: states.State, resource: resources.Resource
) -> Difference | None:
    kind = resources.KIND_OF[type(resource)]
    current = state.get(kind, resource.name)
    after = resource_codec.dump(resource)
    if current is None:
        fields = _compare_fields({}, after)
        return Difference(kind, resource.name, Action.CREATE, 0, fields)
    fields = _compare_fields(resource_codec.dump(current.resource), after)
    if not fields:
        return None
    return Difference(
        kind, resource.name, Action.UPDATE, current.generation, fields
    )


def _find_unwanted(
    state: states.State, wanted: Sequence[resources.Resource]
) -> Iterator[Difference]:
    keys = {(resources.KIND_OF[type(one)], one.name) for one in wanted}
    kinds = {kind for kind, _ in keys}
    for (kind, name), entry in state.entries:
        if kind in kinds and (kind, name) not in keys:
            fields = _compare_fields(resource_codec.dump(entry.resource), {})
            yield Difference(
                kind, name, Action.DELETE, entry.generation, fields
            )


def _compare_fields(
    before: dict[str, Any], after: dict[str, Any], prefix: str = ""
) -> tuple[FieldDifference, ...]:
    found: list[FieldDifference] = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            found.extend(_compare_fields(old, new, f"{prefix}{name}."))
        elif old != new:
            found.append(FieldDifference(prefix + name, old, new))
    return tuple(found)
