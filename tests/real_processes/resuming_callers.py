"""Callers of streams that resume a broken stream at another instance."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time

from tests.real_processes import answers
from tests.real_processes import callers
from tests.real_processes import deployment as deployments
from tests.real_processes import http_io

RESUMABLE = "steady"
RUN_ONCE = "single"
# Share of the requests that must run at most once.
_RUN_ONCE_SHARE = 0.1
# Share of the streams whose callers lose their connection halfway.
_LOST_SHARE = 0.3
_EVENTS = (8, 30)
_MAX_PAUSE_S = 0.3
# Beyond the deadline a caller closes the connection.
_LEAVES_S = callers.DEADLINE_MS / 1_000 + 4.0
_CONNECT_S = 1.0
# A caller waits for so long until an instance is back.
_CONNECTS = 80
_RETRY_S = 0.1
NO_END = "no end long after the deadline"


class _LostError(Exception):
    """The caller has lost its connection."""


@dataclasses.dataclass
class Exchange(callers.Exchange):
    """A request of a stream, from its beginning or after its last event.

    Attributes:
        count: Number of events of the whole stream.
        former: The request that the stream broke at; ``None`` at first.
        versions: Software versions that wrote its events.
        first_event_s: When its first event arrived; 0 without one.
    """

    count: int = 0
    former: Exchange | None = None
    versions: set[str] = dataclasses.field(default_factory=set)
    first_event_s: float = 0.0

    @property
    def stream(self) -> str:
        """Id of the request that brought the stream's first event."""
        return self.former.request_id if self.former else self.request_id

    @property
    def decided_s(self) -> float:
        """When the caller knew whether events come."""
        return self.first_event_s or self.ended_s

    @property
    def can_go_on(self) -> bool:
        """Whether the caller may resume: it has a part of a stream."""
        return (
            self.route == RESUMABLE
            and self.former is None
            and bool(self.versions)
            and not self.is_whole
        )


