"""Messages about decode slots and load; numbers 40 to 49.

An engine's coordinator (see ``routing.coordinators``) answers for its
slots. Times are spans and never instants, for clocks differ between instances.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jujubewharf.peers import messages


class EngineDigest(NamedTuple):
    """What a keeper says of one engine; a tuple, to be short on the wire.

    Attributes:
        engine: Its name.
        free: Slots that nobody holds, has or waits for; below zero when
            more requests wait than slots are free.
        wait_ms: Expected wait of a new request.
        queued_tokens: Prompt tokens waiting to be read.
        is_usable: Whether new work may be sent there.
        step_ms: Time between tokens.
        link_ms: Time its link needs for all prompts under way.
    """

    engine: str
    free: int
    wait_ms: int
    queued_tokens: int
    is_usable: bool
    step_ms: int = 0
    link_ms: int = 0


@messages.message(40)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk(messages.Message):
    """Asks for a decode slot; the answer may wait as long as the caller can.

    Attributes:
        engine: Whose slot.
        number: Of the request at the asking instance.
        ready_in_ms: Time from the grant until the slot will be needed.
        latest_in_ms: Time within which the grant must come to be of use.
        answer_in_ms: Time within which the asker wants to hear, so that it
            can look elsewhere and a keeper that is gone is noticed.
        hold_ms: How long the asker expects to hold the slot.
        priority: Higher goes first.
        caution: From 0 to 1, the service's weight of wasted prefill.
        is_ready: The prompt was read; the slot is needed at the grant.
    """

    engine: str
    number: int
    ready_in_ms: int
    latest_in_ms: int
    answer_in_ms: int
    hold_ms: int
    priority: int = 0
    caution: float = 0.5
    is_ready: bool = False


@messages.message(41)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer(messages.Message):
    """Answers ``SlotAsk``.

    Attributes:
        is_granted: Whether the slot is the asker's.
        from_in_ms: When the slot is expected to be free.
        until_in_ms: When the grant lapses unless the slot was taken.
        wait_ms: Without a grant, when to come back.
        is_hopeless: The grant can't come in time at this engine.
        digest: Of engines that this keeper keeps.
    """

    is_granted: bool
    from_in_ms: int = 0
    until_in_ms: int = 0
    wait_ms: int = 0
    is_hopeless: bool = False
    digest: tuple[EngineDigest, ...] = ()


@messages.message(42)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotEnd(messages.Message):
    """Gives a slot, a grant or a place in the line back.

    Attributes:
        engine: Whose slot.
        number: Of the request at the sender.
        is_held: Whether it was a slot and not a grant or a place.
    """

    engine: str
    number: int
    is_held: bool = False


@messages.message(43)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotsHeld(messages.Message):
    """Tells a new keeper what the sender holds at an engine.

    Attributes:
        engine: The engine.
        held: Number of each request and the time it has held its slot.
    """

    engine: str
    held: tuple[tuple[int, int], ...]


@messages.message(44)
@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest(messages.Message):
    """Tells others of the engines that the sender keeps.

    It also answers ``ReadAsk``, with the queue ahead of that prompt.
    """

    digest: tuple[EngineDigest, ...]


@messages.message(45)
@dataclasses.dataclass(frozen=True, slots=True)
class ReadAsk(messages.Message):
    """Tells a keeper of a prompt about to be sent; answered at once.

    Attributes:
        engine: Where to.
        number: Of the request at the asking instance.
        tokens: Length of the prompt.
    """

    engine: str
    number: int
    tokens: int


@messages.message(46)
@dataclasses.dataclass(frozen=True, slots=True)
class ReadEnd(messages.Message):
    """Tells a keeper that a prompt was read, or won't be.

    Attributes:
        engine: Where.
        number: Of the request at the sender.
        is_read: Whether it was read, so that its transfer begins.
    """

    engine: str
    number: int
    is_read: bool = False
