"""Counts the whole answers of requests that callers send again and again.

A request that has often come through is hardly the cause of a crash. Bodies are
hashed only for outlines that recur, so that other requests pay a look-up.
"""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import fingerprints

K = TypeVar("K")

# Answers of one outline after which its bodies are hashed.
_RECURRING_ANSWERS = 4
# Larger bodies are not hashed.
_MAX_BODY_BYTES = 65_536
# Time for which answers count, so that a request that has begun to crash
# engines of a new version loses its good name.
_RETENTION_MS = 120_000.0
_MAX_KEYS = 256


class Completions:
    """Counts recent whole answers.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._outlines = _RecentCounts[fingerprints.Outline](clock)
        self._requests = _RecentCounts[fingerprints.Fingerprint](clock)
        # Apart, as most prompts have parts that few others share.
        self._parts = _RecentCounts[fingerprints.Fingerprint](clock)

    def record(self, call: calls.Call) -> None:
        """Counts a whole answer to a request."""
        outline = fingerprints.Outline.from_call(call)
        if self._outlines.add(outline) < _RECURRING_ANSWERS:
            return
        if len(call.body) <= _MAX_BODY_BYTES:
            self._requests.add(fingerprints.Fingerprint.from_call(call))

    def record_parts(self, call: calls.Call) -> None:
        """Counts an answer that an engine wrote on the parts of a prompt."""
        for part in call.shared_parts:
            self._parts.add(fingerprints.Fingerprint.from_part(call, part))

    def count(self, fingerprint: fingerprints.Fingerprint) -> int:
        """Returns the number of recent answers to a request or on a part."""
        found = self._requests.count(fingerprint)
        return found or self._parts.count(fingerprint)


class _RecentCounts(Generic[K]):
    """Counts by key, of the keys that were last counted."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._counts: collections.OrderedDict[K, tuple[int, float]]
        self._counts = collections.OrderedDict()

    def add(self, key: K) -> int:
        """Adds one and returns the new count."""
        count = self.count(key) + 1
        self._counts[key] = (count, self._clock.now_ms())
        self._counts.move_to_end(key)
        if len(self._counts) > _MAX_KEYS:
            self._counts.popitem(last=False)
        return count

    def count(self, key: K) -> int:
        """Returns a key's count; 0 if it was not counted recently."""
        count, at_ms = self._counts.get(key, (0, 0.0))
        return count if self._clock.now_ms() - at_ms < _RETENTION_MS else 0
