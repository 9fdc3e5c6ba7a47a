"""Order in which engines are asked, by load and speed.

Load pattern: bursts that fill the memory of all decode engines, on engines of
which some are slow. While all engines count as equally fast, speed has no
effect on the order.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import engine_state
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.engine_speeds import urgency as urgencies
from jujubewharf.forwarding import costs

# Share of an engine's memory below which no check for headroom is needed. The
# rest absorbs responses that outgrow their reservations.
AMPLE_MEMORY_SHARE = 0.7
# Difference in reserved memory, as a share of an engine's memory, from which
# a less loaded engine is preferred to one of the request's own domain.
_LOAD_STEP_SHARE = 1 / 4
# Prefill engines whose expected waits differ by less than this count as equal;
# the domain then decides. It is also the cost of crossing domains.
_EQUAL_WAIT_MS = 20.0
# Prefill time per token that is assumed before it was observed. Only affects
# the ranking of engines.
_DEFAULT_TOKEN_MS = 0.05
# Relative times are compared in steps of a tenth. Finer differences are noise,
# and would send all requests to one of several equally slow engines.
_SPEED_DIGITS = 1

_PREFILL = all_speeds.Stage.PREFILL
_DECODE = all_speeds.Stage.DECODE


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodeSpeed:
    """Speed of a decode engine as it counts for one request.

    Attributes:
        is_too_slow: Whether it can't complete a response before the request's
            deadline.
        is_slowed: Whether it reports that it is slower than usual now.
        relative_time: Sort key; its time relative to the median engine, or the
            negative of that for requests that can wait.
    """

    is_too_slow: bool = False
    is_slowed: bool = False
    relative_time: float = 1.0


class EngineRanking:
    """Sorts engines for a request, the preferred one first.

    Args:
        cost_estimates: Observed costs of requests.
        speeds: Observed speeds of engines.
        state_of: Returns the state of an engine.
        clock: Time source.
        rng: Breaks ties at random, so that instances don't all select the
            same engine.
    """

    def __init__(
        self,
        cost_estimates: costs.CostEstimates,
        speeds: all_speeds.EngineSpeeds,
        state_of: Callable[[str], engine_state.EngineState],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._cost_estimates = cost_estimates
        self._speeds = speeds
        self._state_of = state_of
        self._clock = clock
        self._rng = rng

    def sorted_for_decode(
        self,
        engines: Sequence[resources.Endpoint],
        *,
        tokens: int,
        memory_tokens: int,
        preferred_domain: str,
        failed_names: Collection[str],
        limited: frozenset[str],
        urgency: urgencies.Urgency,
    ) -> list[resources.Endpoint]:
        """Returns decode engines in the order in which they are asked.

        Args:
            engines: Available engines.
            tokens: Required memory, in tokens.
            memory_tokens: Memory of one engine, in tokens.
            preferred_domain: Failure domain of the instance that streams the
                response.
            failed_names: Names of engines that have failed the request and are
                likely to fail it again; ranked last.
            limited: Names of engines with a rate limit. They are overloaded,
                so others go first.
            urgency: How urgent the request is.
        """
        step_tokens = max(1.0, memory_tokens * _LOAD_STEP_SHARE)
        decode_speeds = self._decode_speeds(engines, urgency)

        def rank(engine: resources.Endpoint) -> tuple[object, ...]:
            state = self._state_of(engine.name)
            speed = decode_speeds.get(engine.name, _DecodeSpeed())
            return (
                engine.name in failed_names,
                state.breaker.is_degraded,
                speed.is_too_slow,
                speed.is_slowed,
                int(state.reserved_tokens // step_tokens),
                engine.name in limited,
                # Ranked before small differences in load: a response that
                # crosses domains fails with a partition between them.
                engine.domain != preferred_domain,
                # After load: filling fast engines first makes each of their
                # responses slower and concentrates what a crash loses.
                speed.relative_time,
                state.reserved_tokens,
                self._rng.random(),
            )

        return sorted(engines, key=rank)

    def sorted_for_prefill(
        self,
        engines: Sequence[resources.Endpoint],
        *,
        tokens: int,
        preferred_domain: str,
        limited: frozenset[str],
        urgency: urgencies.Urgency,
    ) -> list[resources.Endpoint]:
        """Returns prefill engines in the order in which they are asked.

        Args:
            engines: Available engines.
            tokens: Prompt size, in tokens.
            preferred_domain: Failure domain of the engine that will fetch the
                result; transfers within a domain are faster and cheaper.
            limited: Names of engines with a rate limit.
            urgency: How urgent the request is.
        """
        times = {
            e.name: self._speeds.at_present(e.name, _PREFILL) for e in engines
        }
        has_unequal = any(time != 1.0 for time in times.values())
        now_ms = self._clock.now_ms()

        def rank(engine: resources.Endpoint) -> tuple[object, ...]:
            state = self._state_of(engine.name)
            is_crossing = engine.domain != preferred_domain
            time = times[engine.name]
            wait_ms = self._expected_wait_ms(state, time)
            order: tuple[object, ...]
            if has_unequal:
                end_ms = wait_ms + tokens * self._token_ms * time
                end_ms += _EQUAL_WAIT_MS * is_crossing
                added_ms = tokens * self._token_ms * (time - 1.0)
                takes_slow = (
                    urgency.can_wait
                    and wait_ms < _EQUAL_WAIT_MS
                    and now_ms + added_ms <= urgency.latest_start_ms
                )
                order = (*self._slow_first(engine.name, takes_slow), end_ms)
            else:
                order = (wait_ms // _EQUAL_WAIT_MS, is_crossing)
            return (
                state.breaker.is_degraded,
                engine.name in limited,
                *order,
                self._rng.random(),
            )

        return sorted(engines, key=rank)

    def _decode_speeds(
        self,
        engines: Sequence[resources.Endpoint],
        urgency: urgencies.Urgency,
    ) -> dict[str, _DecodeSpeed]:
        """Returns the speeds by engine; empty if all count as equal."""
        hold_ms = self._cost_estimates.reference_hold_ms or 0.0
        left_ms = urgency.deadline_at_ms - self._clock.now_ms()
        keys: dict[str, _DecodeSpeed] = {}
        has_unequal = False
        for engine in engines:
            lasting = self._speeds.lasting(engine.name, _DECODE)
            slowdown = self._speeds.slowdown(engine.name)
            has_unequal = has_unequal or lasting != 1.0 or slowdown != 1.0
            # The key puts slow engines first for requests that can wait.
            relative_time = -lasting if urgency.can_wait else lasting
            keys[engine.name] = _DecodeSpeed(
                is_too_slow=hold_ms * lasting > left_ms,
                is_slowed=slowdown != 1.0,
                relative_time=round(relative_time, _SPEED_DIGITS),
            )
        return keys if has_unequal else {}

    def _slow_first(self, name: str, is_wanted: bool) -> tuple[bool, float]:
        """Returns a key that puts slow idle engines first if wanted."""
        if not is_wanted or self._speeds.slowdown(name) != 1.0:
            return (True, 0.0)
        return (False, -self._speeds.lasting(name, _PREFILL))

    @property
    def _token_ms(self) -> float:
        return self._cost_estimates.token_ms or _DEFAULT_TOKEN_MS

    def _expected_wait_ms(
        self, state: engine_state.EngineState, time: float
    ) -> float:
        """Returns the expected time until a prefill engine starts a prompt.

        Prompts of this instance are known. Those of other instances are
        estimated from how long the last prompt was queued, less the time since.
        """
        elapsed_ms = self._clock.now_ms() - state.prefill_wait_at_ms
        other_instances_ms = max(0.0, state.prefill_wait_ms - elapsed_ms)
        own_ms = state.prefill_tokens * self._token_ms * time
        return max(own_ms, other_instances_ms)
