"""Order in which queued requests of a service ask for memory."""

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


def _waiter(due_ms, *, priority=0, is_late=False, account="a", tokens=10):
    ticket = tickets.Ticket(
        priority, account, float(tokens), is_late, False, due_ms
    )
    return wait_queues.Waiter(ticket, tokens)


def _queue(**settings):
    policy = orders.AdmissionPolicy(**settings)
    order = orders.AdmissionOrder.from_policy(policy)
    return wait_queues.WaitQueue(order, clocks.Clock(wall_origin_ms=0.0))


async def _asked(queue, waiters, *, is_served=True):
    """Returns the due times of requests in the order in which they ask.

    Memory comes free once, and each request asks once.
    """
    asked = []

    async def ask_once(waiter):
        with queue.enqueued(waiter):
            await waiter.wait_until_woken()
            while not queue.begin_ask(waiter):
                await waiter.wait_until_woken()
            asked.append(waiter.ticket.due_ms)
            await asyncio.sleep(0)
            queue.end_ask(waiter, is_served=is_served)

    tasks = [asyncio.ensure_future(ask_once(w)) for w in waiters]
    await asyncio.sleep(0)
    queue.wake_first()
    async with asyncio.timeout(1.0):
        await asyncio.gather(*tasks)
    assert len(queue) == 0
    queue.wake_first()
    return asked


def test_requests_that_can_meet_their_target_come_first():
    """A late request must not ask before one that can be in time."""

    async def main():
        waiters = [
            _waiter(1.0, is_late=True),
            _waiter(9.0),
            _waiter(5.0),
        ]
        assert await _asked(_queue(), waiters) == [5.0, 9.0, 1.0]

    deployments.run(main())


@pytest.mark.parametrize("priorities", [(0, 0, 0, 0), (0, 5, 0, 5)])
@pytest.mark.parametrize("is_served", [True, False])
def test_all_requests_are_woken_in_order(priorities, is_served):
    """No request stays asleep when memory for several comes free at once."""

    async def main():
        waiters = [
            _waiter(due_ms, priority=priority)
            for due_ms, priority in zip(
                (3e3, 1e3, 4e3, 2e3), priorities, strict=True
            )
        ]
        expected = sorted(
            waiters, key=lambda w: (w.ticket.priority, w.ticket.due_ms)
        )
        asked = await _asked(_queue(), waiters, is_served=is_served)
        assert asked == [w.ticket.due_ms for w in expected]

    deployments.run(main())


def test_request_that_arrives_waits_for_its_turn():
    """Memory must not go to an arrival before the request woken for it."""

    async def main():
        queue = _queue()
        urgent, patient = _waiter(900.0), _waiter(500.0, priority=5)
        with queue.enqueued(urgent):
            assert queue.begin_ask(urgent)
            queue.end_ask(urgent, is_served=False)
            with queue.enqueued(patient):
                # Nothing came free since the urgent request asked.
                assert queue.begin_ask(patient)
                queue.end_ask(patient, is_served=False)
                queue.wake_first()
                assert not queue.begin_ask(patient)
                assert queue.begin_ask(urgent)
                queue.end_ask(urgent, is_served=False)
                assert queue.begin_ask(patient)

    deployments.run(main())


def test_request_that_leaves_passes_its_turn_on():
    """A caller that cancels must not end the round for the others."""

    async def main():
        queue = _queue()
        first, second = _waiter(900.0), _waiter(990.0, priority=5)
        with queue.enqueued(second):
            with queue.enqueued(first):
                queue.wake_first()
            async with asyncio.timeout(0.01):
                await second.wait_until_woken()

    deployments.run(main())


def test_silent_engine_does_not_hold_up_the_others():
    """A request that asks for long must not keep others from asking."""

    async def main():
        queue = _queue()
        first, second = _waiter(900.0), _waiter(990.0, priority=5)
        with queue.enqueued(first), queue.enqueued(second):
            assert queue.begin_ask(first)
            assert queue.begin_ask(second)

    deployments.run(main())


