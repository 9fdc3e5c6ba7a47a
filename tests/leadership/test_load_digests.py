"""Loads of plain endpoints that the leader shares with its followers."""

from __future__ import annotations

import contextlib
from unittest import mock

import pytest

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.experiments import virtual_time
from jujubewharf.leadership import followers
from jujubewharf.leadership import load_digests
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from tests.forwarding import deployments

NAMES = ("e1", "e2", "e3")
IDLE = reports.LoadReport(0, 0, 8)
BUSY = reports.LoadReport(6, 3, 6, 2.5)


def _run(check, *, endpoints: int = 3):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(10_000.0)
        loads = table.LoadTable(clock)
        digests = load_digests.LoadDigests(loads)
        behind = [deployments.plain_endpoint(f"s{n}") for n in range(endpoints)]
        behind.append(deployments.decode_engine("d1"))
        digests.set_endpoints([backend.endpoint for backend in behind])
        await check(digests, loads, clock)

    virtual_time.run(main())


def _names(digest: load_messages.LoadDigest) -> list[str]:
    return [load.endpoint for load in digest.loads()]


def test_no_digest_while_no_plain_endpoint_reports():
    async def check(digests, loads, clock):
        assert digests.next_digest() is None
        loads.record("d1", BUSY)
        assert digests.next_digest() is None

    _run(check)


def test_digest_only_if_a_report_is_newer():
    """Unchanged digests would cost each follower bytes for nothing."""

    async def check(digests, loads, clock):
        loads.record("s0", BUSY)
        await clock.sleep_ms(20.0)
        loads.record("s1", IDLE)
        assert _names(digests.next_digest()) == ["s1", "s0"]
        await clock.sleep_ms(500.0)
        assert digests.next_digest() is None
        loads.record("s0", BUSY)
        digest = digests.next_digest()
        assert list(digest.loads()) == [
            load_messages.EndpointLoad("s0", 6, 3, 6, 250, 0),
            load_messages.EndpointLoad("s1", 0, 0, 8, None, 500),
        ]
        assert digests.next_digest() is None

    _run(check)


def test_old_reports_are_not_sent():
    async def check(digests, loads, clock):
        loads.record("s0", BUSY)
        await clock.sleep_ms(table.MAX_AGE_MS + 1.0)
        assert digests.next_digest() is None

    _run(check)


def test_digest_has_the_newest_of_many_reports():
    async def check(digests, loads, clock):
        for number in range(40):
            loads.record(f"s{number}", IDLE)
            await clock.sleep_ms(1.0)
        assert _names(digests.next_digest()) == [
            f"s{number}" for number in range(39, 23, -1)
        ]
        assert digests.next_digest() is None

    _run(check, endpoints=40)


def test_reports_of_other_instances_are_applied_with_their_age():
    async def check(digests, loads, clock):
        load = load_messages.EndpointLoad("s0", 6, 3, 6, 250, 400)
        digests.apply([load])
        assert loads.get("s0").report == BUSY
        assert loads.get("s0").age_ms == pytest.approx(400.0)
        assert loads.slowdown("s0") == 1.0

    _run(check)


@pytest.mark.parametrize(
    "load",
    [
        load_messages.EndpointLoad("s0", -6, 3, 6),
        load_messages.EndpointLoad("s0", 6, 10**9, 6),
        load_messages.EndpointLoad("s0@9", 6, 3, 6),
        load_messages.EndpointLoad("d1", 6, 3, 6),
    ],
)
def test_invalid_reports_and_unknown_endpoints_are_left_out(load):
    """Figures of an earlier start, or of no endpoint, must not be stored."""

    async def check(digests, loads, clock):
        digests.apply([load, load_messages.EndpointLoad("s1", 0, 0, 8)])
        assert not loads.reports_load(load.endpoint)
        assert loads.get("s1").report == IDLE

    _run(check)


@contextlib.contextmanager
def _sent_digests():
    """Collects the digests that leaders send."""
    sent: list[load_messages.LoadDigest] = []
    send = followers.Followers._send

    def spy(self, message, to):
        if isinstance(message, load_messages.LoadDigest):
            sent.append(message)
        send(self, message, to)

    with mock.patch.object(followers.Followers, "_send", spy):
        yield sent


def _behind(load):
    return [
        deployments.plain_endpoint("s1", load=load),
        deployments.plain_endpoint("s2", load=load),
        deployments.prefill_engine("p1", load=load),
        deployments.decode_engine("d1", load=load),
    ]


async def _ask_leader(world, path: str = "/lookup/1") -> None:
    answer = await world.ask(path, instance=world.leader)
    assert answer.status == 200


def _plain_loads(world, name: str) -> list[reports.LoadReport]:
    """Reports of plain endpoints that an instance knows and may use."""
    loads = world.instances[name].loads
    known = [loads.get(endpoint) for endpoint in ("s1", "s2")]
    return [load.report for load in known if load is not None]


def test_followers_learn_the_load_from_the_leader():
    async def main():
        async with deployments.deployed(
            *_behind(BUSY), names=NAMES, is_led=True
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            with _sent_digests() as sent:
                await _ask_leader(world)
                await _ask_leader(world, "/verdicts/1")
                await world.clock.sleep_ms(600.0)
                await world.clock.sleep_ms(3_000.0)
            assert len(sent) == 1
            for name in NAMES:
                loads = world.instances[name].loads
                reported = [n for n in ("s1", "s2") if loads.reports_load(n)]
                assert len(reported) == 1, name

    deployments.run(main())


def test_load_of_a_lost_leader_is_used_until_it_is_old():
    async def main():
        async with deployments.deployed(
            *_behind(BUSY), names=NAMES, is_led=True
        ) as world:
            await world.clock.sleep_ms(2_000.0)
            leader = world.leader
            (follower, _) = [name for name in NAMES if name != leader]
            await _ask_leader(world)
            await world.clock.sleep_ms(505.0)
            await world.instances.pop(leader).stop()
            assert _plain_loads(world, follower) == [BUSY]
            await world.clock.sleep_ms(table.MAX_AGE_MS)
            assert _plain_loads(world, follower) == []

    deployments.run(main())


def test_nothing_is_sent_where_no_endpoint_reports_load():
    async def main():
        async with deployments.deployed(
            *_behind(None), names=NAMES, is_led=True
        ) as world:
            with _sent_digests() as sent:
                await world.clock.sleep_ms(2_000.0)
                await world.flood("/lookup/1", for_ms=2_000.0)
                await world.flood("/verdicts/1", for_ms=1_000.0, every_ms=90.0)
            assert sent == []
            for name in NAMES:
                loads = world.instances[name].loads
                assert not any(map(loads.reports_load, world.backends.by_name))

    deployments.run(main())


def test_older_followers_ignore_digests():
    """Builds that don't know the message keep their links and serve."""

    async def main():
        with mock.patch.dict(messages.TYPE_OF_NUMBER):
            del messages.TYPE_OF_NUMBER[120]
            async with deployments.deployed(
                *_behind(BUSY), names=NAMES, is_led=True
            ) as world:
                await world.clock.sleep_ms(2_000.0)
                leader = world.leader
                with _sent_digests() as sent:
                    for _ in range(4):
                        await _ask_leader(world)
                        await world.clock.sleep_ms(500.0)
                assert len(sent) == 4
                for name in NAMES:
                    answer = await world.ask("/sale/1", instance=name)
                    assert answer.status == 200
                    if name == leader:
                        continue
                    assert world.instances[name].fleet.link.is_open
                    assert world.leader == leader

    deployments.run(main())
