"""Finds a decode engine with memory for a request, or says when to come back.

Engines themselves keep the account of their memory: several instances send to
each, and load reports lag. So an engine is asked to reserve what the request
will need, and its answer counts.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import line as lines
from jujubewharf.forwarding import margins
from jujubewharf.forwarding import patience
from jujubewharf.forwarding import places
from jujubewharf.forwarding import pool as pools
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import quotas as all_quotas
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import restraints as all_restraints
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs

# Engines that one request asks in a row, at first and while it waits. With so
# many of them full the next one is most likely full as well; asking all would
# grow with the fleet.
_ASKED_AT_FIRST = 4
_ASKED_AGAIN = 2
# A request that waits asks again by itself after this part of the time in
# which memory for one answer comes free on an engine, as others' answers end
# unseen.
_ASK_AGAIN_PART = 1 / 6
_FIRST_ASK_AGAIN_MS = 70.0
# One that has missed its target asks so many times more seldom: it waits for
# seconds, and most calls to engines in a burst were those of late requests.
_LATE_PACE = 4.0
# The check of what is left free is a reservation that is given back at once.
_CHECK_MS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Wish:
    """What a request asks engines for.

    Attributes:
        tokens: Memory that is reserved.
        free_tokens: Memory that must be free besides.
        ttl_ms: How long the reservation lasts.
    """

    tokens: int
    free_tokens: int
    ttl_ms: float

    @property
    def room(self) -> int:
        """All that must be free."""
        return self.tokens + self.free_tokens


class Placement:
    """Reserves memory for requests.

    Args:
        backends: Calls engines.
        registry: Tells which engines take work.
        pool: What is known of the engines.
        work: Learns what requests cost.
        lengths: How long answers are.
        quotas: Bound what accounts use.
        limits: Bound what engines get that name limits.
        restraints: What engines want.
        counts_all: Tells whether all that engines hold now was placed here.
        clock: Time.
        rng: Spreads the times at which engines are asked.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        pool: pools.EnginePool,
        work: costs.WorkCosts,
        lengths: margins.AnswerLengths,
        quotas: all_quotas.Quotas,
        limits: all_limits.Permits,
        restraints: all_restraints.Restraints,
        counts_all: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._pool = pool
        self._work = work
        self._lengths = lengths
        self._quotas = quotas
        self._limits = limits
        self._restraints = restraints
        self._counts_all = counts_all
        self._clock = clock
        self._rng = rng
        self._patience = patience.Patience(work, clock)
        self._lines: dict[str, lines.Line] = {}
        self._running = 0

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[places.Place]:
        """Waits for memory and holds it for the block.

        Raises:
            WharfError: There is none, or the account's quota is used up;
                nothing ran for this sending.
        """
        with all_quotas.counted(self._quotas, run):
            place, wish = await self._wait(run)
        self._running += 1
        try:
            with (
                self._pool.holding(place.engine.name, wish.tokens),
                self._reader_promised(run, place),
            ):
                yield place
            self.learn_stay(place)
        finally:
            self._running -= 1
            hold = place.take_hold()
            if hold is not None:
                await self._give_back(place.engine, hold)
            self._line(run.service).wake_first()

    def learn_stay(self, place: places.Place) -> None:
        """Learns how long an answer that is whole has kept its memory."""
        took_ms = self._clock.now_ms() - place.since_ms
        self._work.decoded(took_ms, memory_part=place.memory_part)

    @contextlib.contextmanager
    def _reader_promised(
        self, run: runs.Run, place: places.Place
    ) -> Iterator[None]:
        """Chooses who reads the prompt, and counts it until it is read.

        Counted from now on, so that prompts that are placed in the same moment
        don't all go to the engine that was free before.
        """
        work = run.call.work
        if work is None:
            # Its size isn't known, so nothing says that a hand-over pays.
            yield
            return
        engines = self._open_to(run)
        place.readers = self._pool.to_prefill(engines, near=place.engine.domain)
        with contextlib.ExitStack() as promises:
            if place.readers:
                first = place.readers[0].name
                promises.enter_context(
                    self._pool.reading(first, work.prompt_tokens)
                )
            place.reading_ended = promises.close
            yield

    async def _wait(self, run: runs.Run) -> tuple[places.Place, _Wish]:
        began_ms = self._clock.now_ms()
        in_time_ms = self._patience.in_time_ms(run)
        is_late = in_time_ms <= 0.0
        wait_ms = self._patience.late_ms(run) if is_late else in_time_ms
        # A stream that broke is late but not put behind: its caller has a part
        # of the answer, which would be lost with the rest.
        is_behind = is_late and not run.may_have_run
        wish = self._wish(run)
        waiter = lines.Waiter(is_behind, began_ms + wait_ms)
        line = self._line(run.service)
        count = _ASKED_AT_FIRST
        with line.joined(waiter):
            while self._clock.now_ms() <= waiter.due_ms:
                place = await self._ask(run, wish, count=count)
                count = _ASKED_AGAIN
                line.wake_after(waiter)
                if place is not None:
                    waited_ms = self._clock.now_ms() - began_ms
                    decisions.placed(
                        run,
                        place.engine.name,
                        tokens=wish.tokens,
                        free_tokens=wish.free_tokens,
                        waited_ms=waited_ms,
                    )
                    return place, wish
                if self._all_stay_shut(run, waiter.due_ms):
                    break
                await self._pause(waiter)
        raise self._refusal(run, wish)

    def _open_to(self, run: runs.Run) -> Sequence[resources.Endpoint]:
        """Engines of its service to which a request may be sent."""
        engines = self._registry.of_service(run.service)
        if not run.backoff_until_ms:
            return engines
        return [e for e in engines if run.may_go_to(e.name, self._clock)]

    def _all_stay_shut(self, run: runs.Run, due_ms: float) -> bool:
        """Whether no engine may be asked until a request is given up."""
        wait_ms = self._wait_ms(run)
        return wait_ms is not None and self._clock.now_ms() + wait_ms > due_ms

    def _wait_ms(self, run: runs.Run) -> float | None:
        """Time until any engine may be asked again; see ``Restraints``."""
        if not run.backoff_until_ms and not self._restraints.has_any:
            return None
        now_ms = self._clock.now_ms()
        waits = [
            max(
                self._restraints.wait_ms([engine.name]) or 0.0,
                run.backoff_until_ms.get(engine.name, now_ms) - now_ms,
            )
            for engine in self._registry.of_service(run.service)
            if engine.can_decode
        ]
        return min(waits, default=0.0) or None

    async def _pause(self, waiter: lines.Waiter) -> None:
        """Waits until the request should ask again, or is given up."""
        every_ms = _FIRST_ASK_AGAIN_MS
        if self._work.decode_ms is not None:
            every_ms = self._work.decode_ms * _ASK_AGAIN_PART
        if waiter.is_late:
            every_ms *= _LATE_PACE
        every_ms *= 0.5 + self._rng.random()
        left_ms = waiter.due_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(max(1.0, min(every_ms, left_ms))):
                await waiter.woken()

    def _wish(self, run: runs.Run) -> _Wish:
        """What it asks for."""
        traits = run.traits
        assert traits is not None
        work = run.call.work
        if work is None:
            return _Wish(1, 0, traits.hold_max_ms)
        mean_tokens = self._work.prompt_tokens or float(work.prompt_tokens)
        self._lengths.expected(work.answer_tokens)
        margin = self._lengths.margin(
            prompt_tokens=mean_tokens, memory_tokens=traits.memory_tokens
        )
        tokens = work.prompt_tokens + int(work.answer_tokens * margin.part)
        # One that is larger than what is left of an empty engine is asked for
        # all the same.
        most = max(0, traits.memory_tokens - tokens)
        free_tokens = min(margin.free_tokens, most)
        return _Wish(tokens, free_tokens, traits.hold_max_ms)

    async def _ask(
        self, run: runs.Run, wish: _Wish, *, count: int
    ) -> places.Place | None:
        """Asks the engines that may have room, ``count`` at most."""
        assert run.traits is not None
        asked = self._pool.to_decode(
            self._open_to(run),
            tokens=wish.room,
            memory_tokens=run.traits.memory_tokens,
            near=run.domain,
            last=run.lost_by,
        )
        for engine in asked[:count]:
            # One permit for the reservation and the run that uses it; without
            # one the engine isn't asked for its memory either.
            has_limit = self._restraints.is_limited(engine.name)
            if has_limit and not await self._limits.take(engine.name):
                continue
            if not self._registry.takes_work(engine.name):
                continue
            try:
                hold = await self._reserve(run.traits, engine, wish)
            except client.EngineError as error:
                self._learn(run, error, wish)
                continue
            self._pool.has_room(engine.name)
            if not self._registry.takes_work(engine.name):
                # It said with the reservation that it leaves.
                await self._give_back(engine, hold)
                continue
            return places.Place(
                engine,
                hold,
                since_ms=self._clock.now_ms(),
                tokens=wish.tokens,
                memory_part=wish.tokens / run.traits.memory_tokens,
                has_permit=has_limit,
            )
        return None

    def _learn(
        self, run: runs.Run, error: client.EngineError, wish: _Wish
    ) -> None:
        if error.fault is client.EngineFault.REFUSED_FULL:
            self._pool.refused_room(error.engine, wish.room)
            return
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.replaced(error.engine)
        decisions.engine_failed(run, error, stage="reserve", took_ms=0.0)
        if error.fault is client.EngineFault.LOST:
            # It answers nothing, as if it weren't there. Each further call to
            # it would cost the line the time of one that is never answered:
            # 25 in five seconds, 0.7 s each, when two engines had gone silent.
            error = client.EngineError(
                client.EngineFault.UNREACHABLE, error.engine, error.detail
            )
        self._pool.failed(error)

    async def _reserve(
        self,
        traits: routes.EngineTraits,
        engine: resources.Endpoint,
        wish: _Wish,
    ) -> str:
        """Reserves memory where enough is free besides.

        Raises:
            EngineError: There isn't, or the engine can't be asked.
        """
        # A leader places a hundred requests a second and more; where it knows
        # that there is room, one call to the engine does instead of three. On
        # an engine that is nearly full only the engine knows how far answers
        # have outgrown what was reserved: without its word 31 of 640 answers
        # were put back in a burst, with it 12.
        is_clear = self._counts_all() and self._pool.has_clear_room(
            engine.name, tokens=wish.room, memory_tokens=traits.memory_tokens
        )
        if wish.free_tokens and not is_clear:
            # All of it in one call, so that a full engine costs one and not
            # three.
            check = await self._backends.reserve(
                engine, tokens=wish.room, ttl_ms=_CHECK_MS
            )
            await self._give_back(engine, check)
        return await self._backends.reserve(
            engine, tokens=wish.tokens, ttl_ms=wish.ttl_ms
        )

    def _refusal(self, run: runs.Run, wish: _Wish) -> errors.WharfError:
        engines = self._registry.of_service(run.service)
        decisions.not_placed(
            run,
            tokens=wish.tokens,
            free_tokens=wish.free_tokens,
            engines=self._pool.standings(engines, tokens=wish.room),
            waiting=len(self._line(run.service)),
            age_ms=self._registry.age_ms,
        )
        if run.may_have_run:
            return run.failure()
        after_ms = self._patience.come_back_ms(run.call, self._running)
        after_ms = max(after_ms, self._wait_ms(run) or 0.0)
        return errors.WharfError(
            errors.ErrorKind.QUEUE_FULL, retry_after_ms=after_ms
        )

    def _line(self, service: str) -> lines.Line:
        return self._lines.setdefault(service, lines.Line())

    async def _give_back(self, engine: resources.Endpoint, hold: str) -> None:
        with contextlib.suppress(client.EngineError):
            # The reservation ends by itself when its time is over.
            await self._backends.drop_reservation(engine, hold)
