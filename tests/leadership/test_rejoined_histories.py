"""Streams are not joined, nor all refused, after a kill of all instances."""

from __future__ import annotations

import functools

import pytest

from tests.leadership import rejoined_histories as histories
from tests.leadership import rejoined_judging as judging

_SEED = 1
_EACH_CASE = pytest.mark.parametrize("case", histories.CASES, scope="module")
# Callers that name no request can only be told by a lone version, and those
# that begin just before a kill beside a release have no engines left.
_JUDGED = [
    name
    for name, case in histories.CASES.items()
    if (case.is_named or case.is_one_version) and name != "released_beside"
]


@functools.cache
def _verdict(case: str) -> judging.Verdict:
    """The verdict on one history, which is played once for all tests."""
    return histories.play(case, _SEED)


# A history whose callers are gone before instances are back shows nothing.
@_EACH_CASE
def test_histories_resume_over_kills(case):
    assert _verdict(case).streams >= 40


# After all instances were killed beside a release, streams went on at another
# version than the one that had begun them.
@_EACH_CASE
def test_streams_of_all_killed_hold_one_version(case):
    verdict = _verdict(case)
    assert (verdict.mixed, verdict.gaps) == (0, 0), str(verdict)


# After all instances were killed every stream was refused that callers took up,
# while new ones began and engines of their version served.
@pytest.mark.parametrize("case", _JUDGED, scope="module")
def test_streams_of_all_killed_go_on(case):
    verdict = _verdict(case)
    assert verdict.taken >= judging.LEAST_JUDGED, str(verdict)
    assert not verdict.is_lost, str(verdict)
