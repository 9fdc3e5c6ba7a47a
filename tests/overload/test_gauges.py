"""Gauges and counters of overloaded services."""

from __future__ import annotations

import asyncio
import collections

import pytest

from jujubewharf import clock as clocks
from jujubewharf.admission import fair_share
from jujubewharf.admission import tickets
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import state_log
from jujubewharf.overload import gauges
from jujubewharf.plain_calls import endpoint_group
from tests.forwarding import class_loads
from tests.forwarding import deployments
from tests.leadership import plain_bursts


class _Counter:
    """Stands for a counter and keeps what was added, by labels."""

    def __init__(self) -> None:
        self.totals: collections.Counter[tuple[tuple[str, str], ...]]
        self.totals = collections.Counter()

    def add(self, amount, labels):
        self.totals[tuple(sorted(labels.items()))] += amount

    def of(self, **labels) -> int:
        wanted = set(labels.items())
        return sum(n for key, n in self.totals.items() if wanted <= set(key))


@pytest.fixture
def counters(monkeypatch):
    """The counters of decisions and answers, by name."""
    found = {}
    for module, name in (
        (state_log, "_ADMISSIONS"),
        (state_log, "_PLAIN_DECISIONS"),
        (request_log, "_ANSWERS"),
    ):
        found[name] = _Counter()
        monkeypatch.setattr(module, name, found[name])
    return found


def _by_labels(observations):
    return {tuple(sorted(o.attributes.items())): o.value for o in observations}


def test_plain_burst_is_counted_once_for_each_call(counters):
    """Guards against calls that are missing in the counters or counted twice.

    The gauges show what waits at the leader, and nothing once it is over.
    """

    async def main():
        world = await plain_bursts.started(*plain_bursts.endpoints())
        for counter in counters.values():
            counter.totals.clear()
        calls = plain_bursts.burst(
            world, per_s=2 * plain_bursts.CAPACITY_PER_S, for_ms=1_500.0
        )
        await world.clock.sleep_ms(1_000.0)
        view = world.instances["e0"].overload
        waiting = _by_labels(gauges.waiting(view))
        (key,) = waiting
        assert dict(key) == {"service": deployments.PLAIN, "priority": "5"}
        assert (
            waiting[key] == world.instances["e0"].plain_permits.queues.waiting
        )
        (oldest_ms,) = _by_labels(gauges.oldest_waits(view)).values()
        assert 0.0 < oldest_ms < deployments.SALE.timeout_ms
        limits = _by_labels(gauges.limits(view))
        assert list(limits.values()) == [7.0] * 3
        in_flight = _by_labels(gauges.in_flight(view))
        granted = [n for k, n in in_flight.items() if ("calls", "granted") in k]
        assert granted == [7] * 3
        answers = await calls
        await world.clock.sleep_ms(3_000.0)
        assert not _by_labels(gauges.waiting(view))
        await world.stop()
        return answers

    answers = deployments.run(main())
    decided = counters["_PLAIN_DECISIONS"]
    assert decided.of() == len(answers)
    served = sum(a.status == 200 for a in answers)
    assert decided.of(outcome="granted") == served
    assert decided.of(outcome="no_time") == len(answers) - served
    in_time = sum(
        a.status == 200 and a.took_ms <= deployments.SALE.target_ms
        for a in answers
    )
    ended = counters["_ANSWERS"]
    assert ended.of(outcome="in_time") == in_time
    assert ended.of(outcome="late") == served - in_time


def test_greedy_account_is_the_one_over_its_share(counters):
    """Guards the groups of accounts: only the greedy one is over its share."""

    async def main():
        async with class_loads.deployed(
            all_accounts=class_loads.ACCOUNTS[:3],
            all_routes=[class_loads.URGENT],
        ) as world:
            load = class_loads.Load(world, seed=4)
            room = class_loads.ROOM_PER_S
            await asyncio.gather(
                *(
                    load.send(
                        class_loads.URGENT,
                        per_s=room * part,
                        for_ms=6_000.0,
                        account=account,
                    )
                    for account, part in enumerate((3.0, 0.1, 0.1))
                )
            )
            await asyncio.sleep(0)
            view = world.instances["e1"].overload
            (waiting,) = _by_labels(gauges.waiting(view)).values()
            assert waiting > 5
            return await load.finish()

    asked = deployments.run(main())
    admissions = counters["_ADMISSIONS"]
    assert admissions.of(accounts="over_share") > 0
    assert admissions.of(accounts="within_share") > 0
    accounts = {
        v for key in admissions.totals for n, v in key if n == "accounts"
    }
    assert accounts <= {"over_share", "within_share", "none"}
    total = admissions.of() - admissions.of(outcome="waited")
    assert total == len(asked)


