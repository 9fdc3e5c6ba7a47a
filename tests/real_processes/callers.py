"""Callers on kept connections, and what each of their requests brought."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time

from tests.real_processes import answers
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import http_io

# Time that a caller waits for a whole answer, and tells the instance.
DEADLINE_MS = 8_000
# Beyond the deadline a caller closes the connection.
_LEAVES_S = DEADLINE_MS / 1_000 + 1.0
_CONNECT_S = 1.0
_RETRY_S = 0.1
_MAX_RETRY_S = 1.0
_OK = 200


class LeftError(Exception):
    """The caller leaves before its request is whole."""


@dataclasses.dataclass
class Exchange:
    """A request and what came back.

    Attributes:
        request_id: Id of the request.
        route: Name of its route.
        instance: The instance that it was sent to.
        connected_s: When its connection was opened, on the monotonic clock.
        sent_s: When it was sent.
        ended_s: When the answer or its connection ended.
        status: Status of the answer; 0 without one.
        reason: Text of an answer without success.
        retry_after: The answer's ``Retry-After``; empty without one.
        server: Proof of the engine that answers.
        last_event: Number of the last event that arrived.
        is_whole: Whether the whole answer of an engine arrived.
        end: How it ended, for the report.
        wrong: What is wrong with the bytes that arrived; empty if nothing is.
    """

    request_id: str
    route: str
    instance: deployments.Instance
    connected_s: float
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    reason: str = ""
    retry_after: str = ""
    server: str = ""
    last_event: int = 0
    is_whole: bool = False
    end: str = ""
    wrong: str = ""

    @property
    def took_ms(self) -> float:
        return (self.ended_s - self.sent_s) * 1_000


class Caller:
    """Sends one request after the other on a kept connection.

    The connection is used until the instance closes it; a new one goes to an
    instance that the balancer has in rotation.

    Args:
        deployment: The deployment.
        name: Name of the caller, with which its requests' ids begin.
        paths: Names of the routes that it calls.
        rng: Random numbers.
        exchanges: Where exchanges are recorded.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        name: str,
        paths: tuple[str, ...],
        rng: random.Random,
        exchanges: list[Exchange],
    ) -> None:
        self._deployment = deployment
        self._name = name
        self._paths = paths
        self._rng = rng
        self._exchanges = exchanges
        self._numbers = itertools.count(1)
        self._connection: http_io.Connection | None = None
        self._instance: deployments.Instance | None = None
        self._connected_s = 0.0
        self.is_leaving = False

    async def run(self) -> None:
        """Calls until ``is_leaving`` is set; the last answer is awaited."""
        try:
            while not self.is_leaving:
                if await self._connect():
                    wait_s = await self._exchange()
                else:
                    wait_s = _RETRY_S
                await asyncio.sleep(wait_s + self._rng.random() * 0.05)
        finally:
            await self._disconnect()

    async def _connect(self) -> bool:
        if self._connection is not None:
            return True
        ready = [
            i for i in self._deployment.instances if i.in_rotation.is_set()
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

    async def _exchange(self) -> float:
        """Sends a request; returns how long to wait in seconds."""
        assert self._connection is not None and self._instance is not None
        exchange = Exchange(
            f"{self._name}-{next(self._numbers)}",
            self._rng.choice(self._paths),
            self._instance,
            self._connected_s,
            time.monotonic(),
        )
        self._exchanges.append(exchange)
        count = self._rng.randint(10, 45)
        wait_s = 0.0
        try:
            async with asyncio.timeout(_LEAVES_S):
                await self._send(exchange, count)
                wait_s = await self._receive(exchange, count)
        except TimeoutError:
            exchange.end = "caller left after its deadline"
        except http_io.ClosedError:
            exchange.end = "connection closed"
        except LeftError:
            exchange.end = "caller left halfway"
        exchange.ended_s = time.monotonic()
        if exchange.end:
            await self._disconnect()
        return wait_s

    async def _send(self, exchange: Exchange, count: int) -> None:
        named = fields(exchange) | {"Content-Length": 4}
        if exchange.route in configurations.STREAMS:
            tokens = self._rng.randint(100, 2_000)
            named |= {"Model": "m", "Token-Counts": f"{tokens},{count}"}
            named |= {"Prompt-Prefix": f"{exchange.request_id}:{tokens}"}
        line = f"POST /{exchange.route}/1 HTTP/1.1"
        assert self._connection is not None
        await self._connection.send(http_io.head(line, named) + b"body")

    async def _receive(self, exchange: Exchange, count: int) -> float:
        assert self._connection is not None
        received = await self._connection.read_response_head()
        exchange.status = received.status
        exchange.server = received.headers.get("server-seal", "")
        if received.headers.get("request-id") != exchange.request_id:
            exchange.wrong = "answer to another request"
        parts = self._connection.body_parts(received.headers)
        if received.status == _OK and exchange.route in configurations.STREAMS:
            await _read_stream(parts, exchange, count)
        else:
            body = b"".join([part async for part in parts])
            exchange.is_whole = received.status == _OK
            if not exchange.is_whole:
                exchange.reason = body.decode("latin-1")
            if exchange.is_whole and body != answers.body(exchange.request_id):
                exchange.wrong = "body of another answer"
        if exchange.is_whole and not exchange.server:
            exchange.wrong = "success without proof"
        if received.headers.get("connection") == "close":
            await self._disconnect()
        exchange.retry_after = received.headers.get("retry-after", "")
        wait_s = float(exchange.retry_after or 0)
        return min(wait_s, _MAX_RETRY_S)


def fields(exchange: Exchange) -> dict[str, object]:
    """Returns the headers of any request."""
    return {
        "Host": configurations.HOST,
        "Request-Id": exchange.request_id,
        "Authorization": f"Bearer {configurations.API_KEY}",
        "Deadline-Ms": DEADLINE_MS,
    }


async def _read_stream(parts, exchange: Exchange, count: int) -> None:
    data = b""
    async for part in parts:
        data += part
        while answers.EVENT_END in data:
            end = data.index(answers.EVENT_END) + len(answers.EVENT_END)
            event, data = data[:end], data[end:]
            expected = answers.event(
                exchange.request_id, exchange.last_event + 1
            )
            if event != expected:
                exchange.wrong = f"{event[:20]!r} after {exchange.last_event}"
            exchange.last_event += 1
    exchange.is_whole = True
    if exchange.last_event != count or data:
        exchange.wrong = f"complete after {exchange.last_event} of {count}"
