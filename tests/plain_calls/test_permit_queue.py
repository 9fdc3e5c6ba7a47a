"""Decisions of the permit queue, one at a time."""

from __future__ import annotations

from jujubewharf.admission import classes as all_classes
from jujubewharf.admission import fair_share
from jujubewharf.admission import order as orders
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import permit_queue
from jujubewharf.plain_calls import service_times
from tests.plain_calls import simulation

WORK_MS = 80.0


def _queue(*endpoints, slowdowns=None):
    known = slowdowns or {}
    queue = permit_queue.PermitQueue(
        service_times.ServiceTimes(
            lambda name: known.get(name, 1.0), prior_ms=WORK_MS
        ),
        orders.AdmissionOrder.from_policy(orders.AdmissionPolicy()),
        report_max_age_ms=1_000.0,
    )
    assert queue.set_endpoints(endpoints, 0.0) == []
    return queue


def _call(number, *, at_ms=0.0, target_ms=400.0, deadline_ms=2e3, **more):
    domain = more.pop("domain", "a")
    return decisions.WaitingCall(
        number, domain, at_ms + target_ms, at_ms + deadline_ms, **more
    )


def _fill(queue, count, first=0, **more):
    return [queue.request(_call(first + i, **more), 0.0) for i in range(count)]


def test_calls_up_to_the_slots_and_one_are_granted():
    queue = _queue(simulation.endpoint("s1", slots=2))
    made = _fill(queue, 5)
    assert [type(d) for d in made[:3]] == [decisions.Granted] * 3
    assert [type(d) for d in made[3:]] == [decisions.Waiting] * 2


def test_release_grants_the_call_that_is_due_first():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 2)
    queue.request(_call(10, target_ms=500.0), 0.0)
    queue.request(_call(11, target_ms=400.0), 0.0)
    decided = queue.release(0, 50.0)
    assert [d.number for d in decided] == [11]
    assert decided[0].waited_ms == 50.0


def test_call_that_can_be_in_time_precedes_late_ones():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 2)
    queue.request(_call(10, target_ms=200.0), 0.0)
    queue.expire(150.0)
    queue.request(_call(11, at_ms=150.0), 150.0)
    assert [d.number for d in queue.release(0, 160.0)] == [11]
    assert [d.number for d in queue.release(1, 160.0)] == [10]


def test_endpoint_of_own_domain_comes_first_among_equal_ones():
    queue = _queue(
        simulation.endpoint("s1", "a"), simulation.endpoint("s2", "b")
    )
    granted = [queue.request(_call(i, domain="b"), 0.0) for i in range(4)]
    assert {g.endpoint for g in granted} == {"s2"}


def test_slow_endpoint_gets_calls_after_the_fast_ones():
    queue = _queue(
        simulation.endpoint("s1", slots=2),
        simulation.endpoint("s2", "b", slots=2),
        slowdowns={"s1": 2.5},
    )
    granted = _fill(queue, 3)
    assert [g.endpoint for g in granted] == ["s2", "s2", "s2"]
    assert queue.request(_call(9), 0.0).endpoint == "s1"


def test_call_waits_for_an_endpoint_where_it_is_in_time():
    """A free slot that would make the call late is left to other calls."""
    queue = _queue(
        simulation.endpoint("s1", slots=1),
        simulation.endpoint("s2", slots=1),
        slowdowns={"s1": 10.0},
    )
    _fill(queue, 2)
    waiting = queue.request(_call(9), 0.0)
    assert isinstance(waiting, decisions.Waiting)
    (granted,) = queue.release(0, 80.0)
    assert (granted.number, granted.endpoint) == (9, "s2")


def test_call_that_became_late_takes_any_free_slot():
    """Nobody waits beside a free slot without any prospect."""
    queue = _queue(
        simulation.endpoint("s1", slots=1),
        simulation.endpoint("s2", slots=1),
        slowdowns={"s1": 10.0},
    )
    _fill(queue, 2)
    queue.request(_call(9), 0.0)
    assert queue.next_event_ms == 400.0 - 1.5 * WORK_MS
    (granted,) = queue.expire(queue.next_event_ms)
    assert (granted.number, granted.endpoint) == (9, "s1")


def test_call_without_time_is_rejected_at_once():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 2)
    made = _fill(queue, 40, first=10, deadline_ms=500.0)
    rejected = [d for d in made if isinstance(d, decisions.Rejected)]
    assert rejected
    assert {r.reason for r in rejected} == {decisions.RejectReason.NO_TIME}


def test_retry_after_rises_from_caller_to_caller():
    """Callers that come back together would be rejected together."""
    queue = _queue(*(simulation.endpoint(f"s{i}") for i in range(4)))
    made = _fill(queue, 400, deadline_ms=1_500.0)
    rejected = [d for d in made if isinstance(d, decisions.Rejected)]
    first = [r.retry_after_ms for r in rejected[:10]]
    assert first == sorted(set(first))
    assert first[0] > 100.0


def test_waiting_calls_are_rejected_when_the_last_endpoint_leaves():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 4)
    decided = queue.set_endpoints([], 10.0)
    assert {d.number for d in decided} == {2, 3}
    reason = decisions.RejectReason.NO_ENDPOINT
    assert {d.reason for d in decided} == {reason}
    assert queue.in_flight == 2


def test_waiting_calls_go_to_an_endpoint_that_joins():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 4)
    both = [simulation.endpoint("s1", slots=1), simulation.endpoint("s2")]
    decided = queue.set_endpoints(both, 10.0)
    assert [(d.number, d.endpoint) for d in decided] == [(2, "s2"), (3, "s2")]


