"""The interface of a routing policy."""

from __future__ import annotations

from typing import Protocol

from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs


class Policy(Protocol):
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
