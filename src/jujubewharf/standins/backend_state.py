"""One engine or endpoint that forwarding can be run against, and its faults."""

from __future__ import annotations

import asyncio
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports

PROOF = ("Proof", "engine")


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """One run that an engine began, and what it was told of the caller."""

    request_id: str
    engine: str
    after_event: int | None
    had_source: bool
    at_ms: float = 0.0
    account: str | None = None
    headers: calls.Headers = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request or a prompt that reached a backend, also one it refused."""

    instance: str
    at_ms: float
    body: bytes = b""
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """A backend that crashed under a request."""

    body: bytes
    engine: str
    at_ms: float


@dataclasses.dataclass(slots=True)
class StandInBackend:
    """One engine or endpoint and its faults.

    Attributes:
        endpoint: What it registers.
        memory_tokens: Tokens that can be reserved at once.
        events: Events of each of its answers.
        event_ms: Time between them.
        prefill_token_ms: Time to read a token.
        work_ms: Time for a plain answer.
        status: Status of its answers.
        is_unreachable: No connection is made.
        is_changing: It carries out an order and refuses runs.
        is_replaced: Another engine has its address.
        is_silent: It never answers a run that it began.
        loses_answers: It runs a request and the answer is lost.
        refuses_sources: Prefill results can't be fetched.
        refuses_readings: It has no room to read a prompt.
        loses_readings: It reads prompts and the results are lost.
        skips: Its streams leave this event out.
        breaks_after: Its streams break after this event.
        stalls_after: Its streams fall silent after this event.
        held: Memory reserved now, by reservation or run.
        lapses_ms: When reservations end that no run has taken.
        at_work: Requests that it works on now.
        orders: Orders that it accepted.
        next_fault: Fault of the next order, once.
        refused_readings: Prompts that it was asked to read and had no room
            for.
        rate_limit_per_s: Limit that it names in its answers.
        is_leaving: It says in its answers that it leaves.
        backoff_ms: It refuses all, and asks to back off for so long.
        asked: Requests and prompts that reached it, in order.
        asked_memory: Calls that asked it for memory.
        told_ms: When it first answered each instance with such a word.
        has_crashed: Its process is gone, with all that it ran.
        is_cut: It only seems so to all instances, which can't reach it.
    """

    endpoint: resources.Endpoint
    memory_tokens: int = 40_000
    events: int = 5
    event_ms: float = 50.0
    prefill_token_ms: float = 0.02
    work_ms: float = 20.0
    status: int = 200
    is_unreachable: bool = False
    is_changing: bool = False
    is_replaced: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    refuses_sources: bool = False
    refuses_readings: bool = False
    loses_readings: bool = False
    skips: int | None = None
    breaks_after: int | None = None
    stalls_after: int | None = None
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    lapses_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    at_work: set[str] = dataclasses.field(default_factory=set)
    orders: list[ports.RoleOrder] = dataclasses.field(default_factory=list)
    next_fault: client.EngineFault | None = None
    refused_readings: int = 0
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_ms: float = 0.0
    asked: list[Asked] = dataclasses.field(default_factory=list)
    asked_memory: list[Asked] = dataclasses.field(default_factory=list)
    told_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    is_cut: bool = False
    has_crashed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    @property
    def name(self) -> str:
        """Its registered name."""
        return self.endpoint.name

    def error(
        self, fault: client.EngineFault, detail: str = ""
    ) -> client.EngineError:
        """A failure of a call to it."""
        return client.EngineError(fault, self.name, detail)
