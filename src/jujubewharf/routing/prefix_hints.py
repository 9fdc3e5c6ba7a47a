"""Decaying hints of which engines have cached a prompt's prefix.

Cache events arrive late and with gaps, and engine caches are small, so a hint
only gives a probability. The expected saving is the cached length weighted by
that probability; callers compare it with the engine's queue.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import prefixes

_MAX_HINTS = 2_048
_HALF_LIFE_MS = 20_000.0
_SMOOTHING = 0.1
_MAX_MISSING_BLOCKS = 1


class _Cache:
    """Presumed content of one engine's prefix cache."""

    def __init__(self) -> None:
        self.recorded_ms: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.last_sequence = 0
        self.loss_ratio = 0.0

    def record(self, prefix_hash: int, now_ms: float) -> None:
        self.recorded_ms[prefix_hash] = now_ms
        self.recorded_ms.move_to_end(prefix_hash)
        while len(self.recorded_ms) > _MAX_HINTS:
            self.recorded_ms.popitem(last=False)


class PrefixHints:
    """Hints for all engines, from cache events and this instance's own prompts.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._caches: dict[str, _Cache] = {}

    def last_sequence(self, engine: str) -> int:
        """Returns the sequence number of the latest event."""
        cache = self._caches.get(engine)
        return cache.last_sequence if cache is not None else 0

    def record_prompt(self, engine: str, prefix_hashes: Sequence[int]) -> None:
        """Records that an engine prefilled a prompt with these prefixes."""
        cache = self._cache(engine)
        now_ms = self._clock.now_ms()
        for prefix_hash in prefix_hashes:
            cache.record(prefix_hash, now_ms)

    def apply_events(
        self, engine: str, events: Sequence[client.CacheEvent]
    ) -> None:
        """Applies cache events; each gap lowers the confidence in all hints.

        A missing event may be an eviction, after which a hint would direct
        prompts to an engine that no longer has their prefix.
        """
        cache = self._cache(engine)
        now_ms = self._clock.now_ms()
        for event in events:
            missing = max(0, event.sequence - cache.last_sequence - 1)
            if cache.last_sequence:
                loss = missing / (missing + 1)
                cache.loss_ratio += _SMOOTHING * (loss - cache.loss_ratio)
            cache.last_sequence = max(cache.last_sequence, event.sequence)
            if event.is_stored:
                cache.record(event.prefix_hash, now_ms)
            else:
                cache.recorded_ms.pop(event.prefix_hash, None)

    def remove_engine(self, engine: str) -> None:
        """Removes the hints of an engine, for example after its restart."""
        self._caches.pop(engine, None)

    def saved_tokens(self, engine: str, prefix_hashes: Sequence[int]) -> float:
        """Returns the expected cached tokens, weighted by confidence."""
        cache = self._caches.get(engine)
        if cache is None:
            return 0.0
        blocks = missing = 0
        last_recorded_ms = 0.0
        for index, prefix_hash in enumerate(prefix_hashes):
            found_ms = cache.recorded_ms.get(prefix_hash)
            if found_ms is not None:
                blocks, last_recorded_ms = index + 1, found_ms
            else:
                missing += 1
                if missing > _MAX_MISSING_BLOCKS:
                    break
        age_ms = self._clock.now_ms() - last_recorded_ms
        confidence = (1.0 - cache.loss_ratio) * 0.5 ** (age_ms / _HALF_LIFE_MS)
        return blocks * prefixes.BLOCK_TOKENS * confidence

    def _cache(self, engine: str) -> _Cache:
        return self._caches.setdefault(engine, _Cache())
