"""Relative speeds of engines from observations and reports."""

from __future__ import annotations

import random

import pytest
import structlog.testing

from jujubewharf import clock as clocks
from jujubewharf.engine_speeds import observations
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.experiments import virtual_time
from tests.forwarding import deployments

PREFILL = all_speeds.Stage.PREFILL
DECODE = all_speeds.Stage.DECODE
NAMES = [f"d{n}" for n in range(8)]
ENGINES = [deployments.decode_engine(name).endpoint for name in NAMES]


class _World:
    """Engines whose times are recorded on a virtual clock.

    Attributes:
        times: Relative time of each engine.
        slowdowns: Actual slowdowns at present.
        reports: Reported slowdowns at present.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.rng = random.Random(seed)
        self.times: dict[str, float] = dict.fromkeys(NAMES, 1.0)
        self.slowdowns: dict[str, float] = {}
        self.reports: dict[str, float] = {}
        self.speeds = all_speeds.EngineSpeeds(
            self.clock, lambda name: self.reports.get(name, 1.0)
        )
        self.speeds.update_engines(ENGINES)

    async def work(
        self, rounds: int, *, noise: float = 0.1, queued_share: float = 0.0
    ) -> None:
        """Lets each engine read prompts and write events."""
        for _ in range(rounds):
            for name in NAMES:
                time = self.times[name] * self.slowdowns.get(name, 1.0)
                time *= self.rng.uniform(1.0 - noise, 1.0 + noise)
                tokens = self.rng.randrange(500, 5_000)
                load = self.rng.randrange(0, 30_000)
                queued_ms = 0.0
                if self.rng.random() < queued_share:
                    queued_ms = self.rng.uniform(0.0, 400.0)
                took_ms = (20.0 + tokens * 0.02) * time
                self.speeds.record_prefill(
                    name,
                    took_ms + queued_ms,
                    tokens=tokens,
                    # Half of the prompts are queued behind other instances'
                    # prompts, which aren't seen here.
                    busy_ms=took_ms + queued_ms * self.rng.choice((0.0, 1.0)),
                )
                self.speeds.record_event_time(
                    name, (30.0 + load * 0.001) * time, reserved_tokens=load
                )
            await self.clock.sleep_ms(100.0)


def _run(test, **settings):
    async def main():
        await test(_World(**settings))

    virtual_time.run(main())


@pytest.mark.parametrize("seed", range(5))
def test_equal_engines_count_as_equal_in_spite_of_noise(seed):
    """Noise, load or prompt sizes must not change any decision."""

    async def test(world):
        for _ in range(20):
            await world.work(3)
            assert not world.speeds.has_unequal

    _run(test, seed=seed)


@pytest.mark.parametrize("seed", range(5))
def test_slow_engines_are_found(seed):
    """A quarter at half the speed, though a third of the prompts queue."""

    async def test(world):
        world.times |= {"d0": 2.0, "d1": 2.0}
        await world.work(30, queued_share=0.3)
        for stage in all_speeds.Stage:
            found = {n: world.speeds.lasting(n, stage) for n in NAMES}
            assert 1.5 < found["d0"] < 2.5 and 1.5 < found["d1"] < 2.5
            # A few engines may seem a little slower where prompts queue.
            assert max(found[n] for n in NAMES[2:]) < 1.4

    _run(test, seed=seed)


def test_speeds_within_a_tenth_count_as_equal():
    async def test(world):
        world.times |= {"d0": 1.06, "d1": 0.95}
        await world.work(40, noise=0.0)
        assert not world.speeds.has_unequal

    _run(test)


def test_few_observations_count_little():
    """A few slow answers must not push an engine to the end."""

    async def test(world):
        await world.work(12)
        world.times["d0"] = 2.0
        world.speeds.update_engines(ENGINES[1:])
        world.speeds.update_engines(ENGINES)
        await world.work(observations.MIN_OBSERVATIONS - 1)
        await world.clock.sleep_ms(500.0)
        assert world.speeds.lasting("d0", DECODE) == 1.0
        await world.work(4)
        early = world.speeds.lasting("d0", DECODE)
        await world.work(20)
        assert 1.0 < early < world.speeds.lasting("d0", DECODE)

    _run(test)


def test_engine_that_starts_anew_is_unknown():
    """Each start has a name of its own; figures must not pass over."""

    async def test(world):
        world.times["d0"] = 2.0
        await world.work(20)
        assert world.speeds.lasting("d0", DECODE) > 1.5
        again = deployments.decode_engine("d0+1").endpoint
        world.speeds.update_engines([*ENGINES[1:], again])
        for name in ("d0", "d0+1"):
            assert world.speeds.lasting(name, DECODE) == 1.0

    _run(test)


def test_engine_without_new_observations_becomes_unknown():
    """An engine that got no work because it was slow must be tried again."""

    async def test(world):
        world.times["d0"] = 2.0
        await world.work(20)
        await world.clock.sleep_ms(observations.MAX_IDLE_MS + 1.0)
        world.speeds.record_event_time("d1", 30.0, reserved_tokens=0)
        assert not world.speeds.has_unequal

    _run(test)


def test_prompts_read_together_say_nothing_of_the_speed():
    """An engine that reads prompts together would look fast when loaded."""

    async def test(world):
        for n in range(40):
            for name in NAMES:
                busy_ms = 10.0 if name == "d0" and n % 2 else 100.0
                world.speeds.record_prefill(
                    name, 100.0, tokens=1_000, busy_ms=busy_ms
                )
            await world.clock.sleep_ms(100.0)
        assert not world.speeds.has_unequal

    _run(test)


def test_busy_engine_stays_known():
    """Its prompts are all queued, which must not make it unknown."""

    async def test(world):
        world.times["d0"] = 2.0
        await world.work(20)
        for _ in range(10):
            await world.clock.sleep_ms(observations.MAX_IDLE_MS / 8)
            for name in NAMES:
                world.speeds.record_prefill(
                    name, 900.0, tokens=1_000, busy_ms=100.0
                )
        assert world.speeds.lasting("d0", PREFILL) > 1.5

    _run(test)


def test_role_change_keeps_what_is_known_of_the_machine():
    async def test(world):
        for _ in range(20):
            for name in NAMES:
                took_ms = 200.0 if name == "d0" else 100.0
                world.speeds.record_prefill(
                    name, took_ms, tokens=1_000, busy_ms=took_ms
                )
            await world.clock.sleep_ms(100.0)
        assert 1.5 < world.speeds.lasting("d0", DECODE) <= 2.0

    _run(test)


def test_reported_slowdown_counts_once_and_only_while_reported():
    """Times observed meanwhile must not make the engine slow for good."""

    async def test(world):
        await world.work(12)
        world.slowdowns["d0"] = world.reports["d0"] = 2.5
        await world.work(6)
        assert world.speeds.at_present("d0", DECODE) == 2.5
        assert world.speeds.lasting("d0", DECODE) == 1.0
        del world.slowdowns["d0"], world.reports["d0"]
        await world.work(1)
        assert world.speeds.at_present("d0", DECODE) == 1.0

    _run(test)


def test_machine_that_always_reports_a_slowdown_is_believed():
    async def test(world):
        world.slowdowns["d0"] = world.reports["d0"] = 2.5
        await world.work(20)
        assert 2.2 < world.speeds.at_present("d0", PREFILL) < 2.8

    _run(test)


@pytest.mark.parametrize("is_new", [False, True])
def test_lying_report_of_a_slowdown_is_ignored_once_contradicted(is_new):
    """An engine must not escape all work by reporting a slowdown."""

    async def test(world):
        if not is_new:
            await world.work(12)
        world.reports["d0"] = 50.0
        assert world.speeds.at_present("d0", DECODE) == 50.0
        await world.work(12)
        await world.clock.sleep_ms(500.0)
        await world.work(1)
        assert world.speeds.at_present("d0", DECODE) == 1.0
        assert not world.speeds.has_unequal

    _run(test)


def test_report_of_a_faster_machine_draws_no_load():
    async def test(world):
        world.reports["d0"] = 0.01
        await world.work(12)
        assert world.speeds.at_present("d0", DECODE) == 1.0

    _run(test)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -5.0, 0.0])
def test_impossible_times_are_ignored(value):
    """A follower may report anything."""

    async def test(world):
        for _ in range(20):
            for name in NAMES:
                world.speeds.record_event_time(name, value, reserved_tokens=0)
            world.speeds.record_slowdown("d0", value)
            world.speeds.record_event_time("d0", 30.0, reserved_tokens=-1)
            world.speeds.record_event_time("gone", 30.0, reserved_tokens=0)
            await world.clock.sleep_ms(100.0)
        assert world.speeds.slowdown("d0") == 1.0
        assert not world.speeds.has_unequal

    _run(test)


def test_slowdown_told_by_a_follower_counts_while_it_is_fresh():
    async def test(world):
        world.speeds.record_slowdown("d0", 2.5)
        await world.clock.sleep_ms(250.0)
        assert world.speeds.slowdown("d0") == 2.5
        await world.clock.sleep_ms(100.0)
        assert world.speeds.slowdown("d0") == 1.0

    _run(test)


def test_changes_by_a_step_are_logged_once():
    async def test(world):
        with structlog.testing.capture_logs() as lines:
            world.times["d0"] = 2.0
            await world.work(30, noise=0.0)
        found = [(n["engine"], n["stage"]) for n in lines]
        assert set(found) == {("d0", "prefill"), ("d0", "decode")}
        assert len(found) <= 6

    _run(test)
