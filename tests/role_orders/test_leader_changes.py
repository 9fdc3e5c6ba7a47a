"""Orders in progress while the leader changes."""

from __future__ import annotations

import pytest

from jujubewharf.forwarding import role_plan
from tests.role_orders import fleets


def _wanted_prefill(fleet) -> int:
    """Number of prefill engines that the plan wants for the costs."""
    changes = role_plan.plan_changes(
        [e.endpoint for e in fleet.engines.values()],
        prefill_ms=fleet.costs.prefill_ms,
        decode_ms=fleet.costs.decode_ms,
    )
    surplus = sum(c.role is fleets.DECODE for c in changes)
    return fleet.count(fleets.PREFILL) - surplus


def _first_engines_slower(engine, role) -> float:
    """Leaders rank engines differently, by their own observations."""
    return 1.0 + int(engine.name[1:]) / 10_000


def _last_engines_slower(engine, role) -> float:
    return 1.0 - int(engine.name[1:]) / 10_000


async def _change_leaders(fleet) -> None:
    """Leader 1 until 6.0 s, leader 2 until 12.3 s, then leader 1 again."""
    fleet.leases["i1"].grant(1)
    await fleet.sleep_until(6_000.0)
    fleet.leases["i1"].withdraw()
    await fleet.sleep_until(6_300.0)
    fleet.leases["i2"].grant(2)
    await fleet.sleep_until(12_300.0)
    fleet.leases["i2"].withdraw()
    await fleet.sleep_until(12_600.0)
    fleet.leases["i1"].grant(3)
    await fleet.sleep_until(60_000.0)


@pytest.mark.parametrize("late_ms", [0.0, 2_000.0, 4_500.0])
@pytest.mark.parametrize("lost", [0, 2, 4])
@pytest.mark.parametrize("is_cut", [False, True])
def test_leader_changes_order_no_more_than_the_plan_wants(
    late_ms, lost, is_cut
):
    """A new leader must not order a second set of engines away.

    The predecessor's orders take 6 s and more, some answers are lost, and
    orders are carried out seconds late.
    """

    async def check(fleet):
        wanted = _wanted_prefill(fleet)
        assert 0 < wanted < 11
        names = sorted(fleet.engines)
        for name in names:
            fleet.engines[name].late_ms = late_ms
        for name in names[:lost]:
            fleet.engines[name].loses_answers = 1
        await fleet.add("i1", is_cut=is_cut, work_rate=_first_engines_slower)
        await fleet.add("i2", is_cut=is_cut, work_rate=_last_engines_slower)
        await _change_leaders(fleet)
        assert fleet.fewest_prefill >= wanted
        assert fleet.count(fleets.PREFILL) == wanted

    fleets.run(check, prefill=11, decode=12)


def test_order_of_a_leader_that_fails_during_the_call_counts():
    """Its successor must know the order although no outcome was reported."""

    async def check(fleet):
        for engine in fleet.engines.values():
            engine.answer_ms = 60_000.0
            engine.late_ms = 8_000.0
        await fleet.add("i1")
        await fleet.add("i2")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(3_200.0)
        (ordered,) = {name for _, name, _ in fleet.orders}
        fleet.leases["i1"].withdraw()
        (pending,) = fleet.ledgers["i2"].pending(fleets.SERVICE)
        assert pending.engine == ordered
        for engine in fleet.engines.values():
            engine.answer_ms = 0.0
        fleet.leases["i2"].grant(2)
        await fleet.sleep_until(40_000.0)
        # With two prefill engines the plan wants no further change.
        assert {name for _, name, _ in fleet.orders} == {ordered}
        assert fleet.count(fleets.PREFILL) == fleet.fewest_prefill == 2

    fleets.run(check, prefill=3, decode=3)


def test_empty_pool_does_not_wait_for_orders_of_the_former_leader():
    """The pending orders may take 13 s; an empty pool can't wait for them."""

    async def check(fleet):
        for engine in fleet.engines.values():
            engine.loses_orders = 9
        await fleet.add("i1")
        await fleet.add("i2")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(4_000.0)
        assert len(fleet.orders) == 2
        fleet.leases["i1"].withdraw()
        lost = {name for _, name, _ in fleet.orders}
        for name, engine in fleet.engines.items():
            engine.loses_orders = 0
            if engine.role is fleets.PREFILL and name not in lost:
                fleet.remove(name)
        fleet.leases["i2"].grant(2)
        # An engine that disappears is awaited for 6.5 s.
        await fleet.sleep_until(12_500.0)
        roles = {n: o.role for _, n, o in fleet.orders if o.holder == "i2"}
        assert fleets.PREFILL in roles.values()

    fleets.run(check, prefill=3, decode=3)