def test_end_of_interval_begins_a_round():
    """Memory that another instance's request released must be found."""

    async def main():
        queue = _queue()
        first, second = _waiter(9_000.0), _waiter(9_900.0, priority=5)
        with queue.enqueued(first), queue.enqueued(second):
            for waiter in (first, second):
                assert queue.begin_ask(waiter)
                queue.end_ask(waiter, is_served=False)
            await queue.pause(second, 100.0)
            assert not queue.begin_ask(second)
            assert queue.begin_ask(first)

    deployments.run(main())


@pytest.mark.parametrize("seed", range(10))
def test_queue_stays_sorted_while_ranks_change(seed):
    """A stale rank would wake the wrong request."""

    async def main():
        rng = random.Random(seed)
        queue = _queue()
        clock = clocks.Clock(wall_origin_ms=0.0)

        async def wait(waiter):
            with queue.enqueued(waiter):
                await clock.sleep_ms(rng.uniform(0.0, 2_000.0))
                if rng.random() < 0.5 and queue.begin_ask(waiter):
                    queue.end_ask(waiter, is_served=rng.random() < 0.7)

        tasks = []
        for _ in range(300):
            waiter = _waiter(
                clock.now_ms() + rng.uniform(0.0, 2_000.0),
                priority=rng.choice((0, 5)),
                account=rng.choice("abc"),
                is_late=rng.random() < 0.2,
            )
            tasks.append(asyncio.ensure_future(wait(waiter)))
            await clock.sleep_ms(rng.expovariate(1 / 10.0))
            waiting = [entry[2] for entry in queue._sorted()]
            ranks = [
                queue.order.rank(w.ticket, clock.now_ms()) for w in waiting
            ]
            assert ranks == sorted(ranks)
        await asyncio.gather(*tasks)

    deployments.run(main())


def test_only_certain_use_by_others_counts():
    """Requests that may leave memory must not cause an early rejection."""

    async def main():
        queue = _queue()
        waiter = _waiter(500.0, account="greedy", priority=5)
        certain = _waiter(900.0, priority=5, tokens=7)
        uncertain = [
            # It may be given up before, or not fit where the request does.
            _waiter(400.0, priority=5),
            _waiter(900.0, priority=5, tokens=11),
            # The class may be given a turn before the urgent one.
            _waiter(900.0),
        ]
        with contextlib.ExitStack() as stack:
            for other in (waiter, certain, *uncertain):
                stack.enter_context(queue.enqueued(other))
            charged = _waiter(1.0, account="greedy", priority=5)
            stack.enter_context(queue.enqueued(charged))
            queue.end_ask(charged, is_served=True)
            assert queue.blocking_tokens(waiter) == 7

    deployments.run(main())


def test_last_request_to_a_silent_engine_does_not_hold_up_the_others():
    """A request that is due asks out of turn; the next one waited for it."""

    async def main():
        queue = _queue()
        due, next_one = _waiter(900.0), _waiter(990.0, priority=5)
        with queue.enqueued(due), queue.enqueued(next_one):
            queue.begin_last_ask(due)
            assert queue.begin_ask(next_one)

    deployments.run(main())


class _CountingWaiter(wait_queues.Waiter):
    """Counts how often queues look at a request's round."""

    looks = 0

    @property
    def asked_round(self):
        _CountingWaiter.looks += 1
        return self._asked_round

    @asked_round.setter
    def asked_round(self, value):
        self._asked_round = value


def test_work_of_a_round_does_not_grow_with_the_square_of_the_waiters():
    """With hundreds of waiters each release kept the leader busy for long."""

    async def main():
        queue = _queue()
        count = 200
        with contextlib.ExitStack() as exits:
            for number in range(count):
                waiter = _waiter(9e5 + number, account="ab"[number % 2])
                counting = _CountingWaiter(waiter.ticket, waiter.tokens)
                exits.enter_context(queue.enqueued(counting))
            _CountingWaiter.looks = 0
            queue.wake_first()
            for _, _, waiter in list(queue._sorted()):
                assert queue.begin_ask(waiter)
                queue.end_ask(waiter, is_served=False)
            assert _CountingWaiter.looks <= 8 * count

    deployments.run(main())
