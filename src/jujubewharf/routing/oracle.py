"""Upper bound for routing policies: decides from the true engine state.

Only for experiments: it reads the simulated engines directly, without lag, and
all instances of a run share one wait queue per service. Like the default
policy, it does not know the length of a response in advance.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.routing import eligibility
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import hold_times
from jujubewharf.routing import jobs
from jujubewharf.routing import policy as policies
from jujubewharf.routing import prefill_estimator
from jujubewharf.routing import slot_ledger

_POLL_MS = 5.0
_STEPS_TO_FIRST_TOKEN = 2.0
_USABLE_TIME_SHARE = 0.85


class _Pool:
    """The wait queue for the slots of all engines of a service."""

    def __init__(self, prior_ms: float) -> None:
        self.hold_times = hold_times.HoldTimes(prior_ms)
        self.ledger = slot_ledger.SlotLedger(0, self.hold_times)
        self._granted: set[slot_ledger.Holder] = set()
        self._rejected: set[slot_ledger.Holder] = set()

    async def wait(
        self, request: slot_ledger.SlotRequest, clock: clocks.Clock
    ) -> bool:
        """Waits for a slot; returns false if none can be granted in time."""
        holder = request.holder
        self.ledger.enqueue(request)
        while True:
            self._serve(clock.now_ms())
            if holder in self._granted:
                self._granted.discard(holder)
                return True
            if holder in self._rejected:
                self._rejected.discard(holder)
                return False
            await clock.sleep_ms(_POLL_MS)

    def _serve(self, now_ms: float) -> None:
        for request in self.ledger.reject_late(now_ms):
            self._rejected.add(request.holder)
        while (granted := self.ledger.grant_next(now_ms)) is not None:
            self._granted.add(granted.holder)


class GroundTruth:
    """The state shared by all oracle policies of a run.

    Args:
        load_now: Returns the true load of an engine by name.
    """

    def __init__(self, load_now: Callable[[str], client.LoadReport]) -> None:
        self.load_now = load_now
        self.estimator: prefill_estimator.PrefillEstimator | None = None
        self.claimed: dict[str, set[slot_ledger.Holder]] = {}
        self._pools: dict[str, _Pool] = {}

    def pool(self, job: jobs.Job) -> _Pool:
        """Returns the wait queue of a job's service."""
        service = job.service
        if service.name not in self._pools:
            prior_ms = service.completion_target_ms / 2
            self._pools[service.name] = _Pool(prior_ms)
        return self._pools[service.name]

    def free_slots(self, name: str) -> int:
        """Returns the number of slots that are neither held nor claimed."""
        report = self.load_now(name)
        claimed = len(self.claimed.get(name, ()))
        return report.slots_total - max(report.slots_used, claimed)