class Caller:
    """Reads streams, each on a kept connection, and resumes each once.

    Args:
        deployment: The deployment.
        name: Name of the caller, with which its requests' ids begin.
        rng: Random numbers.
        exchanges: Where requests are recorded.

    Attributes:
        is_leaving: Set to end the caller after its present stream.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        name: str,
        rng: random.Random,
        exchanges: list[Exchange],
    ) -> None:
        self.is_leaving = False
        self._deployment = deployment
        self._name = name
        self._rng = rng
        self._exchanges = exchanges
        self._numbers = itertools.count(1)
        self._connection: http_io.Connection | None = None
        self._instance: deployments.Instance | None = None
        self._connected_s = 0.0

    async def run(self) -> None:
        """Calls until ``is_leaving`` is set; the last stream is awaited."""
        try:
            while not self.is_leaving:
                exchange = await self._ask(None)
                if exchange is not None and exchange.can_go_on:
                    exchange = await self._ask(exchange)
                wait_s = _RETRY_S if exchange is None else _wait_s(exchange)
                pause_s = self._rng.uniform(0.0, _MAX_PAUSE_S)
                await asyncio.sleep(wait_s + pause_s)
        finally:
            await self._disconnect()

    async def _ask(self, former: Exchange | None) -> Exchange | None:
        """Sends a request and reads its answer; ``None`` if nobody listens."""
        broke_at = former.instance if former else None
        for _ in range(_CONNECTS):
            if await self._connect(broke_at):
                break
            await asyncio.sleep(_RETRY_S)
        else:
            return None
        exchange = self._new_exchange(former)
        self._exchanges.append(exchange)
        try:
            async with asyncio.timeout(_LEAVES_S):
                await self._send(exchange)
                await self._receive(exchange)
        except TimeoutError:
            exchange.end = NO_END
        except http_io.ClosedError:
            exchange.end = "connection closed"
        except _LostError:
            exchange.end = "connection lost by the caller"
        exchange.ended_s = time.monotonic()
        if exchange.end:
            await self._disconnect()
        return exchange

    def _new_exchange(self, former: Exchange | None) -> Exchange:
        assert self._instance is not None
        is_once = self._rng.random() < _RUN_ONCE_SHARE
        exchange = Exchange(
            f"{self._name}-{next(self._numbers)}",
            RUN_ONCE if is_once and former is None else RESUMABLE,
            self._instance,
            self._connected_s,
            time.monotonic(),
            count=self._rng.randint(*_EVENTS),
            former=former,
        )
        if former is not None:
            exchange.count = former.count
            exchange.last_event = former.last_event
        return exchange

    async def _connect(self, other_than: deployments.Instance | None) -> bool:
        """Has a connection; a kept one, unless it broke or closes."""
        if self._connection is not None and self._instance is not other_than:
            return True
        await self._disconnect()
        ready = [
            i
            for i in self._deployment.instances
            if i.in_rotation.is_set() and i is not other_than
        ]
        if not ready:
            return False
        self._instance = self._rng.choice(ready)
        self._connected_s = time.monotonic()
        opening = http_io.open_connection(self._instance.callers)
        try:
            self._connection = await asyncio.wait_for(opening, _CONNECT_S)
        except (TimeoutError, OSError):
            return False
        return True

    async def _disconnect(self) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()

    async def _send(self, exchange: Exchange) -> None:
        tokens = self._rng.randint(100, 2_000)
        named = callers.fields(exchange) | {"Content-Length": 4, "Model": "m"}
        named["Token-Counts"] = f"{tokens},{exchange.count}"
        named["Prompt-Prefix"] = f"{exchange.stream}:{tokens}"
        if exchange.former is not None:
            named["Last-Event-Id"] = exchange.last_event
            named["Resumes"] = exchange.stream
        line = f"POST /{exchange.route}/1 HTTP/1.1"
        assert self._connection is not None
        await self._connection.send(http_io.head(line, named) + b"body")

    async def _receive(self, exchange: Exchange) -> None:
        assert self._connection is not None
        received = await self._connection.read_response_head()
        exchange.status = received.status
        exchange.server = received.headers.get("server-seal", "")
        exchange.retry_after = received.headers.get("retry-after", "")
        if received.headers.get("request-id") != exchange.request_id:
            exchange.wrong = "answer to another request"
        parts = self._connection.body_parts(received.headers)
        if received.status == 200:
            await self._read_stream(parts, exchange)
        else:
            body = b"".join([part async for part in parts])
            exchange.reason = body.decode("latin-1")
        if received.headers.get("connection") == "close":
            await self._disconnect()

    async def _read_stream(self, parts, exchange: Exchange) -> None:
        lost_after = self._draw_loss(exchange)
        data = b""
        async for part in parts:
            data += part
            while answers.EVENT_END in data:
                end = data.index(answers.EVENT_END) + len(answers.EVENT_END)
                _take(exchange, data[:end])
                data = data[end:]
                if exchange.last_event == lost_after:
                    raise _LostError
        exchange.is_whole = True
        if exchange.last_event != exchange.count or data:
            exchange.wrong = (
                f"complete after {exchange.last_event} of {exchange.count}"
            )

    def _draw_loss(self, exchange: Exchange) -> int | None:
        """Returns the event after which the caller loses its connection."""
        is_first = exchange.route == RESUMABLE and exchange.former is None
        if is_first and self._rng.random() < _LOST_SHARE:
            return self._rng.randint(1, exchange.count - 1)
        return None


def _take(exchange: Exchange, event: bytes) -> None:
    """Checks the next event and records the version that wrote it."""
    exchange.first_event_s = exchange.first_event_s or time.monotonic()
    exchange.last_event += 1
    version = answers.version_of(event, exchange.stream, exchange.last_event)
    if version is None:
        exchange.wrong = f"{event[:20]!r} as event {exchange.last_event}"
    else:
        exchange.versions.add(version)


def _wait_s(exchange: Exchange) -> float:
    """Returns how long a caller waits that was refused."""
    return min(1.0, float(exchange.retry_after or 0))
