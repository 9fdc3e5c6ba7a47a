"""Handlers of completions and chat completions, streamed or not."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.callers import accounts
from jujubewharf.callers import error_responses
from jujubewharf.callers import event_stream
from jujubewharf.callers import openai_bodies
from jujubewharf.callers import request_options
from jujubewharf.callers import services
from jujubewharf.configuration import resources
from jujubewharf.engines import prefixes
from jujubewharf.held_memory import bodies
from jujubewharf.requests import model_request
from jujubewharf.settings import models

if TYPE_CHECKING:
    from jujubewharf import core as cores


class Completions:
    """Handlers of the OpenAI-compatible paths.

    Args:
        core: Holds the configuration and runs the requests.
        clock: Clock for arrival times and read timeouts.
        settings: Limits of request bodies.
        new_id: Generates request ids.
    """

    def __init__(
        self,
        core: cores.EntryCore,
        clock: clocks.Clock,
        settings: models.CallerSettings,
        *,
        new_id: Callable[[], str] = openai_bodies.new_request_id,
    ) -> None:
        self._core = core
        self._clock = clock
        self._settings = settings
        self._new_id = new_id

    def add_to(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_post("/v1/completions", self._completions)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/models", self._models)

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, is_chat=False)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, is_chat=True)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        account = self._core.accounts.identify(request.headers)
        names = [
            service.name
            for service in self._services()
            if _may_call(account, service)
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in names
        ]
        return web.json_response({"object": "list", "data": data})

    async def _handle(
        self, request: web.Request, *, is_chat: bool
    ) -> web.StreamResponse:
        # Checks that don't need the body are made before it is read.
        arrived_ms = self._clock.now_ms()
        account = self._core.accounts.identify(request.headers)
        options = request_options.RequestOptions.from_headers(request.headers)
        self._core.model_limits.check(accounts.account_name(account))
        raw = await self._read(request)
        body = openai_bodies.RequestBody.from_json(raw, is_chat=is_chat)
        service = services.find(
            self._core, body.model, resources.ServiceKind.MODEL
        )
        accounts.check_service(account, service)
        resume_from = options.resume_from or 0
        model_call = model_request.ModelRequest(
            request_id=(request_id := self._new_id()),
            key=options.key or request_id,
            body_digest=hashing.digest(raw),
            account=accounts.account_name(account),
            service=service,
            prompt=body.text(is_chat=is_chat),
            max_tokens=body.max_output_tokens(),
            arrived_ms=arrived_ms,
            deadline_ms=_deadline_ms(body, options, service),
            priority=accounts.capped_priority(
                account, _priority(body, options)
            ),
            is_repeatable=_is_repeatable(body, options, service),
            resume_from=resume_from,
        )
        builder = (
            openai_bodies.ChatBodies if is_chat else openai_bodies.TextBodies
        )(model_call)
        headers = {
            request_options.REQUEST_HEADER: request_id,
            request_options.KEY_HEADER: model_call.key,
        }
        with structlog.contextvars.bound_contextvars(request=request_id):
            async with contextlib.aclosing(
                self._core.answer(model_call)
            ) as events:
                if not body.stream:
                    return await _complete_response(
                        events, builder, headers, model_call
                    )
                prompt_tokens = None
                if body.wants_usage:
                    prompt_tokens = _prompt_tokens(model_call)
                stream = event_stream.EventStream(
                    request,
                    builder,
                    headers,
                    resume_from=resume_from,
                    prompt_tokens=prompt_tokens,
                )
                return await stream.send(events)

    async def _read(self, request: web.Request) -> bytes:
        max_bytes = self._settings.max_body_bytes
        if (request.content_length or 0) > max_bytes:
            raise errors.WharfError(errors.ErrorKind.BODY_TOO_LARGE)
        return await bodies.read_body(
            request.content,
            self._clock,
            max_bytes=max_bytes,
            timeout_ms=self._settings.body_timeout_ms,
        )

    def _services(self) -> list[resources.Service]:
        state = self._core.configuration.current
        return [
            entry.resource
            for entry in state.of_kind(resources.Kind.SERVICE)
            if isinstance(entry.resource, resources.Service)
            and entry.resource.kind is resources.ServiceKind.MODEL
        ]


def _may_call(
    account: resources.Account | None, service: resources.Service
) -> bool:
    if account is None or not account.services:
        return True
    return service.name in account.services


def _deadline_ms(
    body: openai_bodies.RequestBody,
    options: request_options.RequestOptions,
    service: resources.Service,
) -> float:
    return options.deadline_ms or body.deadline_ms or service.deadline_ms


def _priority(
    body: openai_bodies.RequestBody, options: request_options.RequestOptions
) -> int:
    if options.priority is not None:
        return options.priority
    return body.priority or 0


def _is_repeatable(
    body: openai_bodies.RequestBody,
    options: request_options.RequestOptions,
    service: resources.Service,
) -> bool:
    if options.is_repeatable is not None:
        return options.is_repeatable
    if body.repeatable is not None:
        return body.repeatable
    return service.repeatable


def _prompt_tokens(request: model_request.ModelRequest) -> int:
    return len(prefixes.tokens_of(request.prompt))


async def _complete_response(
    events: AsyncIterator[model_request.Event],
    builder: openai_bodies.TextBodies,
    headers: Mapping[str, str],
    request: model_request.ModelRequest,
) -> web.StreamResponse:
    texts: list[str] = []
    async for event in events:
        match event:
            case model_request.Tokens():
                texts.extend(event.texts)
            case model_request.Finished():
                usage = openai_bodies.Usage(
                    _prompt_tokens(request), event.count
                )
                attempt = {request_options.ATTEMPT_HEADER: event.attempt_id}
                return web.json_response(
                    builder.complete_body("".join(texts), event, usage),
                    headers={**headers, **attempt},
                )
            case model_request.Failed():
                return error_responses.failed_response(event, headers)
    raise errors.WharfError(errors.ErrorKind.INTERNAL)
