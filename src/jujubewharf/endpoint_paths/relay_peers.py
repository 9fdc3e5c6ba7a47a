"""Chooses the peer that makes a call to an endpoint for this instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses

from jujubewharf import clock as clocks

# Bound of the peers that were learnt from other peers' refusals.
_MAX_LEARNT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where another instance accepts connections.

    Attributes:
        address: ``IP:PORT``.
        domain: Its failure domain; ``None`` if unknown.
        is_leader: Whether it leads, and so has more to do than others.
    """

    address: str
    domain: str | None = None
    is_leader: bool = False


@dataclasses.dataclass(slots=True)
class _Usage:
    """Use of one peer.

    Attributes:
        in_flight: Calls that it makes for this instance now.
        used_ms: Time of the last call.
        avoided_until_ms: Time until which others are asked first.
        unreachable_until_ms: Time until which it isn't asked at all.
    """

    in_flight: int = 0
    used_ms: float = 0.0
    avoided_until_ms: float = 0.0
    unreachable_until_ms: float = 0.0


class RelayPeers:
    """Peers that may make calls for this instance.

    Spreads calls by those in flight, so that the last peer of a failure domain
    that reaches endpoints isn't overloaded by all that don't.

    Args:
        domain: Failure domain of this instance.
        known: Returns the peers that this instance knows.
        clock: Time source.
    """

    def __init__(
        self,
        domain: str,
        known: Callable[[], Iterable[PeerAddress]],
        clock: clocks.Clock,
    ) -> None:
        self._domain = domain
        self._known = known
        self._clock = clock
        self._learnt: dict[str, None] = {}
        self._usage: dict[str, _Usage] = {}

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the peers that this instance knows."""
        return tuple(peer.address for peer in self._known())

    def learn(self, addresses: Iterable[str]) -> None:
        """Adds peers of which another peer told."""
        for address in addresses:
            self._learnt[address] = None
        while len(self._learnt) > _MAX_LEARNT:
            del self._learnt[next(iter(self._learnt))]

    def best(self, tried: Collection[str]) -> str | None:
        """Returns the address of the peer to ask next, if there is one.

        Args:
            tried: Addresses that were asked already.
        """
        known = {peer.address: peer for peer in self._known()}
        for address in self._learnt:
            known.setdefault(address, PeerAddress(address))
        self._forget_others(known)
        now_ms = self._clock.now_ms()
        candidates = [
            peer
            for address, peer in known.items()
            if address not in tried
            and self._usage_of(address).unreachable_until_ms <= now_ms
        ]
        if not candidates:
            return None
        return min(candidates, key=self._rank).address

    def avoid(self, address: str, for_ms: float) -> None:
        """Asks other peers first for a while."""
        until_ms = self._clock.now_ms() + for_ms
        self._usage_of(address).avoided_until_ms = until_ms

    def mark_unreachable(self, address: str, for_ms: float) -> None:
        """Asks a peer again only after a while."""
        until_ms = self._clock.now_ms() + for_ms
        self._usage_of(address).unreachable_until_ms = until_ms

    @contextlib.contextmanager
    def using(self, address: str) -> Iterator[None]:
        """Counts a call as made by a peer for the duration of the block."""
        usage = self._usage_of(address)
        usage.in_flight += 1
        usage.used_ms = self._clock.now_ms()
        try:
            yield
        finally:
            usage.in_flight -= 1

    def _usage_of(self, address: str) -> _Usage:
        return self._usage.setdefault(address, _Usage())

    def _forget_others(self, known: Collection[str]) -> None:
        for address, usage in list(self._usage.items()):
            if address not in known and not usage.in_flight:
                del self._usage[address]

    def _rank(
        self, peer: PeerAddress
    ) -> tuple[bool, int, bool, bool, float, str]:
        usage = self._usage_of(peer.address)
        return (
            usage.avoided_until_ms > self._clock.now_ms(),
            usage.in_flight,
            peer.domain != self._domain,
            peer.is_leader,
            usage.used_ms,
            peer.address,
        )
