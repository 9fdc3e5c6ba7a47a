"""State of one request while it is forwarded."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import routes
from jujubewharf.requests import retries
from jujubewharf.stream_versions import origins

# Default ``Retry-After`` of refusals. Requests run for seconds, so a slot
# becomes free within a fraction of one.
RETRY_AFTER_MS = 1_000.0

_UNCONNECTED_FAULTS = frozenset(
    {client.EngineFault.UNREACHABLE, client.EngineFault.NO_PATH}
)


@dataclasses.dataclass(slots=True)
class Run:
    """State of one request.

    Attributes:
        call: The caller's request.
        route: Matched route.
        service: Service selected from the route's services.
        deadline_at_ms: Clock reading at which the answer must be complete.
        domain: Failure domain of the instance that received the request.
        tried: Engines that the request was sent to.
        may_have_run: Whether any engine may have started to process it.
        possible_runs: Engines of the attempts that may have run.
        refusals: Number of attempts that an engine refused.
        was_prefilled: Whether a prefill engine may have processed the prompt.
        traits: Properties of the service's engines; ``None`` for plain
            services.
        lost_by: Engines that lost the answer or a part of it.
        first_response_ms: Time from arrival to the answer's start.
        event_ms: Clock reading when the last event was forwarded.
        longest_gap_ms: Longest time between two events.
        deferred_log_lines: Routine log lines, which are only written if the
            request fails or misses its target.
        account: Client account of the caller.
        is_counted: Whether the account's quota was charged.
        configuration_version: Version of the configuration that matched the
            request.
        backoff_until_ms: Ends of backoffs by engine, of the instance that sends
            the request, if another instance places it.
        origin: Where the stream began; ``None`` before its first event.
    """

    call: calls.Call
    route: routes.Route
    service: str
    deadline_at_ms: float
    domain: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    possible_runs: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    was_prefilled: bool = False
    traits: routes.EngineTraits | None = None
    lost_by: set[str] = dataclasses.field(default_factory=set)
    first_response_ms: float | None = None
    event_ms: float | None = None
    longest_gap_ms: float = 0.0
    deferred_log_lines: list[dict[str, object]] = dataclasses.field(
        default_factory=list
    )
    account: accounts.Account | None = None
    is_counted: bool = False
    configuration_version: int | None = None
    backoff_until_ms: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    origin: origins.StreamOrigin | None = None

    @property
    def priority(self) -> int:
        """Priority, 0 is the highest; the account's precedes the route's."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def units(self) -> float:
        """Units to charge to the account's quota."""
        if self.account is None or self.account.quota is None:
            return 0.0
        return self.account.quota.units_of(self.call.work)

    @property
    def ran(self) -> errors.Ran:
        """Whether the request ran, as reported to the caller."""
        return errors.Ran.UNKNOWN if self.may_have_run else errors.Ran.NO

    @property
    def has_attempts_left(self) -> bool:
        """Whether the request may be sent to another engine."""
        return len(self.tried) < self.route.max_attempts

    @property
    def may_run_again(self) -> bool:
        """Whether the request may run again after what may have happened."""
        is_once = self.route.repeat is routes.Repeat.NEVER
        return not (is_once and self.may_have_run)

    def may_go_to(self, engine: str, clock: clocks.Clock) -> bool:
        """Returns whether the sending instance has no backoff for an engine."""
        return self.backoff_until_ms.get(engine, 0.0) <= clock.now_ms()

    def left_ms(self, clock: clocks.Clock) -> float:
        """Returns the time until the deadline."""
        return self.deadline_at_ms - clock.now_ms()

    def record_event(self, now_ms: float) -> None:
        """Records that an event was forwarded to the caller."""
        if self.event_ms is not None:
            gap_ms = now_ms - self.event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.event_ms = now_ms

    def record_attempt(self, engine: str) -> None:
        """Records an attempt, before the request is sent."""
        self.tried.add(engine)
        self.possible_runs.append(engine)
        self.may_have_run = True

    def record_failure(self, error: client.EngineError) -> None:
        """Records a failed attempt.

        Undoes ``record_attempt`` if the engine certainly did nothing. Attempts
        at other engines, which may be open at the same time, still count.

        Args:
            error: Failure of the attempt.
        """
        if error.fault is client.EngineFault.LOST:
            self.lost_by.add(error.engine)
        if error.fault in retries.NO_EFFECT_FAULTS:
            self.possible_runs.remove(error.engine)
            self.may_have_run = bool(self.possible_runs)
            self.refusals += 1
        if error.fault in _UNCONNECTED_FAULTS:
            # There was no connection, so nothing was sent.
            self.tried.discard(error.engine)

    def failure(
        self, detail: str = "", *, retry_after_ms: float = RETRY_AFTER_MS
    ) -> errors.WharfError:
        """Returns the error for a request that no engine answers."""
        if not self.may_have_run:
            return errors.WharfError(
                errors.ErrorKind.NO_FITTING_ENGINE,
                detail,
                retry_after_ms=retry_after_ms,
            )
        if self.route.repeat is routes.Repeat.NEVER:
            return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        return errors.WharfError(errors.ErrorKind.ENDPOINT_FAILED)

    def deadline_error(self) -> errors.WharfError:
        """Returns the error for a request whose deadline has passed."""
        if not self.may_have_run:
            # Not a gateway timeout, because the caller may safely retry: the
            # request has not run.
            return errors.WharfError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.route.repeat is routes.Repeat.NEVER:
            return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
        return errors.WharfError(kind, ran=errors.Ran.UNKNOWN)
