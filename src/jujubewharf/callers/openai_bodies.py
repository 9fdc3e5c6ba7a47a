"""Request and response bodies of the OpenAI-compatible API."""

from __future__ import annotations

import dataclasses
import time
from typing import Any
import uuid

import pydantic

from jujubewharf import errors
from jujubewharf.callers import request_options
from jujubewharf.requests import model_request

EXTENSION = "jujubewharf"
_DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS = 100_000

Json = dict[str, Any]


class _Part(pydantic.BaseModel):
    type: str
    text: str = ""


class _Message(pydantic.BaseModel):
    role: str
    content: str | list[_Part] | None = None

    def text(self) -> str:
        match self.content:
            case None:
                return ""
            case str():
                return self.content
        return "".join(part.text for part in self.content)


class _StreamOptions(pydantic.BaseModel):
    include_usage: bool = False


class RequestBody(pydantic.BaseModel):
    """Body of a completion or chat completion request.

    Unknown fields are ignored.
    """

    model_config = pydantic.ConfigDict(strict=True)

    model: str
    prompt: str | list[str] | None = None
    messages: list[_Message] | None = None
    max_tokens: int | None = pydantic.Field(None, ge=1, le=_MAX_TOKENS)
    max_completion_tokens: int | None = pydantic.Field(
        None, ge=1, le=_MAX_TOKENS
    )
    n: int | None = pydantic.Field(None, ge=1, le=1)
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    deadline_ms: float | None = pydantic.Field(
        None, gt=0, le=request_options.MAX_DEADLINE_MS
    )
    priority: int | None = pydantic.Field(
        None, ge=0, le=request_options.MAX_PRIORITY
    )
    repeatable: bool | None = None

    @classmethod
    def from_json(cls, raw: bytes, *, is_chat: bool) -> RequestBody:
        """Parses and validates a request body.

        Raises:
            WharfError: ``BAD_REQUEST``; the detail names invalid fields but
                never quotes their values.
        """
        try:
            body = cls.model_validate_json(raw)
        except pydantic.ValidationError as error:
            detail = "; ".join(_error_line(item) for item in error.errors()[:5])
            raise _bad_request(detail) from None
        if is_chat and not body.messages:
            raise _bad_request("messages: must be given")
        if not is_chat and body.prompt is None:
            raise _bad_request("prompt: must be given")
        if isinstance(body.prompt, list) and len(body.prompt) != 1:
            raise _bad_request("prompt: one prompt a request")
        return body

    def text(self, *, is_chat: bool) -> str:
        """Returns the prompt, or all chat messages as one text."""
        if is_chat:
            messages = self.messages or []
            return "\n".join(f"{m.role}: {m.text()}" for m in messages)
        if isinstance(self.prompt, list):
            return self.prompt[0]
        return self.prompt or ""

    def max_output_tokens(self) -> int:
        """Returns the requested maximum number of output tokens."""
        bound = self.max_completion_tokens or self.max_tokens
        return bound or _DEFAULT_MAX_TOKENS

    @property
    def wants_usage(self) -> bool:
        """Whether a stream ends with a usage chunk."""
        return bool(self.stream_options and self.stream_options.include_usage)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Numbers of prompt and output tokens."""

    prompt_tokens: int
    completion_tokens: int

    def body(self) -> Json:
        """Returns the ``usage`` object of a response."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


class TextBodies:
    """Builds response bodies of text completions.

    Args:
        request: The request that is answered.
    """

    prefix = "cmpl"
    chunk_object = "text_completion"
    response_object = "text_completion"

    def __init__(self, request: model_request.ModelRequest) -> None:
        self._request = request
        self._base: Json = {
            "id": f"{self.prefix}-{request.request_id}",
            "created": int(time.time()),
            "model": request.service.name,
        }

    def chunk(self, text: str, *, is_first: bool = False) -> Json:
        """Builds a chunk with tokens of a streamed answer."""
        choice = self._chunk_content(text, is_first=is_first)
        choice |= {"index": 0, "finish_reason": None}
        return {**self._base, "object": self.chunk_object, "choices": [choice]}

    def last_chunk(self, end: model_request.Finished) -> Json:
        """Builds the last chunk, with the token count and digest."""
        body = self.chunk("")
        body["choices"][0]["finish_reason"] = self._finish_reason(end)
        return body | {EXTENSION: self._extension(end)}

    def usage_chunk(self, usage: Usage) -> Json:
        """Builds the usage chunk, which is sent last if it was requested."""
        empty: Json = {"object": self.chunk_object, "choices": []}
        return {**self._base, **empty, "usage": usage.body()}

    def complete_body(
        self, text: str, end: model_request.Finished, usage: Usage
    ) -> Json:
        """Builds the body of a response that is not streamed."""
        choice = self._message_content(text)
        choice |= {"index": 0, "finish_reason": self._finish_reason(end)}
        return {
            **self._base,
            "object": self.response_object,
            "choices": [choice],
            "usage": usage.body(),
            EXTENSION: self._extension(end),
        }

    def _chunk_content(self, text: str, *, is_first: bool) -> Json:
        return {"text": text}

    def _message_content(self, text: str) -> Json:
        return {"text": text}

    def _finish_reason(self, end: model_request.Finished) -> str:
        return "length" if end.count >= self._request.max_tokens else "stop"

    def _extension(self, end: model_request.Finished) -> Json:
        return {
            "request_id": self._request.request_id,
            "attempt_id": end.attempt_id,
            "token_count": end.count,
            "digest": end.digest,
        }


class ChatBodies(TextBodies):
    """Builds response bodies of chat completions."""

    prefix = "chatcmpl"
    chunk_object = "chat.completion.chunk"
    response_object = "chat.completion"

    def _chunk_content(self, text: str, *, is_first: bool) -> Json:
        if is_first:
            return {"delta": {"role": "assistant", "content": text}}
        return {"delta": {"content": text} if text else {}}

    def _message_content(self, text: str) -> Json:
        return {"message": {"role": "assistant", "content": text}}


def new_request_id() -> str:
    """Generates a unique request id."""
    return uuid.uuid4().hex


def _error_line(item: Any) -> str:
    path = ".".join(str(part) for part in item["loc"]) or "body"
    return f"{path}: {item['msg']}"


def _bad_request(detail: str) -> errors.WharfError:
    return errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
