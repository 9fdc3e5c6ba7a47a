"""Gauges of waiting requests, plain endpoints and engines' speeds.

The number of series is bounded: by services, by classes up to
``admission.tickets.priority_label``, and by ``MAX_ENDPOINTS``. Neither accounts
nor names of endpoints are labels, since names change with each start.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from opentelemetry import metrics

from jujubewharf.admission import tickets
from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.plain_calls import endpoint_group

# Plain endpoints with series of their own, the first ones by address.
MAX_ENDPOINTS = 32

_METER = metrics.get_meter("jujubewharf")
_Observation = metrics.Observation
_Waits = Mapping[str, Mapping[int, tickets.Waits]]


class Sources(Protocol):
    """Where the gauges are read."""

    def waits(self) -> _Waits:
        """Returns the requests that wait here by service and priority."""
        ...

    def endpoint_loads(self) -> list[endpoint_group.Load]:
        """Returns limit and calls of each plain endpoint."""
        ...

    def speed_spreads(
        self,
    ) -> dict[tuple[str, all_speeds.Stage], all_speeds.SpeedSpread]:
        """Returns how engines' speeds differ by service and kind of work."""
        ...


def register_gauges(sources: Sources) -> None:
    """Registers the gauges of one instance; call it once per process."""
    _METER.create_observable_gauge(
        "forwarding.waiting",
        [lambda options: waiting(sources)],
        description="Requests that wait here, by service and class.",
    )
    _METER.create_observable_gauge(
        "forwarding.oldest_wait",
        [lambda options: oldest_waits(sources)],
        unit="ms",
        description="How long the oldest waiting request of a class waits.",
    )
    _METER.create_observable_gauge(
        "plain_calls.concurrency_limit",
        [lambda options: limits(sources)],
        description="Calls that a plain endpoint gets at a time.",
    )
    _METER.create_observable_gauge(
        "plain_calls.in_flight",
        [lambda options: in_flight(sources)],
        description="Calls at a plain endpoint, by who counts them.",
    )
    _METER.create_observable_gauge(
        "engine_speeds.engines",
        [lambda options: engine_counts(sources)],
        description="Engines by their speed relative to the median engine.",
    )
    _METER.create_observable_gauge(
        "engine_speeds.relative_time",
        [lambda options: relative_times(sources)],
        description="Relative time of the fastest and the slowest engine.",
    )


def waiting(sources: Sources) -> Iterable[_Observation]:
    """Observes the number of waiting requests."""
    for (service, label), waits in _by_label(sources).items():
        yield _Observation(
            sum(w.count for w in waits), {"service": service, "priority": label}
        )


def oldest_waits(sources: Sources) -> Iterable[_Observation]:
    """Observes the longest waits."""
    for (service, label), waits in _by_label(sources).items():
        yield _Observation(
            max(w.oldest_ms for w in waits),
            {"service": service, "priority": label},
        )


def limits(sources: Sources) -> Iterable[_Observation]:
    """Observes the concurrency limits of plain endpoints."""
    for load in _shown(sources):
        yield _Observation(load.limit, _endpoint_labels(load))


def in_flight(sources: Sources) -> Iterable[_Observation]:
    """Observes the calls at plain endpoints."""
    for load in _shown(sources):
        labels = _endpoint_labels(load)
        yield _Observation(load.granted, labels | {"calls": "granted"})
        yield _Observation(load.foreign, labels | {"calls": "foreign"})


def engine_counts(sources: Sources) -> Iterable[_Observation]:
    """Observes the number of engines by speed."""
    for (service, stage), spread in sources.speed_spreads().items():
        labels = {"service": service, "stage": stage.value}
        yield _Observation(spread.faster, labels | {"speed": "faster"})
        yield _Observation(spread.usual, labels | {"speed": "usual"})
        yield _Observation(spread.slower, labels | {"speed": "slower"})


def relative_times(sources: Sources) -> Iterable[_Observation]:
    """Observes the extremes of relative times."""
    for (service, stage), spread in sources.speed_spreads().items():
        labels = {"service": service, "stage": stage.value}
        yield _Observation(spread.least, labels | {"engine": "fastest"})
        yield _Observation(spread.greatest, labels | {"engine": "slowest"})


def _by_label(sources: Sources) -> dict[tuple[str, str], list[tickets.Waits]]:
    by_label: dict[tuple[str, str], list[tickets.Waits]] = {}
    for service, classes in sources.waits().items():
        for priority, waits in classes.items():
            label = tickets.priority_label(priority)
            by_label.setdefault((service, label), []).append(waits)
    return by_label


def _shown(sources: Sources) -> list[endpoint_group.Load]:
    loads = sources.endpoint_loads()
    loads.sort(key=lambda load: load.endpoint.address)
    return loads[:MAX_ENDPOINTS]


def _endpoint_labels(load: endpoint_group.Load) -> dict[str, str]:
    return {"service": load.endpoint.service, "address": load.endpoint.address}
