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
from jujubewharf.engines import liveness
from jujubewharf.engines import notices
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports
from jujubewharf.standins import answer_bodies
from jujubewharf.standins import backend_processes
from jujubewharf.standins import backend_state
from jujubewharf.standins import endpoint_cuts
from jujubewharf.standins import process_watches


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
        self._processes = backend_processes.Processes(clock, self.by_name)
        self._bodies = answer_bodies.AnswerBodies(
            self._processes, clock, self._crashes_engines
        )
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
        backend = await self._processes.connect(
            endpoint,
            unheard=lambda found: self._start_closed_run(found, sending),
        )
        received_ms = self._clock.now_ms()
        run, held = self._start_run(backend, sending)
        request_id = sending.call.request_id
        slot = self._new_id("run")
        backend.held[slot] = held
        backend.running_requests.add(request_id)
        if self._crashes_engines(sending.call):
            self._schedule_crash(backend, sending.call)
        try:
            if backend.loses_answers:
                raise backend.error(client.EngineFault.LOST, "lost")
            if backend.is_silent:
                await self._clock.sleep_ms(answer_bodies.ENDLESS_MS)
            is_plain = backend.endpoint.role is resources.Role.PLAIN
            if is_plain and not backend.is_streaming and backend.is_framed:
                await self._process(backend, sending.call)
                self._notify(backend, received_ms, ends_limit=True)
                yield calls.Reply(
                    backend.status,
                    (backend_state.PROOF_HEADER,),
                    _single_chunk(request_id.encode()),
                )
            else:
                self._notify(backend, received_ms, ends_limit=True)
                is_framed = backend.is_framed
                body = (
                    self._bodies.pieces(backend, sending.call)
                    if is_plain and not backend.is_streaming
                    else self._bodies.events(
                        backend, sending, run, is_framed=is_framed
                    )
                )
                async with contextlib.aclosing(body):
                    yield calls.Reply(
                        backend.status,
                        (backend_state.PROOF_HEADER,),
                        body,
                        is_framed=is_framed,
                    )
        finally:
            run.progress.closed_ms = self._clock.now_ms()
            backend.pauses.when_running(
                lambda: self._end_run(backend, request_id, slot)
            )

    def _start_run(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
    ) -> tuple[backend_state.StartedRun, int]:
        """Records that a backend starts a run.

        Returns:
            The run, and the memory reserved for it in tokens.

        Raises:
            EngineError: It refuses the run.
        """
        self._record_request(backend, sending)
        self._check_takes_run(backend, sending)
        self.remove_expired_reservations()
        run = backend_state.StartedRun(
            sending.call.request_id,
            backend.name,
            sending.after_event,
            sending.source is not None,
            self._clock.now_ms(),
            sending.call.account,
            sending.call.headers,
        )
        self.runs.append(run)
        return run, backend.held.pop(sending.hold or "", 0)

    def _start_closed_run(
        self,
        backend: backend_state.StandInBackend,
        sending: calls.OutboundRequest,
    ) -> None:
        run, _ = self._start_run(backend, sending)
        run.progress.closed_ms = self._clock.now_ms()

    def _end_run(
        self, backend: backend_state.StandInBackend, request_id: str, slot: str
    ) -> None:
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

    async def prefill(
        self, endpoint: resources.Endpoint, sending: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Prefills a prompt; see ``ports.Backends``."""
        until_ms = self._clock.now_ms() + sending.left_ms
        backend = await self._processes.connect(endpoint, until_ms=until_ms)
        if backend.endpoint.role is not resources.Role.PREFILL:
            raise backend.error(client.EngineFault.REFUSED_ROLE)
        received_ms = self._record_request(backend, sending)
        if backend.rejects_prefills or backend.is_changing:
            backend.rejected_prefills += 1
            raise backend.error(client.EngineFault.REFUSED_FULL)
        assert sending.call.work is not None
        tokens = sending.call.work.prompt_tokens
        await self._processes.sleep_unless_crashed(
            backend, tokens * backend.prefill_token_ms, until_ms=until_ms
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
        await self._processes.connect(
            endpoint, until_ms=self._processes.state_until_ms()
        )
        self._sources.discard(source.handle)
        self.dropped.append(source.handle)

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""

        def hold_memory(backend: backend_state.StandInBackend) -> str:
            return self._hold_memory(backend, tokens, ttl_ms)

        backend = await self._processes.connect(
            endpoint,
            until_ms=self._processes.state_until_ms(),
            unheard=hold_memory,
        )
        now_ms = self._clock.now_ms()
        backend.received_reservations.append(
            backend_state.ReceivedRequest(self.instance, now_ms)
        )
        self._check_backoff(backend)
        self._notify(backend, now_ms)
        return hold_memory(backend)

    def _hold_memory(
        self, backend: backend_state.StandInBackend, tokens: int, ttl_ms: float
    ) -> str:
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
        backend = await self._processes.connect(
            endpoint,
            until_ms=self._processes.state_until_ms(),
            unheard=lambda found: found.held.pop(hold, None),
        )
        backend.held.pop(hold, None)

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an order is being executed; see ``ports.Backends``."""
        self._change_checks.append(endpoint.name)
        backend = await self._processes.connect(
            endpoint, until_ms=self._processes.state_until_ms()
        )
        if backend.is_restarted:
            # Its report states another start than the caller expects.
            raise backend.error(client.EngineFault.REFUSED_IDENTITY)
        return backend.is_changing

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        """Accepts an order; see ``ports.Backends``."""
        backend = await self._processes.connect(
            endpoint,
            until_ms=self._processes.state_until_ms(),
            unheard=lambda found: found.orders.append(order),
        )
        fault, backend.next_fault = backend.next_fault, None
        if fault is not None:
            raise backend.error(fault)
        backend.orders.append(order)

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Whether a connection can be opened; see ``ports.Backends``."""
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            return False
        if backend.is_dark:
            await self._clock.sleep_ms(endpoint_cuts.CONNECT_TIMEOUT_MS)
            return False
        if backend.is_unreachable:
            return False
        return self._accepts_connections(backend)

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether the process has crashed; see ``ports.Backends``."""
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            return False
        return not self._accepts_connections(backend) and not backend.is_cut

    async def process_state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Whether the process exists; see ``ports.Backends``."""
        backend = self.by_name.get(endpoint.name)
        if backend is None:
            return liveness.ProcessState.UNKNOWN
        if backend.is_cut or backend.is_unreachable:
            return liveness.ProcessState.UNKNOWN
        if backend.has_crashed.is_set():
            # Its kernel accepts connections, on which nobody replies.
            return (
                liveness.ProcessState.SILENT
                if self._accepts_connections(backend)
                else liveness.ProcessState.GONE
            )
        if backend.is_paused:
            await self._clock.sleep_ms(endpoint_cuts.CONNECT_TIMEOUT_MS)
            return liveness.ProcessState.UNKNOWN
        return liveness.ProcessState.RUNNING

    def watch_process(
        self, endpoint: resources.Endpoint
    ) -> process_watch.ProcessWatch:
        """Watches a backend's process; see ``ports.Backends``."""
        return process_watches.StandInWatch(
            self.by_name.get(endpoint.name),
            lambda: self.process_state(endpoint),
        )

    def _accepts_connections(
        self, backend: backend_state.StandInBackend
    ) -> bool:
        is_listening = self._clock.now_ms() < backend.listens_until_ms
        return is_listening or not backend.has_crashed.is_set()

    def crash(self, backend: backend_state.StandInBackend) -> None:
        """Crashes a backend and all its runs."""
        if backend.has_crashed.is_set():
            return
        now_ms = self._clock.now_ms()
        backend.listens_until_ms = now_ms + backend.listens_on_ms
        backend.has_crashed.set()
        backend.resume()
        for callback in self.crash_callbacks:
            callback(backend)

    def _response_ms(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> float:
        """Returns the response time, or an endless one for crashing bodies."""
        return (
            answer_bodies.ENDLESS_MS
            if self._crashes_engines(call)
            else backend.work_ms
        )

    async def _process(
        self, backend: backend_state.StandInBackend, call: calls.Call
    ) -> None:
        """Takes the response time of a plain endpoint, in a slot if any."""
        work_ms = self._response_ms(backend, call)
        if backend.slots is None:
            await self._processes.sleep_unless_crashed(backend, work_ms)
            return
        async with backend.slots.occupied():
            work_ms *= backend.slots.slowdown
            await self._processes.sleep_unless_crashed(backend, work_ms)

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

    def remove_expired_reservations(self) -> None:
        """Removes expired reservations."""
        now_ms = self._clock.now_ms()
        for backend in self.by_name.values():
            for hold, until_ms in list(backend.expires_ms.items()):
                if now_ms >= until_ms:
                    del backend.expires_ms[hold]
                    backend.held.pop(hold, None)

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


async def _single_chunk(part: bytes) -> AsyncIterator[bytes]:
    yield part
