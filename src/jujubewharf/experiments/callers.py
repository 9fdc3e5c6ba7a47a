"""Simulated callers, which send requests, verify answers and retry.

Callers use only the public interface. An answer is complete only if each
token equals the one that the stand-in engines generate for the prompt.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import itertools

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.experiments import balancer as balancers
from jujubewharf.experiments import instances
from jujubewharf.experiments import load
from jujubewharf.experiments import outcomes
from jujubewharf.experiments import processes
from jujubewharf.requests import model_request
from jujubewharf.requests import plain
from jujubewharf.requests import retries
from jujubewharf.standins import generation

_RESPONSE_GRACE_MS = 10_000.0
_RECONNECT_BACKOFF_MS = 100.0
_CONNECTION_LOST = "connection_lost"
_IMPATIENT = "impatient"


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejection:
    kind: errors.ErrorKind
    ran: errors.Ran
    retry_after_ms: float | None


class _FirstTokenTimeoutError(Exception):
    """No token arrived within ``impatient_after_ms``."""


class Callers:
    """All callers of a run.

    Args:
        services: Services by name.
        balancer: Picks the instance for each call.
        clock: Clock of the simulation.
        rng: Random number generator for the jitter of retries.
        caller_ms: One-way delay between a caller and an instance.

    Attributes:
        outcomes: Outcome of each call, in order of arrival.
    """

    def __init__(
        self,
        services: dict[str, resources.Service],
        balancer: balancers.Balancer,
        clock: clocks.Clock,
        rng: np.random.Generator,
        *,
        caller_ms: float,
    ) -> None:
        self.outcomes: list[outcomes.Outcome] = []
        self._services = services
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._caller_ms = caller_ms

    async def make(self, call: load.PlannedCall) -> None:
        """Makes one call, with its retries, and records the outcome."""
        outcome = outcomes.Outcome(call, self._clock.now_ms())
        self.outcomes.append(outcome)
        try:
            async with self._clock.timeout_ms(call.cancel_after_ms):
                await self._send_until_answered(outcome)
        except TimeoutError:
            outcome.end = outcomes.End.CANCELLED

    async def _send_until_answered(self, outcome: outcomes.Outcome) -> None:
        service = self._services[outcome.call.service]
        retry_until_ms = outcome.began_ms + 2 * service.deadline_ms
        retries_left = outcome.call.max_retries
        avoided = ""
        for number in itertools.count(1):
            wait_ms = 0.0
            instance = self._balancer.pick(avoided)
            request_id = f"{outcome.call.key}-{number}"
            outcome.request_ids.append(request_id)
            try:
                rejection = await self._send(outcome, instance, request_id)
            except processes.InstanceLostError:
                outcome.retries[_CONNECTION_LOST] += 1
                # The first lost connection is retried without backoff.
                losses = outcome.retries[_CONNECTION_LOST]
                wait_ms = _RECONNECT_BACKOFF_MS * (losses - 1)
                avoided = instance.name
            except _FirstTokenTimeoutError:
                outcome.retries[_IMPATIENT] += 1
                avoided = instance.name
            else:
                if rejection is None:
                    return
                self._record_rejection(outcome, rejection, request_id)
                if retries_left == 0 or not _is_retryable(rejection):
                    return
                retries_left -= 1
                wait_ms = (
                    rejection.retry_after_ms or retries.DEFAULT_RETRY_AFTER_MS
                )
                wait_ms *= 1 + self._rng.random() / 2
                outcome.retries[rejection.kind.value] += 1
            if self._clock.now_ms() + wait_ms > retry_until_ms:
                outcome.end = outcome.end or outcomes.End.LOST
                return
            await self._clock.sleep_ms(wait_ms)

    async def _send(
        self,
        outcome: outcomes.Outcome,
        instance: instances.Instance,
        request_id: str,
    ) -> _Rejection | None:
        send = self._send_plain if outcome.call.is_plain else self._send_model
        service = self._services[outcome.call.service]
        try:
            async with self._clock.timeout_ms(
                service.deadline_ms + _RESPONSE_GRACE_MS
            ):
                return await send(outcome, instance, request_id)
        except TimeoutError:
            outcome.end = outcomes.End.LOST
            return None

    async def _send_plain(
        self,
        outcome: outcomes.Outcome,
        instance: instances.Instance,
        request_id: str,
    ) -> _Rejection | None:
        call = outcome.call
        service = self._services[call.service]
        request = plain.PlainRequest(
            request_id=request_id,
            service=service,
            method="POST",
            path_query=f"/{call.key}",
            arrived_ms=self._clock.now_ms(),
            deadline_ms=service.deadline_ms,
            body=_single_chunk(call.key.encode()),
            key=call.key,
            is_repeatable=call.is_repeatable,
        )
        try:
            body = await instance.call_plain(request)
        except errors.WharfError as error:
            return _Rejection(error.kind, error.ran, error.retry_after_ms)
        if body != call.key.encode():
            outcome.incorrect_answers += 1
        outcome.first_ms = self._elapsed_ms(outcome)
        self._finish(outcome)
        return None

    async def _send_model(
        self,
        outcome: outcomes.Outcome,
        instance: instances.Instance,
        request_id: str,
    ) -> _Rejection | None:
        request = self._model_request(outcome.call, request_id)
        received: list[str] = []
        async with contextlib.aclosing(instance.answer(request)) as events:
            async for event in self._with_first_token_timeout(outcome, events):
                match event:
                    case model_request.Tokens():
                        self._record_tokens(outcome, received, event)
                    case model_request.Finished():
                        self._verify_answer(outcome, received, event)
                        self._finish(outcome)
                        return None
                    case model_request.Failed(kind, ran):
                        return _Rejection(kind, ran, event.retry_after_ms)
        # The stream ended without a final event.
        outcome.incorrect_answers += 1
        outcome.end = outcomes.End.LOST
        return None

    async def _with_first_token_timeout(
        self,
        outcome: outcomes.Outcome,
        events: AsyncIterator[model_request.Event],
    ) -> AsyncIterator[model_request.Event]:
        first_token_timeout_ms = outcome.call.impatient_after_ms
        if outcome.retries[_IMPATIENT]:
            first_token_timeout_ms = None
        try:
            async with self._clock.timeout_ms(first_token_timeout_ms):
                yield await anext(events)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise _FirstTokenTimeoutError from None
        async for event in events:
            yield event

    def _model_request(
        self, call: load.PlannedCall, request_id: str
    ) -> model_request.ModelRequest:
        service = self._services[call.service]
        return model_request.ModelRequest(
            request_id=request_id,
            key=call.key,
            body_digest=hashing.digest(call.prompt.encode()),
            account="",
            service=service,
            prompt=call.prompt,
            max_tokens=call.answer_tokens,
            arrived_ms=self._clock.now_ms(),
            deadline_ms=service.deadline_ms,
            priority=call.priority,
            is_repeatable=call.is_repeatable,
        )

    def _record_tokens(
        self,
        outcome: outcomes.Outcome,
        received: list[str],
        event: model_request.Tokens,
    ) -> None:
        if outcome.first_ms is None:
            outcome.first_ms = self._elapsed_ms(outcome)
        if event.first_index < len(received):
            outcome.repeated_tokens += len(received) - event.first_index
        received.extend(event.texts)

    def _verify_answer(
        self,
        outcome: outcomes.Outcome,
        received: list[str],
        event: model_request.Finished,
    ) -> None:
        call = outcome.call
        expected = generation.answer_tokens(call.prompt, 0, call.answer_tokens)
        digest = hashing.digest("".join(expected).encode())
        if received != expected or event.digest != digest:
            outcome.incorrect_answers += 1
        if event.attempt_id not in outcome.finished_attempts:
            outcome.finished_attempts.append(event.attempt_id)

    def _finish(self, outcome: outcomes.Outcome) -> None:
        outcome.completion_ms = self._elapsed_ms(outcome)
        outcome.end = outcomes.End.FINISHED

    def _elapsed_ms(self, outcome: outcomes.Outcome) -> float:
        passed_ms = self._clock.now_ms() - outcome.began_ms
        return passed_ms + 2 * self._caller_ms

    def _record_rejection(
        self, outcome: outcomes.Outcome, rejection: _Rejection, request_id: str
    ) -> None:
        outcome.end = outcomes.End.REFUSED
        outcome.reason = rejection.kind
        if rejection.ran is errors.Ran.NO:
            outcome.rejected_as_not_run.append(request_id)


def _is_retryable(rejection: _Rejection) -> bool:
    if rejection.ran is errors.Ran.UNKNOWN:
        return False
    return errors.TABLE[rejection.kind].retryable


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def wait_for_all(tasks: list[asyncio.Task[None]]) -> None:
    """Waits for all caller tasks and raises the first error."""
    for task in tasks:
        await task
