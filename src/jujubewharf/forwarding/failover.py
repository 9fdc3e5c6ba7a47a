"""Goes on with streams whose engine is silent.

Nothing tells an engine that is paused for a second from one that is gone. A
silent engine therefore keeps its stream while another one is looked for, and
the first of them that is heard has it. What no other engine takes over stays
where it is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.forwarding import events
from jujubewharf.forwarding import failover_search
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import silence_log
from jujubewharf.forwarding import upstream_reader
from jujubewharf.stream_versions import resume_log

# Time after a search without success until the next one.
_SEARCH_INTERVAL_MS = 500.0
# Time for the first event of an engine that took a stream over, until a
# further engine is looked for.
_FIRST_EVENT_TIMEOUT_MS = 1_500.0

# Time for which the silence of an engine is reported once.
_REPORT_INTERVAL_MS = 1_000.0

_Search = asyncio.Task[upstream_reader.UpstreamReader | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What the first engine that was heard said.

    Attributes:
        reader: Its answer.
        arrived: Events that arrived; ``None`` at the end of the answer.
    """

    reader: upstream_reader.UpstreamReader
    arrived: list[events.Event] | None


class Failover:
    """Finds engines for streams whose engine is silent.

    Args:
        tools: What searches for engines use.
        observations: Records failures of engines.
        clock: Time source.
    """

    def __init__(
        self,
        tools: failover_search.SearchTools,
        observations: observed.Observer,
        clock: clocks.Clock,
    ) -> None:
        self._tools = tools
        self._observations = observations
        self._clock = clock
        self._cleanups: set[asyncio.Task[None]] = set()
        self._reported_ms: dict[str, float] = {}

    async def next_events(
        self,
        run: runs.Run,
        silent: upstream_reader.UpstreamReader,
        last: int | None,
    ) -> Heard:
        """Waits until the silent engine or another one is heard.

        The answers of all others are ended.

        Args:
            run: The request.
            silent: The silent engine's answer.
            last: Number of the last event that the caller has.

        Raises:
            EngineError: The silent engine's answer broke off or its process is
                gone, and no other engine has the stream.
        """
        self._record_silence(run, silent)
        silent_since_ms = silent.heard_ms
        search = failover_search.FailoverSearch(self._tools, run, last)
        race = _Race(search, silent, self._clock)
        try:
            heard = await race.winner()
        finally:
            self._run_beside(race.aclose())
        silent_ms = self._clock.now_ms() - silent_since_ms
        if heard.reader is silent:
            self._record_heard_again(run, silent, silent_ms)
        else:
            self._record_replaced(run, silent, heard.reader, last, silent_ms)
        return heard

    def _record_silence(
        self, run: runs.Run, silent: upstream_reader.UpstreamReader
    ) -> None:
        silence_log.log_silence(
            run,
            silent.engine.name,
            silent_ms=silent.silent_ms,
            has_begun=silent.has_begun,
            budget_left=self._tools.budget.remaining(run.service),
        )
        run.lost_by.add(silent.engine.name)
        self._report(silent)

    def _report(self, silent: upstream_reader.UpstreamReader) -> None:
        """Has new requests go to other engines first.

        All streams of an engine fall silent at once. Each would count as a
        failure of its own, and keep the engine away long after a pause.
        """
        name, now_ms = silent.engine.name, self._clock.now_ms()
        last_ms = self._reported_ms.get(name)
        if last_ms is not None and now_ms - last_ms < _REPORT_INTERVAL_MS:
            return
        self._reported_ms = {
            engine: at_ms
            for engine, at_ms in self._reported_ms.items()
            if now_ms - at_ms < _REPORT_INTERVAL_MS
        }
        self._reported_ms[name] = now_ms
        self._observations.record_failure(_silent_error(silent))

    def _record_heard_again(
        self,
        run: runs.Run,
        silent: upstream_reader.UpstreamReader,
        silent_ms: float,
    ) -> None:
        name = silent.engine.name
        run.lost_by.discard(name)
        self._observations.record_response_start(name)
        silence_log.log_heard_again(run, name, silent_ms=silent_ms)

    def _record_replaced(
        self,
        run: runs.Run,
        silent: upstream_reader.UpstreamReader,
        successor: upstream_reader.UpstreamReader,
        last: int | None,
        silent_ms: float,
    ) -> None:
        request_log.log_engine_failure(
            run, _silent_error(silent), stage="stream", took_ms=silent_ms
        )
        resume_log.log_resumption(
            run,
            successor.engine,
            former=silent.engine,
            after_event=last or 0,
        )

    def _run_beside(self, cleanup: Coroutine[None, None, None]) -> None:
        """Runs a cleanup that a stream must not wait for."""
        task = asyncio.ensure_future(cleanup)
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)


