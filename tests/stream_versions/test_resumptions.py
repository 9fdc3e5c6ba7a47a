"""Streams that callers resume: who knows their version, and refusals."""

from __future__ import annotations

import asyncio
import dataclasses

import structlog

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import error_responses
from jujubewharf.forwarding import routes
from jujubewharf.leadership import followers as all_followers
from jujubewharf.peers import leader_messages
from jujubewharf.standins import backend_state
from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

UNKNOWN = errors.ErrorKind.STREAM_ORIGIN_UNKNOWN
GONE = errors.ErrorKind.STREAM_VERSION_GONE
# Time within which what can't be served is refused.
AT_ONCE_MS = 50.0
LONG_MS = 75_000.0


def _behind(*names: str):
    behind = [versions.prefill_engine(names[0])]
    for name in names:
        behind += versions.decode_engines(name, count=2)
    return behind


async def _resume(world, *, began_by, instance="e2", last=3, **more):
    return await world.ask(
        "/verdicts/1",
        instance=instance,
        last_event=last,
        began_by=began_by,
        **more,
    )


async def _begin(world, request_id: str, *, instance="e1", **more):
    """Begins a stream that its caller leaves after some events."""
    return await world.ask(
        "/verdicts/1",
        instance=instance,
        request_id=request_id,
        leave_after_ms=500.0,
        **more,
    )


def _versions_of(answer) -> set[str]:
    lines = answer.body.decode().split("\n")
    return {line.split(" ")[-1] for line in lines if line.startswith("data")}


def _check_refused(world, answer, kind) -> None:
    assert answer.error is not None
    assert answer.error.kind is kind
    assert answer.error.ran is errors.Ran.NO
    assert error_responses.status_of(answer.error) == 503
    assert answer.took_ms < AT_ONCE_MS


def test_every_instance_resumes_at_the_version_that_began():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            for number in range(6):
                request_id = f"s{number}"
                begun = await _begin(world, request_id)
                for name in sorted(world.instances):
                    answer = await _resume(
                        world, began_by=request_id, instance=name
                    )
                    assert answer.numbers == list(range(4, 21))
                    assert _versions_of(answer) == _versions_of(begun)

    deployments.run(main())


# The leader and the instance that began the stream are gone at once.
def test_standby_knows_streams_after_two_kills():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            callers = versions.Callers(world)
            names = sorted(world.instances)
            leader = world.leader
            began = next(n for n in names if n != leader)
            begun = [
                await _begin(world, f"s{n}", instance=began) for n in range(4)
            ]
            await asyncio.gather(callers.kill(leader), callers.kill(began))
            await world.clock.sleep_ms(6_000.0)
            left = sorted(world.instances)
            for number, former in enumerate(begun):
                answer = await _resume(
                    world, began_by=f"s{number}", instance=left[number % 4]
                )
                assert answer.error is None
                assert _versions_of(answer) == _versions_of(former)

    deployments.run(main())


# The line of a refusal did not tell whether anybody could be asked.
def test_refused_resumption_tells_who_was_asked():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            follower = next(n for n in world.instances if n != world.leader)
            with structlog.testing.capture_logs() as lines:
                await _resume(world, began_by="never-began", instance=follower)
            line = next(e for e in lines if e["event"] == "stream_not_resumed")
            assert line["role"] == "following"
            assert line["role_ms"] > 1_000
            assert line["asked"] == line["answered"] >= 1
            assert line["view_age_ms"] < 1_500

    deployments.run(main())


# An instance that doesn't know the version would have guessed one.
def test_stream_that_nobody_knows_is_refused_at_once():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            await world.clock.sleep_ms(LONG_MS)
            for began_by in ("never-began", None):
                answer = await _resume(world, began_by=began_by)
                _check_refused(world, answer, UNKNOWN)

    deployments.run(main())


def test_stream_of_a_service_with_one_version_needs_no_memory():
    async def main():
        async with versions.deployed(*_behind("v1")) as world:
            answer = await _resume(world, began_by=None)
            _check_refused(world, answer, UNKNOWN)
            await world.clock.sleep_ms(LONG_MS)
            for began_by in ("never-began", None):
                answer = await _resume(world, began_by=began_by)
                assert answer.numbers == list(range(4, 21))

    deployments.run(main())


def test_other_account_does_not_resume_the_stream():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            token = (("Authorization", "Bearer a"),)
            await _begin(world, "s1", headers=token)
            answer = await _resume(world, began_by="s1")
            _check_refused(world, answer, UNKNOWN)
            answer = await _resume(world, began_by="s1", headers=token)
            assert answer.error is None

    deployments.run(main())


