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
_DIRECT_COST = 8.0
# Weight of the capacity that would be left after the loss of one prefill
# engine. A larger weight would keep a spare prefill engine where decode
# memory is scarce.
_LOSS_WEIGHT = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An engine that should get another role."""

    engine: resources.Endpoint
    role: resources.Role


def changes(
    engines: Sequence[resources.Endpoint],
    *,
    prefill_ms: float | None,
    decode_ms: float | None,
) -> list[Change]:
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
    readers = [e for e in engines if e.role is resources.Role.PREFILL]
    writers = [e for e in engines if e.role is resources.Role.DECODE]
    total = len(readers) + len(writers)
    if prefill_ms is None or decode_ms is None:
        wanted = _one_of_each(total, len(readers))
    else:
        wanted = _wanted(total, len(readers), prefill_ms, decode_ms)
    if wanted < len(readers):
        surplus = sorted(
            readers, key=lambda e: _crowd(e, readers), reverse=True
        )
        return [
            Change(engine, resources.Role.DECODE)
            for engine in surplus[: len(readers) - wanted]
        ]
    if wanted > len(readers):
        missing = sorted(writers, key=lambda e: _crowd(e, readers))
        return [
            Change(engine, resources.Role.PREFILL)
            for engine in missing[: wanted - len(readers)]
        ]
    return []


def _one_of_each(total: int, present: int) -> int:
    """Returns the number of prefill engines before costs are known.

    Keeps the declared roles unless one of the pools is empty: without a
    prefill engine the prefill time is never observed.
    """
    if total < 2:
        return 0
    return min(max(present, 1), total - 1)


def _wanted(
    total: int, present: int, prefill_ms: float, decode_ms: float
) -> int:
    """Returns the number of prefill engines with the highest capacity."""

    def capacity(readers: int) -> float:
        writers = total - readers
        whole = _requests_per_ms(readers, writers, prefill_ms, decode_ms)
        if not readers:
            return whole
        less = _requests_per_ms(readers - 1, writers, prefill_ms, decode_ms)
        return whole * (1.0 - _LOSS_WEIGHT) + less * _LOSS_WEIGHT

    best = max(range(total + 1), key=capacity)
    if capacity(best) < capacity(present) * (1.0 + _MIN_GAIN):
        return present
    return best


def _requests_per_ms(
    readers: int, writers: int, prefill_ms: float, decode_ms: float
) -> float:
    """Returns the request rate that the pools can sustain.

    Decode engines also take the prefills that exceed the prefill pool.
    """
    by_memory = writers / decode_ms
    by_reading = readers / prefill_ms
    if by_memory <= by_reading:
        return by_memory
    direct_ms = prefill_ms * _DIRECT_COST
    spare_ms = writers - by_reading * decode_ms
    return by_reading + spare_ms / (decode_ms + direct_ms)


def _crowd(
    engine: resources.Endpoint, readers: Sequence[resources.Endpoint]
) -> tuple[int, str]:
    """Returns the number of prefill engines in the engine's domain.

    Used as sort key, with ties broken by name. Spreading prefill engines over
    domains shortens transfers and limits the effect of losing a domain.
    """
    return (sum(e.domain == engine.domain for e in readers), engine.name)
