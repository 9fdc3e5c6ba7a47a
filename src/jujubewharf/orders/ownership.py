"""Assigns each engine to the instance that reconciles it."""

from __future__ import annotations

from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.membership import view


class Ownership:
    """Rendezvous hashing among the instances of the engine's failure domain.

    This only avoids contention for leases; safety is ensured by the log.

    Args:
        membership: Membership of the instances.
    """

    def __init__(self, membership: view.MembershipView) -> None:
        self._membership = membership

    def is_assigned(self, endpoint: resources.Endpoint) -> bool:
        """Whether this instance currently reconciles an engine."""
        present = self._membership.present()
        same_domain = [
            m.instance for m in present if m.domain == endpoint.domain
        ]
        candidates = same_domain or [member.instance for member in present]
        if not candidates:
            return True
        owner = hashing.rank(endpoint.name, candidates)[0]
        return owner == self._membership.local_member.instance
