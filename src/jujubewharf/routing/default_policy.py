"""The default routing policy: starts prefill only with a promised decode slot.

A request chooses the decode engine with the shortest expected wait and asks its
coordinator for a slot. The coordinator promises one if enough holders are
expected to end before prefill completes, and rejects requests that cannot meet
their target. After prefill the promise is exchanged for a slot. If that takes
too long, a free slot of any other engine is used instead.
"""

from __future__ import annotations

import asyncio
import collections
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.peers import slot_messages
from jujubewharf.routing import eligibility
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import hold_times
from jujubewharf.routing import jobs
from jujubewharf.routing import plans as plans_lib
from jujubewharf.routing import policy as policies
from jujubewharf.routing import prefill_estimator
from jujubewharf.routing import slot_client

_MAX_PARALLEL_REQUESTS = 3
_MAX_REJECTIONS = 3
_RETRY_MS = 5.0
_MAX_PREFILL_ANNOUNCEMENTS = 3
_MAX_LATE_LINK_WAIT_MS = 100.0
_LINK_POLL_MS = 250.0
_MAX_CANDIDATES = 32
_MIN_MOVE_GAIN_MS = 30.0
_ANSWER_TIMEOUT_MS = 400.0
_READY_TIMEOUT_MS = 300.0
_PROMISED_TIMEOUT_MS = 40.0
_USABLE_TIME_SHARE = 0.9
_SAME_DOMAIN_BONUS_SLOTS = 1.0
_MIN_RETRY_AFTER_MS = 200.0


