"""Plain calls on the virtual clock: endpoint choice, retries and keys."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence

import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.platform import live_list
from jujubewharf.requests import plain
from jujubewharf.requests import plain_body

SERVICE = resources.Service(
    "shop-api",
    resources.ServiceKind.PLAIN,
    repeatable=False,
    deadline_ms=1_000.0,
    retry_ratio=0.0,
)


def _endpoint(name: str, domain: str = "a", **more) -> resources.Endpoint:
    role = resources.Role.PLAIN
    return resources.Endpoint(name, "shop-api", name, domain, role, **more)


async def _bench(
    *endpoints: resources.Endpoint, service: resources.Service = SERVICE
) -> benches.Bench:
    bench = benches.Bench()
    await bench.declare(service, *endpoints)
    await bench.start_instance("e1", "a")
    await bench.clock.sleep_ms(100)
    return bench


async def _chunks(parts: Sequence[bytes]) -> AsyncIterator[bytes]:
    for part in parts:
        yield part


def _request(
    bench: benches.Bench, number: int = 1, **more
) -> plain.PlainRequest:
    return plain.PlainRequest(
        **{
            "request_id": f"r{number}",
            "service": SERVICE,
            "method": "POST",
            "path_query": "/stock",
            "arrived_ms": bench.clock.now_ms(),
            "deadline_ms": 1_000.0,
        }
        | more
    )


async def _call(bench: benches.Bench, **more) -> bytes | errors.WharfError:
    core = bench.instances["e1"].core
    try:
        async with core.call_plain(_request(bench, **more)) as reply:
            return b"".join([chunk async for chunk in reply.body])
    except errors.WharfError as error:
        return error


def _runs(bench: benches.Bench) -> int:
    return sum(len(runs) for runs in bench.endpoints.runs.values())


def test_the_own_domain_is_preferred_and_drained_endpoints_are_left_out():
    async def main() -> None:
        bench = await _bench(
            _endpoint("a1"),
            _endpoint("a2", drained=True),
            _endpoint("b1", "b"),
        )
        for number in range(6):
            assert await _call(bench, number=number) == b""
        assert list(bench.endpoints.runs) == ["a1"]
        await bench.stop()

    virtual_time.run(main())


def test_a_leaving_endpoint_gets_no_new_work():
    """A leaving endpoint is not used even while it is still configured."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        leaving = live_list.LiveMember(
            "a1", "a1", "a", is_entry=False, state=live_list.LiveState.LEAVING
        )
        bench.add_live_member(leaving)
        await bench.clock.sleep_ms(3_000)
        for number in range(4):
            assert await _call(bench, number=number) == b""
        assert list(bench.endpoints.runs) == ["a2"]
        await bench.stop()

    virtual_time.run(main())


def test_a_slow_endpoint_gets_fewer_calls():
    async def main() -> None:
        bench = await _bench(_endpoint("fast"), _endpoint("slow"))
        bench.endpoints.answer_ms |= {"fast": 5.0, "slow": 400.0}

        async def steadily(number: int) -> None:
            await bench.clock.sleep_ms(number * 10)
            await _call(bench, number=number)

        await asyncio.gather(*(steadily(number) for number in range(40)))
        runs = bench.endpoints.runs
        assert len(runs["fast"]) > 5 * len(runs["slow"])
        await bench.stop()

    virtual_time.run(main())


def test_a_call_that_was_not_sent_is_retried_elsewhere():
    """Without a connection nothing ran, so any call may be retried."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("b1", "b"))
        bench.endpoints.dead.add("a1")
        answer = await _call(bench, body=_chunks([b"one", b"two"]))
        assert answer == b"onetwo"
        assert _runs(bench) == 1
        await bench.stop()

    virtual_time.run(main())


def test_a_lost_answer_of_a_call_that_may_not_be_repeated_is_unknown():
    """A call that may have run is not sent again; its outcome is unknown."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        _lose_replies(bench)
        error = await _call(bench)
        assert error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        assert error.ran is errors.Ran.UNKNOWN
        assert _runs(bench) == 1
        await bench.stop()

    virtual_time.run(main())


def test_a_lost_answer_of_a_repeatable_call_is_asked_for_again():
    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        _lose_replies(bench)
        body = _chunks([b"x" * 100])
        answer = await _call(bench, is_repeatable=True, body=body)
        assert answer == b"x" * 100
        assert _runs(bench) == 2
        await bench.stop()

    virtual_time.run(main())


