"""Shares where streams began between the leader and its followers.

The instance that began a stream may be killed, which is why its caller resumes
it elsewhere. Each stream is known to the instance that forwards it, to the
leader, and to a third instance: streams of the leader to all followers, those
of a follower to a standby, a follower of another failure domain if there is
one. A new leader is told by its followers what they know.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import shared_state
from jujubewharf.peers import link as links
from jujubewharf.peers import origin_messages
from jujubewharf.stream_versions import origin_search
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log

# One for the streams of all followers, and one for those of the first.
_STANDBYS = 2


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
        self._standbys: tuple[links.Link, ...] = ()

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
        if self._fleet.role is fleets.Role.ALONE:
            resume_log.count_untold()

    async def find(self, key: bytes) -> origin_search.OriginSearch:
        """Searches for where a stream began."""
        role, role_ms = self._fleet.role, self._fleet.role_ms
        origin = self._memory.find(key)
        asked = answered = 0
        if origin is None and role is fleets.Role.FOLLOWING:
            asked = 1
            reply = await self._fleet.link.request_origin(key)
            answered = int(reply is not None)
            origin = None if reply is None else reply.origin()
        return origin_search.OriginSearch(
            origin, role.value, role_ms, asked, answered
        )

    def on_followers_streams(
        self, link: links.Link, message: origin_messages.StreamsBegan
    ) -> None:
        """Remembers a follower's streams, and has the standby do so as well."""
        now_ms = self._clock.now_ms()
        for record in message.records(now_ms):
            self._memory.merge(record)
        for standby in self._choose_standbys():
            if standby is not link:
                standby.tell(message)
                return

    def _choose_standbys(self) -> tuple[links.Link, ...]:
        """Returns the standbys; a new one is told all that is remembered."""
        assert self._fleet.followers is not None
        followers = self._fleet.followers.follower_links
        kept = [link for link in self._standbys if link in followers]
        if len(kept) == _STANDBYS:
            return self._standbys
        # Those of other failure domains than the leader come first.
        others = sorted(
            (link for link in followers if link not in kept),
            key=lambda link: link.hello.domain == self._domain,
        )
        added = others[: _STANDBYS - len(kept)]
        self._standbys = (*kept, *added)
        for link in added:
            for message in self._state.stream_messages():
                link.tell(message)
        return self._standbys

    def _message(
        self, records: list[all_origins.OriginRecord]
    ) -> origin_messages.StreamsBegan:
        return origin_messages.StreamsBegan.from_records(
            records, self._clock.now_ms()
        )
