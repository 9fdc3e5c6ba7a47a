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


class Keepers:
    """Remembers the keeper of each engine until the members change.

    Ranking the members for each engine of each decision would make a
    decision cost engines times members.

    Args:
        members: Who is here.
    """

    def __init__(self, members: membership.MembershipView) -> None:
        self._members = members
        self._known: dict[tuple[str, str], str | None] = {}
        members.listen(self._known.clear)

    def of(self, endpoint: resources.Endpoint) -> str | None:
        """The keeper of an engine; ``None`` when nobody is present."""
        key = (endpoint.name, endpoint.domain)
        if key not in self._known:
            present = self._members.present()
            self._known[key] = keeper_of(endpoint, present)
        return self._known[key]
