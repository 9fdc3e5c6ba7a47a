"""Reconciles the engines assigned to this instance."""

from __future__ import annotations

from collections.abc import Callable
import contextlib

import mode
import structlog

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.orders import counters
from jujubewharf.orders import disruption_limits
from jujubewharf.orders import plan
from jujubewharf.orders import reconciliation
from jujubewharf.orders import records

_CHECK_MS = 2_000.0
_RETRY_MS = 3_000.0
_MAX_PARALLEL = 8

AssignmentCheck = Callable[[resources.Endpoint], bool]


class Reconciler(mode.Service):
    """Compares engines with their declared state and orders the difference.

    Each comparison uses the current state instead of changes, so it also
    detects a stale order that a paused holder sent late to an engine without
    fencing.

    Args:
        context: Dependencies of reconciliations.
        is_assigned: Whether this instance reconciles an engine now. If two
            instances both assume so, one loses the claim; there are never two
            holders.
    """

    def __init__(
        self,
        context: reconciliation.ReconciliationContext,
        is_assigned: AssignmentCheck,
    ) -> None:
        super().__init__()
        self._context = context
        self._is_assigned = is_assigned
        self._clock = context.clock
        self._is_retired = False
        self._running: set[str] = set()
        self._retry_at_ms: dict[str, float] = {}
        self._logger = structlog.get_logger()

    def retire(self) -> None:
        """Starts no further reconciliations; running ones continue."""
        self._is_retired = True

    def is_out_of_service(self, engine: str) -> bool:
        """Whether any instance's lease keeps new work from an engine."""
        ledger = self._context.leases.ledger
        entry = ledger.entry(engine)
        if entry is None or entry.held_until_ms <= self._clock.now_ms():
            return False
        return entry.purpose is not records.Purpose.ADAPTER

    @mode.Service.task
    async def _reconcile_periodically(self) -> None:
        await self._context.configuration.caught_up.wait()
        while not self.should_stop:
            for endpoint in self._due():
                await self._check(endpoint)
            await self._clock.sleep_ms(_CHECK_MS)

    def _due(self) -> list[resources.Endpoint]:
        if self._is_retired:
            return []
        now_ms = self._clock.now_ms()
        state = self._context.configuration.current
        due = []
        for entry in state.of_kind(resources.Kind.ENDPOINT):
            endpoint = entry.resource
            assert isinstance(endpoint, resources.Endpoint)
            if endpoint.role is resources.Role.PLAIN:
                continue
            retry_at_ms = self._retry_at_ms.get(endpoint.name, 0.0)
            is_due = endpoint.name not in self._running
            if is_due and now_ms >= retry_at_ms and self._is_assigned(endpoint):
                due.append(endpoint)
        return due

    async def _check(self, endpoint: resources.Endpoint) -> None:
        view = self._context.fleet.view(endpoint.name)
        if view is None or len(self._running) >= _MAX_PARALLEL:
            return
        with contextlib.suppress(client.EngineError):
            step = plan.next_step(endpoint, await view.client.load())
            if step is not None:
                self._running.add(endpoint.name)
                self.add_future(self._reconcile(endpoint.name, step.purpose))

    async def _reconcile(self, engine: str, purpose: records.Purpose) -> None:
        try:
            reason = await reconciliation.Reconciliation(
                engine, purpose, self._context
            ).run()
        finally:
            self._running.discard(engine)
        if reason is None:
            self._retry_at_ms.pop(engine, None)
            return
        counters.count_deferral(reason)
        self._logger.info("turn_put_off", engine=engine, reason=reason.value)
        self._retry_at_ms[engine] = self._clock.now_ms() + _RETRY_MS
        if reason is disruption_limits.DeferralReason.IN_USE:
            self._retry_at_ms[engine] += self._context.drain_timeout_ms
