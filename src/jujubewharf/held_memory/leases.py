"""Memory that is held for one request."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
from typing import Protocol

from jujubewharf import errors
from jujubewharf.held_memory import account_log

# A body that gets fewer bytes than this in the time is slow, and makes room
# for others.
_STEP_BYTES = 32_768
_SLOW_MS = 500.0


class Kind(enum.Enum):
    """What is held; the value is the ``kind`` of the gauge.

    ``PEER_BODY``: a large body of a call that is made for a peer.
    """

    BODY = "body"
    SMALL_BODY = "small_body"
    PEER_BODY = "peer_body"
    UNSENT = "unsent"


class Account(Protocol):
    """What a lease needs of the account that its memory is taken from."""

    arrived_bytes: int

    def now_ms(self) -> float:
        """Returns the clock's reading."""
        ...

    async def take(
        self, lease: Lease, size_bytes: int, *, is_growth: bool
    ) -> None:
        """Takes memory for a lease."""
        ...

    def add(self, lease: Lease, kind: Kind, size_bytes: int) -> None:
        """Adds memory to a lease; takes it away if negative."""
        ...

    def full_error(self, lease: Lease) -> errors.WharfError:
        """Returns the error of a request for which there is no memory."""
        ...


class Lease:
    """Memory that is held for one request.

    Args:
        account: The account that the memory is taken from.
        caller_timeout_ms: Time that the caller waits; ``None`` if unknown.
        is_for_peer: Whether the request is a call that is made for a peer,
            which gives way to those of this instance's own callers.
    """

    def __init__(
        self,
        account: Account,
        caller_timeout_ms: float | None,
        *,
        is_for_peer: bool = False,
    ) -> None:
        self.caller_timeout_ms = caller_timeout_ms
        self.is_for_peer = is_for_peer
        self.held: collections.Counter[Kind] = collections.Counter()
        self.is_evicted = False
        self._account = account
        self._on_evicted: Callable[[], None] | None = None
        self._has_grown = False
        self.arrived_bytes = 0
        self._step_bytes = 0
        self._step_at_ms = 0.0

    def __repr__(self) -> str:
        return f"Lease({dict(self.held)})"

    async def take(self, size_bytes: int, *, is_growth: bool = False) -> None:
        """Takes memory for a body, or for more of it.

        Args:
            size_bytes: Size in bytes.
            is_growth: Whether a part of the body has been read.

        Raises:
            WharfError: ``MEMORY_FULL``; nothing has run.
        """
        self._has_grown |= self._on_evicted is not None
        await self._account.take(self, size_bytes, is_growth=is_growth)

    @contextlib.contextmanager
    def reading(self, on_evicted: Callable[[], None]) -> Iterator[None]:
        """Marks the block in which the body arrives.

        Args:
            on_evicted: Called if the body is slow and others need its memory.
        """
        self._on_evicted = on_evicted
        self._step_at_ms = self._account.now_ms()
        try:
            yield
        finally:
            self._on_evicted = None

    @property
    def body_bytes(self) -> int:
        """Bytes held for a large body."""
        return self.held[Kind.BODY] + self.held[Kind.PEER_BODY]

    def record_arrival(self, size_bytes: int) -> None:
        """Records that a part of the body has arrived."""
        self.arrived_bytes += size_bytes
        self._account.arrived_bytes += size_bytes
        if self.arrived_bytes - self._step_bytes >= _STEP_BYTES:
            self._step_bytes = self.arrived_bytes
            self._step_at_ms = self._account.now_ms()

    @property
    def is_slow(self) -> bool:
        """Whether a body arrives, but hardly any of it."""
        if self._on_evicted is None:
            return False
        return self._account.now_ms() - self._step_at_ms > _SLOW_MS

    @property
    def gives_way(self) -> bool:
        """Whether a peer's body arrives, of which nothing was sent on yet."""
        return self.is_for_peer and self._on_evicted is not None

    @property
    def is_growing(self) -> bool:
        """Whether a body arrives whose size is unknown."""
        return self._on_evicted is not None and self._has_grown

    def evict(self) -> None:
        """Ends the reading of the body."""
        assert self._on_evicted is not None
        account_log.log_eviction(
            self.body_bytes, is_slow=self.is_slow, is_for_peer=self.is_for_peer
        )
        self.is_evicted = True
        self._on_evicted()
        self._on_evicted = None

    def full_error(self) -> errors.WharfError:
        """Returns the error of a request for which there is no memory."""
        return self._account.full_error(self)

    @contextlib.contextmanager
    def unsent(self, size_bytes: int) -> Iterator[None]:
        """Counts a part of an answer while the caller doesn't read it."""
        self._account.add(self, Kind.UNSENT, size_bytes)
        try:
            yield
        finally:
            self._account.add(self, Kind.UNSENT, -size_bytes)
