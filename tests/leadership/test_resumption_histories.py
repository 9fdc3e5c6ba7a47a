"""Streams that callers resume go on in random histories of troubles."""

from __future__ import annotations

import functools

import pytest

from tests.leadership import resumption_faults as faults
from tests.leadership import resumption_histories as histories
from tests.leadership import resumption_judging as judging

_SEED = 1
_AT_20 = ("leader_domain_cut", "leader_paused", "store_away_leader_killed")
_AT_67 = ("leader_domain_cut",)
_CASES = [
    *((trouble, 6) for trouble in faults.TROUBLES),
    *((trouble, 20) for trouble in _AT_20),
    *((trouble, 67) for trouble in _AT_67),
]
_WITHOUT_STORE = [
    ("leader_domain_and_store_cut", 6),
    ("leader_without_store", 6),
    ("store_away", 6),
    ("store_away_leader_killed", 6),
    ("store_away_leader_killed", 20),
]


def _parametrize(cases):
    # Tests of one case follow each other, so that one worker of xdist plays
    # its history once.
    return pytest.mark.parametrize(
        ("trouble", "instances"), cases, scope="module"
    )


_EACH_CASE = _parametrize(_CASES)
_EACH_WITHOUT_STORE = _parametrize(_WITHOUT_STORE)


@functools.cache
def _verdict(trouble: str, instances: int) -> judging.Verdict:
    """The verdict on one history, which is played once for all tests."""
    return histories.play(trouble, instances, _SEED)


# A history that resumes too few streams would pass whatever becomes of them.
@_EACH_CASE
def test_histories_judge_enough_resumptions(trouble, instances):
    verdict = _verdict(trouble, instances)
    assert verdict.judged >= judging.least_judged(instances), str(verdict)


# Streams held events of two versions, or events twice, once callers resumed
# them at instances that did not know where they began.
@_EACH_CASE
def test_resumed_streams_hold_one_version_in_order(trouble, instances):
    verdict = _verdict(trouble, instances)
    assert (verdict.mixed, verdict.gaps) == (0, 0), str(verdict)


# Instances without a reachable leader began new streams, but refused nearly
# all those that callers resumed.
@_EACH_CASE
def test_half_of_resumed_streams_go_on(trouble, instances):
    verdict = _verdict(trouble, instances)
    assert verdict.in_touch.reaches(judging.BOUND), str(verdict)


# Callers that resume a stream fare worse than those that begin one, at
# instances that reach the store.
@_EACH_CASE
def test_streams_resume_as_often_as_new_ones_begin(trouble, instances):
    verdict = _verdict(trouble, instances)
    assert verdict.in_touch.reaches(judging.AIM), str(verdict)


# Callers that resume a stream fare worse than those that begin one, at
# instances that do not reach the store.
@_EACH_WITHOUT_STORE
def test_streams_resume_as_often_without_the_store(trouble, instances):
    verdict = _verdict(trouble, instances)
    assert verdict.out_of_touch.reaches(judging.AIM), str(verdict)
