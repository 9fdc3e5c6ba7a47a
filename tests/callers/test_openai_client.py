"""Compatibility of the caller edge with the official OpenAI client."""

from __future__ import annotations

import dataclasses

import openai
import pytest

from jujubewharf import errors
from tests import loopback

PROMPT = "answer_tokens=6 how worn is it"
MESSAGES = [{"role": "user", "content": "how worn is it"}]
CHAT_PROMPT = "user: how worn is it"


def _client(
    deployment: loopback.Loopback, token: str = "none", **options: object
) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"{deployment.base}/v1", api_key=token, **options
    )


async def test_whole_and_streamed_answers():
    async with loopback.deployed() as deployment:
        async with _client(deployment) as client:
            whole = await client.completions.create(
                model="verdict-llm", prompt=PROMPT, max_tokens=50
            )
            assert whole.choices[0].text == loopback.expected_answer(PROMPT, 6)
            assert whole.choices[0].finish_reason == "stop"
            assert whole.usage.completion_tokens == 6
            assert whole.usage.prompt_tokens == 5

            chat = await client.chat.completions.create(
                model="verdict-llm", messages=MESSAGES, max_tokens=4
            )
            choice = chat.choices[0]
            assert choice.message.content == loopback.expected_answer(
                CHAT_PROMPT, 4
            )
            assert choice.finish_reason == "length"

            stream = await client.chat.completions.create(
                model="verdict-llm",
                messages=MESSAGES,
                max_tokens=4,
                stream=True,
                stream_options={"include_usage": True},
            )
            chunks = [chunk async for chunk in stream]
            texts = [
                chunk.choices[0].delta.content or ""
                for chunk in chunks
                if chunk.choices
            ]
            assert "".join(texts) == loopback.expected_answer(CHAT_PROMPT, 4)
            assert chunks[-1].usage.completion_tokens == 4

            listed = await client.models.list()
            assert [model.id for model in listed.data] == ["verdict-llm"]


@pytest.mark.parametrize(
    "kind", [errors.ErrorKind.RATE_LIMITED, errors.ErrorKind.QUEUE_FULL]
)
async def test_client_retries_a_refusal_after_retry_after(kind, monkeypatch):
    """The client retries a 429 or 503 response after its Retry-After time."""
    refusals = [errors.WharfError(kind, retry_after_ms=40)]

    def check(account: str) -> None:
        if refusals:
            raise refusals.pop()

    async with loopback.deployed() as deployment:
        limits = deployment.entry.core.model_limits
        monkeypatch.setattr(limits, "check", check)
        async with _client(deployment, max_retries=2) as client:
            answer = await client.completions.with_raw_response.create(
                model="verdict-llm", prompt="hi", max_tokens=1
            )
    assert answer.retries_taken == 1
    assert answer.status_code == 200


async def test_rate_limited_account_gets_retry_after():
    dealer = loopback.account("dealer", "t1", rate_per_s=0.01)
    async with loopback.deployed(dealer) as deployment:
        async with _client(deployment, "t1", max_retries=0) as client:
            for _ in range(8):
                await client.completions.create(
                    model="verdict-llm", prompt="hi", max_tokens=1
                )
            with pytest.raises(openai.RateLimitError) as caught:
                await client.completions.create(
                    model="verdict-llm", prompt="hi", max_tokens=1
                )
    assert caught.value.code == "rate_limited"
    assert 50 < int(caught.value.response.headers["Retry-After"]) <= 100


async def test_client_does_not_retry_an_unknown_outcome(monkeypatch):
    """The client must not retry a 5xx whose outcome is unknown.

    By default it retries every 5xx.
    """
    asked = []

    def check(account: str) -> None:
        asked.append(account)
        raise errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)

    async with loopback.deployed() as deployment:
        limits = deployment.entry.core.model_limits
        monkeypatch.setattr(limits, "check", check)
        async with _client(deployment, max_retries=2) as client:
            with pytest.raises(openai.InternalServerError) as caught:
                await client.completions.create(
                    model="verdict-llm", prompt="hi", max_tokens=1
                )
    assert len(asked) == 1
    assert caught.value.body["ran"] == "unknown"


async def test_service_without_engines_returns_503_with_retry_after():
    async with loopback.deployed() as deployment:
        for engine in deployment.engines.values():
            await engine.die()
        await deployment.wait_until_engines_gone()
        async with _client(deployment, max_retries=0) as client:
            with pytest.raises(openai.InternalServerError) as caught:
                await client.completions.create(
                    model="verdict-llm", prompt="hi", max_tokens=1
                )
    assert caught.value.status_code == 503
    assert caught.value.body["ran"] == "no"
    assert int(caught.value.response.headers["Retry-After"]) >= 1


async def test_client_raises_on_a_truncated_stream():
    """The client raises if all engines die while it reads a stream."""
    slow = dataclasses.replace(loopback.FAST, step_base_ms=30.0)
    async with loopback.deployed(spec=slow) as deployment:
        async with _client(deployment, max_retries=0) as client:
            stream = await client.completions.create(
                model="verdict-llm",
                prompt="answer_tokens=90 long",
                max_tokens=90,
                stream=True,
            )
            seen = 0
            with pytest.raises(openai.APIError):
                async for _ in stream:
                    seen += 1
                    for engine in deployment.engines.values():
                        await engine.die()
            assert seen >= 1
