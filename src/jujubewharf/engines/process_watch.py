"""Finds out whether the process that sends an answer outlives it.

A kernel ends the connections of a killed process as if the process had closed
them, and may accept further connections for any time after. So only a reply of
the process itself counts, to a request that was sent after the answer's end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

import aiohttp
from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import liveness
from jujubewharf.engines import probe_session
from jujubewharf.engines import send_once
from jujubewharf.engines import sessions

# A process that is paused replies later; until then, others may be asked.
_WAIT_MS = 150.0
# Time after which a reply is no longer waited for on one connection.
_LOOK_TIMEOUT_MS = 2_000.0
_MAX_REPLY_BYTES = 16_384

_LOOKS = metrics.get_meter("jujubewharf").create_counter(
    "endpoints.process_looks",
    description="Requests that show whether a process runs, by outcome.",
)


class ProcessWatch(Protocol):
    """Watches a process from the head of its answer on."""

    def on_part(self) -> None:
        """Records that a part of the answer arrived."""
        ...

    async def state(self) -> liveness.ProcessState:
        """Returns the state of the process once its answer has ended.

        May be called again while the state is unknown. Never raises.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """A request that an endpoint answers at once and without working on it.

    Attributes:
        method: HTTP method.
        path: Path.
        headers: Returns the headers for an endpoint.
        is_from: Whether a response with this body comes from the process that
            the endpoint stands for, as far as the response tells.
    """

    method: str
    path: str
    headers: Callable[[resources.Endpoint], list[tuple[str, str]]]
    is_from: Callable[[resources.Endpoint, aiohttp.ClientResponse, bytes], bool]


class _Outcome(enum.Enum):
    """Outcome of a look.

    ``REPLIED``: the process replied. ``OTHER``: another process did.
    ``REFUSED``: nothing listens. ``BROKEN``: the connection ended without a
    reply; a kernel that ends a process looks the same as a process that accepts
    no more connections. ``NO_PATH``: no connection was made.
    """

    REPLIED = "replied"
    OTHER = "other"
    REFUSED = "refused"
    BROKEN = "broken"
    NO_PATH = "no_path"


