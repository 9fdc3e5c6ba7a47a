"""This instance's part of what the fleet shares.

A group on the platform's store deals some parts evenly to all instances. Their
number at this instance says how many instances there are.
"""

from __future__ import annotations

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import lease as leases
from jujubewharf.platform import groups
from jujubewharf.platform import log


class FleetShare(mode.Service):
    """Stays in the group of instances, and tells what this one holds.

    Args:
        group: The group.
        clock: Time.
        default_share: Share taken while the group can't be reached.

    Attributes:
        lease: What this instance holds.
    """

    def __init__(
        self,
        group: groups.Group,
        clock: clocks.Clock,
        *,
        default_share: float,
    ) -> None:
        super().__init__()
        self._group = group
        self._clock = clock
        self._default_share = default_share
        self._has_left = False
        self._logger = structlog.get_logger()
        self.lease = leases.GroupLease(group, clock, name="instances")

    @property
    def fraction(self) -> float:
        """Part of the fleet's whole that is this instance's, 0 to 1."""
        share = self.lease.share
        last = len(share.parts) / self._group.part_count
        if self.lease.is_current:
            return last
        if share.generation == 0:
            return self._default_share
        # Where there are more instances than the default is for, all of them
        # together would take more than the whole.
        return min(last, self._default_share)

    @mode.Service.task
    async def _stay(self) -> None:
        every_ms = self._group.ttl_ms / leases.JOINS_PER_TTL
        while not self.should_stop and not self._has_left:
            try:
                await self.lease.renew()
            except log.LogUnavailableError as error:
                self._logger.debug("share_not_renewed", detail=str(error))
            await self._clock.sleep_ms(every_ms)

    async def leave(self) -> None:
        """Gives everything back for good."""
        self._has_left = True
        await self.lease.leave()