class Oracle:
    """Implements ``policy.AsyncPolicy`` from the true engine state.

    Args:
        truth: State shared by all oracle policies of the run.
        clock: Time source.
    """

    def __init__(self, truth: GroundTruth, clock: clocks.Clock) -> None:
        self._truth = truth
        self._clock = clock
        if truth.estimator is None:
            truth.estimator = prefill_estimator.PrefillEstimator(clock)
        self._estimator = truth.estimator

    def attach(self, context: policies.PolicyContext) -> None:
        """Attaches to an instance; see ``policy.AsyncPolicy``."""
        self._context = context

    async def wait_for_placement(self, job: jobs.Job) -> jobs.Decision:
        """Waits for a slot that will be free when prefill completes."""
        views = self._usable(job)
        prefill_views = eligibility.kv_exporters(views)
        if not prefill_views or not eligibility.kv_importers(views):
            return await self._wait_standalone(job)
        prefill = min(prefill_views, key=lambda v: self._prefill_ms(v, job))
        prefill_ms = self._prefill_ms(prefill, job)
        first_token_ms = prefill_ms + self._after_prefill_ms(
            job, prefill, views
        )
        if not await self._wait(job, prefill_ms, first_token_ms):
            return jobs.Refusal(errors.ErrorKind.DEADLINE_UNREACHABLE)
        prefill = min(prefill_views, key=lambda v: self._prefill_ms(v, job))
        self._estimator.begin(job, prefill, self._clock.now_ms())
        return jobs.Choice(None, prefill.endpoint)

    async def wait_for_decode(self, job: jobs.Job) -> jobs.Decision:
        """Claims a slot on the least loaded engine as soon as one is free."""
        self._estimator.complete(job.number)
        await self._wait(job, 0.0, -math.inf, is_ready=True)
        return await self._claim(job, eligibility.kv_importers)

    def release(self, job: jobs.Job, *, is_prefilled: bool) -> None:
        """Releases the request's resources; see ``policy.AsyncPolicy``."""
        self._estimator.discard(job.number)
        holder = self._holder(job)
        self._truth.pool(job).ledger.release(holder, self._clock.now_ms())
        for claimed in self._truth.claimed.values():
            claimed.discard(holder)

    async def _wait_standalone(self, job: jobs.Job) -> jobs.Decision:
        views = eligibility.standalone_engines(self._usable(job))
        if not views:
            return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
        first_token_ms = min(self._prefill_ms(view, job) for view in views)
        if not await self._wait(job, 0.0, first_token_ms):
            return jobs.Refusal(errors.ErrorKind.DEADLINE_UNREACHABLE)
        return await self._claim(job, eligibility.standalone_engines)

    async def _wait(
        self,
        job: jobs.Job,
        ready_in_ms: float,
        first_token_ms: float,
        *,
        is_ready: bool = False,
    ) -> bool:
        pool = self._truth.pool(job)
        names = [
            v.endpoint.name
            for v in eligibility.decode_engines(self._usable(job))
        ]
        pool.ledger.slots = sum(
            self._truth.load_now(name).slots_total for name in names
        )
        request = slot_ledger.SlotRequest(
            self._holder(job),
            ready_in_ms=ready_in_ms,
            latest_at_ms=self._latest_at_ms(job, first_token_ms),
            priority=job.priority,
            waste_weight=0.0,
            is_ready=is_ready,
        )
        return await pool.wait(request, self._clock)

    def _latest_at_ms(self, job: jobs.Job, first_token_ms: float) -> float:
        now_ms = self._clock.now_ms()
        remaining_ms = job.first_answer_by_ms - first_token_ms - now_ms
        return now_ms + _USABLE_TIME_SHARE * remaining_ms

    async def _claim(
        self,
        job: jobs.Job,
        select: Callable[[list[fleets.EngineView]], list[fleets.EngineView]],
    ) -> jobs.Decision:
        while True:
            names = [view.endpoint.name for view in select(self._usable(job))]
            if not names:
                return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
            name = max(names, key=self._truth.free_slots)
            if self._truth.free_slots(name) > 0:
                break
            await self._clock.sleep_ms(_POLL_MS)
        self._truth.claimed.setdefault(name, set()).add(self._holder(job))
        view = self._context.fleet.view(name)
        assert view is not None
        return jobs.Choice(view.endpoint)

    def _usable(self, job: jobs.Job) -> list[fleets.EngineView]:
        return eligibility.eligible_engines(job, self._context.fleet)

    def _prefill_ms(self, view: fleets.EngineView, job: jobs.Job) -> float:
        name = view.endpoint.name
        queued = self._truth.load_now(name).prefill_queued_tokens
        tokens = queued + job.prompt_tokens
        return tokens * self._estimator.ms_per_token(name)

    def _after_prefill_ms(
        self,
        job: jobs.Job,
        prefill: fleets.EngineView,
        views: list[fleets.EngineView],
    ) -> float:
        decode = eligibility.kv_importers(views)[0]
        kv_bytes = job.prompt_tokens * self._context.fleet.kv_bytes_per_token(
            job.service.model
        )
        kv_transfer_ms = prefill_estimator.transfer_ms(
            prefill, decode, kv_bytes
        )
        step_ms = self._truth.load_now(decode.endpoint.name).step_ms
        return kv_transfer_ms + _STEPS_TO_FIRST_TOKEN * step_ms

    def _holder(self, job: jobs.Job) -> slot_ledger.Holder:
        return slot_ledger.Holder(self._context.peers.instance, job.number)
