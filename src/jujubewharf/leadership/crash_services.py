"""The services between crash reports and the platform's store, together."""

from __future__ import annotations

import random

import mode

from jujubewharf import clock as clocks
from jujubewharf.forwarding import crashes
from jujubewharf.leadership import crash_follower
from jujubewharf.leadership import crash_keeper
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import fleet_crashes
from jujubewharf.platform import tables


def new_crash_services(
    table: tables.KeptTable | None,
    fleet: fleets.Fleet,
    history: crashes.CrashHistory,
    spread: fleet_crashes.FleetCrashes,
    clock: clocks.Clock,
    rng: random.Random,
) -> tuple[mode.Service, ...]:
    """Makes what writes the table and what reads it.

    Args:
        table: The store's table; ``None`` where nothing is kept.
        fleet: The leader of this instance, or its followers.
        history: What this instance knows.
        spread: Tells it to the others.
        clock: Time.
        rng: Spreads the readings.
    """
    if table is None:
        return ()
    keeper = crash_keeper.CrashKeeper(table, fleet, history, spread, clock)
    reader = crash_follower.new_crash_follower(
        table, fleet, spread, clock, rng, on_record=keeper.found
    )
    return keeper, reader
