"""The peers that an instance has or had to do with, and their hellos."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from jujubewharf.peers import link_messages
from jujubewharf.peers import peer as peers


class PeerTable:
    """Peers by name; iterates over them.

    Args:
        make: Makes the peer of a name.

    Attributes:
        addresses: Where each other instance listens.
        hellos: The newest hello of each peer that gave one.
    """

    def __init__(self, make: Callable[[str], peers.Peer]) -> None:
        self.addresses: Mapping[str, str] = {}
        self.hellos: dict[str, link_messages.Hello] = {}
        self._make = make
        self._peers: dict[str, peers.Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def __iter__(self) -> Iterator[peers.Peer]:
        return iter(self._peers.values())

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def names(self) -> tuple[str, ...]:
        """Names of all peers in the table."""
        return tuple(self._peers)

    def get(self, name: str) -> peers.Peer | None:
        """The peer of a name, if it is in the table."""
        return self._peers.get(name)

    def reachable(self, name: str) -> peers.Peer | None:
        """The peer of a name, made when only its address is known.

        Returns:
            None for a peer with neither a link nor an address.
        """
        known = self._peers.get(name)
        if known is not None and (known.links or name in self.addresses):
            return known
        if name not in self.addresses:
            return None
        return self.made(name)

    def made(self, name: str) -> peers.Peer:
        """The peer of a name, made when it is not in the table."""
        known = self._peers.get(name)
        if known is None:
            known = self._make(name)
            self._peers[name] = known
        return known

    def forget(self, known: peers.Peer) -> None:
        """Drops a peer that is neither needed nor known to exist."""
        if not known.is_needed and known.name not in self.addresses:
            self._peers.pop(known.name, None)
            self.hellos.pop(known.name, None)
