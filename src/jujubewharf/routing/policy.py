"""The interfaces of a routing policy."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import runtime_checkable

from jujubewharf.membership import view as membership
from jujubewharf.peers import network
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs


class InstantPolicy(Protocol):
    """Decides where a request runs.

    ``place`` is called for a new request, again after ``Later``, and again
    when the chosen engine refused. ``place_decode`` is called only when the
    choice left the decode engine open.
    """

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds nothing yet."""
        ...

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request whose prompt was read already."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What a policy that speaks to other instances works with.

    Attributes:
        fleet: Views of the engines.
        peers: Links to the other instances.
        members: Who they are.
        domain: Failure domain of this instance.
    """

    fleet: fleets.Fleet
    peers: network.PeerNetwork
    members: membership.MembershipView
    domain: str


@runtime_checkable
class WaitingPolicy(Protocol):
    """Decides after asking other instances, so its decisions are awaited.

    Whatever a request was given is ended through ``ended``, which also
    follows when the wait itself is cancelled.
    """

    def join(self, surroundings: Surroundings) -> None:
        """Begins to work for an instance; a restarted one joins again."""
        ...

    async def wait_for_place(self, job: jobs.Job) -> jobs.Decision:
        """As ``InstantPolicy.place``; never ``Later``."""
        ...

    async def wait_for_decode(self, job: jobs.Job) -> jobs.Decision:
        """As ``InstantPolicy.place_decode``; never ``Later``."""
        ...

    def ended(self, job: jobs.Job, *, is_prefilled: bool) -> None:
        """Learns that a place is no longer needed, for whatever reason."""
        ...


Policy = InstantPolicy | WaitingPolicy
