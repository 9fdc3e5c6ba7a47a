"""Stand-in of a plain endpoint, as a process.

It registers with the store, and notes each request that it begins to run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import socket
import sys
import time

from tests.real_processes import http_io

SLOTS = 24
# New channels that wait to be accepted; beyond these, the kernel is silent.
BACKLOG = 64
_WORK_S = 0.5
_ANSWER = b"x" * 800
_LIMIT_BYTES = 1 << 22
_HEARTBEAT_S = 1.2


class Endpoint:
    """Runs requests in its slots.

    Args:
        service: Its service, which is its name, too.
        store: Address of the store.
        runs: File for its notes.
    """

    def __init__(self, service: str, store: str, runs: str) -> None:
        self.address = ""
        self._name = service
        self._store = store
        self._slots = asyncio.Semaphore(SLOTS)
        self._running = 0
        self._waiting = 0
        self._runs = pathlib.Path(runs).open("a", buffering=1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one channel."""
        connection = http_io.Connection(reader, writer)
        with contextlib.suppress(http_io.ClosedError):
            while (request := await connection.read_request()) is not None:
                await self._handle(request, connection)
        await connection.close()

    async def _handle(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", self._name)
        if not request_id:
            await self._send(connection, 400, "", Not_Executed="1")
        elif expected != self._name:
            await self._send(connection, 421, request_id, Not_Executed="1")
        else:
            await self._run(request_id, connection)

    async def _run(
        self, request_id: str, connection: http_io.Connection
    ) -> None:
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            line = {"id": request_id, "at_s": time.monotonic()}
            self._runs.write(json.dumps(line) + "\n")
            await asyncio.sleep(_WORK_S)
            self._running -= 1
        seal = f"seal-{self._name}"
        await self._send(connection, 200, request_id, Server_Seal=seal)

    async def _send(
        self,
        connection: http_io.Connection,
        status: int,
        request_id: str,
        **fields: object,
    ) -> None:
        load = f"{self._running},{self._waiting},{SLOTS}"
        fields |= {"Instance_Id": self._name, "Engine_Load": load}
        if request_id:
            fields["Request_Id"] = request_id
        body = _ANSWER if status == 200 else b""
        await connection.send(http_io.response(status, body, **fields))

    async def keep_registered(self) -> None:
        """Writes this endpoint's entry to the store again and again."""
        entry = {
            "service": self._name,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
        }
        target = f"/standin/put?topic=keyed.servers&key={self._name}"
        while True:
            body = json.dumps(entry).encode()
            await http_io.call(self._store, "POST", target, body)
            if not entry["seq"]:
                print(self.address, flush=True)
            entry["seq"] += 1
            await asyncio.sleep(_HEARTBEAT_S)


async def main() -> None:
    """Serves until it is ended."""
    endpoint = Endpoint(*sys.argv[1:])
    listener = socket.socket()
    listener.bind((http_io.HOST, 0))
    endpoint.address = f"{http_io.HOST}:{listener.getsockname()[1]}"
    server = await asyncio.start_server(
        endpoint.serve, sock=listener, limit=_LIMIT_BYTES, backlog=BACKLOG
    )
    async with server:
        await endpoint.keep_registered()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
