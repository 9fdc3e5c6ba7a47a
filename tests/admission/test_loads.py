"""Order of waiting requests beyond the capacity of their service."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random

import pytest

from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets

_SERVE_MS = 10.0
_URGENT, _PATIENT = 0, 5
_TARGETS_MS = {_URGENT: 900.0, _PATIENT: 2_000.0}


@dataclasses.dataclass
class _Outcomes:
    """Requests by priority and account."""

    offered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served_at_ms: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def share(self, priority=None, account=None):
        """Returns the served share of a class, an account or both."""

        def total(counter):
            return sum(
                n
                for (p, a), n in counter.items()
                if priority in (None, p) and account in (None, a)
            )

        return total(self.served) / total(self.offered)


def _serve(rates, *, seed, for_ms=20_000.0, costs=(1.0,), **settings):
    """Serves one request each ``_SERVE_MS`` for which one waits.

    Args:
        rates: Offered requests, as a multiple of what can be served, by
            priority and account.
        seed: Seed of the arrivals.
        for_ms: Duration.
        costs: Costs of requests.
        **settings: Fields of the policy.
    """
    rng = random.Random(seed)
    order = orders.AdmissionOrder.from_policy(
        orders.AdmissionPolicy(**settings)
    )
    arrivals = []
    for (priority, account), rate in rates.items():
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(rate / _SERVE_MS)) < for_ms:
            arrivals.append((at_ms, priority, account))
    arrivals.sort(key=lambda a: a[0], reverse=True)
    outcomes, waiting, now_ms = _Outcomes(), [], 0.0
    while now_ms < for_ms:
        now_ms += _SERVE_MS
        while arrivals and arrivals[-1][0] <= now_ms:
            at_ms, priority, account = arrivals.pop()
            due_ms = at_ms + _TARGETS_MS[priority]
            cost = rng.choice(costs)
            ticket = tickets.Ticket(
                priority, account, cost, False, False, due_ms
            )
            order.queued(ticket, at_ms)
            waiting.append(ticket)
            outcomes.offered[priority, account] += 1
        for ticket in [t for t in waiting if t.due_ms < now_ms]:
            waiting.remove(ticket)
            order.rejected(ticket)
        if waiting:
            first = min(waiting, key=lambda t: order.rank(t, now_ms))
            waiting.remove(first)
            order.served(first)
            outcomes.served[first.priority, first.account] += 1
            outcomes.served_at_ms[first.priority].append(now_ms)
    return outcomes


@pytest.mark.parametrize("times_room", [1, 2, 4])
@pytest.mark.parametrize("urgent", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("seed", range(3))
def test_classes_beyond_capacity(times_room, urgent, seed):
    """The urgent class leads, and the patient one never starves."""
    rates = {(_URGENT, "a"): urgent, (_PATIENT, "a"): times_room}
    outcomes = _serve(rates, seed=seed)
    urgent_share = outcomes.share(_URGENT)
    assert urgent_share >= outcomes.share(_PATIENT)
    # Each turn of the patient class is earned by two urgent requests.
    assert urgent_share >= min(1.0, 2 / 3 / urgent) * 0.95
    at_ms = [0.0, *outcomes.served_at_ms[_PATIENT], 20_000.0]
    gaps_ms = [b - a for a, b in itertools.pairwise(at_ms)]
    assert max(gaps_ms) <= _TARGETS_MS[_PATIENT]


@pytest.mark.parametrize("starving_share", [0.1, 0.5, 1.0])
def test_starving_share_bounds_the_turns_of_the_patient_class(starving_share):
    """Operators rely on the share that the urgent class keeps."""
    rates = {(_URGENT, "a"): 2.0, (_PATIENT, "a"): 2.0}
    outcomes = _serve(rates, seed=1, starving_share=starving_share)
    served = {
        p: sum(n for (q, _), n in outcomes.served.items() if q == p)
        for p in (_URGENT, _PATIENT)
    }
    ratio = served[_PATIENT] / served[_URGENT]
    assert 0.7 * starving_share <= ratio <= starving_share * 1.05


@pytest.mark.parametrize("times_usual", [2, 6, 8])
@pytest.mark.parametrize("seed", range(3))
def test_greedy_account_among_sixteen(times_usual, seed):
    """The other fifteen are served as without the greedy account."""
    usual = 1.0 / 16
    rates = {(_URGENT, f"a{n}"): usual for n in range(15)}
    without = _serve(rates, seed=seed)
    rates[_URGENT, "greedy"] = usual * times_usual
    beside = _serve(rates, seed=seed, costs=(0.5, 1.0, 1.5))
    for number in range(15):
        account = f"a{number}"
        assert beside.share(account=account) >= 0.9 * without.share(
            account=account
        )


def test_weights_share_a_full_service():
    """An account of weight 3 gets three times the tokens of others."""
    rates = {(_URGENT, name): 2.0 for name in "abc"}
    outcomes = _serve(rates, seed=1, account_weights={"a": 3.0})
    served = {name: outcomes.served[_URGENT, name] for name in "abc"}
    assert served["a"] == pytest.approx(3 * served["b"], rel=0.05)
    assert served["b"] == pytest.approx(served["c"], rel=0.05)


def test_cost_counts_and_not_the_number_of_requests():
    """An account of long prompts must not get more tokens than others."""
    order = orders.AdmissionOrder.from_policy(orders.AdmissionPolicy())
    served = collections.Counter()
    waiting = []
    for cost, account in ((10.0, "long"), (1.0, "short")):
        for _ in range(400):
            waiting.append(tickets.Ticket(0, account, cost, False, False, 1e6))
            order.queued(waiting[-1], 0.0)
    for _ in range(220):
        first = min(waiting, key=lambda t: order.rank(t, 1.0))
        waiting.remove(first)
        order.served(first)
        served[first.account] += first.cost
    assert served["long"] == pytest.approx(served["short"], rel=0.1)
