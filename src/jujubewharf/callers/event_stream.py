"""Streams the tokens of an answer as server-sent events."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping

from aiohttp import web
import orjson

from jujubewharf import errors
from jujubewharf.callers import error_responses
from jujubewharf.callers import openai_bodies
from jujubewharf.requests import model_request

_DONE = b"data: [DONE]\n\n"
_CONTENT_TYPE = "text/event-stream"


class EventStream:
    """Streams one answer to one caller.

    The id of an event is the index of the next token. A caller that sends the
    last id it received as ``Last-Event-ID`` resumes without gaps or
    duplicates.

    Args:
        request: The caller's HTTP request.
        builder: Builds the bodies of the events.
        headers: Headers of the response.
        resume_from: Number of tokens that the caller already has.
        prompt_tokens: Prompt tokens for the usage chunk at the end; ``None``
            omits the chunk.
    """

    def __init__(
        self,
        request: web.Request,
        builder: openai_bodies.TextBodies,
        headers: Mapping[str, str],
        *,
        resume_from: int = 0,
        prompt_tokens: int | None = None,
    ) -> None:
        self._request = request
        self._builder = builder
        self._headers = headers
        self._next_index = resume_from
        self._prompt_tokens = prompt_tokens
        self._is_first = True
        self._response = web.StreamResponse(
            headers={
                **headers,
                "Content-Type": _CONTENT_TYPE,
                "Cache-Control": "no-cache",
            }
        )

    async def send(
        self, events: AsyncIterator[model_request.Event]
    ) -> web.StreamResponse:
        """Sends the events; the first one determines the HTTP status."""
        async for event in events:
            match event:
                case model_request.Tokens():
                    await self._send_tokens(event)
                case model_request.Finished():
                    await self._finish(event)
                    return self._response
                case model_request.Failed():
                    return await self._fail(event)
        return await self._fail(_UNTERMINATED)

    async def _send_tokens(self, event: model_request.Tokens) -> None:
        new_texts = event.texts[max(0, self._next_index - event.first_index) :]
        if not new_texts:
            return
        self._next_index = event.first_index + len(event.texts)
        body = self._builder.chunk("".join(new_texts), is_first=self._is_first)
        self._is_first = False
        await self._write(body)

    async def _finish(self, event: model_request.Finished) -> None:
        await self._write(self._builder.last_chunk(event))
        if self._prompt_tokens is not None:
            usage = openai_bodies.Usage(self._prompt_tokens, event.count)
            await self._write(self._builder.usage_chunk(usage))
        await self._response.write(_DONE)

    async def _fail(self, event: model_request.Failed) -> web.StreamResponse:
        if not self._response.prepared:
            return error_responses.failed_response(event, self._headers)
        body = error_responses.error_body(event.kind, event.ran, event.detail)
        error_responses.count_error(event.kind)
        await self._response.write(b"event: error\n" + _data(body))
        self._abort_body()
        return self._response

    def _abort_body(self) -> None:
        """Closes the connection before the end of the body.

        Clients that ignore error events would take a terminated body for a
        complete answer; a truncated one is an error to every HTTP client.
        Buffered data is still sent.
        """
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def _write(self, body: openai_bodies.Json) -> None:
        if not self._response.prepared:
            await self._response.prepare(self._request)
        event_id = f"id: {self._next_index}\n".encode()
        await self._response.write(event_id + _data(body))


_UNTERMINATED = model_request.Failed(
    errors.ErrorKind.INTERNAL,
    errors.Ran.UNKNOWN,
    "The answer ended without an end.",
)


def _data(body: Mapping[str, object]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"
