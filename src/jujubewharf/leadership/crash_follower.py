"""Reads the crash reports in the platform's store.

Each instance reads the whole table at start, since no leader may be left after
a restart of all instances. After that, followers get the reports from their
leader. The leader and instances without one keep reading: if the network
between them is partitioned, the store may be the only place that all of them
reach.
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
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import record_errors
from jujubewharf.platform import tables

# Name of the table in log lines.
_TABLE = "crashes"
# Long poll of a read, which keeps calls rare while there are no changes.
_LONG_POLL_MS = 5_000.0
# Longest pause after a failed read: crash reports also come from the leader and
# no setting bounds their age.
_MAX_RETRY_MS = 5_000.0
# Interval at which a follower checks that it still has a leader. It reads the
# table once it has had none for two checks.
_ROLE_CHECK_MS = 250.0

OnRecord = Callable[[str, fingerprints.Fingerprint], None]


def new_crash_follower(
    table: tables.WritableTable,
    fleet: fleets.Fleet,
    shared_crashes: fleet_crashes.FleetCrashes,
    epoch: epochs.StoreEpoch,
    clock: clocks.Clock,
    rng: random.Random,
    *,
    on_record: OnRecord,
    availability: availabilities.StoreAvailability | None = None,
) -> follower.TableFollower[bytes]:
    """Creates the service that reads the table of crash reports.

    Args:
        table: The store's table.
        fleet: Role of this instance.
        shared_crashes: Applies the reports and broadcasts them.
        epoch: Epoch of the store.
        clock: Clock.
        rng: Random jitter of reads.
        on_record: Called with the key and fingerprint of each record.
        availability: Shared by all tables of the instance.
    """
    return follower.TableFollower(
        _TABLE,
        _TableWithoutLeader(table, fleet, clock),
        follower.PollIntervals(
            wait_ms=_LONG_POLL_MS, pause_ms=0.0, max_retry_ms=_MAX_RETRY_MS
        ),
        epoch,
        clock,
        rng,
        on_page=_ReportReader(shared_crashes, clock, on_record).take,
        is_watched=lambda: fleet.role is fleets.Role.FOLLOWING,
        availability=availability,
    )


class _TableWithoutLeader:
    """A table that returns no changes while this instance follows a leader.

    Reading resumes at the same offset once there is no leader.
    """

    def __init__(
        self,
        table: tables.WritableTable,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._clock = clock
        self._was_following = False

    async def newest(self) -> tables.TablePage[bytes]:
        """Returns the newest record of each key; see ``tables.Table``."""
        return await self._table.newest()

    async def changes(
        self, from_offset: int, *, wait_ms: float
    ) -> tables.TablePage[bytes]:
        """Returns later records, none for a follower; see ``tables.Table``."""
        is_following = self._fleet.role is fleets.Role.FOLLOWING
        if is_following or self._was_following:
            # A follower whose leader changes mostly has the next one by then.
            self._was_following = is_following
            await self._clock.sleep_ms(_ROLE_CHECK_MS)
            return tables.TablePage((), from_offset, is_from_leader=True)
        return await self._table.changes(from_offset, wait_ms=wait_ms)


class _ReportReader:
    """Applies the crash reports of table pages."""

    def __init__(
        self,
        shared_crashes: fleet_crashes.FleetCrashes,
        clock: clocks.Clock,
        on_record: OnRecord,
    ) -> None:
        self._shared_crashes = shared_crashes
        self._clock = clock
        self._on_record = on_record
        self._errors = record_errors.RecordErrors(_TABLE)

    def take(self, page: tables.TablePage[bytes], is_full_read: bool) -> None:
        """Applies the reports of a page."""
        wall_ms = self._clock.wall_ms()
        for record in page.records:
            if record.value is None:
                continue
            try:
                report = crash_records.decode(record.value, wall_ms=wall_ms)
                self._on_record(record.key, report.fingerprint)
                self._shared_crashes.apply_stored(report)
            except Exception as error:
                self._errors.log_once(record.key, record.offset, error)
