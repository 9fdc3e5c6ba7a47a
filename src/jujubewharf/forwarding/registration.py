"""One start of an endpoint, as it has registered itself.

An endpoint may start again under the name that it had. It then holds nothing
of before: reservations, prefill results, orders and all that was learned of
its speed are gone. So each start is an endpoint of its own inside, with a name
that no other start has, and nothing that is known by name can be mixed up.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Registration(resources.Endpoint):
    """An endpoint whose ``name`` is that of one start.

    Attributes:
        registered_as: Name by which it knows itself, and under which it
            registered; other starts may have had it.
        started_ms: Unix time of this start; ``None`` where it doesn't tell.
    """

    registered_as: str = ""
    started_ms: int | None = None

    @classmethod
    def from_endpoint(cls, endpoint: resources.Endpoint) -> Registration:
        """The registration of an endpoint that never started under its name."""
        fields = {
            field.name: getattr(endpoint, field.name)
            for field in dataclasses.fields(endpoint)
        }
        return cls(**fields, registered_as=endpoint.name)


def public_name(endpoint: resources.Endpoint) -> str:
    """Name by which an endpoint knows itself."""
    if isinstance(endpoint, Registration):
        return endpoint.registered_as
    return endpoint.name


def started_ms(endpoint: resources.Endpoint) -> int | None:
    """Unix time of an endpoint's start; ``None`` where it doesn't tell."""
    if isinstance(endpoint, Registration):
        return endpoint.started_ms
    return None
