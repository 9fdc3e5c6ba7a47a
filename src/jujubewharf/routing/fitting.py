"""Which engines can do a job at all, before any weighing of load."""

from __future__ import annotations

from jujubewharf.configuration import resources
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs


def usable(job: jobs.Job, fleet: fleets.Fleet) -> list[fleets.EngineView]:
    """Engines of the job's service that take work and have its model."""
    return among(job, fleet.views_of(job.service.name))


def among(
    job: jobs.Job, views: list[fleets.EngineView]
) -> list[fleets.EngineView]:
    """Those of some engines that take work and have the job's model.

    Engines that lately lost several answers are left out while others can
    do the job; a pool that is doubtful as a whole is still used.
    """
    found = [
        view
        for view in views
        if view.takes_work
        and view.endpoint.name not in job.excluded
        and has_model(view, job.service)
    ]
    sound = [view for view in found if not view.breaker.is_doubtful]
    can_write = bool(decoders(sound))
    can_read = bool(exporters(sound)) or not exporters(found)
    return sound if can_write and can_read else found


def has_model(view: fleets.EngineView, service: resources.Service) -> bool:
    """Whether an engine says it has the service's model and version.

    An engine that says nothing of its model is believed to have it; its own
    refusal is the authority.
    """
    report = view.report
    if report is None or not report.model:
        return True
    if service.model and report.model != service.model:
        return False
    if not service.model_version or not report.model_version:
        return True
    return report.model_version == service.model_version


def decoders(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Engines that may write an answer."""
    return [view for view in views if view.endpoint.can_decode]


def importers(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Engines that may write from another engine's prefill result."""
    return [
        view for view in decoders(views) if view.endpoint.capabilities.kv_import
    ]


def exporters(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Engines whose prefill result another engine can pull."""
    return [
        view
        for view in views
        if view.endpoint.can_prefill and view.endpoint.capabilities.kv_export
    ]


def loners(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Engines that read and write by themselves."""
    return [
        view
        for view in decoders(views)
        if view.endpoint.can_prefill or not view.endpoint.capabilities.kv_import
    ]
