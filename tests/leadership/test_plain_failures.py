"""Failures in a burst of plain calls: one true answer each, nothing left."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest

from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import registration
from jujubewharf.leadership import plain_permit_client
from jujubewharf.leadership import plain_permit_server
from jujubewharf.peers import codec
from jujubewharf.peers import counters
from jujubewharf.peers import link as peer_link
from jujubewharf.peers import plain_messages
from jujubewharf.plain_calls import decisions
from jujubewharf.standins import backend_state
from jujubewharf.standins import plain_slots
from tests.forwarding import deployments
from tests.leadership import plain_bursts

OVERLOAD_PER_S = 1.5 * plain_bursts.CAPACITY_PER_S
# Until all calls have ended, and grants of ended instances with them.
ENDED_MS = 3_000.0


def _run(scenario, **more):
    """Runs a burst and what happens in it, and checks the answers."""

    async def main():
        behind = plain_bursts.endpoints()
        world = await plain_bursts.started(*behind, **more)
        try:
            await scenario(world)
            await world.clock.sleep_ms(ENDED_MS)
            plain_bursts.check_nothing_left(world)
        finally:
            await world.stop()

    deployments.run(main())


def _others(world):
    return [n for n in sorted(world.instances) if n != "e0"]


async def _kill(world, *names):
    for name in names:
        world.network.drop_instance(name)
    for name in names:
        await world.instances.pop(name).stop()


async def _wait_for_waiting(world, *, least: int = 30):
    queues = world.instances["e0"].plain_permits.queues
    for _ in range(2_000):
        if queues.waiting >= least:
            return
        await world.clock.sleep_ms(1.0)
    raise AssertionError("nobody waits")


def test_leader_killed_with_calls_waiting():
    async def scenario(world):
        calls = plain_bursts.burst(
            world,
            per_s=OVERLOAD_PER_S,
            for_ms=2_000.0,
            instances=_others(world),
        )
        await _wait_for_waiting(world)
        killed_ms = world.clock.now_ms()
        await _kill(world, "e0")
        await world.clock.sleep_ms(50.0)
        sent = [r for r in world.backends.runs if r.at_ms >= killed_ms]
        # All that waited are sent at once, by each instance's own choice.
        assert len(sent) >= 30
        answers = await calls
        plain_bursts.check_answers(world, answers)
        await world.clock.sleep_ms(6_000.0)
        assert world.leader is not None
        again = await plain_bursts.burst(
            world, per_s=0.9 * plain_bursts.CAPACITY_PER_S, for_ms=1_000.0
        )
        assert plain_bursts.in_time_share(again) > 0.95

    _run(scenario)


@pytest.mark.parametrize("for_ms", [400.0, 3_000.0])
def test_frozen_leader_costs_a_quarter_of_the_target(for_ms):
    async def scenario(world):
        loop = asyncio.get_running_loop()
        calls = plain_bursts.burst(
            world,
            per_s=0.6 * plain_bursts.CAPACITY_PER_S,
            for_ms=2_000.0,
            instances=_others(world),
        )
        await world.clock.sleep_ms(500.0)
        loop.hold("e0")
        frozen_ms = world.clock.now_ms()
        await world.clock.sleep_ms(for_ms)
        loop.release("e0")
        answers = await calls
        plain_bursts.check_answers(world, answers)
        assert all(a.status == 200 for a in answers)
        held_ms = max(a.took_ms for a in answers)
        assert frozen_ms > 0.0
        # A quarter of the target, and queues at endpoints chosen alone.
        assert held_ms <= 0.25 * deployments.SALE.target_ms + 6 * 80.0

    _run(scenario)


def test_silent_leader_holds_short_calls_no_longer_than_their_own_check():
    """A check that a call with a long target began would hold all others."""

    async def scenario(world):
        loop = asyncio.get_running_loop()
        sender = world.instances["e1"]
        client = sender.plain_permits._client
        loop.hold("e0")
        await world.clock.sleep_ms(5.0)
        check = asyncio.ensure_future(
            client._is_there(sender.fleet.link.link, 1_000.0)
        )
        await world.clock.sleep_ms(1.0)
        short = await world.ask("/sale/1", instance="e1")
        loop.release("e0")
        await check
        assert short.status == 200
        # A quarter of the target, the work and the way to the endpoint.
        assert short.took_ms <= 0.25 * deployments.SALE.target_ms + 85.0

    _run(scenario, count=3)


def test_leader_cut_off_with_calls_waiting():
    async def scenario(world):
        far = [n for n, i in world.instances.items() if i.domain == "b"]
        calls = plain_bursts.burst(
            world, per_s=OVERLOAD_PER_S, for_ms=2_000.0, instances=far
        )
        await _wait_for_waiting(world)
        world.network.cut("a", "b")
        cut_ms = world.clock.now_ms()
        await world.clock.sleep_ms(100.0)
        sent = [r for r in world.backends.runs if r.at_ms > cut_ms]
        assert len(sent) >= 30
        await world.clock.sleep_ms(900.0)
        world.network.heal()
        answers = await calls
        plain_bursts.check_answers(world, answers)

    _run(scenario)


def test_releases_arrive_while_many_calls_of_the_instance_wait(monkeypatch):
    """With all handlers occupied by waiting calls, releases were dropped."""
    monkeypatch.setattr(peer_link, "MAX_HANDLERS", 16)

    async def scenario(world):
        calls = plain_bursts.burst(
            world,
            per_s=OVERLOAD_PER_S,
            for_ms=1_000.0,
            instances=["e1"],
        )
        dropped = collections.Counter()
        for link in world.instances["e0"].fleet.followers.follower_links:
            link._counts.count_drop = lambda reason: dropped.update([reason])
            start_handler = link._start_handler

            def start(frame, start_handler=start_handler):
                before = dropped[counters.DropReason.BUSY]
                start_handler(frame)
                if dropped[counters.DropReason.BUSY] > before:
                    dropped[frame.kind] += 1

            link._start_handler = start
        plain_bursts.check_answers(world, await calls)
        # Requests are refused beyond the limit, releases aren't.
        assert dropped[codec.FrameKind.ASK] > 0
        assert dropped[codec.FrameKind.TELL] == 0

    _run(scenario, count=3)


def test_lost_releases_are_not_counted_for_ever(monkeypatch):
    async def scenario(world):
        lost = []
        tell = plain_permit_client.PlainPermitClient._tell_released

        def lose_some(self, link, number, outcome, **more):
            lost.append(number)
            if len(lost) % 5:
                tell(self, link, number, outcome, **more)

        monkeypatch.setattr(
            plain_permit_client.PlainPermitClient, "_tell_released", lose_some
        )
        answers = await plain_bursts.burst(
            world, per_s=0.5 * plain_bursts.CAPACITY_PER_S, for_ms=2_000.0
        )
        plain_bursts.check_answers(world, answers)
        queues = world.instances["e0"].plain_permits.queues
        assert queues.in_flight > 0

    _run(scenario)


@pytest.mark.parametrize("count", [1, 6])
def test_ended_instances_leave_no_calls(count):
    async def scenario(world):
        ended = _others(world)[:count]
        kept = [n for n in sorted(world.instances) if n not in ended]
        lost = plain_bursts.burst(
            world, per_s=150.0, for_ms=600.0, instances=ended, seed=2
        )
        calls = plain_bursts.burst(
            world, per_s=200.0, for_ms=2_000.0, instances=kept
        )
        await world.clock.sleep_ms(500.0)
        await _kill(world, *ended)
        lost.cancel()
        answers = await calls
        plain_bursts.check_answers(world, answers)
        assert plain_bursts.in_time_share(answers) > 0.5

    _run(scenario)


def test_reports_show_that_calls_of_an_ended_instance_have_ended():
    """Their places would stay taken until their deadlines."""

    async def scenario(world):
        lost = [
            asyncio.ensure_future(world.ask("/sale/1", instance="e1"))
            for _ in range(12)
        ]
        await world.clock.sleep_ms(20.0)
        ended_ms = world.clock.now_ms()
        await _kill(world, "e1")
        for call in lost:
            call.cancel()
        queues = world.instances["e0"].plain_permits.queues
        await world.clock.sleep_ms(10.0)
        assert queues.in_flight == 12
        while queues.in_flight:
            calls = [world.ask("/sale/1", instance="e2") for _ in range(20)]
            await asyncio.gather(*calls)
            await world.clock.sleep_ms(10.0)
            assert world.clock.now_ms() < ended_ms + 1_200.0

    _run(scenario, count=4)


def test_gone_endpoint_gets_no_calls():
    async def scenario(world):
        calls = plain_bursts.burst(world, per_s=OVERLOAD_PER_S, for_ms=2_000.0)
        await _wait_for_waiting(world)
        world.backends.by_name["s0"].is_unreachable = True
        world.endpoints.put("s0", None)
        await world.clock.sleep_ms(1_000.0)
        gone_ms = world.clock.now_ms()
        answers = await calls
        plain_bursts.check_answers(world, answers)
        late = [r for r in world.backends.runs if r.at_ms > gone_ms]
        assert {r.engine for r in late} == {"s1", "s2"}

    _run(scenario)


def test_unreachable_endpoint_does_not_attract_calls():
    """Its calls end at once, so it would always have room."""

    async def scenario(world):
        calls = plain_bursts.burst(
            world,
            per_s=0.5 * plain_bursts.CAPACITY_PER_S,
            for_ms=2_000.0,
            path="/lookup/1",
        )
        await world.clock.sleep_ms(500.0)
        broken = world.backends.by_name["s0"]
        broken.is_unreachable = True
        answers = await calls
        failed = [a for a in answers if a.status != 200]
        assert not failed
        assert plain_bursts.in_time_share(answers) > 0.9

    _run(scenario)


def test_draining_endpoint_gets_no_calls():
    async def scenario(world):
        calls = plain_bursts.burst(world, per_s=OVERLOAD_PER_S, for_ms=2_500.0)
        await _wait_for_waiting(world)
        world.register(world.backends.by_name["s0"], drained=True)
        await world.clock.sleep_ms(1_000.0)
        left_ms = world.clock.now_ms()
        answers = await calls
        plain_bursts.check_answers(world, answers)
        late = [r for r in world.backends.runs if r.at_ms > left_ms]
        assert {r.engine for r in late} == {"s1", "s2"}

    _run(scenario)


def test_grant_for_an_endpoint_that_drains_here_is_returned():
    """The instance that sends the call knows it before the leader."""

    async def scenario(world):
        sender = world.instances["e1"]
        for name in ("s0", "s1"):
            sender.backpressure.mark_leaving(name)
        # The leader isn't told, and goes on to grant them.
        leader = world.instances["e0"]
        assert leader.registry.takes_work("s0")
        sender.plain_permits._chooser.avoided = lambda service, excluded: (
            excluded
        )
        answers = await asyncio.gather(
            *(world.ask("/sale/1", instance="e1") for _ in range(5))
        )
        assert all(a.status == 200 for a in answers)
        assert {r.engine for r in world.backends.runs[-5:]} == {"s2"}
        await world.clock.sleep_ms(20.0)
        plain_bursts.check_nothing_left(world)

    async def scenario_without_news(world):
        followers = world.instances["e0"].fleet.followers
        followers.broadcast = lambda message: None
        for instance in world.instances.values():
            instance.backpressure.on_terms_changed = lambda terms: None
        await scenario(world)

    _run(scenario_without_news, count=4)


def test_restarted_endpoint_starts_with_no_calls():
    async def scenario(world):
        calls = plain_bursts.burst(world, per_s=OVERLOAD_PER_S, for_ms=2_500.0)
        await _wait_for_waiting(world)
        former = world.backends.by_name["s0"]
        world.backends.crash(former)
        started = registration.Registration(
            **{
                **{
                    f.name: getattr(former.endpoint, f.name)
                    for f in dataclasses.fields(former.endpoint)
                },
                "name": "s0+2",
            },
            registered_as="s0",
            started_ms=5,
        )
        world.backends.by_name["s0+2"] = backend_state.StandInBackend(
            started, work_ms=80.0, slots=plain_slots.PlainSlots()
        )
        world.endpoints.put("s0", started)
        await world.clock.sleep_ms(1_000.0)
        answers = await calls
        plain_bursts.check_answers(world, answers)
        assert any(r.engine == "s0+2" for r in world.backends.runs)
        queues = world.instances["e0"].plain_permits.queues
        queue = queues._by_service[deployments.PLAIN].queue
        await world.clock.sleep_ms(3_000.0)
        assert queue.in_flight_at("s0") == 0

    _run(scenario)


def test_leader_of_an_older_build_refuses(monkeypatch):
    async def refuse(self, request):
        return None

    monkeypatch.setattr(
        plain_permit_server.PlainPermitServer, "request", refuse
    )

    async def scenario(world):
        asked = []
        client = plain_permit_client.PlainPermitClient
        request = client._request

        def counted(self, *args):
            asked.append(args)
            return request(self, *args)

        monkeypatch.setattr(client, "_request", counted)
        answers = await plain_bursts.burst(
            world, per_s=0.6 * plain_bursts.CAPACITY_PER_S, for_ms=2_000.0
        )
        plain_bursts.check_answers(world, answers)
        assert all(a.status == 200 for a in answers)
        # Each instance asks about once a second.
        assert len(asked) <= 3 * len(world.instances)

    _run(scenario)


def test_refused_route_leaves_the_calls_of_others_in_the_queue(monkeypatch):
    """A route that the leader doesn't know yet sent all calls past it."""
    request = plain_permit_server.PlainPermitServer.request

    async def refuse_lookups(self, message):
        if message.route == deployments.LOOKUP.name:
            return None
        return await request(self, message)

    monkeypatch.setattr(
        plain_permit_server.PlainPermitServer, "request", refuse_lookups
    )

    async def scenario(world):
        queues = world.instances["e0"].plain_permits.queues
        lookup = await world.ask("/lookup/1", instance="e1")
        assert lookup.status == 200
        sale = asyncio.ensure_future(world.ask("/sale/1", instance="e1"))
        await world.clock.sleep_ms(40.0)
        assert queues.in_flight == 1
        assert (await sale).status == 200

    _run(scenario, count=3)


