"""Completions and chat completions, streamed and whole."""

from __future__ import annotations

from collections.abc import AsyncIterator
import json
import time
from typing import TYPE_CHECKING
from typing import Any
import uuid

from aiohttp import web
import pydantic

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.callers import answers
from jujubewharf.configuration import resources
from jujubewharf.requests import model_request

if TYPE_CHECKING:
    from jujubewharf import entry

KEY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"
_DEFAULT_MAX_TOKENS = 256


class _Message(pydantic.BaseModel):
    role: str
    content: str = ""


class _Body(pydantic.BaseModel):
    """Fields of both kinds of request; others are left aside."""

    model: str
    prompt: str | None = None
    messages: list[_Message] | None = None
    max_tokens: int = pydantic.Field(_DEFAULT_MAX_TOKENS, ge=1, le=100_000)
    stream: bool = False
    deadline_ms: float | None = pydantic.Field(None, gt=0)
    priority: int = 0
    repeatable: bool | None = None

    @pydantic.model_validator(mode="after")
    def _has_prompt(self) -> _Body:
        if self.prompt is None and not self.messages:
            raise ValueError("prompt or messages must be given")
        return self

    def text(self) -> str:
        """The prompt, or the messages as one text."""
        if self.messages:
            return "\n".join(f"{m.role}: {m.content}" for m in self.messages)
        return self.prompt or ""


class Completions:
    """Handlers of the two model request paths.

    Args:
        core: Knows the configuration and answers requests.
        clock: Time.
    """

    def __init__(self, core: entry.EntryCore, clock: clocks.Clock) -> None:
        self._core = core
        self._clock = clock

    def add_to(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_post("/v1/chat/completions", self._chat)

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, is_chat=False)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, is_chat=True)

    async def _handle(
        self, request: web.Request, *, is_chat: bool
    ) -> web.StreamResponse:
        raw = await request.read()
        try:
            body = _Body.model_validate_json(raw)
        except pydantic.ValidationError as error:
            raise errors.WharfError(
                errors.ErrorKind.BAD_REQUEST, str(error.errors()[0]["msg"])
            ) from error
        wanted = self._request(request, raw, body)
        shape = _ChatShape(body.model) if is_chat else _TextShape(body.model)
        events = self._core.answer(wanted)
        headers = {REQUEST_HEADER: wanted.request_id, KEY_HEADER: wanted.key}
        if body.stream:
            return await _stream(request, events, shape, headers)
        return await _whole(events, shape, headers)

    def _request(
        self, request: web.Request, raw: bytes, body: _Body
    ) -> model_request.ModelRequest:
        service = self._service(body.model)
        request_id = model_request.mint_id(self._core.settings.instance)
        repeatable = body.repeatable
        if repeatable is None:
            repeatable = service.repeatable
        return model_request.ModelRequest(
            request_id=request_id,
            key=request.headers.get(KEY_HEADER, request_id),
            body_digest=hashing.digest(raw),
            account="",
            service=service,
            prompt=body.text(),
            max_tokens=body.max_tokens,
            arrived_ms=self._clock.now_ms(),
            deadline_ms=body.deadline_ms or service.deadline_ms,
            priority=body.priority,
            is_repeatable=repeatable,
        )

    def _service(self, name: str) -> resources.Service:
        state = self._core.configuration.current
        entry = state.get(resources.Kind.SERVICE, name)
        if entry is None:
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE, name)
        service = entry.resource
        assert isinstance(service, resources.Service)
        if service.kind is not resources.ServiceKind.MODEL:
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_SERVICE, name)
        return service


class _TextShape:
    """Bodies of text completions."""

    def __init__(self, model: str) -> None:
        self._base = {
            "id": f"cmpl-{uuid.uuid4().hex}",
            "created": int(time.time()),
            "model": model,
        }

    def chunk(self, text: str, finish: str | None) -> dict[str, Any]:
        choice = {"index": 0, "text": text, "finish_reason": finish}
        body = {"object": "text_completion", "choices": [choice]}
        return self._base | body

    def whole(self, text: str, count: int) -> dict[str, Any]:
        return self.chunk(text, "stop") | {"usage": _usage(count)}


class _ChatShape(_TextShape):
    """Bodies of chat completions."""

    def chunk(self, text: str, finish: str | None) -> dict[str, Any]:
        delta = {"role": "assistant", "content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        body = {"object": "chat.completion.chunk", "choices": [choice]}
        return self._base | body

    def whole(self, text: str, count: int) -> dict[str, Any]:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        body = {"object": "chat.completion", "choices": [choice]}
        return self._base | body | {"usage": _usage(count)}


def _usage(count: int) -> dict[str, int]:
    return {
        "prompt_tokens": 0,
        "completion_tokens": count,
        "total_tokens": count,
    }


async def _whole(
    events: AsyncIterator[model_request.Event],
    shape: _TextShape,
    headers: dict[str, str],
) -> web.StreamResponse:
    texts: list[str] = []
    async for event in events:
        match event:
            case model_request.Tokens():
                texts.extend(event.texts)
            case model_request.Finished():
                text = "".join(texts)
                body = shape.whole(text, event.count)
                return web.json_response(body, headers=headers)
            case model_request.Failed():
                return answers.error_response(
                    event.kind,
                    event.ran,
                    event.detail,
                    retry_after_ms=event.retry_after_ms,
                    headers=headers,
                )
    raise errors.WharfError(errors.ErrorKind.INTERNAL)


async def _stream(
    request: web.Request,
    events: AsyncIterator[model_request.Event],
    shape: _TextShape,
    headers: dict[str, str],
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers=headers | {"Content-Type": "text/event-stream"}
    )
    async for event in events:
        match event:
            case model_request.Failed() if not response.prepared:
                return answers.error_response(
                    event.kind,
                    event.ran,
                    event.detail,
                    retry_after_ms=event.retry_after_ms,
                    headers=headers,
                )
            case model_request.Failed():
                body = answers.error_body(event.kind, event.ran, event.detail)
                await _send(response, json.dumps(body))
            case model_request.Tokens():
                if not response.prepared:
                    await response.prepare(request)
                chunk = shape.chunk("".join(event.texts), None)
                await _send(response, json.dumps(chunk))
            case model_request.Finished():
                if not response.prepared:
                    await response.prepare(request)
                await _send(response, json.dumps(shape.chunk("", "stop")))
                await _send(response, "[DONE]")
    return response


async def _send(response: web.StreamResponse, data: str) -> None:
    await response.write(f"data: {data}\n\n".encode())
