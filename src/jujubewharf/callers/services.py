"""Looks up the service that a caller names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubewharf import errors
from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from jujubewharf import core as cores


def find(
    core: cores.EntryCore, name: str, kind: resources.ServiceKind
) -> resources.Service:
    """Returns a configured service.

    Args:
        core: Holds the configuration.
        name: Name of the service, as given by the caller.
        kind: Kind of service that the request path is for.

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
