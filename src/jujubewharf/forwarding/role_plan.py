"""Plans how many engines of a service are prefill and decode engines."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools

from jujubewharf.configuration import resources
from jujubewharf.forwarding import version_roles
from jujubewharf.role_orders import damping

# Cost of a prefill on a decode engine relative to one on a prefill engine. It
# takes twice the time there and stalls the responses that the engine is
# generating: of 26 streams that were prefilled this way within a minute on six
# engines, 12 paused for more than 290 ms.
_DECODE_ENGINE_PREFILL_COST = 8.0
# Weight of the capacity that would be left after the loss of one prefill
# engine. A larger weight would keep a spare prefill engine where decode
# memory is scarce: with 0.5, the responses of six small engines lost a fifth of
# their value.
_LOSS_WEIGHT = 0.3

_PREFILL = resources.Role.PREFILL
_DECODE = resources.Role.DECODE

# Returns how much work an engine does in a role, relative to the median one.
WorkRate = Callable[[resources.Endpoint, resources.Role], float]
# Returns the smallest relative gain in capacity that justifies changes to a
# role.
MinGain = Callable[[resources.Role], float]


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine that should get another role."""

    engine: resources.Endpoint
    role: resources.Role


@dataclasses.dataclass(frozen=True, slots=True)
class _Rates:
    """Work that one engine does in each role, see ``WorkRate``."""

    prefill: float
    decode: float


def _equal_rate(engine: resources.Endpoint, role: resources.Role) -> float:
    return 1.0


def _usual_min_gain(role: resources.Role) -> float:
    return damping.MIN_GAIN


def plan_changes(
    engines: Sequence[resources.Endpoint],
    *,
    prefill_ms: float | None,
    decode_ms: float | None,
    work_rate: WorkRate = _equal_rate,
    min_gain: MinGain = _usual_min_gain,
    draining: Sequence[resources.Endpoint] = (),
) -> list[RoleChange]:
    """Returns role changes that balance the load of both pools.

    Each software version with several engines keeps a decode engine, whatever
    the gain in capacity; one without a decode engine gets one first.

    Args:
        engines: All engines of one service that accept requests.
        prefill_ms: Time that a prompt keeps a prefill engine of median speed
            busy; ``None`` before it was observed.
        decode_ms: Time that a response would hold a whole memory of a decode
            engine of median speed; ``None`` before it was observed.
        work_rate: Returns how much work an engine does in a role, relative to
            the median engine.
        min_gain: Returns the smallest relative gain in capacity that justifies
            changes to a role.
        draining: Registered engines of the service that accept no new requests.

    Returns:
        The changes, the most important one first.
    """
    restoring = restoring_changes(
        engines, draining=draining, work_rate=work_rate
    )
    engines = _changed(engines, restoring)
    rates = _rates(engines, work_rate)
    surplus = _surplus(engines, rates)
    candidates = version_roles.ServiceVersions(engines, draining).candidates(
        _candidates(engines, rates)
    )
    current = len(surplus)
    most = len(rates) - candidates.kept_count
    if prefill_ms is None or decode_ms is None:
        target = min(most, _target_without_costs(len(rates), current))
    else:
        # In the order in which they become prefill engines.
        order = [
            rates[e.name] for e in (*reversed(surplus), *candidates.engines)
        ]
        target = _target_count(
            order, current, prefill_ms, decode_ms, min_gain, most=most
        )
    return [
        *restoring,
        *(RoleChange(e, _DECODE) for e in surplus[: max(0, current - target)]),
        *(
            RoleChange(e, _PREFILL)
            for e in candidates.engines[: max(0, target - current)]
        ),
    ]


def restoring_changes(
    engines: Sequence[resources.Endpoint],
    *,
    draining: Sequence[resources.Endpoint] = (),
    work_rate: WorkRate = _equal_rate,
) -> list[RoleChange]:
    """Returns changes that give versions their missing decode engines.

    Args:
        engines: See ``plan_changes``.
        draining: See ``plan_changes``.
        work_rate: See ``plan_changes``.
    """
    versions = version_roles.ServiceVersions(engines, draining)
    if not versions.is_mixed:
        return []
    surplus = _surplus(engines, _rates(engines, work_rate))
    return [RoleChange(e, _DECODE) for e in versions.restored(surplus)]


def _changed(
    engines: Sequence[resources.Endpoint], changes: Sequence[RoleChange]
) -> Sequence[resources.Endpoint]:
    """Returns the engines with the roles that changes give them."""
    roles = {change.engine.name: change.role for change in changes}
    if not roles:
        return engines
    return [
        dataclasses.replace(e, role=roles.get(e.name, e.role)) for e in engines
    ]


