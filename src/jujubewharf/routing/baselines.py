"""Simple routing policies, used as baselines in experiments."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import random

from jujubewharf import errors
from jujubewharf.routing import eligibility
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_RETRY_MS = 50.0

Pick = Callable[[list[fleets.EngineView]], fleets.EngineView]


class _ReportBasedPolicy:
    """Places requests on engines whose latest load report shows a free slot.

    Args:
        pick_decode: Chooses among the engines with a free slot.
        pick_prefill: Chooses among the engines that can prefill.
    """

    def __init__(self, pick_decode: Pick, pick_prefill: Pick) -> None:
        self._pick_decode = pick_decode
        self._pick_prefill = pick_prefill

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds no resources yet."""
        views = eligibility.eligible_engines(job, fleet)
        decode = self._choose_decode(eligibility.decode_engines(views))
        if not isinstance(decode, fleets.EngineView):
            return decode
        prefillers = eligibility.kv_exporters(views)
        if not prefillers or not decode.endpoint.capabilities.kv_import:
            return jobs.Choice(decode.endpoint)
        prefill = self._pick_prefill(prefillers)
        if prefill is decode:
            return jobs.Choice(decode.endpoint)
        return jobs.Choice(decode.endpoint, prefill.endpoint)

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request whose prefill is complete."""
        views = eligibility.eligible_engines(job, fleet)
        decode = self._choose_decode(eligibility.kv_importers(views))
        if not isinstance(decode, fleets.EngineView):
            return decode
        return jobs.Choice(decode.endpoint)

    def _choose_decode(
        self, views: list[fleets.EngineView]
    ) -> fleets.EngineView | jobs.RetryLater | jobs.Refusal:
        if not views:
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        free = [view for view in views if used_slots(view) < view.slots]
        if not free:
            return jobs.RetryLater(_RETRY_MS)
        return self._pick_decode(free)


class RandomChoice(_ReportBasedPolicy):
    """Chooses a random engine with a free slot and a random prefill engine.

    Args:
        rng: Random number generator of this policy.
    """

    def __init__(self, rng: random.Random) -> None:
        def pick(views: list[fleets.EngineView]) -> fleets.EngineView:
            return rng.choice(views)

        super().__init__(pick, pick)


class RoundRobin(_ReportBasedPolicy):
    """Cycles through the engines; each instance has its own position.

    Args:
        rng: Chooses the initial positions, so that instances start at different
            engines.
    """

    def __init__(self, rng: random.Random) -> None:
        decode_turns = itertools.count(rng.randrange(1_000))
        prefill_turns = itertools.count(rng.randrange(1_000))
        super().__init__(
            lambda views: views[next(decode_turns) % len(views)],
            lambda views: views[next(prefill_turns) % len(views)],
        )


class LeastLoad(_ReportBasedPolicy):
    """Chooses the least used decode engine and the shortest prefill queue."""

    def __init__(self) -> None:
        super().__init__(
            lambda views: min(views, key=used_slots),
            lambda views: min(views, key=queued_tokens),
        )


class PrefillFirst(LeastLoad):
    """Prefills immediately and chooses the decode engine afterwards."""

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds no resources yet."""
        views = eligibility.eligible_engines(job, fleet)
        prefillers = eligibility.kv_exporters(views)
        if not prefillers or not eligibility.kv_importers(views):
            return super().place(job, fleet)
        prefill = min(prefillers, key=queued_tokens)
        return jobs.Choice(None, prefill.endpoint)


def used_slots(view: fleets.EngineView) -> int:
    """Returns the used slots: the larger of report and local count."""
    reported = view.report.slots_used if view.report is not None else 0
    return max(reported, view.own_slots)


def queued_tokens(view: fleets.EngineView) -> int:
    """Returns the queued prompt tokens: the report plus the local count."""
    reported = view.report.prefill_queued_tokens if view.report else 0
    return reported + view.own_prefill_tokens
