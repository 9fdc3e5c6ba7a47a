"""Stand-in of the platform's store, as a process.

Prints its address. Operators and engines write with ``POST /standin/put``,
which takes ``topic`` and ``key`` in its query and the value as its body.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import struct
import sys
import time

from tests.real_processes import http_io
from tests.real_processes import store_tables

PART_COUNT = 24
_KEYED = "keyed."
# Topics that only operators and engines write.
_READ_ONLY = ("keyed.op", "keyed.servers")
_PAGE_ITEMS = 500
_LENGTH = struct.Struct(">I")
_READ_HEAD = struct.Struct(">QQ")


class Store:
    """Answers the store's calls."""

    def __init__(self) -> None:
        self._topics: dict[tuple[str, str], store_tables.Topic] = (
            collections.defaultdict(store_tables.Topic)
        )
        self._groups: dict[str, store_tables.Group] = collections.defaultdict(
            lambda: store_tables.Group(PART_COUNT)
        )

    async def handle(
        self, request: http_io.Request, connection: http_io.Connection
    ) -> None:
        await connection.send(await self._answer(request))

    async def _answer(self, request: http_io.Request) -> bytes:
        match request.path.rpartition("/")[2]:
            case "put":
                return self._put(request)
            case "log-append":
                return self._append(request)
            case "log-read":
                return await self._read(request)
            case "log-newest":
                return self._newest(request)
            case "log-join":
                return self._join(request.json())
            case "log-leave":
                fields = request.json()
                self._groups[str(fields["group"])].leave(str(fields["member"]))
                return http_io.json_response({})
            case "log-commit":
                return http_io.json_response({})
            case "log-owners":
                return self._owners(request.query["group"])
        return http_io.response(404)

    def _topic(self, request: http_io.Request) -> store_tables.Topic:
        query = request.query
        return self._topics[query["topic"], query.get("part", "0")]

    def _put(self, request: http_io.Request) -> bytes:
        key = request.query["key"].encode()
        record = bytes([len(key)]) + key + request.body
        self._topic(request).append(record, is_keyed=True)
        return http_io.json_response({})

    def _append(self, request: http_io.Request) -> bytes:
        name = request.query["topic"]
        if name in _READ_ONLY:
            return http_io.json_response({}, 403)
        topic = self._topic(request)
        first, at = len(topic.records), 0
        while at < len(request.body):
            (size,) = _LENGTH.unpack_from(request.body, at)
            at += _LENGTH.size
            record = request.body[at : at + size]
            topic.append(record, is_keyed=name.startswith(_KEYED))
            at += size
        answer = {"offset": first, "end": len(topic.records)}
        return http_io.json_response(answer)

    async def _read(self, request: http_io.Request) -> bytes:
        topic, query = self._topic(request), request.query
        first = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1_000
        await topic.wait_beyond(first, wait_s)
        room = int(query.get("maxKb", "1024")) * 1_024
        parts = [_READ_HEAD.pack(len(topic.records), 0)]
        for record in topic.records[first:]:
            room -= len(record) + _LENGTH.size
            if room < 0:
                break
            parts += [_LENGTH.pack(len(record)), record]
        return http_io.response(200, b"".join(parts))

    def _newest(self, request: http_io.Request) -> bytes:
        topic = self._topic(request)
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:_PAGE_ITEMS]:
            offset, value = topic.newest[key]
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        page = {
            "items": items,
            "hasMore": len(keys) > _PAGE_ITEMS,
            "end": len(topic.records),
        }
        return http_io.json_response(page)

    def _join(self, fields: dict) -> bytes:
        group = self._groups[fields["group"]]
        parts = group.join(
            fields["member"],
            fields["ttlMs"] / 1_000,
            fields["generation"],
            time.monotonic(),
        )
        topic = fields["topics"][0]
        rows = [[topic, part, 0] for part in parts]
        answer = {"generation": group.generation, "parts": rows}
        return http_io.json_response(answer)

    def _owners(self, name: str) -> bytes:
        group = self._groups[name]
        group.expire(time.monotonic())
        rows = [[name, part, who, 0] for part, who in group.holders.items()]
        return http_io.json_response({"parts": rows})


async def main() -> None:
    server, address = await http_io.serve(Store().handle)
    print(address, flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
