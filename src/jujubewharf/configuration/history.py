"""The latest changes and their verdicts, bounded and part of the state.

It answers an operator who asks what became of an operation, gives rollback
the earlier bodies, and makes a change that stands on the log twice count
once. It is folded and checkpointed like everything else, because the second
copy must get the same verdict from every instance.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

import msgpack

from jujubewharf.configuration import records
from jujubewharf.configuration import verdicts

KEPT_ITEMS = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One change that was judged.

    Attributes:
        verdict: What became of it.
        actor: Operator who asked for it.
        wall_ms: When the operator's instance took it, by that clock.
        verb: Put, delete or rules.
        kind: Resource kind, by its value.
        name: Resource name.
        generation_before: Generation it found; 0 for none.
        before_packed: Body it found, in msgpack; empty for none.
        after_packed: Body it left, in msgpack; empty for none.
        change_digest: Digest of what was asked for.
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
        """Where the change stands on the log."""
        return self.verdict.offset

    @property
    def before(self) -> dict[str, Any] | None:
        """Body that the change found."""
        return _unpacked(self.before_packed)

    @property
    def after(self) -> dict[str, Any] | None:
        """Body that the change left."""
        return _unpacked(self.after_packed)


def _unpacked(packed: bytes) -> dict[str, Any] | None:
    return msgpack.unpackb(packed) if packed else None


class History:
    """The latest items in log order.

    Args:
        kept_items: Bound; the oldest item makes room for a new one.
    """

    def __init__(self, *, kept_items: int = KEPT_ITEMS) -> None:
        self._kept_items = kept_items
        self._items: dict[str, HistoryItem] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[HistoryItem]:
        return iter(self._items.values())

    def add(self, item: HistoryItem) -> None:
        """Adds the newest item."""
        self._items[item.verdict.operation_id] = item
        if len(self._items) > self._kept_items:
            del self._items[next(iter(self._items))]

    def find(self, operation_id: str) -> HistoryItem | None:
        """The item of an operation, while it is kept."""
        return self._items.get(operation_id)

    def of(self, kind: str, name: str) -> list[HistoryItem]:
        """Items of one resource, oldest first."""
        return [
            item
            for item in self._items.values()
            if item.kind == kind and item.name == name
        ]

    def newer_than(self, offset: int) -> list[HistoryItem]:
        """Items past an offset, oldest first."""
        newest_first = itertools.takewhile(
            lambda item: item.offset > offset, reversed(self._items.values())
        )
        return list(newest_first)[::-1]

    @property
    def dropped_below(self) -> int:
        """Lowest offset from which on every judged change is kept here."""
        if len(self._items) < self._kept_items:
            return 0
        return next(iter(self._items.values())).offset