class DefaultPolicy:
    """Implements ``policy.AsyncPolicy``.

    Args:
        clock: Time source.
        rng: Breaks ties, so that instances choose different engines.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._queued: collections.Counter[str] = collections.Counter()
        self._hold_times: dict[str, hold_times.HoldTimes] = {}
        self._estimator = prefill_estimator.PrefillEstimator(clock)
        self._held_since_ms: dict[int, float] = {}

    def attach(self, context: policies.PolicyContext) -> None:
        """Attaches to an instance; see ``policy.AsyncPolicy``."""
        self._context = context
        self._slot_client = slot_client.SlotClient(context, self._clock)
        self._estimator = prefill_estimator.PrefillEstimator(self._clock)
        self._queued.clear()
        self._held_since_ms.clear()

    async def wait_for_placement(self, job: jobs.Job) -> jobs.Decision:
        """Waits for a slot promise, or rejects the request."""
        service = job.service.name
        if self._queued[service] >= job.service.max_queued:
            return self._refusal(errors.ErrorKind.QUEUE_FULL, job)
        self._queued[service] += 1
        try:
            return await self._obtain_promise(job)
        finally:
            self._queued[service] -= 1

    async def wait_for_decode(self, job: jobs.Job) -> jobs.Decision:
        """Waits for a decode slot after prefill, without a time limit."""
        prefill = self._estimator.complete(job.number)
        if prefill is not None:
            self._context.fleet.hints.record_prompt(
                prefill.engine, job.prefix_hashes
            )
        self._slot_client.end_prefill(job.number, is_prefilled=True)
        promised = self._slot_client.granted_engine(job.number)
        while True:
            views = eligibility.kv_importers(self._candidates(job))
            if not views:
                return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
            preferred = self._by_free_slots(views, first=promised)
            if promised is not None:
                preferred = preferred[:1]
            found = await self._first_granted(
                job, preferred[:_MAX_PARALLEL_REQUESTS]
            )
            if found is not None:
                self._held_since_ms[job.number] = self._clock.now_ms()
                self._slot_client.release(job.number, keep=found.name)
                return jobs.Choice(found)
            promised = None
            await self._clock.sleep_ms(_RETRY_MS)

    async def _first_granted(
        self, job: jobs.Job, views: list[fleets.EngineView]
    ) -> resources.Endpoint | None:
        """Requests slots from several engines and takes the first granted."""
        timeout_ms = (
            _PROMISED_TIMEOUT_MS if len(views) == 1 else _READY_TIMEOUT_MS
        )
        requests = {
            asyncio.ensure_future(
                self._slot_client.request(
                    view,
                    self._slot_ask(job, view, 0.0, timeout_ms, is_ready=True),
                )
            ): view
            for view in views
        }
        try:
            pending = set(requests)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for ask, view in requests.items():
                    if ask in done and ask.result().is_granted:
                        return view.endpoint
            return None
        finally:
            for ask in requests:
                ask.cancel()
            await asyncio.gather(*requests, return_exceptions=True)

    def release(self, job: jobs.Job, *, is_prefilled: bool) -> None:
        """Releases the request's resources; see ``policy.AsyncPolicy``."""
        self._estimator.discard(job.number)
        self._slot_client.end_prefill(job.number)
        self._slot_client.release(job.number)
        since_ms = self._held_since_ms.pop(job.number, None)
        if since_ms is not None:
            held_ms = self._clock.now_ms() - since_ms
            self._hold_times_of(job).add(held_ms)

    async def _obtain_promise(self, job: jobs.Job) -> jobs.Decision:
        rejected: set[str] = set()
        urgency: plans_lib.Urgency | None = None
        while True:
            plans = self._plans(job)
            if not plans:
                return jobs.Refusal(errors.ErrorKind.NO_FITTING_ENGINE)
            remaining = [
                p for p in plans if p.decode.endpoint.name not in rejected
            ]
            plan = min(remaining, key=self._rank, default=None)
            if plan is None or len(rejected) >= _MAX_REJECTIONS:
                return self._refusal(errors.ErrorKind.DEADLINE_UNREACHABLE, job)
            if urgency is None:
                urgency = plans_lib.urgency_of(
                    job, self._clock.now_ms() + plan.first_token_ms
                )
            if (
                urgency is plans_lib.Urgency.LATE
                and plan.link_wait_ms > _MAX_LATE_LINK_WAIT_MS
            ):
                if (
                    self._clock.now_ms() + plan.first_token_ms
                    > job.deadline_at_ms
                ):
                    kind = errors.ErrorKind.DEADLINE_UNREACHABLE
                    return self._refusal(kind, job)
                await self._clock.sleep_ms(_LINK_POLL_MS)
                continue
            answer = await self._request_promise(job, plan, urgency)
            if answer.is_granted:
                return await self._start(job, plan, urgency)
            if answer.is_infeasible:
                rejected.add(plan.decode.endpoint.name)
            else:
                await self._clock.sleep_ms(_RETRY_MS)

    async def _request_promise(
        self, job: jobs.Job, plan: plans_lib.Plan, urgency: plans_lib.Urgency
    ) -> slot_messages.SlotReply:
        match urgency:
            case plans_lib.Urgency.IN_TIME:
                deadline_ms = job.first_answer_by_ms
            case _:
                deadline_ms = job.deadline_at_ms
        latest_ms = deadline_ms - self._clock.now_ms() - plan.first_token_ms
        if latest_ms < 0:
            return slot_messages.SlotReply(False, is_infeasible=True)
        ask = self._slot_ask(
            job, plan.decode, plan.ready_ms, latest_ms, urgency=urgency
        )
        return await self._slot_client.request(plan.decode, ask)

    async def _start(
        self, job: jobs.Job, plan: plans_lib.Plan, urgency: plans_lib.Urgency
    ) -> jobs.Decision:
        """Starts prefill on the engine that is the best one by now.

        Requests that were granted slots meanwhile are ahead in the prefill
        queue. A request that would now miss its target is rejected before
        prefill, so that no prefill is wasted.
        """
        if plan.prefill is None:
            self._held_since_ms[job.number] = self._clock.now_ms()
            return jobs.Choice(plan.decode.endpoint)
        prefill = plan.prefill
        for _ in range(_MAX_PREFILL_ANNOUNCEMENTS):
            best = self._best_prefill(job, self._candidates(job)) or prefill
            if self._gain_ms(job, prefill, best) < _MIN_MOVE_GAIN_MS:
                best = prefill
            is_announced = (
                self._slot_client.announced_engine(job.number)
                == best.endpoint.name
            )
            prefill = best
            if is_announced:
                break
            await self._slot_client.announce_prompt(
                prefill, job.number, job.prompt_tokens
            )
        kv_ready_ms = self._kv_ready_ms(prefill, job)
        delay_ms = kv_ready_ms - plan.ready_ms
        first_token_at_ms = (
            self._clock.now_ms() + plan.first_token_ms + delay_ms
        )
        is_late = first_token_at_ms > job.first_answer_by_ms
        if urgency is plans_lib.Urgency.IN_TIME and is_late:
            return self._refusal(errors.ErrorKind.DEADLINE_UNREACHABLE, job)
        link_wait_ms = kv_ready_ms - self._prefill_ms(prefill, job)
        start_at_ms = self._clock.now_ms() + link_wait_ms
        self._estimator.begin(job, prefill, start_at_ms)
        return jobs.Choice(None, prefill.endpoint, prefill_at_ms=start_at_ms)

    def _gain_ms(
        self,
        job: jobs.Job,
        current: fleets.EngineView,
        other: fleets.EngineView,
    ) -> float:
        return self._kv_ready_ms(current, job) - self._kv_ready_ms(other, job)

    def _kv_ready_ms(self, view: fleets.EngineView, job: jobs.Job) -> float:
        """Returns the expected time until the KV cache transfer can start."""
        link_ms = view.digest.link_ms if view.digest is not None else 0.0
        if view.digest_received_ms is not None:
            link_ms -= self._clock.now_ms() - view.digest_received_ms
        return max(self._prefill_ms(view, job), link_ms)

    def _prefill_ms(self, view: fleets.EngineView, job: jobs.Job) -> float:
        """Returns the expected prefill time, less the prefix cache saving."""
        saved = self._context.fleet.hints.saved_tokens(
            view.endpoint.name, job.prefix_hashes
        )
        return self._estimator.prefill_ms(view, job.prompt_tokens - saved)

    def _plans(self, job: jobs.Job) -> list[plans_lib.Plan]:
        views = self._candidates(job)
        prefill = self._best_prefill(job, views)
        plans = []
        if prefill is not None:
            kv_ready_ms = self._kv_ready_ms(prefill, job)
            for decode in eligibility.kv_importers(views):
                plans.append(self._pair_plan(job, decode, prefill, kv_ready_ms))
        for decode in eligibility.standalone_engines(views):
            is_paired = prefill is not None
            if not is_paired or not decode.endpoint.capabilities.kv_import:
                plans.append(self._standalone_plan(job, decode))
        return plans

    def _pair_plan(
        self,
        job: jobs.Job,
        decode: fleets.EngineView,
        prefill: fleets.EngineView,
        kv_ready_ms: float,
    ) -> plans_lib.Plan:
        kv_bytes = job.prompt_tokens * self._context.fleet.kv_bytes_per_token(
            job.service.model
        )
        kv_transfer_ms = prefill_estimator.transfer_ms(
            prefill, decode, kv_bytes
        )
        first_token_ms = (
            kv_ready_ms + kv_transfer_ms + plans_lib.first_steps_ms(decode)
        )
        wait_ms = self._wait_ms(job, decode)
        link_wait_ms = kv_ready_ms - self._prefill_ms(prefill, job)
        return plans_lib.Plan(
            decode, prefill, kv_ready_ms, link_wait_ms, first_token_ms, wait_ms
        )

    def _standalone_plan(
        self, job: jobs.Job, decode: fleets.EngineView
    ) -> plans_lib.Plan:
        prefill_ms = self._prefill_ms(decode, job)
        first_token_ms = prefill_ms + plans_lib.first_steps_ms(decode)
        wait_ms = self._wait_ms(job, decode)
        return plans_lib.Plan(decode, None, 0.0, 0.0, first_token_ms, wait_ms)

    def _candidates(self, job: jobs.Job) -> list[fleets.EngineView]:
        """Returns the engines to compare: a random sample if there are many.

        Half of the sample is from this instance's failure domain. The best of a
        few random choices is nearly as good as the best of all (Mitzenmacher
        2001) and avoids that all instances choose the same engine.
        """
        fleet, service = self._context.fleet, job.service.name
        views = fleet.views_of(service)
        if len(views) > _MAX_CANDIDATES:
            same_domain = fleet.views_near(service, self._context.domain)
            sampled = self._sample(same_domain) | self._sample(views)
            found = eligibility.filter_eligible(job, list(sampled.values()))
            if eligibility.decode_engines(found) and eligibility.kv_exporters(
                found
            ):
                return found
        return eligibility.eligible_engines(job, fleet)

    def _sample(
        self, views: list[fleets.EngineView]
    ) -> dict[str, fleets.EngineView]:
        if not views:
            return {}
        sampled = self._rng.choices(views, k=_MAX_CANDIDATES // 2)
        return {view.endpoint.name: view for view in sampled}

    def _best_prefill(
        self, job: jobs.Job, views: list[fleets.EngineView]
    ) -> fleets.EngineView | None:
        return min(
            eligibility.kv_exporters(views),
            key=lambda v: self._kv_ready_ms(v, job),
            default=None,
        )

    def _wait_ms(self, job: jobs.Job, view: fleets.EngineView) -> float:
        """Returns the expected wait by digest and own requests since then."""
        if view.digest is None:
            return 0.0
        ahead = view.requested_since_digest - max(0, view.digest.free)
        if ahead < 0:
            return 0.0
        slot_ms = self._hold_times_of(job).mean_ms / max(1, view.slots)
        return view.digest.wait_ms + ahead * slot_ms

    def _rank(self, plan: plans_lib.Plan) -> tuple[float, float, float]:
        total_ms = plan.wait_ms + plan.first_token_ms
        if plan.wait_ms > 0:
            return (total_ms, 0.0, self._rng.random())
        free_slots = self._free_slots(plan.decode)
        return (plan.first_token_ms, -free_slots, self._rng.random())

    def _free_slots(self, view: fleets.EngineView) -> float:
        if view.digest is not None:
            free_slots = float(view.digest.free - view.requested_since_digest)
        elif view.report is not None:
            free_slots = float(
                view.slots - view.report.slots_used - view.own_slots
            )
        else:
            free_slots = 0.0
        is_same_domain = view.endpoint.domain == self._context.domain
        return free_slots + (
            _SAME_DOMAIN_BONUS_SLOTS if is_same_domain else 0.0
        )

    def _by_free_slots(
        self, views: list[fleets.EngineView], *, first: str | None
    ) -> list[fleets.EngineView]:
        return sorted(
            views,
            key=lambda v: (v.endpoint.name != first, -self._free_slots(v)),
        )

    def _slot_ask(
        self,
        job: jobs.Job,
        view: fleets.EngineView,
        ready_ms: float,
        latest_ms: float,
        *,
        is_ready: bool = False,
        urgency: plans_lib.Urgency = plans_lib.Urgency.IN_TIME,
    ) -> slot_messages.SlotRequest:
        latest_ms = max(1.0, latest_ms * _USABLE_TIME_SHARE)
        return slot_messages.SlotRequest(
            view.endpoint.name,
            job.number,
            ready_in_ms=round(ready_ms),
            latest_in_ms=round(latest_ms),
            answer_in_ms=round(min(latest_ms, _ANSWER_TIMEOUT_MS)),
            hold_ms=round(self._hold_times_of(job).mean_ms),
            priority=job.priority + urgency.value,
            waste_weight=job.service.waste_weight,
            is_ready=is_ready,
        )

    def _refusal(self, kind: errors.ErrorKind, job: jobs.Job) -> jobs.Refusal:
        """Rejects the request with the expected wait as retry-after."""
        views = eligibility.decode_engines(self._candidates(job))
        expected_waits_ms = [self._wait_ms(job, view) for view in views]
        wait_ms = min(expected_waits_ms, default=0.0)
        return jobs.Refusal(kind, max(_MIN_RETRY_AFTER_MS, wait_ms))

    def _hold_times_of(self, job: jobs.Job) -> hold_times.HoldTimes:
        service_hold_times = self._hold_times.get(job.service.name)
        if service_hold_times is None:
            prior_ms = job.service.completion_target_ms / 2
            service_hold_times = hold_times.HoldTimes(prior_ms)
            self._hold_times[job.service.name] = service_hold_times
        return service_hold_times
