"""Role controllers of several instances with engines that change roles."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import role_controller
from jujubewharf.forwarding import routes
from jujubewharf.peers import role_messages
from jujubewharf.role_orders import ledger as ledgers

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE
SERVICE = "verdict-llm"
SWITCH_MS = 6_000.0
LEASE_MS = 3_000.0
SERVICES = {
    SERVICE: routes.RoutedService(
        SERVICE, routes.EngineTraits(12, 40_000, 500.0, SWITCH_MS, 2_000.0)
    )
}


@dataclasses.dataclass
class Engine:
    """An engine, its registered role and how it gets orders."""

    endpoint: resources.Endpoint
    late_ms: float = 0.0
    answer_ms: float = 0.0
    loses_answers: int = 0
    loses_orders: int = 0
    is_changing: bool = False
    role: resources.Role = PREFILL


class FakeLease:
    """A lease that a test grants and withdraws."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self._fence = 0
        self.first_part_since_ms: float | None = None

    def grant(self, fence: int) -> None:
        self._fence = fence
        self.first_part_since_ms = self._clock.now_ms()

    def withdraw(self) -> None:
        self.first_part_since_ms = None

    @property
    def holds_first_part(self) -> bool:
        return self.first_part_since_ms is not None

    @property
    def may_have_predecessor(self) -> bool:
        return self._fence > 1

    @property
    def fence(self) -> int | None:
        since_ms = self.first_part_since_ms
        if since_ms is None or self._clock.now_ms() - since_ms < LEASE_MS:
            return None
        return self._fence

    def reject_fence(self, fence: int) -> None:
        raise AssertionError("no fence is rejected here")


class FakeBackends:
    """Engines that carry out orders, possibly late or without an answer."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        self._fleet.state_calls.append(endpoint.name)
        return self._fleet.engines[endpoint.name].is_changing

    async def order_role(
        self, endpoint: resources.Endpoint, order: ports.RoleOrder
    ) -> None:
        fleet = self._fleet
        engine = fleet.engines[endpoint.name]
        fleet.orders.append((fleet.clock.now_ms(), endpoint.name, order))
        error = client.EngineError(client.EngineFault.LOST, endpoint.name, "")
        if engine.loses_orders:
            engine.loses_orders -= 1
            raise error
        at_ms = fleet.clock.now_ms() + engine.late_ms
        fleet.clock.call_at_ms(at_ms, lambda: fleet.begin(engine, order.role))
        await fleet.clock.sleep_ms(engine.answer_ms)
        if engine.loses_answers:
            engine.loses_answers -= 1
            raise error


class Fleet:
    """Engines, and role controllers that see the same registrations."""

    def __init__(self, prefill: int, decode: int) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.registry = registries.Registry(self.clock)
        self.registry.mark_store_available()
        self.engines: dict[str, Engine] = {}
        self.orders: list[tuple[float, str, ports.RoleOrder]] = []
        self.state_calls: list[str] = []
        self.ledgers: dict[str, ledgers.OrderLedger] = {}
        self.leases: dict[str, FakeLease] = {}
        self.controllers: dict[str, role_controller.RoleController] = {}
        self.costs = costs.FleetCosts(90.0, 480.0)
        self.fewest_prefill = prefill
        self._offset = 0
        roles = [PREFILL] * prefill + [DECODE] * decode
        for number, role in enumerate(roles):
            name = f"g{number:02}"
            endpoint = resources.Endpoint(
                name, SERVICE, f"{name}:1", "abc"[number % 3], role
            )
            self.engines[name] = Engine(endpoint, role=role)
            self.register(self.engines[name])

    def register(self, engine: Engine) -> None:
        self._offset += 1
        record = registries.Record(
            engine.endpoint.name, self._offset, engine.endpoint
        )
        self.registry.apply([record])

    def remove(self, name: str) -> None:
        self._offset += 1
        self.registry.apply([registries.Record(name, self._offset, None)])

    def begin(self, engine: Engine, role: resources.Role) -> None:
        if engine.role is role:
            return
        engine.role = role
        engine.is_changing = True
        self.fewest_prefill = min(self.fewest_prefill, self.count(PREFILL))

        def end() -> None:
            if engine.role is role:
                engine.is_changing = False
                engine.endpoint = dataclasses.replace(
                    engine.endpoint, role=role
                )
                self.register(engine)

        self.clock.call_at_ms(self.clock.now_ms() + SWITCH_MS, end)

    def count(self, role: resources.Role) -> int:
        """Number of engines that have a role or are changing to it."""
        return sum(e.role is role for e in self.engines.values())

    async def add(self, name: str, *, is_cut: bool = False, **options) -> None:
        """Starts an instance.

        Args:
            name: Name of the instance.
            is_cut: Whether it exchanges no messages with other instances.
            **options: Options of the role controller.
        """
        ledger = self.ledgers[name] = ledgers.OrderLedger(self.clock)

        def send(order: ledgers.KnownOrder) -> None:
            now_ms = self.clock.now_ms()
            message = role_messages.RoleOrders.from_known([order], now_ms)
            for other, known in self.ledgers.items():
                if other != name:
                    for received in message.known_orders(now_ms):
                        known.merge(received)

        if not is_cut:
            ledger.on_recorded = send
        lease = self.leases[name] = FakeLease(self.clock)
        controller = role_controller.RoleController(
            name,
            FakeBackends(self),
            self.registry,
            lease,
            lambda: self.costs,
            lambda: SERVICES,
            self.clock,
            ledger=ledger,
            **options,
        )
        self.controllers[name] = controller
        await controller.start()

    async def sleep_until(self, at_ms: float) -> None:
        await self.clock.sleep_ms(at_ms - self.clock.now_ms())

    async def stop(self) -> None:
        for controller in self.controllers.values():
            await controller.stop()


def run(check, *, prefill: int, decode: int) -> None:
    """Runs a check with a fleet on virtual time."""

    async def main():
        fleet = Fleet(prefill, decode)
        try:
            await check(fleet)
            crashes = [c.crash_reason for c in fleet.controllers.values()]
            assert not any(crashes)
        finally:
            await fleet.stop()

    virtual_time.run(main())
