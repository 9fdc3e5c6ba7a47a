"""Orders engines into the roles that the plan wants, under a lease."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import mode

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import beliefs
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import lease as leases
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import role_plan
from jujubewharf.forwarding import routes

_CHECK_MS = 500.0
# An order without answer may be carried out this much later. Until then no
# other one goes to that engine: the older one would undo it.
_UNKNOWN_MS = 13_000.0
# After an answered order: the change itself and the time until the engine's
# new registration is read. Added to the change's own time.
_SEEN_MS = 3_000.0
# A refused order may be given again after this.
_REFUSED_MS = 3_000.0
# The plan must want a change this long: engines register one by one at a
# start.
_SETTLED_MS = 1_000.0
# Part of a service's engines that may change their role at the same time: the
# others have to carry the callers meanwhile, late at worst.
_CHANGING_PART = 1 / 3
# No orders for this long after engines vanished without having said that they
# leave, unless they are back before: those of a domain that is cut off, or that
# crashed, mostly are, and a change of role takes longer than that.
_VANISHED_MS = 6_500.0


@dataclasses.dataclass(slots=True)
class _Pending:
    """An order whose effect isn't seen yet."""

    change: role_plan.Change
    until_ms: float


@dataclasses.dataclass(slots=True)
class _Vanished:
    """An engine whose entry went without a word of its own."""

    engine: resources.Endpoint
    since_ms: float
    was_asked: bool = False


