"""Finds the service that a caller names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubewharf import errors
from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from jujubewharf import core as cores


def find(
    core: cores.EntryCore, name: str, kind: resources.ServiceKind
) -> resources.Service:
    """The service of a name.

    Args:
        core: Knows the configuration.
        name: As the caller gave it.
        kind: What the caller's path is for.

    Raises:
        WharfError: ``UNKNOWN_SERVICE``, also for a service of another kind.
    """
    found = core.configuration.current.get(resources.Kind.SERVICE, name)
    if found is None:
        raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE)
    service = found.resource
    assert isinstance(service, resources.Service)
    if service.kind is not kind:
        raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE)
    return service
