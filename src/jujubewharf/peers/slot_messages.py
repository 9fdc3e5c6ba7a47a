"""Messages about decode slots and load; numbers 40 to 49.

The coordinator of an engine (see ``routing.coordinators``) grants its slots.
Times are durations rather than timestamps, because clocks differ between
instances.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jujubewharf.peers import messages


class EngineLoad(NamedTuple):
    """Load of one engine, as a tuple to omit the field names on the wire.

    Attributes:
        engine: Name of the engine.
        free: Number of slots that are neither held, granted nor waited for;
            negative if more requests wait than slots are free.
        wait_ms: Expected wait of a new request, in ms.
        queued_tokens: Number of prompt tokens in the prefill queue.
        is_usable: Whether the engine accepts new work.
        step_ms: Time between output tokens, in ms.
        link_ms: Time to transfer all prompts in progress over the engine's
            link, in ms.
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
class SlotRequest(messages.Message):
    """Requests a decode slot; the reply may be delayed until it is granted.

    Attributes:
        engine: Name of the engine.
        number: Number of the request at the requesting instance.
        ready_in_ms: Time from the grant until the slot is needed, in ms.
        latest_in_ms: Time after which a grant is useless, in ms.
        answer_in_ms: Time within which to reply, granted or not, in ms. Lets
            the requester try other engines and detect a failed coordinator.
        hold_ms: Time for which the requester expects to hold the slot, in ms.
        priority: Priority of the request; higher ones are granted first.
        waste_weight: Weight that the service gives to wasted prefill, 0 to 1.
        is_ready: Whether the prefill is done and the slot needed at once.
    """

    engine: str
    number: int
    ready_in_ms: int
    latest_in_ms: int
    answer_in_ms: int
    hold_ms: int
    priority: int = 0
    waste_weight: float = 0.5
    is_ready: bool = False


@messages.message(41)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotReply(messages.Message):
    """Reply to ``SlotRequest``.

    Attributes:
        is_granted: Whether the slot is granted.
        free_in_ms: Time until the slot is expected to be free, in ms.
        expires_in_ms: Time until an unused grant expires, in ms.
        wait_ms: Without a grant, time after which to ask again, in ms.
        is_infeasible: Whether the engine can't grant a slot in time.
        digest: Load of the engines that the sender coordinates.
    """

    is_granted: bool
    free_in_ms: int = 0
    expires_in_ms: int = 0
    wait_ms: int = 0
    is_infeasible: bool = False
    digest: tuple[EngineLoad, ...] = ()


@messages.message(42)
@dataclasses.dataclass(frozen=True, slots=True)
class SlotRelease(messages.Message):
    """Releases a slot or a grant, or leaves the wait queue.

    Attributes:
        engine: Name of the engine.
        number: Number of the request at the sender.
        is_held: Whether the slot was in use, rather than granted or queued
            for.
    """

    engine: str
    number: int
    is_held: bool = False


@messages.message(43)
@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlots(messages.Message):
    """Informs a new coordinator of the slots that the sender holds.

    Attributes:
        engine: Name of the engine.
        held: Number of each request and the time for which it has held its
            slot, in ms.
    """

    engine: str
    held: tuple[tuple[int, int], ...]


@messages.message(44)
@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoads(messages.Message):
    """Shares the load of the engines that the sender coordinates.

    Also the reply to ``PrefillRequest``, with the load ahead of that prompt.
    """

    digest: tuple[EngineLoad, ...]


@messages.message(45)
@dataclasses.dataclass(frozen=True, slots=True)
class PrefillRequest(messages.Message):
    """Announces a prefill to the engine's coordinator, which replies at once.

    Attributes:
        engine: Name of the prefill engine.
        number: Number of the request at the sender.
        tokens: Number of prompt tokens.
    """

    engine: str
    number: int
    tokens: int


@messages.message(46)
@dataclasses.dataclass(frozen=True, slots=True)
class PrefillEnd(messages.Message):
    """Informs a coordinator that a prefill is done or was cancelled.

    Attributes:
        engine: Name of the prefill engine.
        number: Number of the request at the sender.
        is_prefilled: Whether the prefill is done, so that the transfer begins.
    """

    engine: str
    number: int
    is_prefilled: bool = False
