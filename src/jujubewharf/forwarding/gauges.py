"""Gauges of a forwarding instance."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from opentelemetry import metrics

from jujubewharf.forwarding import entry as entries
from jujubewharf.overload import gauges as overload_gauges

_METER = metrics.get_meter("jujubewharf")
_UNKNOWN_VERSION = -1


def register_gauges(entry: entries.ForwardingEntry) -> None:
    """Registers the gauges of one instance; call it once per process."""

    def version(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        current = entry.source.current
        yield _Observation(
            _UNKNOWN_VERSION if current is None else current.version
        )

    def endpoints(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        counts = collections.Counter(
            (e.service, e.role.value, "draining" if e.drained else "ready")
            for e in entry.registry.registered()
        )
        for (service, role, state), count in counts.items():
            labels = {"service": service, "role": role, "state": state}
            yield _Observation(count, labels)

    def registry_age(
        options: metrics.CallbackOptions,
    ) -> Iterable[_Observation]:
        yield _Observation(entry.registry.age_ms)

    def share(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        yield _Observation(entry.share.fraction)

    def retries(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        for service, left in entry.retries_left().items():
            yield _Observation(left, {"service": service})

    def in_flight(options: metrics.CallbackOptions) -> Iterable[_Observation]:
        yield _Observation(entry.admission.in_flight)

    _METER.create_observable_gauge(
        "forwarding.configuration_version",
        [version],
        description="Version in force; -1 before the first.",
    )
    _METER.create_observable_gauge(
        "forwarding.endpoints",
        [endpoints],
        description="Registered endpoints by service, role and state.",
    )
    _METER.create_observable_gauge(
        "forwarding.registry_age",
        [registry_age],
        unit="ms",
        description="Time since the list of endpoints was last read.",
    )
    _METER.create_observable_gauge(
        "forwarding.fleet_share",
        [share],
        description="This instance's part of what the fleet shares.",
    )
    _METER.create_observable_gauge(
        "forwarding.retries_left",
        [retries],
        description="Retries left to this instance, by service.",
    )
    _METER.create_observable_gauge(
        "forwarding.in_flight",
        [in_flight],
        description="Requests that were taken and haven't ended.",
    )
    overload_gauges.register_gauges(entry.overload)


_Observation = metrics.Observation
