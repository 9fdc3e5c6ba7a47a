"""Ends of answers without a length, for calls of own and of peers."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import errors
from jujubewharf.peers import relay_messages
from jujubewharf.standins import endpoint_cuts
from tests.endpoint_paths import cut_offs
from tests.forwarding import deployments

NAMES = ("e1", "e2", "e3")
# Domain of the only endpoints.
DOMAINS = "a"
WORK_MS = 400.0
CutKind = endpoint_cuts.CutKind


async def _ask_during(world, trouble, *, after_ms: float, path="/sale/1"):
    """Asks for an answer without a length and makes trouble inside it."""
    for backend in world.backends.by_name.values():
        backend.is_framed = False
        backend.work_ms = WORK_MS
    asking = asyncio.ensure_future(world.ask(path, request_id="whole-body"))
    await world.clock.sleep_ms(after_ms)
    trouble()
    return await asking


def _crash_running(world) -> None:
    for backend in list(world.backends.by_name.values()):
        if backend.running_requests:
            world.backends.crash(backend)


def _check_is_lost(answer) -> None:
    """Checks that the part of an answer is reported as lost."""
    assert not answer.is_ended
    assert answer.error is not None
    assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
    assert answer.error.ran is errors.Ran.UNKNOWN


# The part that a peer had passed on was taken for the whole answer: an instance
# without a path to the endpoint can't see that its process is gone.
@pytest.mark.parametrize("kind", [None, *CutKind])
def test_crash_inside_an_answer_is_seen_through_peers(kind):
    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:
            if kind is not None:
                world.cuts.begin("e1", kind)
                await cut_offs.ask(world, ("e1",), for_ms=2_000.0)
            answer = await _ask_during(
                world, lambda: _crash_running(world), after_ms=WORK_MS / 2
            )
            _check_is_lost(answer)

    deployments.run(main())


# The kernel accepts connections for as long as the listener is open, which may
# be long after the process has ended.
@pytest.mark.parametrize("listens_on_ms", [5.0, 50.0, 500.0])
@pytest.mark.parametrize("kind", [None, *CutKind])
def test_listener_that_outlives_its_process(kind, listens_on_ms):
    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:
            for backend in world.backends.by_name.values():
                backend.listens_on_ms = listens_on_ms
            if kind is not None:
                world.cuts.begin("e1", kind)
                await cut_offs.ask(world, ("e1",), for_ms=2_000.0)
            answer = await _ask_during(
                world, lambda: _crash_running(world), after_ms=WORK_MS / 2
            )
            _check_is_lost(answer)

    deployments.run(main())


@pytest.mark.parametrize("kind", [None, *CutKind])
def test_whole_answers_pass_through_peers(kind):
    """Sound endpoints leave the length out also; none of them is lost."""

    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:
            if kind is not None:
                world.cuts.begin("e1", kind)
                await cut_offs.ask(world, ("e1",), for_ms=2_000.0)
            answer = await _ask_during(
                world, lambda: None, after_ms=WORK_MS / 2
            )
            assert answer.is_ended
            assert answer.body == b"whole-body"
            assert answer.took_ms < WORK_MS + 100.0

    deployments.run(main())


# Its open connections live on, but it can't look for the process by itself.
def test_peer_tells_an_instance_that_gets_cut_off_that_the_process_runs():
    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:
            answer = await _ask_during(
                world,
                lambda: world.cuts.begin("e1", CutKind.NEW_ONLY),
                after_ms=WORK_MS / 2,
            )
            assert answer.is_ended
            assert answer.body == b"whole-body"

    deployments.run(main())


# Nobody can tell whether it was whole, so it doesn't pass for it.
def test_answer_is_lost_if_no_peer_can_tell_either():
    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:

            def cut_all():
                for name in NAMES:
                    world.cuts.begin(name, CutKind.NEW_ONLY)

            answer = await _ask_during(world, cut_all, after_ms=WORK_MS / 2)
            _check_is_lost(answer)
            assert answer.took_ms < WORK_MS + 1_000.0

    deployments.run(main())


# During a rollout a peer of an older build says that the answer has no length,
# and ends it as whole whatever happened.
def test_end_of_an_older_peer_is_checked():
    async def main():
        async with cut_offs.deployed(*NAMES, domains=DOMAINS) as world:
            world.cuts.begin("e1", CutKind.RESET)
            await cut_offs.ask(world, ("e1",), for_ms=2_000.0)
            for name in NAMES[1:]:
                _make_older(world.instances[name])
            answer = await _ask_during(
                world, lambda: _crash_running(world), after_ms=WORK_MS / 2
            )
            _check_is_lost(answer)

    deployments.run(main())


def _make_older(instance) -> None:
    """Has an instance pass the end of answers on to peers unchecked."""
    server = instance.fleet.followers.on_relay.__self__

    async def send(call, endpoint, stream, notices):
        async with server._backends.send(endpoint, call.outbound) as reply:
            head = relay_messages.RelayedHead(
                reply.status,
                reply.headers,
                reply.length,
                tuple(notices),
                reply.is_framed,
            )
            await stream.send(head)
            async for part in reply.body:
                await stream.send(relay_messages.RelayedPart(part))
        await stream.send(relay_messages.RelayedEnd())

    server._send = send
