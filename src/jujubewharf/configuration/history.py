"""Bounded history of the latest changes and their verdicts.

The history serves queries for the verdict on an operation, provides earlier
bodies for rollbacks, and deduplicates changes that are in the log twice. It is
part of the replicated state and of checkpoints, so that all instances give the
same verdict on a duplicate.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

import msgpack

from jujubewharf.configuration import records
from jujubewharf.configuration import verdicts

MAX_ITEMS = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One change and its verdict.

    Attributes:
        verdict: Verdict on the change.
        actor: Operator who requested the change.
        wall_ms: Wall clock time in milliseconds at the instance that accepted
            the request.
        verb: Put, delete or rules.
        kind: Value of the resource kind.
        name: Resource name.
        generation_before: Generation before the change; 0 if the resource did
            not exist.
        before_packed: Body before the change, in msgpack; empty if none.
        after_packed: Body after the change, in msgpack; empty if none.
        change_digest: Digest of the requested change.
    """

    verdict: verdicts.Verdict
    actor: str
    wall_ms: float
    verb: records.Verb
    kind: str
    name: str
    generation_before: int = 0
    before_packed: bytes = b""
    after_packed: bytes = b""
    change_digest: str = ""

    @property
    def offset(self) -> int:
        """Log offset of the change."""
        return self.verdict.offset

    @property
    def before(self) -> dict[str, Any] | None:
        """Body before the change."""
        return _unpack(self.before_packed)

    @property
    def after(self) -> dict[str, Any] | None:
        """Body after the change."""
        return _unpack(self.after_packed)


def _unpack(packed: bytes) -> dict[str, Any] | None:
    return msgpack.unpackb(packed) if packed else None


class History:
    """The latest items in log order.

    Args:
        max_items: Maximum number of items; the oldest are evicted first.
    """

    def __init__(self, *, max_items: int = MAX_ITEMS) -> None:
        self._max_items = max_items
        self._items: dict[str, HistoryItem] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[HistoryItem]:
        return iter(self._items.values())

    def add(self, item: HistoryItem) -> None:
        """Appends an item, and evicts the oldest one if necessary."""
        self._items[item.verdict.operation_id] = item
        if len(self._items) > self._max_items:
            del self._items[next(iter(self._items))]

    def find(self, operation_id: str) -> HistoryItem | None:
        """Returns the item of an operation; ``None`` if not in the history."""
        return self._items.get(operation_id)

    def of_resource(self, kind: str, name: str) -> list[HistoryItem]:
        """Returns the items of one resource, oldest first."""
        return [
            item
            for item in self._items.values()
            if item.kind == kind and item.name == name
        ]

    def newer_than(self, offset: int) -> list[HistoryItem]:
        """Returns the items with a higher offset, oldest first."""
        newest_first = itertools.takewhile(
            lambda item: item.offset > offset, reversed(self._items.values())
        )
        return list(newest_first)[::-1]

    @property
    def complete_from_offset(self) -> int:
        """Lowest offset from which on the history is complete."""
        if len(self._items) < self._max_items:
            return 0
        return next(iter(self._items.values())).offset
