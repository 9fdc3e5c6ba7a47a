"""Builds that know nothing of epochs, beside the current one."""

from __future__ import annotations

import pytest

from jujubewharf import clock as clocks
from jujubewharf.forwarding import routes
from jujubewharf.leadership import feeds
from jujubewharf.peers import codec
from jujubewharf.peers import leader_messages
from jujubewharf.platform import epochs
from tests.forwarding import deployments

NAMES = ("e1", "e2", "e3", "e4")
IN_FORCE_MS = 2_000.0


async def _deployed(*older: str, leader: str):
    world = deployments.Deployment(
        deployments.prefill_engine("p1"), deployments.decode_engine("d1")
    )
    world.older_builds.update(older)
    world.cores[leader] = 16.0
    await world.start(leader, is_led=True)
    rest = [name for name in NAMES if name != leader]
    await world.start(*rest, declare=False, is_led=True)
    assert world.leader == leader
    return world


async def _restore_and_write(world, *, first: int):
    """Loses some versions in a restore, and writes newer ones."""
    copy = world.store.copy()
    for version in range(first, first + 3):
        world.configurations.put("config", deployments.configuration(version))
        await world.clock.sleep_ms(500.0)
    world.store.restore(copy)
    await world.clock.sleep_ms(3_000.0)
    world.configurations.put("config", deployments.configuration(first + 5))
    await world.clock.sleep_ms(IN_FORCE_MS)
    return first + 5


def _confirm_without_sending(world, leader):
    """Lets a leader do what an older build does after a restore."""
    followers = world.instances[leader].fleet.followers
    followers.publish_configurations = lambda records, end: None
    followers.publish_endpoints = lambda records, end, is_full_read: None
    followers._heartbeat = lambda: leader_messages.LeaderHeartbeat(
        configuration_end=9,
        configuration_age_ms=0,
        endpoints_end=9,
        endpoints_age_ms=0,
        instances=len(NAMES),
    )


def test_follower_of_an_older_leader_reads_the_store():
    """An older leader goes on confirming reads that miss what was restored."""

    async def main():
        world = await _deployed("e1", leader="e1")
        await world.clock.sleep_ms(2_000.0)
        _confirm_without_sending(world, "e1")
        await world.clock.sleep_ms(3_000.0)
        version = await _restore_and_write(world, first=2)
        current = [n for n in NAMES if n != "e1"]
        found = {world.instances[n].source.version for n in current}
        assert found == {version}
        await world.stop()

    deployments.run(main())


def test_older_follower_gets_what_the_leader_has_read():
    async def main():
        world = await _deployed("e2", leader="e1")
        version = await _restore_and_write(world, first=2)
        found = {i.source.version for i in world.instances.values()}
        assert found == {version}
        await world.stop()

    deployments.run(main())


@pytest.mark.parametrize(
    ("sent", "message"),
    [
        (
            "940000469505cc0a07cc1403",
            leader_messages.LeaderHeartbeat(5, 10, 7, 20, 3),
        ),
        ("94000058910c", leader_messages.FollowerHello(12)),
        ("94000047929005", leader_messages.EndpointUpdate((), 5)),
        (
            "9400005795a6636f6e6669670304c0c0",
            leader_messages.ConfigurationUpdate("config", 3, 4, None),
        ),
    ],
)
def test_messages_of_older_builds_are_understood(sent, message):
    assert codec.decode(bytes.fromhex(sent)).message == message


def test_configuration_of_an_older_leader_is_understood():
    """Its messages don't name the version apart."""
    update = leader_messages.ConfigurationUpdate(
        "config", 3, 4, routes.RoutingConfiguration(2, (), {})
    )
    frame = codec.Frame(codec.FrameKind.TELL, 0, update)
    assert codec.decode(codec.body_of(codec.encode(frame))).message == update


async def test_leader_that_has_not_noticed_a_restore_confirms_nothing():
    epoch = epochs.StoreEpoch()
    feed = feeds.Feed(epoch, clocks.Clock(), fresh_ms=60_000.0)
    feed.apply((), 5)
    assert feed.is_fresh
    epoch.observe(0, call="read")
    epoch.observe(1, call="read")
    assert not feed.is_fresh
    feed.confirm(6, age_ms=0.0)
    assert not feed.is_fresh
    feed.confirm(epochs.combine(1, 2), age_ms=0.0)
    assert feed.is_fresh
