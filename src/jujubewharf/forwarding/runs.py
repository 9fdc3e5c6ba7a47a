"""What is known of one request while it is passed on."""

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

# A refusal names a time at which trying again may help. Requests last
# seconds on engines, so a place is free again after a part of one.
RETRY_AFTER_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Run:
    """One request and what became of it so far.

    Attributes:
        call: What the caller sent.
        route: Route that was matched.
        service: Service that was picked of the route's.
        deadline_at_ms: Clock reading at which it gets its final answer.
        domain: Failure domain of the instance that takes the request.
        tried: Engines that it was sent to.
        may_have_run: Whether any of them may have begun to work on it.
        refusals: Sendings that an engine said it did not run.
        was_read: Whether a prefill engine has read its prompt.
        traits: What the engines of its service have in common; ``None`` for
            plain services.
        lost_by: Engines that lost its answer, or a part of it.
        event_ms: Clock reading when its last event was passed on.
        longest_gap_ms: Longest time between two of its events.
        trail: Routine log lines that are written only if it fails.
        account: Client account that it belongs to.
        is_counted: Whether it was counted against the account's quota.
        backoff_until_ms: Clock readings until which engines want nothing of the
            instance that sends it, where that isn't the one that places it.
    """

    call: calls.Call
    route: routes.Route
    service: str
    deadline_at_ms: float
    domain: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    refusals: int = 0
    was_read: bool = False
    traits: routes.EngineTraits | None = None
    lost_by: set[str] = dataclasses.field(default_factory=set)
    event_ms: float | None = None
    longest_gap_ms: float = 0.0
    trail: list[dict[str, object]] = dataclasses.field(default_factory=list)
    account: accounts.Account | None = None
    is_counted: bool = False
    backoff_until_ms: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def priority(self) -> int:
        """Rank, 0 first; that of its account goes before that of its route."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def units(self) -> float:
        """What it counts against its account's quota."""
        if self.account is None or self.account.quota is None:
            return 0.0
        return self.account.quota.units_of(self.call.work)

    @property
    def ran(self) -> errors.Ran:
        """What may be promised to the caller."""
        return errors.Ran.UNKNOWN if self.may_have_run else errors.Ran.NO

    @property
    def has_attempts(self) -> bool:
        """Whether it may be sent to a further engine."""
        return len(self.tried) < self.route.max_attempts

    @property
    def may_send(self) -> bool:
        """Whether what may have happened allows another run."""
        is_once = self.route.repeat is routes.Repeat.NEVER
        return not (is_once and self.may_have_run)

    def may_go_to(self, engine: str, clock: clocks.Clock) -> bool:
        """Whether the instance that sends it may send it there."""
        return self.backoff_until_ms.get(engine, 0.0) <= clock.now_ms()

    def left_ms(self, clock: clocks.Clock) -> float:
        """Time until the final answer is due."""
        return self.deadline_at_ms - clock.now_ms()

    def passed_on(self, now_ms: float) -> None:
        """Notes that an event goes to the caller."""
        if self.event_ms is not None:
            gap_ms = now_ms - self.event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.event_ms = now_ms

    def sent(self, engine: str) -> bool:
        """Notes a sending before it goes out.

        Returns:
            What ``may_have_run`` was, for ``not_run``.
        """
        before = self.may_have_run
        self.tried.add(engine)
        self.may_have_run = True
        return before

    def learn(self, error: client.EngineError, *, before: bool) -> None:
        """Takes back ``sent`` where the engine surely did nothing.

        Args:
            error: How the sending failed.
            before: What ``sent`` returned.
        """
        if error.fault is client.EngineFault.LOST:
            self.lost_by.add(error.engine)
        if error.fault in retries.DID_NOTHING:
            self.may_have_run = before
            self.refusals += 1
        if error.fault is client.EngineFault.UNREACHABLE:
            # There was no connection, so nothing of it was sent.
            self.tried.discard(error.engine)

    def failure(
        self, detail: str = "", *, retry_after_ms: float = RETRY_AFTER_MS
    ) -> errors.WharfError:
        """The error for a request that no engine answers."""
        if not self.may_have_run:
            return errors.WharfError(
                errors.ErrorKind.NO_FITTING_ENGINE,
                detail,
                retry_after_ms=retry_after_ms,
            )
        if self.route.repeat is routes.Repeat.NEVER:
            return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        return errors.WharfError(errors.ErrorKind.ENDPOINT_FAILED)

    def too_late(self) -> errors.WharfError:
        """The error for a request whose time is over."""
        if not self.may_have_run:
            # Not a gateway timeout: the caller may still try elsewhere, and
            # is told the truth, that nothing ran.
            return errors.WharfError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.route.repeat is routes.Repeat.NEVER:
            return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
        return errors.WharfError(kind, ran=errors.Ran.UNKNOWN)
