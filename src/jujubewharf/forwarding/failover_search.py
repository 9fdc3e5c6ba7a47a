"""Looks for an engine that goes on with a stream whose engine is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import places
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import silence_log
from jujubewharf.forwarding import upstream_reader
from jujubewharf.stream_versions import resumptions

# Searches of an instance that wait for memory at a time. While all engines are
# silent, those of all streams would fill the wait queue before new requests.
_MAX_WAITING = 4


@dataclasses.dataclass(slots=True)
class SearchTools:
    """What searches use.

    Attributes:
        attempts: Sends requests to engines.
        budget: Retry budget of the fleet.
        registry: Registered endpoints.
        clock: Time source.
        turns: Limits how many searches wait for memory at a time.
    """

    attempts: attempts.StreamAttempts
    budget: budgets.FleetRetryBudget
    registry: registries.Registry
    clock: clocks.Clock
    turns: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(_MAX_WAITING)
    )


class FailoverSearch:
    """Looks for an engine, at most one at a time.

    The budget is used and a prompt is read only once another engine has
    reserved memory, which shows that it isn't silent as well.

    Args:
        tools: What searches use.
        run: The request.
        last: Number of the last event that the caller has.

    Attributes:
        crashed: Names of the silent engines whose process is known to be gone.
    """

    def __init__(
        self, tools: SearchTools, run: runs.Run, last: int | None
    ) -> None:
        self.crashed: set[str] = set()
        self._tools = tools
        self._run = run
        self._last = last
        self._has_logged = False

    async def find(
        self, silent: Collection[resources.Endpoint]
    ) -> upstream_reader.UpstreamReader | None:
        """Returns the answer of another engine, whose head has arrived.

        Args:
            silent: Engines that have the stream and are silent.

        Returns:
            ``None`` if no other engine goes on with the stream now.
        """
        names = {engine.name for engine in silent}
        reason = self._hindrance(names)
        if reason is None:
            reader = await self._attempt(names)
            if reader is not None:
                return reader
            reason = silence_log.NotReplaced.NO_ENGINE
        if not self._has_logged:
            self._has_logged = True
            silence_log.log_kept(self._run, sorted(names), reason)
        for engine in silent:
            # One that drains may refuse connections and finish its answers.
            is_serving = self._tools.registry.takes_work(engine.name)
            if is_serving and await self._tools.attempts.has_crashed(engine):
                self.crashed.add(engine.name)
        return None

    def _hindrance(
        self, silent: Collection[str]
    ) -> silence_log.NotReplaced | None:
        """Returns why no engine may be asked; ``None`` if one may."""
        if not self._run.has_attempts_left:
            return silence_log.NotReplaced.NO_ATTEMPT
        if self._tools.budget.remaining(self._run.service) < 1.0:
            return silence_log.NotReplaced.NO_BUDGET
        registry = self._tools.registry
        others = [
            engine
            for engine in registry.of_service(self._run.service)
            if engine.name not in silent and registry.takes_work(engine.name)
        ]
        if not resumptions.has_engine(self._run, others):
            return silence_log.NotReplaced.NO_ENGINE
        return None

    async def _attempt(
        self, silent: Collection[str]
    ) -> upstream_reader.UpstreamReader | None:
        turn = _Turn(self._tools.turns)

        def admit(reservation: places.Reservation) -> None:
            turn.end()
            self._admit(reservation, silent)

        await turn.begin()
        try:
            upstream = await self._tools.attempts.attempt(
                self._run, after_event=self._last, admit=admit
            )
        except (client.EngineError, errors.WharfError):
            # Whoever raised it has logged it. The silent engine still has the
            # stream.
            return None
        finally:
            turn.end()
        if not upstream.reply.is_success:
            await upstream.exit_stack.aclose()
            return None
        return upstream_reader.UpstreamReader(upstream, self._tools.clock)

    def _admit(
        self, reservation: places.Reservation, silent: Collection[str]
    ) -> None:
        """Takes a retry for an engine that has reserved memory.

        Raises:
            EngineError: The engine has the stream already, or no retry is left.
        """
        name = reservation.engine.name
        budget, service = self._tools.budget, self._run.service
        left = budget.remaining(service)
        if name in silent or not budget.take(service):
            raise client.EngineError(client.EngineFault.DEFERRED, name)
        request_log.log_retry(self._run, "silent", budget_left=left)


class _Turn:
    """One search's turn to wait for memory.

    Args:
        turns: The turns of all searches.
    """

    def __init__(self, turns: asyncio.Semaphore) -> None:
        self._turns = turns
        self._has_begun = False

    async def begin(self) -> None:
        """Waits for the turn."""
        await self._turns.acquire()
        self._has_begun = True

    def end(self) -> None:
        """Ends the turn, if it hasn't ended."""
        if self._has_begun:
            self._has_begun = False
            self._turns.release()
