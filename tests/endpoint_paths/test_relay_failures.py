"""What callers see when a call through a peer fails."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from jujubewharf import errors
from jujubewharf.forwarding import calls
from jujubewharf.peers import codec
from jujubewharf.peers import relay_messages
from jujubewharf.standins import endpoint_cuts
from tests.endpoint_paths import cut_offs
from tests.forwarding import deployments

NAMES = ("e0", "e1", "e2")
CutKind = endpoint_cuts.CutKind
# Long enough for an instance to find out that it reaches no endpoint.
FOUND_OUT_MS = 2_000.0
# A caller that can't be served waits no longer than a search for a peer.
AT_ONCE_MS = 500.0


async def _cut(world, *names, kind=CutKind.SILENT):
    """Partitions instances, and has them find out by a few calls."""
    for name in names:
        world.cuts.begin(name, kind)
    await cut_offs.ask(world, names, for_ms=FOUND_OUT_MS)


def _peers_of(world, name):
    """Instances that make calls for an instance now."""
    relayed = world.instances[name].paths.backends.relay
    usage = relayed._exchanges._peers._usage
    return [a.partition(":")[0] for a, u in usage.items() if u.in_flight]


def _runs(world, request_id):
    return [r for r in world.backends.runs if r.request_id == request_id]


# A call that may run once was sent again, or called not run, after the peer
# that made it had been killed.
def test_call_whose_peer_is_killed_has_an_unknown_outcome():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            for backend in world.backends.by_name.values():
                backend.work_ms = 1_000.0
            asking = asyncio.ensure_future(
                world.ask("/sale/1", instance="e1", request_id="sale")
            )
            await world.clock.sleep_ms(300.0)
            (peer,) = _peers_of(world, "e1")
            world.network.drop_instance(peer)
            await world.instances.pop(peer).stop()
            answer = await asking
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert len(_runs(world, "sale")) == 1

    deployments.run(main())


# A repeatable call was lost with the peer that made it.
def test_repeatable_call_whose_peer_is_killed_is_served_by_another():
    async def main():
        async with cut_offs.deployed("e0", "e1", "e2", "e3") as world:
            await _cut(world, "e1")
            asking = asyncio.ensure_future(
                world.ask("/lookup/1", instance="e1")
            )
            for backend in world.backends.by_name.values():
                backend.work_ms = 100.0
            await world.clock.sleep_ms(40.0)
            (peer,) = _peers_of(world, "e1")
            world.network.drop_instance(peer)
            await world.instances.pop(peer).stop()
            assert (await asking).status == 200

    deployments.run(main())


# Engines worked on for callers who had left, since the peer wasn't told.
def test_leaving_caller_ends_the_call_of_the_peer():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            for backend in world.backends.by_name.values():
                backend.work_ms = 2_000.0
            await world.ask("/sale/1", instance="e1", leave_after_ms=300.0)
            await world.clock.sleep_ms(100.0)
            running = [
                backend.running_requests
                for backend in world.backends.by_name.values()
            ]
            assert not any(running)
            assert not _peers_of(world, "e1")

    deployments.run(main())


# Instances that nobody can help held their callers until the deadline.
@pytest.mark.parametrize("kind", list(CutKind))
def test_instances_that_are_all_cut_off_refuse_at_once(kind):
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, *NAMES, kind=kind)
            before = sum(
                len(b.received_reservations)
                for b in world.backends.by_name.values()
            )
            for path in cut_offs.PATHS:
                answer = await world.ask(path, instance="e1")
                assert answer.error.ran is errors.Ran.NO
                assert answer.error.retry_after_ms
                assert answer.took_ms < AT_ONCE_MS
            after = sum(
                len(b.received_reservations)
                for b in world.backends.by_name.values()
            )
            assert after == before

    deployments.run(main())


# A peer that drains took calls whose connections its end would have cut.
def test_leaving_peer_is_not_used():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            world.instances["e2"].admission.is_ready = False
            answers = await cut_offs.ask(world, ["e1"], for_ms=2_000.0)
            assert cut_offs.tries(answers, ["e1"]).share == 1.0
            assert _peers_of(world, "e1") == []
            assert not world.instances["e2"].admission.in_flight

    deployments.run(main())


# A build that makes no calls for peers took the stream for a follower's.
def test_older_builds_are_not_asked():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            for name in ("e0", "e2"):
                followers = world.instances[name].fleet.followers
                followers._hello = dataclasses.replace(
                    followers._hello, capabilities=()
                )
                followers.on_relay = None
            before = world.instances["e0"].fleet.instances
            answer = await world.ask("/sale/1", instance="e1")
            assert answer.error.ran is errors.Ran.NO
            assert answer.took_ms < AT_ONCE_MS
            assert world.instances["e0"].fleet.instances == before

    deployments.run(main())


# Requests under way as connections were reset counted as the cause of crashes,
# and their likes were blocked at all instances.
def test_resets_are_not_taken_for_crashes():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            for backend in world.backends.by_name.values():
                backend.work_ms = 300.0
            for _ in range(4):
                asking = [
                    asyncio.ensure_future(world.ask(path, instance="e1"))
                    for path in cut_offs.PATHS
                ]
                await world.clock.sleep_ms(200.0)
                world.cuts.begin("e1", CutKind.RESET)
                await asyncio.gather(*asking)
                world.cuts.end()
                await world.clock.sleep_ms(2_500.0)
            for instance in world.instances.values():
                assert instance.crashes.reports() == ()

    deployments.run(main())


# A stream stopped when its instance lost the path to the engine.
@pytest.mark.parametrize("kind", [CutKind.SILENT, CutKind.RESET])
def test_stream_under_way_goes_on_through_a_peer(kind):
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            for backend in world.backends.by_name.values():
                backend.events = 40
            asking = asyncio.ensure_future(
                world.ask("/verdicts/1", instance="e1")
            )
            await world.clock.sleep_ms(800.0)
            world.cuts.begin("e1", kind)
            answer = await asking
            assert answer.status == 200
            assert answer.numbers == list(range(1, 41))

    deployments.run(main())


# The end of a partition was found only by callers' requests.
def test_end_of_a_cut_is_found_without_callers():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            await cut_offs.ask(world, ["e1"], for_ms=FOUND_OUT_MS)
            reachability = world.instances["e1"].paths.reachability
            assert reachability.is_fully_cut_off
            world.cuts.end()
            await world.clock.sleep_ms(1_500.0)
            assert not reachability.cut_off_groups

    deployments.run(main())


# An instance without endpoints and peers took requests that others can serve.
def test_instance_without_endpoints_and_peers_is_not_ready():
    async def main():
        async with cut_offs.deployed("e0", "e1", "e2", "e3") as world:
            # e1 and e3 are alone in their failure domain.
            await _cut(world, "e1", "e3")
            assert world.instances["e1"].is_ready
            world.network.cut("a", "b")
            world.network.drop_instance("e3")
            await cut_offs.ask(world, ["e1"], for_ms=3_000.0)
            assert not world.instances["e1"].is_ready
            world.network.heal()
            world.cuts.end()
            await world.clock.sleep_ms(2_000.0)
            assert world.instances["e1"].is_ready

    deployments.run(main())


# A peer went on sending requests to an endpoint that drains.
def test_peer_refuses_work_for_an_endpoint_that_drains_there():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            names = [n for n in world.backends.by_name if n[0] in "st"]
            for name in ("e0", "e2"):
                registry = world.instances[name].registry
                registry.takes_work = lambda endpoint: endpoint not in names
            started = len(world.backends.runs)
            answer = await world.ask("/sale/1", instance="e1")
            assert answer.error.ran is errors.Ran.NO
            assert len(world.backends.runs) == started

    deployments.run(main())


# As most endpoints of a service crashed, instances took themselves for
# partitioned and refused what the last one could serve.
def test_last_endpoint_serves_while_the_others_have_ended():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            for name in ("s-a", "s-b", "t-a"):
                world.backends.by_name[name].is_unreachable = True
            answers = await asyncio.gather(
                *(
                    world.ask(path, instance=name)
                    for name in NAMES
                    for path in ("/lookup/1", "/sale/1") * 3
                )
            )
            assert all(answer.status == 200 for answer in answers)

    deployments.run(main())


# A request too large for a peer's frame broke the stream and may have run.
def test_head_too_large_for_a_peer_is_refused_as_not_run():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            headers = (("A", "x" * (codec.MAX_FRAME_BYTES + 1)),)
            answer = await world.ask("/sale/1", instance="e1", headers=headers)
            assert answer.error.ran is errors.Ran.NO

    deployments.run(main())


# A body larger than a peer's frame could not be passed on through a peer.
def test_body_larger_than_a_frame_is_served_through_a_peer():
    async def main():
        async with cut_offs.deployed(*NAMES) as world:
            await _cut(world, "e1")
            body = b"x" * (codec.MAX_FRAME_BYTES + 1)
            answer = await world.ask(
                "/sale/1", instance="e1", body=body, request_id="large"
            )
            assert answer.status == 200
            assert len(_runs(world, "large")) == 1

    deployments.run(main())


def test_relayed_call_keeps_all_fields():
    call = calls.Call(
        "r1",
        "POST",
        "shop.example",
        "/a?b=%20c",
        (("X-One", "1"), ("X-One", "2")),
        bytes(range(256)),
        5.0,
        caller_timeout_ms=900.0,
        work=calls.ModelWork(10, 20, 5),
        last_event=3,
        account="a1",
    )
    outbound = calls.OutboundRequest(
        call,
        800.0,
        priority=2,
        source=calls.PrefillSource("10.0.0.1:80", "h1"),
        hold="hold1",
        after_event=4,
    )
    message = relay_messages.RelayedSend("s1", outbound)
    data = codec.encode(codec.Frame(codec.FrameKind.TELL, 0, message))
    assert codec.decode(codec.body_of(data)).message == message