class _Race:
    """Engines that may have the next event of a stream.

    Args:
        search: Finds further engines.
        silent: The silent engine's answer.
        clock: Time source.
    """

    def __init__(
        self,
        search: failover_search.FailoverSearch,
        silent: upstream_reader.UpstreamReader,
        clock: clocks.Clock,
    ) -> None:
        self._search = search
        self._clock = clock
        self._readers: list[upstream_reader.UpstreamReader] = []
        self._searching: _Search | None = None
        self._search_at_ms = clock.now_ms()
        self._has_changed = asyncio.Event()
        self._error: client.EngineError | None = None
        self._add(silent)

    async def winner(self) -> Heard:
        """Waits for the first engine that is heard.

        Raises:
            EngineError: All answers broke off.
        """
        while True:
            self._begin_search_if_due()
            await self._wait()
            # An engine that took over has begun to run the request, so it goes
            # before one that is heard again at the same moment.
            for reader in reversed(self._readers):
                if reader.is_ready:
                    heard = await self._take(reader)
                    if heard is not None:
                        return heard
            await self._end_search_if_done()

    async def aclose(self) -> None:
        """Ends the answers of all engines but the winner, and the search."""
        if self._searching is not None:
            self._searching.cancel()
        await asyncio.gather(*(reader.aclose() for reader in self._readers))
        if self._searching is None:
            return
        await asyncio.wait([self._searching])
        if not self._searching.cancelled() and not self._searching.exception():
            found = self._searching.result()
            if found is not None:
                await found.aclose()

    def _add(self, reader: upstream_reader.UpstreamReader) -> None:
        self._readers.append(reader)
        reader.on_arrival = self._has_changed.set
        if reader.is_ready:
            self._has_changed.set()

    def _begin_search_if_due(self) -> None:
        is_due = self._clock.now_ms() >= self._search_at_ms
        if self._searching is not None or not is_due:
            return
        silent = [reader.engine for reader in self._readers]
        self._searching = asyncio.ensure_future(self._search.find(silent))
        self._searching.add_done_callback(lambda _: self._has_changed.set())

    async def _wait(self) -> None:
        """Waits for an engine, the end of a search, or the next search."""
        limit_ms = None
        if self._searching is None:
            limit_ms = self._search_at_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(limit_ms):
                await self._has_changed.wait()
        self._has_changed.clear()

    async def _take(
        self, reader: upstream_reader.UpstreamReader
    ) -> Heard | None:
        """Returns what a reader has; ``None`` if its answer broke off.

        Raises:
            EngineError: It was the last one.
        """
        try:
            arrived = reader.take()
        except client.EngineError as error:
            await self._drop(reader, error)
            return None
        self._readers.remove(reader)
        return Heard(reader, arrived)

    async def _drop(
        self, reader: upstream_reader.UpstreamReader, error: client.EngineError
    ) -> None:
        """Drops an answer that won't go on.

        Raises:
            EngineError: No other engine has the stream, or may soon.
        """
        self._readers.remove(reader)
        await reader.aclose()
        self._error = error
        if not self._readers and self._searching is None:
            raise error

    async def _end_search_if_done(self) -> None:
        """Handles the end of a search.

        Raises:
            EngineError: No engine has the stream.
        """
        if self._searching is None or not self._searching.done():
            return
        found = self._searching.result()
        self._searching = None
        now_ms = self._clock.now_ms()
        if found is not None:
            self._add(found)
            self._search_at_ms = now_ms + _FIRST_EVENT_TIMEOUT_MS
            return
        if not self._readers and self._error is not None:
            raise self._error
        self._search_at_ms = now_ms + _SEARCH_INTERVAL_MS
        for reader in list(self._readers):
            if reader.engine.name in self._search.crashed:
                fault = client.EngineFault.LOST
                name = reader.engine.name
                await self._drop(
                    reader, client.EngineError(fault, name, "crashed")
                )


def _silent_error(reader: upstream_reader.UpstreamReader) -> client.EngineError:
    fault = client.EngineFault.LOST
    return client.EngineError(fault, reader.engine.name, "silent")
