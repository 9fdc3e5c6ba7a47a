"""Shares of the fleet's total, and the lease for orders."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import fleet_share
from jujubewharf.standins import tables


def _with_members(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        groups = tables.StandInGroups(clock)
        members = {
            name: fleet_share.FleetShare(
                groups.member(name), clock, default_share=0.01
            )
            for name in "abc"
        }
        for member in members.values():
            await member.start()
        await test(clock, groups, members)
        for member in members.values():
            await member.stop()

    virtual_time.run(main())


def test_shares_add_up_to_one():
    async def test(clock, groups, members):
        await clock.sleep_ms(3_000.0)
        assert sum(m.fraction for m in members.values()) == 1.0

    _with_members(test)


def test_fencing_token_requires_expiry_of_previous_holder():
    """Engines never see two holders within one time to live.

    The old holder's lease expires before the new holder's token is usable.
    """

    async def test(clock, groups, members):
        await clock.sleep_ms(8_000.0)
        assert [n for n, m in members.items() if m.lease.fence is not None] == [
            "a"
        ]
        first = members["a"].lease.fence
        groups.cut_off.add("a")
        last_ms = begins_ms = None
        for _ in range(200):
            await clock.sleep_ms(100.0)
            if members["a"].lease.fence is not None:
                last_ms = clock.now_ms()
            later = [
                m.lease.fence
                for n, m in members.items()
                if n != "a" and m.lease.fence
            ]
            if later and begins_ms is None:
                begins_ms = clock.now_ms()
                assert later[0] > first
        assert last_ms is not None
        assert begins_ms is not None
        assert begins_ms - last_ms >= groups.ttl_ms

    _with_members(test)


def test_partitioned_instance_uses_default_share():
    async def test(clock, groups, members):
        await clock.sleep_ms(3_000.0)
        groups.cut_off.add("a")
        await clock.sleep_ms(4_000.0)
        assert members["a"].fraction == 0.01
        assert not members["a"].lease.is_valid

    _with_members(test)


def test_rejected_fencing_token_is_not_reused():
    async def test(clock, groups, members):
        await clock.sleep_ms(8_000.0)
        fence = members["a"].lease.fence
        members["a"].lease.reject_fence(fence)
        assert members["a"].lease.fence is None

    _with_members(test)


def test_leaving_member_is_replaced_without_expiry():
    async def test(clock, groups, members):
        await clock.sleep_ms(8_000.0)
        await members["a"].leave()
        assert members["a"].lease.fence is None
        await clock.sleep_ms(1_500.0 + groups.ttl_ms)
        assert members["b"].lease.fence is not None

    _with_members(test)


def test_expired_lease_requires_new_wait():
    """A member whose lease expired must wait again before it gives orders.

    Another member held the lease in the meantime.
    """

    async def test(clock, groups, members):
        await clock.sleep_ms(8_000.0)
        groups.cut_off.add("a")
        await clock.sleep_ms(9_000.0)
        assert members["b"].lease.fence is not None
        groups.cut_off.clear()
        back_ms = None
        for _ in range(100):
            await clock.sleep_ms(100.0)
            if members["a"].lease.is_valid and back_ms is None:
                back_ms = clock.now_ms()
            if members["a"].lease.fence is not None:
                break
        assert back_ms is not None
        assert clock.now_ms() - back_ms >= groups.ttl_ms - 200.0

    _with_members(test)


def test_partitioned_instances_share_at_most_the_total():
    """Partitioned instances must not take more than the total in sum.

    Each takes the smaller of its last share and the default.
    """

    async def test(clock, groups, members):
        await clock.sleep_ms(3_000.0)
        for member in members.values():
            member._default_share = 0.9
        groups.cut_off.update("abc")
        await clock.sleep_ms(10_000.0)
        assert not any(m.lease.is_valid for m in members.values())
        assert sum(m.fraction for m in members.values()) <= 1.0

    _with_members(test)
