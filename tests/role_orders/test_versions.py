"""Orders that keep a decode engine for each software version."""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import registration
from tests.role_orders import fleets

OLD = "v1"
NEW = "v2"


def _set_versions(fleet, old: tuple[str, ...]) -> None:
    """Registers some engines as the old version, the others as the new one."""
    for engine in fleet.engines.values():
        endpoint = registration.Registration.from_endpoint(engine.endpoint)
        version = OLD if endpoint.name in old else NEW
        engine.endpoint = dataclasses.replace(
            endpoint, software_version=version
        )
        fleet.register(engine)


def _drain(fleet, *names: str) -> None:
    for name in names:
        engine = fleet.engines[name]
        engine.endpoint = dataclasses.replace(engine.endpoint, drained=True)
        fleet.register(engine)


def _decode_count(fleet, version: str) -> int:
    """Engines of a version that decode or are changing to it."""
    return sum(
        engine.role is fleets.DECODE
        and not engine.endpoint.drained
        and engine.endpoint.software_version == version
        for engine in fleet.engines.values()
    )


# The streams of a version were refused from its last decode engine's drain on,
# with two of its prefill engines registered.
def test_version_whose_decode_engines_drain_gets_another_at_once():
    async def check(fleet):
        _set_versions(fleet, ("g00", "g01", "g08", "g09"))
        # The balance of the service wants no change.
        fleet.costs = fleets.costs.FleetCosts(200.0, 400.0)
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(20_000.0)
        assert fleet.orders == []
        _drain(fleet, "g08", "g09")
        await fleet.sleep_until(22_000.0)
        assert _decode_count(fleet, OLD) == 1
        await fleet.sleep_until(60_000.0)
        assert _decode_count(fleet, OLD) == 1

    fleets.run(check, prefill=4, decode=6)


# A batch of other orders takes 9 s; draining engines have left by then.
def test_version_without_decode_engine_does_not_wait_for_a_batch():
    async def check(fleet):
        _set_versions(fleet, ("g00", "g01", "g11"))
        fleet.costs = fleets.costs.FleetCosts(200.0, 280.0)
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(20_000.0)
        fleet.orders.clear()
        fleet.costs = fleets.costs.FleetCosts(200.0, 80.0)
        await fleet.sleep_until(22_000.0)
        first = {name for _, name, _ in fleet.orders}
        assert 0 < len(first) < 4
        assert _decode_count(fleet, OLD) == 1
        _drain(fleet, "g11")
        await fleet.sleep_until(24_000.0)
        assert _decode_count(fleet, OLD) == 1

    fleets.run(check, prefill=4, decode=8)


def test_balance_never_takes_the_last_decode_engine_of_a_version():
    async def check(fleet):
        _set_versions(fleet, ("g00", "g01", "g04"))
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        for step, decode_ms in enumerate((40.0, 800.0, 20.0), 1):
            fleet.costs = fleets.costs.FleetCosts(400.0, decode_ms)
            for tick in range(80):
                await fleet.sleep_until(step * 40_000.0 + tick * 500.0)
                assert _decode_count(fleet, OLD) >= 1
                assert _decode_count(fleet, NEW) >= 1
        assert fleet.orders

    fleets.run(check, prefill=3, decode=7)


# The plan wants another version's engine as prefill engine at the same time,
# which counted as a turn of the plan.
def test_lost_order_for_a_version_is_sent_again():
    async def check(fleet):
        _set_versions(fleet, ("g00",))
        fleet.remove("g01")
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(10_000.0)
        fleet.engines["g00"].loses_orders = 2
        old = dataclasses.replace(
            fleet.engines["g00"].endpoint, name="g99", drained=True
        )
        fleet.engines["g99"] = fleets.Engine(old, role=fleets.DECODE)
        fleet.register(fleet.engines["g99"])
        await fleet.sleep_until(18_000.0)
        assert _decode_count(fleet, OLD) == 1

    fleets.run(check, prefill=2, decode=5)
