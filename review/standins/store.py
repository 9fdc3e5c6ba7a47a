"""Stand-in for the platform's store: topics, keyed topics and groups.

Speaks the calls of PROTOCOL.md that an instance makes: log-append, log-read,
log-newest, log-join, log-leave, log-owners and log-commit. It loses nothing
that it has acknowledged, and answers in order. Runs in the process of the
script that uses it.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time

import http_io

PARTS = 24
KEYED = "keyed."


class Topic:
    """One partition of a topic: its records, and the newest of each key."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, record: bytes, *, is_keyed: bool) -> int:
        """Appends a record and returns its offset."""
        offset = len(self.records)
        self.records.append(record)
        if is_keyed:
            size = record[0]
            key = record[1 : 1 + size].decode(errors="replace")
            value = record[1 + size :]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return offset


class Group:
    """Members of a group and the partitions that they hold."""

    def __init__(self) -> None:
        self.generation = 0
        self.last_join: dict[str, float] = {}
        self.ttl_s: dict[str, float] = {}
        self.seen: dict[str, int] = {}
        self.holder: dict[int, str] = {}
        self.target: dict[int, str] = {}

    def expire(self) -> None:
        """Removes members that were silent for too long."""
        now = time.monotonic()
        for member in list(self.last_join):
            if now - self.last_join[member] > self.ttl_s[member]:
                self.remove(member)

    def remove(self, member: str) -> None:
        """Removes a member and assigns its partitions anew."""
        if member not in self.last_join:
            return
        del self.last_join[member], self.ttl_s[member]
        self.seen.pop(member, None)
        for part in [p for p, m in self.holder.items() if m == member]:
            del self.holder[part]
        self.rebalance()

    def rebalance(self) -> None:
        """Assigns the partitions evenly; each keeps its holder if it can."""
        self.generation += 1
        members = list(self.last_join)
        self.target = {}
        if not members:
            return
        most = -(-PARTS // len(members))
        counts = dict.fromkeys(members, 0)
        for part in range(PARTS):
            kept = self.holder.get(part)
            if kept in counts and counts[kept] < most:
                self.target[part] = kept
                counts[kept] += 1
        for part in range(PARTS):
            if part not in self.target:
                member = min(members, key=lambda m: counts[m])
                self.target[part] = member
                counts[member] += 1
        for part, member in self.target.items():
            if part not in self.holder:
                self.holder[part] = member

    def join(self, member: str, ttl_s: float, generation: int) -> list[int]:
        """Records a join and returns the partitions of the member."""
        self.expire()
        is_new = member not in self.last_join
        self.last_join[member] = time.monotonic()
        self.ttl_s[member] = ttl_s
        if is_new:
            self.rebalance()
        if generation >= self.generation:
            # It has seen that it loses these; they go to their new holders.
            for part, holder in list(self.holder.items()):
                if holder == member and self.target.get(part) != member:
                    self.holder[part] = self.target[part]
        self.seen[member] = self.generation
        return [
            part
            for part in range(PARTS)
            if self.holder.get(part) == member
            and self.target.get(part) == member
        ]


class Store:
    """The store; ``start`` listens on a free port of the loopback address."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.groups: dict[str, Group] = {}
        self.address = ""
        self.calls = 0

    def topic(self, name: str, part: int = 0) -> Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(f"{name}/{part}", Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Writes a record of a keyed topic, as operator or engine."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        return self.topic(topic).append(record, is_keyed=True)

    async def start(self) -> None:
        """Listens on a free port."""
        self.address = await http_io.serve(self._handle)

    async def _handle(self, request: http_io.Request) -> http_io.Response:
        self.calls += 1
        call = request.path.rpartition("log-")[2]
        match call:
            case "append":
                return self._append(request)
            case "read":
                return await self._read(request)
            case "newest":
                return self._newest(request)
            case "join" | "leave" | "commit" | "owners":
                return self._group(call, request)
        return http_io.Response(404, b"{}")

    def _append(self, request: http_io.Request) -> http_io.Response:
        name = request.query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return http_io.Response(403, b"{}")
        topic = self.topic(name, int(request.query.get("part", "0")))
        first = len(topic.records)
        body, at = request.body, 0
        while at + 4 <= len(body):
            (size,) = struct.unpack_from(">I", body, at)
            record = body[at + 4 : at + 4 + size]
            topic.append(record, is_keyed=name.startswith(KEYED))
            at += 4 + size
        answer = {"offset": first, "end": len(topic.records)}
        return http_io.json_response(answer)

    async def _read(self, request: http_io.Request) -> http_io.Response:
        topic = self.topic(
            request.query["topic"], int(request.query.get("part", "0"))
        )
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1e3
        while start >= len(topic.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except TimeoutError:
                break
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size, most = 0, int(request.query.get("maxKb", "1024")) * 1024
        for record in topic.records[start:]:
            size += 4 + len(record)
            if size > most:
                break
            parts.append(struct.pack(">I", len(record)) + record)
        return http_io.Response(200, b"".join(parts))

    def _newest(self, request: http_io.Request) -> http_io.Response:
        topic = self.topic(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(k for k in topic.newest if k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        return http_io.json_response(
            {
                "items": items,
                "hasMore": len(keys) > 500,
                "end": len(topic.records),
            }
        )

    def _group(self, call: str, request: http_io.Request) -> http_io.Response:
        fields = json.loads(request.body) if request.body else request.query
        group = self.groups.setdefault(str(fields["group"]), Group())
        if call == "join":
            member = str(fields["member"])
            ttl_s = int(fields["ttlMs"]) / 1e3
            parts = group.join(member, ttl_s, int(fields["generation"]))
            topics = fields.get("topics") or ["t"]
            return http_io.json_response(
                {
                    "generation": group.generation,
                    "ttlMs": fields["ttlMs"],
                    "parts": [[topics[0], part, 0] for part in parts],
                }
            )
        if call == "leave":
            group.expire()
            group.remove(str(fields["member"]))
            return http_io.json_response({})
        group.expire()
        rows = [
            ["t", part, group.holder.get(part, ""), 0] for part in range(PARTS)
        ]
        return http_io.json_response({"parts": rows})
