"""A process that answers each request with bytes that have no end.

For each state of a response's parser there are bytes that keep it there. The
first part of a request's path names the kind. ``sound`` answers at once, so
that callers of it can be compared.
"""

from __future__ import annotations

import itertools
import socket
import sys
import threading

from tests.real_processes import http_io

_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_EVENTS = _HEAD + b"Content-Type: text/event-stream\r\n\r\n"
# By kind: what a response begins with, and what then comes without an end.
HEADS: dict[str, tuple[bytes, bytes]] = {
    "nothing-known": (b"", b"\x00\xffnoise"),
    "line-ends": (b"", b"\r\n"),
    "version": (b"HTTP/1.1", b"1"),
    "reason": (b"HTTP/1.1 200 ", b"x"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early-hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "header-name": (_HEAD, b"a"),
    "header-value": (_HEAD + b"A: ", b"a"),
    "header-spaces": (_HEAD + b"A:", b" "),
    "folded-header": (_HEAD + b"A: a", b"\r\n a"),
    "headers": (_HEAD, b"A: a\r\n"),
}
FRAMINGS: dict[str, tuple[bytes, bytes]] = {
    "size": (_CHUNKED, b"0"),
    "size-extension": (_CHUNKED + b"1;", b"a"),
    "tiny-chunks": (_CHUNKED, b"1\r\nx\r\n"),
    "trailer-name": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"a"),
    "trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"A: a\r\n"),
}
BODIES: dict[str, tuple[bytes, bytes]] = {
    "body": (_HEAD + b"\r\n", b"x"),
    "chunks": (_CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "length": (_HEAD + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    "event": (_EVENTS, b"data: x\n"),
    "empty-events": (_EVENTS, b"\n\n"),
    "events": (_EVENTS, b"id: 1\ndata: x\n\n"),
}
KINDS = HEADS | FRAMINGS | BODIES
SOUND = _HEAD + b"Content-Length: 5\r\n\r\nsound"
_BLOCK_BYTES = 65_536


def _serve(connection: socket.socket) -> None:
    with connection:
        try:
            _answer(connection)
        except OSError:
            # The other side has closed it.
            pass


def _answer(connection: socket.socket) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        part = connection.recv(65_536)
        if not part:
            return
        received += part
    kind = received.split(b"/", 2)[1].split(b" ")[0].decode()
    if kind not in KINDS:
        connection.sendall(SOUND)
        return
    begin, repeated = KINDS[kind]
    connection.sendall(begin)
    block = repeated * (_BLOCK_BYTES // len(repeated) + 1)
    for _ in itertools.count():
        connection.sendall(block)


def main() -> None:
    """Prints its address, and serves until it is ended."""
    with socket.create_server((http_io.HOST, 0), backlog=200) as listener:
        print(f"{http_io.HOST}:{listener.getsockname()[1]}", flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=_serve, args=(connection,), daemon=True
            ).start()


if __name__ == "__main__":
    sys.exit(main())
