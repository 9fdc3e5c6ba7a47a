"""Registration of one start of an endpoint.

An endpoint that restarts may register under its former name, but has lost its
reservations, prefill results and orders, and its speed may differ. Each start
is therefore a separate endpoint with a unique name inside the router.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Registration(resources.Endpoint):
    """An endpoint whose ``name`` is unique to one start of its process.

    Attributes:
        registered_as: Name under which the endpoint registered; earlier starts
            may have used it too.
        started_ms: Unix time of the start in milliseconds; ``None`` if the
            endpoint does not report it.
        software_version: Version of the endpoint's software, as opposed to the
            weights that it has loaded; empty if unknown.
    """

    registered_as: str = ""
    started_ms: int | None = None
    software_version: str = ""

    @classmethod
    def from_endpoint(cls, endpoint: resources.Endpoint) -> Registration:
        """Creates the registration of an endpoint's first start."""
        fields = {
            field.name: getattr(endpoint, field.name)
            for field in dataclasses.fields(endpoint)
        }
        return cls(**fields, registered_as=endpoint.name)


def name_of_start(registered_as: str, started_ms: int | None) -> str:
    """Returns the name of one start of an endpoint.

    No other name and time make the same one.

    Args:
        registered_as: Name under which the endpoint registered.
        started_ms: Unix time of the start in milliseconds, if known.
    """
    if started_ms is not None:
        return f"{registered_as}@{started_ms}"
    return f"{registered_as}@" if "@" in registered_as else registered_as


def public_name(endpoint: resources.Endpoint) -> str:
    """Returns the name under which an endpoint registered."""
    if isinstance(endpoint, Registration):
        return endpoint.registered_as
    return endpoint.name


def started_ms(endpoint: resources.Endpoint) -> int | None:
    """Returns the Unix time of an endpoint's start in ms, if known."""
    if isinstance(endpoint, Registration):
        return endpoint.started_ms
    return None


def is_other_start(endpoint: resources.Endpoint, told_ms: object) -> bool:
    """Whether a process isn't the registered start, by what it says itself.

    Args:
        endpoint: The endpoint.
        told_ms: Unix time of its start in ms, as the process told; anything
            else tells nothing.
    """
    if not isinstance(told_ms, int):
        return False
    return started_ms(endpoint) not in (None, told_ms)


def software_version(endpoint: resources.Endpoint) -> str:
    """Returns the version of an endpoint's software; empty if unknown."""
    if isinstance(endpoint, Registration):
        return endpoint.software_version
    return ""