class RoleOrders(mode.Service):
    """Gives orders while this instance holds the fleet's lease.

    Args:
        instance: Name of this instance.
        backends: Calls engines.
        registry: Tells the engines and their roles.
        lease: The right to give orders.
        observed: Tells what requests cost.
        services: The services in force.
        clock: Time.
        on_accepted: Told the name of an engine that is going to change.
        is_backing_off: Tells of an engine that it has asked this instance to
            back off.
    """

    def __init__(
        self,
        instance: str,
        backends: ports.Backends,
        registry: registries.Registry,
        lease: leases.GroupLease,
        observed: Callable[[], costs.FleetCosts],
        services: Callable[[], dict[str, routes.RoutedService]],
        clock: clocks.Clock,
        *,
        on_accepted: Callable[[str], None] = lambda engine: None,
        is_backing_off: Callable[[str], bool] = lambda engine: False,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._backends = backends
        self._registry = registry
        self._lease = lease
        self._observed = observed
        self._services = services
        self._clock = clock
        self._on_accepted = on_accepted
        self._is_backing_off = is_backing_off
        self._pending: dict[str, _Pending] = {}
        self._wanted_since_ms: dict[str, float] = {}
        self._known: dict[str, dict[str, resources.Endpoint]] = {}
        # By service and address.
        self._vanished: dict[str, dict[str, _Vanished]] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_CHECK_MS)
            for service in list(self._services().values()):
                if service.engine is not None:
                    await self._check(service.name, service.engine)

    async def _check(self, service: str, traits: routes.EngineTraits) -> None:
        """Gives the orders that are due for one service."""
        # Looked at also while another instance holds the lease: what vanished
        # then must not count from the moment at which this one takes over.
        self._note_vanished(service)
        if self._registry.is_away or not self._lease.holds_first:
            self._wanted_since_ms.pop(service, None)
            return
        self._settle()
        if await self._is_waiting(service):
            self._wanted_since_ms.pop(service, None)
            return
        observed = self._observed()
        changes = role_plan.changes(
            self._registry.of_service(service),
            prefill_ms=observed.prefill_ms,
            decode_ms=observed.decode_ms,
        )
        # Looked at while the lease is dealt but not yet to be used, so that the
        # order is given as soon as it may be.
        is_settled = self._is_settled(service, bool(changes))
        if not is_settled or self._lease.fence is None:
            return
        busy = any(
            p.change.engine.service == service for p in self._pending.values()
        )
        if busy:
            # One step at a time: an engine that changes does no work.
            return
        for change in changes[: self._most_at_once(service)]:
            if not self._is_backing_off(change.engine.name):
                await self._order(change, traits)

    def _most_at_once(self, service: str) -> int:
        """Engines that may change at the same time.

        They do no work meanwhile, and what requests cost may look otherwise
        when they are back.
        """
        count = len(self._registry.of_service(service))
        return max(1, int(count * _CHANGING_PART))

    def _note_vanished(self, service: str) -> None:
        """Notes which engines went without a word, and when.

        One that crashed and began anew has another name at the old address.
        Nobody waits for it any longer, nor for one that is back.
        """
        now_ms = self._clock.now_ms()
        known = self._known.get(service, {})
        present = {
            engine.name: engine
            for engine in self._registry.present()
            if engine.service == service
        }
        vanished = self._vanished.setdefault(service, {})
        for name, engine in known.items():
            if name not in present and not engine.drained:
                vanished[engine.address] = _Vanished(engine, now_ms)
        addresses = {engine.address for engine in present.values()}
        for address, gone in list(vanished.items()):
            is_over = now_ms - gone.since_ms >= _VANISHED_MS
            if address in addresses or is_over:
                del vanished[address]
        self._known[service] = present

    async def _is_waiting(self, service: str) -> bool:
        """Whether engines that vanished may be back soon.

        One that still answers has taken its own entry out: it is leaving, and
        won't be back. In a day on six engines the only prefill engine left so,
        and its successor got the order within a second instead of after eleven.
        """
        vanished = self._vanished.setdefault(service, {})
        for address, gone in list(vanished.items()):
            if gone.was_asked:
                continue
            gone.was_asked = True
            answers = await self._answers(gone.engine)
            beliefs.vanished(
                gone.engine.name,
                answers=answers,
                registry_age_ms=self._registry.age_ms,
            )
            if answers:
                del vanished[address]
        return bool(vanished)

    async def _answers(self, engine: resources.Endpoint) -> bool:
        """Whether it is there; if not, it crashed or is cut off."""
        try:
            await self._backends.is_changing(engine)
        except client.EngineError:
            return False
        return True

    def _settle(self) -> None:
        """Forgets orders whose effect is seen or whose time is over."""
        now_ms = self._clock.now_ms()
        for name, pending in list(self._pending.items()):
            engine = self._registry.get(name)
            is_seen = engine is None or engine.role is pending.change.role
            if is_seen or now_ms >= pending.until_ms:
                del self._pending[name]

    def _is_settled(self, service: str, is_wanted: bool) -> bool:
        if not is_wanted:
            self._wanted_since_ms.pop(service, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._wanted_since_ms.setdefault(service, now_ms)
        return now_ms - since_ms >= _SETTLED_MS

    async def _order(
        self, change: role_plan.Change, traits: routes.EngineTraits
    ) -> None:
        fence = self._lease.fence
        if fence is None:
            # Looked up for each order: the one before may have taken seconds.
            return
        order = ports.RoleOrder(change.role, self._instance, fence)
        lasts_ms = traits.role_switch_ms + _SEEN_MS
        outcome = "accepted"
        try:
            await self._backends.order_role(change.engine, order)
            # Whoever gave the order needn't be refused to know it: in the 7 s
            # after four of seven prefill engines were ordered to decode, 16 of
            # 109 requests were sent to one of them first, and 3 of these were
            # refused for want of retries.
            self._on_accepted(change.engine.name)
        except client.EngineError as error:
            outcome = error.fault.value
            lasts_ms = _REFUSED_MS
            if error.fault is client.EngineFault.LOST:
                lasts_ms = _UNKNOWN_MS
            if error.fault is client.EngineFault.REFUSED_FENCE:
                self._lease.fenced(fence)
        until_ms = self._clock.now_ms() + lasts_ms
        self._pending[change.engine.name] = _Pending(change, until_ms)
        beliefs.ordered(
            change.engine.name,
            role=change.role.value,
            fence=fence,
            outcome=outcome,
            prefill_ms=self._observed().prefill_ms,
            decode_ms=self._observed().decode_ms,
            registry_age_ms=self._registry.age_ms,
        )
