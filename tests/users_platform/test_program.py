"""The whole program with a scripted store and engine."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import pathlib
import socket
import struct

import aiohttp
from users_platform import edge
from users_platform import program

from jujubewharf import clock as clocks
from jujubewharf.forwarding import entry
from jujubewharf.forwarding import settings as all_settings
from tests.users_platform import raw_server
from tests.users_platform import test_records


class Platform:
    """Scripted responses of the store and of the engine."""

    def __init__(self) -> None:
        self.engine_address = ""
        self.offset = 7

    def store(self, received: raw_server.Received) -> list[object]:
        line = received.line
        if "log-join" in line:
            parts = [["t", part, 0] for part in range(24)]
            return [_json({"generation": 1, "parts": parts})]
        if "log-leave" in line:
            return [_json({})]
        if "log-newest" in line:
            return [_json(self._newest(line))]
        return [raw_server.answer(body=struct.pack(">QQ", self.offset, 0))]

    def _newest(self, line: str) -> dict[str, object]:
        if "keyed.op" in line:
            limits = test_records.CONFIGURATION["limits"]
            wide = {
                "maxBodyBytes": 9_999,
                "maxHeaderBytes": 9_999,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            }
            key = "config"
            value = test_records.CONFIGURATION | {"limits": limits | wide}
        else:
            key = "i-1"
            value = test_records.SERVER | {"address": self.engine_address}
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": encoded, "offset": 3}
        return {"items": [item], "hasMore": False, "end": self.offset}

    def engine(self, received: raw_server.Received) -> list[object]:
        if "hold-take" in received.line:
            return [_json({"hold": "h1"})]
        if "/jujubewharf/" in received.line:
            return [_json({})]
        return [
            raw_server.answer(
                body=b"id: 1\n\nid: 2\n\n",
                Request_Id=received.headers["request-id"],
                Server_Seal="s",
            )
        ]


def _json(value: object) -> bytes:
    return raw_server.answer(body=json.dumps(value).encode())


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind((raw_server.HOST, 0))
        return f"{raw_server.HOST}:{sock.getsockname()[1]}"


@contextlib.asynccontextmanager
async def _running():
    platform = Platform()
    async with raw_server.serving(platform.store) as (_, store_address):
        async with raw_server.serving(platform.engine) as (engine, address):
            platform.engine_address = address
            settings = all_settings.ForwardingSettings(
                instance="e1",
                domain="z",
                callers=_free_address(),
                readiness=_free_address(),
                store={
                    "address": store_address,
                    "part_count": 24,
                    "group_ttl_ms": 3_000,
                },
                retries={"ratio": 0.2, "slack": 40, "window_s": 10},
                stop_within_s=8,
            )
            path = pathlib.Path("/nonexistent/settings.json")
            running = program.Program(path, settings, clocks.Clock())
            await running.start()
            try:
                yield settings, engine, running
            finally:
                await running.stop()


async def _until_ready(session, settings) -> None:
    url = f"http://{settings.readiness}{edge.READY_PATH}"
    for _ in range(500):
        async with session.get(url) as answer:
            if answer.status == 200:
                return
        await asyncio.sleep(0.01)
    raise AssertionError("never ready")


async def test_a_stream_from_a_caller_to_an_engine_and_back():
    async with _running() as (settings, engine, _):
        async with aiohttp.ClientSession() as session:
            await _until_ready(session, settings)
            async with session.post(
                f"http://{settings.callers}/a/1",
                headers={
                    "Host": "shop.example",
                    "Request-Id": "r1",
                    "Deadline-Ms": "9000",
                    "Token-Counts": "100,200",
                    "Kv-Hold": "forged",
                },
                data=b"report",
            ) as answer:
                assert answer.status == 200
                assert answer.headers["Server-Seal"] == "s"
                assert await answer.read() == b"id: 1\n\nid: 2\n\n"
    run = next(r for r in engine.received if r.line.startswith("POST /a/1"))
    assert run.body == b"report"
    assert run.headers["kv-hold"] == "h1"
    assert run.headers["expect-instance"] == "i-1"
    assert 8_000 < int(run.headers["deadline-ms"]) <= 9_000


async def test_an_unknown_path_and_a_shutdown():
    async with _running() as (settings, _, running):
        async with aiohttp.ClientSession() as session:
            await _until_ready(session, settings)
            url = f"http://{settings.callers}/none/"
            headers = {"Host": "shop.example", "Request-Id": "r1"}
            async with session.get(url, headers=headers) as answer:
                assert answer.status == 404
            shutdown = running.new_shutdown()
            draining = asyncio.create_task(shutdown.run())
            await asyncio.sleep(0)
            ready = f"http://{settings.readiness}{edge.READY_PATH}"
            async with session.get(ready) as answer:
                assert answer.status == 503
            shutdown.force()
            assert (await draining).cut == 0


def test_bad_settings_end_the_program(tmp_path, monkeypatch, capsys):
    path = tmp_path / "settings"
    path.write_text('{"instance": ""}')
    monkeypatch.setenv("JUJUBEWHARF_NODE_FILE", str(path))
    assert program.main() == 2
    assert "domain" in capsys.readouterr().err


# A process takes a while to end after its drain. Requests on connections that
# were open until then got no answer.
async def test_open_connections_are_closed_as_the_program_stops():
    async with _running() as (settings, _, running):
        async with aiohttp.ClientSession() as session:
            await _until_ready(session, settings)
        host, _, port = settings.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /none HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        assert b"404" in head
        await running.stop()
        await asyncio.wait_for(reader.read(), 5.0)
        assert reader.at_eof()
        writer.close()


async def test_two_starts_draw_different_numbers(monkeypatch):
    """Both drew the same incarnation, by which others tell them apart."""
    drawn = []

    class Seen(entry.ForwardingEntry):
        def __init__(self, settings, clock, adapters, rng):
            drawn.append(rng.getrandbits(64))
            super().__init__(settings, clock, adapters, rng)

    monkeypatch.setattr(entry, "ForwardingEntry", Seen)
    for _ in range(2):
        async with _running():
            pass
    first, second = drawn
    assert first != second
