"""The platform's caller edge: parsing, forwarding, refusals and aborts."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import time

import pytest
from users_platform import edge

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.connections import table
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import routes
from jujubewharf.held_memory import memory_account
from tests import hostile_records

HOST = "127.0.0.1"
SEAL = ("Server-Seal", "s")


class Forwarding:
    """Stand-in for the forwarding entry, with scripted replies."""

    def __init__(self, script) -> None:
        self.calls: list[calls.Call] = []
        self.is_ready = True
        self.held = memory_account.HeldMemory(clocks.Clock())
        self.limits = routes.CallerLimits(
            max_body_bytes=100, header_timeout_ms=100.0, idle_timeout_ms=600.0
        )
        self.was_cancelled = asyncio.Event()
        self._script = script

    @contextlib.asynccontextmanager
    async def run(self, call):
        self.calls.append(call)
        try:
            yield await self._script(call)
        except asyncio.CancelledError:
            self.was_cancelled.set()
            raise


async def _parts(*parts):
    for part in parts:
        if isinstance(part, Exception):
            raise part
        yield part


def _reply(*parts, status=200, length=None, headers=(SEAL,)):
    async def script(call):
        return calls.Reply(status, headers, _parts(*parts), length)

    return script


def _fail(kind, **more):
    async def script(call):
        raise errors.WharfError(kind, **more)

    return script


class Caller:
    """A raw client connection to the edge."""

    def __init__(self, reader, writer, forwarding) -> None:
        self.reader = reader
        self.writer = writer
        self.forwarding = forwarding

    async def send(self, text: bytes) -> None:
        self.writer.write(text)
        await self.writer.drain()

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Reads a response with a content length or in chunks."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode().strip().split("\r\n")
        pairs = (field.partition(": ") for field in fields)
        headers = {name.lower(): value for name, _, value in pairs}
        if "content-length" in headers:
            size = int(headers["content-length"])
            body = await self.reader.readexactly(size)
        else:
            body = await self._chunks()
        return int(line.split()[1]), headers, body

    async def _chunks(self) -> bytes:
        body = b""
        while size := int(await self._line(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readline()
        await self.reader.readline()
        return body

    async def _line(self) -> bytes:
        line = await self.reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        return line

    async def is_closed(self) -> bool:
        """Whether the edge has closed the connection."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True


@contextlib.asynccontextmanager
async def _connected(script=None, *, forwarding=None):
    forwarding = forwarding or Forwarding(script)
    server = edge.CallerEdge(forwarding, clocks.Clock()).new_server(
        table.Connections()
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield Caller(reader, writer, forwarding)
    finally:
        writer.close()
        listener.close()


def _request(*fields: str, body: bytes = b"", line="POST /a/1?x=%2F HTTP/1.1"):
    head = [line, "Host: Shop.example:80", "Request-Id: r1", *fields]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def test_a_request_becomes_a_call():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(
            _request(
                "Deadline-Ms: 1500",
                "Token-Counts: 1460,80",
                "Length-Hint: 60",
                "Last-Event-Id: 12",
                "X-Own: 1",
                body=b"body",
            )
        )
        status, headers, body = await caller.read()
        assert (status, body) == (200, b"ok")
        assert headers["server-seal"] == "s"
        assert headers["request-id"] == "r1"
        (call,) = caller.forwarding.calls
        assert (call.method, call.path_query) == ("POST", "/a/1?x=%2F")
        assert (call.path, call.host) == ("/a/1", "Shop.example:80")
        assert (call.caller_timeout_ms, call.last_event) == (1_500.0, 12)
        assert call.work == calls.ModelWork(1_460, 80, 60)
        assert call.body == b"body"
        assert ("X-Own", "1") in call.headers


@pytest.mark.parametrize(
    "forged",
    [
        "Kv-Source: 10.0.0.1:80/h",
        "Kv-Hold: h",
        "Kv-Backup: 10.0.0.1:80",
        "Kv-Fetch: 10.0.0.1:80",
        "Pin-Ms: 4000",
        "Stage: prefill",
        "Expect-Instance: i-1",
        "Expect-Version: 3",
        "Request-Priority: 0",
        "Tenant: other",
        "TENANT: other\r\ntenant: other",
    ],
)
async def test_reserved_headers_of_callers_are_dropped(forged):
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request(forged))
        await caller.read()
        name = forged.partition(":")[0].lower()
        (call,) = caller.forwarding.calls
        assert name not in {n.lower() for n, _ in call.headers}


