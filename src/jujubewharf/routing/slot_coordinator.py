"""Coordinates engines: grants their decode slots and broadcasts their load."""

from __future__ import annotations

import asyncio
import collections
import enum

import mode

from jujubewharf import clock as clocks
from jujubewharf import ordered_service
from jujubewharf.membership import view as membership
from jujubewharf.peers import network
from jujubewharf.peers import slot_messages
from jujubewharf.routing import cache_events
from jujubewharf.routing import coordinators
from jujubewharf.routing import eligibility
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import hold_times
from jujubewharf.routing import read_ledger
from jujubewharf.routing import slot_ledger

_SERVE_INTERVAL_MS = 20.0
_IDLE_MS = 1_000.0
_MAX_QUEUE = 512
_DIGEST_BYTES_PER_S = 1_000.0
_DIGEST_BYTES = 40.0
_DIGESTS_PER_ANSWER = 4
_MIN_DIGEST_INTERVAL_MS = 500.0


class _Outcome(enum.Enum):
    """Outcome of a slot request."""

    GRANTED = "granted"
    NOT_YET = "not_yet"
    REJECTED = "rejected"


class _Queue:
    """The slot ledger of one engine and the requests that await an answer."""

    def __init__(self, ledger: slot_ledger.SlotLedger) -> None:
        self.ledger = ledger
        self.answers: dict[slot_ledger.Holder, asyncio.Future[_Outcome]] = {}
        self.reported_ms = -1.0


