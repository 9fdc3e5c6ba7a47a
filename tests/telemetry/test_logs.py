"""Log lines are JSON, carry the request id, and never quote its content."""

from __future__ import annotations

import asyncio
import io
import json
import logging

import aiohttp
import pytest
import structlog

from jujubewharf import hashing
from jujubewharf.telemetry import logs
from tests import loopback

PROMPT = "answer_tokens=30 the-secret-report of one car"
TOKEN = "the-secret-token"
PATH = "/v1/completions"


@pytest.fixture
def stream():
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    text = io.StringIO()
    logs.configure("debug", instance="e1", stream=text)
    yield text
    structlog.reset_defaults()
    root.handlers = handlers
    root.setLevel(level)


def _lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


async def _session(deployment: loopback.Loopback, monkeypatch) -> None:
    """Sends requests that succeed, that fail, and one that crashes."""
    base, session = deployment.base, deployment.session
    headers = {"Authorization": f"Bearer {TOKEN}"}
    body = {"model": "verdict-llm", "prompt": PROMPT, "max_tokens": 30}
    posts = [
        (PATH, {"json": body}),
        (PATH, {"json": body | {"stream": True}}),
        (PATH, {"json": body | {"max_tokens": PROMPT}}),
        (PATH, {"data": f"{{{PROMPT}"}),
        (PATH, {"json": body | {"model": PROMPT}}),
        ("/s/shop-api/sale", {"data": PROMPT}),
    ]
    for path, data in posts:
        async with session.post(base + path, headers=headers, **data) as answer:
            await answer.read()
    wrong = {"Authorization": f"Bearer {TOKEN}2"}
    async with session.post(base + PATH, headers=wrong, json=body) as answer:
        assert answer.status == 401
    async with session.post(
        base + PATH, headers=headers, json=body | {"stream": True}
    ) as answer:
        await answer.content.readline()
        for engine in deployment.engines.values():
            await engine.die()
        with pytest.raises(aiohttp.ClientPayloadError):
            await answer.content.read()
    _crash(deployment, monkeypatch)
    async with session.post(base + PATH, headers=headers, json=body) as answer:
        assert answer.status == 500


def _crash(deployment: loopback.Loopback, monkeypatch) -> None:
    def answer(request):
        raise RuntimeError(request.prompt)

    monkeypatch.setattr(deployment.entry.core, "answer", answer)


async def test_log_lines_contain_no_token_or_prompt(stream, monkeypatch):
    loop = asyncio.get_running_loop()
    logs.handle_loop_errors(loop)
    account = loopback.account("dealer", TOKEN)
    async with loopback.deployed(account) as deployment:
        await _session(deployment, monkeypatch)
    error = RuntimeError(PROMPT)
    loop.call_exception_handler({"message": "lost", "exception": error})
    try:
        raise ValueError(TOKEN)
    except ValueError:
        logging.getLogger("aiohttp.server").exception("failed")
    text = stream.getvalue()
    lines = _lines(stream)
    answered = hashing.digest(PROMPT.encode())[:6]
    for secret in ("the-secret-report", TOKEN, answered + "-"):
        assert secret not in text
    events = {line["event"] for line in lines}
    assert {"request_crashed", "event_loop_error", "failed"} <= events
    assert all(line["instance"] == "e1" for line in lines)
    crashed = next(x for x in lines if x["event"] == "request_crashed")
    assert crashed["exception"] == "RuntimeError"
    assert crashed["frames"]


def test_records_of_other_libraries_are_json(stream):
    logging.getLogger("mode.services").warning("Stopping %s\nmore", "it")
    # asyncio may log the creation of pytest-asyncio's event loop as well.
    (line,) = [x for x in _lines(stream) if x["logger"] != "asyncio"]
    assert line["event"] == "Stopping it"
    assert line["logger"] == "mode.services"
    assert line["level"] == "warning"


def test_bound_request_id_is_logged(stream):
    with structlog.contextvars.bound_contextvars(request="r1"):
        structlog.get_logger().info("one", attempt="r1.1")
        logging.getLogger("aiohttp.server").warning("two")
    structlog.get_logger().info("three")
    one, two, three = _lines(stream)
    assert one["request"] == two["request"] == "r1"
    assert one["attempt"] == "r1.1"
    assert "request" not in three
