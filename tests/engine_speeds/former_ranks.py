"""Ranks and role plans as they were before engines' speeds counted.

Kept to compare decisions with, not for any other use.
"""

from __future__ import annotations

from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import ranking

PREFILL = resources.Role.PREFILL
DECODE = resources.Role.DECODE


class FormerRanking(ranking.EngineRanking):
    """The former order of engines."""

    def sorted_for_decode(
        self,
        engines,
        *,
        tokens,
        memory_tokens,
        preferred_domain,
        failed_names,
        limited,
        urgency,
    ):
        step_tokens = max(1.0, memory_tokens / 4)

        def rank(engine):
            state = self._state_of(engine.name)
            return (
                state.breaker.is_degraded,
                int(state.reserved_tokens // step_tokens),
                engine.name in limited,
                engine.domain != preferred_domain,
                state.reserved_tokens,
                self._rng.random(),
            )

        return sorted(engines, key=lambda e: (e.name in failed_names, rank(e)))

    def sorted_for_prefill(
        self, engines, *, tokens, preferred_domain, limited, urgency
    ):
        def rank(engine):
            state = self._state_of(engine.name)
            token_ms = self._cost_estimates.token_ms or 0.05
            elapsed_ms = self._clock.now_ms() - state.prefill_wait_at_ms
            others_ms = max(0.0, state.prefill_wait_ms - elapsed_ms)
            wait_ms = max(state.prefill_tokens * token_ms, others_ms)
            return (
                state.breaker.is_degraded,
                engine.name in limited,
                wait_ms // 20.0,
                engine.domain != preferred_domain,
                self._rng.random(),
            )

        return sorted(engines, key=rank)


def use_in(pool) -> None:
    """Lets an engine pool rank engines as before."""
    new = pool._ranking
    pool._ranking = FormerRanking(
        new._cost_estimates, new._speeds, new._state_of, new._clock, new._rng
    )


def planned_changes(engines, prefill_ms, decode_ms):
    """The former plan: names of the engines to change, and their role."""
    prefill = [e for e in engines if e.role is PREFILL]
    decode = [e for e in engines if e.role is DECODE]
    total, current = len(prefill) + len(decode), len(prefill)
    if prefill_ms is None or decode_ms is None:
        target = min(max(current, 1), total - 1) if total > 1 else 0
    else:
        target = _target_count(total, current, prefill_ms, decode_ms)

    def domain_count(engine):
        return sum(e.domain == engine.domain for e in prefill), engine.name

    if target < current:
        surplus = sorted(prefill, key=domain_count, reverse=True)
        return [(e.name, DECODE) for e in surplus[: current - target]]
    candidates = sorted(decode, key=domain_count)
    return [(e.name, PREFILL) for e in candidates[: target - current]]


def _target_count(total, current, prefill_ms, decode_ms):
    def rate(prefills, decodes):
        decode_rate, prefill_rate = decodes / decode_ms, prefills / prefill_ms
        if decode_rate <= prefill_rate:
            return decode_rate
        spare_ms = decodes - prefill_rate * decode_ms
        return prefill_rate + spare_ms / (decode_ms + prefill_ms * 8.0)

    def capacity(count):
        full = rate(count, total - count)
        if not count:
            return full
        return full * (1.0 - 0.3) + rate(count - 1, total - count) * 0.3

    best = max(range(total + 1), key=capacity)
    return best if capacity(best) >= capacity(current) * 1.1 else current
