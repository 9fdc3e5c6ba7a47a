"""Stand-in for a server of a plain service.

Runs each request once, for some time, and answers with a seal. The body of an
answer is made from the request's id, so that a client can tell whether it is
whole. With ``--length=no`` an answer has no length and ends with its channel.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib

import http_io


def body_of(request_id: str, size: int) -> bytes:
    """Returns the whole body of the answer to a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[: size - 4] + b"END\n"


class Server:
    """Serves requests and notes which of them ran."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.runs = open(options.runs, "a", buffering=1)

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one channel."""
        try:
            while (request := await http_io.read_request(reader)) is not None:
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def head(self, status: str, request_id: str, *more: str) -> bytes:
        """Returns the head of an answer."""
        load = f"{self.running},{self.waiting},{self.options.slots}"
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}"]
        lines += [f"Engine-Load: {load}", *more]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def answer(
        self, request: http_io.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the channel is kept."""
        options = self.options
        request_id = request.headers.get("request-id", "")
        named = f"Instance-Id: {options.id}"
        if request.path == "/healthz":
            writer.write(self.head("200 OK", "", named, "Content-Length: 0"))
            await writer.drain()
            return True
        if request.headers.get("expect-instance", options.id) != options.id:
            writer.write(
                self.head(
                    "421 Misdirected Request",
                    request_id,
                    named,
                    "Content-Length: 0",
                )
            )
            await writer.drain()
            return True
        if not request_id:
            writer.write(
                self.head(
                    "400 Bad Request",
                    "",
                    "Not-Executed: 1",
                    "Content-Length: 0",
                )
            )
            await writer.drain()
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs.write(f"run {request_id} {request.method}\n")
            try:
                return await self.run(request_id, writer)
            finally:
                self.running -= 1
                self.runs.write(f"end {request_id}\n")

    async def run(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Runs a request; returns whether the channel is kept."""
        options = self.options
        body = body_of(request_id, options.size)
        seal = f"Server-Seal: seal-{request_id}"
        if options.length == "yes":
            await asyncio.sleep(options.work_ms / 1e3)
            length = f"Content-Length: {len(body)}"
            writer.write(self.head("200 OK", request_id, seal, length) + body)
            await writer.drain()
            return True
        # Without a length: the answer is written as it is made.
        close = "Connection: close"
        writer.write(self.head("200 OK", request_id, seal, close))
        pieces = 4
        step = -(-len(body) // pieces)
        for at in range(0, len(body), step):
            await asyncio.sleep(options.work_ms / 1e3 / pieces)
            writer.write(body[at : at + step])
            await writer.drain()
        return False


async def main() -> None:
    """Serves until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--runs", required=True)
    parser.add_argument("--work_ms", type=float, default=60.0)
    parser.add_argument("--size", type=int, default=800)
    parser.add_argument("--length", default="yes")
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    server = Server(options)
    listener = await asyncio.start_server(
        server.on_connection, host, int(port), limit=1 << 20
    )
    async with listener:
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
