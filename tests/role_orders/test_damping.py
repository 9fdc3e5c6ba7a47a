"""Changes of roles back and forth, and the gain that they need."""

from __future__ import annotations

import itertools
import random

import pytest

from jujubewharf.forwarding import costs
from jujubewharf.role_orders import damping
from tests.role_orders import fleets

# Three times a role change and its registration.
WINDOW_MS = 27_000.0


def _directions(fleet) -> list:
    """Ordered roles, batch by batch."""
    batches = {at_ms: order.role for at_ms, _, order in fleet.orders}
    return [batches[at_ms] for at_ms in sorted(batches)]


def _reversals(fleet) -> int:
    directions = _directions(fleet)
    return sum(a is not b for a, b in itertools.pairwise(directions))


async def _lead(fleet, *names: str) -> None:
    for number, name in enumerate(names or ("i1",), 1):
        await fleet.add(name)
        if number == 1:
            fleet.leases[name].grant(1)


def _early_reversals(seed: int) -> int:
    """Counts changes back under noise that come within three changes."""
    found = 0

    async def check(fleet):
        nonlocal found
        rng = random.Random(seed)
        await _lead(fleet)
        for _ in range(30):
            decode_ms = 480.0 * 1.5 ** rng.uniform(-1.0, 1.0)
            fleet.costs = costs.FleetCosts(90.0, decode_ms)
            await fleet.clock.sleep_ms(2_000.0)
        assert fleet.orders
        for (a_ms, _, a), (b_ms, _, b) in itertools.pairwise(fleet.orders):
            is_early = b_ms - a_ms < WINDOW_MS
            found += a.role is not b.role and is_early

    fleets.run(check, prefill=5, decode=10)
    return found


def test_noise_does_not_turn_the_plan_back(monkeypatch):
    """Estimates of a steady load vary; each change back idles engines."""
    assert sum(_early_reversals(seed) for seed in range(12)) == 0
    # The noise is large enough to matter.
    monkeypatch.setattr(damping, "REVERSAL_GAIN", damping.MIN_GAIN)
    assert sum(_early_reversals(seed) for seed in range(12)) > 2


async def _shift(fleet, *, prefill_ms: float, at_ms: float) -> None:
    await fleet.sleep_until(at_ms)
    fleet.costs = costs.FleetCosts(prefill_ms, 480.0)


def _small_shift_back(new_leader: bool):
    async def check(fleet):
        await _lead(fleet, "i1", "i2")
        await fleet.sleep_until(12_500.0)
        assert fleet.count(fleets.PREFILL) == 1
        if new_leader:
            fleet.leases["i1"].withdraw()
            fleet.leases["i2"].grant(2)
        # A gain of 0.22: enough for a first change, not for a change back.
        await _shift(fleet, prefill_ms=140.0, at_ms=13_000.0)
        await fleet.sleep_until(28_000.0)
        assert _reversals(fleet) == 0
        await fleet.sleep_until(45_000.0)
        assert _reversals(fleet) == 1

    return check


@pytest.mark.parametrize("new_leader", [False, True])
def test_small_gain_turns_the_plan_back_only_later(new_leader):
    """A new leader damps the changes of its predecessor too."""
    fleets.run(_small_shift_back(new_leader), prefill=3, decode=3)


def test_large_gain_turns_the_plan_back_at_once():
    """A load that has really changed must not wait."""

    async def check(fleet):
        await _lead(fleet)
        await _shift(fleet, prefill_ms=700.0, at_ms=13_000.0)
        await fleet.sleep_until(16_000.0)
        assert _reversals(fleet) == 1

    fleets.run(check, prefill=3, decode=3)


def test_loss_of_a_pool_acts_at_once():
    """A crash is no noise: without prefill engines prompts block answers."""

    async def check(fleet):
        await _lead(fleet)
        await fleet.sleep_until(12_500.0)
        (last,) = [
            name
            for name, engine in fleet.engines.items()
            if engine.role is fleets.PREFILL
        ]
        fleet.remove(last)
        # An engine that disappears is awaited for 6.5 s.
        await fleet.sleep_until(22_000.0)
        assert _directions(fleet)[-1] is fleets.PREFILL

    fleets.run(check, prefill=3, decode=3)
