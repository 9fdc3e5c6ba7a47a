"""This instance's share of fleet-wide limits.

A group in the platform's store divides a fixed number of parts evenly between
all instances, so an instance's parts tell how many instances there are.
"""

from __future__ import annotations

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.forwarding import lease as leases
from jujubewharf.platform import groups
from jujubewharf.platform import log


class FleetShare(restarting_service.RestartingService):
    """Keeps this instance in the group and computes its share.

    Args:
        group: Group of all instances.
        clock: Clock for the join interval.
        default_share: Share to use while the group can't be reached, 0 to 1.

    Attributes:
        lease: Parts that this instance holds.
    """

    def __init__(
        self,
        group: groups.Group,
        clock: clocks.Clock,
        *,
        default_share: float,
    ) -> None:
        super().__init__(clock)
        self._group = group
        self._default_share = default_share
        self._has_left = False
        self._logger = structlog.get_logger()
        self.lease = leases.GroupLease(group, clock, name="instances")

    @property
    def fraction(self) -> float:
        """Share of the fleet's total that belongs to this instance, 0 to 1."""
        share = self.lease.share
        last_fraction = len(share.parts) / self._group.part_count
        if self.lease.is_valid:
            return last_fraction
        if share.generation == 0:
            return self._default_share
        # With more instances than the default is meant for, the default shares
        # would add up to more than the total.
        return min(last_fraction, self._default_share)

    @mode.Service.task
    async def _keep_joined(self) -> None:
        interval_ms = self._group.ttl_ms / leases.JOINS_PER_TTL
        while not self.should_stop and not self._has_left:
            try:
                await self.lease.renew()
            except log.LogUnavailableError as error:
                self._logger.debug("share_not_renewed", detail=str(error))
            await self._clock.sleep_ms(interval_ms)

    async def leave(self) -> None:
        """Leaves the group for good and releases all parts."""
        self._has_left = True
        await self.lease.leave()
