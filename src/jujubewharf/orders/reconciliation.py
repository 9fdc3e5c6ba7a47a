"""Reconciles one engine: claims its lease, drains, orders and verifies it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import follower
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.orders import counters
from jujubewharf.orders import disruption_limits
from jujubewharf.orders import leases as leasing
from jujubewharf.orders import plan
from jujubewharf.orders import records
from jujubewharf.platform import weights
from jujubewharf.routing import fleet as fleets

_POLL_MS = 250.0
_IDLE_MS = 1_500.0
_RESEND_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReconciliationContext:
    """Dependencies of a reconciliation.

    Attributes:
        leases: Leases on the log.
        fleet: Clients of the engines.
        configuration: Declared resources.
        weight_store: Store from which engines load weights.
        clock: Time source.
        drain_timeout_ms: Maximum wait until an engine holds no request.
        timeout_ms: Maximum duration of a reconciliation.
    """

    leases: leasing.Leases
    fleet: fleets.Fleet
    configuration: follower.ConfigurationFollower
    weight_store: weights.WeightStore
    clock: clocks.Clock
    drain_timeout_ms: float = 120_000.0
    timeout_ms: float = 600_000.0


class Reconciliation:
    """Brings one engine to its declared state, under a lease.

    Args:
        engine: Name of the engine.
        purpose: Purpose of the lease.
        context: Dependencies.
    """

    def __init__(
        self,
        engine: str,
        purpose: records.Purpose,
        context: ReconciliationContext,
    ) -> None:
        self._engine = engine
        self._purpose = purpose
        self._context = context
        self._clock = context.clock
        self._leases = context.leases
        self._is_order_in_flight = False
        self._logger = structlog.get_logger().bind(engine=engine)

    async def run(self) -> disruption_limits.DeferralReason | None:
        """Runs the reconciliation.

        Returns:
            Why the engine is not yet as declared, or ``None`` if it is.
        """
        reason = await self._deferral(before_fence=None)
        if reason is not None:
            return reason
        lease = await self._leases.claim(self._engine, self._purpose)
        if lease is None:
            return disruption_limits.DeferralReason.HELD
        renewal = asyncio.create_task(self._renew(lease))
        try:
            async with self._clock.timeout_ms(self._context.timeout_ms):
                return await self._run_with_lease(lease)
        except TimeoutError:
            return disruption_limits.DeferralReason.LEASE_ENDED
        finally:
            renewal.cancel()
            # An order still in flight could arrive after one of the next
            # holder, so in that case the lease is left to expire.
            if not self._is_order_in_flight:
                await self._leases.release(lease)

    async def _run_with_lease(
        self, lease: leasing.Lease
    ) -> disruption_limits.DeferralReason | None:
        reason = await self._deferral(before_fence=lease.fence)
        if reason is None and self._purpose is not records.Purpose.ADAPTER:
            reason = await self._drain(lease)
        if reason is None:
            reason = await self._send_orders(lease)
        return reason

    async def _renew(self, lease: leasing.Lease) -> None:
        while True:
            await self._clock.sleep_until_ms(self._leases.renew_at_ms(lease))
            if not self._leases.may_order(lease):
                return
            if not await self._leases.renew(lease):
                await self._clock.sleep_ms(_POLL_MS)

    async def _deferral(
        self, *, before_fence: int | None
    ) -> disruption_limits.DeferralReason | None:
        endpoint = self._endpoint()
        report = await self._probe(endpoint) if endpoint else None
        if endpoint is None or report is None:
            return disruption_limits.DeferralReason.UNREACHABLE
        if self._purpose is records.Purpose.ADAPTER:
            return None
        service = self._service(endpoint)
        if service is not None and disruption_limits.is_serving(
            service, endpoint, report
        ):
            reason = await self._deferral_by_service(
                service, endpoint, report, before_fence
            )
            if reason is not None:
                return reason
        if self._purpose is records.Purpose.LOAD:
            return await self._deferral_by_store(endpoint, before_fence)
        return None

    async def _deferral_by_service(
        self,
        service: resources.Service,
        endpoint: resources.Endpoint,
        report: client.LoadReport,
        before_fence: int | None,
    ) -> disruption_limits.DeferralReason | None:
        out_of_service = self._out_of_service(before_fence)
        pool = self._pool(service)
        if disruption_limits.is_limit_reached(pool, out_of_service):
            return disruption_limits.DeferralReason.MANY_OUT
        others = [other for other in pool if other.name not in out_of_service]
        is_last = await disruption_limits.is_last_serving(
            service, endpoint, report, others, self._probe
        )
        return (
            disruption_limits.DeferralReason.LAST_FITTING if is_last else None
        )

    async def _deferral_by_store(
        self, endpoint: resources.Endpoint, before_fence: int | None
    ) -> disruption_limits.DeferralReason | None:
        try:
            status = await self._context.weight_store.status()
        except weights.WeightStoreUnavailableError:
            return disruption_limits.DeferralReason.STORE_DOWN
        model = self._context.configuration.current.get(
            resources.Kind.MODEL, endpoint.model
        )
        declared = model.resource if model else resources.Model(endpoint.model)
        assert isinstance(declared, resources.Model)
        max_loads = disruption_limits.max_loads(
            status.rate_bytes_per_s, declared.weight_bytes
        )
        loads = self._count_loads(before_fence)
        is_full = max(loads, status.active_fetches) >= max_loads
        return disruption_limits.DeferralReason.STORE_BUSY if is_full else None

    async def _drain(
        self, lease: leasing.Lease
    ) -> disruption_limits.DeferralReason | None:
        """Waits until the engine has held no requests for a while.

        The claim on the log has taken the engine out of service, but instances
        learn of it only with their next read of the stream, so requests may
        still arrive. If a request does not end in time, it is not aborted; the
        order is deferred.
        """
        until_ms = self._clock.now_ms() + self._context.drain_timeout_ms
        idle_since_ms = self._clock.now_ms()
        while self._leases.may_order(lease):
            now_ms = self._clock.now_ms()
            if await self._is_in_use():
                idle_since_ms = now_ms
            if now_ms - idle_since_ms >= _IDLE_MS:
                return None
            if now_ms >= until_ms:
                return disruption_limits.DeferralReason.IN_USE
            await self._clock.sleep_ms(_POLL_MS)
        return disruption_limits.DeferralReason.LEASE_ENDED

    async def _is_in_use(self) -> bool:
        engine = self._client()
        if engine is None:
            return True
        try:
            report = await engine.load()
            return bool(report.prefill_queued_tokens or await engine.held())
        except client.EngineError:
            return True

    async def _send_orders(
        self, lease: leasing.Lease
    ) -> disruption_limits.DeferralReason | None:
        """Sends orders until the engine reports the declared state."""
        last: plan.Step | None = None
        sent_ms = float("-inf")
        while self._leases.may_order(lease):
            endpoint = self._endpoint()
            report = await self._probe(endpoint) if endpoint else None
            if endpoint is None or report is None:
                return disruption_limits.DeferralReason.UNREACHABLE
            step = plan.next_step(endpoint, report)
            if step != last:
                self._is_order_in_flight = False
            if step is None or step.purpose is not self._purpose:
                return None
            is_due = self._clock.now_ms() - sent_ms >= _RESEND_MS
            if step == last and not is_due:
                await self._clock.sleep_ms(_POLL_MS)
                continue
            if not self._leases.may_order(lease):
                break
            fault = await self._send(step, lease)
            if fault is not None and fault is not client.EngineFault.LOST:
                return disruption_limits.DeferralReason.UNREACHABLE
            last = step
            sent_ms = self._clock.now_ms()
        return disruption_limits.DeferralReason.LEASE_ENDED

    async def _send(
        self, step: plan.Step, lease: leasing.Lease
    ) -> client.EngineFault | None:
        engine = self._client()
        if engine is None:
            return client.EngineFault.UNREACHABLE
        self._logger.info(
            "order_given",
            kind=step.kind.value,
            value=step.value,
            version=step.version,
            fence=lease.fencing_token,
        )
        self._is_order_in_flight = True
        try:
            await engine.order(step.order(lease.fencing_token))
        except client.EngineError as error:
            counters.order_failed(step.kind, error.fault)
            self._is_order_in_flight = error.fault is client.EngineFault.LOST
            return error.fault
        counters.order_given(step.kind)
        self._is_order_in_flight = False
        return None

    async def _probe(
        self, endpoint: resources.Endpoint
    ) -> client.LoadReport | None:
        view = self._context.fleet.view(endpoint.name)
        if view is None:
            return None
        with contextlib.suppress(client.EngineError):
            return await view.client.load()
        return None

    def _client(self) -> client.EngineClient | None:
        view = self._context.fleet.view(self._engine)
        return None if view is None else view.client

    def _endpoint(self) -> resources.Endpoint | None:
        state = self._context.configuration.current
        entry = state.get(resources.Kind.ENDPOINT, self._engine)
        if entry is None:
            return None
        assert isinstance(entry.resource, resources.Endpoint)
        return entry.resource

    def _service(
        self, endpoint: resources.Endpoint
    ) -> resources.Service | None:
        state = self._context.configuration.current
        entry = state.get(resources.Kind.SERVICE, endpoint.service)
        if entry is None:
            return None
        assert isinstance(entry.resource, resources.Service)
        return entry.resource

    def _pool(self, service: resources.Service) -> list[resources.Endpoint]:
        entries = self._context.configuration.current.of_kind(
            resources.Kind.ENDPOINT
        )
        return [
            entry.resource
            for entry in entries
            if isinstance(entry.resource, resources.Endpoint)
            and entry.resource.service == service.name
        ]

    def _out_of_service(self, before_fence: int | None) -> frozenset[str]:
        held = self._leases.ledger.held(self._clock.now_ms())
        others = {n: e for n, e in held.items() if n != self._engine}
        return disruption_limits.out_of_service(
            others, before_fence=before_fence
        )

    def _count_loads(self, before_fence: int | None) -> int:
        held = self._leases.ledger.held(self._clock.now_ms())
        return sum(
            1
            for name, entry in held.items()
            if name != self._engine
            and entry.purpose is records.Purpose.LOAD
            and (before_fence is None or entry.fence < before_fence)
        )
