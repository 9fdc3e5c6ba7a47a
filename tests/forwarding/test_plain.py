"""Plain requests: repeats, errors and deadlines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from unittest import mock

from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.forwarding import buffered_replies
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint


def test_answer_is_forwarded_unchanged():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", status=404)
        ) as world:
            answer = await world.ask("/sale/1")
            assert (answer.status, answer.body) == (404, b"r1")

    deployments.run(main())


def test_lost_answer_is_retried_if_allowed():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", loses_answers=True), plain_endpoint("s2", "b")
        ) as world:
            answer = await world.ask("/lookup/1")
            assert answer.status == 200
            assert [r.engine for r in world.backends.runs] == ["s1", "s2"]

    deployments.run(main())


def test_lost_answer_without_repeat_has_unknown_outcome():
    """A lost answer is not reported as "did not run".

    The caller would repeat a sale that may have been recorded.
    """

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", loses_answers=True), plain_endpoint("s2", "b")
        ) as world:
            answer = await world.ask("/sale/1")
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())


async def _ask_and_crash(world, path: str) -> deployments.Answer:
    """Asks for an answer without a length; its endpoint crashes inside it."""
    for backend in world.backends.by_name.values():
        backend.is_framed = False
        backend.work_ms = 100.0
    asking = asyncio.ensure_future(world.ask(path, request_id="whole-body"))
    await world.clock.sleep_ms(60.0)
    world.backends.crash(world.backends.by_name["s1"])
    return await asking


# The part that had arrived was forwarded as a whole success.
def test_answer_without_length_that_ends_with_its_endpoint_is_retried():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1"), plain_endpoint("s2", "b")
        ) as world:
            answer = await _ask_and_crash(world, "/lookup/1")
            assert answer.status == 200
            assert answer.body == b"whole-body"
            assert [r.engine for r in world.backends.runs] == ["s1", "s2"]

    deployments.run(main())


def test_answer_without_length_that_ends_with_its_endpoint_is_unknown():
    """It may have run, so it isn't sent again, nor said to have failed."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1"), plain_endpoint("s2", "b")
        ) as world:
            answer = await _ask_and_crash(world, "/sale/1")
            assert answer.status is None
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())


# What the caller has can't be taken back, but it must not look like the whole.
def test_large_answer_without_length_breaks_off_with_its_endpoint():
    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            with mock.patch.object(buffered_replies, "MAX_BUFFERED_BYTES", 4):
                answer = await _ask_and_crash(world, "/lookup/1")
            assert answer.status == 200
            assert answer.body == b"whole-"
            assert not answer.is_ended
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN

    deployments.run(main())


def test_unreachable_endpoint_is_retried_without_repeat():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", is_unreachable=True), plain_endpoint("s2", "b")
        ) as world:
            answer = await world.ask("/sale/1")
            assert answer.status == 200
            assert [r.engine for r in world.backends.runs] == ["s2"]

    deployments.run(main())