# The leader's view may be late. Its refusal told the caller that the queue is
# full, though the instance that was asked knew engines of the version.
def test_follower_places_what_its_leader_knows_no_engine_for(monkeypatch):
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            begun = await _begin(world, "s1")
            (version,) = _versions_of(begun)
            _hide_version(monkeypatch, world.instances[world.leader], version)
            followers = sorted(set(world.instances) - {world.leader})
            for name in followers:
                answer = await _resume(world, began_by="s1", instance=name)
                assert answer.error is None
                assert answer.numbers == list(range(4, 21))
                assert _versions_of(answer) == {version}
            answer = await _resume(world, began_by="s1", instance=world.leader)
            _check_refused(world, answer, GONE)

    deployments.run(main())


def test_version_that_nobody_knows_is_gone_at_followers_too(monkeypatch):
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            begun = await _begin(world, "s1")
            (version,) = _versions_of(begun)
            for instance in world.instances.values():
                _hide_version(monkeypatch, instance, version)
            for name in sorted(world.instances):
                answer = await _resume(world, began_by="s1", instance=name)
                _check_refused(world, answer, GONE)

    deployments.run(main())


def _hide_version(monkeypatch, instance, version: str) -> None:
    """Lets an instance know no engine of a version."""
    known = instance.registry.of_service

    def without_version(service: str):
        return [e for e in known(service) if e.software_version != version]

    monkeypatch.setattr(instance.registry, "of_service", without_version)


# Such a request waited for its deadline, and its caller with it.
def test_stream_without_an_engine_of_its_version_is_refused_at_once():
    async def main():
        async with versions.deployed(*_behind("v1", "v2")) as world:
            begun = await _begin(world, "s1")
            (version,) = _versions_of(begun)
            for backend in world.backends.by_name.values():
                if backend.software_version == version:
                    world.register(backend, drained=True)
            await world.clock.sleep_ms(1_000.0)
            for name in sorted(world.instances):
                answer = await _resume(world, began_by="s1", instance=name)
                _check_refused(world, answer, GONE)

    deployments.run(main())


def test_answer_without_another_engine_of_its_version_breaks_off_at_once():
    async def main():
        dying = versions.engine("d1", "v1", resources.Role.DECODE)
        dying.breaks_after = 4
        other = versions.engine("d2", "v2", resources.Role.DECODE)
        other.is_unreachable = True
        async with versions.deployed(
            versions.prefill_engine("v1"), dying, other
        ) as world:
            asked = asyncio.ensure_future(world.ask("/verdicts/1"))
            await world.clock.sleep_ms(150.0)
            other.is_unreachable = False
            world.register(dying, drained=True)
            answer = await asked
            assert answer.numbers == [1, 2, 3, 4]
            assert answer.error.kind is errors.ErrorKind.ANSWER_BROKEN
            assert answer.took_ms < 1_000.0

    deployments.run(main())


# A process that is back under its id may be of another version, while the store
# still shows the one before.
def test_restarted_engine_of_the_same_id_gets_no_resumed_stream():
    async def main():
        engines = versions.decode_engines("v1", count=3)
        for backend in engines:
            backend.endpoint = dataclasses.replace(
                backend.endpoint, started_ms=1
            )
        async with versions.deployed(
            versions.prefill_engine("v1"), *engines
        ) as world:
            for number in range(6):
                request_id = f"s{number}"
                begun = await _begin(world, request_id)
                assert _versions_of(begun) == {"v1"}
                restarted = engines[number % 3]
                restarted.running_version = "v2"
                restarted.is_restarted = True
                answer = await _resume(world, began_by=request_id)
                assert _versions_of(answer) <= {"v1"}
                restarted.running_version = None
                restarted.is_restarted = False
                world.register(restarted)
                await world.clock.sleep_ms(2_000.0)

    deployments.run(main())


