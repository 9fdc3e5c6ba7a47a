"""Engines and instances that are paused beside changes, as real processes."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import disturbances as all_disturbances
from tests.real_processes import play

SEED = 1
_ENGINES = ("most", "all", "one")
_INSTANCES = ("one", "all")
# Time between the end of a pause and the next, in which streams go on.
_BETWEEN_S = 0.3
# Processes and callers by kind of call.
_PLAYS = {
    "streams": {
        "size": deployments.Size(plain=(0, 0)),
        "streams": 16,
        "plain": 0,
    },
    "plain_calls": {
        "size": deployments.Size(prefill=0, decode=(0, 0)),
        "streams": 0,
        "plain": 10,
    },
}


async def _change_alone(
    disturbing: all_disturbances.Disturbances, _: random.Random
) -> None:
    for kind in configurations.KINDS:
        await disturbing.change(kind)
        await asyncio.sleep(_BETWEEN_S)


async def _pause_engines_beside_changes(
    disturbing: all_disturbances.Disturbances, _: random.Random
) -> None:
    for number, kind in enumerate(configurations.KINDS):
        how_many = _ENGINES[number % len(_ENGINES)]
        await disturbing.beside(
            disturbing.pause_engines(how_many), disturbing.change(kind)
        )
        await asyncio.sleep(_BETWEEN_S)


async def _pause_engines_beside_signals(
    disturbing: all_disturbances.Disturbances, _: random.Random
) -> None:
    signals = (
        disturbing.change_settings,
        disturbing.stop_instance,
        disturbing.kill_leader,
    )
    for send in signals:
        await disturbing.beside(disturbing.pause_engines("all"), send())
        await asyncio.sleep(_BETWEEN_S)


async def _pause_instances_beside_changes(
    disturbing: all_disturbances.Disturbances, _: random.Random
) -> None:
    for number, kind in enumerate(configurations.KINDS):
        how_many = _INSTANCES[number % len(_INSTANCES)]
        await disturbing.beside(
            disturbing.pause_instances(how_many), disturbing.change(kind)
        )
        await asyncio.sleep(_BETWEEN_S)


def _check(outcome: play.Outcome) -> None:
    report = outcome.report
    assert not report.violations, "\n".join([str(report), *report.violations])
    assert report.whole


# A change of the configuration ends no answer that is under way.
@pytest.mark.parametrize("kind", _PLAYS)
async def test_changes_alone_end_no_answer(kind):
    _check(await play.play(SEED, _change_alone, **_PLAYS[kind]))


# An engine that is silent for a second was taken for lost, and its answers
# were ended though it went on.
@pytest.mark.parametrize("kind", _PLAYS)
@pytest.mark.parametrize(
    "script",
    [_pause_engines_beside_changes, _pause_engines_beside_signals],
    ids=["changes", "signals"],
)
async def test_paused_engines_end_no_answer(kind, script):
    outcome = await play.play(SEED, script, **_PLAYS[kind])
    _check(outcome)
    assert outcome.met_pauses


# After a stall of its own, an instance takes what it hasn't read yet for a
# silence of its engines.
@pytest.mark.parametrize("kind", _PLAYS)
async def test_paused_instances_end_no_answer(kind):
    _check(
        await play.play(SEED, _pause_instances_beside_changes, **_PLAYS[kind])
    )
