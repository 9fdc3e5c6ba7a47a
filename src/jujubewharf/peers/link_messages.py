"""Messages of the links themselves: hello, heartbeat, goodbye.

Numbers 1 to 9 belong to links, 10 to 19 to membership.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.peers import messages

PROTOCOL_VERSION = 1
OLDEST_SPOKEN_VERSION = 1


class Goodbye(enum.Enum):
    """Why a side ends a link; also the reason a hello is refused."""

    STOPPING = "stopping"
    IDLE = "idle"
    STRANGER = "stranger"
    VERSION = "version"
    OTHER_INSTANCE = "other_instance"
    REPLACED = "replaced"
    BUSY = "busy"
    BAD_HELLO = "bad_hello"


@messages.message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello(messages.Message):
    """First message of both sides; the dialling side speaks first.

    Attributes:
        instance: The sender's name.
        domain: The sender's failure domain.
        address: ``IP:PORT`` on which the sender listens.
        incarnation: Tells a replacement from the process before it.
        version: Newest protocol version that the sender speaks.
        oldest_version: Oldest protocol version that it speaks.
        capabilities: Optional features that the sender knows.
        is_standing: Whether the dialling side means to keep the link.
        is_leaving: Whether the sender has begun to leave.
    """

    instance: str
    domain: str
    address: str
    incarnation: int
    version: int = PROTOCOL_VERSION
    oldest_version: int = OLDEST_SPOKEN_VERSION
    capabilities: tuple[str, ...] = ()
    is_standing: bool = False
    is_leaving: bool = False


@messages.message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """Says that the sender lives, and whether it hears the receiver.

    Attributes:
        hears_you: False tells the receiver of a one-way cut: its own words
            don't arrive, which it couldn't know otherwise.
        facts_digest: Digest of the sender's facts; see
            ``membership.facts``.
    """

    hears_you: bool = True
    facts_digest: int = 0


@messages.message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Farewell(messages.Message):
    """Last message on a link.

    Attributes:
        reason: Why, as a value of ``Goodbye``; newer senders may have more.
        incarnation: With ``replaced``: the newest incarnation known.
    """

    reason: str
    incarnation: int = 0
