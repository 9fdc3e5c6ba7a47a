"""Reads what the platform's store keeps of requests that crash engines.

Whoever starts reads it whole, since a restart of all leaves nobody to tell it.
After that a follower is told by its leader. The leader and who has none go on
reading: a cut between them hides from each what the others see, and the store
may be what they all still reach.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from jujubewharf import clock as clocks
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import follower
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.platform import record_errors
from jujubewharf.platform import tables

# Names the table in log lines.
_TABLE = "crashes"
# A read waits so long at the store for news: few calls while there are none.
_WAIT_MS = 5_000.0
# Pause between two looks of a follower whether it still has a leader.
_LOOK_MS = 250.0

OnRecord = Callable[[str, fingerprints.Fingerprint], None]


def new_crash_follower(
    table: tables.KeptTable,
    fleet: fleets.Fleet,
    spread: fleet_crashes.FleetCrashes,
    clock: clocks.Clock,
    rng: random.Random,
    *,
    on_record: OnRecord,
) -> follower.TableFollower[bytes]:
    """Makes the service that reads the table.

    Args:
        table: The store's table.
        fleet: The leader of this instance, or its followers.
        spread: Learns what the store has, and tells it to the others.
        clock: Time.
        rng: Spreads the readings.
        on_record: Told of each record that is there.
    """
    return follower.TableFollower(
        _TABLE,
        _UnledTable(table, fleet, clock),
        follower.Pace(wait_ms=_WAIT_MS, pause_ms=0.0),
        clock,
        rng,
        on_page=_Reports(spread, clock, on_record).take,
        is_watched=lambda: fleet.role is fleets.Role.FOLLOWING,
    )


class _UnledTable:
    """A table whose changes a follower leaves for later.

    They are read from where it stopped as soon as it has no leader.
    """

    def __init__(
        self,
        table: tables.KeptTable,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._clock = clock

    async def newest(self) -> tables.TablePage[bytes]:
        """The newest record of each key; see ``tables.Table``."""
        return await self._table.newest()

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[bytes]:
        """Later records, none for a follower; see ``tables.Table``."""
        if self._fleet.role is fleets.Role.FOLLOWING:
            await self._clock.sleep_ms(_LOOK_MS)
            return tables.TablePage((), from_offset)
        return await self._table.changes(from_offset, wait_ms=wait_ms)


class _Reports:
    """Takes over the reports of a page."""

    def __init__(
        self,
        spread: fleet_crashes.FleetCrashes,
        clock: clocks.Clock,
        on_record: OnRecord,
    ) -> None:
        self._spread = spread
        self._clock = clock
        self._on_record = on_record
        self._errors = record_errors.RecordErrors(_TABLE)

    def take(self, page: tables.TablePage[bytes], is_whole: bool) -> None:
        """Learns what a page tells."""
        wall_ms = self._clock.wall_ms()
        for record in page.records:
            if record.value is None:
                continue
            try:
                report = crash_records.decode(record.value, wall_ms=wall_ms)
            except ValueError as error:
                self._errors.note(record.key, record.offset, error)
                continue
            self._on_record(record.key, report.fingerprint)
            self._spread.found(report)
