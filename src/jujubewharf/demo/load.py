"""Sends a mix of requests to several instances and checks every answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import json

import aiohttp

from jujubewharf import hashing
from jujubewharf.callers import request_options
from jujubewharf.demo import deployment as deployments
from jujubewharf.engines import http_endpoint
from jujubewharf.standins import engine as engines

_CONCURRENCY = 24
_TOKENS_MIN = 8
_TOKENS_RANGE = 25
_WORDS_MIN = 50
_WORDS_RANGE = 900
_WORDS_STEP = 137
_DATA = "data: "
_DONE = "[DONE]"
_HTTP_OK = 200


class Kind(enum.Enum):
    """Kind of a request in the mix."""

    STREAMED = "streamed"
    UNSTREAMED = "whole"
    RETRIED = "retried at another instance"
    NOT_REPEATABLE = "not repeatable"
    CANCELLED = "cancelled by the caller"
    PLAIN = "plain"


_MIX = (
    Kind.STREAMED,
    Kind.PLAIN,
    Kind.UNSTREAMED,
    Kind.PLAIN,
    Kind.NOT_REPEATABLE,
    Kind.STREAMED,
    Kind.PLAIN,
    Kind.RETRIED,
    Kind.UNSTREAMED,
    Kind.CANCELLED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request.

    Attributes:
        kind: Kind of the request.
        duration_ms: Time from sending until the last byte.
        failure: Description of the failure; empty on success.
        prompt_digest: Digest by which engines count answers; empty for plain
            requests.
        request_ids: Request IDs that instances assigned to its attempts.
    """

    kind: Kind
    duration_ms: float
    failure: str = ""
    prompt_digest: str = ""
    request_ids: tuple[str, ...] = ()


