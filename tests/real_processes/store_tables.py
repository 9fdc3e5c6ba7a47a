"""Topics and groups of the stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import dataclasses


class Topic:
    """A topic of one partition.

    Attributes:
        records: All records, by offset.
        newest: Offset and value of the newest record of each key.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self._grown = asyncio.Event()

    def append(self, record: bytes, *, is_keyed: bool) -> None:
        offset = len(self.records)
        self.records.append(record)
        if is_keyed:
            split = 1 + record[0]
            key, value = record[1:split].decode(), record[split:]
            if value:
                self.newest[key] = (offset, value)
            else:
                self.newest.pop(key, None)
        self._grown.set()
        self._grown = asyncio.Event()

    async def wait_beyond(self, offset: int, wait_s: float) -> None:
        """Waits until the topic has a record at an offset, or for so long."""
        if offset >= len(self.records) and wait_s > 0:
            try:
                await asyncio.wait_for(self._grown.wait(), wait_s)
            except TimeoutError:
                return


@dataclasses.dataclass
class _Member:
    ttl_s: float
    seen_s: float


class Group:
    """Members of a group, and which of them holds each partition.

    A partition passes to its next holder once the present one has joined with
    the generation that took it away, has left or is silent.

    Args:
        part_count: Number of partitions.
    """

    def __init__(self, part_count: int) -> None:
        self.generation = 0
        self.holders: dict[int, str] = {}
        self._wanted: dict[int, str] = {}
        self._members: dict[str, _Member] = {}
        self._part_count = part_count

    def join(
        self, name: str, ttl_s: float, generation: int, now_s: float
    ) -> list[int]:
        """Renews a membership and returns the member's partitions."""
        self.expire(now_s)
        is_new = name not in self._members
        self._members[name] = _Member(ttl_s, now_s)
        if is_new:
            self._assign()
        elif generation >= self.generation:
            self._give_up(name)
        return [
            part
            for part, holder in self.holders.items()
            if holder == name and self._wanted[part] == name
        ]

    def leave(self, name: str) -> None:
        """Removes a member."""
        if self._members.pop(name, None) is not None:
            self._drop_holder(name)
            self._assign()

    def expire(self, now_s: float) -> None:
        """Removes silent members."""
        for name, member in list(self._members.items()):
            if now_s - member.seen_s > member.ttl_s:
                self.leave(name)

    def _drop_holder(self, name: str) -> None:
        for part in [p for p, h in self.holders.items() if h == name]:
            del self.holders[part]

    def _give_up(self, name: str) -> None:
        for part, wanted in self._wanted.items():
            if self.holders.get(part) == name:
                self.holders[part] = wanted

    def _assign(self) -> None:
        """Spreads the partitions evenly; members keep what they can."""
        self.generation += 1
        self._wanted = {}
        if not self._members:
            return
        most = -(-self._part_count // len(self._members))
        counts = dict.fromkeys(self._members, 0)
        for part, holder in self.holders.items():
            if counts[holder] < most:
                self._wanted[part] = holder
                counts[holder] += 1
        for part in range(self._part_count):
            if part not in self._wanted:
                fewest = min(counts, key=lambda name: counts[name])
                self._wanted[part] = fewest
                counts[fewest] += 1
            self.holders.setdefault(part, self._wanted[part])
