"""Puts together what keeps where streams began in the platform's store."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import origin_store
from jujubewharf.leadership import origin_writer
from jujubewharf.platform import epochs
from jujubewharf.platform import tables
from jujubewharf.stream_versions import lifetimes as all_lifetimes
from jujubewharf.stream_versions import version_history


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOrigins:
    """Where streams began, as the store knows it.

    Attributes:
        store: Reads it.
        writer: Service that writes it.
    """

    store: origin_store.OriginStore
    writer: origin_writer.OriginWriter


def new_stored_origins(
    table: tables.WritableTable | None,
    fleet: fleets.Fleet,
    history: version_history.VersionHistory,
    lifetimes: all_lifetimes.StreamLifetimes,
    epoch: epochs.StoreEpoch,
    clock: clocks.Clock,
) -> StoredOrigins | None:
    """Creates the reader and the writer of the table of where streams began.

    Args:
        table: The store's table; ``None`` disables both.
        fleet: Role of this instance.
        history: Versions that services have had.
        lifetimes: For how long streams may be taken up.
        epoch: Epoch of the store.
        clock: Time source.
    """
    if table is None:
        return None
    store = origin_store.OriginStore(table, history, lifetimes, epoch, clock)
    writer = origin_writer.OriginWriter(
        table, store, fleet, history, lifetimes, epoch, clock
    )
    return StoredOrigins(store, writer)
