"""Whether an engine may be taken out of service to be ordered now."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.orders import ledger
from jujubewharf.orders import plan
from jujubewharf.orders import records

_MAX_OUT_RATIO = 0.25
_MAX_FETCH_MS = 60_000.0
_OUT_OF_SERVICE = (records.Purpose.LOAD, records.Purpose.ROLE)

Probe = Callable[[resources.Endpoint], Awaitable[client.LoadReport | None]]


class Block(enum.Enum):
    """Why an order has to wait; the value is the counter's reason."""

    LAST_FITTING = "last_fitting_engine"
    MANY_OUT = "many_engines_out"
    STORE_BUSY = "weight_store_busy"
    STORE_DOWN = "weight_store_down"
    HELD = "lease_held"
    IN_USE = "requests_in_flight"
    LEASE_ENDED = "lease_ended"
    UNREACHABLE = "engine_unreachable"


def taken_out(
    held: Mapping[str, ledger.Entry], *, before: int | None = None
) -> frozenset[str]:
    """Engines that leases take out of service.

    Args:
        held: Leases that run or may run.
        before: Counts only leases with a lower fence. Two holders who claim
            at the same time each see the other's claim only afterwards; the
            log's order decides whose counts, so that one goes on and the
            other gives way.
    """
    return frozenset(
        name
        for name, entry in held.items()
        if entry.purpose in _OUT_OF_SERVICE
        and (before is None or entry.fence < before)
    )


def is_serving(
    service: resources.Service,
    engine: resources.Endpoint,
    report: client.LoadReport,
) -> bool:
    """Whether an engine can be given its service's requests now.

    One that can't, since it is drained, leaving or has a model that its
    service does not ask for, may be ordered at any time.
    """
    return not engine.drained and plan.fits(service, report)


def many_out(pool: Iterable[resources.Endpoint], out: frozenset[str]) -> bool:
    """Whether as many of a service's engines are out as may be."""
    names = {endpoint.name for endpoint in pool}
    limit = max(1, int(len(names) * _MAX_OUT_RATIO))
    return len(names & out) >= limit


async def is_last_fitting(
    service: resources.Service,
    engine: resources.Endpoint,
    report: client.LoadReport,
    others: Iterable[resources.Endpoint],
    probe: Probe,
) -> bool:
    """Whether no other engine does a phase that this one does.

    Others are asked one by one, each engine's in an order of its own, and
    only until all phases are covered: a service may have thousands.

    Args:
        service: The engine's service.
        engine: The engine.
        report: Its report.
        others: Engines of the service that no lease takes out.
        probe: Asks an engine for its report; ``None`` when it can't be had.
    """
    missing = set(plan.phases(report))
    by_name = {e.name: e for e in others if e.name != engine.name}
    for name in hashing.rank(engine.name, by_name):
        if by_name[name].drained:
            continue
        other = await probe(by_name[name])
        if other is not None and plan.fits(service, other):
            missing -= plan.phases(other)
        if not missing:
            return False
    return True


def max_loads(rate_bytes_per_s: float, weight_bytes: int) -> int:
    """Loads that share the weight store so that each ends within a minute."""
    alone_ms = weight_bytes / rate_bytes_per_s * clocks.MS_PER_S
    if alone_ms <= 0:
        return 1
    return max(1, int(_MAX_FETCH_MS / alone_ms))
