"""Prefix cache of a stand-in engine, with delayed and lossy events."""

from __future__ import annotations

import collections
import dataclasses

import numpy as np

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import prefixes

_MAX_EVENTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedEvent:
    visible_at_ms: float
    event: client.CacheEvent


class PrefixCache:
    """Prefix cache with LRU eviction.

    Args:
        clock: Clock of the simulation.
        rng: Random number generator that selects lost events.
        max_blocks: Capacity in blocks.
        event_lag_ms: Time until an event becomes visible.
        event_loss_ratio: Share of events that are lost.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: np.random.Generator,
        *,
        max_blocks: int = 2_000,
        event_lag_ms: float = 400.0,
        event_loss_ratio: float = 0.05,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._max_blocks = max_blocks
        self._event_lag_ms = event_lag_ms
        self._event_loss_ratio = event_loss_ratio
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[_DelayedEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._sequence = 0

    def cached_tokens(self, prompt: str) -> int:
        """Returns the length of the longest cached prefix in tokens."""
        blocks = 0
        for prefix_hash in prefixes.prefix_hashes(prompt):
            if prefix_hash not in self._blocks:
                break
            self._blocks.move_to_end(prefix_hash)
            blocks += 1
        return blocks * prefixes.BLOCK_TOKENS

    def store(self, prompt: str) -> None:
        """Stores a prompt's blocks and evicts blocks over the capacity."""
        for prefix_hash in prefixes.prefix_hashes(prompt):
            if prefix_hash not in self._blocks:
                self._blocks[prefix_hash] = None
                self._emit(prefix_hash, is_stored=True)
        while len(self._blocks) > self._max_blocks:
            prefix_hash, _ = self._blocks.popitem(last=False)
            self._emit(prefix_hash, is_stored=False)

    def clear(self) -> None:
        """Removes all blocks without events, as in a crash."""
        self._blocks.clear()

    def events(self, after_sequence: int) -> tuple[client.CacheEvent, ...]:
        """Returns the visible events after a sequence number."""
        now_ms = self._clock.now_ms()
        return tuple(
            delayed.event
            for delayed in self._events
            if delayed.event.sequence > after_sequence
            and delayed.visible_at_ms <= now_ms
        )

    def _emit(self, prefix_hash: int, *, is_stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_loss_ratio:
            return
        event = client.CacheEvent(self._sequence, prefix_hash, is_stored)
        visible_at_ms = self._clock.now_ms() + self._event_lag_ms
        self._events.append(_DelayedEvent(visible_at_ms, event))
