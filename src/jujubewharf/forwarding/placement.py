"""Finds a decode engine with memory for a request, or says when to come back.

Engines themselves keep the account of their memory: several instances send to
each, and load reports lag. So an engine is asked to reserve what the request
will need, and its answer counts.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import pool as pools
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import runs

# Part of the target for which a request waits for memory; the rest is for
# reading the prompt and fetching the result.
WAIT_OF_TARGET = 0.65
# A request that has missed its target anyway waits this long, since to be
# refused again would cost it the answer. Callers leave a stream that hasn't
# begun after 2 s or four times the target, whichever is longer.
LATE_WAIT_MS = 2_000.0
LATE_WAIT_OF_TARGET = 3.6
# What is left of its time when its answer begins must do for the answer.
ANSWER_MS = 4_000.0
# Time between two rounds of asking, for requests in time and late ones. The
# late ones ask less often, so that those in time get most of what is freed.
ASK_EVERY_MS = 70.0
ASK_EVERY_LATE_MS = 250.0
# Reservations are for this long; reading a prompt takes a tenth of a second
# for each 5,000 tokens, and more where others are read before it.
RESERVE_MS = 1_500.0
# Part of the expected answer that memory is reserved for. An engine counts what
# is reserved as used, so whoever outgrows its reservation on an engine that is
# all reserved is put back and read again. Most answers are at other places
# than their ends, so less than the whole is reserved: with 1.3 of it and no
# headroom 21 requests were put back in 34 s on six engines, else 1 to 10 ...
RESERVED_PART = 0.75
# ... and this part of an engine's memory must be free besides, for those that
# outgrow theirs.
HEADROOM_PART = 0.2
# The same for requests that have missed their target: what is freed while
# memory is short then goes to those that can still meet theirs. Over 18 days
# a site, paired with the same days without, streams in time rose from 224 to
# 242 a day on six engines and from 201 to 225 on five.
LATE_HEADROOM_PART = 0.35
# The check of the headroom is a reservation that is given back at once.
HEADROOM_MS = 300.0
# When to come back after a refusal: a request keeps its memory for some
# seconds, and a burst that fills all engines lasts about as long. Callers with
# 14 s of time come back within a third of what is left of it. Coming back
# after 2.5 to 4 s they met the same burst more often: 225 streams a day in
# time on five engines instead of 231, over 18 paired days.
COME_BACK_MS = 3_300.0
COME_BACK_SPREAD_MS = 1_300.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Wish:
    """What a request asks engines for, and how patiently.

    Attributes:
        tokens: Memory that it will need.
        headroom_tokens: Memory that must be free besides.
        wait_ms: How long it may be asked for.
        every_ms: Time between two rounds of asking.
    """

    tokens: int
    headroom_tokens: int
    wait_ms: float
    every_ms: float


class Place:
    """Memory reserved on a decode engine.

    Args:
        engine: The engine.
        hold: Names the reservation; ``None`` for a request without size.

    Attributes:
        engine: The engine.
    """

    def __init__(self, engine: resources.Endpoint, hold: str | None) -> None:
        self.engine = engine
        self._hold = hold

    def take_hold(self) -> str | None:
        """The reservation, which a sending uses up; given out once."""
        hold, self._hold = self._hold, None
        return hold


class Placement:
    """Reserves memory for requests.

    Args:
        backends: Calls engines.
        registry: Tells which engines take work.
        pool: What is known of the engines.
        work: Learns what requests cost.
        memory_tokens: Tokens that an engine of a service holds.
        clock: Time.
        rng: Spreads the times at which callers come back.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        pool: pools.EnginePool,
        work: costs.WorkCosts,
        memory_tokens: Callable[[str], int],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._pool = pool
        self._work = work
        self._memory_tokens = memory_tokens
        self._clock = clock
        self._rng = rng
        self._longest_patience_ms: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[Place]:
        """Waits for memory and holds it for the block.

        Raises:
            WharfError: There is none; nothing ran for this sending.
        """
        tokens = _tokens(run.call)
        place = await self._wait(run, tokens)
        began_ms = self._clock.now_ms()
        try:
            with self._pool.holding(place.engine.name, tokens):
                yield place
            took_ms = self._clock.now_ms() - began_ms
            part = tokens / self._memory_tokens(run.service)
            self._work.decoded(took_ms, memory_part=part)
        finally:
            hold = place.take_hold()
            if hold is not None:
                await self._give_back(place.engine, hold)

    async def _wait(self, run: runs.Run, tokens: int) -> Place:
        began_ms = self._clock.now_ms()
        wish = self._wish(run, tokens)
        while True:
            place = await self._ask_all(run, wish)
            waited_ms = self._clock.now_ms() - began_ms
            if place is not None:
                decisions.placed(
                    run, place.engine.name, tokens=tokens, waited_ms=waited_ms
                )
                return place
            if waited_ms + wish.every_ms > wish.wait_ms:
                raise self._refusal(run)
            spread = 0.5 + self._rng.random()
            await self._clock.sleep_ms(wish.every_ms * spread)

    def _wish(self, run: runs.Run, tokens: int) -> _Wish:
        target_ms = run.route.target_ms
        spent_ms = self._spent_ms(run.call, run.route.name)
        in_time_ms = target_ms * WAIT_OF_TARGET - spent_ms
        is_late = in_time_ms <= 0 or run.may_have_run
        # A stream that broke is late but not put behind: its caller has a part
        # of the answer, which would be lost with the rest.
        is_behind = is_late and not run.may_have_run
        memory = self._memory_tokens(run.service)
        part = LATE_HEADROOM_PART if is_behind else HEADROOM_PART
        headroom = int(memory * part)
        if not is_late:
            return _Wish(tokens, headroom, in_time_ms, ASK_EVERY_MS)
        wait_ms = min(
            max(LATE_WAIT_MS, target_ms * LATE_WAIT_OF_TARGET),
            run.left_ms(self._clock) - ANSWER_MS,
        )
        return _Wish(tokens, headroom, wait_ms, ASK_EVERY_LATE_MS)

    async def _ask_all(self, run: runs.Run, wish: _Wish) -> Place | None:
        engines = self._registry.of_service(run.service)
        for engine in self._pool.to_decode(engines, last=run.lost_by):
            if not self._registry.takes_work(engine.name):
                continue
            try:
                hold = await self._reserve(engine, wish)
            except client.EngineError as error:
                if error.fault is client.EngineFault.REFUSED_IDENTITY:
                    self._registry.replaced(engine.name)
                self._pool.failed(error)
                if error.fault is not client.EngineFault.REFUSED_FULL:
                    decisions.engine_failed(
                        run, error, stage="reserve", took_ms=0.0
                    )
                continue
            return Place(engine, hold)
        return None

    async def _reserve(self, engine: resources.Endpoint, wish: _Wish) -> str:
        """Reserves memory where enough is free besides.

        Raises:
            EngineError: There isn't, or the engine can't be asked.
        """
        check = await self._backends.reserve(
            engine, tokens=wish.headroom_tokens, ttl_ms=HEADROOM_MS
        )
        try:
            return await self._backends.reserve(
                engine, tokens=wish.tokens, ttl_ms=RESERVE_MS
            )
        finally:
            await self._give_back(engine, check)

    def _spent_ms(self, call: calls.Call, route: str) -> float:
        """Time that the caller waited before this sending.

        A caller that was refused and came back has less patience left than
        those of its route begin with; the difference is what it has waited.
        """
        if call.patience_ms is None:
            return 0.0
        longest_ms = max(
            self._longest_patience_ms.get(route, 0.0), call.patience_ms
        )
        self._longest_patience_ms[route] = longest_ms
        return longest_ms - call.patience_ms

    def _refusal(self, run: runs.Run) -> errors.WharfError:
        after_ms = COME_BACK_MS + COME_BACK_SPREAD_MS * self._rng.random()
        engines = self._registry.of_service(run.service)
        decisions.not_placed(
            run,
            tokens=_tokens(run.call),
            engines=self._pool.standings(engines),
            age_ms=self._registry.age_ms,
        )
        if run.may_have_run:
            return run.failure()
        return errors.WharfError(
            errors.ErrorKind.QUEUE_FULL, retry_after_ms=after_ms
        )

    async def _give_back(self, engine: resources.Endpoint, hold: str) -> None:
        with contextlib.suppress(client.EngineError):
            # The reservation ends by itself after RESERVE_MS.
            await self._backends.drop_reservation(engine, hold)


def _tokens(call: calls.Call) -> int:
    if call.work is None:
        return 1
    work = call.work
    output = work.output_tokens
    if work.expected_tokens is not None:
        output = min(output, work.expected_tokens)
    return work.prompt_tokens + int(output * RESERVED_PART)
