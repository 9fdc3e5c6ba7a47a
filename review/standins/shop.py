"""A small deployment: two routes to a shop service, servers and instances."""

from __future__ import annotations

import asyncio
import collections
import itertools

import harness

HOST_NAME = "shop.example"
SERVICE = "shop-api"
TIMEOUT_MS = 3_000
ONCE_PATH = "/till/1"
REPEATABLE_PATH = "/stock/1"
# Size of the pieces in which a paced body is sent.
_PIECE_BYTES = 100_000
ZONES = ("hall-a", "hall-b")


def _route(name: str, prefix: str, kind: str, attempts: int) -> dict:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "sloLatencyMs": 400,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": attempts,
        "sticky": False,
        "resumable": False,
    }


def config() -> dict[str, object]:
    """Returns the operator's configuration."""
    service = {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    routes = [
        _route("till", "/till/", "non_idempotent", 1),
        _route("stock", "/stock/", "idempotent", 2),
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }


async def start(
    deployment: harness.Deployment, *, servers: int, **options: str
) -> None:
    """Starts store, servers and three instances, and waits for calm."""
    await deployment.start_store(config())
    for number in range(servers):
        zone = ZONES[number % len(ZONES)]
        deployment.start_server(f"server-{number}", SERVICE, zone, 6, **options)
    for number in range(3):
        deployment.start_instance(f"front-{number}", ZONES[number % len(ZONES)])
    await deployment.until_ready()
    # Machines are in touch once they have run for `stableWindowMs`, 3 s.
    await asyncio.sleep(3.5)


class Client:
    """Sends requests one after the other on a kept channel.

    A channel goes to the instance that the platform picks: the client's own
    one, or the next that accepts channels.
    """

    def __init__(self, deployment: harness.Deployment, number: int) -> None:
        self._deployment = deployment
        self._number = number
        self._counts = itertools.count(1)
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter]
        self._has_channel = False
        self._answered = 0
        self.instance = ""

    async def send(
        self,
        path: str,
        method: str,
        *,
        body_bytes: int = 600,
        bytes_per_s: float | None = None,
    ) -> Exchange:
        """Sends a request and returns what came of it.

        Args:
            path: Path of the request.
            method: Its method; a POST has a body.
            body_bytes: Size of the body.
            bytes_per_s: Rate at which the body is sent; ``None`` for at once.
        """
        request_id = f"{self._number:08x}{next(self._counts):08x}"
        exchange = Exchange(request_id, method)
        record = self._deployment.record
        if not await self._open():
            exchange.end = "no instance accepts channels"
            record.line(f"client {self._number} {exchange.end}")
            return exchange
        exchange.instance = self.instance
        exchange.is_on_kept_channel = self._answered > 0
        body = b"x" * body_bytes if method == "POST" else b""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(TIMEOUT_MS),
        }
        record.line(f"sent {request_id} {method} {path} to {self.instance}")
        reader, writer = self._channel
        try:
            head = harness.head_of(method, path, headers, body)
            writer.write(head)
            await _send_body(writer, body, bytes_per_s)
            answer = await harness.read_answer(reader)
        except ConnectionError:
            answer = harness.Answer()
            answer.end = "channel reset"
        exchange.answer = answer
        record.line(f"answered {request_id} {answer}")
        self._answered += 1
        if answer.end or answer.headers.get("connection") == "close":
            self.close()
        return exchange

    async def _open(self) -> bool:
        if self._has_channel:
            return True
        instances = list(self._deployment.instances.values())
        for step in range(len(instances)):
            instance = instances[(self._number + step) % len(instances)]
            try:
                self._channel = await asyncio.open_connection(
                    harness.HOST, instance.callers_port
                )
            except OSError:
                continue
            self.instance = instance.name
            self._has_channel = True
            self._answered = 0
            return True
        return False

    def close(self) -> None:
        """Closes the channel, if there is one."""
        if self._has_channel:
            self._channel[1].close()
        self._has_channel = False


async def _send_body(
    writer: asyncio.StreamWriter, body: bytes, bytes_per_s: float | None
) -> None:
    if bytes_per_s is None:
        writer.write(body)
        return
    for at in range(0, len(body), _PIECE_BYTES):
        piece = body[at : at + _PIECE_BYTES]
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(len(piece) / bytes_per_s)


class Exchange:
    """One request and what its client received."""

    def __init__(self, request_id: str, method: str) -> None:
        self.request_id = request_id
        self.method = method
        self.instance = ""
        self.is_on_kept_channel = False
        self.answer = harness.Answer()
        self.end = ""


def summary(exchanges: list[Exchange]) -> str:
    """Counts the outcomes, for the record."""
    counts = collections.Counter(
        exchange.end or exchange.answer.end or str(exchange.answer.status)
        for exchange in exchanges
    )
    return ", ".join(f"{count} x {what}" for what, count in counts.items())
