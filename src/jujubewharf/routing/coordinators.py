"""Assigns each engine a coordinator among the instances.

The coordinator of an engine polls its load and grants its decode slots. It is
chosen by rendezvous hashing among the present instances of the engine's failure
domain, so every instance computes it without communication. While instances
disagree about membership, two of them may coordinate the same engine. The
engine itself then refuses excess requests, so this causes refusals but no
errors.
"""

from __future__ import annotations

from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.membership import view as membership


def coordinator_of(
    endpoint: resources.Endpoint, present: tuple[membership.Member, ...]
) -> str | None:
    """Returns the coordinator of an engine; ``None`` if no instance is present.

    An engine whose failure domain has no instance is coordinated by an instance
    of another domain, so that it stays in use.
    """
    same_domain = [m.instance for m in present if m.domain == endpoint.domain]
    candidates = same_domain or [m.instance for m in present]
    ranked = hashing.rank(endpoint.name, candidates)
    return ranked[0] if ranked else None


class CoordinatorCache:
    """Caches the coordinator of each engine until the membership changes.

    Without the cache each decision would rank all members for each engine.

    Args:
        members: Membership of the instances.
    """

    def __init__(self, members: membership.MembershipView) -> None:
        self._members = members
        self._cache: dict[tuple[str, str], str | None] = {}
        members.listen(self._cache.clear)

    def of(self, endpoint: resources.Endpoint) -> str | None:
        """Returns an engine's coordinator; ``None`` if no instance is known."""
        key = (endpoint.name, endpoint.domain)
        if key not in self._cache:
            present = self._members.present()
            self._cache[key] = coordinator_of(endpoint, present)
        return self._cache[key]
