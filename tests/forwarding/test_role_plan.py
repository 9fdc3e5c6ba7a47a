"""Sizes of the prefill and decode pools."""

from __future__ import annotations

import random

import pytest

from jujubewharf.configuration import resources
from jujubewharf.forwarding import role_plan
from tests.engine_speeds import former_ranks
from tests.forwarding import deployments

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE


def _engines(prefill_count: int, decode_count: int) -> list[resources.Endpoint]:
    roles = [PREFILL] * prefill_count + [DECODE] * decode_count
    return [
        deployments.engine(f"e{i}", role, "abc"[i % 3]).endpoint
        for i, role in enumerate(roles)
    ]


@pytest.mark.parametrize(
    ("prefill_count", "decode_count", "decode_ms", "expected"),
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
def test_pool_sizes_balance_load(
    prefill_count, decode_count, decode_ms, expected
):
    engines = _engines(prefill_count, decode_count)
    changes = role_plan.plan_changes(
        engines, prefill_ms=90.0, decode_ms=decode_ms
    )
    more = sum(c.role is PREFILL for c in changes)
    less = sum(c.role is DECODE for c in changes)
    assert prefill_count + more - less == expected
    assert not (more and less)


def test_prefill_engines_are_spread_over_domains():
    engines = [
        deployments.prefill_engine("p1", "a").endpoint,
        deployments.prefill_engine("p2", "a").endpoint,
        deployments.prefill_engine("p3", "b").endpoint,
        *(deployments.decode_engine(f"d{i}", "c").endpoint for i in range(3)),
    ]
    found = role_plan.plan_changes(engines, prefill_ms=90.0, decode_ms=480.0)
    assert [change.engine.domain for change in found] == ["a", "a"]
    assert {change.role for change in found} == {DECODE}


@pytest.mark.parametrize(
    ("prefill_count", "decode_count", "expected"),
    [(3, 6, 3), (0, 6, 1), (6, 0, 5), (0, 1, 0), (1, 0, 0)],
)
def test_without_costs_only_empty_pools_change(
    prefill_count, decode_count, expected
):
    engines = _engines(prefill_count, decode_count)
    changes = role_plan.plan_changes(engines, prefill_ms=None, decode_ms=400.0)
    more = sum(c.role is PREFILL for c in changes)
    less = sum(c.role is DECODE for c in changes)
    assert prefill_count + more - less == expected


def _rates(by_name: dict[str, float]):
    return lambda engine, role: by_name.get(engine.name, 1.0)


@pytest.mark.parametrize("seed", range(50))
def test_equal_speeds_leave_the_plan_as_it_was(seed):
    """Deployments with equal engines must see no other order."""
    rng = random.Random(seed)
    engines = [
        deployments.engine(
            f"e{n}", rng.choice((PREFILL, DECODE)), rng.choice("abcd")
        ).endpoint
        for n in range(rng.randrange(1, 30))
    ]
    for _ in range(20):
        prefill_ms = rng.choice((None, rng.uniform(10.0, 2_000.0)))
        decode_ms = rng.choice((None, rng.uniform(10.0, 2_000.0)))
        changes = role_plan.plan_changes(
            engines, prefill_ms=prefill_ms, decode_ms=decode_ms
        )
        found = [(change.engine.name, change.role) for change in changes]
        assert found == former_ranks.planned_changes(
            engines, prefill_ms, decode_ms
        )


def test_slowest_prefill_engine_becomes_decode_engine():
    """It delays the first events of its prompts as a prefill engine."""
    engines = _engines(3, 3)
    changes = role_plan.plan_changes(
        engines,
        prefill_ms=90.0,
        decode_ms=480.0,
        work_rate=_rates({"e1": 0.5}),
    )
    assert changes[0].engine.name == "e1"


def test_slow_decode_engine_keeps_its_role():
    engines = _engines(1, 7)
    changes = role_plan.plan_changes(
        engines,
        prefill_ms=90.0,
        decode_ms=90.0,
        work_rate=_rates({"e1": 0.5, "e2": 0.5}),
    )
    assert changes
    assert {"e1", "e2"}.isdisjoint(c.engine.name for c in changes)


def test_engine_that_is_slow_at_one_kind_of_work_does_the_other():
    engines = _engines(3, 3)

    def rate(engine, role):
        return 0.5 if engine.name == "e0" and role is DECODE else 1.0

    changes = role_plan.plan_changes(
        engines, prefill_ms=90.0, decode_ms=480.0, work_rate=rate
    )
    assert changes
    assert "e0" not in [change.engine.name for change in changes]


def test_pools_are_sized_by_speed_and_not_by_number():
    """Two prefill engines at half the speed do the work of one."""
    engines = _engines(2, 4)
    slow = _rates({"e0": 0.4, "e1": 0.4})
    costs = {"prefill_ms": 240.0, "decode_ms": 480.0}
    assert not role_plan.plan_changes(engines, **costs)
    changes = role_plan.plan_changes(engines, work_rate=slow, **costs)
    assert [change.role for change in changes] == [PREFILL]
