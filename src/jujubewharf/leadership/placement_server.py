"""Places the requests of followers at the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import placement as placements
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import state_log
from jujubewharf.leadership import account_pace
from jujubewharf.leadership import plain_permit_server
from jujubewharf.peers import crash_messages
from jujubewharf.peers import leader_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import messages
from jujubewharf.peers import plain_messages
from jujubewharf.peers import quota_messages
from jujubewharf.stream_versions import origins


class FollowerQuotas(Protocol):
    """Counts the use of accounts at followers."""

    def add_follower(
        self, peer: str, tell: Callable[[messages.Message], object]
    ) -> account_pace.FollowerUsage:
        """Starts to count the use at a follower."""
        ...

    def remove_follower(self, use: account_pace.FollowerUsage) -> None:
        """Reserves the share of a follower whose link ended."""
        ...

    def follower_admitted(
        self, use: account_pace.FollowerUsage, run: runs.Run
    ) -> None:
        """Records a placed model request of a follower."""
        ...

    def follower_used(
        self,
        use: account_pace.FollowerUsage,
        uses: Iterable[quota_messages.AccountUsage],
    ) -> None:
        """Counts the use that a follower has admitted on its own."""
        ...


class FollowerLimits(Protocol):
    """Counts the requests of followers to rate-limited endpoints."""

    def apply_terms(self, message: limit_messages.EndpointTerms) -> None:
        """Applies terms from a follower."""
        ...

    def grant(self, endpoint: str) -> float:
        """Grants a permit; returns 0, or the time in ms until a retry."""
        ...


class FollowerCrashes(Protocol):
    """Crash history of requests, and trials of quarantined ones."""

    def apply_reports(self, message: crash_messages.CrashReports) -> None:
        """Applies a follower's crash reports."""
        ...

    def grant(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Grants a trial of a quarantined request, if none was granted yet."""
        ...


class _IncompleteAnswerError(Exception):
    """The answer for which a placement was held did not complete."""


@dataclasses.dataclass(eq=False, slots=True)
class _HeldReservation:
    """A placement that a follower waits for or holds."""

    task: asyncio.Task[None] | None = None
    reservation: all_places.Reservation | None = None
    ending: asyncio.Future[leader_messages.PlacementReleased] = (
        dataclasses.field(default_factory=asyncio.Future)
    )


class PlacementServer:
    """Handles the messages of one follower.

    Args:
        placement: The leader's placement.
        observations: Records the follower's observations.
        source: The current configuration.
        fleet_costs: Records the costs that the follower observed before.
        quotas: Counts the use of accounts.
        limits: Counts requests to rate-limited endpoints.
        crashes: Crash history of requests.
        plain: Grants the follower's plain calls.
        clock: Clock.
        use: Recent use of accounts at the follower.
    """

    def __init__(
        self,
        placement: placements.Placement,
        observations: observed.Observer,
        source: forwarder.ActiveConfiguration,
        fleet_costs: costs.FleetCostEstimator,
        quotas: FollowerQuotas,
        limits: FollowerLimits,
        crashes: FollowerCrashes,
        plain: plain_permit_server.PlainPermitServer,
        clock: clocks.Clock,
        *,
        use: account_pace.FollowerUsage,
    ) -> None:
        self._quotas = quotas
        self._limits = limits
        self._crashes = crashes
        self._plain = plain
        self._usage = use
        self._fleet_costs = fleet_costs
        self._placement = placement
        self._observations = observations
        self._source = source
        self._clock = clock
        self._held_reservations: dict[int, _HeldReservation] = {}

    def close(self) -> None:
        """Releases all placements that the follower waits for or holds.

        Engines still count what the follower runs on them.
        """
        self._plain.close()
        self._quotas.remove_follower(self._usage)
        for held in list(self._held_reservations.values()):
            if held.task is not None:
                held.task.cancel()

    async def handle(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Handles one message; ``None`` for a request refuses it."""
        match message:
            case leader_messages.PlacementRequest():
                return await self._place_request(message)
            case plain_messages.PlainPermitRequest():
                return await self._plain.request(message)
            case plain_messages.PlainPermitReleased():
                self._plain.on_released(message)
            case leader_messages.LivenessRequest():
                return leader_messages.LivenessReply()
            case limit_messages.PermitRequest(endpoint=endpoint):
                return limit_messages.PermitReply(self._limits.grant(endpoint))
            case limit_messages.EndpointTerms():
                self._limits.apply_terms(message)
            case crash_messages.TrialRequest(fingerprint=fingerprint):
                is_granted = self._crashes.grant(fingerprint)
                return crash_messages.TrialReply(is_granted)
            case crash_messages.CrashReports():
                self._crashes.apply_reports(message)
            case leader_messages.CostsObserved():
                self._on_costs_observed(peer, message)
            case quota_messages.UsageReport(uses=uses):
                self._quotas.follower_used(self._usage, uses)
            case leader_messages.PlacementReleased():
                self._on_place_ended(message)
            case leader_messages.PrefillEnded():
                self._on_reading_ended(message)
            case leader_messages.PrefillCompleted():
                self._observations.record_prefill(
                    message.engine,
                    message.took_ms,
                    tokens=message.tokens,
                    slowdown=message.slowdown,
                )
            case leader_messages.FirstEventReceived(took_ms=took_ms):
                self._observations.record_first_event(took_ms)
            case leader_messages.ResponseProjected():
                self._observations.record_projection(
                    message.projected_ms,
                    memory_share=message.memory_share,
                    engine=message.engine,
                    event_ms=message.event_ms,
                )
            case leader_messages.ResponseLengthMeasured():
                self._observations.record_length(
                    message.expected_tokens, message.tokens
                )
            case leader_messages.EngineFailed():
                self._on_engine_failed(message)
            case leader_messages.EngineRoleChanging(engine=engine):
                self._observations.record_role_change(engine)
            case leader_messages.PrefillRefused(engine=engine):
                self._observations.record_prefill_refusal(engine)
        return None

    async def _place_request(
        self, request: leader_messages.PlacementRequest
    ) -> messages.Message | None:
        run = self._build_run(request)
        if run is None:
            return None
        held = _HeldReservation()
        self._held_reservations[request.number] = held
        answer: asyncio.Future[messages.Message | None] = asyncio.Future()
        held.task = asyncio.ensure_future(
            self._hold_reservation(request, run, held, answer)
        )
        try:
            return await answer
        except asyncio.CancelledError:
            held.task.cancel()
            raise

    async def _hold_reservation(
        self,
        request: leader_messages.PlacementRequest,
        run: runs.Run,
        held: _HeldReservation,
        answer: asyncio.Future[messages.Message | None],
    ) -> None:
        try:
            async with self._placement.place(run) as reservation:
                held.reservation = reservation
                if not request.is_counted:
                    self._quotas.follower_admitted(self._usage, run)
                _resolve(answer, _grant_message(reservation))
                ending = await held.ending
                if ending.is_reservation_used:
                    reservation.take_id()
                if not ending.is_complete:
                    raise _IncompleteAnswerError
        except all_places.NoPathError:
            # The follower may reach engines that its leader doesn't.
            _resolve(answer, None)
        except errors.WharfError as error:
            retry_after_ms = error.retry_after_ms
            # The follower may know engines of the version that its leader
            # doesn't; otherwise it refuses the stream itself.
            is_gone = error.kind is errors.ErrorKind.STREAM_VERSION_GONE
            if is_gone or retry_after_ms is None:
                _resolve(answer, None)
            else:
                is_over_quota = error.kind is errors.ErrorKind.RATE_LIMITED
                refusal = leader_messages.PlacementRejected(
                    retry_after_ms, is_over_quota
                )
                _resolve(answer, refusal)
        except _IncompleteAnswerError:
            # The duration of an incomplete answer must not count as an
            # observation.
            pass
        finally:
            _resolve(answer, None)
            self._held_reservations.pop(request.number, None)

    def _on_costs_observed(
        self, peer: str, message: leader_messages.CostsObserved
    ) -> None:
        was_known = self._fleet_costs.estimates.is_known
        self._fleet_costs.add_report(peer, _cost_report(message))
        fleet = self._fleet_costs.estimates
        if fleet.is_known and not was_known:
            state_log.log_known_costs(
                fleet, reports=self._fleet_costs.report_count
            )

    def _on_place_ended(
        self, message: leader_messages.PlacementReleased
    ) -> None:
        held = self._held_reservations.get(message.number)
        if held is None:
            return
        if held.reservation is None:
            # The follower gave up while the request was in the wait queue.
            if held.task is not None:
                held.task.cancel()
        elif not held.ending.done():
            held.ending.set_result(message)

    def _on_reading_ended(self, message: leader_messages.PrefillEnded) -> None:
        held = self._held_reservations.get(message.number)
        if held is not None and held.reservation is not None:
            held.reservation.on_prefill_done()

    def _on_engine_failed(self, message: leader_messages.EngineFailed) -> None:
        try:
            fault = client.EngineFault(message.fault)
        except ValueError:
            # A fault kind that this version doesn't know.
            return
        if fault is not client.EngineFault.UNREACHABLE:
            # An instance that can't reach an engine may be partitioned itself.
            error = client.EngineError(fault, message.engine)
            self._observations.record_failure(error)

    def _build_run(
        self, request: leader_messages.PlacementRequest
    ) -> runs.Run | None:
        """Builds a follower's run; ``None`` if its route is unknown."""
        current = self._source.current
        if current is None:
            return None
        route = next(
            (r for r in current.routes if r.name == request.route), None
        )
        service = current.services.get(request.service)
        if route is None or service is None or service.engine is None:
            return None
        now_ms = self._clock.now_ms()
        work = None
        if request.prompt_tokens is not None:
            work = calls.ModelWork(
                request.prompt_tokens,
                request.output_tokens,
                request.expected_tokens,
            )
        call = calls.Call(
            request_id=request.request_id,
            method="",
            host="",
            path_query="",
            headers=(),
            body=b"",
            arrived_ms=now_ms - request.waited_ms,
            caller_timeout_ms=request.caller_timeout_ms,
            work=work,
            account=request.account,
        )
        return runs.Run(
            call,
            route,
            request.service,
            now_ms + request.left_ms,
            domain=request.domain,
            may_have_run=request.may_have_run,
            traits=service.engine,
            lost_by=set(request.lost_by),
            account=self._source.accounts.by_name.get(request.account or ""),
            is_counted=request.is_counted,
            backoff_until_ms={
                backoff.engine: now_ms + backoff.for_ms
                for backoff in request.backoffs
            },
            origin=None
            if request.version is None
            else origins.StreamOrigin(request.service, request.version),
        )


def _resolve(
    answer: asyncio.Future[messages.Message | None],
    message: messages.Message | None,
) -> None:
    if not answer.done():
        answer.set_result(message)


def _cost_report(message: leader_messages.CostsObserved) -> costs.CostReport:
    return costs.CostReport(
        max(0, message.prefills),
        message.prefill_ms,
        max(0, message.responses),
        message.decode_ms,
    )


def _grant_message(
    reservation: all_places.Reservation,
) -> leader_messages.PlacementGranted:
    return leader_messages.PlacementGranted(
        reservation.engine.name,
        reservation.reservation_id,
        reservation.tokens,
        reservation.memory_share,
        tuple(engine.name for engine in reservation.prefill_engines),
        reservation.has_permit,
        reservation.ahead,
    )


# Creates the placement server of a follower, from the follower's name and a
# function that sends it a message.
PlacementServerFactory = Callable[
    [str, Callable[[messages.Message], object]], PlacementServer
]
