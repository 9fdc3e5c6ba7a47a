"""Capacity, observed times, retry-after times and the local choice."""

from __future__ import annotations

import random

import pytest

from jujubewharf.admission import classes as all_classes
from jujubewharf.admission import fair_share
from jujubewharf.admission import order as orders
from jujubewharf.plain_calls import capacity
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import endpoint_grants
from jujubewharf.plain_calls import local_choice
from jujubewharf.plain_calls import retry_times
from jujubewharf.plain_calls import service_times
from jujubewharf.plain_calls import waiting_calls
from tests.plain_calls import simulation


def test_limit_is_slots_and_one():
    limit = capacity.EndpointCapacity(6, max_age_ms=1_000.0)
    assert limit.limit == 7.0
    limit.set_slots(8)
    assert limit.limit == 9.0


def test_limit_recovers_after_a_full_endpoint():
    limit = capacity.EndpointCapacity(6, max_age_ms=1_000.0)
    limit.on_rejected_as_full()
    lowered = limit.limit
    assert lowered < 6.0
    for _ in range(40):
        limit.on_completed()
    assert limit.limit == 7.0


def test_limit_never_stops_an_endpoint():
    limit = capacity.EndpointCapacity(6, max_age_ms=1_000.0)
    for _ in range(50):
        limit.on_rejected_as_full()
    assert limit.limit == 1.0


def test_single_report_with_calls_in_transit_takes_no_room():
    """A report and the releases of calls cross each other."""
    limit = capacity.EndpointCapacity(6, max_age_ms=1_000.0)
    limit.on_report(6, 6, 0.0)
    limit.on_report(7, 5, 1.0)
    assert limit.foreign(1.0) == 0


def test_old_reports_are_ignored():
    limit = capacity.EndpointCapacity(6, max_age_ms=1_000.0)
    limit.on_report(20, 0, 0.0)
    assert limit.foreign(999.0) == 20
    assert limit.foreign(1_001.0) == 0


def test_wrong_report_does_not_block_an_endpoint():
    grants = endpoint_grants.EndpointGrants(
        simulation.endpoint("s1"), max_age_ms=1_000.0
    )
    for _ in range(9):
        grants.capacity.on_report(100_000, 0, 0.0)
    assert grants.has_room(0.0)
    grants.add(endpoint_grants.Grant(1, 0.0, 2_000.0))
    assert not grants.has_room(0.0)
    # Nor do calls of an instance that ended.
    grants.get(1).is_orphaned = True
    assert grants.has_room(0.0)


def _times(**slowdowns):
    return service_times.ServiceTimes(
        lambda name: slowdowns.get(name, 1.0), prior_ms=100.0
    )


def test_prior_applies_until_there_are_observations():
    times = _times()
    assert times.median_ms("s1") == 100.0
    assert times.high_ms("s1") > 100.0
    for _ in range(50):
        times.record("s1", 40.0)
    assert times.median_ms("s1") == pytest.approx(40.0, rel=0.1)
    # A new endpoint is taken to be as fast as the others.
    assert times.median_ms("s2") == pytest.approx(40.0, rel=0.1)


def test_slow_endpoint_is_told_apart():
    times = _times()
    for _ in range(60):
        times.record("s1", 80.0)
        times.record("s2", 160.0)
    assert times.median_ms("s2") > 1.7 * times.median_ms("s1")


def test_reported_slowdown_applies_at_once():
    times = _times(s1=2.5)
    assert times.median_ms("s1") == 250.0


def test_high_quantile_covers_nearly_all_calls():
    rng = random.Random(1)
    times = _times()
    for _ in range(400):
        times.record("s1", rng.uniform(50.0, 150.0))
    within = sum(
        rng.uniform(50.0, 150.0) <= times.high_ms("s1") for _ in range(1_000)
    )
    assert within >= 900


