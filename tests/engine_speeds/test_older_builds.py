"""Instances of builds that know nothing of engines' speeds."""

from __future__ import annotations

import msgpack
import pytest

from jujubewharf.peers import codec
from jujubewharf.peers import leader_messages
from tests.engine_speeds import unequal_engines
from tests.forwarding import deployments


@pytest.mark.parametrize(
    ("number", "fields", "message"),
    [
        (
            76,
            ["p1", 90.0, 5_000],
            leader_messages.PrefillCompleted("p1", 90.0, 5_000),
        ),
        (78, [2_000.0, 0.2], leader_messages.ResponseProjected(2_000.0, 0.2)),
    ],
)
def test_messages_of_older_builds_are_understood(number, fields, message):
    body = msgpack.packb([int(codec.FrameKind.TELL), 0, number, fields])
    assert codec.decode(body).message == message


@pytest.mark.parametrize(
    ("message", "former"),
    [
        (
            leader_messages.PrefillCompleted("p1", 90.0, 5_000, 2.5),
            ["p1", 90.0, 5_000],
        ),
        (
            leader_messages.ResponseProjected(2_000.0, 0.2, "d1", 50.0),
            [2_000.0, 0.2],
        ),
    ],
)
def test_older_builds_find_the_fields_that_they_know(message, former):
    """They ignore fields behind those, so new ones must come last."""
    frame = codec.Frame(codec.FrameKind.TELL, 0, message)
    _, _, _, fields = msgpack.unpackb(codec.body_of(codec.encode(frame)))
    assert fields[: len(former)] == former


def test_leader_learns_costs_but_no_speeds_from_an_older_follower():
    async def main():
        world = unequal_engines.World()
        await world.begin("e1", "e2", is_led=True)
        await world.clock.sleep_ms(2_000.0)
        leader = world.instances[world.leader]
        follower = next(i for i in world.instances.values() if i != leader)
        for n in range(20):
            event_ms = 900.0 if n % 2 else 30.0
            follower.fleet.link.tell(
                leader_messages.ResponseProjected(event_ms * 40, 0.2)
            )
        await world.clock.sleep_ms(1_000.0)
        assert leader.work.decode_ms is not None
        assert not world.speeds(world.leader).has_unequal
        await world.stop()

    deployments.run(main())
