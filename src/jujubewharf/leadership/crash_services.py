"""Creates the services that synchronize crash reports with the store."""

from __future__ import annotations

import random

import mode

from jujubewharf import clock as clocks
from jujubewharf.forwarding import crashes
from jujubewharf.leadership import crash_follower
from jujubewharf.leadership import crash_writer
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import tables


def new_crash_services(
    table: tables.WritableTable | None,
    fleet: fleets.Fleet,
    history: crashes.CrashHistory,
    shared_crashes: fleet_crashes.FleetCrashes,
    epoch: epochs.StoreEpoch,
    clock: clocks.Clock,
    rng: random.Random,
    availability: availabilities.StoreAvailability,
) -> tuple[mode.Service, ...]:
    """Creates the writer and the reader of the table of crash reports.

    Args:
        table: The store's table; ``None`` disables persistence.
        fleet: Role of this instance.
        history: Crash history of this instance.
        shared_crashes: Broadcasts changes of the history.
        epoch: Epoch of the store.
        clock: Clock.
        rng: Random jitter of reads.
        availability: Shared by all tables of the instance.
    """
    if table is None:
        return ()
    writer = crash_writer.CrashWriter(
        table, fleet, history, shared_crashes, epoch, clock
    )
    reader = crash_follower.new_crash_follower(
        table,
        fleet,
        shared_crashes,
        epoch,
        clock,
        rng,
        on_record=writer.note_record,
        availability=availability,
    )
    return writer, reader
