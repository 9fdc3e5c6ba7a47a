"""Who is here: the list of the platform joined with what the links hear."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf.membership import neighbours
from jujubewharf.membership import view
from jujubewharf.peers import link_messages
from jujubewharf.platform import live_list

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import mesh as meshes
    from jujubewharf.peers import peer as peers

_CHECKS_PER_HEARTBEAT = 2


class Membership(mode.Service):
    """Speaks ``view.MembershipView``.

    Args:
        mesh: The links; this instance's name and address are theirs.
        domain: Failure domain of this instance.
        platform_list: The platform's live list.
        clock: Time.
        timing: Times of the links.
        poll_ms: Time between two readings of the list.
    """

    def __init__(
        self,
        mesh: meshes.PeerMesh,
        domain: str,
        platform_list: live_list.LiveList,
        clock: clocks.Clock,
        *,
        timing: peers.Timing,
        poll_ms: float,
    ) -> None:
        super().__init__()
        self._mesh = mesh
        self._domain = domain
        self._list = platform_list
        self._clock = clock
        self._timing = timing
        self._poll_ms = poll_ms
        self._listed: dict[str, live_list.LiveMember] = {}
        self._listed_endpoints: tuple[live_list.LiveMember, ...] = ()
        self._members: dict[str, view.Member] = {}
        self._suspected: frozenset[str] = frozenset()
        self._wanted_since_ms: dict[str, float] = {}
        self._checked_ms: float | None = None
        self._listeners: list[Callable[[], None]] = []
        self._logger = structlog.get_logger()
        mesh.on_hello(self._on_hello)

    @property
    def myself(self) -> view.Member:
        """This instance."""
        return view.Member(
            self._mesh.instance,
            self._mesh.address,
            self._domain,
            self._mesh.is_leaving,
        )

    def members(self) -> tuple[view.Member, ...]:
        """All members by name; see ``view.MembershipView``."""
        everyone = self._members | {self._mesh.instance: self.myself}
        return tuple(everyone[name] for name in sorted(everyone))

    def is_suspected(self, instance: str) -> bool:
        """Whether a member is silent; see ``view.MembershipView``."""
        return instance in self._suspected

    def present(self) -> tuple[view.Member, ...]:
        """Members for owner choice; see ``view.MembershipView``."""
        return tuple(
            member
            for member in self.members()
            if not member.is_leaving and not self.is_suspected(member.instance)
        )

    def listed_endpoints(self) -> tuple[live_list.LiveMember, ...]:
        """Endpoints on the last list that was read."""
        return self._listed_endpoints

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls back upon changes; see ``view.MembershipView``."""
        self._listeners.append(listener)

    @mode.Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                self._on_list(await self._list.fetch())
            except live_list.LiveListUnavailableError as error:
                # The last list is kept: an outage of the list says nothing
                # about the instances on it.
                self._logger.warning("live_list_unavailable", detail=str(error))
            await self._clock.sleep_ms(self._poll_ms)

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            self._refresh()
            await self._clock.sleep_ms(
                self._timing.heartbeat_ms / _CHECKS_PER_HEARTBEAT
            )

    def _on_list(self, listed: tuple[live_list.LiveMember, ...]) -> None:
        endpoints = tuple(m for m in listed if not m.is_entry)
        entries = {m.name: m for m in listed if m.is_entry}
        entries.pop(self._mesh.instance, None)
        has_news = endpoints != self._listed_endpoints
        self._listed_endpoints = endpoints
        self._listed = entries
        self._refresh(has_news=has_news)

    def _on_hello(self, hello: link_messages.Hello) -> None:
        self._refresh()

    def _refresh(self, *, has_news: bool = False) -> None:
        """Joins all that is known, and tells the listeners of changes."""
        members = self._join()
        self._mesh.set_addresses(
            {name: member.address for name, member in members.items()}
        )
        chosen = neighbours.choose(self.myself, members.values())
        self._mesh.keep_links(chosen)
        suspected = self._find_suspected(members)
        if members != self._members or suspected != self._suspected:
            has_news = True
        self._members = members
        self._suspected = suspected
        if has_news:
            for listener in self._listeners:
                listener()

    def _join(self) -> dict[str, view.Member]:
        names = set(self._listed) | set(self._members) | set(self._heard())
        members = {}
        for name in sorted(names - {self._mesh.instance}):
            member = self._join_one(name)
            if member is not None:
                members[name] = member
        return members

    def _heard(self) -> tuple[str, ...]:
        return self._mesh.linked()

    def _join_one(self, name: str) -> view.Member | None:
        """One member, or ``None`` if neither the list nor a link has it."""
        listed = self._listed.get(name)
        hello = self._mesh.hello_of(name)
        is_heard = self._is_heard(name)
        if listed is None and not is_heard:
            return None
        is_leaving = (
            listed is not None and listed.state is live_list.LiveState.LEAVING
        )
        if hello is not None and is_heard:
            # A link's own word is newer than the lagging list's.
            return view.Member(
                name,
                hello.address,
                hello.domain,
                is_leaving or hello.is_leaving,
            )
        if listed is None:
            return None
        return view.Member(name, listed.address, listed.domain, is_leaving)

    def _is_heard(self, name: str) -> bool:
        heard_ms = self._mesh.contact(name).heard_ms
        if heard_ms is None:
            return False
        silence_ms = self._clock.now_ms() - heard_ms
        return silence_ms <= self._timing.suspect_after_ms

    def _find_suspected(
        self, members: dict[str, view.Member]
    ) -> frozenset[str]:
        now_ms = self._clock.now_ms()
        for name in members:
            self._wanted_since_ms.setdefault(name, now_ms)
        for name in set(self._wanted_since_ms) - set(members):
            del self._wanted_since_ms[name]
        return frozenset(name for name in members if self._is_silent(name))

    def _is_silent(self, name: str) -> bool:
        contact = self._mesh.contact(name)
        if contact.failed_ms is not None:
            return True
        if not contact.is_watched:
            return False
        if not contact.hears_us:
            return True
        since_ms = contact.heard_ms
        if since_ms is None:
            since_ms = self._wanted_since_ms[name]
        silence_ms = self._clock.now_ms() - since_ms
        return silence_ms > self._timing.suspect_after_ms
