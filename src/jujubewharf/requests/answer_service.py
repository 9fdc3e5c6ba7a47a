"""Runs the answers of this instance and serves their readers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.membership import view as views
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.requests import active_answer as active_answers
from jujubewharf.requests import answer as answers
from jujubewharf.requests import answer_cache
from jujubewharf.requests import claims as request_claims
from jujubewharf.requests import handover
from jujubewharf.requests import keys
from jujubewharf.requests import model_request
from jujubewharf.requests import ownership
from jujubewharf.requests import rehoming
from jujubewharf.requests import relay as relays
from jujubewharf.requests import request_runner

_FLUSH_TIMEOUT_MS = 2_000.0
_HANDOVER_TIMEOUT_MS = 3_000.0
_DEADLINE_SLACK_MS = 2_000.0
_EXPIRE_INTERVAL_MS = 5_000.0
_MAX_PULLED_TOKENS = 2_000


class AnswerService(mode.Service):
    """Starts requests and lets callers and other instances read their answers.

    Each answer is written by a task of its own. A retry can therefore join a
    running answer, and one caller's timeout or disconnect doesn't interrupt the
    other readers.

    Args:
        instance: Name of this instance.
        runner: Runs requests on the engines.
        homes: Key records and their home instances.
        claims: Claims for requests that are not repeatable.
        peers: Messaging between instances.
        membership: Instances that are present.
        clock: Source of time and timeouts.

    Attributes:
        rehoming: Copies key records to new homes.
    """

    def __init__(
        self,
        instance: str,
        runner: request_runner.RequestRunner,
        homes: keys.KeyHomes,
        claims: request_claims.Claims,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._runner = runner
        self._claims = claims
        self._clock = clock
        self._cache = answer_cache.AnswerCache(clock)
        self._handover = handover.Handover(
            instance, self._cache, homes, peers, clock
        )
        relay = relays.Relay(peers, membership, clock, self._serve_pull)
        self._ownership = ownership.Ownership(
            instance, homes, claims, relay, runner.releaser, runner.counters
        )
        self.rehoming = rehoming.Rehoming(
            homes,
            self._ownership.homes_of,
            self._own_records,
            membership,
            clock,
        )
        self._by_key: dict[bytes, active_answers.ActiveAnswer] = {}
        self._by_id: dict[str, active_answers.ActiveAnswer] = {}
        self._logger = structlog.get_logger()
        peers.handle(key_messages.PullRequest, self._on_pull)
        peers.handle(key_messages.TakeoverNotice, self._on_taken_over)

    @property
    def running(self) -> int:
        """Number of answers that are running or relayed on this instance."""
        return len(self._by_id)

    async def answer(
        self, request: model_request.ModelRequest
    ) -> AsyncGenerator[model_request.Event, None]:
        """Answers a request; the last event is ``Finished`` or ``Failed``.

        A caller that disconnects closes the iterator early.
        """
        try:
            active = self._join_or_start(request)
        except errors.WharfError as error:
            self._runner.counters.refused(error.kind.value)
            yield active_answers.failed(error)
            return
        until_ms = request.arrived_ms + request.deadline_ms
        if active.request is request:
            # The run enforces this deadline itself and reports whether an
            # engine ran, so it gets some extra time to do so.
            until_ms += _DEADLINE_SLACK_MS
        active.local_readers += 1
        try:
            async for event in active.answer.follow(until_ms):
                yield event
        finally:
            active.local_readers -= 1
            self._on_reader_left(active)

    async def on_start(self) -> None:
        """Starts the rehoming service."""
        await self.add_runtime_dependency(self.rehoming)

    async def on_stop(self) -> None:
        """Hands over answers, cancels running requests, flushes releases."""
        await self._handover.hand_over_all(_HANDOVER_TIMEOUT_MS)
        tasks = [active.task for active in self._by_id.values() if active.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._runner.releaser.flush(_FLUSH_TIMEOUT_MS)

    def _join_or_start(
        self, request: model_request.ModelRequest
    ) -> active_answers.ActiveAnswer:
        """Returns the key's answer on this instance, or starts a new one."""
        key = keys.key_of(request.account, request.key)
        active = self._by_key.get(key) or self._find_cached(key)
        replaces = ""
        if active is not None:
            if active.request.body_digest != request.body_digest:
                raise errors.WharfError(errors.ErrorKind.KEY_CONFLICT)
            if not active.may_run_again:
                self._runner.counters.attached("here")
                return active
            replaces = active.request.request_id
            self._cache.forget_key(key)
        answer = answers.Answer(self._clock)
        active = active_answers.ActiveAnswer(request, key, answer, replaces)
        self._by_key[key] = active
        self._by_id[request.request_id] = active
        self._runner.counters.accepted()
        active.task = asyncio.create_task(self._run_to_end(active))
        return active

    def _find_cached(self, key: bytes) -> active_answers.ActiveAnswer | None:
        cached = self._cache.by_key(key)
        if cached is None:
            return None
        answer = answers.Answer(self._clock)
        answer.add(cached.texts())
        answer.finish(cached.end)
        return active_answers.ActiveAnswer(cached.request, key, answer)

    async def _run_to_end(self, active: active_answers.ActiveAnswer) -> None:
        """Runs a request from key registration to the end of its answer."""
        request = active.request
        try:
            async with self._until_deadline(request):
                runs_here = await self._ownership.acquire(active)
            while runs_here:
                taken_over = await self._run(active)
                if taken_over is None:
                    break
                async with self._until_deadline(request):
                    runs_here = await self._ownership.join(active, taken_over)
        except TimeoutError:
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            self._fail(active, errors.WharfError(kind, ran=active.ran_so_far))
        except errors.WharfError as error:
            self._fail(active, error)
        except asyncio.CancelledError:
            kind = errors.ErrorKind.CANCELLED
            self._fail(active, errors.WharfError(kind, ran=active.ran_so_far))
            raise
        except Exception:
            self._logger.exception("answer_crashed", id=request.request_id)
            self._fail(active, errors.WharfError(errors.ErrorKind.INTERNAL))
        finally:
            self._on_ended(active)

    async def _run(
        self, active: active_answers.ActiveAnswer
    ) -> relays.Source | None:
        """Runs a request.

        Returns:
            The run that took the request over, or ``None``.
        """
        run = self._runner.run(
            active.request, active.answer, self._ownership.hooks(active)
        )
        active.run_task = asyncio.create_task(run)
        active.has_run = True
        try:
            await active.run_task
        except request_runner.TakenOverError as error:
            active.taken_over = relays.Source(error.owner, error.request_id)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if active.taken_over is None or (task and task.cancelling()):
                raise
        taken_over, active.taken_over = active.taken_over, None
        if active.answer.end is not None:
            return None
        return taken_over

    def _on_reader_left(self, active: active_answers.ActiveAnswer) -> None:
        if active.has_readers or active.answer.end is not None:
            return
        active.last_reader_left_ms = self._clock.now_ms()
        if active.linger_ms <= 0.0:
            self._cancel(active)
        elif active.linger_task is None:
            active.linger_task = asyncio.create_task(self._linger(active))

    async def _linger(self, active: active_answers.ActiveAnswer) -> None:
        """Cancels an answer unless a reader returns within its linger time."""
        try:
            while active.answer.end is None:
                if active.has_readers:
                    return
                due_ms = active.last_reader_left_ms + active.linger_ms
                if self._clock.now_ms() >= due_ms:
                    self._cancel(active)
                    return
                await self._clock.sleep_until_ms(due_ms)
        finally:
            active.linger_task = None

    def _cancel(self, active: active_answers.ActiveAnswer) -> None:
        if active.task is not None:
            active.task.cancel()

    def _fail(
        self, active: active_answers.ActiveAnswer, error: errors.WharfError
    ) -> None:
        if active.answer.end is None:
            self._runner.counters.refused(error.kind.value)
            active.answer.finish(active_answers.failed(error))

    def _on_ended(self, active: active_answers.ActiveAnswer) -> None:
        request = active.request
        if self._by_id.get(request.request_id) is active:
            del self._by_id[request.request_id]
        if self._by_key.get(active.key) is active:
            del self._by_key[active.key]
        end = active.answer.end
        assert end is not None
        if active.is_claimed and _did_not_run(end):
            self._claims.abandon(request.request_id)
        # A relay may end early while the run it follows continues. Keeping such
        # an end would hide the run's answer from the next retry.
        is_own = active.has_run and active.source is None
        if is_own and not (active.may_run_again and request.is_repeatable):
            self._cache.add(active.key, request, active.answer)

    async def _on_pull(
        self, sender: str, message: key_messages.PullRequest
    ) -> key_messages.PullReply:
        return await self._serve_pull(message)

    async def _serve_pull(
        self, message: key_messages.PullRequest
    ) -> key_messages.PullReply:
        active = self._by_id.get(message.request_id)
        if active is None:
            cached = self._cache.by_id(message.request_id)
            found = self._find_cached(message.key) if cached else None
            if found is None or found.request.request_id != message.request_id:
                return _not_here()
            active = found
        if active.key != message.key:
            return _not_here()
        if active.body != message.body:
            return key_messages.PullReply(key_messages.PullState.OTHER_BODY)
        if active.source is not None:
            return key_messages.PullReply(
                key_messages.PullState.ELSEWHERE,
                owner=active.source.owner,
                request_id=active.source.request_id,
            )
        active.remote_readers += 1
        active.was_pulled = True
        try:
            until_ms = self._clock.now_ms() + message.wait_ms
            await active.answer.wait_for_token(message.first_index, until_ms)
        finally:
            active.remote_readers -= 1
            self._on_reader_left(active)
        return _pulled(active.answer, message.first_index)

    async def _on_taken_over(
        self, sender: str, message: key_messages.TakeoverNotice
    ) -> None:
        active = self._by_id.get(message.request_id)
        if (
            active is None
            or active.run_task is None
            or active.source is not None
        ):
            return
        if active.request.is_repeatable and active.answer.end is None:
            # Another instance took the key over while this one was paused or
            # partitioned. Callers that still wait here get the answer of the
            # new run.
            active.taken_over = relays.Source(
                message.by_owner, message.by_request_id
            )
            active.run_task.cancel()

    def _until_deadline(
        self, request: model_request.ModelRequest
    ) -> asyncio.Timeout:
        at_ms = request.arrived_ms + request.deadline_ms
        return self._clock.timeout_ms(at_ms - self._clock.now_ms())

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_EXPIRE_INTERVAL_MS)
            self._cache.expire()
            cached = {key for key, _ in self._cache.items()}
            homes_of = self._ownership.homes_of
            for key in list(homes_of):
                if key not in self._by_key and key not in cached:
                    del homes_of[key]

    def _own_records(self) -> list[keys.KeyRecord]:
        """Records of the keys whose answers run or are cached here."""
        own = [
            (active.key, active.request)
            for active in self._by_id.values()
            if active.source is None
        ]
        own += [(key, cached.request) for key, cached in self._cache.items()]
        return [
            keys.KeyRecord(
                key,
                keys.body_of(request.body_digest),
                self._instance,
                request.request_id,
            )
            for key, request in own
            if key in self._ownership.homes_of
        ]


def _did_not_run(end: answers.End) -> bool:
    match end:
        case model_request.Failed(ran=errors.Ran.NO):
            return True
    return False


def _not_here() -> key_messages.PullReply:
    return key_messages.PullReply(key_messages.PullState.NOT_HERE)


def _pulled(answer: answers.Answer, first_index: int) -> key_messages.PullReply:
    texts = tuple(answer.texts[first_index : first_index + _MAX_PULLED_TOKENS])
    is_last = first_index + len(texts) >= len(answer.texts)
    match answer.end:
        case model_request.Finished(count, digest, attempt_id) if is_last:
            return key_messages.PullReply(
                key_messages.PullState.FINISHED,
                first_index,
                texts,
                count=count,
                digest=digest,
                attempt_id=attempt_id,
            )
        case model_request.Failed(kind, ran) if not texts:
            return key_messages.PullReply(
                key_messages.PullState.FAILED,
                first_index,
                kind=kind.value,
                ran=ran.value,
            )
    return key_messages.PullReply(
        key_messages.PullState.RUNNING, first_index, texts
    )
