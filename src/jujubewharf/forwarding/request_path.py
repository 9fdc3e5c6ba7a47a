"""Assembles what a request passes through on its way to endpoints."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import crash_detection
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import failover
from jujubewharf.forwarding import failover_search
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import observations
from jujubewharf.forwarding import places
from jujubewharf.forwarding import plain
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import prefills
from jujubewharf.forwarding import quarantine
from jujubewharf.forwarding import quarantine_waits
from jujubewharf.forwarding import quotas as all_quotas
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import stream
from jujubewharf.plain_calls import permits
from jujubewharf.requests import plain_endpoints
from jujubewharf.stream_versions import lifetimes
from jujubewharf.stream_versions import resumptions
from jujubewharf.stream_versions import version_history


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Parts of an instance that requests pass through.

    Attributes:
        backends: Client for endpoints.
        source: Configuration in force.
        registry: Registered endpoints.
        chooser: Selects plain endpoints where calls need no permit.
        permits: Permits of plain calls.
        placer: Reserves memory on decode engines.
        observer: Records engine latencies and failures.
        budget: Retry budget of the fleet.
        quotas: Enforces account quotas.
        limits: Rate limits set by endpoints.
        backpressure: Rate limits, backoffs and drain notices of endpoints.
        history: Crash history of requests.
        trials: Grants trials of quarantined requests.
        origins: Where streams began.
        versions: Software versions that services have had.
        refresh_view: Reads the registered endpoints now; see ``Resumptions``.
    """

    backends: ports.Backends
    source: forwarder.ActiveConfiguration
    registry: registries.Registry
    chooser: plain_endpoints.EndpointChooser
    permits: permits.PlainPermits
    placer: places.Placer
    observer: observations.Observer
    budget: budgets.FleetRetryBudget
    quotas: all_quotas.Quotas
    limits: all_limits.Permits
    backpressure: all_backpressure.Backpressure
    history: crashes.CrashHistory
    trials: quarantine.Trials
    origins: resumptions.SharedOrigins
    versions: version_history.VersionHistory
    refresh_view: Callable[[], Awaitable[None]]
    lifetimes: lifetimes.StreamLifetimes


def new_forwarder(
    parts: Parts, clock: clocks.Clock, rng: random.Random, *, domain: str
) -> forwarder.Forwarder:
    """Creates the forwarder of an instance.

    Args:
        parts: Parts of the instance.
        clock: Time source.
        rng: Random numbers, seeded in tests.
        domain: Failure domain of the instance.
    """
    request_quarantine = quarantine.Quarantine(parts.history, parts.trials)
    backends = crash_detection.CrashDetectingBackends(
        parts.backends, parts.history, clock
    )
    prompts = prefills.Prefills(
        backends,
        parts.registry,
        parts.budget,
        parts.observer,
        parts.limits,
        parts.backpressure,
        clock,
    )
    sender = attempts.StreamAttempts(
        backends,
        prompts,
        parts.registry,
        quarantine_waits.QuarantineAwarePlaces(
            parts.placer, request_quarantine, parts.history
        ),
        parts.budget,
        parts.observer,
        parts.limits,
        parts.backpressure,
        clock,
    )
    resumed = resumptions.Resumptions(
        parts.origins,
        parts.versions,
        parts.registry,
        sender.is_same_start,
        clock,
        parts.refresh_view,
        parts.lifetimes,
    )
    plain_forwarder = plain.PlainForwarder(
        backends,
        parts.registry,
        parts.chooser,
        parts.permits,
        resumed,
        parts.budget,
        parts.limits,
        parts.backpressure,
        clock,
        rng,
    )
    stream_forwarder = stream.StreamForwarder(
        sender,
        resumed,
        failover.Failover(
            failover_search.SearchTools(
                sender, parts.budget, parts.registry, clock
            ),
            parts.observer,
            clock,
        ),
        parts.budget,
        parts.observer,
        clock,
    )
    return forwarder.Forwarder(
        parts.source,
        plain_forwarder,
        stream_forwarder,
        resumed,
        parts.budget,
        parts.quotas,
        parts.history,
        request_quarantine,
        clock,
        rng,
        domain=domain,
    )
