"""HTTP implementation of the engine interface; responses are JSON lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import dataclasses
from typing import Any

import aiohttp
import orjson

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import receivers
from jujubewharf.engines import sessions

_CALL_TIMEOUT_MS = 5_000.0
_PREFILL_TIMEOUT_MS = 60_000.0
_SILENCE_CHECK_MS = 5_000.0
_OK = 200
_MAX_LINE_BYTES = 65_536
_JSON = {"Content-Type": "application/json"}

_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_STREAM_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError)


class HttpEngineClient:
    """Client of one engine.

    Args:
        name: Name of the engine, for errors.
        address: ``IP:PORT`` of the engine.
        session: Shared client session.
        clock: Time source for timeouts.
    """

    def __init__(
        self,
        name: str,
        address: str,
        session: aiohttp.ClientSession,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._url = f"http://{address}"
        self._headers = {**_JSON, receivers.EXPECTED: name}
        self._session = session
        self._clock = clock

    def __repr__(self) -> str:
        return f"HttpEngineClient({self._name!r})"

    async def reserve(self, attempt: client.Attempt) -> None:
        """Reserves a decode slot; see ``client.EngineClient``."""
        await self._call("reserve", _attempt(attempt))

    async def prefill(
        self, attempt: client.Attempt, job: client.PrefillJob
    ) -> client.PrefillResult:
        """Prefills a prompt; see ``client.EngineClient``."""
        body = _attempt(attempt) | dataclasses.asdict(job)
        done = await self._call("prefill", body, _PREFILL_TIMEOUT_MS)
        return client.PrefillResult(**done)

    async def import_kv(
        self, attempt: client.Attempt, source_address: str
    ) -> int:
        """Pulls a prefill result; see ``client.EngineClient``."""
        body = _attempt(attempt) | {"source_address": source_address}
        done = await self._call("import_kv", body)
        return int(done["kv_bytes"])

    async def decode(
        self, attempt: client.Attempt, job: client.DecodeJob
    ) -> AsyncIterator[client.TokenChunk]:
        """Streams the response; see ``client.EngineClient``."""
        body = _attempt(attempt) | dataclasses.asdict(job)
        try:
            async with self._session.post(
                f"{self._url}/decode",
                data=orjson.dumps(body),
                headers=self._headers,
                timeout=_STREAM_TIMEOUT,
            ) as response:
                await self._raise_for_fault(response)
                with _SilenceWatch(
                    response, self._clock, period_ms=_SILENCE_CHECK_MS
                ) as watch:
                    async for chunk in _chunks(response.content):
                        watch.has_received = True
                        yield chunk
        except _CONNECT_ERRORS as error:
            raise self._error(client.EngineFault.UNREACHABLE) from error
        except _STREAM_ERRORS as error:
            raise self._error(client.EngineFault.LOST) from error

    async def release(self, attempt_id: str) -> None:
        """Cancels an attempt; see ``client.EngineClient``."""
        await self._call("release", {"attempt_id": attempt_id})

    async def load(self) -> client.LoadReport:
        """Returns the latest load report; see ``client.EngineClient``."""
        body = await self._call("load", {})
        body["adapters"] = tuple(body["adapters"])
        return client.LoadReport(**body)

    async def held(self) -> tuple[client.HeldAttempt, ...]:
        """Returns all held attempts; see ``client.EngineClient``."""
        items = await self._call("held", {})
        return tuple(
            client.HeldAttempt(
                client.Attempt(item["attempt_id"], item["owner"]),
                item["age_ms"],
            )
            for item in items
        )

    async def cache_events(
        self, after_sequence: int
    ) -> tuple[client.CacheEvent, ...]:
        """Returns cache events; see ``client.EngineClient``."""
        items = await self._call("events", {"after_sequence": after_sequence})
        return tuple(client.CacheEvent(**item) for item in items)

    async def order(self, order: client.Order) -> None:
        """Sends an order; see ``client.EngineClient``."""
        body = dataclasses.asdict(order) | {"kind": order.kind.value}
        await self._call("order", body)

    async def _call(
        self,
        operation: str,
        body: dict[str, Any],
        timeout_ms: float = _CALL_TIMEOUT_MS,
    ) -> Any:
        try:
            async with self._clock.timeout_ms(timeout_ms):
                async with self._session.post(
                    f"{self._url}/{operation}",
                    data=orjson.dumps(body),
                    headers=self._headers,
                ) as response:
                    await self._raise_for_fault(response)
                    return orjson.loads(await sessions.read_bounded(response))
        except _CONNECT_ERRORS as error:
            raise self._error(client.EngineFault.UNREACHABLE) from error
        except _STREAM_ERRORS as error:
            raise self._error(client.EngineFault.LOST) from error

    async def _raise_for_fault(self, response: aiohttp.ClientResponse) -> None:
        if response.status == _OK:
            return
        if receivers.is_refusal(response.status, response.headers):
            raise self._error(client.EngineFault.REFUSED_IDENTITY)
        body = orjson.loads(await sessions.read_bounded(response))
        raise self._error(client.EngineFault(body["fault"]))

    def _error(self, fault: client.EngineFault) -> client.EngineError:
        return client.EngineError(fault, self._name)


def _attempt(attempt: client.Attempt) -> dict[str, Any]:
    return {"attempt_id": attempt.attempt_id, "owner": attempt.owner}


class _SilenceWatch:
    """Closes the connection of a response when the engine stops sending.

    A timeout around each read would create and cancel a timer per token. This
    checks once per period whether anything was received, so it detects silence
    after one to two periods.

    Args:
        response: The response; reading it fails once it is closed.
        clock: Time source.
        period_ms: Time between two checks.

    Attributes:
        has_received: Set by the reader whenever data was received.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        clock: clocks.Clock,
        *,
        period_ms: float,
    ) -> None:
        self.has_received = True
        self._response = response
        self._clock = clock
        self._period_ms = period_ms
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> _SilenceWatch:
        self._check()
        return self

    def __exit__(self, *error: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        if not self.has_received:
            self._response.close()
            return
        self.has_received = False
        at_ms = self._clock.now_ms() + self._period_ms
        self._timer = self._clock.call_at_ms(at_ms, self._check)


async def _chunks(
    content: aiohttp.StreamReader,
) -> AsyncIterator[client.TokenChunk]:
    """Yields the chunks of a response, merging lines received together.

    An instance that falls behind receives more lines per read and catches up by
    forwarding larger chunks. A line whose index does not continue the previous
    one starts a new chunk, so that the consumer can detect the gap.
    """
    incomplete = b""
    async for data in content.iter_any():
        *lines, incomplete = (incomplete + data).split(b"\n")
        if len(incomplete) > _MAX_LINE_BYTES:
            raise sessions.EndlessAnswerError("body")
        for chunk in _parsed(lines):
            yield chunk


def _parsed(lines: list[bytes]) -> Iterator[client.TokenChunk]:
    if len(lines) == 1:
        yield _chunk(orjson.loads(lines[0]))
        return
    first_index = 0
    tokens: list[str] = []
    for line in lines:
        item = orjson.loads(line)
        if tokens and item["first_index"] != first_index + len(tokens):
            yield client.TokenChunk(first_index, tuple(tokens))
            tokens = []
        if not tokens:
            first_index = item["first_index"]
        tokens += item["tokens"]
        if item["is_last"]:
            yield client.TokenChunk(first_index, tuple(tokens), True)
            tokens = []
    if tokens:
        yield client.TokenChunk(first_index, tuple(tokens))


def _chunk(item: dict[str, Any]) -> client.TokenChunk:
    return client.TokenChunk(
        first_index=item["first_index"],
        tokens=tuple(item["tokens"]),
        is_last=item["is_last"],
    )
