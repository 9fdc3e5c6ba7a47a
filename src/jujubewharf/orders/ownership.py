"""Which instance answers for an engine."""

from __future__ import annotations

from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.membership import view


class Ownership:
    """Rendezvous choice among the instances of the engine's own domain.

    It only keeps instances from racing each other for leases; what is safe
    is decided by the log.

    Args:
        membership: Who is here.
    """

    def __init__(self, membership: view.MembershipView) -> None:
        self._membership = membership

    def owns(self, endpoint: resources.Endpoint) -> bool:
        """Whether this instance answers for an engine now."""
        present = self._membership.present()
        near = [m.instance for m in present if m.domain == endpoint.domain]
        names = near or [member.instance for member in present]
        if not names:
            return True
        best = hashing.rank(endpoint.name, names)[0]
        return best == self._membership.myself.instance