def _rates(
    engines: Sequence[resources.Endpoint], work_rate: WorkRate
) -> dict[str, _Rates]:
    """Returns what prefill and decode engines do in each role, by name."""
    return {
        e.name: _Rates(work_rate(e, _PREFILL), work_rate(e, _DECODE))
        for e in engines
        if e.role in (_PREFILL, _DECODE)
    }


def _prefill_merit(rate: _Rates) -> tuple[float, ...]:
    """Returns a key; engines with low ones are decode engines first.

    The loss in the present role counts against the gain in the new one. Where
    they are equal, the slowest engine changes, because the prompts of its
    requests delay their first events.
    """
    return (rate.prefill / rate.decode, rate.prefill)


def _surplus(
    engines: Sequence[resources.Endpoint], rates: Mapping[str, _Rates]
) -> list[resources.Endpoint]:
    """Returns the prefill engines; the first one is a decode engine first."""
    prefill_engines = [e for e in engines if e.role is _PREFILL]
    surplus = sorted(
        prefill_engines,
        key=lambda e: _domain_count(e, prefill_engines),
        reverse=True,
    )
    surplus.sort(key=lambda e: _prefill_merit(rates[e.name]))
    return surplus


def _candidates(
    engines: Sequence[resources.Endpoint], rates: Mapping[str, _Rates]
) -> list[resources.Endpoint]:
    """Returns the decode engines; the first one is a prefill engine first."""
    prefill_engines = [e for e in engines if e.role is _PREFILL]
    candidates = sorted(
        (e for e in engines if e.role is _DECODE),
        key=lambda e: _domain_count(e, prefill_engines),
    )
    candidates.sort(key=lambda e: _prefill_merit(rates[e.name]), reverse=True)
    return candidates


def _target_without_costs(total: int, current: int) -> int:
    """Returns the number of prefill engines before costs are known.

    Keeps the declared roles unless one of the pools is empty: without a
    prefill engine the prefill time is never observed.
    """
    if total < 2:
        return 0
    return min(max(current, 1), total - 1)


def _target_count(
    order: Sequence[_Rates],
    current: int,
    prefill_ms: float,
    decode_ms: float,
    min_gain: MinGain,
    *,
    most: int,
) -> int:
    """Returns the number of prefill engines with the highest capacity.

    Args:
        order: Rates of all engines; the first ones are prefill engines.
        current: Number of prefill engines at present.
        prefill_ms: See ``plan_changes``.
        decode_ms: See ``plan_changes``.
        min_gain: See ``plan_changes``.
        most: Largest number of prefill engines.
    """
    prefill_rates = [0.0, *itertools.accumulate(r.prefill for r in order)]
    decode_rates = [0.0, *itertools.accumulate(r.decode for r in order)]

    def capacity(prefill_count: int) -> float:
        prefill_rate = prefill_rates[prefill_count]
        decode_rate = decode_rates[-1] - decode_rates[prefill_count]
        full_rate = _requests_per_ms(
            prefill_rate, decode_rate, prefill_ms, decode_ms
        )
        if not prefill_count:
            return full_rate
        reduced_rate = _requests_per_ms(
            prefill_rate * (prefill_count - 1) / prefill_count,
            decode_rate,
            prefill_ms,
            decode_ms,
        )
        return full_rate * (1.0 - _LOSS_WEIGHT) + reduced_rate * _LOSS_WEIGHT

    best = max(range(most + 1), key=capacity)
    needed = min_gain(_PREFILL if best > current else _DECODE)
    if capacity(best) < capacity(current) * (1.0 + needed):
        return current
    return best


def _requests_per_ms(
    prefill_rate: float,
    decode_rate: float,
    prefill_ms: float,
    decode_ms: float,
) -> float:
    """Returns the request rate that the pools can sustain.

    Decode engines also take the prefills that exceed the prefill pool.

    Args:
        prefill_rate: Work that the prefill engines do, in engines of median
            speed.
        decode_rate: The same for the decode engines.
        prefill_ms: See ``plan_changes``.
        decode_ms: See ``plan_changes``.
    """
    decoded = decode_rate / decode_ms
    prefilled = prefill_rate / prefill_ms
    if decoded <= prefilled:
        return decoded
    direct_ms = prefill_ms * _DECODE_ENGINE_PREFILL_COST
    spare_ms = decode_rate - prefilled * decode_ms
    return prefilled + spare_ms / (decode_ms + direct_ms)


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
