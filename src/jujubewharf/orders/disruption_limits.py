"""Limits how many engines are out of service for orders at a time."""

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

_MAX_OUT_OF_SERVICE_RATIO = 0.25
_MAX_FETCH_MS = 60_000.0
_OUT_OF_SERVICE = (records.Purpose.LOAD, records.Purpose.ROLE)

Probe = Callable[[resources.Endpoint], Awaitable[client.LoadReport | None]]


class DeferralReason(enum.Enum):
    """Reason to defer an order; the value is the reason in the counter."""

    LAST_FITTING = "last_fitting_engine"
    MANY_OUT = "many_engines_out"
    STORE_BUSY = "weight_store_busy"
    STORE_DOWN = "weight_store_down"
    HELD = "lease_held"
    IN_USE = "requests_in_flight"
    LEASE_ENDED = "lease_ended"
    UNREACHABLE = "engine_unreachable"


def out_of_service(
    held: Mapping[str, ledger.Entry], *, before_fence: int | None = None
) -> frozenset[str]:
    """Returns the engines that leases take out of service.

    Args:
        held: Leases that are or may be valid.
        before_fence: Counts only leases with a lower fence. Of two holders that
            claim at the same time, each sees the other's claim only afterwards.
            The one that is first in the log continues, and the other defers.
    """
    return frozenset(
        name
        for name, entry in held.items()
        if entry.purpose in _OUT_OF_SERVICE
        and (before_fence is None or entry.fence < before_fence)
    )


def is_serving(
    service: resources.Service,
    engine: resources.Endpoint,
    report: client.LoadReport,
) -> bool:
    """Whether an engine can currently serve requests of its service.

    An engine that cannot, because it is drained, leaving or has another model
    than its service requires, may be ordered at any time.
    """
    return not engine.drained and plan.fits(service, report)


def is_limit_reached(
    pool: Iterable[resources.Endpoint], out: frozenset[str]
) -> bool:
    """Whether the maximum number of a service's engines is out of service."""
    names = {endpoint.name for endpoint in pool}
    max_out = max(1, int(len(names) * _MAX_OUT_OF_SERVICE_RATIO))
    return len(names & out) >= max_out


async def is_last_serving(
    service: resources.Service,
    engine: resources.Endpoint,
    report: client.LoadReport,
    others: Iterable[resources.Endpoint],
    probe: Probe,
) -> bool:
    """Whether no other engine runs a phase that this engine runs.

    A service may have thousands of engines. The others are therefore probed one
    by one, in an order that differs per engine, until all phases are covered.

    Args:
        service: The engine's service.
        engine: The engine.
        report: Load report of the engine.
        others: Engines of the service that no lease takes out of service.
        probe: Requests an engine's load report; returns ``None`` on failure.
    """
    missing = set(plan.phases(report))
    others_by_name = {e.name: e for e in others if e.name != engine.name}
    for name in hashing.rank(engine.name, others_by_name):
        if others_by_name[name].drained:
            continue
        report_of_other = await probe(others_by_name[name])
        if report_of_other is not None and plan.fits(service, report_of_other):
            missing -= plan.phases(report_of_other)
        if not missing:
            return False
    return True


def max_loads(rate_bytes_per_s: float, weight_bytes: int) -> int:
    """Returns how many loads may share the weight store.

    With this number of parallel loads each still completes within a minute.
    """
    single_load_ms = weight_bytes / rate_bytes_per_s * clocks.MS_PER_S
    if single_load_ms <= 0:
        return 1
    return max(1, int(_MAX_FETCH_MS / single_load_ms))