def test_followers_of_an_older_build_are_known_from_reports():
    """Their calls take room that the leader must not grant again."""

    async def scenario(world):
        names = _others(world)
        older, newer = names[:4], names[4:]
        for name in older:
            world.instances[name].plain_permits.is_enabled = False
        unasked = plain_bursts.burst(
            world, per_s=90.0, for_ms=2_000.0, instances=older, seed=3
        )
        answers = await plain_bursts.burst(
            world, per_s=90.0, for_ms=2_000.0, instances=newer
        )
        plain_bursts.check_answers(world, answers + await unasked)
        assert plain_bursts.in_time_share(answers) > 0.9

    _run(scenario)


def test_instance_started_in_a_burst():
    async def scenario(world):
        calls = plain_bursts.burst(
            world, per_s=plain_bursts.CAPACITY_PER_S, for_ms=4_000.0
        )
        await world.clock.sleep_ms(500.0)
        await world.start("e99", domain="b", declare=False, is_led=True)
        answers = await calls
        plain_bursts.check_answers(world, answers)
        assert world.instances["e99"].plain_permits.applies_to(
            deployments.PLAIN
        )
        assert plain_bursts.in_time_share(answers) > 0.9

    _run(scenario)


def test_store_down_while_a_follower_becomes_leader():
    async def scenario(world):
        world.endpoints.is_down = True
        world.configurations.is_down = True
        calls = plain_bursts.burst(
            world,
            per_s=0.8 * plain_bursts.CAPACITY_PER_S,
            for_ms=8_000.0,
            instances=_others(world),
        )
        await world.clock.sleep_ms(500.0)
        await _kill(world, "e0")
        answers = await calls
        plain_bursts.check_answers(world, answers)
        assert world.leader is not None
        assert plain_bursts.in_time_share(answers) > 0.8

    _run(scenario)