@pytest.mark.parametrize(
    ("counts", "weights", "group"),
    [
        ({}, {}, "none"),
        ({"b": 1}, {}, "within_share"),
        ({"a": 5, "b": 1}, {}, "over_share"),
        ({"a": 5, "b": 1}, {"a": 9.0}, "within_share"),
        ({"a": 1, "b": 5}, {"b": 9.0}, "over_share"),
    ],
)
def test_account_group_follows_weights(counts, weights, group):
    """The group must compare an account with its weight, not with a half."""
    shares = fair_share.FairShare(weights)
    for account, count in counts.items():
        for _ in range(count):
            shares.queued(_ticket(account))
    assert shares.group(_ticket("a")).value == group


def _ticket(account: str, priority: int = 0) -> tickets.Ticket:
    return tickets.Ticket(priority, account, 1.0, False, False, 100.0)


class _Large:
    """Sources with far more of everything than a deployment has."""

    def waits(self):
        waits = {n: tickets.Waits(1, 10.0 * n) for n in range(1_000)}
        return {"s1": waits, "s2": waits}

    def endpoint_loads(self):
        return [
            endpoint_group.Load(
                resources.Endpoint(
                    f"i-{n}", "s1", f"{n:04}:1", "a", resources.Role.PLAIN
                ),
                7.0,
                1,
                0,
            )
            for n in range(5_900)
        ]

    def speed_spreads(self):
        spread = all_speeds.SpeedSpread(1_000, 3_900, 1_000, 0.5, 2.5)
        return {("s1", stage): spread for stage in all_speeds.Stage}


def test_number_of_series_is_bounded():
    """Metrics of a large deployment must not grow with what is configured."""
    sources = _Large()
    waiting = _by_labels(gauges.waiting(sources))
    assert len(waiting) == 2 * 11
    assert waiting[(("priority", "10+"), ("service", "s1"))] == 990
    oldest = _by_labels(gauges.oldest_waits(sources))
    assert oldest[(("priority", "10+"), ("service", "s1"))] == 9_990.0
    assert len(_by_labels(gauges.limits(sources))) == gauges.MAX_ENDPOINTS
    assert (
        len(_by_labels(gauges.in_flight(sources))) == 2 * gauges.MAX_ENDPOINTS
    )
    assert len(_by_labels(gauges.engine_counts(sources))) == 6
    assert len(_by_labels(gauges.relative_times(sources))) == 4


class _Speeds(_Large):
    """Sources with the speeds of real observations."""

    def __init__(self, speeds):
        self._speeds = speeds

    def speed_spreads(self):
        stage = all_speeds.Stage.DECODE
        return {("s1", stage): self._speeds.spread("s1", stage)}


def test_speeds_of_engines_are_observed():
    """A slow engine must show in both gauges of speeds."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        speeds = all_speeds.EngineSpeeds(clock)
        engines = [
            resources.Endpoint(
                f"d{n}", "s1", f"d{n}:1", "a", resources.Role.DECODE
            )
            for n in range(4)
        ]
        speeds.update_engines(engines)
        for _ in range(60):
            await clock.sleep_ms(100.0)
            for engine in engines:
                event_ms = 100.0 if engine.name == "d3" else 50.0
                speeds.record_event_time(
                    engine.name, event_ms, reserved_tokens=0
                )
        return _Speeds(speeds)

    sources = virtual_time.run(main())
    counts = _by_labels(gauges.engine_counts(sources))
    labels = {"service": "s1", "stage": "decode"}
    assert counts == {
        tuple(sorted((labels | {"speed": speed}).items())): number
        for speed, number in (("faster", 0), ("usual", 3), ("slower", 1))
    }
    times = _by_labels(gauges.relative_times(sources))
    slowest = tuple(sorted((labels | {"engine": "slowest"}).items()))
    assert 1.5 < times[slowest] < 2.5
