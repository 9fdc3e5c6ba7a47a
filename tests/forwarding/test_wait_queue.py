"""Order in which queued requests of a service ask for memory."""

from __future__ import annotations

import asyncio

from jujubewharf.forwarding import wait_queue as wait_queues
from tests.forwarding import deployments


def test_requests_that_can_meet_their_target_come_first():
    late = wait_queues.Waiter(is_late=True, due_ms=1.0)
    patient = wait_queues.Waiter(is_late=False, due_ms=9.0)
    hasty = wait_queues.Waiter(is_late=False, due_ms=5.0)
    ordered = sorted((late, patient, hasty), key=lambda w: w.rank)
    assert ordered == [hasty, patient, late]


def test_all_requests_are_woken_in_order():
    """No request stays asleep when memory for several comes free at once."""

    async def main():
        line, asked = wait_queues.WaitQueue(), []

        async def wait(waiter):
            with line.enqueued(waiter):
                await waiter.wait_until_woken()
                asked.append(waiter.due_ms)
                line.wake_after(waiter)

        waiters = [wait_queues.Waiter(False, due) for due in (3.0, 1.0, 2.0)]
        tasks = [asyncio.ensure_future(wait(w)) for w in waiters]
        await asyncio.sleep(0)
        line.wake_first()
        await asyncio.gather(*tasks)
        assert asked == [1.0, 2.0, 3.0]
        assert len(line) == 0
        line.wake_first()

    deployments.run(main())
