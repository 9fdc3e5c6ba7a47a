"""Lease on the parts that a group in the platform's store assigns.

A group divides a fixed number of parts between its members. Its generation
grows with each assignment and serves as fencing token: the holder of the first
part may do what only one instance at a time may do.
"""

from __future__ import annotations

import structlog

from jujubewharf import clock as clocks
from jujubewharf.platform import epochs
from jujubewharf.platform import groups
from jujubewharf.platform import log

# Joins per time to live, so that two in a row may be lost.
JOINS_PER_TTL = 3.0
FIRST_PART = 0
_FIRST_GENERATION = 1


class GroupLease:
    """Parts of a group that this member holds.

    Parts count only while the last join is younger than the group's time to
    live, by a clock that keeps running while the process is suspended. An
    instance that was suspended therefore holds nothing until it joins again.

    Args:
        group: The group.
        clock: Clock that the lease is measured with.
        name: Name of the group in log lines.
    """

    def __init__(
        self, group: groups.Group, clock: clocks.Clock, *, name: str
    ) -> None:
        self._group = group
        self._clock = clock
        self._share = groups.GroupAssignment(0, frozenset())
        self._expires_at_ms = 0.0
        self._rejected_fence = -1
        self._has_left = False
        self._holds_first_since_ms: float | None = None
        self._holds_first_from = 0
        self._logger = structlog.get_logger(group=name)

    @property
    def is_valid(self) -> bool:
        """Whether the lease is still valid."""
        return self._clock.boottime_ms() < self._expires_at_ms

    @property
    def share(self) -> groups.GroupAssignment:
        """Last assignment, whether or not the lease is still valid."""
        return self._share

    @property
    def holds_first_part(self) -> bool:
        """Whether this member holds the first part under a valid lease."""
        return self.is_valid and self._holds_first_since_ms is not None

    @property
    def first_part_since_ms(self) -> float | None:
        """Time since which the first part is held; ``None`` without it."""
        return self._holds_first_since_ms if self.is_valid else None

    @property
    def may_have_predecessor(self) -> bool:
        """Whether the first part may have been held before this time.

        Only the group's first assignment, in a store that was never restored,
        has none before it.
        """
        return self._holds_first_from != _FIRST_GENERATION

    @property
    def fence(self) -> int | None:
        """Fencing token; ``None`` while another member may use the first part.

        It may be used one time to live after the part was assigned, when
        calls of the previous holder can no longer be in flight.
        """
        since_ms = self._holds_first_since_ms
        if not self.is_valid or since_ms is None:
            return None
        if self._clock.now_ms() - since_ms < self._group.ttl_ms:
            return None
        if self._share.generation <= self._rejected_fence:
            return None
        return self._share.generation

    def reject_fence(self, fence: int) -> None:
        """Records that a fencing token was rejected in favor of a newer one.

        The token is not used again, because every further call with it would be
        rejected; the member waits for a later generation.
        """
        self._rejected_fence = max(self._rejected_fence, fence)

    async def renew(self) -> None:
        """Joins the group or renews the lease.

        Raises:
            LogUnavailableError: The store did not answer.
        """
        self._has_left = False
        started_ms = self._clock.boottime_ms()
        share = await self._group.join(self._share.generation)
        if self._has_left:
            # The member left while the call was in flight.
            return
        if not self.is_valid:
            # The lease had expired, so another member may have held the part.
            self._holds_first_since_ms = None
        # Measured from before the call: the group counts from its arrival.
        self._expires_at_ms = started_ms + self._group.ttl_ms
        self._apply(share)

    def _apply(self, share: groups.GroupAssignment) -> None:
        if share.generation < self._share.generation:
            return
        holds_first = FIRST_PART in share.parts
        held_first = self._holds_first_since_ms is not None
        if holds_first and not held_first:
            self._holds_first_since_ms = self._clock.now_ms()
            self._holds_first_from = share.generation
        elif not holds_first:
            self._holds_first_since_ms = None
        if share != self._share:
            generation = epochs.split(share.generation)
            self._logger.info(
                "share_changed",
                epoch=generation.epoch,
                generation=generation.offset,
                parts=len(share.parts),
                holds_first=holds_first,
            )
        self._share = share

    async def leave(self) -> None:
        """Releases all parts, so that others don't wait for the expiry."""
        self._has_left = True
        self._expires_at_ms = 0.0
        self._holds_first_since_ms = None
        try:
            await self._group.leave()
        except log.LogUnavailableError as error:
            self._logger.info("share_not_given_back", detail=str(error))