def test_excluded_endpoint_is_not_granted():
    queue = _queue(simulation.endpoint("s1"), simulation.endpoint("s2"))
    for number in range(14):
        decision = queue.request(_call(number, excluded=frozenset({"s1"})), 0.0)
        if isinstance(decision, decisions.Granted):
            assert decision.endpoint == "s2"
    assert queue.waiting == 7
    assert all(d.endpoint == "s2" for d in queue.release(0, 10.0))


def test_cancelled_call_is_not_granted():
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 4)
    assert queue.cancel(2, 1.0) == []
    assert [d.number for d in queue.release(0, 2.0)] == [3]


def test_grant_without_release_ends_at_the_deadline():
    """The release of an ended instance never comes."""
    queue = _queue(simulation.endpoint("s1", slots=1))
    _fill(queue, 2)
    queue.orphan([0, 1])
    queue.expire(1_999.0)
    assert queue.in_flight == 2
    queue.expire(2_000.0)
    assert queue.in_flight == 0
    assert queue.next_event_ms is None


def test_report_ends_orphaned_grants_early():
    queue = _queue(simulation.endpoint("s1", slots=2))
    _fill(queue, 3)
    queue.request(_call(9), 0.0)
    queue.orphan([0, 1])
    decided = queue.record_report("s1", total=1, slots=2, now_ms=50.0)
    assert decided == []
    decided = queue.record_report("s1", total=1, slots=2, now_ms=200.0)
    assert [d.number for d in decided] == [9]
    assert queue.in_flight == 2


def test_calls_of_others_take_room():
    """A new leader doesn't know calls that were sent before it led."""
    queue = _queue(simulation.endpoint("s1", slots=6))
    queue.record_report("s1", total=6, slots=6, now_ms=0.0)
    made = _fill(queue, 3)
    assert [type(d) for d in made] == [
        decisions.Granted,
        decisions.Waiting,
        decisions.Waiting,
    ]
    decided = queue.record_report("s1", total=1, slots=6, now_ms=50.0)
    assert [d.number for d in decided] == [1, 2]


def test_full_endpoint_gets_fewer_calls_until_some_complete():
    queue = _queue(simulation.endpoint("s1", slots=6))
    _fill(queue, 12)
    assert queue.release(0, 10.0, outcome=decisions.Outcome.FULL) == []
    assert queue.release(1, 10.0, outcome=decisions.Outcome.FULL) == []
    count = queue.in_flight
    assert count == 5
    for number in range(2, 7):
        queue.release(number, 80.0)
    assert count > queue.in_flight >= 3


def test_unknown_number_is_ignored():
    queue = _queue(simulation.endpoint("s1"))
    assert queue.release(77, 0.0) == []
    assert queue.cancel(77, 0.0) == []


def test_endpoint_that_fails_at_once_gets_a_pause():
    """It always has room and would get all calls."""
    queue = _queue(simulation.endpoint("s1"), simulation.endpoint("s2", "b"))
    failed = decisions.Outcome.FAILED
    assert queue.request(_call(0), 0.0).endpoint == "s1"
    queue.release(0, 1.0, outcome=failed)
    assert queue.request(_call(1), 2.0).endpoint == "s2"
    granted = queue.request(_call(2), 25.0)
    assert granted.endpoint == "s1"
    queue.release(2, 26.0, outcome=failed)
    # The second pause is longer, and ends with an answer.
    assert queue.request(_call(3), 50.0).endpoint == "s2"
    granted = queue.request(_call(4), 70.0)
    assert granted.endpoint == "s1"
    queue.release(4, 150.0)
    assert queue.request(_call(5), 150.0).endpoint == "s1"


def test_calls_that_wait_are_granted_when_a_pause_ends():
    queue = _queue(
        simulation.endpoint("s1", slots=1), simulation.endpoint("s2", slots=1)
    )
    _fill(queue, 5)
    queue.release(0, 1.0, outcome=decisions.Outcome.FAILED)
    assert queue.waiting == 1
    (granted,) = queue.expire(queue.next_event_ms)
    assert granted.number == 4


def test_paused_endpoints_are_used_if_no_other_is_left():
    queue = _queue(simulation.endpoint("s1"))
    queue.request(_call(0), 0.0)
    queue.release(0, 1.0, outcome=decisions.Outcome.FAILED)
    assert queue.request(_call(1), 2.0).endpoint == "s1"


def test_calls_granted_at_once_are_counted_when_they_arrive():
    """Below the capacity nothing is ranked, which alone moved the time on."""
    classes = all_classes.ClassBalance()
    order = orders.AdmissionOrder(classes, fair_share.FairShare())
    queue = permit_queue.PermitQueue(
        service_times.ServiceTimes(lambda name: 1.0, prior_ms=WORK_MS),
        order,
        report_max_age_ms=1_000.0,
    )
    queue.set_endpoints([simulation.endpoint("s1")], 0.0)
    for number, priority in ((1, 0), (2, 5)):
        call = _call(number, at_ms=100_000.0, priority=priority)
        decision = queue.request(call, 100_000.0)
        assert isinstance(decision, decisions.Granted)
    classes.update(100_500.0)
    assert classes.is_active


def test_events_of_ended_calls_are_dropped():
    """With long deadlines they would take memory for minutes."""
    queue = _queue(simulation.endpoint("s1"))
    for number in range(5_000):
        queue.request(_call(number, deadline_ms=600_000.0), float(number))
        queue.release(number, number + 0.5)
    assert len(queue._events) < 300
    # Events of calls that remain are kept.
    queue.request(_call(9_999, deadline_ms=9_000.0), 5_000.0)
    assert queue.next_event_ms == 9_000.0