def test_callers_that_leave_free_their_places():
    """Neither their place in the queue nor a handler's slot stays taken."""

    async def scenario(world):
        links = world.instances["e0"].fleet.followers._links
        queues = world.instances["e0"].plain_permits.queues
        staying = plain_bursts.burst(
            world, per_s=OVERLOAD_PER_S, for_ms=1_000.0
        )
        await _wait_for_waiting(world, least=20)
        leaving = plain_bursts.burst(
            world,
            per_s=OVERLOAD_PER_S,
            for_ms=300.0,
            leave_after_ms=30.0,
            seed=4,
        )
        cancelled = []
        cancel = queues.cancel
        queues.cancel = lambda number: (
            cancelled.append(number),
            cancel(number),
        )
        await leaving
        await staying
        assert len(cancelled) > 30
        await world.clock.sleep_ms(10.0)
        plain_bursts.check_nothing_left(world)
        assert not any(link.running_handlers for link in links)

    _run(scenario)


def test_repeatable_call_asks_again_without_the_failed_endpoint(monkeypatch):
    async def scenario(world):
        asked = []
        request = plain_permit_client.PlainPermitClient._request

        def recorded(self, *args):
            made = request(self, *args)
            asked.append(made)
            return made

        monkeypatch.setattr(
            plain_permit_client.PlainPermitClient, "_request", recorded
        )
        for behind in world.backends.by_name.values():
            behind.status = 500
        answer = await world.ask("/lookup/1", instance="e1")
        assert answer.status == 500
        first, second = asked
        assert first.excluded == ()
        assert second.excluded == (world.backends.runs[-2].engine,)
        once = await world.ask("/sale/1", instance="e1")
        assert once.status == 500
        assert len(asked) == 3

    _run(scenario)