_NO_PATH = _Outcome.NO_PATH
_CONNECT_OUTCOMES: dict[type[OSError], _Outcome] = {
    ConnectionRefusedError: _Outcome.REFUSED,
    ConnectionResetError: _Outcome.BROKEN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Look:
    """A request to a process, and what came of it.

    Attributes:
        outcome: Its outcome.
        connection: Connection over which the reply came.
    """

    outcome: _Outcome
    connection: probe_session.KeptConnection | None = None


class ProcessWatches:
    """Watches the processes of endpoints.

    Args:
        session: Sends the requests.
        request: The request that shows that a process runs.
        clock: Time source.
    """

    def __init__(
        self,
        session: probe_session.ProbeSession,
        request: ProbeRequest,
        clock: clocks.Clock,
    ) -> None:
        self._session = session
        self._request = request
        self._clock = clock
        self._processes: dict[tuple[str, str], _Process] = {}

    def watch(self, endpoint: resources.Endpoint) -> ProcessWatch:
        """Watches the process that has just sent the head of an answer."""
        return _Watch(self._process(endpoint), self._clock)

    async def state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Returns the state of an endpoint's process now; never raises."""
        look = asyncio.ensure_future(self._process(endpoint).look())
        found = await _result(look, self._clock)
        return _state(found, witness=None)

    def _process(self, endpoint: resources.Endpoint) -> _Process:
        key = (endpoint.name, endpoint.address)
        process = self._processes.get(key)
        if process is None:
            process = _Process(
                endpoint, self._session, self._request, self._clock
            )
            process.on_idle = lambda: self._processes.pop(key, None)
            self._processes[key] = process
        return process


class _Watch:
    """Implements ``ProcessWatch``.

    The witness is a connection on which the process had replied before the
    answer ended. A reply on it after that end is the same process's. If it
    ends together with the answer, a reply on a new connection shows nothing:
    the next process may already be there.

    Args:
        process: The process.
        clock: Time source.
    """

    def __init__(self, process: _Process, clock: clocks.Clock) -> None:
        self._process = process
        self._clock = clock
        self._look: asyncio.Future[_Look] | None = None
        self._has_ended = False
        self._is_renewing = False
        self._has_retried = False
        self._witness = process.witness
        # An endpoint may have dropped an idle witness without notice.
        self._renew_witness()

    def on_part(self) -> None:
        """Records a part; see ``ProcessWatch``."""
        if self._witness is not None and not self._witness.is_open:
            # The process goes on although its witness has ended.
            self._renew_witness()

    def _renew_witness(self) -> None:
        if not self._is_renewing:
            self._is_renewing = True
            look = self._process.look_in_background()
            look.add_done_callback(self._on_look)

    def _on_look(self, look: asyncio.Future[_Look]) -> None:
        self._is_renewing = False
        if self._has_ended:
            # The next process may have replied.
            return
        found = look.result()
        if found.connection is not None and found.connection.is_witness:
            self._witness = found.connection
        elif found.outcome is _Outcome.BROKEN and not self._has_retried:
            # Mostly the former witness; a new connection tells more.
            self._has_retried = True
            self._renew_witness()

    async def state(self) -> liveness.ProcessState:
        """Returns the state; see ``ProcessWatch``."""
        self._has_ended = True
        if self._look is None:
            self._look = asyncio.ensure_future(self._process.look())
        found = await _result(self._look, self._clock)
        if found is None:
            return liveness.ProcessState.UNKNOWN
        self._look = None
        return _state(found, self._witness)


class _Process:
    """The process of one endpoint, and the requests that look for it.

    Args:
        endpoint: The endpoint.
        session: Sends the requests.
        request: The request.
        clock: Time source.

    Attributes:
        on_idle: Called when no look runs any more.
    """

    def __init__(
        self,
        endpoint: resources.Endpoint,
        session: probe_session.ProbeSession,
        request: ProbeRequest,
        clock: clocks.Clock,
    ) -> None:
        self.on_idle: Callable[[], object] = lambda: None
        self._endpoint = endpoint
        self._session = session
        self._request = request
        self._clock = clock
        self._running: asyncio.Future[_Look] | None = None
        self._next: asyncio.Future[_Look] | None = None

    @property
    def witness(self) -> probe_session.KeptConnection | None:
        """The open connection on which the process has replied, if any."""
        connection = self._session.connection(self._endpoint.address)
        is_witness = connection is not None and connection.is_witness
        return connection if is_witness else None

    def look_in_background(self) -> asyncio.Future[_Look]:
        """Looks for the process, or joins a look that runs already."""
        return self._running or asyncio.ensure_future(self.look())

    async def look(self) -> _Look:
        """Looks for the process by a request that is sent from now on.

        All callers that wait for the running look to end share the next one.
        """
        if self._next is None:
            self._next = asyncio.ensure_future(self._look_after(self._running))
        return await asyncio.shield(self._next)

    async def _look_after(self, former: asyncio.Future[_Look] | None) -> _Look:
        if former is not None:
            await asyncio.wait([former])
        self._running, self._next = self._next, None
        look = await self._send()
        _LOOKS.add(1, {"outcome": look.outcome.value})
        if self._next is None:
            self._running = None
            self.on_idle()
        return look

    async def _send(self) -> _Look:
        try:
            async with self._clock.timeout_ms(_LOOK_TIMEOUT_MS):
                return await self._exchange()
        except aiohttp.ClientConnectorError as error:
            return _Look(_CONNECT_OUTCOMES.get(type(error.os_error), _NO_PATH))
        except (TimeoutError, RuntimeError):
            # A session that is being closed raises RuntimeError.
            return _Look(_NO_PATH)
        except (aiohttp.ClientError, OSError, ValueError):
            return _Look(_Outcome.BROKEN)

    async def _exchange(self) -> _Look:
        address = self._endpoint.address
        async with self._session.request(
            self._request.method,
            f"http://{address}{self._request.path}",
            headers=self._request.headers(self._endpoint),
            allow_redirects=False,
            middlewares=(send_once.SendOnce(),),
        ) as response:
            connection = self._session.connection(address)
            body = await sessions.read_bounded(response, _MAX_REPLY_BYTES)
        if not self._request.is_from(self._endpoint, response, body):
            return _Look(_Outcome.OTHER)
        if connection is not None:
            is_last = response.headers.get("Connection", "").lower() == "close"
            connection.has_replied = True
            connection.is_last_reply = is_last
        return _Look(_Outcome.REPLIED, connection)


async def _result(
    look: asyncio.Future[_Look], clock: clocks.Clock
) -> _Look | None:
    """Waits a while for a look; returns ``None`` while it has no outcome."""
    try:
        async with clock.timeout_ms(_WAIT_MS):
            return await asyncio.shield(look)
    except TimeoutError:
        return None


def _state(
    look: _Look | None, witness: probe_session.KeptConnection | None
) -> liveness.ProcessState:
    """Returns what a look after the end of an answer shows.

    Args:
        look: The look; ``None`` while it has no outcome.
        witness: Connection on which the process replied before that end.
    """
    if look is None:
        return liveness.ProcessState.UNKNOWN
    if look.connection is not None and look.connection is witness:
        return liveness.ProcessState.RUNNING
    has_lost_witness = witness is not None and witness.was_ended_by_peer
    match look.outcome:
        case _Outcome.REFUSED | _Outcome.OTHER:
            return liveness.ProcessState.GONE
        case _ if has_lost_witness:
            return liveness.ProcessState.GONE
        case _Outcome.REPLIED:
            return liveness.ProcessState.RUNNING
        case _Outcome.BROKEN:
            return liveness.ProcessState.SILENT
        case _Outcome.NO_PATH:
            return liveness.ProcessState.UNKNOWN
