"""The bound to close in on: a policy that sees true state without lag.

It is no product policy: it reads the stand-in engines directly and sums what
all instances of the run have placed.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.routing import fitting
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs

_RETRY_MS = 5.0


@dataclasses.dataclass(slots=True)
class Truth:
    """What all oracle instances of one run share.

    Attributes:
        load_now: True load of an engine, by its name.
        joined: The fleets of all instances, for their own claims.
    """

    load_now: Callable[[str], client.LoadReport]
    joined: list[fleets.Fleet] = dataclasses.field(default_factory=list)

    def join(self, fleet: fleets.Fleet) -> None:
        """Counts an instance's claims from now on."""
        if not any(known is fleet for known in self.joined):
            self.joined.append(fleet)

    def used_slots(self, name: str) -> int:
        """Slots held or claimed at an engine."""
        return max(self.load_now(name).slots_used, self._claimed(name))

    def free_slots(self, name: str) -> int:
        """Slots that nobody holds or has claimed."""
        return self.load_now(name).slots_total - self.used_slots(name)

    def queued_tokens(self, name: str) -> int:
        """Prompt tokens waiting or about to come."""
        return self.load_now(name).prefill_queued_tokens

    def _claimed(self, name: str) -> int:
        views = (fleet.view(name) for fleet in self.joined)
        return sum(view.own_slots for view in views if view is not None)


class Oracle:
    """Places by true state; refuses what would miss its first target.

    Args:
        truth: What all oracle instances of the run share.
        clock: Time.
    """

    def __init__(self, truth: Truth, clock: clocks.Clock) -> None:
        self._truth = truth
        self._clock = clock

    def place(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request that holds nothing yet."""
        self._truth.join(fleet)
        views = fitting.usable(job, fleet)
        decode = self._emptiest(fitting.decoders(views))
        if decode is None:
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        if self._clock.now_ms() > job.first_answer_by_ms:
            return jobs.Refusal(errors.ErrorKind.DEADLINE_UNREACHABLE)
        if self._truth.free_slots(decode.endpoint.name) <= 0:
            return jobs.Later(_RETRY_MS)
        prefillers = fitting.exporters(views)
        if not prefillers or not decode.endpoint.capabilities.kv_import:
            return jobs.Choice(decode.endpoint)
        prefill = min(prefillers, key=self._queued)
        if prefill is decode:
            return jobs.Choice(decode.endpoint)
        return jobs.Choice(decode.endpoint, prefill.endpoint)

    def place_decode(self, job: jobs.Job, fleet: fleets.Fleet) -> jobs.Decision:
        """Decides for a request whose prompt was read already."""
        self._truth.join(fleet)
        views = fitting.usable(job, fleet)
        decode = self._emptiest(fitting.importers(views))
        if decode is None:
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        if self._truth.free_slots(decode.endpoint.name) <= 0:
            return jobs.Later(_RETRY_MS)
        return jobs.Choice(decode.endpoint)

    def _emptiest(
        self, views: list[fleets.EngineView]
    ) -> fleets.EngineView | None:
        return min(views, key=self._used, default=None)

    def _used(self, view: fleets.EngineView) -> int:
        return self._truth.used_slots(view.endpoint.name)

    def _queued(self, view: fleets.EngineView) -> int:
        return self._truth.queued_tokens(view.endpoint.name)
