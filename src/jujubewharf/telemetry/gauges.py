"""Observable gauges of an entry core."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from opentelemetry import metrics

from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from jujubewharf import core as cores


def register_gauges(core: cores.EntryCore) -> None:
    """Registers the gauges of a core; called once per process."""
    meter = metrics.get_meter("jujubewharf")

    def slots_held(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        for name in _model_services(core):
            held = sum(view.own_slots for view in core.fleet.views_of(name))
            yield metrics.Observation(held, {"service": name})

    def queued(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        for name in _model_services(core):
            count = core.model_limits.queued(name)
            yield metrics.Observation(count, {"service": name})

    def members(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        yield metrics.Observation(len(core.membership.present()))

    meter.create_observable_gauge(
        "engines.slots_held",
        [slots_held],
        description="Decode slots that requests of this instance hold.",
    )
    meter.create_observable_gauge(
        "callers.queued",
        [queued],
        description="Model requests that wait for a place, by service.",
    )
    meter.create_observable_gauge(
        "membership.present",
        [members],
        description="Instances present, as this one sees it.",
    )


def _model_services(core: cores.EntryCore) -> list[str]:
    state = core.configuration.current
    return [
        entry.resource.name
        for entry in state.of_kind(resources.Kind.SERVICE)
        if isinstance(entry.resource, resources.Service)
        and entry.resource.kind is resources.ServiceKind.MODEL
    ]