class InvalidResponseError(Exception):
    """A response was an error, truncated or had unexpected content."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ModelRequest:
    """A model request and its expected answer."""

    number: int

    @property
    def key(self) -> str:
        return f"demo-{self.number}"

    @property
    def prompt(self) -> str:
        words = _WORDS_MIN + self.number * _WORDS_STEP % _WORDS_RANGE
        report = " ".join(f"line-{self.number}-{i}" for i in range(words))
        return f"answer_tokens={self.tokens} {report}"

    @property
    def tokens(self) -> int:
        return _TOKENS_MIN + self.number % _TOKENS_RANGE

    @property
    def expected(self) -> str:
        prompt = self.prompt
        return "".join(
            engines.answer_token(prompt, i) for i in range(self.tokens)
        )


class LoadGenerator:
    """Sends the mix of requests and checks the answers.

    Args:
        entries: Instances to send to, round-robin.
        session: HTTP client session.
    """

    def __init__(
        self,
        entries: list[deployments.EntryAddress],
        session: aiohttp.ClientSession,
    ) -> None:
        self._entries = entries
        self._session = session

    async def run(
        self, count: int, on_outcome: Callable[[Outcome], None]
    ) -> list[Outcome]:
        """Sends ``count`` requests with bounded concurrency.

        Args:
            count: Number of requests.
            on_outcome: Called with the result of each request.
        """
        semaphore = asyncio.Semaphore(_CONCURRENCY)

        async def send_one(number: int) -> Outcome:
            async with semaphore:
                outcome = await self._send_and_check(number)
            on_outcome(outcome)
            return outcome

        return list(await asyncio.gather(*[send_one(n) for n in range(count)]))

    async def _send_and_check(self, number: int) -> Outcome:
        kind = _MIX[number % len(_MIX)]
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        failure = ""
        request_ids: tuple[str, ...] = ()
        try:
            request_ids = await self._send(kind, number)
        except (
            InvalidResponseError,
            aiohttp.ClientError,
            TimeoutError,
        ) as error:
            failure = f"{type(error).__name__}: {error}"
        duration_ms = (loop.time() - started_s) * 1_000
        prompt_digest = ""
        if kind is not Kind.PLAIN:
            prompt_digest = hashing.digest(
                _ModelRequest(number).prompt.encode()
            )
        return Outcome(kind, duration_ms, failure, prompt_digest, request_ids)

    async def _send(self, kind: Kind, number: int) -> tuple[str, ...]:
        request = _ModelRequest(number)
        match kind:
            case Kind.PLAIN:
                return (await self._plain(number),)
            case Kind.STREAMED:
                return (await self._streamed(request),)
            case Kind.CANCELLED:
                return (await self._cancelled(request),)
            case Kind.RETRIED:
                return await self._retried(request)
            case Kind.UNSTREAMED:
                return (await self._unstreamed(request, request.number),)
            case Kind.NOT_REPEATABLE:
                return (
                    await self._unstreamed(request, number, repeatable=False),
                )

    def _base_url(self, number: int) -> str:
        entry = self._entries[number % len(self._entries)]
        return f"http://{entry.callers}"

    async def _plain(self, number: int) -> str:
        url = f"{self._base_url(number)}/s/{deployments.PLAIN_SERVICE}/stock"
        data = f"item {number}"
        async with self._session.post(
            url, params={"item": str(number)}, data=data
        ) as answer:
            await _check_status(answer)
            echoed = await answer.json()
            if echoed["body"] != data:
                raise InvalidResponseError(
                    "response body belongs to another request"
                )
            return answer.headers[http_endpoint.REQUEST_HEADER]

    async def _unstreamed(
        self,
        request: _ModelRequest,
        entry_index: int,
        *,
        repeatable: bool = True,
    ) -> str:
        body = self._body(request) | {"repeatable": repeatable}
        async with self._post(request, entry_index, body) as answer:
            await _check_status(answer)
            text = (await answer.json())["choices"][0]["text"]
            _check_text(request, text)
            return answer.headers[request_options.REQUEST_HEADER]

    async def _retried(self, request: _ModelRequest) -> tuple[str, ...]:
        """Sends one idempotency key to two instances, like a caller's retry."""
        tries = await asyncio.gather(
            self._unstreamed(request, request.number),
            self._unstreamed(request, request.number + 1),
        )
        return tuple(tries)

    async def _streamed(self, request: _ModelRequest) -> str:
        texts = []
        body = self._body(request) | {"stream": True}
        async with self._post(request, request.number, body) as answer:
            await _check_status(answer)
            async for data in _events(answer):
                if data == _DONE:
                    break
                texts.append(_text_of(data))
            else:
                raise InvalidResponseError("stream ended before [DONE]")
            _check_text(request, "".join(texts))
            return answer.headers[request_options.REQUEST_HEADER]

    async def _cancelled(self, request: _ModelRequest) -> str:
        body = self._body(request) | {"stream": True}
        async with self._post(request, request.number, body) as answer:
            await _check_status(answer)
            async for _ in _events(answer):
                break
            answer.close()
            return answer.headers[request_options.REQUEST_HEADER]

    def _body(self, request: _ModelRequest) -> dict[str, object]:
        return {
            "model": deployments.MODEL_SERVICE,
            "prompt": request.prompt,
            "max_tokens": request.tokens,
        }

    def _post(  # type: ignore[no-untyped-def]
        self, request: _ModelRequest, entry_index: int, body: dict[str, object]
    ):
        return self._session.post(
            f"{self._base_url(entry_index)}/v1/completions",
            json=body,
            headers={request_options.KEY_HEADER: request.key},
        )


async def _events(answer: aiohttp.ClientResponse):  # type: ignore[no-untyped-def]
    async for raw in answer.content:
        line = raw.decode().strip()
        if line.startswith(_DATA):
            yield line.removeprefix(_DATA)


def _text_of(data: str) -> str:
    event = json.loads(data)
    if "error" in event:
        raise InvalidResponseError(event["error"]["code"])
    return event["choices"][0]["text"]


async def _check_status(answer: aiohttp.ClientResponse) -> None:
    if answer.status != _HTTP_OK:
        raise InvalidResponseError(f"{answer.status}: {await answer.text()}")


def _check_text(request: _ModelRequest, text: str) -> None:
    if text != request.expected:
        raise InvalidResponseError(
            f"answer {request.number} differs from the expected text"
        )
