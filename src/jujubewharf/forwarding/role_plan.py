"""Plans how many engines of a service are prefill and decode engines."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from jujubewharf.configuration import resources

# Smallest relative gain in capacity that justifies a change. While an engine
# changes roles it does no work for ten seconds or more.
_MIN_GAIN = 0.1
# Cost of a prefill on a decode engine relative to one on a prefill engine. It
# is slower there and stalls the responses that the engine is generating.
_DECODE_ENGINE_PREFILL_COST = 8.0
# Weight of the capacity that would be left after the loss of one prefill
# engine. A larger weight would keep a spare prefill engine where decode
# memory is scarce.
_LOSS_WEIGHT = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine that should get another role."""

    engine: resources.Endpoint
    role: resources.Role


def plan_changes(
    engines: Sequence[resources.Endpoint],
    *,
    prefill_ms: float | None,
    decode_ms: float | None,
) -> list[RoleChange]:
    """Returns role changes that balance the load of both pools.

    Args:
        engines: All engines of one service that accept requests.
        prefill_ms: Time that a prompt keeps a prefill engine busy; ``None``
            before it was observed.
        decode_ms: Time that a response would hold a decode engine's whole
            memory; ``None`` before it was observed.

    Returns:
        The changes, the most important one first.
    """
    prefill_engines = [e for e in engines if e.role is resources.Role.PREFILL]
    decode_engines = [e for e in engines if e.role is resources.Role.DECODE]
    total = len(prefill_engines) + len(decode_engines)
    if prefill_ms is None or decode_ms is None:
        target = _target_without_costs(total, len(prefill_engines))
    else:
        target = _target_count(
            total, len(prefill_engines), prefill_ms, decode_ms
        )
    if target < len(prefill_engines):
        surplus = sorted(
            prefill_engines,
            key=lambda e: _domain_count(e, prefill_engines),
            reverse=True,
        )
        return [
            RoleChange(engine, resources.Role.DECODE)
            for engine in surplus[: len(prefill_engines) - target]
        ]
    if target > len(prefill_engines):
        candidates = sorted(
            decode_engines, key=lambda e: _domain_count(e, prefill_engines)
        )
        return [
            RoleChange(engine, resources.Role.PREFILL)
            for engine in candidates[: target - len(prefill_engines)]
        ]
    return []


def _target_without_costs(total: int, current: int) -> int:
    """Returns the number of prefill engines before costs are known.

    Keeps the declared roles unless one of the pools is empty: without a
    prefill engine the prefill time is never observed.
    """
    if total < 2:
        return 0
    return min(max(current, 1), total - 1)


def _target_count(
    total: int, current: int, prefill_ms: float, decode_ms: float
) -> int:
    """Returns the number of prefill engines with the highest capacity."""

    def capacity(prefill_count: int) -> float:
        decode_count = total - prefill_count
        full_rate = _requests_per_ms(
            prefill_count, decode_count, prefill_ms, decode_ms
        )
        if not prefill_count:
            return full_rate
        reduced_rate = _requests_per_ms(
            prefill_count - 1, decode_count, prefill_ms, decode_ms
        )
        return full_rate * (1.0 - _LOSS_WEIGHT) + reduced_rate * _LOSS_WEIGHT

    best = max(range(total + 1), key=capacity)
    if capacity(best) < capacity(current) * (1.0 + _MIN_GAIN):
        return current
    return best


def _requests_per_ms(
    prefill_count: int, decode_count: int, prefill_ms: float, decode_ms: float
) -> float:
    """Returns the request rate that the pools can sustain.

    Decode engines also take the prefills that exceed the prefill pool.
    """
    decode_rate = decode_count / decode_ms
    prefill_rate = prefill_count / prefill_ms
    if decode_rate <= prefill_rate:
        return decode_rate
    direct_ms = prefill_ms * _DECODE_ENGINE_PREFILL_COST
    spare_ms = decode_count - prefill_rate * decode_ms
    return prefill_rate + spare_ms / (decode_ms + direct_ms)


def _domain_count(
    engine: resources.Endpoint, prefill_engines: Sequence[resources.Endpoint]
) -> tuple[int, str]:
    """Returns the number of prefill engines in the engine's domain.

    Used as sort key, with ties broken by name. Spreading prefill engines over
    domains shortens transfers and limits the effect of losing a domain.
    """
    return (
        sum(e.domain == engine.domain for e in prefill_engines),
        engine.name,
    )
