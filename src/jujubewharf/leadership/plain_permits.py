"""Permits of plain calls: by this instance, by its leader, or without one.

Handles bursts of plain calls over all instances: the leader has one queue for
them, and an instance without a leader chooses by the loads that it knows.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.admission import order as orders
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import runs
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import plain_permit_client
from jujubewharf.leadership import plain_permit_server
from jujubewharf.leadership import plain_queues
from jujubewharf.leadership import shared_state
from jujubewharf.peers import plain_messages
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import local_choice
from jujubewharf.plain_calls import permits
from jujubewharf.plain_calls import plain_call_log
from jujubewharf.plain_calls import service_times
from jujubewharf.requests import plain_endpoints

# Time of a call before the first observation, as a share of its target.
_PRIOR_SHARE_OF_TARGET = 0.2

_Release = Callable[[decisions.Outcome, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """An endpoint that was chosen for a call.

    Attributes:
        endpoint: Name of the endpoint.
        decided_by: Role of the instance that chose it, for logs.
        release: Ends the call.
        ahead: Calls that waited before it.
        load_age_ms: Age of the endpoint's load report; ``None`` if unknown.
    """

    endpoint: str
    decided_by: str
    release: _Release
    ahead: int = 0
    load_age_ms: float | None = None


class FleetPlainPermits:
    """Implements ``permits.PlainPermits`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        registry: Registered endpoints.
        loads: Load that endpoints have reported.
        state: State that all instances share.
        chooser: Endpoints that fail or accept no work at this instance.
        limits: Rate limits set by endpoints.
        source: The current configuration.
        clock: Time source.
        rng: Draws endpoints without a leader.
        domain: Failure domain of this instance.

    Attributes:
        is_enabled: Whether calls need permits where endpoints report load.
        queues: The queues of this instance while it leads.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        registry: registries.Registry,
        loads: table.LoadTable,
        state: shared_state.SharedState,
        chooser: plain_endpoints.EndpointChooser,
        limits: all_limits.Permits,
        source: forwarder.ActiveConfiguration,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        domain: str,
    ) -> None:
        self.is_enabled = True
        self._fleet = fleet
        self._registry = registry
        self._loads = loads
        self._state = state
        self._chooser = chooser
        self._limits = limits
        self._source = source
        self._clock = clock
        self._times: dict[str, service_times.ServiceTimes] = {}
        self._local_choice = local_choice.LocalChoice(
            domain, local_choice.TableLoads(loads), rng
        )
        self.queues = plain_queues.PlainQueues(
            registry, loads, self._times_of, clock
        )
        self._client = plain_permit_client.PlainPermitClient(
            fleet.link, loads, clock
        )
        registry.add_listener(lambda endpoints: self._retain_times())

    @property
    def in_flight(self) -> int:
        """Number of calls of this instance that hold a permit."""
        return self._local_choice.in_flight

    def applies_to(self, service: str) -> bool:
        """Whether calls of a service need a permit."""
        return self.is_enabled and self.reports_load(service)

    def reports_load(self, service: str) -> bool:
        """Whether any endpoint of a service has reported its load."""
        return any(
            self._loads.reports_load(endpoint.name)
            for endpoint in self._registry.of_service(service)
        )

    def _grants_permits_of(self, service: str) -> bool:
        """Whether followers get permits for the calls of a service.

        A follower asks once it has a load report. This instance may have none:
        reports reach it only with its own calls and with releases of permits.
        """
        return self.is_enabled and bool(self._registry.of_service(service))

    def apply_settings(
        self, *, is_enabled: bool, policy: orders.AdmissionPolicy
    ) -> None:
        """Applies changed settings; calls that wait go on to wait."""
        self.is_enabled = is_enabled
        self.queues.apply_policy(policy)

    def new_server(self) -> plain_permit_server.PlainPermitServer:
        """Returns what handles the messages of one follower."""
        return plain_permit_server.PlainPermitServer(
            self.queues,
            self._source,
            self._state,
            self._loads,
            self._grants_permits_of,
            self._clock,
        )

    @contextlib.asynccontextmanager
    async def acquire(
        self, run: runs.Run, *, excluded: frozenset[str]
    ) -> AsyncIterator[permits.Permit]:
        """Waits for a permit; see ``permits.PlainPermits``."""
        permit, choice = await self._acquire(run, excluded)
        granted_ms = self._clock.now_ms()
        try:
            with self._local_choice.counted(choice.endpoint):
                yield permit
        finally:
            took_ms = self._clock.now_ms() - granted_ms
            choice.release(permit.outcome, took_ms)

    async def _acquire(
        self, run: runs.Run, excluded: frozenset[str]
    ) -> tuple[permits.Permit, _Choice]:
        started_ms = self._clock.now_ms()
        unusable: set[str] = set()
        while True:
            avoided = self._chooser.avoided(run.service, excluded | unusable)
            choice = await self._choose(run, avoided, started_ms)
            endpoint = self._registry.get(choice.endpoint)
            if endpoint is not None and await self._may_use(choice):
                plain_call_log.log_permit(
                    run,
                    choice.endpoint,
                    decided_by=choice.decided_by,
                    waited_ms=self._clock.now_ms() - started_ms,
                    ahead=choice.ahead,
                    load_age_ms=choice.load_age_ms,
                )
                return permits.Permit(endpoint), choice
            # It drains, is unknown here, or its rate limit leaves no permit.
            choice.release(decisions.Outcome.UNUSED, 0.0)
            unusable.add(choice.endpoint)

    async def _may_use(self, choice: _Choice) -> bool:
        """Returns whether the endpoint takes work and its rate limit allows it.

        If it is cancelled or fails, the choice is released.
        """
        try:
            if not self._chooser.accepts_work(choice.endpoint):
                return False
            if not await self._limits.take(choice.endpoint):
                return False
        except BaseException:
            choice.release(decisions.Outcome.UNUSED, 0.0)
            raise
        # It may have started to drain while the leader was asked.
        return self._chooser.accepts_work(choice.endpoint)

    async def _choose(
        self, run: runs.Run, avoided: frozenset[str], started_ms: float
    ) -> _Choice:
        endpoints = [
            e
            for e in self._registry.of_service(run.service)
            if e.name not in avoided
        ]
        if not endpoints:
            raise permits.NoEndpointError
        choice: _Choice | None = None
        role = self._fleet.role
        if role is fleets.Role.LEADING:
            choice = await self._choose_leading(run, avoided, started_ms)
        elif role is fleets.Role.FOLLOWING and self._client.is_usable(
            run.route.name
        ):
            choice = await self._choose_following(run, avoided, started_ms)
        return choice or self._choose_alone(run, endpoints)

    async def _choose_leading(
        self, run: runs.Run, avoided: frozenset[str], started_ms: float
    ) -> _Choice | None:
        call = decisions.WaitingCall(
            self.queues.next_number(),
            run.domain,
            _due_ms(run),
            run.deadline_at_ms,
            run.priority,
            run.call.account,
            avoided,
        )
        verdict = await self.queues.decide(
            run.service, call, target_ms=run.route.target_ms
        )
        match verdict:
            case decisions.Granted(endpoint=name):
                known = self._loads.get(name)

                def release(outcome: decisions.Outcome, took_ms: float) -> None:
                    newest = self._loads.get(name)
                    # A report from before the grant has been counted already.
                    if newest is not None and newest.age_ms <= took_ms:
                        self.queues.record_report(name)
                    self.queues.release(call.number, outcome)

                return _Choice(
                    name,
                    fleets.Role.LEADING.value,
                    release,
                    verdict.ahead,
                    None if known is None else known.age_ms,
                )
            case decisions.Rejected():
                raise self._rejection(
                    run,
                    verdict.reason.value,
                    verdict.retry_after_ms,
                    fleets.Role.LEADING,
                    started_ms,
                    ahead=verdict.ahead,
                    load_age_ms=self.queues.oldest_load_ms(run.service),
                )
        return None

    async def _choose_following(
        self, run: runs.Run, avoided: frozenset[str], started_ms: float
    ) -> _Choice | None:
        answer = await self._client.ask(
            run, excluded=avoided, left_ms=run.left_ms(self._clock)
        )
        if answer is None:
            return None
        match answer.message:
            case plain_messages.PlainPermitGranted(endpoint=name) as granted:

                def release(outcome: decisions.Outcome, took_ms: float) -> None:
                    self._client.release(answer, name, outcome, took_ms)
                    self._record(run, name, outcome, took_ms)

                return _Choice(
                    name,
                    fleets.Role.FOLLOWING.value,
                    release,
                    granted.ahead,
                    granted.load_age_ms,
                )
            case plain_messages.PlainPermitRejected() as rejected:
                raise self._rejection(
                    run,
                    rejected.reason,
                    rejected.retry_after_ms,
                    fleets.Role.FOLLOWING,
                    started_ms,
                    ahead=rejected.ahead,
                    load_age_ms=rejected.load_age_ms,
                )
        return None

    def _choose_alone(
        self, run: runs.Run, endpoints: list[resources.Endpoint]
    ) -> _Choice:
        chosen = self._local_choice.choose(
            endpoints,
            self._times_of(run.service, run.route.target_ms),
            due_in_ms=_due_ms(run) - self._clock.now_ms(),
        )
        assert chosen is not None
        name = chosen.name
        known = self._loads.get(name)
        return _Choice(
            name,
            fleets.Role.ALONE.value,
            lambda outcome, took_ms: self._record(run, name, outcome, took_ms),
            load_age_ms=None if known is None else known.age_ms,
        )

    def _rejection(
        self,
        run: runs.Run,
        reason: str,
        retry_after_ms: float,
        decided_by: fleets.Role,
        started_ms: float,
        *,
        ahead: int,
        load_age_ms: float | None,
    ) -> Exception:
        """Logs a rejection and returns the error that the caller gets."""
        plain_call_log.log_rejection(
            run,
            reason,
            decided_by=decided_by.value,
            waited_ms=self._clock.now_ms() - started_ms,
            ahead=ahead,
            load_age_ms=load_age_ms,
            retry_after_ms=retry_after_ms,
        )
        if reason == decisions.RejectReason.NO_ENDPOINT.value:
            return permits.NoEndpointError()
        if run.may_have_run:
            return run.failure()
        return errors.WharfError(
            errors.ErrorKind.QUEUE_FULL, retry_after_ms=retry_after_ms
        )

    def _record(
        self,
        run: runs.Run,
        endpoint: str,
        outcome: decisions.Outcome,
        took_ms: float,
    ) -> None:
        if outcome is decisions.Outcome.COMPLETED:
            times = self._times_of(run.service, run.route.target_ms)
            slowdown = self._loads.slowdown(endpoint)
            times.record(endpoint, took_ms, slowdown=slowdown)

    def _times_of(
        self, service: str, target_ms: float
    ) -> service_times.ServiceTimes:
        times = self._times.get(service)
        if times is None:
            times = service_times.ServiceTimes(
                self._loads.slowdown,
                prior_ms=target_ms * _PRIOR_SHARE_OF_TARGET,
            )
            self._times[service] = times
        return times

    def _retain_times(self) -> None:
        for service, times in self._times.items():
            endpoints = self._registry.of_service(service)
            times.retain({e.name for e in endpoints})


def _due_ms(run: runs.Run) -> float:
    """Returns the clock reading from which an answer is late."""
    return run.call.arrived_ms + run.route.target_ms
