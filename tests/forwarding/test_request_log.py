"""Log lines of requests: sampling, buffering and documentation."""

from __future__ import annotations

import ast
import math
import pathlib
import re

import pytest
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import state_log
from jujubewharf.telemetry import request_lines
from tests.forwarding import deployments

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "operating" / "logs.md"


def _run(request_id: str) -> runs.Run:
    world = deployments.Deployment()
    call = world.call("/verdicts/1", request_id=request_id)
    return runs.Run(call, deployments.STREAM, deployments.ENGINES, 9_000.0)


def _id(*, is_sampled: bool) -> str:
    numbers = (f"r{n}" for n in range(1_000))
    return next(i for i in numbers if request_lines.is_sampled(i) is is_sampled)


def _events(request_id: str, outcome: str) -> list[str]:
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(1.0)
        run = _run(request_id)
        request_log.log_placement(
            run,
            "d1",
            tokens=7,
            free_tokens=0,
            waited_ms=3.0,
            decided_by="alone",
            preceded_by={},
        )
        request_log.log_attempt(
            run, "d1", stage="decode", left_ms=9.0, age_ms=4.0
        )
        fault = client.EngineError(client.EngineFault.LOST, "d1")
        request_log.log_engine_failure(run, fault, stage="decode", took_ms=1.0)
        request_log.log_end(run, outcome, took_ms=5.0)

    with structlog.testing.capture_logs() as lines:
        virtual_time.run(main())
    return [line["event"] for line in lines]


@pytest.mark.parametrize("is_sampled", [True, False])
def test_failed_request_logs_all_lines(is_sampled):
    events = _events(_id(is_sampled=is_sampled), "engine_failed")
    assert sorted(events) == [
        "engine_call_failed",
        "request_failed",
        "request_placed",
        "request_sent",
    ]


def test_successful_requests_log_routine_lines_if_sampled():
    assert _events(_id(is_sampled=False), "finished") == ["engine_call_failed"]
    assert "request_ended" in _events(_id(is_sampled=True), "finished")


def test_one_request_in_sixteen_is_sampled():
    sampled = sum(request_lines.is_sampled(f"id-{n}") for n in range(16_000))
    assert 800 < sampled < 1_200


def test_every_event_is_documented():
    """Every log event must be documented for operators."""
    source = pathlib.Path(request_log.__file__).parent
    others = (
        "plain_calls",
        "endpoint_paths",
        "engine_speeds",
        "overload",
        "role_orders",
        "stream_versions",
    )
    folders = [source, *(source.parent / name for name in others)]
    said = set()
    for path in [path for folder in folders for path in folder.glob("*.py")]:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            called = ast.unparse(node.func)
            is_routine = called.split(".")[-1] == "log_routine"
            place = 1 if is_routine else 0
            if is_routine or re.search(
                r"logger\.(info|warning|error)$", called
            ):
                if len(node.args) > place:
                    argument = node.args[place]
                    if isinstance(argument, ast.Constant):
                        said.add(argument.value)
    listed = set(re.findall(r"^\| `(\w+)`", PAGE.read_text(), re.M))
    assert said - listed == set()
    # Guards against a search that finds no routine lines or other modules.
    assert {"request_sent", "plain_call_granted", "request_refused"} <= said


def test_no_line_contains_request_content():
    async def main():
        async with deployments.deployed(
            deployments.plain_endpoint("s1", loses_answers=True)
        ) as world:
            answer = await world.ask("/lookup/the-secret", body=b"the-secret")
            assert isinstance(answer.error, errors.WharfError)

    with structlog.testing.capture_logs() as lines:
        deployments.run(main())
    assert lines
    assert "the-secret" not in repr(lines)


def test_lines_before_the_first_read_fail_no_request():
    """The age of the entries is infinite then, and rounding it raised.

    A request without memory was answered as an internal error instead of being
    rejected.
    """

    async def main():
        run = _run(_id(is_sampled=True))
        request_log.log_failed_placement(
            run,
            tokens=7,
            free_tokens=0,
            engines={},
            waiting=0,
            age_ms=math.inf,
            rejected_by="due",
            decided_by="alone",
            waited_ms=3.0,
            preceded_by={},
        )
        request_log.log_attempt(
            run, "d1", stage="decode", left_ms=9.0, age_ms=math.inf
        )
        state_log.log_missing_engine(
            "d1", is_reachable=False, registry_age_ms=math.inf
        )
        state_log.log_role_order(
            "d1",
            role="decode",
            fence=1,
            outcome="accepted",
            prefill_ms=None,
            decode_ms=None,
            registry_age_ms=math.inf,
        )

    with structlog.testing.capture_logs() as lines:
        virtual_time.run(main())
    assert len(lines) == 4
    assert all(line["registry_age_ms"] is None for line in lines)