def test_unreachable_service_is_reported_as_not_run():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", is_unreachable=True)
        ) as world:
            answer = await world.ask("/sale/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.NO
            assert answer.error.response.http_status == 503
            assert answer.error.retry_after_ms is not None

    deployments.run(main())


def test_server_error_is_retried_and_then_forwarded():
    """The caller gets the endpoint's own error response."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", status=500),
            plain_endpoint("s2", "b", status=500),
        ) as world:
            answer = await world.ask("/lookup/1")
            assert (answer.status, answer.error) == (500, None)
            assert len(world.backends.runs) == 2

    deployments.run(main())


def test_server_error_without_repeat_is_forwarded():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", status=500), plain_endpoint("s2", "b")
        ) as world:
            answer = await world.ask("/sale/1")
            assert answer.status == 500
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_hanging_endpoint_is_abandoned_before_the_target():
    """A hanging endpoint is given up in time to meet the target elsewhere.

    Health checks do not detect such an endpoint.
    """

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", is_silent=True), plain_endpoint("s2", "b")
        ) as world:
            answer = await world.ask("/lookup/1")
            assert answer.status == 200
            assert answer.took_ms < deployments.LOOKUP.target_ms
            assert not world.backends.by_name["s1"].running_requests

    deployments.run(main())


def test_attempts_are_limited_by_the_route():
    async def main():
        async with deployments.deployed(
            *(plain_endpoint(f"s{i}", loses_answers=True) for i in range(4))
        ) as world:
            answer = await world.ask("/lookup/1")
            assert answer.error is not None
            assert len(world.backends.runs) == deployments.LOOKUP.max_attempts

    deployments.run(main())


def test_retries_stop_with_the_budget():
    """Retries of a failing service are bounded.

    This single instance has the whole budget: 40 per window and a fifth of its
    requests.
    """

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", loses_answers=True),
            plain_endpoint("s2", loses_answers=True),
        ) as world:
            for _ in range(200):
                await world.ask("/lookup/1")
                await world.clock.sleep_ms(10.0)
            extra = len(world.backends.runs) - 200
            assert 20 < extra <= 40 + 0.2 * 200

    deployments.run(main())


def test_deadline_is_answered_immediately():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", is_silent=True)
        ) as world:
            answer = await world.ask("/sale/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN
            assert answer.took_ms <= deployments.SALE.timeout_ms + 50.0

    deployments.run(main())


def test_disconnect_of_caller_cancels_the_request():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", work_ms=1e3)
        ) as world:
            await world.ask("/sale/1", leave_after_ms=100.0)
            assert not world.backends.by_name["s1"].running_requests

    deployments.run(main())


def test_draining_endpoint_gets_no_requests():
    async def main():
        leaving = plain_endpoint("s1")
        async with deployments.deployed(
            leaving, plain_endpoint("s2", "b")
        ) as world:
            world.register(leaving, drained=True)
            await world.clock.sleep_ms(1_000.0)
            for _ in range(3):
                await world.ask("/sale/1")
            assert {r.engine for r in world.backends.runs} == {"s2"}

    deployments.run(main())


def test_requests_are_served_during_a_store_outage():
    async def main():
        async with deployments.deployed(plain_endpoint("s1")) as world:
            world.endpoints.is_down = True
            world.configurations.is_down = True
            world.groups.cut_off.add("e1")
            await world.clock.sleep_ms(60_000.0)
            answers = await asyncio.gather(*[world.ask("/sale/1")])
            assert [a.status for a in answers] == [200]

    deployments.run(main())


def test_no_repeat_despite_attempts_left():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", loses_answers=True), plain_endpoint("s2", "b")
        ) as world:
            route = dataclasses.replace(deployments.SALE, max_attempts=3)
            world.configurations.put(
                "config", deployments.configuration(2, route)
            )
            await world.clock.sleep_ms(100.0)
            answer = await world.ask("/sale/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN
            assert len(world.backends.runs) == 1

    deployments.run(main())


def test_earlier_server_error_is_forwarded_on_timeout():
    """The first endpoint's error is forwarded if the second one times out."""

    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", status=500),
            plain_endpoint("s2", "b", is_silent=True),
        ) as world:
            answer = await world.ask("/lookup/1")
            assert (answer.status, answer.error) == (500, None)
            assert answer.took_ms < deployments.LOOKUP.timeout_ms

    deployments.run(main())


def _slow_permits(world, *, for_ms: float) -> None:
    """Lets each permit after the first one take a while."""
    forwarder = world.instances["e1"]._forwarder._plain
    acquire = forwarder._acquire_any
    asked: list[str] = []

    async def acquire_slowly(held, run, failed):
        asked.append(run.call.request_id)
        if len(asked) > 1:
            await world.clock.sleep_ms(for_ms)
        return await acquire(held, run, failed)

    forwarder._acquire_any = acquire_slowly


# An attempt that waited for its permit wasn't counted, so a third began.
def test_attempt_that_waits_for_a_permit_counts():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", status=500, work_ms=300.0),
            plain_endpoint("s2", "b", work_ms=300.0),
            plain_endpoint("s3", "b", work_ms=300.0),
        ) as world:
            _slow_permits(world, for_ms=200.0)
            await world.ask("/lookup/1")
            assert len(world.backends.runs) == 2

    deployments.run(main())


# The late refusal of one endpoint hid that another one had run the request.
def test_refusal_beside_a_lost_answer_is_not_told_as_not_run():
    async def main():
        async with deployments.deployed(
            plain_endpoint("s1", work_ms=400.0),
            plain_endpoint("s2", "b", loses_answers=True),
        ) as world:
            send = world.backends.send

            @contextlib.asynccontextmanager
            async def refuse_late(endpoint, sending):
                if endpoint.name == "s1":
                    await world.clock.sleep_ms(500.0)
                    fault = client.EngineFault.REFUSED_FULL
                    raise client.EngineError(fault, "s1")
                async with send(endpoint, sending) as reply:
                    yield reply

            forwarder = world.instances["e1"]._forwarder._plain
            forwarder._backends.send = refuse_late
            answer = await world.ask("/lookup/1")
            assert answer.error is not None
            assert answer.error.ran is errors.Ran.UNKNOWN

    deployments.run(main())
