"""State and injected faults of a stand-in engine or endpoint."""

from __future__ import annotations

import asyncio
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import reports
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registration
from jujubewharf.standins import pauses
from jujubewharf.standins import plain_slots

PROOF_HEADER = ("Proof", "engine")


@dataclasses.dataclass(slots=True)
class RunProgress:
    """What became of a run.

    Attributes:
        events_ms: Clock times at which events were written, by their number.
        closed_ms: Clock time at which its connection closed, from either side.
    """

    events_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    closed_ms: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class StartedRun:
    """A run that an engine started, with the request data it received."""

    request_id: str
    engine: str
    after_event: int | None
    had_source: bool
    at_ms: float = 0.0
    account: str | None = None
    headers: calls.Headers = ()
    progress: RunProgress = dataclasses.field(
        default_factory=RunProgress, compare=False, repr=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request or prefill that reached a backend, even if rejected."""

    instance: str
    at_ms: float
    body: bytes = b""
    request_id: str = ""
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCrash:
    """A crash of a backend caused by a request."""

    body: bytes
    engine: str
    at_ms: float
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class StandInBackend:
    """An engine or plain endpoint and its injected faults.

    Attributes:
        endpoint: The registered endpoint.
        memory_tokens: Decode memory in tokens.
        events: Number of events in each answer.
        event_ms: Time between two events.
        prefill_token_ms: Prefill time per token.
        work_ms: Response time of a plain endpoint.
        status: HTTP status of its answers.
        is_unreachable: Whether connecting to it fails.
        is_changing: Whether it is executing an order and rejects runs.
        is_replaced: Whether another engine has taken its address.
        is_silent: Whether it never answers a run that it started.
        loses_answers: Whether it runs requests but their answers are lost.
        refuses_sources: Whether it rejects fetching prefill results.
        rejects_prefills: Whether it rejects prefills as full.
        loses_prefills: Whether it prefills but the results are lost.
        skipped_event: Number of the event that its streams leave out.
        breaks_after: Number of the event after which its streams break.
        stalls_after: Number of the event after which its streams stall.
        ends_after: Number of the event after which its streams end inside the
            next one, without an error.
        is_streaming: Whether a plain endpoint answers with events.
        is_framed: Whether the end of its answers shows that they are whole.
        held: Reserved memory in tokens, by reservation or run.
        expires_ms: Expiry times of reservations, in clock milliseconds.
        running_requests: Ids of the running requests.
        orders: Accepted orders.
        next_fault: Fault raised by the next order only.
        rejected_prefills: Number of prefills rejected as full.
        rate_limit_per_s: Rate limit announced in its answers.
        is_leaving: Whether its answers announce that it is leaving.
        backoff_ms: Backoff requested with a rejection of every call; 0 to
            accept calls.
        load: Load that its answers report; ``None`` to report none.
        slots: Slots of a plain endpoint, whose load is then reported instead;
            ``None`` to process all calls at once.
        received_requests: Requests and prefills that reached it, in order.
        received_reservations: Reservation calls that reached it, in order.
        announced_ms: Clock time of the first announcement to each instance.
        listens_on_ms: Time for which its listener outlives a crash.
        listens_until_ms: Clock time until which the listener of its crashed
            process accepts connections.
        has_crashed: Set once its process has crashed.
        is_cut: Whether it is partitioned from all instances rather than
            crashed.
        running_version: Software version of its process, if its registration
            states another one.
        is_restarted: Whether its process is a later start than the registered
            one, under the same id.
        pauses: Pauses of its process.
        is_dark: Whether its machine is gone without a word: connections hang,
            new ones time out.
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
    rejects_prefills: bool = False
    loses_prefills: bool = False
    skipped_event: int | None = None
    breaks_after: int | None = None
    stalls_after: int | None = None
    ends_after: int | None = None
    is_streaming: bool = False
    is_framed: bool = True
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    expires_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    running_requests: set[str] = dataclasses.field(default_factory=set)
    orders: list[ports.RoleOrder] = dataclasses.field(default_factory=list)
    next_fault: client.EngineFault | None = None
    rejected_prefills: int = 0
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    backoff_ms: float = 0.0
    load: reports.LoadReport | None = None
    slots: plain_slots.PlainSlots | None = None
    received_requests: list[ReceivedRequest] = dataclasses.field(
        default_factory=list
    )
    received_reservations: list[ReceivedRequest] = dataclasses.field(
        default_factory=list
    )
    announced_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    is_cut: bool = False
    listens_on_ms: float = 0.0
    listens_until_ms: float = 0.0
    has_crashed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    running_version: str | None = None
    is_restarted: bool = False
    pauses: pauses.Pauses = dataclasses.field(default_factory=pauses.Pauses)
    is_dark: bool = False

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.endpoint.name

    @property
    def software_version(self) -> str:
        """Software version of its process; empty if it has none."""
        if self.running_version is not None:
            return self.running_version
        return registration.software_version(self.endpoint)

    @property
    def reported_load(self) -> reports.LoadReport | None:
        """The load that an answer reports now."""
        return self.load if self.slots is None else self.slots.load

    @property
    def is_paused(self) -> bool:
        """Whether its process is paused."""
        return self.pauses.is_paused

    def pause(self) -> None:
        """Pauses its process: it accepts connections and answers nothing."""
        self.pauses.pause()

    def resume(self) -> None:
        """Resumes its process, unless its machine is gone."""
        if not self.is_dark:
            self.pauses.resume()

    def go_dark(self) -> None:
        """Loses its machine, without a FIN on any connection."""
        self.is_dark = True
        self.pauses.pause()

    def error(
        self, fault: client.EngineFault, detail: str = ""
    ) -> client.EngineError:
        """Returns an error of a call to this backend."""
        return client.EngineError(fault, self.name, detail)
