"""Reassigns the roles of engines according to the role plan, under a lease."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import lease as leases
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import role_plan
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import state_log
from jujubewharf.forwarding import version_roles
from jujubewharf.role_orders import damping as dampings
from jujubewharf.role_orders import ledger as ledgers
from jujubewharf.role_orders import sender as senders
from jujubewharf.telemetry import containment

_CHECK_INTERVAL_MS = 500.0
# Time for which the plan must keep asking for a change before it is ordered.
# Engines register one by one at a start.
_SETTLING_MS = 1_000.0
# Largest share of a service's engines that may change roles at the same time.
# The others have to carry the load meanwhile.
_MAX_CHANGING_SHARE = 1 / 3
# Time without orders after engines disappeared without announcing a drain.
# Partitioned or crashed engines are usually back before a role change would
# take effect.
_RETURN_TIMEOUT_MS = 6_500.0


@dataclasses.dataclass(slots=True)
class _MissingEngine:
    """An engine whose entry disappeared without an announced drain."""

    engine: resources.Endpoint
    since_ms: float
    was_probed: bool = False


class RoleController(restarting_service.RestartingService):
    """Orders role changes while this instance holds the fleet's lease.

    Args:
        instance: Name of this instance.
        backends: Client of the engines.
        registry: Registered engines and their roles.
        lease: Lease that permits orders.
        cost_estimates: Returns the fleet's cost estimates.
        services: Returns the services of the current configuration.
        clock: Clock for intervals and timeouts.
        on_accepted: Called with the name of an engine that accepted an order.
        is_backing_off: Returns whether an engine has asked this instance to
            back off.
        work_rate: Returns how much work an engine does in a role, relative to
            the median engine of its service.
        ledger: Orders that other instances share with this one; ``None`` if
            there are none.
    """

    def __init__(
        self,
        instance: str,
        backends: ports.Backends,
        registry: registries.Registry,
        lease: leases.GroupLease,
        cost_estimates: Callable[[], costs.FleetCosts],
        services: Callable[[], dict[str, routes.RoutedService]],
        clock: clocks.Clock,
        *,
        on_accepted: Callable[[str], None] = lambda engine: None,
        is_backing_off: Callable[[str], bool] = lambda engine: False,
        work_rate: role_plan.WorkRate = lambda engine, role: 1.0,
        ledger: ledgers.OrderLedger | None = None,
    ) -> None:
        super().__init__(clock)
        self._backends = backends
        self._registry = registry
        self._lease = lease
        self._cost_estimates = cost_estimates
        self._services = services
        self._is_backing_off = is_backing_off
        self._work_rate = work_rate
        self._ledger = ledger = ledger or ledgers.OrderLedger(clock)
        self._damping = dampings.ReversalDamping(ledger, clock)
        self._sender = senders.OrderSender(
            instance,
            backends,
            registry,
            lease,
            ledger,
            cost_estimates,
            clock,
            on_accepted=on_accepted,
        )
        self._wanted_since_ms: dict[str, float] = {}
        self._registered: dict[str, dict[str, resources.Endpoint]] = {}
        # By service, then by address.
        self._missing: dict[str, dict[str, _MissingEngine]] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            for service in list(self._services().values()):
                if service.engine is None:
                    continue
                with containment.contained("roles", service=service.name):
                    await self._check(service.name, service.engine)

    async def _check(self, service: str, traits: routes.EngineTraits) -> None:
        """Sends the orders that are due for one service."""
        # Tracked without the lease as well, so that the wait for an engine's
        # return doesn't start over when this instance acquires it.
        self._track_missing(service)
        self._damping.track(service, self._registry.of_service(service))
        if (
            self._registry.is_store_unavailable
            or not self._lease.holds_first_part
        ):
            self._wanted_since_ms.pop(service, None)
            return
        self._sender.begin_check()
        await self._sender.settle(service, traits)
        if await self._awaits_return(service):
            self._wanted_since_ms.pop(service, None)
            return
        estimates = self._cost_estimates()
        engines = self._sender.planned_engines(service)
        draining = self._draining(service)
        changes = role_plan.plan_changes(
            engines,
            prefill_ms=estimates.prefill_ms,
            decode_ms=estimates.decode_ms,
            work_rate=self._work_rate,
            min_gain=lambda role: self._damping.min_gain(
                service, role, change_ms=senders.change_ms(traits)
            ),
            draining=draining,
        )
        versions = version_roles.ServiceVersions(engines, draining)
        if self._lease.fence is not None:
            await self._sender.repeat_lost(service, changes, versions, traits)
        # Evaluated before the fencing token may be used, so that the order can
        # be sent as soon as it is.
        restoring = role_plan.restoring_changes(
            self._sender.ordered_engines(service),
            draining=draining,
            work_rate=self._work_rate,
        )
        is_settled = self._is_settled(service, bool(changes or restoring))
        if not is_settled or self._lease.fence is None:
            return
        if await self._sender.find_changing(service, traits):
            return
        is_urgent = self._damping.is_urgent(
            service, change_ms=senders.change_ms(traits)
        )
        max_changes = self._max_concurrent_changes(service)
        if self._sender.is_busy(service, is_urgent=is_urgent):
            # A version without a decode engine doesn't wait for the batch: its
            # streams are refused meanwhile. It is one engine for each version.
            changes = restoring
            engines = self._sender.ordered_engines(service)
            max_changes = max(1, max_changes - self._in_progress(service))
        changes = changes[:max_changes]
        for change in self._sender.allowed_changes(changes, engines):
            if not self._is_backing_off(change.engine.name):
                await self._sender.send(change, traits)

    def _in_progress(self, service: str) -> int:
        """Returns how many engines are changing roles, or may be."""
        pending = self._ledger.pending(service)
        return sum(order.is_in_effect for order in pending)

    def _draining(self, service: str) -> list[resources.Endpoint]:
        """Returns registered engines that accept no new requests."""
        return [
            engine
            for engine in self._registry.registered()
            if engine.service == service and engine.drained
        ]

    def _max_concurrent_changes(self, service: str) -> int:
        """Returns how many engines may change roles at the same time.

        They do no work meanwhile, and the cost estimates may have changed by
        the time they are back.
        """
        count = len(self._registry.of_service(service))
        return max(1, int(count * _MAX_CHANGING_SHARE))

    def _track_missing(self, service: str) -> None:
        """Records which engines disappeared without a drain, and when.

        Drops engines whose address is registered again, possibly under a new
        name after a crash, and those that have been away for too long.
        """
        now_ms = self._clock.now_ms()
        registered = self._registered.get(service, {})
        present = {
            engine.name: engine
            for engine in self._registry.registered()
            if engine.service == service
        }
        missing = self._missing.setdefault(service, {})
        for name, engine in registered.items():
            if name not in present and not engine.drained:
                missing[engine.address] = _MissingEngine(engine, now_ms)
        addresses = {engine.address for engine in present.values()}
        for address, missing_engine in list(missing.items()):
            is_expired = now_ms - missing_engine.since_ms >= _RETURN_TIMEOUT_MS
            if address in addresses or is_expired:
                del missing[address]
        self._registered[service] = present

    async def _awaits_return(self, service: str) -> bool:
        """Returns whether engines that disappeared may be back soon.

        An engine that still answers has deregistered itself. It is shutting
        down, so its replacement is not delayed. Without this check, the order
        to replace the only prefill engine took eleven seconds instead of one.
        """
        missing = self._missing.setdefault(service, {})
        for address, missing_engine in list(missing.items()):
            if missing_engine.was_probed:
                continue
            missing_engine.was_probed = True
            is_reachable = await self._is_reachable(missing_engine.engine)
            state_log.log_missing_engine(
                missing_engine.engine.name,
                is_reachable=is_reachable,
                registry_age_ms=self._registry.age_ms,
            )
            if is_reachable:
                del missing[address]
        return bool(missing)

    async def _is_reachable(self, engine: resources.Endpoint) -> bool:
        """Returns whether an engine answers a call."""
        try:
            await self._backends.is_changing(engine)
        except client.EngineError:
            return False
        return True

    def _is_settled(self, service: str, is_wanted: bool) -> bool:
        if not is_wanted:
            self._wanted_since_ms.pop(service, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._wanted_since_ms.setdefault(service, now_ms)
        return now_ms - since_ms >= _SETTLING_MS
