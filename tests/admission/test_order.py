"""Order in which waiting requests are served."""

from __future__ import annotations

import dataclasses
import random

import pytest

from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets


def _ticket(due_ms=1_000.0, **changes):
    ticket = tickets.Ticket(0, "a", 1.0, False, False, due_ms)
    return dataclasses.replace(ticket, **changes)


def _ordered(order, waiting, now_ms=0.0):
    for ticket in waiting:
        order.queued(ticket, now_ms)
    return sorted(waiting, key=lambda t: order.rank(t, now_ms))


def _new(**settings):
    return orders.AdmissionOrder.from_policy(orders.AdmissionPolicy(**settings))


def test_key_orders_by_resumption_lateness_class_and_due_time():
    """A swapped key field would put patient or late requests first."""
    urgent = _ticket(900.0)
    urgent_later = _ticket(901.0)
    patient = _ticket(100.0, priority=5)
    late = _ticket(50.0, is_late=True)
    late_patient = _ticket(10.0, is_late=True, priority=5)
    resumed = _ticket(9_000.0, priority=5, is_resumed=True)
    expected = [resumed, urgent, urgent_later, patient, late, late_patient]
    waiting = list(expected)
    random.Random(1).shuffle(waiting)
    assert _ordered(_new(), waiting) == expected


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("case", ["one_class", "one_account", "disabled"])
def test_without_competition_the_order_is_the_former_one(seed, case):
    """Deployments that don't use classes or accounts must see no change."""
    rng = random.Random(seed)
    order = _new(is_enabled=case != "disabled")
    waiting: list[tickets.Ticket] = []
    now_ms = 0.0
    for _ in range(300):
        now_ms += rng.expovariate(1 / 20.0)
        is_disabled = case == "disabled"
        ticket = tickets.Ticket(
            rng.choice((0, 5)) if is_disabled else 3,
            rng.choice("abc")
            if is_disabled
            else (None if case == "one_class" else "a"),
            rng.uniform(1.0, 9_000.0),
            rng.random() < 0.4,
            rng.random() < 0.1,
            now_ms + rng.uniform(0.0, 3_000.0),
        )
        order.queued(ticket, now_ms)
        waiting.append(ticket)
        ranked = sorted(waiting, key=lambda t: order.rank(t, now_ms))
        former = sorted(waiting, key=lambda t: (t.is_late, t.due_ms))
        assert ranked == former
        if rng.random() < 0.6:
            leaving = waiting.pop(waiting.index(ranked[0]))
            rng.choice((order.served, order.rejected, order.withdrawn))(leaving)


def test_starving_class_is_found_without_a_look_at_each_late_request():
    """With hundreds of late requests each rank looked through all of them."""
    looks = 0

    class CountingTicket(tickets.Ticket):
        def __getattribute__(self, name):
            nonlocal looks
            looks += name == "is_late"
            return super().__getattribute__(name)

    order = _new()
    for number in range(200):
        order.queued(
            CountingTicket(5, "a", 1.0, True, False, 1e4 + number), 0.0
        )
    urgent = _ticket()
    order.queued(urgent, 0.0)
    order.served(urgent)
    looks = 0
    for step in range(100):
        order.version(9.0 + step)
    assert looks == 0


def test_ranked_ticket_counts_as_waiting():
    """A queue that only ranks must not fail when it reports the outcome."""
    order = _new()
    ticket = _ticket()
    order.rank(ticket, 5.0)
    order.served(ticket)
    order.withdrawn(ticket)
    order.rejected(_ticket())
    assert not order.is_active


def test_replaced_ticket_keeps_the_time_since_which_it_waits():
    """A starving request would wait anew whenever its ticket changes."""
    order = _new()
    in_time = _ticket(2_000.0, priority=5)
    late = dataclasses.replace(in_time, is_late=True)
    order.queued(in_time, 0.0)
    for _ in range(4):
        urgent = _ticket(1_000.0)
        order.queued(urgent, 0.0)
        order.rank(urgent, 1.0)
        order.served(urgent)
    order.replaced(in_time, late)
    urgent = _ticket(3_000.0)
    order.queued(urgent, 1_100.0)
    assert order.rank(late, 1_100.0) < order.rank(urgent, 1_100.0)
    order.withdrawn(in_time)
    order.withdrawn(late)
    order.withdrawn(urgent)
    assert not order._waiting
