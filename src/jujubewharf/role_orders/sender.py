"""Sends orders to change roles, and follows them until they took effect.

Load: one batch of orders at a time for each service. A leader that changes, an
answer that is lost and an order that is carried out late must not cause more
orders than the role plan wants.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from jujubewharf import clock as clocks
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
from jujubewharf.role_orders import ledger as ledgers
from jujubewharf.role_orders import states

# Time for which an order without an answer may still be carried out.
UNACKNOWLEDGED_MS = 13_000.0
# Time to allow for an engine's new registration to be read, in addition to the
# duration of the role change.
REGISTRATION_MS = 3_000.0
# Time after which a refused order may be repeated.
_REFUSED_RETRY_MS = 3_000.0
# Time after which an order without an answer is sent to the engine again if
# the engine hasn't begun to change.
_REPEAT_MS = 2_000.0
# An engine that lost this many orders in a row gets no more of them, until the
# plan chooses anew.
_MAX_SENDS = 3


class OrderSender:
    """Orders of the leader and of its predecessors, for all services.

    Args:
        instance: Name of this instance.
        backends: Client of the engines.
        registry: Registered engines and their roles.
        lease: Lease that permits orders.
        ledger: Orders of this instance and of other leaders.
        cost_estimates: Returns the fleet's cost estimates, for log lines.
        clock: Clock.
        on_accepted: Called with the name of an engine that accepted an order.
    """

    def __init__(
        self,
        instance: str,
        backends: ports.Backends,
        registry: registries.Registry,
        lease: leases.GroupLease,
        ledger: ledgers.OrderLedger,
        cost_estimates: Callable[[], costs.FleetCosts],
        clock: clocks.Clock,
        *,
        on_accepted: Callable[[str], None],
    ) -> None:
        self._instance = instance
        self._backends = backends
        self._registry = registry
        self._lease = lease
        self._ledger = ledger
        self._cost_estimates = cost_estimates
        self._clock = clock
        self._on_accepted = on_accepted
        self._leading_since_ms: float | None = None
        # Services whose engines were asked in this leadership.
        self._asked: set[str] = set()
        # Clock reading when the engine of an order without an answer was last
        # asked, by engine.
        self._checked_ms: dict[str, float] = {}

    def begin_check(self) -> None:
        """Takes the orders of a predecessor over when a leadership begins."""
        since_ms = self._lease.first_part_since_ms
        if since_ms == self._leading_since_ms:
            return
        self._leading_since_ms = since_ms
        self._asked.clear()
        self._ledger.take_over()

    async def settle(self, service: str, traits: routes.EngineTraits) -> None:
        """Drops orders that took effect or can't any more.

        Before an order is given up its engine is asked, because it may have
        begun to change late.
        """
        now_ms = self._clock.now_ms()
        for order in self._ledger.pending(service):
            engine = self._registry.get(order.engine)
            if engine is None or engine.role is order.role:
                self._ledger.settle(order.engine)
            elif (
                now_ms >= order.until_ms
                and order.is_in_effect
                and await states.is_changing(self._backends, engine)
            ):
                self._record_changing(order, traits)
        self._ledger.drop_expired()

    def planned_engines(self, service: str) -> Sequence[resources.Endpoint]:
        """Returns the engines with the roles that the plan must count with.

        Engines count with the ordered role if the order is a predecessor's or
        may be carried out late. Own batches that were acknowledged are waited
        for instead.
        """
        if not any(
            order.is_uncertain or not order.is_own
            for order in self._ledger.pending(service)
        ):
            return self._registry.of_service(service)
        return self.ordered_engines(service)

    def ordered_engines(self, service: str) -> Sequence[resources.Endpoint]:
        """Returns the engines with the roles of all orders in progress."""
        engines = self._registry.of_service(service)
        pending = {
            order.engine: order.role
            for order in self._ledger.pending(service)
            if order.is_in_effect
        }
        return [
            dataclasses.replace(e, role=pending.get(e.name, e.role))
            for e in engines
        ]

    def is_busy(self, service: str, *, is_urgent: bool) -> bool:
        """Returns whether orders are in progress that new ones must wait for.

        One batch at a time: an engine that changes roles does no work. If it
        is urgent, only an own batch that was acknowledged is waited for; the
        plan counts with the others.
        """
        return any(
            not is_urgent or (order.is_own and not order.is_uncertain)
            for order in self._ledger.pending(service)
        )

    async def find_changing(
        self, service: str, traits: routes.EngineTraits
    ) -> bool:
        """Asks the engines once per leadership whether they are changing.

        Without a predecessor there are no orders in progress to find. Called
        before the first order, so a leadership without orders asks
        nothing. The later the engines are asked, the more of the predecessor's
        late orders are seen.

        Returns:
            Whether orders were found that weren't known.
        """
        if service in self._asked or not self._lease.may_have_predecessor:
            return False
        self._asked.add(service)
        known = {order.engine: order for order in self._ledger.pending(service)}
        state_log.log_role_orders_taken_over(
            service,
            {o.engine: o.role.value for o in known.values() if not o.is_own},
            source="ledger",
        )
        unknown = [
            engine
            for engine in self._registry.of_service(service)
            if engine.role in ledgers.OTHER_ROLE
            and (engine.name not in known or known[engine.name].is_uncertain)
        ]
        found: dict[str, str] = {}
        for engine in await states.find_changing(self._backends, unknown):
            order = known.get(engine.name)
            if order is not None:
                self._record_changing(order, traits)
                continue
            now_ms = self._clock.now_ms()
            role = ledgers.OTHER_ROLE[engine.role]
            found[engine.name] = role.value
            self._ledger.record(
                ledgers.KnownOrder(
                    engine.name,
                    service,
                    role,
                    ledgers.Outcome.OBSERVED,
                    self._lease.fence or 0,
                    now_ms,
                    now_ms + change_ms(traits),
                )
            )
        state_log.log_role_orders_taken_over(service, found, source="engines")
        return bool(found)

    async def repeat_lost(
        self,
        service: str,
        changes: Sequence[role_plan.RoleChange],
        versions: version_roles.ServiceVersions,
        traits: routes.EngineTraits,
    ) -> None:
        """Sends orders without an answer again, unless the plan has turned.

        An order that is no longer wanted is left to its end: reversing it
        before it is known whether it happened could undo nothing, or too much.
        """
        for order in self._ledger.pending(service):
            engine = self._registry.get(order.engine)
            if engine is None or not self._is_repeatable(order):
                continue
            has_turned = any(c.role is not order.role for c in changes)
            if has_turned and not versions.needs(engine, order.role):
                continue
            self._checked_ms[order.engine] = self._clock.now_ms()
            match await states.is_changing(self._backends, engine):
                case True:
                    self._record_changing(order, traits)
                case False:
                    change = role_plan.RoleChange(engine, order.role)
                    await self.send(change, traits, repeated=order)
                case None:
                    # The engine can't be reached; it is asked again.
                    continue

    def _is_repeatable(self, order: ledgers.KnownOrder) -> bool:
        """Returns whether an order without an answer may be sent again now."""
        checked_ms = self._checked_ms.get(order.engine, order.sent_ms)
        waited_ms = self._clock.now_ms() - max(checked_ms, order.sent_ms)
        return (
            order.is_uncertain
            and order.sends < _MAX_SENDS
            and waited_ms >= _REPEAT_MS
        )

    def _record_changing(
        self, order: ledgers.KnownOrder, traits: routes.EngineTraits
    ) -> None:
        """Records that an engine was found carrying out an order."""
        until_ms = self._clock.now_ms() + change_ms(traits)
        self._checked_ms.pop(order.engine, None)
        self._ledger.record(
            dataclasses.replace(
                order, outcome=ledgers.Outcome.ACCEPTED, until_ms=until_ms
            )
        )

    def allowed_changes(
        self,
        changes: Sequence[role_plan.RoleChange],
        engines: Sequence[resources.Endpoint],
    ) -> list[role_plan.RoleChange]:
        """Replaces engines whose state is too uncertain for an order.

        Others of the same software version take their place, so that no
        version loses its last decode engine.

        Args:
            changes: Planned changes.
            engines: The engines that the plan was made of.

        Returns:
            The changes; those without a replacement are left out.
        """
        taken = {change.engine.name for change in changes}
        allowed: list[role_plan.RoleChange] = []
        for change in changes:
            if self._is_allowed(change.engine, change.role):
                allowed.append(change)
                continue
            for engine in engines:
                if (
                    engine.name not in taken
                    and engine.role is change.engine.role
                    and version_roles.is_same_version(engine, change.engine)
                    and self._is_allowed(engine, change.role)
                ):
                    taken.add(engine.name)
                    allowed.append(role_plan.RoleChange(engine, change.role))
                    break
        return allowed

    def _is_allowed(
        self, engine: resources.Endpoint, role: resources.Role
    ) -> bool:
        """Returns whether an engine's state is certain enough for an order."""
        is_pending = any(
            order.engine == engine.name
            for order in self._ledger.pending(engine.service)
        )
        return not is_pending and not self._ledger.may_be_undone(
            engine.name, role
        )

    async def send(
        self,
        change: role_plan.RoleChange,
        traits: routes.EngineTraits,
        *,
        repeated: ledgers.KnownOrder | None = None,
    ) -> None:
        """Sends an order, or repeats one without an answer."""
        # Read for each order: the previous one may have taken seconds.
        fence = self._lease.fence
        if fence is None:
            return
        engine = change.engine
        now_ms = self._clock.now_ms()
        sent = ledgers.KnownOrder(
            engine.name,
            engine.service,
            change.role,
            ledgers.Outcome.SENT,
            fence,
            now_ms,
            now_ms + UNACKNOWLEDGED_MS,
            sends=1 if repeated is None else repeated.sends + 1,
            is_own=True,
        )
        # Before the call: if this instance fails during it, its successor
        # must count the order.
        self._ledger.record(sent)
        fault = await self._order(engine, change.role, fence)
        self._record_outcome(sent, fault, traits, repeated=repeated)
        estimates = self._cost_estimates()
        state_log.log_role_order(
            engine.name,
            role=change.role.value,
            fence=fence,
            outcome="accepted" if fault is None else fault.value,
            prefill_ms=estimates.prefill_ms,
            decode_ms=estimates.decode_ms,
            registry_age_ms=self._registry.age_ms,
        )

    def _record_outcome(
        self,
        sent: ledgers.KnownOrder,
        fault: client.EngineFault | None,
        traits: routes.EngineTraits,
        *,
        repeated: ledgers.KnownOrder | None,
    ) -> None:
        """Records what is known of an order after its call.

        Args:
            sent: The order as it was sent.
            fault: Fault of the call; ``None`` if the engine accepted it.
            traits: Traits of the service's engines.
            repeated: The earlier order without an answer, if it repeats one.
        """
        now_ms = self._clock.now_ms()
        if fault is None:
            outcome = ledgers.Outcome.ACCEPTED
            until_ms = now_ms + change_ms(traits)
        elif fault is client.EngineFault.LOST:
            outcome = ledgers.Outcome.LOST
            until_ms = now_ms + UNACKNOWLEDGED_MS
        elif repeated is not None:
            # The earlier order may still be carried out.
            outcome = ledgers.Outcome.LOST
            until_ms = max(now_ms, repeated.until_ms)
        else:
            outcome = ledgers.Outcome.NOT_RUN
            until_ms = now_ms + _REFUSED_RETRY_MS
        self._ledger.record(
            dataclasses.replace(sent, outcome=outcome, until_ms=until_ms)
        )

    async def _order(
        self, engine: resources.Endpoint, role: resources.Role, fence: int
    ) -> client.EngineFault | None:
        """Sends an order and returns its fault, if any."""
        order = ports.RoleOrder(role, self._instance, fence)
        try:
            await self._backends.order_role(engine, order)
        except client.EngineError as error:
            if error.fault is client.EngineFault.REFUSED_FENCE:
                self._lease.reject_fence(fence)
            return error.fault
        # Marks the engine as changing before its registration does, so that
        # requests aren't sent there only to be refused. Without it, 16 of 109
        # requests were sent to such an engine first in the 7 s after four of
        # seven prefill engines were ordered to decode.
        self._on_accepted(engine.name)
        return None


def change_ms(traits: routes.EngineTraits) -> float:
    """Returns the time until a role change shows in the registration."""
    return traits.role_switch_ms + REGISTRATION_MS
