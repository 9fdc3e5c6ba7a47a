"""Messages between the leader and the instances that follow it; 70 to 89.

Times are spans and never instants, for clocks differ between instances.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import registration
from jujubewharf.forwarding import routes
from jujubewharf.peers import messages


@messages.message(70)
@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen(messages.Message):
    """How far the leader has read the store's tables; also its heartbeat.

    Attributes:
        configuration_end: Offset up to which it has read configurations.
        configuration_age_ms: Time since that was last confirmed.
        endpoints_end: The same for endpoints.
        endpoints_age_ms: The same for endpoints.
        instances: Instances that share what the fleet may spend.
    """

    configuration_end: int
    configuration_age_ms: int
    endpoints_end: int
    endpoints_age_ms: int
    instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What stands under one key.

    Attributes:
        key: The key.
        offset: Place in the table's log.
        endpoint: What it says; ``None`` where it was removed.
        is_unreadable: Whether it can't be understood.
    """

    key: str
    offset: int
    endpoint: registration.Registration | None
    is_unreadable: bool = False


@messages.message(71)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNews(messages.Message):
    """Endpoints that have changed.

    Attributes:
        records: The changed ones; in a link's first news those that have
            changed since the follower read the table.
        end: Offset up to which the table was read.
    """

    records: tuple[EndpointRecord, ...]
    end: int


@messages.message(87)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationNews(messages.Message):
    """The newest configuration.

    Attributes:
        key: Its key in the table.
        offset: Its place in the table's log.
        end: Offset up to which the table was read.
        configuration: What operators declared; ``None`` for one that is too
            large for all links at once.
        packed: That one in fewer bytes, see ``leadership.packing``; ``None``
            where that is too large as well, and followers read it themselves.
    """

    key: str
    offset: int
    end: int
    configuration: routes.RoutingConfiguration | None
    packed: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineBackoff:
    """An engine that wants nothing of one instance, and for how long."""

    engine: str
    for_ms: float


@messages.message(72)
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceAsk(messages.Message):
    """Asks for a decode engine with memory; the answer may wait in line.

    Attributes:
        number: Of the place at the asking instance.
        request_id: The caller's id, for logs.
        domain: Failure domain of the asking instance.
        route: Route of the request.
        service: Service that was picked of the route's.
        waited_ms: Time since the request arrived.
        left_ms: Time until its final answer is due.
        patience_ms: How long its caller waits from arrival.
        may_have_run: Whether an engine may have begun to work on it.
        lost_by: Engines that lost its answer.
        prompt_tokens: Tokens to read; ``None`` where its size isn't known.
        output_tokens: Most tokens that the answer has.
        expected_tokens: The caller's estimate of them.
        account: Client account; ``None`` where there is none.
        is_counted: Whether it was counted against the account's quota before.
        backoffs: Engines that want nothing of the asking instance now.
    """

    number: int
    request_id: str
    domain: str
    route: str
    service: str
    waited_ms: float
    left_ms: float
    patience_ms: float | None = None
    may_have_run: bool = False
    lost_by: tuple[str, ...] = ()
    prompt_tokens: int | None = None
    output_tokens: int = 0
    expected_tokens: int | None = None
    account: str | None = None
    is_counted: bool = False
    backoffs: tuple[EngineBackoff, ...] = ()


@messages.message(73)
@dataclasses.dataclass(frozen=True, slots=True)
class Placed(messages.Message):
    """Memory is reserved.

    Attributes:
        engine: On which engine.
        hold: Names the reservation there.
        tokens: Memory that is reserved.
        memory_part: Part of the engine's memory.
        readers: Engines that may read the prompt, the best first.
        has_permit: Whether the engine's limit allows the run.
    """

    engine: str
    hold: str
    tokens: int
    memory_part: float
    readers: tuple[str, ...] = ()
    has_permit: bool = False


@messages.message(74)
@dataclasses.dataclass(frozen=True, slots=True)
class NotPlaced(messages.Message):
    """The request got no place.

    Attributes:
        come_back_ms: When its caller should come back.
        is_over_quota: Whether its account has used its quota up; else there
            was no memory in the time that it could wait.
    """

    come_back_ms: float
    is_over_quota: bool = False


@messages.message(75)
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceEnded(messages.Message):
    """The asking instance needs a place no longer, or gave up waiting.

    Attributes:
        number: Of the place.
        is_whole: Whether the answer came to its end.
        is_hold_used: Whether the reservation went to the engine.
    """

    number: int
    is_whole: bool
    is_hold_used: bool


@messages.message(76)
@dataclasses.dataclass(frozen=True, slots=True)
class PromptRead(messages.Message):
    """An engine has read a prompt.

    Attributes:
        engine: Who read it.
        took_ms: Time that it took.
        tokens: Size of the prompt.
    """

    engine: str
    took_ms: float
    tokens: int


@messages.message(77)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBegan(messages.Message):
    """An answer's first event came; the time is that since its memory."""

    took_ms: float


@messages.message(78)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerProjected(messages.Message):
    """How long an answer is going to keep its part of an engine's memory."""

    will_take_ms: float
    memory_part: float


@messages.message(79)
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded(messages.Message):
    """How long an answer was, in tokens, and was expected to be."""

    expected_tokens: int
    tokens: int


@messages.message(80)
@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailed(messages.Message):
    """A call to an engine failed.

    Attributes:
        engine: The engine.
        fault: A value of ``engines.client.EngineFault``.
    """

    engine: str
    fault: str


@messages.message(81)
@dataclasses.dataclass(frozen=True, slots=True)
class EngineChanging(messages.Message):
    """An engine was found to carry out an order."""

    engine: str


@messages.message(82)
@dataclasses.dataclass(frozen=True, slots=True)
class ReadingRefused(messages.Message):
    """An engine takes no prompt now."""

    engine: str


@messages.message(88)
@dataclasses.dataclass(frozen=True, slots=True)
class Following(messages.Message):
    """A follower's first message.

    Attributes:
        endpoints_end: Offset up to which it has read endpoints; 0 for one that
            has read none.
    """

    endpoints_end: int


@messages.message(86)
@dataclasses.dataclass(frozen=True, slots=True)
class CostsObserved(messages.Message):
    """What a follower had observed of costs before it followed this leader.

    Attributes:
        readings: Prompts that were read.
        prefill_ms: Time for which one keeps a prefill engine busy.
        answers: Answers that were written.
        decode_ms: Time for which one would keep a decode engine's memory.
    """

    readings: int
    prefill_ms: float
    answers: int
    decode_ms: float


@messages.message(84)
@dataclasses.dataclass(frozen=True, slots=True)
class StillThere(messages.Message):
    """Asks whether the leader is there while an answer of it is awaited."""


@messages.message(85)
@dataclasses.dataclass(frozen=True, slots=True)
class Here(messages.Message):
    """The leader is there."""


@messages.message(89)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAsk(messages.Message):
    """Asks for the newest configuration, whole; the answer is news."""


@messages.message(83)
@dataclasses.dataclass(frozen=True, slots=True)
class ReadingEnded(messages.Message):
    """The prompt of a place was read, or isn't going to be.

    Attributes:
        number: Of the place.
    """

    number: int
