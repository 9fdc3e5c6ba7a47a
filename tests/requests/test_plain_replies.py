"""Plain calls that are not repeatable: sent once, with a reply for retries."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.requests import plain
from jujubewharf.requests import plain_replies
from tests.requests.test_answer_service import run

SERVICE = resources.Service("shop-api", resources.ServiceKind.PLAIN)


async def declare(d, answer_ms):
    await d.bench.declare(
        SERVICE,
        resources.Endpoint(
            "till-1", "shop-api", "127.0.0.1:t1", "a", resources.Role.PLAIN
        ),
    )
    d.bench.endpoints.answer_ms["till-1"] = answer_ms
    await d.clock.sleep_ms(500)


def sale(d, number, body=b"sell 1", key="sale-1"):
    async def chunks():
        yield body

    return plain.PlainRequest(
        request_id=f"r{number}",
        service=SERVICE,
        method="POST",
        path_query="/stock",
        arrived_ms=d.clock.now_ms(),
        deadline_ms=20_000,
        body=chunks(),
        account="till",
        key=key,
    )


async def call(d, name, request):
    """Returns the reply's body, or the error's ``kind`` and ``ran``."""
    core = d.core(name)

    async def body():
        async with core.call_plain(request) as reply:
            return b"".join([chunk async for chunk in reply.body])

    try:
        return await d.bench.instances[name].process.create_task(body())
    except errors.WharfError as error:
        return error.kind, error.ran


def runs(d):
    return sum(len(ids) for ids in d.bench.endpoints.runs.values())


@pytest.mark.parametrize("retry_at", ["e1", "e2"])
@pytest.mark.parametrize("after_ms", [50, 3_000])
def test_a_retry_gets_the_reply_of_the_one_call(retry_at, after_ms):
    # A retry must get the first call's reply, from whichever instance it asks.
    async def scenario(d):
        await declare(d, 1_000)
        first = asyncio.ensure_future(call(d, "e1", sale(d, 1)))
        await d.clock.sleep_ms(after_ms)
        first.cancel()
        return await call(d, retry_at, sale(d, 2)), runs(d)

    reply, count = run(scenario)
    assert reply == b"sell 1"
    assert count == 1


def test_two_tills_at_once_are_one_sale():
    async def scenario(d):
        await declare(d, 300)
        replies = await asyncio.gather(
            call(d, "e1", sale(d, 1)),
            call(d, "e2", sale(d, 2)),
            call(d, "e3", sale(d, 3)),
        )
        return replies, runs(d)

    replies, count = run(scenario)
    assert replies == [b"sell 1"] * 3
    assert count == 1


def test_another_body_under_the_key_is_a_conflict():
    async def scenario(d):
        await declare(d, 10)
        await call(d, "e1", sale(d, 1))
        return await call(d, "e2", sale(d, 2, b"sell 2")), runs(d)

    (kind, ran), count = run(scenario)
    assert (kind, ran) == (errors.ErrorKind.KEY_CONFLICT, errors.Ran.NO)
    assert count == 1


def test_a_dead_instances_sale_is_unknown_and_not_sent_again():
    # After the instance's death the outcome is unknown, and the retry must not
    # be sent.
    async def scenario(d):
        await declare(d, 1_000)
        first = asyncio.ensure_future(call(d, "e1", sale(d, 1)))
        await d.clock.sleep_ms(300)
        d.bench.kill_instance("e1")
        retry = await call(d, "e2", sale(d, 2))
        first.cancel()
        return retry, runs(d)

    (kind, ran), count = run(scenario)
    assert (kind, ran) == (errors.ErrorKind.CLAIM_LOST, errors.Ran.UNKNOWN)
    assert count == 1


def test_a_sale_that_was_not_sent_may_be_sent_by_the_retry():
    # A call that was not sent must release its claim.
    async def scenario(d):
        await declare(d, 10)
        d.bench.endpoints.dead.add("till-1")
        refused = await call(d, "e1", sale(d, 1))
        d.bench.endpoints.dead.clear()
        await d.clock.sleep_ms(5_000)
        return refused, await call(d, "e2", sale(d, 2)), runs(d)

    (_, ran), reply, count = run(scenario)
    assert ran is errors.Ran.NO
    assert reply == b"sell 1"
    assert count == 1


def test_a_large_reply_passes_whole_and_is_not_kept():
    async def scenario(d):
        await declare(d, 10)
        large = b"x" * (plain_replies.MAX_REPLY_BYTES + 1)
        first = await call(d, "e1", sale(d, 1, large))
        again = await call(d, "e2", sale(d, 2, large))
        return first == large, again, runs(d)

    is_whole, (kind, ran), count = run(scenario)
    assert is_whole
    assert (kind, ran) == (errors.ErrorKind.CLAIM_LOST, errors.Ran.UNKNOWN)
    assert count == 1
