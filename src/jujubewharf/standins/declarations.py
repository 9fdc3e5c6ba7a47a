"""Encodes resource declarations for the configuration log."""

from __future__ import annotations

from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources


def put(resource: resources.Resource, operation_id: str) -> bytes:
    """Returns the record that creates or replaces a resource."""
    kind = resources.KIND_OF[type(resource)]
    change = records.Change(
        operation_id=operation_id,
        actor="stand-in",
        verb=records.Verb.PUT,
        kind=kind.value,
        name=resource.name,
        expected_generation=None,
        body=resource_codec.dump(resource),
    )
    return records.encode(change)