# While the store is away nobody learns of a restart, so what such an engine
# began has no version before it has been asked.
def test_stream_that_a_restarted_engine_began_is_in_doubt():
    async def main():
        engines = versions.decode_engines("v1", count=2)
        for backend in engines:
            backend.endpoint = dataclasses.replace(
                backend.endpoint, started_ms=1
            )
        async with versions.deployed(
            versions.prefill_engine("v1"), *engines
        ) as world:
            world.store.outage = stores.Outage.RESET
            await world.clock.sleep_ms(3_000.0)
            for backend in engines:
                backend.running_version = "v2"
                backend.is_restarted = True
            await _begin(world, "s1")
            for backend in engines[1:]:
                backend.running_version = None
                backend.is_restarted = False
            answer = await _resume(world, began_by="s1", instance="e1")
            _check_refused(world, answer, UNKNOWN)
            # One that is what it was is asked, and then known.
            engines[0].is_unreachable = True
            begun = await _begin(world, "s2")
            assert _versions_of(begun) == {"v1"}
            answer = await _resume(world, began_by="s2", instance="e1")
            assert _versions_of(answer) == {"v1"}

    deployments.run(main())


# An older build sends endpoints without versions, and places at any version.
def test_followers_of_an_older_leader_keep_versions_apart(monkeypatch):
    send = all_followers.Followers._send

    def send_without_versions(self, message, to):
        if isinstance(message, leader_messages.EndpointUpdate):
            message = _without_versions(message)
        send(self, message, to)

    monkeypatch.setattr(all_followers.Followers, "_send", send_without_versions)

    async def main():
        world = deployments.Deployment(*_behind("v1", "v2"))
        await world.start("e1", is_led=True)
        leader = world.instances["e1"]
        _make_older(leader)
        await world.start("e2", "e3", declare=False, is_led=True)
        await world.clock.sleep_ms(4_000.0)
        assert leader.fleet.is_leading
        for backend in world.backends.by_name.values():
            world.register(backend, slots=9)
        await world.clock.sleep_ms(2_000.0)
        for number in range(12):
            begun = await _begin(world, f"s{number}", instance="e2")
            answer = await _resume(world, began_by=f"s{number}", instance="e2")
            assert answer.error is None
            assert _versions_of(answer) == _versions_of(begun)
        await world.stop()

    deployments.run(main())


def _make_older(leader) -> None:
    """Has a leader neither know nor tell versions."""
    followers = leader.fleet.followers
    followers._hello = dataclasses.replace(followers._hello, capabilities=())
    placement = leader._placement
    placement._fitting_engines = placement._permitted_engines


FEED = dataclasses.replace(
    deployments.STREAM,
    name="feed",
    path_prefix="/feed/",
    shares=(routes.Share(deployments.PLAIN, 1.0),),
    is_model=False,
)


def _feed_endpoint(name: str, version: str):
    endpoint = dataclasses.replace(
        versions.engine(name, version, resources.Role.PLAIN).endpoint,
        service=deployments.PLAIN,
    )
    return backend_state.StandInBackend(endpoint, is_streaming=True)


async def _start_feeds(*endpoints):
    world = deployments.Deployment(*endpoints)
    await world.start("e1", is_led=True)
    await world.start("e2", declare=False, is_led=True)
    world.configurations.put("config", deployments.configuration(2, FEED))
    await world.clock.sleep_ms(4_000.0)
    return world


def test_stream_of_a_plain_service_keeps_its_version():
    async def main():
        world = await _start_feeds(
            *(_feed_endpoint(f"s{n}", f"v{n % 2}") for n in range(4))
        )
        for number in range(8):
            request_id = f"s{number}"
            begun = await world.ask(
                "/feed/1",
                request_id=request_id,
                leave_after_ms=170.0,
            )
            assert begun.numbers == [1, 2, 3]
            answer = await world.ask(
                "/feed/1", instance="e2", last_event=3, began_by=request_id
            )
            assert answer.numbers == [4, 5]
            assert _versions_of(answer) == _versions_of(begun)
        answer = await world.ask("/feed/1", last_event=3, began_by="other")
        _check_refused(world, answer, UNKNOWN)
        await world.stop()

    deployments.run(main())


# Without length or chunks it looked like a whole answer.
def test_stream_of_a_plain_service_that_ends_inside_an_event_breaks_off():
    async def main():
        endpoint = _feed_endpoint("s1", "v1")
        endpoint.ends_after = 2
        world = await _start_feeds(endpoint)
        answer = await world.ask("/feed/1")
        assert answer.error.kind is errors.ErrorKind.ANSWER_BROKEN
        assert answer.error.ran is not errors.Ran.NO
        await world.stop()

    deployments.run(main())


def _without_versions(message):
    records = tuple(
        dataclasses.replace(
            record,
            endpoint=dataclasses.replace(record.endpoint, software_version=""),
        )
        if record.endpoint is not None
        else record
        for record in message.records
    )
    return dataclasses.replace(message, records=records)
