"""Requests decode slots from the engines' coordinators and releases them."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.peers import network
from jujubewharf.peers import slot_messages
from jujubewharf.routing import coordinators
from jujubewharf.routing import counters
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import policy as policies

_ANSWER_MARGIN_MS = 250.0
_UNRESPONSIVE_MS = 3_000.0
_PREFILL_ANSWER_TIMEOUT_MS = 100.0


@dataclasses.dataclass(slots=True)
class _Grant:
    """A request's state at one engine: queued, promised or holding a slot."""

    coordinator: str
    since_ms: float
    is_ready: bool
    is_granted: bool = False

    @property
    def is_held(self) -> bool:
        return self.is_ready and self.is_granted


class SlotClient:
    """Slots and promises of this instance's requests.

    Args:
        context: Engine views and connections to other instances.
        clock: Time source.
    """

    def __init__(
        self, context: policies.PolicyContext, clock: clocks.Clock
    ) -> None:
        self._fleet = context.fleet
        self._peers = context.peers
        self._members = context.members
        self._clock = clock
        self._grants: dict[int, dict[str, _Grant]] = {}
        self._prefills: dict[int, tuple[str, str]] = {}
        self._unresponsive_until_ms: dict[str, float] = {}
        self._known_coordinators: dict[str, str | None] = {}
        self._coordinators = coordinators.CoordinatorCache(context.members)
        self._peers.handle(slot_messages.EngineLoads, self._on_digest)
        self._members.listen(self._on_members)

    def granted_engine(self, number: int) -> str | None:
        """Returns the engine whose slot a request holds or was promised."""
        grants = self._grants.get(number, {})
        return next(
            (n for n, grant in grants.items() if grant.is_granted), None
        )

    async def request(
        self, view: fleets.EngineView, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotReply:
        """Requests a slot; returns when it is granted or cannot be in time.

        If the coordinator cannot be reached, this instance decides itself by
        the engine's reports. The engine still refuses a request for which it
        has no slot.
        """
        coordinator = self._coordinator_of(view)
        view.requested_since_digest += 1
        grant = _Grant(coordinator, self._clock.now_ms(), ask.is_ready)
        grants = self._grants.setdefault(ask.number, {})
        grants[ask.engine] = grant
        answer = await self._send_ask(coordinator, ask)
        if answer is None and coordinator != self._peers.instance:
            self._unresponsive_until_ms[coordinator] = (
                self._clock.now_ms() + _UNRESPONSIVE_MS
            )
            counters.count_fallback()
            grant.coordinator = self._peers.instance
            answer = await self._send_ask(grant.coordinator, ask)
        if answer is None:
            answer = slot_messages.SlotReply(False)
        counters.count_slot_answer(
            is_granted=answer.is_granted, is_infeasible=answer.is_infeasible
        )
        self._apply_digests(answer.digest)
        grant.since_ms = self._clock.now_ms()
        grant.is_granted = answer.is_granted
        if not answer.is_granted and grants.get(ask.engine) is grant:
            del grants[ask.engine]
        return answer

    async def announce_prompt(
        self, view: fleets.EngineView, number: int, tokens: int
    ) -> None:
        """Announces a prompt to the coordinator and updates the digest."""
        self.end_prefill(number)
        coordinator = self._coordinator_of(view)
        self._prefills[number] = (view.endpoint.name, coordinator)
        ask = slot_messages.PrefillRequest(view.endpoint.name, number, tokens)
        try:
            digest = await self._peers.ask(
                coordinator, ask, timeout_ms=_PREFILL_ANSWER_TIMEOUT_MS
            )
        except network.PeerError:
            return
        if isinstance(digest, slot_messages.EngineLoads):
            self._apply_digests(digest.digest)

    def announced_engine(self, number: int) -> str | None:
        """Returns the engine to whose coordinator a prompt was announced."""
        prefill = self._prefills.get(number)
        return prefill[0] if prefill is not None else None

    def end_prefill(self, number: int, *, is_prefilled: bool = False) -> None:
        """Reports that prefill completed, or that it will not run."""
        prefill = self._prefills.pop(number, None)
        if prefill is not None:
            engine, coordinator = prefill
            end = slot_messages.PrefillEnd(engine, number, is_prefilled)
            self._peers.tell(coordinator, end)

    def release(self, number: int, *, keep: str | None = None) -> None:
        """Releases a request's slots, promises and queue entries.

        Args:
            number: Number of the request.
            keep: Engine whose slot is kept.
        """
        grants = self._grants.pop(number, {})
        for engine, grant in grants.items():
            if engine == keep:
                self._grants[number] = {engine: grant}
                continue
            end = slot_messages.SlotRelease(engine, number, grant.is_held)
            self._peers.tell(grant.coordinator, end)

    def _coordinator_of(self, view: fleets.EngineView) -> str:
        coordinator = self._coordinators.of(view.endpoint)
        if coordinator is None:
            return self._peers.instance
        if (
            self._unresponsive_until_ms.get(coordinator, 0.0)
            > self._clock.now_ms()
        ):
            return self._peers.instance
        return coordinator

    async def _send_ask(
        self, coordinator: str, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotReply | None:
        timeout_ms = ask.answer_in_ms + _ANSWER_MARGIN_MS
        try:
            answer = await self._peers.ask(
                coordinator, ask, timeout_ms=timeout_ms
            )
        except network.PeerError:
            return None
        if isinstance(answer, slot_messages.SlotReply):
            return answer
        return None

    def _apply_digests(
        self, digest: tuple[slot_messages.EngineLoad, ...]
    ) -> None:
        now_ms = self._clock.now_ms()
        for engine_digest in digest:
            view = self._fleet.view(engine_digest.engine)
            if view is not None:
                view.apply_digest(engine_digest, now_ms)

    async def _on_digest(
        self, peer: str, digest: slot_messages.EngineLoads
    ) -> None:
        self._apply_digests(digest.digest)

    def _on_members(self) -> None:
        """Reports held slots to the new coordinators of their engines."""
        for view in self._fleet.all_views():
            name = view.endpoint.name
            coordinator = self._coordinators.of(view.endpoint)
            if coordinator == self._known_coordinators.get(name):
                continue
            self._known_coordinators[name] = coordinator
            if coordinator is not None:
                self._report_held(name, coordinator)

    def _report_held(self, engine: str, coordinator: str) -> None:
        now_ms = self._clock.now_ms()
        held = []
        for number, grants in sorted(self._grants.items()):
            grant = grants.get(engine)
            if grant is not None and grant.is_held:
                grant.coordinator = coordinator
                held.append((number, round(now_ms - grant.since_ms)))
        if held:
            message = slot_messages.HeldSlots(engine, tuple(held))
            self._peers.tell(coordinator, message)