@pytest.mark.parametrize("instance", ["e0", "e1"])
def test_error_response_is_forwarded_if_the_retry_is_rejected(instance):
    """The answer of the first endpoint would be dropped for a router error."""

    async def scenario(world):
        queues = world.instances["e0"].plain_permits.queues
        decide = queues.decide

        async def reject_retries(service, call, *, target_ms):
            if call.excluded:
                reason = decisions.RejectReason.NO_TIME
                return decisions.Rejected(call.number, 50.0, reason)
            return await decide(service, call, target_ms=target_ms)

        queues.decide = reject_retries
        for behind in world.backends.by_name.values():
            behind.status = 500
        answer = await world.ask("/lookup/1", instance=instance)
        assert (answer.status, answer.error) == (500, None)

    _run(scenario, count=3)


def test_leader_without_calls_of_its_own_grants_permits():
    """It learns of loads by releases only, so it would refuse for ever."""

    async def scenario(world):
        queues = world.instances["e0"].plain_permits.queues
        for seed in range(3):
            answers = await plain_bursts.burst(
                world,
                per_s=0.5 * plain_bursts.CAPACITY_PER_S,
                for_ms=500.0,
                instances=["e1", "e2"],
                seed=seed,
            )
            plain_bursts.check_answers(world, answers)
        calls = plain_bursts.burst(
            world,
            per_s=OVERLOAD_PER_S,
            for_ms=1_500.0,
            instances=["e1", "e2"],
            seed=9,
        )
        await _wait_for_waiting(world, least=10)
        assert queues.in_flight > 0
        plain_bursts.check_answers(world, await calls)

    _run(scenario, count=3, first_callers=["e1", "e2"])


