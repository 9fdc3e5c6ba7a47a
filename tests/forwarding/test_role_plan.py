"""Sizes of the prefill and decode pools."""

from __future__ import annotations

import pytest

from jujubewharf.configuration import resources
from jujubewharf.forwarding import role_plan
from tests.forwarding import deployments

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE


def _engines(readers: int, writers: int) -> list[resources.Endpoint]:
    roles = [PREFILL] * readers + [DECODE] * writers
    return [
        deployments.engine(f"e{i}", role, "abc"[i % 3]).endpoint
        for i, role in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("readers", "writers", "decode_ms", "expected"),
    [
        # A prefill costs a fifth of a decode.
        (3, 3, 480.0, 1),
        (0, 6, 480.0, 1),
        # A gain of a few percent doesn't justify a change.
        (2, 4, 480.0, 2),
        # One prefill engine would serve more, but losing it would cost half.
        (2, 3, 300.0, 2),
        # Equal costs lead to pools of equal size.
        (1, 7, 90.0, 4),
        (7, 1, 90.0, 4),
        # A prefill engine is needed after the last one is gone.
        (0, 4, 480.0, 1),
        (0, 3, 400.0, 1),
        # A single engine must be a decode engine.
        (0, 1, 480.0, 0),
    ],
)
def test_the_pools_are_kept_equally_busy(readers, writers, decode_ms, expected):
    engines = _engines(readers, writers)
    changes = role_plan.changes(engines, prefill_ms=90.0, decode_ms=decode_ms)
    more = sum(c.role is PREFILL for c in changes)
    less = sum(c.role is DECODE for c in changes)
    assert readers + more - less == expected
    assert not (more and less)


def test_readers_are_spread_over_domains():
    engines = [
        deployments.reader("p1", "a").endpoint,
        deployments.reader("p2", "a").endpoint,
        deployments.reader("p3", "b").endpoint,
        *(deployments.writer(f"d{i}", "c").endpoint for i in range(3)),
    ]
    found = role_plan.changes(engines, prefill_ms=90.0, decode_ms=480.0)
    assert [change.engine.domain for change in found] == ["a", "a"]
    assert {change.role for change in found} == {DECODE}


@pytest.mark.parametrize(
    ("readers", "writers", "expected"),
    [(3, 6, 3), (0, 6, 1), (6, 0, 5), (0, 1, 0), (1, 0, 0)],
)
def test_unknown_costs_change_no_more_than_an_empty_pool(
    readers, writers, expected
):
    engines = _engines(readers, writers)
    changes = role_plan.changes(engines, prefill_ms=None, decode_ms=400.0)
    more = sum(c.role is PREFILL for c in changes)
    less = sum(c.role is DECODE for c in changes)
    assert readers + more - less == expected
