"""Which engines should read prompts and which should write answers."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from jujubewharf.configuration import resources

# A change of role keeps an engine from work for seconds. So the wanted number
# must miss what there is by this part of an engine beyond the rounding.
_HYSTERESIS = 0.2
# With fewer engines each decode engine reads its prompts itself: an engine
# that only reads would take a third or more of the memory away.
_MIN_ENGINES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An engine that should take another role."""

    engine: resources.Endpoint
    role: resources.Role


def changes(
    engines: Sequence[resources.Endpoint], *, prefill_share: float
) -> list[Change]:
    """Changes that bring the pools to where both are equally busy.

    Args:
        engines: All engines of one service that take work.
        prefill_share: Part of the engines that should read prompts.

    Returns:
        The changes, those that matter most first.
    """
    readers = [e for e in engines if e.role is resources.Role.PREFILL]
    writers = [e for e in engines if e.role is resources.Role.DECODE]
    total = len(readers) + len(writers)
    wanted = _wanted(total, len(readers), prefill_share)
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


def _wanted(total: int, present: int, prefill_share: float) -> int:
    """Number of prefill engines; what there is, while it is near enough."""
    if total < _MIN_ENGINES:
        return 0
    exact = min(max(1.0, total * prefill_share), total - 1.0)
    if abs(exact - present) <= 0.5 + _HYSTERESIS and present > 0:
        return present
    return round(exact)


def _crowd(
    engine: resources.Endpoint, readers: Sequence[resources.Endpoint]
) -> tuple[int, str]:
    """How many prefill engines its failure domain has; the name breaks ties.

    One in each domain is worth more than two in one: results are fetched over
    a shorter way, and the loss of a domain leaves some.
    """
    return (sum(e.domain == engine.domain for e in readers), engine.name)
