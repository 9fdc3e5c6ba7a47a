"""Without competing classes and accounts the wait queue decides as before."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from jujubewharf import clock as clocks
from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets
from jujubewharf.admission import wait_queue as wait_queues
from tests.forwarding import deployments


class _FormerQueue:
    """Copy of the queue before classes and accounts, without tasks.

    Attributes:
        woken: Requests that were woken, in order.
    """

    def __init__(self):
        self.woken = []
        self._waiters = []

    def add(self, waiter):
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda w: (w.ticket.is_late, w.ticket.due_ms))

    def remove(self, waiter):
        self._waiters.remove(waiter)

    def wake_first(self):
        if self._waiters:
            self.woken.append(self._waiters[0])

    def wake_after(self, waiter):
        position = self._waiters.index(waiter) + 1
        if position < len(self._waiters):
            self.woken.append(self._waiters[position])


class _RecordingWaiter(wait_queues.Waiter):
    """A waiter that records when it is woken."""

    woken: list

    def wake(self):
        self.woken.append(self)
        super().wake()


def _ticket(rng, case, now_ms):
    is_disabled = case == "disabled"
    account = rng.choice("abc") if is_disabled else None
    if case == "one_account":
        account = "a"
    return tickets.Ticket(
        rng.choice((0, 5, 9)) if is_disabled else 5,
        account,
        rng.uniform(1.0, 30_000.0),
        rng.random() < 0.4,
        rng.random() < 0.1,
        # Equal times are frequent, and the earlier request comes first.
        now_ms + rng.randrange(0, 3_000, 100),
    )


@pytest.mark.parametrize("seed", range(15))
@pytest.mark.parametrize("case", ["no_accounts", "one_account", "disabled"])
def test_same_requests_are_woken(seed, case):
    """Deployments that call for no order must see no other decisions."""

    async def main():
        rng = random.Random(seed)
        clock = clocks.Clock(wall_origin_ms=0.0)
        policy = orders.AdmissionPolicy(is_enabled=case != "disabled")
        order = orders.AdmissionOrder.from_policy(policy)
        queue = wait_queues.WaitQueue(order, clock)
        former, woken = _FormerQueue(), []
        waiting: dict[wait_queues.Waiter, contextlib.ExitStack] = {}
        for _ in range(600):
            await clock.sleep_ms(rng.expovariate(1 / 10.0))
            action = rng.random()
            if action < 0.5 or not waiting:
                waiter = _RecordingWaiter(_ticket(rng, case, clock.now_ms()))
                waiter.woken = woken
                stack = contextlib.ExitStack()
                stack.enter_context(queue.enqueued(waiter))
                waiting[waiter] = stack
                former.add(waiter)
            elif action < 0.65:
                queue.wake_first()
                former.wake_first()
            elif action < 0.85:
                waiter = rng.choice(list(waiting))
                # Each request may ask whenever it likes.
                assert queue.begin_ask(waiter)
                is_served = rng.random() < 0.5
                queue.end_ask(waiter, is_served=is_served)
                former.wake_after(waiter)
                if is_served:
                    former.remove(waiter)
                    waiting.pop(waiter).close()
            else:
                waiter = rng.choice(list(waiting))
                former.remove(waiter)
                waiting.pop(waiter).close()
            assert woken == former.woken
        assert len(woken) > 100

    deployments.run(main())


@pytest.mark.parametrize("seed", range(5))
def test_end_of_an_interval_wakes_nobody(seed):
    """Rounds must not begin where requests ask on their own."""

    async def main():
        rng = random.Random(seed)
        order = orders.AdmissionOrder.from_policy(orders.AdmissionPolicy())
        clock = clocks.Clock(wall_origin_ms=0.0)
        queue = wait_queues.WaitQueue(order, clock)
        woken = []
        with contextlib.ExitStack() as stack:
            waiters = []
            for _ in range(20):
                waiter = _RecordingWaiter(_ticket(rng, "one_account", 1e6))
                waiter.woken = woken
                waiters.append(waiter)
                stack.enter_context(queue.enqueued(waiter))
            await asyncio.gather(*(queue.pause(w, 50.0) for w in waiters))
        assert woken == []

    deployments.run(main())