def test_a_body_too_large_to_buffer_is_not_sent_again():
    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        _lose_replies(bench)
        body = _chunks([b"x" * plain_body.MAX_BUFFERED_BYTES, b"x"])
        error = await _call(bench, is_repeatable=True, body=body)
        assert error.kind is errors.ErrorKind.ENDPOINT_FAILED
        assert error.ran is errors.Ran.UNKNOWN
        assert _runs(bench) == 1
        await bench.stop()

    virtual_time.run(main())


def test_retries_are_bounded_by_a_budget():
    """With a retry ratio of 0, only the initial budget of ten is available."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        _lose_replies(bench, once=False)
        for number in range(40):
            await _call(bench, number=number, is_repeatable=True)
        assert _runs(bench) == 40 + 10
        await bench.stop()

    virtual_time.run(main())


def test_a_deadline_ends_the_call_and_reports_whether_it_ran():
    async def main() -> None:
        bench = await _bench(_endpoint("a1"))
        bench.endpoints.answer_ms["a1"] = 5_000.0
        started_ms = bench.clock.now_ms()
        unknown = await _call(bench)
        assert unknown.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        assert bench.clock.now_ms() - started_ms == 1_000
        late = await _call(bench, is_repeatable=True)
        assert late.kind is errors.ErrorKind.DEADLINE_EXCEEDED
        assert late.ran is errors.Ran.UNKNOWN
        await bench.stop()

    virtual_time.run(main())


def test_no_endpoint_left_is_a_refusal_that_did_not_run():
    async def main() -> None:
        bench = await _bench(_endpoint("a1"), _endpoint("a2"))
        bench.endpoints.dead |= {"a1", "a2"}
        error = await _call(bench)
        assert error.kind is errors.ErrorKind.NO_FITTING_ENGINE
        assert error.ran is errors.Ran.NO
        assert error.retry_after_ms > 0
        await bench.stop()

    virtual_time.run(main())


def test_a_keyed_call_that_may_not_be_repeated_is_sent_once_for_its_key():
    """A repeated key gets the kept reply; with another body, a conflict."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"))
        first = await _call(bench, key="k", body=_chunks([b"one"]))
        assert first == b"one"
        again = await _call(bench, number=2, key="k", body=_chunks([b"one"]))
        assert again == b"one"
        other = await _call(bench, number=3, key="k", body=_chunks([b"two"]))
        assert other.kind is errors.ErrorKind.KEY_CONFLICT
        assert _runs(bench) == 1
        await bench.stop()

    virtual_time.run(main())


def test_a_key_whose_call_did_not_run_can_be_used_again():
    """A call that did not run must release its key."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"))
        bench.endpoints.dead.add("a1")
        refused = await _call(bench, key="k", body=_chunks([b"one"]))
        assert refused.ran is errors.Ran.NO
        bench.endpoints.dead.clear()
        answer = await _call(bench, number=2, key="k", body=_chunks([b"one"]))
        assert answer == b"one"
        assert _runs(bench) == 1
        await bench.stop()

    virtual_time.run(main())


def test_a_claim_that_the_log_does_not_confirm_stops_the_call():
    async def main() -> None:
        bench = await _bench(_endpoint("a1"))
        bench.instances["e1"].log.is_cut = True
        error = await _call(bench, key="k", body=_chunks([b"one"]))
        assert error.kind is errors.ErrorKind.CLAIM_UNAVAILABLE
        # This call did not run, but an earlier one with the key may have.
        assert error.ran is errors.Ran.UNKNOWN
        assert _runs(bench) == 0
        await bench.stop()

    virtual_time.run(main())


def test_plain_calls_do_not_wait_for_model_requests():
    """A full model service must not block plain calls."""

    async def main() -> None:
        bench = await _bench(_endpoint("a1"))
        core = bench.instances["e1"].core
        tight = resources.Service(
            "verdict-llm",
            resources.ServiceKind.MODEL,
            max_in_flight=1,
            max_queued=0,
        )
        async with core.model_limits.admitted("", tight, deadline_at_ms=9e9):
            with pytest.raises(errors.WharfError):
                async with core.model_limits.admitted(
                    "", tight, deadline_at_ms=9e9
                ):
                    pass
            assert await _call(bench) == b""
        await bench.stop()

    virtual_time.run(main())


def _lose_replies(bench: benches.Bench, *, once: bool = True) -> None:
    """Makes endpoints run a call and lose the reply.

    Args:
        bench: Bench with the endpoints.
        once: Whether only the first reply is lost, or every one.
    """
    endpoints = bench.endpoints
    whole = endpoints.run
    lost: list[str] = []

    async def run(name: str, request_id: str) -> None:
        if once and lost:
            await whole(name, request_id)
            return
        lost.append(name)
        endpoints.runs.setdefault(name, []).append(request_id)
        raise client.EngineError(client.EngineFault.LOST, name)

    endpoints.run = run
