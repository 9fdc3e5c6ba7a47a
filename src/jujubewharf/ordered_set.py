"""A set that is iterated in the order in which its items were added."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import MutableSet
from typing import TypeVar

T = TypeVar("T")


class OrderedSet(MutableSet[T]):
    """A set with a fixed order, for what is sent or drawn item by item.

    The order of a built-in set changes with each process, so that equal
    histories would differ in what they send.
    """

    def __init__(self, items: Iterable[T] = ()) -> None:
        self._items = dict.fromkeys(items)

    def __repr__(self) -> str:
        return f"OrderedSet({list(self._items)})"

    def __contains__(self, item: object) -> bool:
        return item in self._items

    def __iter__(self) -> Iterator[T]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def add(self, value: T) -> None:
        """Adds an item at the end, if it is not in the set."""
        self._items[value] = None

    def discard(self, value: T) -> None:
        """Removes an item, if it is in the set."""
        self._items.pop(value, None)
