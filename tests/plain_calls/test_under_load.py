"""Plain calls beyond the capacity, beside other ways to choose."""

from __future__ import annotations

import pytest

from jujubewharf.plain_calls import decisions
from tests.plain_calls import simulation

# Calls per second that three endpoints with six slots and 80 ms of work serve.
CAPACITY_PER_S = 225.0


def _equal(count: int = 3):
    def make(events):
        return [
            simulation.SimulatedEndpoint(events, simulation.endpoint(f"s{i}"))
            for i in range(count)
        ]

    return make


def _uneven(*, reports_slowdown: bool):
    """Four endpoints: one half as fast, one slower for 600 ms."""

    def make(events):
        made = _equal(4)(events)
        made[3].speed = 0.5
        made[1].slow_from_ms, made[1].slow_until_ms = 1_000.0, 1_600.0
        for behind in made:
            behind.reports_slowdown = reports_slowdown
        return made

    return make


def _shares(behind, *, per_s: float, **more):
    shares = []
    ways = (simulation.OwnCalls, simulation.Permits, simulation.Oracle)
    for way_type in ways:
        calls = simulation.burst(3, per_s=per_s, for_ms=2_500.0, **more)
        simulation.simulate(way_type, calls, behind)
        shares.append(simulation.in_time_share(calls))
    return shares


# Least share of what the oracle serves in time, by load. In overload each call
# starts when little time is left, and the oracle knows each call's work.
@pytest.mark.parametrize(
    ("load", "least"), [(1.0, 0.99), (1.2, 0.94), (2.0, 0.87), (4.0, 0.8)]
)
def test_share_in_time_beside_own_calls_and_an_oracle(load, least):
    own, permits, oracle = _shares(_equal(), per_s=load * CAPACITY_PER_S)
    assert permits >= least * oracle
    assert permits >= own
    if load >= 2.0:
        assert permits >= 2.0 * own


@pytest.mark.parametrize("reports_slowdown", [True, False])
@pytest.mark.parametrize("load", [0.8, 1.0, 1.2, 2.0])
def test_uneven_endpoints(load, reports_slowdown):
    """A slow endpoint must not make calls late that others serve in time."""
    own, permits, oracle = _shares(
        _uneven(reports_slowdown=reports_slowdown), per_s=load * 262.0
    )
    assert permits > own + (0.1 if load >= 1.0 else 0.0)
    assert permits >= 0.85 * oracle


@pytest.mark.parametrize("load", [1.0, 2.0, 4.0])
def test_endpoint_never_has_more_waiting_than_one(load):
    """Calls that wait at an endpoint can't be ordered or rejected."""
    calls = simulation.burst(5, per_s=load * CAPACITY_PER_S, for_ms=2_000.0)
    way = simulation.simulate(simulation.Permits, calls, _equal())
    assert {e.max_waiting for e in way.endpoints.values()} == {1}
    assert not any(c.was_full for c in calls)


@pytest.mark.parametrize("load", [0.9, 1.2, 2.0, 4.0])
def test_each_call_gets_one_decision_and_nothing_stays(load):
    calls = simulation.burst(6, per_s=load * CAPACITY_PER_S, for_ms=2_000.0)
    way = simulation.simulate(simulation.Permits, calls, _equal())
    final = [
        d.number for _, d in way.decided if not isinstance(d, decisions.Waiting)
    ]
    assert sorted(final) == [c.number for c in calls]
    assert (way.queue.in_flight, way.queue.waiting) == (0, 0)
    assert way.queue.next_event_ms is None
    for call in calls:
        assert (call.rejected is None) != (call.started_ms is None)


@pytest.mark.parametrize("load", [1.5, 2.0, 4.0])
def test_no_call_is_held_until_its_deadline(load):
    calls = simulation.burst(7, per_s=load * CAPACITY_PER_S, for_ms=2_000.0)
    simulation.simulate(simulation.Permits, calls, _equal())
    rejected = [c for c in calls if c.rejected is not None]
    assert rejected
    held_ms = sorted(c.rejected_ms - c.arrived_ms for c in rejected)
    # Half of the time between target and deadline is left to come back.
    assert held_ms[-1] < 0.5 * (375.0 + 2_000.0) + 5.0
    # Most callers learn it when they arrive.
    assert held_ms[len(held_ms) // 2] < 5.0


class _CheckedPermits(simulation.Permits):
    """Checks each decision against the state it was made in."""

    def apply(self, decided):
        now_ms = self.events.now_ms
        group = self.queue._endpoints
        for decision in decided:
            if isinstance(decision, decisions.Rejected):
                # Nobody is rejected while a fitting slot is free.
                assert not any(e.has_room(now_ms) for e in group.accepting())
            if isinstance(decision, decisions.Granted) and decision.waited_ms:
                self._check_order(decision, now_ms)
        super().apply(decided)

    def _check_order(self, decision, now_ms):
        """No late call is served while one in time has waited longer."""
        call = self.calls[decision.number]
        high_ms = self.queue.times.high_ms(decision.endpoint)
        if call.due_ms >= now_ms + high_ms:
            return
        for entry in self.queue._waiting:
            is_in_time = entry.call.due_ms >= now_ms + high_ms
            assert not (is_in_time and entry.queued_ms <= call.arrived_ms)


@pytest.mark.parametrize("load", [1.0, 1.5, 3.0])
def test_order_and_rejections_at_each_decision(load):
    calls = simulation.burst(8, per_s=load * CAPACITY_PER_S, for_ms=1_500.0)
    simulation.simulate(_CheckedPermits, calls, _equal())


def test_account_beside_a_greedy_one_is_served_as_without_it():
    def served(*groups):
        calls = sorted(
            (c for g in groups for c in g), key=lambda c: c.arrived_ms
        )
        for number, call in enumerate(calls):
            call.number = number
        simulation.simulate(simulation.Permits, calls, _equal())
        modest = [c for c in calls if c.account == "modest"]
        return simulation.in_time_share(modest)

    def modest():
        return simulation.burst(1, per_s=80, for_ms=2_500.0, account="modest")

    greedy = simulation.burst(2, per_s=640, for_ms=2_500.0, account="greedy")
    assert served(modest(), greedy) >= 0.9 * served(modest())


def test_urgent_calls_are_served_before_patient_ones():
    urgent = simulation.burst(1, per_s=200, for_ms=2_500.0, priority=0)
    patient = simulation.burst(2, per_s=200, for_ms=2_500.0, priority=5)
    calls = sorted(urgent + patient, key=lambda c: c.arrived_ms)
    for number, call in enumerate(calls):
        call.number = number
    simulation.simulate(simulation.Permits, calls, _equal())
    urgent_share = simulation.in_time_share(urgent)
    patient_share = simulation.in_time_share(patient)
    assert urgent_share > patient_share > 0.05
