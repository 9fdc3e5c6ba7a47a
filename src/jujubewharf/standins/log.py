"""Stand-in for the platform's log, with outages and lost answers."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence
import copy

from aiohttp import web
import msgpack

from jujubewharf import clock as clocks
from jujubewharf.platform import http_log
from jujubewharf.platform import log

# Virtual time is rounded, so shorter waits would never end.
_MIN_WAIT_MS = 0.001


class _Stream:
    """Retained records of a stream."""

    def __init__(self) -> None:
        self.records: list[log.LogRecord] = []
        self.appended_at_ms: list[float] = []
        self.first_offset = 0

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


LogCopy = dict[str, _Stream]


class MemoryLog:
    """In-process implementation of ``platform.log.Log``.

    Args:
        clock: Clock of the simulation.
        retention_ms: Age at which records are dropped; ``None`` keeps all.
        append_ms: Duration of an append.

    Attributes:
        is_down: Whether all calls fail.
        lose_answers: Number of next appends that take effect but whose
            answers are lost.
        append_ms: Duration of an append.
        retention_ms: Age at which records are dropped; ``None`` keeps all.
        fails_after_next_append: Whether the log goes down right after the next
            append, before anyone can read it; its answer is lost.
        appends: Number of appends that took effect, by stream.
        epoch: Number of times that the log was restored from a copy.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        retention_ms: float | None = None,
        append_ms: float = 5.0,
    ) -> None:
        self.is_down = False
        self.lose_answers = 0
        self.epoch = 0
        self.appends: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self.retention_ms = retention_ms
        self.fails_after_next_append = False
        self.append_ms = append_ms
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._appended = asyncio.Event()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> list[int]:
        """Appends records; see ``log.Log``."""
        if self.is_down:
            raise log.LogUnavailableError("log is down")
        await self._clock.sleep_ms(self.append_ms)
        if self.is_down:
            raise log.LogUnavailableError("log is down")
        offsets = self._store(self._streams[stream], payloads)
        self.appends[stream] += 1
        if self.fails_after_next_append:
            self.fails_after_next_append = False
            self.is_down = True
            raise log.AppendUnknownError("answer lost")
        self._appended.set()
        self._appended = asyncio.Event()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise log.AppendUnknownError("answer lost")
        return offsets

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 500,
        wait_ms: float = 0.0,
    ) -> log.LogPage:
        """Reads records; see ``log.Log``."""
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            if self.is_down:
                raise log.LogUnavailableError("log is down")
            stored = self._streams[stream]
            self._apply_retention(stored)
            if from_offset < stored.first_offset:
                raise log.LogTruncatedError(stored.first_offset)
            left_ms = until_ms - self._clock.now_ms()
            if from_offset < stored.next_offset or left_ms <= _MIN_WAIT_MS:
                break
            await self._wait(left_ms)
        start = from_offset - stored.first_offset
        records = tuple(stored.records[start : start + limit])
        return log.LogPage(
            records, stored.first_offset, stored.next_offset, self.epoch
        )

    def reopened(self) -> MemoryLog:
        """Returns this log, whose direct users see each restore."""
        return self

    def truncate(self, stream: str, first_offset: int) -> None:
        """Drops a stream's records below an offset."""
        stored = self._streams[stream]
        count = min(len(stored.records), first_offset - stored.first_offset)
        del stored.records[:count]
        del stored.appended_at_ms[:count]
        stored.first_offset += count

    def copy(self) -> LogCopy:
        """Returns the current state of all streams."""
        return copy.deepcopy(dict(self._streams))

    def restore(self, former: LogCopy) -> None:
        """Returns to a former state; lost offsets are assigned again."""
        self.epoch += 1
        self._streams.clear()
        self._streams.update(copy.deepcopy(former))

    def wipe(self) -> None:
        """Drops all streams; offsets restart at 0."""
        self._streams.clear()

    async def _wait(self, left_ms: float) -> None:
        try:
            async with self._clock.timeout_ms(left_ms):
                await self._appended.wait()
        except TimeoutError:
            return

    def _store(self, stored: _Stream, payloads: Sequence[bytes]) -> list[int]:
        first = stored.next_offset
        offsets = list(range(first, first + len(payloads)))
        for offset, payload in zip(offsets, payloads, strict=True):
            stored.records.append(log.LogRecord(offset, payload))
            stored.appended_at_ms.append(self._clock.now_ms())
        return offsets

    def _apply_retention(self, stored: _Stream) -> None:
        if self.retention_ms is None:
            return
        oldest_ms = self._clock.now_ms() - self.retention_ms
        while stored.appended_at_ms and stored.appended_at_ms[0] < oldest_ms:
            stored.appended_at_ms.pop(0)
            stored.records.pop(0)
            stored.first_offset += 1


class LogServer:
    """HTTP server of a log, for ``platform.http_log``."""

    def __init__(self, memory_log: MemoryLog) -> None:
        self._log = memory_log

    def app(self) -> web.Application:
        """Returns the application; ``POST /control`` sets faults."""
        app = web.Application(client_max_size=64_000_000)
        app.on_response_prepare.append(self._state_epoch)
        app.router.add_post("/append", self._append)
        app.router.add_get("/read", self._read)
        app.router.add_post("/control", self._control)
        return app

    async def _state_epoch(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[http_log.EPOCH_HEADER] = str(self._log.epoch)

    async def _append(self, request: web.Request) -> web.Response:
        payloads = msgpack.unpackb(await request.read())
        try:
            offsets = await self._log.append(request.query["stream"], payloads)
        except log.LogUnavailableError:
            return web.Response(status=503)
        except log.AppendUnknownError:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        return web.Response(body=msgpack.packb(offsets))

    async def _read(self, request: web.Request) -> web.Response:
        try:
            page = await self._log.read(
                request.query["stream"],
                int(request.query["from"]),
                limit=int(request.query["limit"]),
                wait_ms=float(request.query["wait_ms"]),
            )
        except log.LogUnavailableError:
            return web.Response(status=503, body=msgpack.packb({}))
        except log.LogTruncatedError as error:
            gone = {"first_offset": error.first_offset}
            return web.Response(status=410, body=msgpack.packb(gone))
        body = {
            "records": [(r.offset, r.payload) for r in page.records],
            "first_offset": page.first_offset,
            "next_offset": page.next_offset,
        }
        return web.Response(body=msgpack.packb(body))

    async def _control(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._log.is_down = body.get("is_down", self._log.is_down)
        self._log.lose_answers = body.get(
            "lose_answers", self._log.lose_answers
        )
        return web.json_response({})
