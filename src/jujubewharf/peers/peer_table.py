"""Table of known peers and their newest hellos."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from jujubewharf.peers import link_messages
from jujubewharf.peers import peer as peers


class PeerTable:
    """Peers by name; iteration yields the peers.

    Args:
        make: Creates the peer with the given name.

    Attributes:
        addresses: Listening address of each other instance, by name.
        hellos: Newest hello of each peer that sent one, by name.
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
        """Returns the names of all peers in the table."""
        return tuple(self._peers)

    def get(self, name: str) -> peers.Peer | None:
        """Returns a peer, ``None`` if it is not in the table."""
        return self._peers.get(name)

    def get_reachable(self, name: str) -> peers.Peer | None:
        """Returns a peer with a link or an address, created if needed.

        Returns:
            ``None`` for a peer with neither a link nor an address.
        """
        entry = self._peers.get(name)
        if entry is not None and (entry.links or name in self.addresses):
            return entry
        if name not in self.addresses:
            return None
        return self.get_or_create(name)

    def get_or_create(self, name: str) -> peers.Peer:
        """Returns a peer, created if it is not in the table."""
        entry = self._peers.get(name)
        if entry is None:
            entry = self._make(name)
            self._peers[name] = entry
        return entry

    def remove_unused(self, entry: peers.Peer) -> None:
        """Removes a peer that is not needed and has no known address."""
        if not entry.is_needed and entry.name not in self.addresses:
            self._peers.pop(entry.name, None)
            self.hellos.pop(entry.name, None)
