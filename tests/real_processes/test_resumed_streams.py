"""Streams that callers resume beside signals and releases of real processes."""

from __future__ import annotations

import asyncio

import pytest

from tests.real_processes import answers
from tests.real_processes import resumed_streams
from tests.real_processes import resumption_checks as checks

pytestmark = pytest.mark.timeout(300)
SEED = 1
_DISTURBED_S = {"all": 12.0, "leaders": 9.0, "killed": 14.0}


def _play(kind: resumed_streams.Kind) -> checks.Report:
    playing = resumed_streams.play(
        SEED, kind=kind, disturbed_s=_DISTURBED_S[kind]
    )
    outcome = asyncio.run(playing)
    print("; ".join(outcome.done), *outcome.report.lines(), sep="\n")
    return outcome.report


def _check(report: checks.Report) -> None:
    assert not report.violations, "\n".join(report.violations)
    assert set(report.versions) == set(answers.VERSIONS)
    assert report.judged.resumed >= resumed_streams.LEAST_JUDGED_A_SEED
    assert not report.below(), "\n".join(report.below())


# A stream that goes on at an engine of another version holds events that don't
# fit together; one that is refused is lost to its caller.
def test_streams_resume_beside_signals_and_releases():
    _check(_play("all"))


# While the leader stands still or is cut off nobody else tells where a stream
# began, so that instances refuse to resume streams while they begin new ones.
def test_streams_resume_without_the_leader_in_reach():
    report = _play("leaders")
    _check(report)
    judged = report.shares[checks.Group.CUT].resumed
    assert judged >= checks.LEAST_JUDGED


# After all instances were killed nobody remembered where streams had begun: all
# were refused, or joined from two versions once one was out of sight.
def test_streams_resume_after_kills_of_all():
    report = _play("killed")
    _check(report)
    judged = report.shares[checks.Group.KILLED].resumed
    assert judged >= checks.LEAST_JUDGED