class SlotCoordinator(ordered_service.OrderedService):
    """Grants the decode slots of the engines that this instance coordinates.

    Args:
        fleet: Engine views.
        peers: Connections to the other instances.
        members: Membership of the instances.
        clock: Time source.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        peers: network.PeerNetwork,
        members: membership.MembershipView,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._peers = peers
        self._members = members
        self._clock = clock
        self._request_arrived = asyncio.Event()
        self._queues: dict[str, _Queue] = {}
        self._hold_times: dict[str, hold_times.HoldTimes] = {}
        self._present: frozenset[str] = frozenset()
        self._prefill_ledgers: dict[str, read_ledger.PrefillLedger] = {}
        self._digest_rotation: collections.deque[str] = collections.deque()
        self._coordinators = coordinators.CoordinatorCache(members)
        peers.handle(slot_messages.SlotRequest, self.on_ask)
        peers.handle(slot_messages.SlotRelease, self.on_end)
        peers.handle(slot_messages.HeldSlots, self.on_held)
        peers.handle(slot_messages.PrefillRequest, self.on_prefill_announced)
        peers.handle(slot_messages.PrefillEnd, self.on_prefill_end)
        members.listen(self._on_members)

    async def on_start(self) -> None:
        """Starts the follower of the coordinated engines' cache events."""
        await self.add_runtime_dependency(
            cache_events.CacheFollower(
                self._fleet, self._coordinated_views, self._clock
            )
        )

    def is_coordinator(self, view: fleets.EngineView) -> bool:
        """Whether this instance coordinates an engine."""
        return self._coordinators.of(view.endpoint) == self._peers.instance

    def _coordinated_views(self) -> list[fleets.EngineView]:
        return [v for v in self._fleet.all_views() if self.is_coordinator(v)]

    def _answer_digests(
        self, engine: str
    ) -> tuple[slot_messages.EngineLoad, ...]:
        """Returns digests of the requested engine and of a few others.

        Including all coordinated engines would make answers grow with the
        fleet.
        """
        views = [self._fleet.view(engine)]
        count = min(_DIGESTS_PER_ANSWER, len(self._digest_rotation))
        for _ in range(count):
            self._digest_rotation.rotate(-1)
            if self._digest_rotation[0] != engine:
                views.append(self._fleet.view(self._digest_rotation[0]))
        return tuple(
            self._digest_of(view) for view in views if view is not None
        )

    async def on_ask(
        self, peer: str, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotReply:
        """Answers once the slot is granted or cannot be granted in time."""
        view = self._fleet.view(ask.engine)
        if view is None or not view.takes_work:
            return self._refusal(ask.engine, 0.0, is_infeasible=True)
        queue = self._queue_of(view, ask.hold_ms)
        if len(queue.answers) >= _MAX_QUEUE:
            return self._refusal(
                ask.engine, queue.ledger.wait_ms(), is_infeasible=True
            )
        request = _slot_request(peer, ask, self._clock.now_ms())
        outcome = await self._wait(queue, request, ask.answer_in_ms)
        if outcome is not _Outcome.GRANTED:
            is_infeasible = outcome is _Outcome.REJECTED
            wait_ms = queue.ledger.wait_ms()
            return self._refusal(
                ask.engine, wait_ms, is_infeasible=is_infeasible
            )
        return slot_messages.SlotReply(
            True,
            free_in_ms=0 if ask.is_ready else ask.ready_in_ms,
            expires_in_ms=ask.ready_in_ms + slot_ledger.PROMISE_LASTS_MS,
            digest=self._answer_digests(ask.engine),
        )

    async def on_end(self, peer: str, end: slot_messages.SlotRelease) -> None:
        """Frees a slot or a promise, or removes a request from the queue."""
        queue = self._queues.get(end.engine)
        if queue is None:
            return
        holder = slot_ledger.Holder(peer, end.number)
        queue.ledger.release(holder, self._clock.now_ms(), was_held=end.is_held)
        self._answer(queue, holder, _Outcome.NOT_YET)
        self._serve(queue)

    async def on_held(self, peer: str, held: slot_messages.HeldSlots) -> None:
        """Records slots that the engine's previous coordinator granted."""
        view = self._fleet.view(held.engine)
        if view is None:
            return
        queue = self._queue_of(view, 0)
        now_ms = self._clock.now_ms()
        for number, age_ms in held.held:
            holder = slot_ledger.Holder(peer, number)
            queue.ledger.record_held(holder, now_ms - age_ms)

    async def on_prefill_announced(
        self, peer: str, ask: slot_messages.PrefillRequest
    ) -> slot_messages.EngineLoads:
        """Records a prompt about to be sent; returns the load ahead of it."""
        digest = self._answer_digests(ask.engine)
        now_ms = self._clock.now_ms()
        prefills = self._prefill_ledgers.get(ask.engine)
        if prefills is None:
            prefills = self._prefill_ledgers[ask.engine] = (
                read_ledger.PrefillLedger(now_ms)
            )
        holder = slot_ledger.Holder(peer, ask.number)
        transfer_ms = self._transfer_ms(ask.engine, ask.tokens)
        prefills.begin(holder, ask.tokens, transfer_ms, now_ms)
        return slot_messages.EngineLoads(digest)

    async def on_prefill_end(
        self, peer: str, end: slot_messages.PrefillEnd
    ) -> None:
        """Records that a prefill completed, failed or was cancelled."""
        prefills = self._prefill_ledgers.get(end.engine)
        if prefills is not None:
            holder = slot_ledger.Holder(peer, end.number)
            prefills.end(
                holder, self._clock.now_ms(), is_prefilled=end.is_prefilled
            )

    def _transfer_ms(self, engine: str, tokens: int) -> float:
        """Returns the time to transfer a prompt's KV cache over the link."""
        view = self._fleet.view(engine)
        if view is None:
            return 0.0
        service = self._fleet.service(view.endpoint.service)
        model = service.model if service is not None else ""
        kv_bytes = tokens * self._fleet.kv_bytes_per_token(model)
        return kv_bytes / view.endpoint.link_bytes_per_s * clocks.MS_PER_S

    async def _wait(
        self, queue: _Queue, request: slot_ledger.SlotRequest, timeout_ms: float
    ) -> _Outcome:
        self._answer(queue, request.holder, _Outcome.NOT_YET)
        future: asyncio.Future[_Outcome]
        future = asyncio.get_running_loop().create_future()
        queue.answers[request.holder] = future
        self._request_arrived.set()
        queue.ledger.enqueue(request)
        self._serve(queue)
        try:
            async with self._clock.timeout_ms(timeout_ms):
                return await future
        except TimeoutError:
            self._remove(queue, request.holder, future)
            return _Outcome.NOT_YET
        except asyncio.CancelledError:
            self._remove(queue, request.holder, future)
            raise

    def _remove(
        self,
        queue: _Queue,
        holder: slot_ledger.Holder,
        future: asyncio.Future[_Outcome],
    ) -> None:
        """Removes a slot request, unless its holder has since made another."""
        if queue.answers.get(holder) is future:
            del queue.answers[holder]
            queue.ledger.release(holder, self._clock.now_ms())

    def _serve(self, queue: _Queue) -> None:
        now_ms = self._clock.now_ms()
        for request in queue.ledger.reject_late(now_ms):
            self._answer(queue, request.holder, _Outcome.REJECTED)
        while (granted := queue.ledger.grant_next(now_ms)) is not None:
            self._answer(queue, granted.holder, _Outcome.GRANTED)

    def _answer(
        self, queue: _Queue, holder: slot_ledger.Holder, outcome: _Outcome
    ) -> None:
        future = queue.answers.pop(holder, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _refusal(
        self, engine: str, wait_ms: float, *, is_infeasible: bool = False
    ) -> slot_messages.SlotReply:
        return slot_messages.SlotReply(
            False,
            wait_ms=round(wait_ms),
            is_infeasible=is_infeasible,
            digest=self._answer_digests(engine),
        )

    def _queue_of(self, view: fleets.EngineView, hold_ms: int) -> _Queue:
        name = view.endpoint.name
        queue = self._queues.get(name)
        if queue is None:
            service = view.endpoint.service
            service_hold_times = self._hold_times.get(service)
            if service_hold_times is None:
                service_hold_times = hold_times.HoldTimes(
                    float(hold_ms or 1_000)
                )
                self._hold_times[service] = service_hold_times
            ledger = slot_ledger.SlotLedger(
                view.endpoint.slots, service_hold_times
            )
            queue = self._queues[name] = _Queue(ledger)
        self._apply_report(queue, view)
        return queue

    def _apply_report(self, queue: _Queue, view: fleets.EngineView) -> None:
        if view.report is None or view.report_received_ms is None:
            return
        if view.report_received_ms > queue.reported_ms:
            queue.reported_ms = view.report_received_ms
            queue.ledger.apply_report(
                view.report.slots_total, view.report.slots_used
            )

    def _digest_of(self, view: fleets.EngineView) -> slot_messages.EngineLoad:
        report = view.report
        queue = self._queues.get(view.endpoint.name)
        if queue is None:
            used = report.slots_used if report is not None else 0
            free, wait_ms = view.endpoint.slots - used, 0.0
        else:
            free, wait_ms = queue.ledger.net_free, queue.ledger.wait_ms()
        return slot_messages.EngineLoad(
            view.endpoint.name,
            free,
            round(wait_ms),
            self._queued_tokens(view),
            self._is_usable(view),
            round(view.step_ms),
            round(self._link_ms(view)),
        )

    def _link_ms(self, view: fleets.EngineView) -> float:
        prefills = self._prefill_ledgers.get(view.endpoint.name)
        return prefills.link_ms(self._clock.now_ms()) if prefills else 0.0

    def _queued_tokens(self, view: fleets.EngineView) -> int:
        report = view.report
        reported = report.prefill_queued_tokens if report is not None else 0
        prefills = self._prefill_ledgers.get(view.endpoint.name)
        if prefills is None:
            return reported
        return prefills.queued_tokens(reported, self._clock.now_ms())

    def _is_usable(self, view: fleets.EngineView) -> bool:
        service = self._fleet.service(view.endpoint.service)
        has_model = service is None or eligibility.has_model(view, service)
        return view.takes_work and has_model

    def _on_members(self) -> None:
        present = frozenset(m.instance for m in self._members.present())
        for departed in sorted(self._present - present):
            for queue in self._queues.values():
                queue.ledger.remove_instance(departed)
            for prefills in self._prefill_ledgers.values():
                prefills.remove_instance(departed)
        self._present = present
        for name, queue in list(self._queues.items()):
            view = self._fleet.view(name)
            if view is None or not self.is_coordinator(view):
                self._close_queue(name, queue)
        for name in list(self._prefill_ledgers):
            view = self._fleet.view(name)
            if view is None or not self.is_coordinator(view):
                del self._prefill_ledgers[name]

    def _close_queue(self, name: str, queue: _Queue) -> None:
        """Ends all waits, so that requesters turn to the new coordinator."""
        for holder in list(queue.answers):
            self._answer(queue, holder, _Outcome.NOT_YET)
        del self._queues[name]

    @mode.Service.task
    async def _serve_queues(self) -> None:
        while not self.should_stop:
            await self._wait_for_requests()
            await self._clock.sleep_ms(_SERVE_INTERVAL_MS)
            for name, queue in list(self._queues.items()):
                view = self._fleet.view(name)
                if view is not None:
                    self._apply_report(queue, view)
                if queue.answers:
                    self._serve(queue)

    async def _wait_for_requests(self) -> None:
        """Waits for a request, or at most a second to apply load reports."""
        if any(queue.answers for queue in self._queues.values()):
            return
        self._request_arrived.clear()
        try:
            async with self._clock.timeout_ms(_IDLE_MS):
                await self._request_arrived.wait()
        except TimeoutError:
            return

    @mode.Service.task
    async def _broadcast_digests(self) -> None:
        while not self.should_stop:
            other_instances = sorted(self._present - {self._peers.instance})
            coordinated = self._coordinated_views()
            self._digest_rotation = collections.deque(
                v.endpoint.name for v in coordinated
            )
            digest = tuple(self._digest_of(view) for view in coordinated)
            size_bytes = (
                _DIGEST_BYTES * (1 + len(digest)) * max(1, len(other_instances))
            )
            pause_ms = size_bytes / _DIGEST_BYTES_PER_S * clocks.MS_PER_S
            await self._clock.sleep_ms(max(pause_ms, _MIN_DIGEST_INTERVAL_MS))
            if digest:
                for other_instance in other_instances:
                    self._peers.tell(
                        other_instance, slot_messages.EngineLoads(digest)
                    )


def _slot_request(
    peer: str, ask: slot_messages.SlotRequest, now_ms: float
) -> slot_ledger.SlotRequest:
    return slot_ledger.SlotRequest(
        slot_ledger.Holder(peer, ask.number),
        ready_in_ms=ask.ready_in_ms,
        latest_at_ms=now_ms + ask.latest_in_ms,
        priority=ask.priority,
        waste_weight=ask.waste_weight,
        is_ready=ask.is_ready,
    )
