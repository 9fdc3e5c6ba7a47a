"""Stand-in of a model engine or a plain endpoint, as a process.

It registers with the store and writes a JSON line for each run to a file: when
it began, and when it ended whole or because its connection was closed. What it
answers is made from the request's id, so that callers can check it. On SIGTERM
it drains, withdraws its registration and ends.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import pathlib
import signal
import sys
import time

from tests.real_processes import answers
from tests.real_processes import engine_memory
from tests.real_processes import http_io

_HEARTBEAT_S = 1.2
_HANDLE_TTL_S = 3.0
# A prefill result that would arrive later is not fetched.
_FETCH_S = 2.0
_SWITCH_S = 0.5
# Time after SIGTERM in which what runs may end.
_DRAIN_S = 2.0
# Further time for the store to take the end of the registration.
_WITHDRAW_S = 1.0
_PREFILL_S_PER_TOKEN = 20e-6
# Time between looks at the connection while work is in progress.
_LOOK_S = 0.02
_OWN = "/jujubewharf/"
# Id under which changes of the role are noted.
ROLE_NOTES = "role"


class Engine:
    """Answers requests of one role.

    Args:
        options: Options of the command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.address = ""
        self.stage: str | None = options.stage
        self._options = options
        self._memory = engine_memory.Memory(
            slots=options.slots, tokens=options.tokens
        )
        self._numbers = itertools.count(1)
        # Expiry of each prefill result that was not fetched.
        self._handles: dict[str, float] = {}
        self._orders = 0
        self._is_changing = False
        self._is_leaving = asyncio.Event()
        self._runs = pathlib.Path(options.runs).open("a", buffering=1)

    async def handle(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        if request.path.startswith("/standin/"):
            handle = request.path.rpartition("/")[2]
            is_kept = self._handles.pop(handle, 0.0) > time.monotonic()
            await connection.send(http_io.response(200 if is_kept else 404))
        elif request.path.startswith(_OWN):
            await self._answer_own(request, connection)
        elif request.path == "/healthz":
            await self._refuse(request, connection, 200)
        elif self._is_other(request):
            await self._refuse(request, connection, 421)
        elif self._is_changing:
            await self._refuse(request, connection, 503)
        elif self.stage is None:
            await self._run_plain(request, connection)
        elif request.headers.get("stage") == "prefill":
            await self._prefill(request, connection)
        else:
            await self._run_stream(request, connection)

    def _is_other(self, request: http_io.Request) -> bool:
        """Whether the request is meant for another engine or stage."""
        expected = request.headers.get("expect-instance", self._options.name)
        stage = request.headers.get("stage", "decode")
        return expected != self._options.name or (
            self.stage is not None and stage != self.stage
        )

    def _fields(self, request: http_io.Request) -> dict[str, object]:
        memory = self._memory
        return {
            "Request_Id": request.headers.get("request-id", ""),
            "Instance_Id": self._options.name,
            "Engine_Load": f"{memory.running},0,{memory.slots}",
        }

    async def _refuse(
        self,
        request: http_io.Request,
        connection: http_io.Connection,
        status: int,
    ) -> None:
        fields = self._fields(request) | {"Not_Executed": "1"}
        await connection.send(http_io.response(status, **fields))

    async def _answer_own(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        call, _, name = request.path.removeprefix(_OWN).partition("/")
        fields = self._fields(request)
        answer: dict[str, object] = {}
        status = 200
        match call:
            case "hold-take":
                asked = request.json()
                hold = self._memory.hold(asked["tokens"], asked["ttlMs"])
                status = 200 if hold else 503
                answer = {"hold": hold}
            case "hold-drop":
                self._memory.drop(name)
            case "kv-handle":
                self._handles.pop(name, None)
            case "report":
                answer = self._report()
            case "order":
                status = self._accept(request.json())
            case _:
                status = 404
        await connection.send(http_io.json_response(answer, status, **fields))

    def _report(self) -> dict[str, object]:
        model = {"name": "m", "version": 1, "adapters": []}
        return {
            "stage": self.stage,
            "models": [model],
            "busy": self._is_changing,
            "seq": self._orders,
            "waiting": 0,
            "running": self._memory.running,
            "kvUsed": self._memory.used,
            "kvTotal": self._memory.tokens,
            "kvHandles": len(self._handles),
            "state": "ready",
        }

    def _accept(self, order: dict) -> int:
        if order.get("stage") == self.stage:
            return 200
        if self._is_changing:
            return 409
        self._is_changing = True
        self._orders += 1
        self._note(ROLE_NOTES, "changing", 0)
        asyncio.ensure_future(self._change(order["stage"]))
        return 202

    async def _change(self, stage: str) -> None:
        await self._memory.idle.wait()
        await asyncio.sleep(_SWITCH_S)
        self.stage = stage
        self._is_changing = False
        self._note(ROLE_NOTES, stage, 0)

    async def _prefill(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        tokens, _ = answers.token_counts(request.headers)
        await asyncio.sleep(tokens * _PREFILL_S_PER_TOKEN)
        handle = f"{self._options.name}-{next(self._numbers)}"
        self._handles[handle] = time.monotonic() + _HANDLE_TTL_S
        answer = {"kvHandle": handle, "tokens": tokens, "version": 1}
        fields = self._fields(request)
        await connection.send(http_io.json_response(answer, **fields))

    async def _run_stream(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        tokens, count = answers.token_counts(request.headers)
        hold = request.headers.get("kv-hold")
        if not self._memory.begin(tokens + count, hold):
            await self._refuse(request, connection, 503)
            return
        try:
            if not await self._has_prompt(request, tokens):
                await self._refuse(request, connection, 503)
                return
            last = int(request.headers.get("last-event-id", "0"))
            await self._send_events(request, connection, last, count)
        finally:
            self._memory.end(tokens + count)

    async def _has_prompt(self, request: http_io.Request, tokens: int) -> bool:
        """Fetches the prefill result, or reads the prompt if there is none."""
        source = request.headers.get("kv-source")
        if source is None:
            await asyncio.sleep(2 * tokens * _PREFILL_S_PER_TOKEN)
            return True
        address, _, handle = source.partition("/")
        call = http_io.call(address, "POST", f"/standin/take/{handle}")
        try:
            status, _ = await asyncio.wait_for(call, _FETCH_S)
        except (TimeoutError, OSError, http_io.ClosedError):
            return False
        return status == 200

    async def _send_events(
        self,
        request: http_io.Request,
        connection: http_io.Connection,
        last: int,
        count: int,
    ) -> None:
        request_id = request.headers["request-id"]
        stream = request.headers.get("resumes", request_id)
        version = self._options.version
        self._note(request_id, "began", last)
        number = last
        try:
            await connection.send(self._stream_head(request))
            for number in range(last + 1, count + 1):
                await asyncio.sleep(self._options.event_ms / 1_000)
                if connection.is_closed_by_peer:
                    raise http_io.ClosedError
                event = answers.event(stream, number, version)
                await connection.send(http_io.chunk(event))
            await connection.send(http_io.chunk(b""))
        except http_io.ClosedError:
            self._note(request_id, "closed", number)
            raise
        self._note(request_id, "whole", number)

    def _stream_head(self, request: http_io.Request) -> bytes:
        fields = self._fields(request)
        fields |= {"Server_Seal": f"seal-{self._options.name}"}
        fields |= {"Content_Type": "text/event-stream", "Weight_Versions": 1}
        fields |= {"Transfer_Encoding": "chunked"}
        named = {name.replace("_", "-"): v for name, v in fields.items()}
        return http_io.head("HTTP/1.1 200 OK", named)

    async def _run_plain(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        if not self._memory.begin(0, None):
            await self._refuse(request, connection, 503)
            return
        request_id = request.headers["request-id"]
        self._note(request_id, "began", 0)
        until = time.monotonic() + self._options.work_ms / 1_000
        try:
            while time.monotonic() < until:
                await asyncio.sleep(_LOOK_S)
                if connection.is_closed_by_peer:
                    self._note(request_id, "closed", 0)
                    raise http_io.ClosedError
            seal = f"seal-{self._options.name}"
            fields = self._fields(request) | {"Server_Seal": seal}
            body = answers.body(request_id)
            await connection.send(http_io.response(200, body, **fields))
            self._note(request_id, "whole", 0)
        finally:
            self._memory.end(0)

    def _note(self, request_id: str, what: str, number: int) -> None:
        line = {
            "id": request_id,
            "what": what,
            "number": number,
            "at_s": time.monotonic(),
        }
        self._runs.write(json.dumps(line) + "\n")

    def leave(self) -> None:
        """Has the engine drain and end."""
        self._is_leaving.set()

    async def keep_registered(self) -> None:
        """Writes this engine's entry to the store until it has drained."""
        for seq in itertools.count():
            await self._register(self._entry(seq, "ready"))
            if not seq:
                print(self.address, flush=True)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._is_leaving.wait(), _HEARTBEAT_S)
            if self._is_leaving.is_set():
                break
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DRAIN_S):
                await self._register(self._entry(seq + 1, "draining"))
                await self._memory.idle.wait()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._register(b""), _WITHDRAW_S)

    def _entry(self, seq: int, state: str) -> bytes:
        options = self._options
        entry = {
            "service": options.service,
            "address": self.address,
            "zone": options.zone,
            "version": options.version,
            "slots": options.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._orders + seq,
        }
        if self.stage is not None:
            entry["stage"] = self.stage
        return json.dumps(entry).encode()

    async def _register(self, entry: bytes) -> None:
        """Writes an entry to the store; an empty one withdraws it."""
        name = self._options.name
        target = f"/standin/put?topic=keyed.servers&key={name}"
        await http_io.call(self._options.store, "POST", target, entry)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--runs", required=True)
    parser.add_argument("--stage", default=None)
    parser.add_argument("--version", default=answers.FIRST_VERSION)
    parser.add_argument("--slots", type=int, default=24)
    parser.add_argument("--tokens", type=int, default=60_000)
    parser.add_argument("--event_ms", type=float, default=40.0)
    parser.add_argument("--work_ms", type=float, default=150.0)
    return parser.parse_args()


async def main() -> None:
    engine = Engine(_options())
    server, engine.address = await http_io.serve(engine.handle)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, engine.leave)
    async with server:
        await engine.keep_registered()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
