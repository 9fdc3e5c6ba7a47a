"""What a member of a group on the platform's store holds, and for how long.

A group deals some parts to its members. Its generation grows with each dealing
and serves as fencing token: who holds the first part may do what one instance
alone may do.
"""

from __future__ import annotations

import structlog

from jujubewharf import clock as clocks
from jujubewharf.platform import groups
from jujubewharf.platform import log

# Joins in one time to live, so that two may be lost.
JOINS_PER_TTL = 3.0
FIRST_PART = 0


class GroupLease:
    """The parts that this member holds.

    What it holds counts only while the last join is younger than the group's
    time to live, by a clock that goes on while the process is suspended. An
    instance that was paused thus holds nothing before it has joined anew.

    Args:
        group: The group.
        clock: Time.
        name: Names the group in log lines.
    """

    def __init__(
        self, group: groups.Group, clock: clocks.Clock, *, name: str
    ) -> None:
        self._group = group
        self._clock = clock
        self._share = groups.GroupShare(0, frozenset())
        self._until_ms = 0.0
        self._fenced = -1
        self._has_left = False
        self._first_since_ms: float | None = None
        self._logger = structlog.get_logger(group=name)

    @property
    def is_current(self) -> bool:
        """Whether what was dealt to this member still counts."""
        return self._clock.awake_ms() < self._until_ms

    @property
    def share(self) -> groups.GroupShare:
        """What was dealt last, whether or not it still counts."""
        return self._share

    @property
    def holds_first(self) -> bool:
        """Whether this member holds the first part."""
        return self.is_current and self._first_since_ms is not None

    @property
    def fence(self) -> int | None:
        """Fencing token; ``None`` where others may hold the first part.

        It may be used one time to live after the part was dealt: the holder
        before may have a call on its way.
        """
        since_ms = self._first_since_ms
        if not self.is_current or since_ms is None:
            return None
        if self._clock.now_ms() - since_ms < self._group.ttl_ms:
            return None
        if self._share.generation <= self._fenced:
            return None
        return self._share.generation

    def fenced(self, fence: int) -> None:
        """Learns that somebody has seen a later fencing token.

        Calls under this one would be refused for good; others wait until the
        group has told a later generation.
        """
        self._fenced = max(self._fenced, fence)

    async def renew(self) -> None:
        """Joins, or stays.

        Raises:
            LogUnavailableError: The store gave no answer.
        """
        self._has_left = False
        began_ms = self._clock.awake_ms()
        share = await self._group.join(self._share.generation)
        if self._has_left:
            # The answer to a call that was on its way.
            return
        if not self.is_current:
            # The lease had run out, so another may have held it since.
            self._first_since_ms = None
        # From before the call: the group counts from its arrival.
        self._until_ms = began_ms + self._group.ttl_ms
        self._take(share)

    def _take(self, share: groups.GroupShare) -> None:
        if share.generation < self._share.generation:
            return
        holds = FIRST_PART in share.parts
        held = self._first_since_ms is not None
        if holds and not held:
            self._first_since_ms = self._clock.now_ms()
        elif not holds:
            self._first_since_ms = None
        if share != self._share:
            self._logger.info(
                "share_changed",
                generation=share.generation,
                parts=len(share.parts),
                holds_first=holds,
            )
        self._share = share

    async def leave(self) -> None:
        """Gives everything back, so that others needn't wait."""
        self._has_left = True
        self._until_ms = 0.0
        self._first_since_ms = None
        try:
            await self._group.leave()
        except log.LogUnavailableError as error:
            self._logger.info("share_not_given_back", detail=str(error))