def test_two_messages_a_call():
    async def scenario(world):
        sent = []
        link = world.instances["e1"].fleet.link.link
        enqueue = link._enqueue
        link._enqueue = lambda data: sent.append(data) or enqueue(data)
        for _ in range(20):
            await world.ask("/sale/1", instance="e1")
        assert len(sent) <= 2 * 20 + 1
        assert max(map(len, sent)) < 200

    _run(scenario, count=3)


def test_release_brings_the_endpoints_report():
    async def scenario(world):
        seen = []
        server = plain_permit_server.PlainPermitServer.on_released

        def recorded(self, message):
            seen.append(message)
            server(self, message)

        plain_permit_server.PlainPermitServer.on_released = recorded
        try:
            await world.ask("/sale/1", instance="e1")
            await world.clock.sleep_ms(20.0)
        finally:
            plain_permit_server.PlainPermitServer.on_released = server
        (released,) = seen
        assert isinstance(released, plain_messages.PlainPermitReleased)
        assert released.outcome == "completed"
        assert released.took_ms == 80
        (load,) = released.loads.loads()
        assert load.slots == 6

    _run(scenario, count=3)


def test_owner_is_set_for_the_leader():
    """The tests above freeze the leader by this name."""

    async def scenario(world):
        assert virtual_time.OWNER.get() is None

    _run(scenario, count=2)
