"""Slots and KV-cache memory of a stand-in engine."""

from __future__ import annotations

import asyncio
import itertools
import time


class Memory:
    """Counts what runs and what is reserved.

    Args:
        slots: Requests that run at once.
        tokens: Size of the memory.

    Attributes:
        running: Requests that run.
        idle: Set while none runs.
    """

    def __init__(self, *, slots: int, tokens: int) -> None:
        self.slots = slots
        self.tokens = tokens
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._running_tokens = 0
        # Tokens and expiry of each reservation.
        self._holds: dict[str, tuple[int, float]] = {}
        self._numbers = itertools.count(1)

    @property
    def used(self) -> int:
        return self._running_tokens + sum(t for t, _ in self._holds.values())

    def hold(self, tokens: int, ttl_ms: float) -> str | None:
        """Reserves a slot and memory; returns ``None`` if there is no room."""
        self._expire()
        if not self._has_room(tokens):
            return None
        name = f"hold-{next(self._numbers)}"
        self._holds[name] = (tokens, time.monotonic() + ttl_ms / 1_000)
        return name

    def drop(self, name: str | None) -> bool:
        """Releases a reservation; returns whether there was one."""
        return name is not None and self._holds.pop(name, None) is not None

    def begin(self, tokens: int, hold: str | None) -> bool:
        """Takes the room for a run; returns false if there is none."""
        self._expire()
        if not self.drop(hold) and not self._has_room(tokens):
            return False
        self.running += 1
        self.idle.clear()
        self._running_tokens += tokens
        return True

    def end(self, tokens: int) -> None:
        """Gives back the room of a run."""
        self.running -= 1
        self._running_tokens -= tokens
        if not self.running:
            self.idle.set()

    def _has_room(self, tokens: int) -> bool:
        return (
            self.running + len(self._holds) < self.slots
            and self.used + tokens <= self.tokens
        )

    def _expire(self) -> None:
        now = time.monotonic()
        for name, (_, until) in list(self._holds.items()):
            if until < now:
                del self._holds[name]
