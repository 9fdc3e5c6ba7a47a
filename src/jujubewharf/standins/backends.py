"""In-memory engines and plain endpoints for tests of request forwarding.

Memory is either reserved or refused, a prefill result can be fetched once, and
a run ends with its connection. Faults are injected through attributes.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import copy
import itertools

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import notices
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports
from jujubewharf.standins import backend_state

_ENDLESS_MS = 1e9


class StandInBackends:
    """Implements ``ports.Backends`` with stand-ins.

    Args:
        clock: Clock of the simulation.
        backends: Engines and endpoints.

    Attributes:
        by_name: Engines and endpoints by name.
        runs: Started runs, in order.
        prefills: Request id and engine name of each prefill, in order.
        dropped: Handles of prefill results that were dropped.
        instance: Name of the calling instance.
        crashing_bodies: Request bodies that crash the backend that runs them.
        crashing_parts: Parts of prompts that crash each engine that runs a
            request with one of them.
        crash_after_ms: Time from the start of such a run to the crash.
        crashes: Crashes caused by such bodies, in order.
        crash_callbacks: Callbacks called with each crashed backend.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        backends: Iterable[backend_state.StandInBackend],
    ) -> None:
        self.by_name = {backend.name: backend for backend in backends}
        self.runs: list[backend_state.StartedRun] = []
        self.prefills: list[tuple[str, str]] = []
        self.dropped: list[str] = []
        self.instance = ""
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: set[str] = set()
        self.crash_after_ms = 60.0
        self.crashes: list[backend_state.BackendCrash] = []
        self.crash_callbacks: list[
            Callable[[backend_state.StandInBackend], object]
        ] = []
        self._clock = clock
        self._sources: set[str] = set()
        self._numbers = itertools.count(1)
        self._change_checks: list[str] = []
        self._listener: notices.Listener = notices.ignore_notice

    @property
    def checks(self) -> int:
        """Number of ``is_changing`` calls."""
        return len(self._change_checks)

    def for_instance(self, instance: str) -> StandInBackends:
        """Returns a view of the same backends for a calling instance."""
        view = copy.copy(self)
        view.instance = instance
        return view

    def listen(self, listener: notices.Listener) -> None:
        """Sets the listener for notices; see ``ports.Backends``."""
        self._listener = listener

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, sending: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Runs a request; see ``ports.Backends``."""
        backend = self._reachable_backend(endpoint)
        received_ms = self._record_request(backend, sending)
        self._check_takes_run(backend, sending)
        self.remove_expired_reservations()
        held = backend.held.pop(sending.hold or "", 0)
        request_id = sending.call.request_id
        self.runs.append(
            backend_state.StartedRun(
                request_id,
                backend.name,
                sending.after_event,
                sending.source is not None,
                self._clock.now_ms(),
                sending.call.account,
                sending.call.headers,
            )
        )
        slot = self._new_id("run")
        backend.held[slot] = held
        backend.running_requests.add(request_id)
        if self._crashes_engines(sending.call):
            self._schedule_crash(backend, sending.call)
        try:
            if backend.loses_answers:
                raise backend.error(client.EngineFault.LOST, "lost")
            if backend.is_silent:
                await self._clock.sleep_ms(_ENDLESS_MS)
            is_plain = backend.endpoint.role is resources.Role.PLAIN
            if is_plain and not backend.is_streaming:
                await self._process(backend, sending.call)
                self._notify(backend, received_ms, ends_limit=True)
                yield calls.Reply(
                    backend.status,
                    (backend_state.PROOF_HEADER,),
                    _single_chunk(request_id.encode()),
                )
            else:
                self._notify(backend, received_ms, ends_limit=True)
                body = self._events(backend, sending)
                yield calls.Reply(
                    backend.status,
                    (backend_state.PROOF_HEADER,),
                    body,
                    is_framed=backend.is_framed,
                )
        finally:
            backend.running_requests.discard(request_id)
            backend.held.pop(slot, None)

    def _check_takes_run(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
    ) -> None:
        if backend.is_changing:
            raise backend.error(client.EngineFault.REFUSED_FULL)
        if backend.endpoint.role is resources.Role.PREFILL:
            raise backend.error(client.EngineFault.REFUSED_ROLE)
        if backend.slots is not None and backend.slots.is_full:
            backend.slots.rejected += 1
            self._notify(backend, self._clock.now_ms())
            raise backend.error(client.EngineFault.REFUSED_FULL)
        if sending.source is None:
            return
        handle = sending.source.handle
        if backend.refuses_sources or handle not in self._sources:
            raise backend.error(client.EngineFault.REFUSED_FULL)
        self._sources.discard(handle)

    async def _events(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
    ) -> AsyncIterator[bytes]:
        first = (sending.after_event or 0) + 1
        for number in range(first, backend.events + 1):
            try:
                await self._sleep_unless_crashed(backend, backend.event_ms)
            except client.EngineError:
                if backend.is_framed:
                    raise
                # The end of the connection is the end of such a body.
                return
            if number == backend.events and self._crashes_engines(sending.call):
                await self._sleep_unless_crashed(backend, _ENDLESS_MS)
            if number == backend.skipped_event:
                continue
            yield event(
                sending.call.request_id, number, backend.software_version
            )
            if number == backend.breaks_after:
                yield b"id: "
                raise backend.error(client.EngineFault.LOST, "broke off")
            if number == backend.ends_after:
                yield b"id: "
                return
            if number == backend.stalls_after:
                await self._clock.sleep_ms(_ENDLESS_MS)

    async def prefill(
        self, endpoint: resources.Endpoint, sending: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Prefills a prompt; see ``ports.Backends``."""
        backend = self._reachable_backend(endpoint)
        if backend.endpoint.role is not resources.Role.PREFILL:
            raise backend.error(client.EngineFault.REFUSED_ROLE)
        received_ms = self._record_request(backend, sending)
        if backend.rejects_prefills or backend.is_changing:
            backend.rejected_prefills += 1
            raise backend.error(client.EngineFault.REFUSED_FULL)
        assert sending.call.work is not None
        tokens = sending.call.work.prompt_tokens
        await self._sleep_unless_crashed(
            backend, tokens * backend.prefill_token_ms
        )
        self._notify(backend, received_ms)
        self.prefills.append((sending.call.request_id, backend.name))
        if backend.loses_prefills:
            raise backend.error(client.EngineFault.LOST, "lost")
        handle = self._new_id("source")
        self._sources.add(handle)
        return calls.PrefillSource(endpoint.address, handle)

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.PrefillSource
    ) -> None:
        """Drops a prefill result; see ``ports.Backends``."""
        self._reachable_backend(endpoint)
        self._sources.discard(source.handle)
        self.dropped.append(source.handle)

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""
        backend = self._reachable_backend(endpoint)
        now_ms = self._clock.now_ms()
        backend.received_reservations.append(
            backend_state.ReceivedRequest(self.instance, now_ms)
        )
        self._check_backoff(backend)
        self._notify(backend, now_ms)
        self.remove_expired_reservations()
        if sum(backend.held.values()) + tokens > backend.memory_tokens:
            raise backend.error(client.EngineFault.REFUSED_FULL)
        hold = self._new_id("hold")
        backend.held[hold] = tokens
        backend.expires_ms[hold] = self._clock.now_ms() + ttl_ms
        return hold

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Releases a reservation; see ``ports.Backends``."""
        self._reachable_backend(endpoint).held.pop(hold, None)

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an order is being executed; see ``ports.Backends``."""
        self._change_checks.append(endpoint.name)
        backend = self._reachable_backend(endpoint)
        if backend.is_restarted:
            # Its report states another start than the caller expects.
            raise backend.error(client.EngineFault.REFUSED_IDENTITY)
        return backend.is_changing

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        """Accepts an order; see ``ports.Backends``."""
        backend = self._reachable_backend(endpoint)
        fault, backend.next_fault = backend.next_fault, None
        if fault is not None:
            raise backend.error(fault)
        backend.orders.append(order)

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether a connection can be opened; see ``ports.Backends``."""
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            return False
        return not (backend.is_unreachable or backend.has_crashed.is_set())

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether the process has crashed; see ``ports.Backends``."""
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            return False
        return backend.has_crashed.is_set() and not backend.is_cut

    def crash(self, backend: backend_state.StandInBackend) -> None:
        """Crashes a backend and all its runs."""
        if backend.has_crashed.is_set():
            return
        backend.has_crashed.set()
        for callback in self.crash_callbacks:
            callback(backend)

    def _response_ms(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> float:
        """Returns the response time, or an endless one for crashing bodies."""
        return _ENDLESS_MS if self._crashes_engines(call) else backend.work_ms

    async def _process(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> None:
        """Takes the response time of a plain endpoint, in a slot if any."""
        work_ms = self._response_ms(backend, call)
        if backend.slots is None:
            await self._sleep_unless_crashed(backend, work_ms)
            return
        async with backend.slots.occupied():
            work_ms *= backend.slots.slowdown
            await self._sleep_unless_crashed(backend, work_ms)

    def _crashes_engines(self, call: calls.Call) -> bool:
        is_bad_body = call.body in self.crashing_bodies
        return is_bad_body or not self.crashing_parts.isdisjoint(
            call.shared_parts
        )

    def _schedule_crash(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> None:
        def crash() -> None:
            if not backend.has_crashed.is_set():
                now_ms = self._clock.now_ms()
                self.crashes.append(
                    backend_state.BackendCrash(
                        call.body, backend.name, now_ms, call.shared_parts
                    )
                )
                self.crash(backend)

        at_ms = self._clock.now_ms() + self.crash_after_ms
        self._clock.call_at_ms(at_ms, crash)

    async def _sleep_unless_crashed(
        self, backend: backend_state.StandInBackend, for_ms: float
    ) -> None:
        """Waits for a duration or until the backend crashes.

        Raises:
            EngineError: The backend has crashed.
        """
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(for_ms):
                await backend.has_crashed.wait()
            raise backend.error(client.EngineFault.LOST, "crashed")

    def remove_expired_reservations(self) -> None:
        """Removes expired reservations."""
        now_ms = self._clock.now_ms()
        for backend in self.by_name.values():
            for hold, until_ms in list(backend.expires_ms.items()):
                if now_ms >= until_ms:
                    del backend.expires_ms[hold]
                    backend.held.pop(hold, None)

    def _reachable_backend(
        self, endpoint: resources.Endpoint
    ) -> backend_state.StandInBackend:
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            # An entry of another writer: nobody listens at its address.
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name, "nobody listens")
        if backend.is_unreachable or backend.has_crashed.is_set():
            raise backend.error(client.EngineFault.UNREACHABLE)
        if backend.is_replaced:
            raise backend.error(client.EngineFault.REFUSED_IDENTITY)
        return backend

    def _record_request(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
    ) -> float:
        """Records a request to a backend and returns its time in clock ms.

        Raises:
            EngineError: The backend asks callers to back off.
        """
        now_ms = self._clock.now_ms()
        call = sending.call
        backend.received_requests.append(
            backend_state.ReceivedRequest(
                self.instance,
                now_ms,
                call.body,
                call.request_id,
                call.shared_parts,
            )
        )
        self._check_backoff(backend)
        return now_ms

    def _check_backoff(self, backend: backend_state.StandInBackend) -> None:
        if backend.backoff_ms <= 0.0:
            return
        self._notify(
            backend, self._clock.now_ms(), backoff_ms=backend.backoff_ms
        )
        raise backend.error(client.EngineFault.REFUSED_FULL)

    def _notify(
        self,
        backend: backend_state.StandInBackend,
        received_ms: float,
        *,
        ends_limit: bool = False,
        backoff_ms: float = 0.0,
    ) -> None:
        limit = backend.rate_limit_per_s
        notice = notices.Notice(
            received_ms,
            rate_limit_per_s=limit,
            ends_limit=ends_limit and limit is None,
            is_leaving=backend.is_leaving,
            backoff_ms=backoff_ms,
            load=backend.reported_load,
        )
        if limit is not None or backend.is_leaving or backoff_ms:
            now_ms = self._clock.now_ms()
            backend.announced_ms.setdefault(self.instance, now_ms)
        self._listener(backend.endpoint, notice)

    def _new_id(self, kind: str) -> str:
        return f"{kind}{next(self._numbers)}"


def event(request_id: str, number: int, version: str = "") -> bytes:
    """Returns one server-sent event of a stand-in's answer.

    Args:
        request_id: Id of the request.
        number: Number of the event.
        version: Software version of the engine, if it has one.
    """
    data = " ".join(part for part in (request_id, version) if part)
    return f"id: {number}\ndata: {data}\n\n".encode()


async def _single_chunk(part: bytes) -> AsyncIterator[bytes]:
    yield part
