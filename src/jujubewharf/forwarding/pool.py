"""State of the engines as this instance knows it, and their selection."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import enum
import random

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import engine_state
from jujubewharf.engine_speeds import ranking as rankings
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.engine_speeds import urgency as urgencies
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import costs
from jujubewharf.routing import breaker as breakers

# Time for which an engine is skipped after it refused a request because it has
# another role. Its new registration is read within that time.
ROLE_REFUSAL_PAUSE_MS = 1_000.0
# Time for which an engine that changes its role is skipped unless its new
# registration arrives earlier. It first completes its responses, for up to 7 s,
# and then restarts, which takes 6 s. Requests sent meanwhile prolong that: when
# six instances sent one every 4 s, the change took 12.2 s instead of 9.1 s.
ROLE_CHANGE_PAUSE_MS = 10_000.0
# Time for which a prefill engine whose results can't be fetched is skipped.
FETCH_FAILURE_PAUSE_MS = 3_000.0
# Time for which an engine that refused for lack of memory is skipped, as a
# share of the mean time between releases of memory. It doubles with each
# further refusal up to the second share. Other instances compete for the same
# memory: shorter pauses cause more refusals, longer ones leave memory unused.
_FIRST_PAUSE_SHARE = 1 / 8
_MAX_PAUSE_SHARE = 1 / 2
# More than the longest pause takes; the power of any count overflows a float.
_MAX_DOUBLINGS = 8
# Time between releases of memory that is assumed before it was observed.
_DEFAULT_RELEASE_INTERVAL_MS = 400.0


class Availability(enum.Enum):
    """Whether an engine is asked at present, or why it is skipped."""

    AVAILABLE = "asked"
    UNREACHABLE = "unreachable"
    OTHER_ROLE = "other_role"
    FULL = "full"
    DEFERRED = "deferred"


class EnginePool:
    """Tracks the state of engines and ranks them for requests.

    Args:
        cost_estimates: Observed costs of requests.
        backpressure: Rate limits, backoffs and drains that engines announced.
        clock: Clock for pauses and circuit breakers.
        rng: Breaks ties at random, so that instances don't all select the
            same engine.
        speeds: Observed speeds of engines; shared with the role controller.

    Attributes:
        speeds: Observed speeds of engines.
    """

    def __init__(
        self,
        cost_estimates: costs.CostEstimates,
        backpressure: all_backpressure.Backpressure,
        clock: clocks.Clock,
        rng: random.Random,
        speeds: all_speeds.EngineSpeeds | None = None,
    ) -> None:
        self.speeds = speeds or all_speeds.EngineSpeeds(clock)
        self._cost_estimates = cost_estimates
        self._backpressure = backpressure
        self._clock = clock
        self._ranking = rankings.EngineRanking(
            cost_estimates, self.speeds, self.state, clock, rng
        )
        self._states: dict[str, engine_state.EngineState] = {}

    def state(self, name: str) -> engine_state.EngineState:
        """Returns the state of an engine; a new one is assumed healthy."""
        state = self._states.get(name)
        if state is None:
            state = engine_state.EngineState(breakers.Breaker(self._clock))
            self._states[name] = state
        return state

    def update_engines(self, engines: Sequence[resources.Endpoint]) -> None:
        """Updates the set of engines and their roles.

        Drops the state of engines that are missing from ``engines`` and have
        no work of this instance.
        """
        for engine in engines:
            if engine.role is resources.Role.PLAIN:
                continue
            state = self.state(engine.name)
            if state.role is not engine.role:
                state.role = engine.role
                state.unavailable_until_ms = 0.0
        self.speeds.update_engines(engines)
        names = {engine.name for engine in engines}
        for name, state in list(self._states.items()):
            is_in_use = state.reserved_tokens or state.prefill_tokens
            if name not in names and not is_in_use:
                del self._states[name]

    def decode_candidates(
        self,
        engines: Sequence[resources.Endpoint],
        *,
        tokens: int,
        memory_tokens: int,
        preferred_domain: str,
        failed_names: Collection[str] = (),
        urgency: urgencies.Urgency = urgencies.UNKNOWN,
    ) -> list[resources.Endpoint]:
        """Returns the decode engines to ask, the preferred one first.

        Skips engines that recently refused or can't be reached. Engines that
        have failed the request are ranked last.

        Args:
            engines: Engines to choose from.
            tokens: Required memory, in tokens.
            memory_tokens: Memory of one engine, in tokens.
            preferred_domain: Failure domain of the instance that streams the
                response.
            failed_names: Names of engines that have already failed the request
                and are likely to fail it again.
            urgency: How urgent the request is.
        """
        # Looked up once per call: most fleets have none, while hundreds of
        # engines are ranked for each request.
        deferred = self._backpressure.deferred_names()
        limited = self._backpressure.limited_names()
        candidates = [
            engine
            for engine in engines
            if engine.can_decode
            and engine.name not in deferred
            and self._availability(engine, tokens) is Availability.AVAILABLE
        ]
        return self._ranking.sorted_for_decode(
            candidates,
            tokens=tokens,
            memory_tokens=memory_tokens,
            preferred_domain=preferred_domain,
            failed_names=failed_names,
            limited=limited,
            urgency=urgency,
        )

    def has_ample_memory(
        self, name: str, *, tokens: int, memory_tokens: int
    ) -> bool:
        """Returns whether an engine needs no check for free memory.

        Only meaningful if this instance made all of the engine's reservations.

        Args:
            name: Name of the engine.
            tokens: Required memory, in tokens.
            memory_tokens: Memory of the engine, in tokens.
        """
        reserved_tokens = self.state(name).reserved_tokens
        return reserved_tokens + tokens <= (
            memory_tokens * rankings.AMPLE_MEMORY_SHARE
        )

    def names_by_availability(
        self, engines: Sequence[resources.Endpoint], *, tokens: int
    ) -> dict[str, list[str]]:
        """Groups decode engines by availability, for log lines."""
        names: dict[str, list[str]] = {}
        for engine in engines:
            if engine.can_decode:
                availability = self._availability(engine, tokens)
                if self._backpressure.is_deferred(engine.name):
                    availability = Availability.DEFERRED
                names.setdefault(availability.value, []).append(engine.name)
        return names

    def prefill_candidates(
        self,
        engines: Sequence[resources.Endpoint],
        *,
        preferred_domain: str,
        tokens: int = 0,
        urgency: urgencies.Urgency = urgencies.UNKNOWN,
    ) -> list[resources.Endpoint]:
        """Returns the prefill engines to ask, the preferred one first.

        Args:
            engines: Engines to choose from.
            preferred_domain: Failure domain of the engine that will fetch the
                result; transfers within a domain are faster and cheaper.
            tokens: Prompt size, in tokens.
            urgency: How urgent the request is.
        """
        deferred = self._backpressure.deferred_names()
        candidates = [
            engine
            for engine in engines
            if engine.role is resources.Role.PREFILL
            and engine.name not in deferred
            and self._availability(engine) is Availability.AVAILABLE
        ]
        limited = self._backpressure.limited_names()
        return self._ranking.sorted_for_prefill(
            candidates,
            tokens=tokens,
            preferred_domain=preferred_domain,
            limited=limited,
            urgency=urgency,
        )

    def record_failure(self, error: client.EngineError) -> None:
        """Records a failed call to an engine."""
        state = self.state(error.engine)
        now_ms = self._clock.now_ms()
        match error.fault:
            case client.EngineFault.NO_PATH:
                return
            case client.EngineFault.REFUSED_ROLE:
                state.unavailable_until_ms = now_ms + ROLE_REFUSAL_PAUSE_MS
            case client.EngineFault.KV_GONE:
                state.unavailable_until_ms = now_ms + FETCH_FAILURE_PAUSE_MS
            case _:
                state.breaker.record_failure(error.fault)

    def record_silence(self, name: str) -> None:
        """Records that an engine gave no answer in time about its state."""
        self.state(name).breaker.record_silence()

    def record_memory_refusal(self, name: str, tokens: int) -> None:
        """Records that an engine had less than ``tokens`` memory free."""
        state = self.state(name)
        now_ms = self._clock.now_ms()
        if now_ms < state.full_until_ms:
            state.refused_tokens = min(state.refused_tokens, tokens)
            return
        release_interval_ms = (
            self._cost_estimates.decode_ms or _DEFAULT_RELEASE_INTERVAL_MS
        ) * self.decode_time(name)
        doublings = min(state.refusals, _MAX_DOUBLINGS)
        pause_share = min(_MAX_PAUSE_SHARE, _FIRST_PAUSE_SHARE * 2**doublings)
        state.full_until_ms = now_ms + release_interval_ms * pause_share
        state.refused_tokens = tokens
        state.refusals += 1

    def clear_memory_refusals(self, name: str) -> None:
        """Clears earlier refusals after an engine had or regained memory."""
        state = self.state(name)
        state.full_until_ms = 0.0
        state.refusals = 0

    def record_prefill(
        self, name: str, *, took_ms: float, tokens: int
    ) -> float:
        """Records the duration of a prefill.

        Any time above the expected prefill time counts as queueing.

        Returns:
            The part of ``took_ms`` since the engine's previous prefill ended,
            in milliseconds.
        """
        state = self.state(name)
        now_ms = self._clock.now_ms()
        busy_ms = min(took_ms, now_ms - state.prefill_ended_ms)
        state.prefill_ended_ms = now_ms
        time = self.speeds.at_present(name, all_speeds.Stage.PREFILL)
        self.speeds.record_prefill(
            name, took_ms, tokens=tokens, busy_ms=busy_ms
        )
        token_ms = self._cost_estimates.token_ms
        if token_ms is not None:
            expected_ms = tokens * token_ms * time
            state.prefill_wait_ms = max(0.0, took_ms - expected_ms)
            state.prefill_wait_at_ms = now_ms
        return busy_ms

    def decode_time(self, name: str) -> float:
        """Returns a response's time on an engine, relative to the median."""
        return self.speeds.lasting(name, all_speeds.Stage.DECODE)

    def record_event_time(self, name: str, event_ms: float) -> None:
        """Records the mean time between the first events of a stream."""
        reserved_tokens = self.state(name).reserved_tokens
        self.speeds.record_event_time(
            name, event_ms, reserved_tokens=reserved_tokens
        )

    def record_success(self, name: str) -> None:
        """Records a successful call to an engine."""
        self.state(name).breaker.record_success()

    def record_role_change(self, name: str) -> None:
        """Records that an engine is changing its role."""
        until_ms = self._clock.now_ms() + ROLE_CHANGE_PAUSE_MS
        self.state(name).unavailable_until_ms = until_ms

    def record_prefill_refusal(self, name: str) -> None:
        """Records that a prefill engine refused a prompt."""
        until_ms = self._clock.now_ms() + ROLE_REFUSAL_PAUSE_MS
        self.state(name).unavailable_until_ms = until_ms

    @contextlib.contextmanager
    def holding_memory(self, name: str, tokens: int) -> Iterator[None]:
        """Counts memory as reserved on an engine while the block runs."""
        state = self.state(name)
        state.reserved_tokens += tokens
        try:
            yield
        finally:
            state.reserved_tokens -= tokens
            self.clear_memory_refusals(name)

    @contextlib.contextmanager
    def prefilling(self, name: str, tokens: int) -> Iterator[None]:
        """Counts a prompt as in prefill on an engine while the block runs."""
        state = self.state(name)
        state.prefill_tokens += tokens
        try:
            yield
        finally:
            state.prefill_tokens -= tokens

    def _availability(
        self, engine: resources.Endpoint, tokens: int = 0
    ) -> Availability:
        state = self.state(engine.name)
        now_ms = self._clock.now_ms()
        if state.breaker.is_open:
            return Availability.UNREACHABLE
        if state.unavailable_until_ms > now_ms:
            return Availability.OTHER_ROLE
        if state.full_until_ms > now_ms and tokens >= state.refused_tokens:
            return Availability.FULL
        return Availability.AVAILABLE
