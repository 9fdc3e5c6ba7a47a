"""Endpoints whose entries are missing: those that left, and those that live."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import restored_histories

NAMES = ("e1", "e2", "e3")
# Times in ms: until all follow a leader, and within which an endpoint that has
# left gets no more work.
SETTLED_MS = 5_000.0
LEFT_MS = 2_000.0
# Time after the store's return within which live endpoints are written again,
# and the time after which an absent one counts as gone: two more seconds and
# the time until all instances have noticed the return.
REGISTERED_MS = 2_000.0
GONE_MS = 5_600.0
_STEP_MS = 50.0


def _deployed():
    return deployments.deployed(
        deployments.prefill_engine("p1"),
        deployments.decode_engine("d1"),
        names=NAMES,
        is_led=True,
    )


def _register(world, name: str) -> None:
    world.endpoints.put(name, deployments.plain_endpoint(name).endpoint)


def _users(world, endpoint: str) -> list[str]:
    """Returns the instances that would send an endpoint work."""
    return [
        name
        for name, instance in world.instances.items()
        if instance.registry.takes_work(endpoint)
    ]


@pytest.mark.parametrize("outage", list(stores.Outage))
@pytest.mark.parametrize("reconnects", [True, False])
def test_leader_that_started_later_leaves_no_endpoint_in_use(
    outage, reconnects
):
    """A follower goes on using an endpoint that left before its leader began.

    It was cut off from the store at that time, and the new leader, which has
    never known the endpoint, sends no removal.
    """

    async def main():
        async with _deployed() as world:
            _register(world, "s1")
            await world.clock.sleep_ms(SETTLED_MS)
            assert _users(world, "s1") == list(NAMES)
            follower = next(n for n in NAMES if n != world.leader)
            world.store.cut_off[follower] = outage
            world.endpoints.put("s1", None)
            others = [name for name in NAMES if name != follower]
            await asyncio.gather(*(world.restart(name) for name in others))
            if reconnects:
                world.store.cut_off.clear()
            await world.clock.sleep_ms(SETTLED_MS)
            world.store.cut_off.clear()
            await world.clock.sleep_ms(3_000.0 + LEFT_MS)
            assert _users(world, "s1") == []

    deployments.run(main())


@pytest.mark.parametrize("written_ms", [50.0, 1_000.0, 1_900.0, 2_000.0])
@pytest.mark.parametrize("cut_ms", [1_500.0, 2_300.0, 2_400.0, 2_500.0, 3_300])
def test_absent_endpoints_at_each_moment_around_the_grace(written_ms, cut_ms):
    """After an outage one endpoint is written again, and one is gone for good.

    Instances lose the store again at moments around the end of the grace. The
    live one must be kept all the while, the other not be used for long.
    """

    async def main():
        async with _deployed() as world:
            for name in ("lives", "gone"):
                _register(world, name)
            await world.clock.sleep_ms(SETTLED_MS)
            world.store.outage = stores.Outage.RESET
            await world.clock.sleep_ms(1_500.0)
            for name in ("lives", "gone"):
                world.endpoints.put(name, None)
            world.store.outage = None
            await _play(world, written_ms, cut_ms)
            assert _users(world, "gone") == []
            assert _users(world, "lives") == list(NAMES)

    deployments.run(main())


async def _play(world, written_ms: float, cut_ms: float) -> None:
    """Lets time pass; the leader and one follower are cut off for a while."""
    returned_ms = world.clock.now_ms()
    cut = [world.leader or "e1", "e2"]
    is_written = False
    while (after_ms := world.clock.now_ms() - returned_ms) < 2 * GONE_MS:
        if after_ms >= written_ms and not is_written:
            is_written = True
            _register(world, "lives")
        if cut_ms <= after_ms < cut_ms + 700.0:
            world.store.cut_off = dict.fromkeys(cut, stores.Outage.SILENT)
        else:
            world.store.cut_off = {}
        assert _users(world, "lives") == list(NAMES), after_ms
        if after_ms > GONE_MS + 700.0 + 3_000.0:
            assert _users(world, "gone") == [], after_ms
        await world.clock.sleep_ms(_STEP_MS)


# Each has shown an endpoint that had left and was used.
@pytest.mark.parametrize(("seed", "count"), [(6257, 3), (5041, 6)])
def test_endpoint_that_left_is_used_no_more(seed, count):
    """Its entry is gone, and an instance that can read the store uses it."""
    deployments.run(restored_histories.History(seed, count).run())
