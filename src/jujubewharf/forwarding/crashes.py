"""Which engines crashed while they worked on a request, over all its tries.

An engine ends under all that it runs, so most of the requests that it ran are
innocent. One that an engine has answered whole is: its record is cleared.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.forwarding import beliefs
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import fingerprints

# A crash counts for this long, so that one wrong suspicion of an innocent
# request ends by itself.
KEPT_MS = 600_000.0
# Requests that are remembered, and crashes of each. Within these bounds a
# caller that makes up crashing requests costs an instance half a megabyte.
MOST_RECORDS = 1_024
_MOST_CRASHES = 8
_MOST_LABEL_CHARS = 64


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one request.

    Attributes:
        label: Id of one of its tries, which names it in log lines.
        crashes_ms: Engines that crashed under it, and when.
        cleared_ms: When an engine last answered it whole; crashes up to then
            don't count.
    """

    label: str
    crashes_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared_ms: float = float("-inf")

    @property
    def changed_ms(self) -> float:
        """When anything of it was last seen."""
        return max((self.cleared_ms, *self.crashes_ms.values()))

    def drop(self, oldest_ms: float) -> None:
        """Forgets what doesn't count any more."""
        oldest_ms = max(oldest_ms, self.cleared_ms)
        for engine, at_ms in list(self.crashes_ms.items()):
            if at_ms <= oldest_ms:
                del self.crashes_ms[engine]
        latest = sorted(self.crashes_ms, key=lambda e: self.crashes_ms[e])
        for engine in latest[:-_MOST_CRASHES]:
            del self.crashes_ms[engine]


class CrashHistory:
    """Remembers under which requests engines crashed.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._records: dict[fingerprints.Fingerprint, _Record] = {}
        # How many of them have an outline.
        self._outlines: dict[fingerprints.Outline, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        return f"CrashHistory(requests={len(self)})"

    def crashed(self, call: calls.Call, engine: str, *, stage: str) -> None:
        """Learns that an engine crashed while it worked on a request.

        Args:
            call: The request.
            engine: Name of the engine's start.
            stage: What it was asked for: ``prefill`` or ``run``.
        """
        record = self._of(fingerprints.Fingerprint.from_call(call))
        record = record or self._add(call)
        record.crashes_ms.setdefault(engine, self._clock.now_ms())
        record.drop(self._clock.now_ms() - KEPT_MS)
        beliefs.engine_crashed(
            call.request_id,
            engine,
            stage=stage,
            crashes=len(record.crashes_ms),
            label=record.label,
        )

    def came_through(self, call: calls.Call) -> None:
        """Learns that an engine has answered a request whole."""
        record = self._find(call)
        if record is not None:
            record.cleared_ms = self._clock.now_ms()
            record.drop(record.cleared_ms)

    def count(self, call: calls.Call) -> int:
        """Engines that crashed under a request, and count against it."""
        record = self._find(call)
        if record is None:
            return 0
        record.drop(self._clock.now_ms() - KEPT_MS)
        return len(record.crashes_ms)

    def _find(self, call: calls.Call) -> _Record | None:
        """The record of a request; its body is read only for a likely one."""
        if not self._outlines:
            return None
        if fingerprints.Outline.from_call(call) not in self._outlines:
            return None
        return self._of(fingerprints.Fingerprint.from_call(call))

    def _of(self, fingerprint: fingerprints.Fingerprint) -> _Record | None:
        return self._records.get(fingerprint)

    def _add(self, call: calls.Call) -> _Record:
        record = _Record(call.request_id[:_MOST_LABEL_CHARS])
        fingerprint = fingerprints.Fingerprint.from_call(call)
        self._make_room()
        self._records[fingerprint] = record
        count = self._outlines.get(fingerprint.outline, 0)
        self._outlines[fingerprint.outline] = count + 1
        return record

    def _make_room(self) -> None:
        """Keeps the number of records bounded.

        The account with the most gives way, and of its requests the one with
        the fewest crashes: a caller that makes up thousands of them pushes out
        none of another caller's, nor its own that are sure to crash engines.
        """
        oldest_ms = self._clock.now_ms() - KEPT_MS
        if len(self._records) < MOST_RECORDS:
            return
        for fingerprint, record in list(self._records.items()):
            record.drop(oldest_ms)
            if record.changed_ms <= oldest_ms:
                self._remove(fingerprint)
        while len(self._records) >= MOST_RECORDS:
            self._remove(self._least())

    def _least(self) -> fingerprints.Fingerprint:
        counts: dict[str, int] = {}
        for fingerprint in self._records:
            account = fingerprint.outline.account
            counts[account] = counts.get(account, 0) + 1
        largest = max(counts, key=lambda account: counts[account])
        return min(self._of_account(largest), key=self._weight)

    def _of_account(self, account: str) -> Iterator[fingerprints.Fingerprint]:
        return (f for f in self._records if f.outline.account == account)

    def _weight(self, of: fingerprints.Fingerprint) -> tuple[int, float]:
        record = self._records[of]
        return len(record.crashes_ms), record.changed_ms

    def _remove(self, fingerprint: fingerprints.Fingerprint) -> None:
        del self._records[fingerprint]
        self._outlines[fingerprint.outline] -= 1
        if not self._outlines[fingerprint.outline]:
            del self._outlines[fingerprint.outline]
