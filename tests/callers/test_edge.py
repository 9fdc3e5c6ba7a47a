"""Refusals of the caller edge, and clean-up after a caller disconnects."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import aiohttp
import pytest

from jujubewharf import hashing
from tests import loopback

PATH = "/v1/completions"
BODY = {"model": "verdict-llm", "prompt": "answer_tokens=5 x", "max_tokens": 9}
SLOW = dataclasses.replace(
    loopback.FAST, step_base_ms=20.0, prefill_ms_per_token=1.0
)


def _body(**changes: object) -> bytes:
    return json.dumps(BODY | changes).encode()


async def _raw(deployment: loopback.Loopback, data: bytes) -> tuple[int, dict]:
    """Sends raw bytes and reads one JSON response."""
    host, port = deployment.base.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split()[0])
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


def _post(head: str, body: bytes = b"") -> bytes:
    start = f"POST {PATH} HTTP/1.1\r\nHost: x\r\n{head}\r\n\r\n"
    return start.encode() + body


REFUSALS = {
    "malformed JSON": (PATH, b"{", {}, 400, "bad_request"),
    "no prompt": (PATH, b'{"model": "verdict-llm"}', {}, 400, "bad_request"),
    "two answers": (PATH, _body(n=2), {}, 400, "bad_request"),
    "wrong type": (PATH, _body(max_tokens="9"), {}, 400, "bad_request"),
    "unknown service": (PATH, _body(model="x"), {}, 404, "unknown_service"),
    "plain service": (
        PATH,
        _body(model="shop-api"),
        {},
        404,
        "unknown_service",
    ),
    "unknown path": ("/v2/none", b"", {}, 404, "unknown_resource"),
    "model service under /s/": (
        "/s/verdict-llm/x",
        b"",
        {},
        404,
        "unknown_service",
    ),
    "large body": (PATH, b" " * 5_000, {}, 413, "body_too_large"),
    "large plain body": (
        "/s/shop-api/x",
        b" " * 9_000,
        {},
        413,
        "body_too_large",
    ),
    "long key": (
        PATH,
        _body(),
        {"Idempotency-Key": "k" * 129},
        400,
        "bad_request",
    ),
    "spaced key": (
        PATH,
        _body(),
        {"Idempotency-Key": "a b"},
        400,
        "bad_request",
    ),
    "resume without key": (
        PATH,
        _body(),
        {"Last-Event-ID": "3"},
        400,
        "bad_request",
    ),
    "priority over bound": (
        PATH,
        _body(),
        {"X-Priority": "10"},
        400,
        "bad_request",
    ),
    "no deadline": (PATH, _body(), {"X-Deadline-Ms": "0"}, 400, "bad_request"),
    "odd mark": (PATH, _body(), {"X-Repeatable": "2"}, 400, "bad_request"),
}


async def test_refusals_are_json_and_nothing_runs():
    bounds = {"max_body_bytes": 4_000, "max_plain_body_bytes": 8_000}
    async with loopback.deployed(**bounds) as deployment:
        for name, (path, data, headers, status, kind) in REFUSALS.items():
            async with deployment.session.post(
                deployment.base + path, data=data, headers=headers
            ) as answer:
                error = (await answer.json())["error"]
            assert (answer.status, error["code"]) == (status, kind), name
            assert error["ran"] == "no", name
        for engine in deployment.engines.values():
            assert not engine.counts.dispatches
            assert engine.counts.prefilled_tokens == 0
        assert not deployment.plain_endpoints["till-1"].runs


async def test_protocol_errors_are_json():
    async with loopback.deployed() as deployment:
        long_header = _post("X-Long: " + "x" * 9_000 + "\r\nContent-Length: 0")
        for data in (long_header, b"NONSENSE\r\n\r\n"):
            status, body = await _raw(deployment, data)
            assert status == 400
            assert body["error"]["code"] == "bad_request"


async def test_stalled_request_body_is_refused():
    """A caller that stops in the middle of its body gets a 408."""
    async with loopback.deployed(body_timeout_ms=50) as deployment:
        status, body = await _raw(deployment, _post("Content-Length: 50", b"{"))
        assert status == 408
        assert body["error"]["code"] == "slow_body"
        assert body["error"]["ran"] == "no"


async def test_oversized_chunked_body_is_refused_while_it_is_read():
    async with loopback.deployed(max_body_bytes=100) as deployment:
        chunk = b"40\r\n" + b"x" * 64 + b"\r\n"
        data = _post("Transfer-Encoding: chunked", chunk * 2)
        status, body = await _raw(deployment, data)
        assert status == 413
        assert body["error"]["code"] == "body_too_large"


async def test_accounts_are_checked_on_every_path():
    dealer = loopback.account("dealer", "t1", services=("verdict-llm",))
    async with loopback.deployed(dealer) as deployment:
        post = deployment.session.post
        url = deployment.base
        cases = [
            ({}, PATH, 401),
            ({"Authorization": "Bearer wrong"}, PATH, 401),
            ({"Authorization": "Basic t1"}, PATH, 401),
            ({"Authorization": "Bearer t1"}, PATH, 200),
            ({"Authorization": "Bearer t1"}, "/s/shop-api/x", 403),
            ({}, "/s/shop-api/x", 401),
        ]
        for headers, path, status in cases:
            async with post(
                url + path, data=_body(), headers=headers
            ) as answer:
                assert answer.status == status, (headers, path)
        async with deployment.session.get(url + "/v1/models") as answer:
            assert answer.status == 401
        async with deployment.session.get(url + "/healthz") as answer:
            assert answer.status == 200
        assert not deployment.plain_endpoints["till-1"].runs


async def test_responses_have_ids_token_count_and_digest():
    async with loopback.deployed() as deployment:
        async with deployment.session.post(
            deployment.base + PATH,
            data=_body(),
            headers={"Idempotency-Key": "k1"},
        ) as answer:
            body = await answer.json()
        request_id = answer.headers["X-Request-Id"]
        assert answer.headers["Idempotency-Key"] == "k1"
        assert answer.headers["X-Attempt"].startswith(f"{request_id}.")
        text = body["choices"][0]["text"]
        end = body["jujubewharf"]
        assert end["token_count"] == 5
        assert end["digest"] == hashing.digest(text.encode())
        assert end["request_id"] == request_id


async def _events(answer) -> list[tuple[str, dict]]:
    events = []
    for block in (await answer.text()).split("\n\n"):
        fields = dict(
            line.split(": ", 1) for line in block.splitlines() if line
        )
        if fields and fields["data"] != "[DONE]":
            events.append((fields["id"], json.loads(fields["data"])))
    return events


async def test_stream_resumes_after_the_last_event_id():
    """A caller resumes a stream by idempotency key and last event id."""
    prompt = BODY["prompt"]
    async with loopback.deployed() as deployment:
        headers = {"Idempotency-Key": "k2"}
        async with deployment.session.post(
            deployment.base + PATH, data=_body(stream=True), headers=headers
        ) as answer:
            first = await _events(answer)
        ids = [event_id for event_id, _ in first]
        assert ids[-1] == "5"
        headers["Last-Event-ID"] = "2"
        async with deployment.session.post(
            deployment.base + PATH, data=_body(stream=True), headers=headers
        ) as answer:
            rest = await _events(answer)
    text = "".join(body["choices"][0]["text"] for _, body in rest)
    whole = loopback.expected_answer(prompt, 5)
    assert loopback.expected_answer(prompt, 2) + text == whole
    end = rest[-1][1]["jujubewharf"]
    assert end["token_count"] == 5
    assert end["digest"] == hashing.digest(whole.encode())


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("words", [3, 400])
async def test_disconnected_caller_frees_engine_memory(is_streamed, words):
    """Engines release their memory if a caller disconnects.

    With 400 words this happens during prefill, with 3 words during decode.
    """
    prompt = "answer_tokens=500 " + "w " * words
    body = _body(prompt=prompt, max_tokens=500, stream=is_streamed)
    async with loopback.deployed(spec=SLOW) as deployment:
        host, port = deployment.base.removeprefix("http://").split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(_post(f"Content-Length: {len(body)}", body))
        await deployment.wait_until_held()
        writer.transport.abort()
        await deployment.wait_until_released()
        limits = deployment.entry.core.model_limits
        assert limits.in_flight("verdict-llm") == 0


async def test_failed_stream_ends_with_error_event_and_truncated_body():
    """A failed stream ends with an error event and a truncated body.

    Clients that ignore error events thus see an error as well.
    """
    slow = dataclasses.replace(loopback.FAST, step_base_ms=30.0)
    body = _body(prompt="answer_tokens=90 x", max_tokens=90, stream=True)
    seen = b""
    async with loopback.deployed(spec=slow) as deployment:
        async with deployment.session.post(
            deployment.base + PATH, data=body
        ) as answer:
            seen += await answer.content.readline()
            for engine in deployment.engines.values():
                await engine.die()
            with pytest.raises(aiohttp.ClientPayloadError):
                while part := await answer.content.readany():
                    seen += part
    assert b"event: error" in seen
    assert b"[DONE]" not in seen


async def test_readiness_for_balancer_and_callers():
    async with loopback.deployed() as deployment:
        admission = deployment.entry.core.admission
        admission.is_ready = False
        async with deployment.session.get(
            deployment.base + "/readyz"
        ) as answer:
            assert answer.status == 503
        async with deployment.session.post(
            deployment.base + PATH, data=_body()
        ) as answer:
            assert answer.status == 200
        admission.is_accepting = False
        async with deployment.session.post(
            deployment.base + PATH, data=_body()
        ) as answer:
            assert answer.status == 503
            error = (await answer.json())["error"]
        assert error["code"] == "shutting_down"
        assert answer.headers["Retry-After"] == "1"
