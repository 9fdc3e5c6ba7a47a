"""Limits of client accounts and services, and the wait queue of a service.

The limits of an account apply to the whole fleet. There is no shared counter:
each instance enforces the total divided by the number of instances that are
present. See ``docs/design/limits.md``.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import heapq
import math

from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.requests import buckets

# Load balancers distribute an account's requests unevenly. A share must accept
# bursts without refusing an account that is within its total.
BURST_MS = 10_000.0
MIN_BURST = 8.0
MIN_IN_FLIGHT = 8
_IN_FLIGHT_RETRY_AFTER_MS = 1_000.0
_INITIAL_HOLD_MS = 1_000.0
_HOLD_SMOOTHING = 0.1
_CLEANUP_THRESHOLD = 1_024

AccountOf = Callable[[str], resources.Account | None]
MemberCount = Callable[[], int]

_in_flight = metrics.get_meter("jujubewharf").create_up_down_counter(
    "callers.in_flight",
    description="Requests admitted and not yet ended, by service.",
)


def single_member() -> int:
    """Returns 1, for an instance that doesn't know of others."""
    return 1


class _AccountShare:
    """Usage of one account on this instance."""

    def __init__(self, burst: float, now_ms: float) -> None:
        self.in_flight = 0
        self.bucket = buckets.TokenBucket(burst, now_ms)