async def test_account_in_trailer_is_ignored():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(
            _request("Transfer-Encoding: chunked", "Trailer: Tenant")
            + b"4\r\nbody\r\n0\r\nTenant: other\r\n\r\n"
        )
        await caller.read()
        (call,) = caller.forwarding.calls
        assert call.body == b"body"
        assert call.account is None
        assert "tenant" not in {n.lower() for n, _ in call.headers}


@pytest.mark.parametrize(
    "sizes",
    ["", ",", "5", "-1,5", "1,-5", "a,b", "1.5,2", "²,5", "9" * 5_000 + ",1"],
)
async def test_malformed_token_counts_are_ignored(sizes):
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request(f"Token-Counts: {sizes}"))
        status, _, _ = await caller.read()
        assert status == 200
        (call,) = caller.forwarding.calls
        assert call.work is None


@pytest.mark.parametrize("key", ["k" * 100_000, "\x01", "ключ"])
async def test_unusual_api_keys_get_a_response(key):
    """Unusual keys must not break the connection or the instance."""
    fail = _fail(errors.ErrorKind.UNAUTHENTICATED)
    async with _connected(fail) as caller:
        await caller.send(_request(f"Authorization: Bearer {key}"))
        status, _, _ = await caller.read()
        assert status in (400, 401)


async def test_missing_key_gets_www_authenticate():
    async with _connected(_fail(errors.ErrorKind.UNAUTHENTICATED)) as caller:
        await caller.send(_request())
        status, headers, body = await caller.read()
        assert (status, body) == (401, b"unauthenticated")
        assert headers["www-authenticate"] == "Bearer"


async def test_hop_by_hop_headers_are_not_forwarded():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request("Connection: X-Hop", "X-Hop: 1", "TE: x"))
        await caller.read()
        (call,) = caller.forwarding.calls
        names = {name.lower() for name, _ in call.headers}
        assert not names & {"connection", "x-hop", "te", "host"}


@pytest.mark.parametrize(
    "smuggled",
    [
        ["Content-Length: 4", "Content-Length: 5"],
        ["Content-Length: 4", "Transfer-Encoding: chunked"],
        ["Content-Length: +4"],
        ["Transfer-Encoding: chunked, identity"],
        ["Content-Length : 4"],
    ],
)
async def test_ambiguous_body_length_is_refused_and_closes_the_connection(
    smuggled,
):
    """Guards against request smuggling by ambiguous body lengths."""
    inner = b"GET /a/2 HTTP/1.1\r\nHost: a\r\nRequest-Id: r2\r\n\r\n"
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request(*smuggled) + b"0\r\n\r\n" + inner)
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert b" 400 " in head.split(b"\r\n")[0]
        # Only the body of the refusal follows, no second response.
        assert b"HTTP/1.1" not in await caller.reader.read()
        assert caller.forwarding.calls == []


async def test_chunked_body_is_reassembled():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(
            _request("Transfer-Encoding: chunked")
            + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        await caller.read()
        assert caller.forwarding.calls[0].body == b"abcde"


@pytest.mark.parametrize(
    "sent",
    [
        _request(body=b"x" * 101),
        _request("Transfer-Encoding: chunked") + b"65\r\n" + b"x" * 101,
    ],
)
async def test_a_body_over_the_limit_is_refused(sent):
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(sent)
        status, _, _ = await caller.read()
        assert status == 413
        assert caller.forwarding.calls == []


async def test_headers_over_the_limit_are_refused():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request(f"X-Long: {'x' * 20_000}"))
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.split(b" ")[1] in (b"400", b"431")
        assert caller.forwarding.calls == []


