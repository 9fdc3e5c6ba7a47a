"""Selects the engines that can run a job, regardless of their load."""

from __future__ import annotations

from jujubewharf.configuration import resources
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs


def eligible_engines(
    job: jobs.Job, fleet: fleets.Fleet
) -> list[fleets.EngineView]:
    """Returns the engines of the job's service that can run the job."""
    return filter_eligible(job, fleet.views_of(job.service.name))


def filter_eligible(
    job: jobs.Job, views: list[fleets.EngineView]
) -> list[fleets.EngineView]:
    """Returns those of ``views`` that accept work and have the job's model.

    Degraded engines are left out if the remaining ones can run the job. If all
    engines are degraded, they are still used.
    """
    candidates = [
        view
        for view in views
        if view.takes_work
        and view.endpoint.name not in job.excluded
        and has_model(view, job.service)
    ]
    healthy = [view for view in candidates if not view.breaker.is_degraded]
    can_decode = bool(decode_engines(healthy))
    can_prefill = bool(kv_exporters(healthy)) or not kv_exporters(candidates)
    return healthy if can_decode and can_prefill else candidates


def has_model(view: fleets.EngineView, service: resources.Service) -> bool:
    """Whether an engine reports the service's model and version.

    An engine that reports no model is assumed to have it; the engine refuses
    the request otherwise.
    """
    report = view.report
    if report is None or not report.model:
        return True
    if service.model and report.model != service.model:
        return False
    if not service.model_version or not report.model_version:
        return True
    return report.model_version == service.model_version


def version_of(view: fleets.EngineView) -> str | None:
    """Returns the model version that an engine reports; ``None`` if unknown."""
    return None if view.report is None else view.report.model_version


def has_version(view: fleets.EngineView, version: str | None) -> bool:
    """Whether an engine is known to have a model version."""
    return version is not None and version_of(view) == version


def decode_engines(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Returns the engines that may decode."""
    return [view for view in views if view.endpoint.can_decode]


def kv_importers(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Returns the engines that can decode from another engine's KV cache."""
    return [
        view
        for view in decode_engines(views)
        if view.endpoint.capabilities.kv_import
    ]


def kv_exporters(views: list[fleets.EngineView]) -> list[fleets.EngineView]:
    """Returns the engines whose KV cache another engine can import."""
    return [
        view
        for view in views
        if view.endpoint.can_prefill and view.endpoint.capabilities.kv_export
    ]


def standalone_engines(
    views: list[fleets.EngineView],
) -> list[fleets.EngineView]:
    """Returns the engines that run both prefill and decode of a request."""
    return [
        view
        for view in decode_engines(views)
        if view.endpoint.can_prefill or not view.endpoint.capabilities.kv_import
    ]
