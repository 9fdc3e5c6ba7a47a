"""What a leader that answers late may not end."""

from __future__ import annotations

import dataclasses

from jujubewharf import errors
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

# One way; less than the checks of the leader, and than its heartbeats, allow.
SLOW_MS = 120.0


async def _begin(world, instance: str) -> versions.Stream:
    """Reads the first events of a stream, until its caller leaves."""
    stream = versions.Stream()
    call = world.call("/verdicts/1")
    async with world.instances[instance].run(call) as reply:
        async for part in reply.body:
            stream.add(part, call.request_id)
            if len(stream.numbers) == 5:
                break
    return stream


async def _resume(world, instance: str, stream: versions.Stream):
    """Returns the error of a request that takes the stream up, if any."""
    call = dataclasses.replace(
        world.call("/verdicts/1"),
        last_event=stream.numbers[-1],
        began_by=stream.began_by,
    )
    try:
        async with world.instances[instance].run(call) as reply:
            async for _ in reply.body:
                pass
    except errors.WharfError as error:
        return error.kind
    return None


def test_stream_is_taken_up_while_the_leader_answers_late():
    """An instance that doesn't know a stream asks the leader.

    An answer after 0.1 s counted as none, so the caller began anew.
    """

    async def main():
        behind = [versions.prefill_engine("v1"), versions.prefill_engine("v2")]
        behind += versions.decode_engines("v1")
        behind += versions.decode_engines("v2")
        async with versions.deployed(*behind) as world:
            leader = world.leader
            followers = [name for name in world.instances if name != leader]
            stream = await _begin(world, followers[0])
            await world.clock.sleep_ms(500.0)
            world.network.set_delays(far_ms=SLOW_MS)
            kinds = [
                await _resume(world, name, stream) for name in followers[1:]
            ]
            assert kinds == [None] * len(kinds)

    deployments.run(main())
