"""What an instance follows of the store, by its leader's word or by itself."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeVar

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import follower
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.leadership import feeds
from jujubewharf.leadership import fleet as fleets
from jujubewharf.platform import tables

T = TypeVar("T")
OnPage = Callable[[tables.TablePage[T], bool], None]
_Configuration = routes.RoutingConfiguration | None

# Part of the time within which a change must be in force that a read waits at
# the store. One that waits hears of a change at once, but for one that arrives
# in the same instant: that is answered only when its wait is over. With more
# than the whole time a new route was refused 2.2 s after it was acknowledged,
# where 2 s were allowed.
_CONFIGURATION_PART = 0.5
# Part of the time within which no work may go to an endpoint that leaves, after
# which its entry is read again. Endpoints write all the time, so a read never
# waits; twice in that time, and some for the calls themselves.
_REGISTRY_PART = 0.4
# The same for the instance that reads it for all.
_LEADING_REGISTRY_PART = 0.2


def configurations(
    table: tables.Table[_Configuration],
    fleet: fleets.Fleet,
    store: all_settings.StoreSettings,
    clock: clocks.Clock,
    rng: random.Random,
    *,
    on_page: OnPage[_Configuration],
) -> follower.TableFollower[_Configuration]:
    """Follows what operators declare.

    Args:
        table: The store's table.
        fleet: The leader of this instance, or its followers.
        store: Settings of the store.
        clock: Time.
        rng: Spreads the readings.
        on_page: Told what was read, and whether it is the whole table.
    """
    feed = fleet.feeds.configurations
    pace = follower.Pace(
        wait_ms=store.in_force_within_ms * _CONFIGURATION_PART, pause_ms=0.0
    )
    return follower.TableFollower(
        "configuration",
        feeds.LeaderTable(table, feed, clock),
        pace,
        clock,
        rng,
        on_page=on_page,
        is_watched=lambda: feed.is_fresh,
    )


def endpoints(
    table: tables.Table[resources.Endpoint],
    fleet: fleets.Fleet,
    store: all_settings.StoreSettings,
    clock: clocks.Clock,
    rng: random.Random,
    *,
    on_page: OnPage[resources.Endpoint],
    on_lost: Callable[[], None],
) -> follower.TableFollower[resources.Endpoint]:
    """Follows which endpoints there are; see ``configurations``.

    Args:
        table: The store's table.
        fleet: The leader of this instance, or its followers.
        store: Settings of the store.
        clock: Time.
        rng: Spreads the readings.
        on_page: Told what was read, and whether it is the whole table.
        on_lost: Told that the store can't be reached.
    """
    feed = fleet.feeds.endpoints

    def pause_ms() -> float:
        part = _LEADING_REGISTRY_PART if fleet.is_leading else _REGISTRY_PART
        return store.leaving_within_ms * part

    pace = follower.Pace(
        wait_ms=store.leaving_within_ms * _REGISTRY_PART, pause_ms=0.0
    )
    return follower.TableFollower(
        "endpoints",
        feeds.LeaderTable(table, feed, clock, pause_ms=pause_ms),
        pace,
        clock,
        rng,
        on_page=on_page,
        on_lost=on_lost,
        is_watched=lambda: feed.is_fresh,
    )
