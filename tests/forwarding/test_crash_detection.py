"""Detection of engine crashes, and their log lines."""

from __future__ import annotations

import asyncio

import structlog

from tests.forwarding import deployments

CRASHING = b"a body that crashes engines"


def _crash_lines(lines) -> list[dict]:
    return [line for line in lines if line["event"] == "engine_crashed"]


def test_log_line_has_request_engine_and_crash_count():
    """Log lines link the tries of one request by its label."""

    async def main():
        async with deployments.deployed(
            deployments.prefill_engine("p1"),
            deployments.decode_engine("d1"),
            deployments.decode_engine("d2"),
        ) as world:
            world.backends.crashing_bodies.add(CRASHING)
            with structlog.testing.capture_logs() as lines:
                await world.ask("/once/1", body=CRASHING, request_id="first")
                await world.ask("/once/1", body=CRASHING, request_id="second")
            found = _crash_lines(lines)
            assert [line["request"] for line in found] == ["first", "second"]
            assert [line["crashes"] for line in found] == [1, 2]
            assert {line["label"] for line in found} == {"first"}
            assert {line["engine"] for line in found} == {"d1", "d2"}
            for line in lines:
                assert "crashes engines" not in str(line)

    deployments.run(main())


# Its listener accepts connections for a while longer; the crash wasn't counted,
# and the request went on to crash the next engine.
def test_crash_is_counted_behind_a_listener_that_lives_on():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1", listens_on_ms=60.0)
        ) as world:
            world.backends.crashing_bodies.add(CRASHING)
            with structlog.testing.capture_logs() as lines:
                await world.ask("/sale/1", body=CRASHING)
            assert [li["crashes"] for li in _crash_lines(lines)] == [1]

    deployments.run(main())


def test_every_request_of_a_crashed_engine_is_logged():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1", work_ms=100.0),
            deployments.plain_endpoint("s2"),
        ) as world:
            world.backends.by_name["s2"].is_leaving = True
            await world.ask("/sale/0")
            await world.ask("/sale/0")
            world.backends.crashing_bodies.add(CRASHING)
            with structlog.testing.capture_logs() as lines:
                await asyncio.gather(
                    world.ask("/sale/1", body=CRASHING),
                    world.ask("/sale/2"),
                )
            assert [li["crashes"] for li in _crash_lines(lines)] == [1, 1]

    deployments.run(main())


def test_broken_connection_is_no_crash():
    """A reset connection or a lost answer is not counted as a crash."""

    async def main():
        plain_endpoint = deployments.plain_endpoint("s1", loses_answers=True)
        async with deployments.deployed(plain_endpoint) as world:
            with structlog.testing.capture_logs() as lines:
                await world.ask("/sale/1")
            assert _crash_lines(lines) == []
            assert len(world.instances["e1"].crashes) == 0

    deployments.run(main())


def test_early_disconnect_of_caller_hides_no_crash():
    """A crash is recorded even if the caller disconnects."""

    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1")
        ) as world:
            world.backends.crashing_bodies.add(CRASHING)
            backends = world.instances["e1"]._forwarder._plain._backends
            look = backends.has_crashed

            async def slowly(endpoint):
                await world.clock.sleep_ms(50.0)
                return await look(endpoint)

            backends._backends.has_crashed = slowly
            await world.ask("/sale/1", body=CRASHING, leave_after_ms=70.0)
            await world.clock.sleep_ms(100.0)
            call = world.call("/sale/1", body=CRASHING)
            assert world.instances["e1"].crashes.count(call) == 1

    deployments.run(main())
