"""Who keeps an engine: the instance that hears its load and grants its slots.

The keeper is chosen by rendezvous among the present instances of the
engine's own domain, so every instance finds it without talking. In a split
view two instances may keep one engine; the engine's own refusal is the
authority then, so it costs a refusal and never an error.
"""

from __future__ import annotations

from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.membership import view as membership


def keeper_of(
    endpoint: resources.Endpoint, present: tuple[membership.Member, ...]
) -> str | None:
    """The instance that keeps an engine; ``None`` when nobody is present.

    An engine whose domain has no instance is kept by any of the others, so
    that it stays in use.
    """
    near = [m.instance for m in present if m.domain == endpoint.domain]
    candidates = near or [m.instance for m in present]
    ranked = hashing.rank(endpoint.name, candidates)
    return ranked[0] if ranked else None
