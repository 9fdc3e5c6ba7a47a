"""A simple policy: the least loaded engine by lagging reports."""

from __future__ import annotations

from jujubewharf import errors
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_RETRY_MS = 50.0


class LeastLoad:
    """Picks the shortest prefill queue and the emptiest decode memory."""

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds nothing yet."""
        usable = [
            view
            for view in fleet.views_of(job.service.name)
            if view.takes_work and view.endpoint.name not in job.excluded
        ]
        decoders = [view for view in usable if view.endpoint.can_decode]
        if not decoders:
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        decode = min(decoders, key=_used)
        if _used(decode) >= decode.endpoint.slots:
            return jobs.Later(_RETRY_MS)
        prefillers = [view for view in usable if view.endpoint.can_prefill]
        if not prefillers or not decode.endpoint.capabilities.kv_import:
            return jobs.Choice(decode.endpoint)
        prefill = min(prefillers, key=_queued)
        if prefill is decode:
            return jobs.Choice(decode.endpoint)
        return jobs.Choice(decode.endpoint, prefill.endpoint)

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request whose prompt was read already."""
        return self.place(job, fleet)


def _used(view: fleets.EngineView) -> int:
    assert view.report is not None
    return max(view.report.slots_used, view.own_slots)


def _queued(view: fleets.EngineView) -> int:
    assert view.report is not None
    return view.report.prefill_queued_tokens + view.own_prefill_tokens
