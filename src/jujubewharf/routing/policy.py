"""Interfaces of routing policies."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import runtime_checkable

from jujubewharf.membership import view as membership
from jujubewharf.peers import network
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs


class SyncPolicy(Protocol):
    """Decides without waiting.

    ``place`` is called for a new request, again after ``RetryLater``, and again
    when the chosen engine refused. ``place_decode`` is called only if the
    choice left the decode engine open.
    """

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds no resources yet."""
        ...

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request whose prefill is complete."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyContext:
    """Dependencies of a policy that communicates with other instances.

    Attributes:
        fleet: Engine views.
        peers: Connections to the other instances.
        members: Membership of the instances.
        domain: Failure domain of this instance.
    """

    fleet: fleets.Fleet
    peers: network.PeerNetwork
    members: membership.MembershipView
    domain: str


@runtime_checkable
class AsyncPolicy(Protocol):
    """Decides asynchronously, after querying other instances.

    Each placement is ended with ``release``, also when the wait for it was
    cancelled.
    """

    def attach(self, context: PolicyContext) -> None:
        """Attaches to an instance; called again after the instance restarts."""
        ...

    async def wait_for_placement(self, job: jobs.Job) -> jobs.Decision:
        """Like ``SyncPolicy.place``; never ``RetryLater``."""
        ...

    async def wait_for_decode(self, job: jobs.Job) -> jobs.Decision:
        """Like ``SyncPolicy.place_decode``; never ``RetryLater``."""
        ...

    def release(self, job: jobs.Job, *, is_prefilled: bool) -> None:
        """Releases everything that was granted to a request."""
        ...


Policy = SyncPolicy | AsyncPolicy
