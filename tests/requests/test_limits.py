"""Limits of client accounts and services, on the virtual clock."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import limits

ACCOUNT = resources.Account("dealer", "", rate_per_s=2.0, max_in_flight=20)
SERVICE = resources.Service(
    "shop-api", resources.ServiceKind.PLAIN, max_in_flight=2, max_queued=2
)
WIDE = resources.Service("wide", resources.ServiceKind.PLAIN)


def _limits(members: int = 1) -> limits.Limits:
    accounts = {ACCOUNT.name: ACCOUNT}
    return limits.Limits(
        clocks.Clock(), accounts.get, member_count=lambda: members
    )


async def _hold(
    limiter: limits.Limits,
    hold_ms: float,
    *,
    account: str = "",
    service: resources.Service = SERVICE,
    deadline_at_ms: float = 60_000,
    priority: int = 0,
) -> float | errors.WharfError:
    """Returns the time of admission in ms, or the refusal."""
    clock = clocks.Clock()
    try:
        async with limiter.admitted(
            account,
            service,
            deadline_at_ms=deadline_at_ms,
            priority=priority,
        ):
            entered_ms = clock.now_ms()
            await clock.sleep_ms(hold_ms)
            return entered_ms
    except errors.WharfError as error:
        return error


def test_the_queue_is_bounded_and_goes_by_priority():
    async def main() -> None:
        limiter = _limits()
        calls = [
            asyncio.create_task(_hold(limiter, 100, priority=priority))
            for priority in (0, 0, 1, 5, 9)
        ]
        results = await asyncio.gather(*calls)
        assert results[:2] == [0, 0]
        # Both slots become free at 100 ms, for the two queued calls.
        assert results[2:4] == [100, 100]
        refused = results[4]
        assert refused.kind is errors.ErrorKind.QUEUE_FULL
        assert refused.retry_after_ms > 0
        assert limiter.in_flight("shop-api") == 0

    virtual_time.run(main())


def test_a_higher_priority_leaves_the_queue_first():
    async def main() -> None:
        limiter = _limits()
        running = [
            asyncio.create_task(_hold(limiter, hold_ms))
            for hold_ms in (100, 200)
        ]
        low = asyncio.create_task(_hold(limiter, 10, priority=1))
        high = asyncio.create_task(_hold(limiter, 500, priority=5))
        await asyncio.gather(*running)
        assert await high == 100
        assert await low == 200

    virtual_time.run(main())


def test_a_queued_request_is_given_up_on_at_its_deadline():
    async def main() -> None:
        limiter = _limits()
        running = [asyncio.create_task(_hold(limiter, 1_000)) for _ in range(2)]
        await asyncio.sleep(0)
        refused = await _hold(limiter, 1, deadline_at_ms=300)
        assert refused.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert refused.ran is errors.Ran.NO
        assert clocks.Clock().now_ms() == 300
        assert limiter.queued("shop-api") == 0
        await asyncio.gather(*running)

    virtual_time.run(main())


def test_a_cancelled_waiter_passes_its_slot_on():
    """A slot assigned to a caller that is being cancelled must not be lost."""

    async def main() -> None:
        limiter = _limits()
        running = [asyncio.create_task(_hold(limiter, 100)) for _ in range(2)]
        await asyncio.sleep(0)
        waiting = asyncio.create_task(_hold(limiter, 1))
        await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.gather(*running, waiting, return_exceptions=True)
        assert limiter.in_flight("shop-api") == 0
        results = await asyncio.gather(_hold(limiter, 1), _hold(limiter, 1))
        assert results == [100, 100]

    virtual_time.run(main())


def test_cancelling_at_any_iteration_never_loses_a_slot():
    """As above, for each event loop iteration around the assignment."""

    async def main(turns: int) -> None:
        limiter = _limits()
        clock = clocks.Clock()
        holders = [asyncio.Event(), asyncio.Event()]

        async def hold(event: asyncio.Event) -> None:
            async with limiter.admitted("", SERVICE, deadline_at_ms=60_000):
                await event.wait()

        running = [asyncio.create_task(hold(event)) for event in holders]
        await clock.sleep_ms(1)
        waiting = asyncio.create_task(_hold(limiter, 50))
        await clock.sleep_ms(1)
        holders[0].set()
        for _ in range(turns):
            await asyncio.sleep(0)
        waiting.cancel()
        holders[1].set()
        await asyncio.gather(*running, waiting, return_exceptions=True)
        assert limiter.in_flight("shop-api") == 0
        assert limiter.queued("shop-api") == 0

    for turns in range(6):
        virtual_time.run(main(turns))


def test_an_account_over_its_rate_gets_a_retry_after():
    async def main() -> None:
        limiter = _limits()
        outcomes = [
            await _hold(limiter, 0, account="dealer", service=WIDE)
            for _ in range(21)
        ]
        assert all(isinstance(outcome, float) for outcome in outcomes[:20])
        refused = outcomes[20]
        assert refused.kind is errors.ErrorKind.RATE_LIMITED
        assert refused.retry_after_ms == pytest.approx(500)
        await clocks.Clock().sleep_ms(refused.retry_after_ms)
        again = await _hold(limiter, 0, account="dealer", service=WIDE)
        assert isinstance(again, float)

    virtual_time.run(main())


def test_a_check_refuses_as_admission_does_and_takes_nothing():
    async def main() -> None:
        limiter = _limits()
        for _ in range(50):
            limiter.check("dealer")
        for _ in range(20):
            await _hold(limiter, 0, account="dealer", service=WIDE)
        with pytest.raises(errors.WharfError):
            limiter.check("dealer")
        limiter.check("another")

    virtual_time.run(main())


def test_the_share_of_many_instances_has_a_minimum():
    async def main(members: int) -> int:
        limiter = _limits(members)
        outcomes = await asyncio.gather(
            *(
                _hold(limiter, 10, account="dealer", service=WIDE)
                for _ in range(30)
            )
        )
        kept = [o for o in outcomes if isinstance(o, float)]
        refused = [o for o in outcomes if not isinstance(o, float)]
        kinds = {error.kind for error in refused}
        assert kinds <= {
            errors.ErrorKind.TOO_MANY_IN_FLIGHT,
            errors.ErrorKind.RATE_LIMITED,
        }
        return len(kept)

    assert virtual_time.run(main(1)) == 20
    assert virtual_time.run(main(2)) == 10
    assert virtual_time.run(main(380)) == limits.MIN_IN_FLIGHT


def test_many_accounts_seen_once_are_forgotten():
    async def main() -> None:
        accounts = {
            f"a{i}": resources.Account(f"a{i}", "", rate_per_s=100.0)
            for i in range(2_500)
        }
        limiter = limits.Limits(clocks.Clock(), accounts.get)
        for name in accounts:
            await _hold(limiter, 0, account=name, service=WIDE)
            await clocks.Clock().sleep_ms(10)
        assert limiter.tracked_accounts <= 1_024

    virtual_time.run(main())
