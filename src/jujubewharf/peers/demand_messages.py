"""Messages about elections and uneven demand; numbers 140 to 149."""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@messages.message(140)
@dataclasses.dataclass(frozen=True, slots=True)
class FleetAddresses(messages.Message):
    """The leader gives a follower the addresses of some other instances.

    The follower sends them the address of the next leader, and has them make
    calls to endpoints that it doesn't reach.

    Attributes:
        addresses: Addresses of the instances.
        domains: Their failure domains, in the same order; empty from an older
            build.
    """

    addresses: tuple[str, ...]
    domains: tuple[str, ...] = ()


@messages.message(141)
@dataclasses.dataclass(frozen=True, slots=True)
class RetryDemand(messages.Message):
    """A follower reports its demand for retries.

    Attributes:
        number: Number of the last ``RetryShare`` of this leader that the
            follower uses; 0 if it has none yet.
        held_share: Highest share that it has used within the last window;
            ``None`` if it has just started and never had one.
        wanted: Retries that it wanted within the window, denied ones included.
    """

    number: int
    held_share: float | None
    wanted: float


@messages.message(142)
@dataclasses.dataclass(frozen=True, slots=True)
class RetryShare(messages.Message):
    """The leader sets a follower's share of the retry allowance.

    Attributes:
        number: Rises with each share that the leader sends to the follower.
        share: Share of the allowance, 0 to 1.
    """

    number: int
    share: float
