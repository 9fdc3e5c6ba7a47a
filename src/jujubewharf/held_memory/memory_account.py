"""Account of the memory that an instance holds for its callers and for peers.

What is held is bounded. Near the bound large bodies are not read for a while,
then those that don't fit soon are refused before anything has run. Peers' large
bodies give way first, then those of own callers, and small requests last.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.held_memory import account_log
from jujubewharf.held_memory import leases

# Most that is held where no figure of the memory is given.
DEFAULT_BOUND_BYTES = 83_886_080
# Requests up to this size are served first.
SMALL_BYTES = 65_536
# Share of the memory that larger requests leave to small ones.
_SMALL_SHARE = 1 / 16
# Share of the memory that peers' large bodies may have, and its least size, so
# that one of the usual bound fits.
_PEER_SHARE = 1 / 4
_MIN_PEER_BYTES = 4_718_592
# Longest time that a request waits for memory, unread. Callers that may repeat
# a request give up on an instance that has not read it after a second.
MAX_WAIT_MS = 300.0
_MAX_WAIT_SHARE = 0.1
# Time over which the rate at which memory becomes free is observed.
_RATE_WINDOW_MS = 1_000.0
# Time after which the bound is renewed.
_CHECK_MS = 500.0
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 1_000.0
# Largest retry-after as a share of the caller's timeout; with more, callers
# don't wait for it.
_MAX_RETRY_SHARE = 0.33


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """A request that waits for memory, of which nothing is read meanwhile."""

    lease: leases.Lease
    size_bytes: int
    is_growth: bool
    granted: asyncio.Future[None]

    @property
    def rank(self) -> tuple[bool, bool, bool, int]:
        """Order of the waiters: small ones, own ones, begun ones, by size."""
        size_bytes = self.size_bytes
        if self.is_growth:
            # What has been read of it is lost if it is refused.
            size_bytes = -self.lease.body_bytes
        is_large = self.size_bytes > SMALL_BYTES
        is_peers = is_large and self.lease.is_for_peer
        return is_large, is_peers, not self.is_growth, size_bytes

    @property
    def kind(self) -> leases.Kind:
        """What the memory is counted as."""
        if self.size_bytes <= SMALL_BYTES:
            return leases.Kind.SMALL_BODY
        if self.lease.is_for_peer:
            return leases.Kind.PEER_BODY
        return leases.Kind.BODY

    @property
    def was_granted(self) -> bool:
        """Whether the lease has got the memory."""
        return self.granted.done() and not self.granted.cancelled()


class HeldMemory:
    """Bounds what is held for callers.

    Args:
        clock: Time source.
        bound_bytes: Most that is held, in bytes.

    Attributes:
        bound_bytes: Most that is held, in bytes; may change.
        held: Bytes held, by kind; those of a body from its admission.
        arrived_bytes: Bytes of bodies that have arrived.
        on_check: Called now and then to renew the bound.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        bound_bytes: int = DEFAULT_BOUND_BYTES,
    ) -> None:
        self.bound_bytes = bound_bytes
        self.held: collections.Counter[leases.Kind] = collections.Counter()
        self.arrived_bytes = 0
        self.on_check: Callable[[], None] = lambda: None
        self._checked_at_ms: float | None = None
        self._clock = clock
        self._leases: set[leases.Lease] = set()
        self._waiting: list[_Waiter] = []
        self._freed: collections.deque[tuple[float, int]] = collections.deque()

    def __repr__(self) -> str:
        return f"HeldMemory({self.total_bytes} of {self.bound_bytes} bytes)"

    @property
    def total_bytes(self) -> int:
        """Bytes held."""
        return sum(self.held.values())

    @property
    def waiting_bytes(self) -> int:
        """Bytes that requests wait for."""
        return sum(waiter.size_bytes for waiter in self._waiting)

    def now_ms(self) -> float:
        """Returns the clock's reading."""
        return self._clock.now_ms()

    def new(
        self,
        caller_timeout_ms: float | None = None,
        *,
        is_for_peer: bool = False,
    ) -> leases.Lease:
        """Returns a lease that is never released; see ``lease``."""
        lease = leases.Lease(self, caller_timeout_ms, is_for_peer=is_for_peer)
        self._leases.add(lease)
        return lease

    def check_bound(self) -> None:
        """Renews the bound if it is not from just now."""
        now_ms = self.now_ms()
        since_ms = self._checked_at_ms
        if since_ms is None or now_ms - since_ms >= _CHECK_MS:
            self._checked_at_ms = now_ms
            self.on_check()

    @contextlib.contextmanager
    def lease(
        self, caller_timeout_ms: float | None, *, is_for_peer: bool = False
    ) -> Iterator[leases.Lease]:
        """Lends memory to a request for the block.

        Args:
            caller_timeout_ms: Time that the caller waits; ``None`` if unknown.
            is_for_peer: Whether the request is a call for a peer.
        """
        lease = self.new(caller_timeout_ms, is_for_peer=is_for_peer)
        try:
            yield lease
        finally:
            self._leases.discard(lease)
            self._release(lease)

    async def take(
        self, lease: leases.Lease, size_bytes: int, *, is_growth: bool
    ) -> None:
        """Takes memory for a lease; see ``Lease.take``."""
        granted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(lease, size_bytes, is_growth, granted)
        if size_bytes > SMALL_BYTES:
            self.check_bound()
        if self._fits(waiter) and not self._has_rival(waiter):
            self.add(lease, waiter.kind, size_bytes)
        else:
            await self._wait(waiter)

    def add(
        self, lease: leases.Lease, kind: leases.Kind, size_bytes: int
    ) -> None:
        """Adds memory to a lease; takes it away if negative."""
        self.held[kind] += size_bytes
        lease.held[kind] += size_bytes
        if size_bytes < 0:
            self._grant()

    def _fits(self, waiter: _Waiter) -> bool:
        size_bytes = waiter.size_bytes
        kept_bytes = self.bound_bytes * _SMALL_SHARE
        match waiter.kind:
            case leases.Kind.SMALL_BODY:
                # They keep their part also while the bound is falling.
                return (
                    self.held[leases.Kind.SMALL_BODY] + size_bytes <= kept_bytes
                    or self.total_bytes + size_bytes <= self.bound_bytes
                )
            case leases.Kind.PEER_BODY if not self._is_in_peers_share(waiter):
                return False
        most_bytes = self.bound_bytes - kept_bytes
        return self.total_bytes + size_bytes <= most_bytes

    def _is_in_peers_share(self, waiter: _Waiter) -> bool:
        most_bytes = max(self.bound_bytes * _PEER_SHARE, _MIN_PEER_BYTES)
        held_bytes = self.held[leases.Kind.PEER_BODY]
        return held_bytes + waiter.size_bytes <= most_bytes

    def _has_rival(self, waiter: _Waiter) -> bool:
        """Returns whether another request waits whose turn is earlier."""
        return any(other.rank <= waiter.rank for other in self._waiting)

    async def _wait(self, waiter: _Waiter) -> None:
        """Waits until the memory can be taken, and takes it.

        Raises:
            WharfError: ``MEMORY_FULL``; it can't be had soon.
        """
        self._evict_slow(waiter)
        self._evict_peers(waiter)
        max_wait_ms = MAX_WAIT_MS
        if waiter.lease.caller_timeout_ms is not None:
            share_ms = waiter.lease.caller_timeout_ms * _MAX_WAIT_SHARE
            max_wait_ms = min(max_wait_ms, share_ms)
        while self._free_in_ms(waiter) > max_wait_ms:
            if not self._evict_cheaper(waiter):
                raise self._full_error(waiter)
        try:
            while not await self._is_granted(waiter, max_wait_ms):
                # Bodies that grow side by side may all wait for one another.
                if not self._evict_cheaper(waiter):
                    raise self._full_error(waiter)
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    async def _is_granted(self, waiter: _Waiter, max_wait_ms: float) -> bool:
        """Waits its turn; returns whether it has got the memory."""
        waiter.granted = asyncio.get_running_loop().create_future()
        if waiter not in self._waiting:
            self._waiting.append(waiter)
            self._waiting.sort(key=lambda other: other.rank)
        self._grant()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(max_wait_ms):
                await waiter.granted
        return waiter.was_granted

    def _grant(self) -> None:
        """Lets the waiters go on for which there is room now, in order."""
        while self._waiting and self._fits(self._waiting[0]):
            waiter = self._waiting.pop(0)
            if not waiter.granted.done():
                self.add(waiter.lease, waiter.kind, waiter.size_bytes)
                waiter.granted.set_result(None)

    def _evict_cheaper(self, waiter: _Waiter) -> bool:
        """Ends the growing body of which least was read.

        Returns:
            Whether there was one of which less was read than of this one.
        """
        read_bytes = waiter.lease.body_bytes if waiter.is_growth else 0
        growing = [
            other
            for other in self._leases
            if other.is_growing and other.body_bytes < read_bytes
        ]
        if not growing:
            return False
        min(growing, key=lambda other: other.body_bytes).evict()
        return True

    def _evict_slow(self, waiter: _Waiter) -> None:
        """Ends bodies that hardly arrive, the largest first."""
        self._evict([other for other in self._leases if other.is_slow], waiter)

    def _evict_peers(self, waiter: _Waiter) -> None:
        """Ends peers' bodies that arrive, for an own caller's request."""
        if not waiter.lease.is_for_peer:
            chosen = [other for other in self._leases if other.gives_way]
            self._evict(chosen, waiter)

    def _evict(self, chosen: list[leases.Lease], waiter: _Waiter) -> None:
        """Ends bodies until a request fits, the largest first."""
        missing_bytes = self.total_bytes + self.waiting_bytes
        missing_bytes += waiter.size_bytes - self.bound_bytes
        missing_bytes -= self._evicted_bytes()
        chosen.sort(key=lambda other: other.body_bytes)
        while chosen and missing_bytes > 0:
            lease = chosen.pop()
            if lease is not waiter.lease:
                missing_bytes -= lease.body_bytes
                lease.evict()

    def _evicted_bytes(self) -> int:
        """Bytes of bodies that were given up and are about to be released."""
        return sum(
            lease.body_bytes for lease in self._leases if lease.is_evicted
        )

    def _free_in_ms(self, waiter: _Waiter) -> float:
        """Estimates when the memory will be free, at the present rate."""
        missing_bytes = self.total_bytes + waiter.size_bytes - self.bound_bytes
        missing_bytes += sum(
            other.size_bytes
            for other in self._waiting
            if other.rank <= waiter.rank
        )
        missing_bytes -= self._evicted_bytes()
        if missing_bytes <= 0:
            return 0.0
        freed_bytes = self._recently_freed()
        if not freed_bytes:
            return float("inf")
        return missing_bytes / freed_bytes * _RATE_WINDOW_MS

    def _record_freed(self, size_bytes: int) -> None:
        self._freed.append((self.now_ms(), size_bytes))
        self._recently_freed()

    def _recently_freed(self) -> int:
        since_ms = self.now_ms() - _RATE_WINDOW_MS
        while self._freed and self._freed[0][0] < since_ms:
            self._freed.popleft()
        return sum(size_bytes for _, size_bytes in self._freed)

    def _full_error(self, waiter: _Waiter) -> errors.WharfError:
        account_log.log_refusal(
            waiter.size_bytes,
            held_bytes=self.total_bytes,
            bound_bytes=self.bound_bytes,
            is_growth=waiter.is_growth,
        )
        return self.full_error(waiter.lease, self._free_in_ms(waiter))

    def full_error(
        self, lease: leases.Lease, free_in_ms: float = 0.0
    ) -> errors.WharfError:
        """Returns the error of a request for which there is no memory."""
        after_ms = min(max(free_in_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)
        if lease.caller_timeout_ms is not None:
            share_ms = lease.caller_timeout_ms * _MAX_RETRY_SHARE
            after_ms = min(after_ms, share_ms)
        return errors.WharfError(
            errors.ErrorKind.MEMORY_FULL, retry_after_ms=after_ms
        )

    def _release(self, lease: leases.Lease) -> None:
        self.held.subtract(lease.held)
        self.arrived_bytes -= lease.arrived_bytes
        lease.arrived_bytes = 0
        if lease.body_bytes:
            self._record_freed(lease.body_bytes)
        lease.held.clear()
        self._grant()
