"""One sending of a streamed request: memory, prefill, decode.

Memory on a decode engine is reserved before the prompt is read, since what was
read is lost when no engine fetches it in time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import restraints as all_restraints
from jujubewharf.forwarding import runs

# Prefill engines that are asked for one request. A decode engine that reads
# instead stops the answers that it writes for up to half a second.
_MAX_READERS = 3


@dataclasses.dataclass(slots=True)
class Upstream:
    """One engine's answer while it is passed on.

    Attributes:
        engine: Who answers.
        reply: Its answer.
        exits: Ends the engine's work and gives back what was held for it.
        placed_ms: When its memory was reserved.
        memory_part: Part of the engine's memory that it holds.
        has_begun: Whether any of the body has arrived.
    """

    engine: resources.Endpoint
    reply: calls.Reply
    exits: contextlib.AsyncExitStack
    placed_ms: float
    memory_part: float
    has_begun: bool = False


@dataclasses.dataclass(slots=True)
class _Prefilled:
    """A prompt that was read, or wasn't; ``is_fetched`` once it was used."""

    source: calls.Source | None = None
    reader: resources.Endpoint | None = None
    is_fetched: bool = False


class StreamAttempts:
    """Sends streamed requests to engines.

    Args:
        backends: Calls engines.
        registry: Tells which engines take work.
        places: Finds memory for requests.
        budget: Bounds retries over the fleet.
        observations: Learns how engines fare.
        limits: Bound what engines get that name limits.
        restraints: What engines want.
        clock: Time.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        places: all_places.Places,
        budget: budgets.FleetBudget,
        observations: observed.Observations,
        limits: all_limits.Permits,
        restraints: all_restraints.Restraints,
        clock: clocks.Clock,
    ) -> None:
        self._limits = limits
        self._restraints = restraints
        self._backends = backends
        self._registry = registry
        self._places = places
        self._budget = budget
        self._observations = observations
        self._clock = clock

    async def attempt(
        self, run: runs.Run, *, after_event: int | None
    ) -> Upstream:
        """Sends a request to one engine, with memory reserved before.

        Args:
            run: The request.
            after_event: Last event that its caller has.

        Raises:
            EngineError: The sending failed; another may help.
            WharfError: There was no memory, or no retry is left.
        """
        async with contextlib.AsyncExitStack() as exits:
            place = await exits.enter_async_context(self._places.place(run))
            prefilled = await exits.enter_async_context(
                self._prefilled(run, place)
            )
            sending = calls.Sending(
                run.call,
                run.left_ms(self._clock),
                source=prefilled.source,
                hold=place.take_hold(),
                after_event=after_event,
            )
            try:
                await self._check_wanted(place)
                reply = await self._send(exits, run, place.engine, sending)
            except client.EngineError as error:
                sending = await self._instead(run, error, sending, prefilled)
                reply = await self._send(exits, run, place.engine, sending)
            prefilled.is_fetched = True
            return Upstream(
                place.engine,
                reply,
                exits.pop_all(),
                place.since_ms,
                place.memory_part,
            )

    async def _instead(
        self,
        run: runs.Run,
        error: client.EngineError,
        sending: calls.Sending,
        prefilled: _Prefilled,
    ) -> calls.Sending:
        """What to send to an engine that refused although it had reserved.

        Either it is carrying out an order, or it couldn't fetch the prefill
        result. Then it can still read the prompt by itself.

        Raises:
            EngineError: It takes no work now; the fault says so.
        """
        if error.fault is not client.EngineFault.REFUSED_FULL:
            raise error
        if self._restraints.is_backing_off(error.engine):
            raise error
        engine = self._registry.get(error.engine)
        if engine is None or await self._is_changing(engine):
            fault = client.EngineFault.REFUSED_ROLE
            changing = client.EngineError(fault, error.engine, "changing")
            self._observations.changing(error.engine)
            raise changing from error
        if sending.source is None or prefilled.reader is None:
            raise error
        if not await self._limits.take(error.engine):
            raise error
        gone = client.EngineError(
            client.EngineFault.KV_GONE, prefilled.reader.name
        )
        self._observations.failed(gone)
        decisions.engine_failed(run, gone, stage="fetch", took_ms=0.0)
        left = self._budget.left(run.service)
        if not self._budget.take(run.service):
            decisions.not_retried(run, "kv_gone", budget_left=left)
            raise run.failure() from error
        decisions.retried(run, "kv_gone", budget_left=left)
        return dataclasses.replace(
            sending, source=None, left_ms=run.left_ms(self._clock)
        )

    def _learn(self, error: client.EngineError) -> None:
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.replaced(error.engine)
        self._observations.failed(error)

    async def _is_changing(self, engine: resources.Endpoint) -> bool:
        try:
            return await self._backends.is_changing(engine)
        except client.EngineError as error:
            self._observations.failed(error)
            return True

    @contextlib.asynccontextmanager
    async def _prefilled(
        self, run: runs.Run, place: all_places.Place
    ) -> AsyncIterator[_Prefilled]:
        """Has the prompt read, and frees the result if nobody fetched it.

        Where no engine reads it the block gets an empty one: the decode engine
        then reads the prompt by itself, more slowly.
        """
        prefilled = _Prefilled()
        readers = place.readers[:_MAX_READERS]
        if readers and run.was_read and not self._budget.take(run.service):
            # Only the first reading is no retry.
            readers = []
        for reader in readers:
            if not await self._may_read(reader):
                # Asked again at the moment of sending: it was chosen when the
                # request was placed, by a leader that may be cut off from the
                # store, or has begun to leave while another one was asked.
                continue
            try:
                prefilled.source = await self._prefill(run, reader)
            except client.EngineError as error:
                if error.fault is client.EngineFault.LOST:
                    # It may have been accepted, so the next one is a retry.
                    run.was_read = True
                if not self._may_read_again(run, error):
                    # The run would be a retry as well, and the fleet's bound
                    # is reached: a refused call is one, and one without an
                    # answer may have been refused. With two engines dark 18
                    # such runs in ten seconds exceeded the bound by 5.
                    raise run.failure() from error
            else:
                prefilled.reader = reader
                run.was_read = True
                break
        place.reading_ended()
        try:
            yield prefilled
        finally:
            if not prefilled.is_fetched:
                await self._drop(prefilled)

    async def _may_read(self, reader: resources.Endpoint) -> bool:
        """Whether an engine takes a prompt at this moment."""
        if self._restraints.must_wait(reader.name):
            return False
        if not await self._limits.take(reader.name):
            return False
        if self._restraints.is_backing_off(reader.name):
            return False
        return self._registry.takes_work(reader.name)

    def _may_read_again(self, run: runs.Run, error: client.EngineError) -> bool:
        """Whether another engine may be asked to read the prompt.

        A refused call counts as a retry, the first one that is accepted
        doesn't; a call that found no connection was none.
        """
        if error.fault is client.EngineFault.UNREACHABLE:
            return True
        if error.fault is client.EngineFault.REFUSED_FULL:
            self._observations.refused_reading(error.engine)
        left = self._budget.left(run.service)
        if not self._budget.take(run.service):
            decisions.not_retried(run, "prefill_failed", budget_left=left)
            return False
        decisions.retried(run, "prefill_failed", budget_left=left)
        return True

    async def _prefill(
        self, run: runs.Run, engine: resources.Endpoint
    ) -> calls.Source:
        assert run.call.work is not None
        tokens = run.call.work.prompt_tokens
        left_ms = run.left_ms(self._clock)
        began_ms = self._clock.now_ms()
        decisions.sent(
            run,
            engine.name,
            stage="prefill",
            left_ms=left_ms,
            age_ms=self._registry.age_ms,
        )
        try:
            source = await self._backends.prefill(
                engine, calls.Sending(run.call, left_ms)
            )
        except client.EngineError as error:
            self._learn(error)
            took_ms = self._clock.now_ms() - began_ms
            decisions.engine_failed(
                run, error, stage="prefill", took_ms=took_ms
            )
            raise
        took_ms = self._clock.now_ms() - began_ms
        self._observations.prompt_read(engine.name, took_ms, tokens=tokens)
        return source

    async def _drop(self, prefilled: _Prefilled) -> None:
        if prefilled.source is None or prefilled.reader is None:
            return
        with contextlib.suppress(client.EngineError):
            # The result dies by itself within a second; dropping it only
            # frees the memory sooner, so a failure needs no repeat.
            await self._backends.drop_source(prefilled.reader, prefilled.source)

    async def _check_wanted(self, place: all_places.Place) -> None:
        """Passes where an engine wants the run for which it reserved memory.

        Its answers to others may have said since that it wants none now, or
        have named its first limit. The prompt may have been read in vain then,
        but a second and a half of such runs would still come to an engine in
        need.

        Raises:
            EngineError: It wants none now.
        """
        name = place.engine.name
        has_permit = place.has_permit or await self._limits.take(name)
        if not has_permit or self._restraints.is_backing_off(name):
            raise client.EngineError(client.EngineFault.DEFERRED, name)

    async def _send(
        self,
        exits: contextlib.AsyncExitStack,
        run: runs.Run,
        engine: resources.Endpoint,
        sending: calls.Sending,
    ) -> calls.Reply:
        if not self._registry.takes_work(engine.name):
            # It began to leave while the prompt was read.
            fault = client.EngineFault.REFUSED_LEAVING
            raise client.EngineError(fault, engine.name)
        began_ms = self._clock.now_ms()
        before = run.sent(engine.name)
        decisions.sent(
            run,
            engine.name,
            stage="decode",
            left_ms=sending.left_ms,
            age_ms=self._registry.age_ms,
        )
        try:
            reply = await exits.enter_async_context(
                self._backends.send(engine, sending)
            )
        except client.EngineError as error:
            run.learn(error, before=before)
            self._learn(error)
            took_ms = self._clock.now_ms() - began_ms
            decisions.engine_failed(run, error, stage="decode", took_ms=took_ms)
            raise
        self._observations.answered(engine.name)
        return reply
