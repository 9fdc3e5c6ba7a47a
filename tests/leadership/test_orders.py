"""Tests of the leader's orders, based on costs observed by all instances."""

from __future__ import annotations

import pytest

from jujubewharf.configuration import resources
from jujubewharf.forwarding import costs
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

# Time in ms until all instances follow a leader that may use its lease.
SETTLED_MS = 9_000.0


def test_only_the_leader_gives_orders():
    async def main():
        backends = [decode_engine(f"d{i}") for i in range(4)]
        names = ("e1", "e2", "e3", "e4")
        async with deployments.deployed(
            *backends, names=names, is_led=True
        ) as world:
            await world.clock.sleep_ms(8_000.0)
            orders = [
                o for b in world.backends.by_name.values() for o in b.orders
            ]
            assert {o.holder for o in orders} == {world.leader}
            assert {o.role for o in orders} == {resources.Role.PREFILL}

    deployments.run(main())


def _engines():
    readers = [prefill_engine(f"p{i}") for i in range(3)]
    return [*readers, *(decode_engine(f"d{i}") for i in range(3))]


def _orders(world):
    return [o for b in world.backends.by_name.values() for o in b.orders]


def _observe(instance, count: int) -> None:
    for _ in range(count):
        instance.work.record_prefill(94.0, prompt_tokens=5_200)
        instance.work.record_decode(4_000.0, memory_share=0.12)


def test_observations_of_all_instances_count_together():
    """Pools are rebalanced from the observations of all instances together.

    Three instances have four observations each; an order needs twelve.
    """

    async def main():
        world = deployments.Deployment(*_engines())
        await world.start("e1", is_led=True)
        await world.clock.sleep_ms(1_000.0)
        await world.start("e2", "e3", declare=False, is_led=True)
        for instance in world.instances.values():
            _observe(instance, 4)
        old = world.leader
        await world.instances.pop(old).stop()
        await world.start("e4", declare=False, is_led=True)
        _observe(world.instances["e4"], 4)
        await world.clock.sleep_ms(16_000.0)
        assert {o.role for o in _orders(world)} == {resources.Role.DECODE}
        assert {o.holder for o in _orders(world)} == {world.leader}
        await world.stop()

    deployments.run(main())


def test_new_leader_uses_observations_of_followers():
    """A new leader can give orders from its followers' observations.

    The follower observed costs while it could not reach the leader.
    """

    async def main():
        world = deployments.Deployment(*_engines())
        await world.start("e1", domain="a", is_led=True)
        world.network.cut("a", "b")
        await world.start("e2", domain="b", declare=False, is_led=True)
        _observe(world.instances["e2"], 20)
        await world.clock.sleep_ms(6_000.0)
        assert world.leader == "e1"
        assert not _orders(world)
        world.network.heal()
        await world.clock.sleep_ms(SETTLED_MS)
        assert {o.holder for o in _orders(world)} == {"e1"}
        await world.stop()

    deployments.run(main())


def test_single_instance_uses_its_own_observations():
    async def main():
        async with deployments.deployed(*_engines()) as world:
            _observe(world.instances["e1"], 12)
            await world.clock.sleep_ms(8_000.0)
            assert _orders(world)

    deployments.run(main())


def test_reports_are_weighted_by_sample_count():
    fleet = costs.FleetCosts.from_reports(
        [
            costs.CostReport(30, 100.0, 30, 400.0),
            costs.CostReport(10, 200.0, 0, 0.0),
        ]
    )
    assert fleet.prefill_ms == pytest.approx(125.0)
    assert fleet.decode_ms == pytest.approx(400.0)
    few = costs.FleetCosts.from_reports([costs.CostReport(5, 1.0, 11, 1.0)])
    assert few == costs.FleetCosts()
