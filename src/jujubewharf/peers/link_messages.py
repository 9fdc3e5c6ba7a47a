"""Control messages of links: hello, heartbeat, farewell; numbers 1 to 9."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.peers import messages

PROTOCOL_VERSION = 1
OLDEST_SUPPORTED_VERSION = 1


class CloseReason(enum.Enum):
    """Reason for closing a link or refusing a hello."""

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
    """First message of either side; the dialling side sends first.

    Attributes:
        instance: Name of the sender.
        domain: Failure domain of the sender.
        address: ``IP:PORT`` on which the sender listens.
        incarnation: Distinguishes the process from earlier processes of the
            same name.
        version: Newest protocol version supported by the sender.
        oldest_version: Oldest protocol version supported by the sender.
        capabilities: Optional features supported by the sender.
        is_standing: Whether the dialling side keeps the link open while idle.
        is_leaving: Whether the sender is draining.
        is_relay: Whether the dialling side opens the stream for one call to an
            endpoint; see ``relay_messages``.
        is_origin_link: Whether the dialling side opens the link to tell and ask
            where streams began; see ``origin_messages``.
        leader: Address of a new leader that the dialling side announces; the
            link is closed after the handshake. ``None`` for other links.
        leader_term: Number of the election that the leader has won.
    """

    instance: str
    domain: str
    address: str
    incarnation: int
    version: int = PROTOCOL_VERSION
    oldest_version: int = OLDEST_SUPPORTED_VERSION
    capabilities: tuple[str, ...] = ()
    is_standing: bool = False
    is_leaving: bool = False
    leader: str | None = None
    leader_term: int = 0
    is_relay: bool = False
    is_origin_link: bool = False


@messages.message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(messages.Message):
    """Periodic sign of life of the sender.

    Attributes:
        is_receiving: Whether the sender receives frames from the receiver.
            Lets the receiver detect a one-way partition.
        facts_digest: Digest of the sender's facts; see
            ``membership.facts``.
    """

    is_receiving: bool = True
    facts_digest: int = 0


@messages.message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Farewell(messages.Message):
    """Last message on a link.

    Attributes:
        reason: Usually a value of ``CloseReason``; newer senders may send
            other reasons.
        incarnation: For the reason ``replaced``, the newest known incarnation.
    """

    reason: str
    incarnation: int = 0