async def test_a_request_without_id_is_refused():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(b"GET /a/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        status, _, _ = await caller.read()
        assert status == 400
        assert caller.forwarding.calls == []


async def test_many_requests_on_one_connection():
    async with _connected(_reply(b"ok", length=2)) as caller:
        for _ in range(3):
            await caller.send(_request(body=b"b"))
            assert (await caller.read())[0] == 200


async def test_refusal_has_retry_after():
    script = _fail(errors.ErrorKind.QUEUE_FULL, retry_after_ms=2_345.0)
    async with _connected(script) as caller:
        await caller.send(_request())
        status, headers, _ = await caller.read()
        assert status == 503
        assert headers["retry-after"] == "2.35"
        assert "server-seal" not in headers


async def test_possibly_run_request_is_not_refused_with_503():
    """Callers retry every 503, so one must not be sent if it may have run."""
    script = _fail(
        errors.ErrorKind.QUEUE_FULL,
        retry_after_ms=500.0,
        ran=errors.Ran.UNKNOWN,
    )
    async with _connected(script) as caller:
        await caller.send(_request())
        status, headers, _ = await caller.read()
        assert status == 504
        assert "retry-after" not in headers


async def test_stream_is_forwarded_as_it_arrives():
    async with _connected(_reply(b"id: 1\n\n", b"id: 2\n\n")) as caller:
        await caller.send(_request())
        status, headers, body = await caller.read()
        assert headers["transfer-encoding"] == "chunked"
        assert (status, body) == (200, b"id: 1\n\nid: 2\n\n")


async def test_failed_stream_resets_the_connection():
    """The connection of a failed stream is reset, not closed in order."""
    broken = errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
    async with _connected(_reply(b"id: 1\n\n", broken)) as caller:
        await caller.send(_request())
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await caller.read()


async def test_disconnected_caller_cancels_its_request():
    has_begun = asyncio.Event()
    was_cancelled = asyncio.Event()

    async def script(call):
        has_begun.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            was_cancelled.set()
            raise

    async with _connected(script) as caller:
        await caller.send(_request())
        await has_begun.wait()
        caller.writer.close()
        await asyncio.wait_for(was_cancelled.wait(), 5)


async def test_disconnected_caller_cancels_its_stream():
    async def endless():
        while True:
            yield b"id: 1\n\n"
            await asyncio.sleep(0.01)

    async def script(call):
        return calls.Reply(200, (SEAL,), endless())

    async with _connected(script) as caller:
        await caller.send(_request())
        await caller.reader.readline()
        caller.writer.transport.abort()
        await asyncio.wait_for(caller.forwarding.was_cancelled.wait(), 5)


async def test_connections_are_closed_before_a_shutdown():
    async with _connected(_reply(b"ok", length=2)) as caller:
        caller.forwarding.is_ready = False
        await caller.send(_request())
        _, headers, _ = await caller.read()
        assert headers["connection"] == "close"
        assert await caller.is_closed()


async def test_incomplete_head_times_out():
    """Slow clients must not use up all file descriptors."""
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(b"GET /a/1 HTTP/1.1\r\nHost: a\r\nX-Slow: ")
        assert await asyncio.wait_for(caller.is_closed(), 5)
        assert caller.forwarding.calls == []


async def test_head_in_several_packets():
    async with _connected(_reply(b"ok", length=2)) as caller:
        sent = _request("X-Own: 1")
        await caller.send(sent[:30])
        await asyncio.sleep(0.02)
        await caller.send(sent[30:])
        assert (await caller.read())[0] == 200
        # The timeout of the head must be cancelled once it is complete.
        await asyncio.sleep(0.2)
        await caller.send(_request())
        assert (await caller.read())[0] == 200


async def test_stall_of_the_own_loop_closes_no_connection():
    """After a stall the head is there, but its timer is due as well."""
    async with _connected(_reply(b"ok", length=2)) as caller:
        sent = _request("X-Own: 1")
        await caller.send(sent[:30])
        await asyncio.sleep(0.02)

        def stall():
            socket = caller.writer.get_extra_info("socket")
            os.write(socket.fileno(), sent[30:])
            time.sleep(0.3)

        asyncio.get_running_loop().call_soon(stall)
        assert (await caller.read())[0] == 200


async def test_stalled_body_is_refused():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request("Content-Length: 50") + b"part")
        status, headers, _ = await caller.read()
        assert status == 408
        assert headers["connection"] == "close"
        assert caller.forwarding.calls == []


