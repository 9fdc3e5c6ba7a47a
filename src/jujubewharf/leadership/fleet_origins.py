"""Shares where streams began between the leader and its followers.

The instance that began a stream may be killed, which is why its caller resumes
it elsewhere. Each stream is known to the instance that forwards it, to the
leader, and to a third instance: streams of the leader to all followers, those
of a follower to the standby, a follower of another failure domain. A new leader
is told by its followers what they know.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import shared_state
from jujubewharf.peers import link as links
from jujubewharf.peers import origin_messages
from jujubewharf.stream_versions import origins as all_origins


class FleetOrigins:
    """Implements ``resumptions.SharedOrigins`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        state: State that all instances share.
        clock: Time source.
        domain: Failure domain of this instance.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        state: shared_state.SharedState,
        clock: clocks.Clock,
        *,
        domain: str,
    ) -> None:
        self._fleet = fleet
        self._state = state
        self._memory = state.origins
        self._domain = domain
        self._clock = clock
        self._standby: links.Link | None = None

    def record(
        self,
        key: bytes,
        origin: all_origins.StreamOrigin,
        *,
        keep_ms: float,
    ) -> None:
        """Records where a stream of this instance began, and tells others."""
        record = self._memory.record(key, origin, keep_ms=keep_ms)
        self._fleet.tell(self._message([record]))

    async def find(self, key: bytes) -> all_origins.StreamOrigin | None:
        """Returns where a stream began; ``None`` if it isn't known."""
        origin = self._memory.find(key)
        if origin is not None or self._fleet.role is not fleets.Role.FOLLOWING:
            return origin
        return await self._fleet.link.request_origin(key)

    def on_followers_streams(
        self, link: links.Link, message: origin_messages.StreamsBegan
    ) -> None:
        """Remembers a follower's streams, and has the standby do so as well."""
        now_ms = self._clock.now_ms()
        for record in message.records(now_ms):
            self._memory.merge(record)
        standby = self._choose_standby()
        if standby is not None and standby is not link:
            standby.tell(message)

    def _choose_standby(self) -> links.Link | None:
        """Returns the standby; a new one is told all that is remembered."""
        assert self._fleet.followers is not None
        followers = self._fleet.followers.follower_links
        if self._standby in followers:
            return self._standby
        elsewhere = (f for f in followers if f.hello.domain != self._domain)
        self._standby = next(elsewhere, next(iter(followers), None))
        if self._standby is not None:
            for message in self._state.stream_messages():
                self._standby.tell(message)
        return self._standby

    def _message(
        self, records: list[all_origins.OriginRecord]
    ) -> origin_messages.StreamsBegan:
        return origin_messages.StreamsBegan.from_records(
            records, self._clock.now_ms()
        )
