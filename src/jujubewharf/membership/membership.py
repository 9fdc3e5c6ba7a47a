"""Membership service: merges the live list with the state of peer links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf import ordered_service
from jujubewharf.membership import facts as all_facts
from jujubewharf.membership import failure_detector
from jujubewharf.membership import member_facts
from jujubewharf.membership import neighbours
from jujubewharf.membership import view
from jujubewharf.platform import live_list

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import link_messages
    from jujubewharf.peers import mesh as meshes
    from jujubewharf.peers import peer as peers

_CHECKS_PER_HEARTBEAT = 2
_POLL_JITTER = 0.2
_BATCH_MS = 50.0
_MERGE_INTERVAL_MS = 10_000.0
_PRESENCE_TTL_MS = 120_000.0
_LEAVING_TTL_MS = 600_000.0


class Membership(ordered_service.OrderedService):
    """Implements ``view.MembershipView``.

    Merges three sources. The platform's live list names the expected
    instances but lags behind. Links show which instances answer, and their
    hellos are newer than the list. Presence facts announce an instance to the
    whole fleet before the list contains it.

    Args:
        mesh: Links to the peers; holds this instance's name and address.
        facts: Facts replicated between instances.
        domain: Failure domain of this instance.
        platform_list: The platform's live list.
        clock: Source of time.
        timing: Heartbeat and timeout intervals of the links.
        poll_ms: Interval between polls of the live list, in ms.
    """

    def __init__(
        self,
        mesh: meshes.PeerMesh,
        facts: all_facts.Facts,
        domain: str,
        platform_list: live_list.LiveList,
        clock: clocks.Clock,
        *,
        timing: peers.Timing,
        poll_ms: float,
    ) -> None:
        super().__init__()
        self._mesh = mesh
        self._facts = facts
        self._domain = domain
        self._live_list = platform_list
        self._clock = clock
        self._timing = timing
        self._poll_ms = poll_ms
        self._failure_detector = failure_detector.FailureDetector(
            mesh, facts, domain, clock, timing=timing
        )
        self._listed: dict[str, live_list.LiveMember] = {}
        self._listed_endpoints: tuple[live_list.LiveMember, ...] = ()
        self._members: dict[str, view.Member] = {}
        self._suspected: frozenset[str] = frozenset()
        self._is_listed = False
        self._presence_published_ms: float | None = None
        self._presence_incarnation = 0
        self._is_stale = True
        self._merged_ms = 0.0
        self._updated = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._random = random.Random(mesh.instance)
        self._logger = structlog.get_logger()
        mesh.on_hello(self._on_hello)
        for topic in (
            all_facts.Topic.MEMBER,
            all_facts.Topic.MEMBER_LEAVING,
            all_facts.Topic.SUSPICION,
        ):
            facts.listen(topic, self._on_fact)

    @property
    def local_member(self) -> view.Member:
        """This instance."""
        return view.Member(
            self._mesh.instance,
            self._mesh.address,
            self._domain,
            self._mesh.is_leaving,
        )

    def members(self) -> tuple[view.Member, ...]:
        """Returns all members; see ``view.MembershipView``."""
        all_members = self._members | {self._mesh.instance: self.local_member}
        return tuple(all_members[name] for name in sorted(all_members))

    def is_suspected(self, instance: str) -> bool:
        """Whether a member is suspected; see ``view.MembershipView``."""
        return instance in self._suspected

    def present(self) -> tuple[view.Member, ...]:
        """Returns the available members; see ``view.MembershipView``."""
        return tuple(
            member
            for member in self.members()
            if not member.is_leaving and not self.is_suspected(member.instance)
        )

    def listed_endpoints(self) -> tuple[live_list.LiveMember, ...]:
        """Returns the endpoints of the last live list fetched."""
        return self._listed_endpoints

    def listen(self, listener: Callable[[], None]) -> None:
        """Registers a callback for changes; see ``view.MembershipView``."""
        self._listeners.append(listener)

    def leave(self) -> None:
        """Announces to all instances that this one is draining."""
        if self._mesh.is_leaving:
            return
        self._mesh.is_leaving = True
        self._facts.publish(
            all_facts.Topic.MEMBER_LEAVING,
            self._mesh.instance,
            version=self._mesh.incarnation,
            ttl_ms=_LEAVING_TTL_MS,
        )
        self._refresh(has_changed=True)

    @mode.Service.task
    async def _poll_live_list(self) -> None:
        while not self.should_stop:
            try:
                self._on_list(await self._live_list.fetch())
            except live_list.LiveListUnavailableError as error:
                # Keep the last list: an outage of the live list does not
                # mean that the listed instances are down.
                self._logger.warning("live_list_unavailable", detail=str(error))
            spread = self._random.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
            await self._clock.sleep_ms(self._poll_ms * spread)

    @mode.Service.task
    async def _refresh_loop(self) -> None:
        while not self.should_stop:
            self._updated.clear()
            self._publish_presence()
            self._refresh()
            probed = self._failure_detector.next_probe(
                self._members, self._suspected
            )
            if probed is not None:
                self._mesh.probe(probed)
            await self._wait_for_update()

    def _on_list(self, listed: tuple[live_list.LiveMember, ...]) -> None:
        endpoints = tuple(m for m in listed if not m.is_entry)
        has_changed = endpoints != self._listed_endpoints
        self._listed_endpoints = endpoints
        previous = self._listed
        self._listed = {m.name: m for m in listed if m.is_entry}
        own_entry = self._listed.pop(self._mesh.instance, None)
        self._is_listed = (
            own_entry is not None and own_entry.address == self._mesh.address
        )
        self._is_stale |= self._listed != previous
        self._refresh(has_changed=has_changed)
        if self._is_listed and own_entry is not None:
            if own_entry.state is live_list.LiveState.LEAVING:
                self.leave()

    def _on_hello(self, hello: link_messages.Hello) -> None:
        self._failure_detector.on_hello(hello.domain, self._members)
        self._is_stale = True
        self._updated.set()

    def _on_fact(self, fact: all_facts.Fact) -> None:
        if fact.topic != all_facts.Topic.SUSPICION:
            self._is_stale = True
        if fact.topic == all_facts.Topic.MEMBER:
            # An earlier failed dial may have been to a previous process.
            # Keeping it would fall back to the outdated listed address.
            self._mesh.clear_failure(fact.subject)
        self._updated.set()

    async def _wait_for_update(self) -> None:
        """Waits until the next check is due or an update arrives.

        Always waits for a short time first, to batch the many facts and
        hellos of one event, such as a healed partition, into one refresh.
        """
        await self._clock.sleep_ms(_BATCH_MS)
        check_ms = self._timing.heartbeat_ms / _CHECKS_PER_HEARTBEAT
        try:
            async with self._clock.timeout_ms(check_ms - _BATCH_MS):
                await self._updated.wait()
        except TimeoutError:
            return

    def _publish_presence(self) -> None:
        """Publishes and renews the presence fact until the list has it."""
        incarnation = self._mesh.incarnation
        now_ms = self._clock.now_ms()
        is_published = self._presence_incarnation == incarnation
        if self._presence_published_ms is not None and is_published:
            is_fresh = (
                now_ms < self._presence_published_ms + _PRESENCE_TTL_MS / 2
            )
            if self._is_listed or is_fresh:
                return
        self._presence_incarnation = incarnation
        self._presence_published_ms = now_ms
        presence = member_facts.Presence(
            self._domain, self._mesh.address, incarnation
        )
        stored = self._facts.get(all_facts.Topic.MEMBER, self._mesh.instance)
        version = incarnation
        if stored is not None:
            version = max(version, stored.version + 1)
        self._facts.publish(
            all_facts.Topic.MEMBER,
            self._mesh.instance,
            version=version,
            value=member_facts.encode(presence),
            ttl_ms=_PRESENCE_TTL_MS,
        )

    def _refresh(self, *, has_changed: bool = False) -> None:
        """Updates the view and notifies the listeners of changes.

        Merging the sources takes time proportional to the fleet's size and is
        only done when a source has changed or periodically. Failure detection
        runs on every call.
        """
        now_ms = self._clock.now_ms()
        if self._is_stale or now_ms >= self._merged_ms + _MERGE_INTERVAL_MS:
            self._merged_ms = now_ms
            self._is_stale = False
            has_changed |= self._update_members()
        suspected = self._failure_detector.find_suspected(self._members)
        if suspected != self._suspected:
            self._suspected = suspected
            self._is_stale = True
            has_changed = True
        if has_changed:
            for listener in self._listeners:
                listener()

    def _update_members(self) -> bool:
        """Merges all sources again; returns whether a member changed."""
        members = self._merge()
        self._failure_detector.update_members(members)
        if members == self._members:
            return False
        self._members = members
        self._mesh.set_addresses(
            {name: member.address for name, member in members.items()}
        )
        self._mesh.set_standing_peers(
            neighbours.select_peers(self.local_member, members.values())
        )
        return True

    def _merge(self) -> dict[str, view.Member]:
        presences = self._published_presences()
        names = {*self._listed, *presences, *self._mesh.peers_with_hello()}
        members = {}
        for name in sorted(names - {self._mesh.instance}):
            member = self._merge_member(name, presences)
            if member is not None:
                members[name] = member
        return members

    def _published_presences(self) -> dict[str, member_facts.Presence]:
        presences = {}
        for fact in self._facts.by_topic(all_facts.Topic.MEMBER):
            presence = member_facts.decode_presence(fact)
            if presence is not None:
                presences[fact.subject] = presence
        return presences

    def _merge_member(
        self, name: str, presences: Mapping[str, member_facts.Presence]
    ) -> view.Member | None:
        """Returns the merged member, or ``None`` if it is gone."""
        listed = self._listed.get(name)
        is_heard = self._failure_detector.is_heard(name)
        presence = self._newest_presence(name, presences)
        if listed is None:
            # An unlisted instance that is silent is gone. One that sends
            # frames is new, and the list lags behind.
            if presence is None or (name in self._suspected and not is_heard):
                return None
            return self._make_member(
                name, presence.domain, presence.address, False
            )
        is_leaving = listed.state is live_list.LiveState.LEAVING
        if presence is None:
            return self._make_member(
                name, listed.domain, listed.address, is_leaving
            )
        address = presence.address
        if self._mesh.contact(name).failed_ms is not None and not is_heard:
            # The announced address failed; it may be outdated, so try the
            # listed one.
            address = listed.address
        return self._make_member(name, presence.domain, address, is_leaving)

    def _newest_presence(
        self, name: str, presences: Mapping[str, member_facts.Presence]
    ) -> member_facts.Presence | None:
        presence = presences.get(name)
        hello = self._mesh.hello_of(name)
        if hello is None:
            return presence
        if presence is not None and presence.incarnation > hello.incarnation:
            return presence
        return member_facts.Presence(
            hello.domain, hello.address, hello.incarnation
        )

    def _make_member(
        self, name: str, domain: str, address: str, is_leaving: bool
    ) -> view.Member:
        hello = self._mesh.hello_of(name)
        fact = self._facts.get(all_facts.Topic.MEMBER_LEAVING, name)
        incarnation = 0
        if hello is not None:
            is_leaving = is_leaving or hello.is_leaving
            incarnation = hello.incarnation
        if fact is not None and fact.version >= incarnation:
            is_leaving = True
        return view.Member(name, address, domain, is_leaving)