async def test_expect_100_continue():
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(_request("Content-Length: 4", "Expect: 100-continue"))
        word = await caller.reader.readuntil(b"\r\n\r\n")
        assert word == b"HTTP/1.1 100 Continue\r\n\r\n"
        await caller.send(b"body")
        assert (await caller.read())[0] == 200
        assert caller.forwarding.calls[0].body == b"body"


async def test_unknown_host_returns_404():
    script = _fail(errors.ErrorKind.UNKNOWN_SERVICE)
    async with _connected(script) as caller:
        await caller.send(_request())
        status, _, body = await caller.read()
        assert (status, body) == (404, b"unknown_service")


async def test_limits_of_later_configurations_hold_for_new_connections():
    """The server is there before the first configuration.

    Heads that the operator allows were refused, by the default limit.
    """
    forwarding = Forwarding(_reply(b"ok", length=2))
    configured = forwarding.limits
    forwarding.limits = routes.CallerLimits()
    async with _connected(forwarding=forwarding) as caller:
        forwarding.limits = dataclasses.replace(
            configured, max_header_bytes=65_536
        )
        port = caller.writer.get_extra_info("peername")[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        later = Caller(reader, writer, forwarding)
        await later.send(_request(f"X-Own: {'x' * 20_000}"))
        status, _, _ = await later.read()
        writer.close()
        assert status == 200


_PARSED_HEADERS = (
    "Request-Id",
    "Deadline-Ms",
    "Last-Event-Id",
    "Resumes",
    "Token-Counts",
    "Prompt-Prefix",
    "Model",
    "Length-Hint",
    "X-Own",
)
# Bound of the border; no caller waits longer.
_MAX_TIMEOUT_MS = 1e12


async def test_headers_at_their_edges_fail_no_request():
    """A header that can't be used is left out; one that is needed is refused.

    Bytes that aren't UTF-8 can't be sent on to engines, peers and the store.
    """
    for name in _PARSED_HEADERS:
        for value in hostile_records.HEADERS:
            if len(value) > 4_000:
                continue
            line = f"{name}: {value}\r\n\r\n".encode(errors="surrogateescape")
            head = b"POST /a/1 HTTP/1.1\r\nHost: Shop.example\r\n"
            if name != "Request-Id":
                head += b"Request-Id: r1\r\n"
            async with _connected(_reply(b"ok", length=2)) as caller:
                await caller.send(head + line)
                status, _, _ = await caller.read()
                assert status in (200, 400), (name, value)
                for call in caller.forwarding.calls:
                    json.dumps(
                        dataclasses.astuple(dataclasses.replace(call, body="")),
                        ensure_ascii=False,
                    ).encode()
                    limit = call.caller_timeout_ms
                    assert limit is None or 0.0 <= limit <= _MAX_TIMEOUT_MS


async def test_path_that_isnt_utf8_is_refused():
    """It can't be sent on, and failed the request as an internal error."""
    async with _connected(_reply(b"ok", length=2)) as caller:
        await caller.send(
            b"POST /a/\xff HTTP/1.1\r\nHost: Shop.example\r\n"
            b"Request-Id: r1\r\n\r\n"
        )
        status, _, _ = await caller.read()
    assert status == 400
    assert caller.forwarding.calls == []


async def test_each_connection_has_the_limits_in_force():
    """The first configuration, and each change of it, comes after the listener.

    Connections kept the defaults: one was closed before the time for which its
    caller may reuse it, or a header within the limit was refused.
    """
    forwarding = Forwarding(_reply(b"ok", length=2))
    server = edge.CallerEdge(forwarding, clocks.Clock()).new_server(
        table.Connections()
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    long_header = _request(f"X-Own: {'x' * 20_000}")

    async def status() -> int:
        reader, writer = await asyncio.open_connection(HOST, port)
        caller = Caller(reader, writer, forwarding)
        await caller.send(long_header)
        found, _, _ = await caller.read()
        writer.close()
        return found

    assert await status() == 400
    forwarding.limits = dataclasses.replace(
        forwarding.limits, max_header_bytes=40_000, idle_timeout_ms=7_000.0
    )
    assert await status() == 200
    assert server().keepalive_timeout == 7.0
    listener.close()