class _ServiceQueue:
    """Running and queued requests of one service."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.queued = 0
        self.mean_hold_ms = _INITIAL_HOLD_MS
        self._sequence = 0

    def expected_wait_ms(self, service: resources.Service) -> float:
        """Estimated time in the queue for a new request, in ms."""
        rounds = math.ceil((self.queued + 1) / service.max_in_flight)
        return rounds * self.mean_hold_ms

    async def wait_for_slot(self, priority: int, max_in_flight: int) -> None:
        """Waits for a slot, by priority and then in order of arrival."""
        self._sequence += 1
        slot: asyncio.Future[None] = asyncio.Future()
        heapq.heappush(self.waiting, (-priority, self._sequence, slot))
        self.queued += 1
        try:
            await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                # The slot was assigned in the same event loop iteration in
                # which the caller was cancelled. It must be passed on or it is
                # lost.
                self.release_slot(max_in_flight)
            raise
        finally:
            self.queued -= 1

    def release_slot(self, max_in_flight: int) -> None:
        """Frees a slot and assigns free slots to queued requests."""
        self.in_flight -= 1
        while self.waiting and self.in_flight < max_in_flight:
            _, _, slot = heapq.heappop(self.waiting)
            if not slot.done():
                self.in_flight += 1
                slot.set_result(None)

    def record_hold(self, held_ms: float) -> None:
        """Updates the moving average of how long requests hold a slot."""
        self.mean_hold_ms += _HOLD_SMOOTHING * (held_ms - self.mean_hold_ms)


class Limits:
    """Limits of one kind of service on this instance.

    Model and plain services have separate limits. They share neither slots nor
    an account's rate, so that plain calls never wait for model requests.

    Args:
        clock: Source of time and timeouts.
        account_of: Looks up an account by name; ``None`` means no limits.
        member_count: Returns the number of instances among which an account's
            limits are divided.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        account_of: AccountOf,
        *,
        member_count: MemberCount = single_member,
    ) -> None:
        self._clock = clock
        self._account_of = account_of
        self._member_count = member_count
        self._shares: dict[str, _AccountShare] = {}
        self._queues: dict[str, _ServiceQueue] = {}
        self._cleanup_threshold = _CLEANUP_THRESHOLD

    @property
    def tracked_accounts(self) -> int:
        """Number of accounts whose usage is tracked."""
        return len(self._shares)

    def in_flight(self, service: str) -> int:
        """Number of running requests of a service."""
        queue = self._queues.get(service)
        return queue.in_flight if queue else 0

    def queued(self, service: str) -> int:
        """Number of queued requests of a service."""
        queue = self._queues.get(service)
        return queue.queued if queue else 0

    def check(self, account_name: str) -> None:
        """Refuses an account that exceeds its limits, without using them.

        Called before the body is read, so that an overload costs no more than
        reading the headers.

        Raises:
            WharfError: ``RATE_LIMITED`` or ``TOO_MANY_IN_FLIGHT``.
        """
        account = self._account_of(account_name)
        if account is not None:
            self._check_share(account)

    @contextlib.asynccontextmanager
    async def admitted(
        self,
        account_name: str,
        service: resources.Service,
        *,
        deadline_at_ms: float,
        priority: int = 0,
    ) -> AsyncIterator[None]:
        """Admits a request for the duration of the block, after queueing.

        Args:
            account_name: Client account of the caller.
            service: Service to call.
            deadline_at_ms: Clock reading of the request's deadline, in ms.
            priority: Higher priorities leave the queue first.

        Raises:
            WharfError: ``RATE_LIMITED``, ``TOO_MANY_IN_FLIGHT``, ``QUEUE_FULL``
                or ``DEADLINE_UNREACHABLE``. The request did not run.
        """
        share = self._take_share(account_name)
        try:
            queue = self._queues.setdefault(service.name, _ServiceQueue())
            await self._acquire_slot(queue, service, deadline_at_ms, priority)
            entered_ms = self._clock.now_ms()
            attributes = {"service": service.name}
            _in_flight.add(1, attributes)
            try:
                yield
            finally:
                _in_flight.add(-1, attributes)
                queue.record_hold(self._clock.now_ms() - entered_ms)
                queue.release_slot(service.max_in_flight)
        finally:
            if share is not None:
                share.in_flight -= 1

    async def _acquire_slot(
        self,
        queue: _ServiceQueue,
        service: resources.Service,
        deadline_at_ms: float,
        priority: int,
    ) -> None:
        if queue.in_flight < service.max_in_flight and not queue.queued:
            queue.in_flight += 1
            return
        wait_ms = queue.expected_wait_ms(service)
        if queue.queued >= service.max_queued:
            kind = errors.ErrorKind.QUEUE_FULL
            raise errors.WharfError(kind, retry_after_ms=wait_ms)
        left_ms = deadline_at_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout_ms(left_ms):
                await queue.wait_for_slot(priority, service.max_in_flight)
        except TimeoutError:
            kind = errors.ErrorKind.DEADLINE_UNREACHABLE
            raise errors.WharfError(kind, retry_after_ms=wait_ms) from None

    def _take_share(self, account_name: str) -> _AccountShare | None:
        account = self._account_of(account_name)
        if account is None:
            return None
        share = self._check_share(account)
        share.bucket.tokens -= 1.0
        share.in_flight += 1
        return share

    def _check_share(self, account: resources.Account) -> _AccountShare:
        members = max(1, self._member_count())
        share = self._share(account, members)
        rate_per_s = account.rate_per_s / members
        now_ms = self._clock.now_ms()
        share.bucket.refill(now_ms, rate_per_s, _burst(account, members))
        if share.in_flight >= _in_flight_share(account, members):
            kind = errors.ErrorKind.TOO_MANY_IN_FLIGHT
            raise errors.WharfError(
                kind, retry_after_ms=_IN_FLIGHT_RETRY_AFTER_MS
            )
        if share.bucket.tokens < 1.0:
            kind = errors.ErrorKind.RATE_LIMITED
            wait_ms = share.bucket.wait_ms(rate_per_s)
            raise errors.WharfError(kind, retry_after_ms=wait_ms)
        return share

    def _share(self, account: resources.Account, members: int) -> _AccountShare:
        share = self._shares.get(account.name)
        if share is None:
            self._remove_idle()
            burst = _burst(account, members)
            share = _AccountShare(burst, self._clock.now_ms())
            self._shares[account.name] = share
        return share

    def _remove_idle(self) -> None:
        """Drops shares whose token bucket is full again."""
        if len(self._shares) < self._cleanup_threshold:
            return
        for name in list(self._shares):
            if self._is_idle(name):
                del self._shares[name]
        self._cleanup_threshold = max(_CLEANUP_THRESHOLD, 2 * len(self._shares))

    def _is_idle(self, name: str) -> bool:
        share = self._shares[name]
        account = self._account_of(name)
        if share.in_flight:
            return False
        if account is None:
            return True
        members = max(1, self._member_count())
        burst = _burst(account, members)
        rate_per_s = account.rate_per_s / members
        share.bucket.refill(self._clock.now_ms(), rate_per_s, burst)
        return share.bucket.tokens >= burst


def _burst(account: resources.Account, members: int) -> float:
    rate_per_s = account.rate_per_s / members
    return max(MIN_BURST, rate_per_s * BURST_MS / clocks.MS_PER_S)


def _in_flight_share(account: resources.Account, members: int) -> int:
    share = math.ceil(account.max_in_flight / members)
    return min(account.max_in_flight, max(MIN_IN_FLIGHT, share))
