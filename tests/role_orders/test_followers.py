"""Instances that follow a leader know the orders that it sent."""

from __future__ import annotations

from tests.forwarding import deployments


def test_followers_and_new_leaders_know_the_orders():
    """An order of a leader that dies must not be unknown to its successor."""

    async def main():
        engines = [deployments.decode_engine(f"d{i}") for i in range(4)]
        world = deployments.Deployment(*engines)
        await world.start_in("abc", "e1", "e2", "e3")
        # The plan wants a prefill engine.
        await world.clock.sleep_ms(8_000.0)
        old = world.leader
        ordered = {b.name for b in world.backends.by_name.values() if b.orders}
        assert ordered
        assert old is not None
        assert not world.instances[old].lease.may_have_predecessor
        for instance in world.instances.values():
            known = instance._role_orders.pending(deployments.ENGINES)
            assert {o.engine for o in known} == ordered
        await world.instances.pop(old).stop()
        # A later instance learns them from the link to the new leader.
        await world.start("e4", declare=False, is_led=True)
        await world.clock.sleep_ms(6_000.0)
        assert world.leader is not None
        assert world.instances[world.leader].lease.may_have_predecessor
        known = world.instances["e4"]._role_orders.recent()
        assert {o.engine for o in known} == ordered
        await world.stop()

    deployments.run(main())
