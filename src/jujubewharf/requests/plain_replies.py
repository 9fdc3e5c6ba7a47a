"""Keeps replies of plain calls that are not repeatable, for retries.

A client whose connection breaks retries with the same key. The call is not sent
a second time. The retry gets the reply of the first call from the instance that
has it. The call therefore runs in a task of its own and continues when its
caller disconnects, which holds no engine memory.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib

import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import endpoint_client
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.requests import plain
from jujubewharf.requests import plain_claims

MAX_REPLY_BYTES = 256_000
MAX_KEPT_BYTES = 8_000_000
KEEP_MS = 900_000.0
_OVERHEAD_BYTES = 1_000
_PULL_WAIT_MS = 1_000.0
_PULL_SLACK_MS = 1_500.0
_RETRY_DELAY_MS = 300.0
_MAX_FAILURES = 3


class _Recording:
    """A reply that is recorded while readers follow it from its start."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.dropped_bytes = 0
        self.is_complete = False
        self.failure: errors.WharfError | None = None
        self.readers = 0
        self.expires_ms = float("inf")
        self._changed = asyncio.Event()

    @property
    def has_ended(self) -> bool:
        return self.is_complete or self.failure is not None

    @property
    def can_be_replayed(self) -> bool:
        return self.is_complete and not self.dropped_bytes

    def wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        await self._changed.wait()

    async def wait_for_start(self) -> None:
        while not self.status and self.failure is None:
            await self.wait_for_change()
        if self.failure is not None and not self.status:
            raise self.failure

    async def add(self, chunk: bytes) -> None:
        """Adds a chunk; waits for readers if the reply is large.

        Raises:
            WharfError: The reply exceeds the limit and has no readers.
        """
        self.chunks.append(chunk)
        self.size_bytes += len(chunk)
        self.wake()
        while self.size_bytes - self.dropped_bytes > MAX_REPLY_BYTES:
            if not self.readers:
                raise errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
            await self.wait_for_change()

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises the failure if the reply ends early."""
        index = 0
        while True:
            while index < len(self.chunks):
                chunk = self.chunks[index]
                yield chunk
                if self.size_bytes > MAX_REPLY_BYTES:
                    self.chunks[index] = b""
                    self.dropped_bytes += len(chunk)
                    self.wake()
                index += 1
            if self.failure is not None:
                raise self.failure
            if self.is_complete:
                return
            await self.wait_for_change()

    def reply(self) -> endpoint_client.PlainReply:
        return endpoint_client.PlainReply(
            self.status, self.headers, self.body()
        )


class PlainReplies:
    """Runs plain calls and keeps replies that a retry may ask for.

    Args:
        instance: Name of this instance.
        runner: Runs plain calls.
        peers: Messaging between instances.
        clock: Source of time and timeouts.
    """

    def __init__(
        self,
        instance: str,
        runner: plain.PlainRunner,
        peers: network.PeerNetwork,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._runner = runner
        self._peers = peers
        self._clock = clock
        self._recordings: collections.OrderedDict[str, _Recording] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._logger = structlog.get_logger()
        peers.handle(key_messages.PlainPullRequest, self._on_pull)

    @contextlib.asynccontextmanager
    async def run(
        self, request: plain.PlainRequest
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Calls an endpoint or replays a reply; see ``PlainRunner.run``."""
        if request.is_repeatable or request.key is None:
            async with self._runner.run(request) as reply:
                yield reply
            return
        recording = self._start(request)
        recording.readers += 1
        try:
            try:
                await recording.wait_for_start()
            except plain_claims.ClaimLostError as lost:
                yield await self._find_reply(request, lost)
                return
            yield recording.reply()
        finally:
            recording.readers -= 1
            recording.wake()

    def _start(self, request: plain.PlainRequest) -> _Recording:
        self._evict()
        recording = _Recording()
        self._recordings[request.request_id] = recording
        task = asyncio.create_task(self._record(request, recording))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return recording

    async def _record(
        self, request: plain.PlainRequest, recording: _Recording
    ) -> None:
        try:
            async with self._runner.run(request) as reply:
                recording.headers = reply.headers
                recording.status = reply.status
                recording.wake()
                async for chunk in reply.body:
                    await recording.add(chunk)
            recording.is_complete = True
        except errors.WharfError as error:
            recording.failure = error
        except asyncio.CancelledError:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
            recording.failure = errors.WharfError(kind)
            raise
        except Exception:
            self._logger.exception("plain_call_crashed", id=request.request_id)
            kind = errors.ErrorKind.INTERNAL
            recording.failure = errors.WharfError(kind)
        finally:
            recording.expires_ms = self._clock.now_ms() + KEEP_MS
            if not recording.can_be_replayed:
                self._recordings.pop(request.request_id, None)
            recording.wake()

    async def _find_reply(
        self, request: plain.PlainRequest, lost: plain_claims.ClaimLostError
    ) -> endpoint_client.PlainReply:
        """Returns the reply of the call that holds the key.

        Raises:
            ClaimLostError: The reply is not available.
        """
        message = key_messages.PlainPullRequest(lost.request_id, _PULL_WAIT_MS)
        failures = 0
        while self._clock.now_ms() < request.deadline_at_ms:
            try:
                pulled = await self._ask(lost.owner, message)
            except network.PeerError:
                failures += 1
                if failures >= _MAX_FAILURES:
                    break
                await self._clock.sleep_ms(_RETRY_DELAY_MS * failures)
                continue
            if pulled.is_complete:
                return endpoint_client.PlainReply(
                    pulled.status,
                    tuple((name, value) for name, value in pulled.headers),
                    _single_chunk(pulled.body),
                )
            if not pulled.is_running:
                break
        raise lost

    async def _ask(
        self, owner: str, message: key_messages.PlainPullRequest
    ) -> key_messages.PlainPullReply:
        if owner == self._instance:
            return await self._on_pull(owner, message)
        answer = await self._peers.ask(
            owner, message, timeout_ms=_PULL_WAIT_MS + _PULL_SLACK_MS
        )
        if not isinstance(answer, key_messages.PlainPullReply):
            raise network.PeerError(network.PeerFault.REFUSED, owner)
        return answer

    async def _on_pull(
        self, sender: str, message: key_messages.PlainPullRequest
    ) -> key_messages.PlainPullReply:
        recording = self._recordings.get(message.request_id)
        if recording is None:
            return key_messages.PlainPullReply()
        try:
            async with self._clock.timeout_ms(message.wait_ms):
                while not recording.has_ended:
                    await recording.wait_for_change()
        except TimeoutError:
            return key_messages.PlainPullReply(is_running=True)
        if not recording.can_be_replayed:
            return key_messages.PlainPullReply()
        return key_messages.PlainPullReply(
            is_complete=True,
            status=recording.status,
            headers=recording.headers,
            body=b"".join(recording.chunks),
        )

    def _evict(self) -> None:
        """Evicts expired replies, and the oldest beyond the memory limit."""
        now_ms = self._clock.now_ms()
        ended = [
            (request_id, recording)
            for request_id, recording in self._recordings.items()
            if recording.has_ended
        ]
        total = sum(r.size_bytes + _OVERHEAD_BYTES for _, r in ended)
        for request_id, recording in ended:
            is_expired = recording.expires_ms <= now_ms
            if not is_expired and total <= MAX_KEPT_BYTES:
                return
            total -= recording.size_bytes + _OVERHEAD_BYTES
            del self._recordings[request_id]


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body