def test_observations_are_dropped_with_the_endpoint():
    times = _times()
    for _ in range(20):
        times.record("s1", 500.0)
    assert times.median_ms("s1") > 400.0
    times.retain(())
    assert times.median_ms("s1") == 100.0


def test_retry_times_rise_and_stay_within_the_callers_time():
    times = retry_times.RetryTimes()
    found = [
        times.next_ms(0.0, free_in_ms=50.0, interval_ms=10.0, left_ms=900.0)
        for _ in range(60)
    ]
    assert found[:15] == [50.0 + 10.0 * i for i in range(15)]
    assert found == sorted(set(found))
    assert max(found) <= 0.33 * 900.0


def test_retry_times_of_an_ended_burst_are_forgotten():
    """A later caller would be told a time far beyond the next free slot."""
    times = retry_times.RetryTimes()
    for _ in range(1_000):
        times.next_ms(0.0, free_in_ms=50.0, interval_ms=10.0, left_ms=900.0)
    # All callers of the burst have come back after a third of their time.
    after_ms = times.next_ms(
        400.0, free_in_ms=20.0, interval_ms=10.0, left_ms=900.0
    )
    assert after_ms == 20.0


class _Loads:
    def __init__(self, **totals):
        self.totals = totals

    def total(self, endpoint):
        return self.totals.get(endpoint)

    def slots(self, endpoint):
        return endpoint.slots


def _choice(loads):
    return local_choice.LocalChoice("a", loads, random.Random(1))


def test_local_choice_prefers_the_own_domain_unless_late_there():
    both = [simulation.endpoint("s1", "a"), simulation.endpoint("s2", "b")]
    times = _times()
    chosen = _choice(_Loads()).choose(both, times, due_in_ms=300.0)
    assert chosen.name == "s1"
    loaded = _choice(_Loads(s1=30, s2=0))
    assert loaded.choose(both, times, due_in_ms=300.0).name == "s2"


def test_local_choice_counts_own_calls():
    both = [simulation.endpoint("s1"), simulation.endpoint("s2")]
    choice = _choice(_Loads())
    times = _times()
    with choice.counted("s1"), choice.counted("s1"):
        for _ in range(5):
            choice._own["s1"] = 9
            assert choice.choose(both, times, due_in_ms=1e3).name == "s2"
    del choice._own["s1"]
    assert choice.in_flight == 0


def test_local_choice_spreads_over_equal_endpoints():
    """All instances alone must not choose the same endpoint."""
    many = [simulation.endpoint(f"s{i}") for i in range(4)]
    choice = _choice(_Loads(s0=0, s1=1, s2=1, s3=1))
    times = _times()
    names = [choice.choose(many, times, due_in_ms=1e3).name for _ in range(80)]
    assert set(names) == {"s0", "s1", "s2", "s3"}
    assert choice.choose((), times, due_in_ms=1e3) is None


def test_call_that_becomes_late_is_counted_as_offered_once():
    """The served share of its class would seem half as large as it is."""
    classes = all_classes.ClassBalance()
    order = orders.AdmissionOrder(classes, fair_share.FairShare())
    waiting = waiting_calls.WaitingCalls(order)

    def added(number, priority):
        call = decisions.WaitingCall(
            number, "a", 400.0, 2_000.0, priority=priority
        )
        ticket = waiting_calls.new_ticket(call)
        entry = waiting_calls.Entry(call, ticket, 0.0)
        waiting.add(entry)
        order.queued(ticket, 0.0)
        return entry

    urgent = [added(number, 0) for number in range(4)]
    patient = [added(number, 5) for number in range(4, 8)]
    for entry in urgent:
        waiting.update_ticket(entry, is_late=True)
    # All urgent calls are served, and three of four patient ones.
    for entry in urgent + patient[:3]:
        waiting.remove(entry)
        order.rank(entry.ticket, 301.0)
        order.served(entry.ticket)
    order.rank(patient[3].ticket, 302.0)
    assert not classes.is_class_first
