"""Messages about elections and uneven demand; numbers 140 to 149."""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@messages.message(140)
@dataclasses.dataclass(frozen=True, slots=True)
class FleetAddresses(messages.Message):
    """The leader gives a follower the addresses of some other instances.

    The follower sends them the address of the next leader.
    """

    addresses: tuple[str, ...]
